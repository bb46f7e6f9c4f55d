// Package enginesim is a small in-memory fake of the platform's model engines and weight store,
// for tests and measurements of rollouts and weight distribution. It keeps real time.
package enginesim
