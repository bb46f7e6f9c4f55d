// Package enginesim simulates the platform's model engines and weight store in memory, for tests
// and measurements of rollouts and weight distribution. Token generation, prefill, weight loads and
// swaps take real time, and tests can inject failures such as crashes, silence and lost answers.
package enginesim
