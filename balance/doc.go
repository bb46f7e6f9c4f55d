// Package balance holds decisions about uneven load: which of several equal back ends an instance prefers, and how long an
// engine that has turned slow is expected to stay so. Its functions have no input, output or clock of their own. What they
// decide from may be old or missing: that costs time, never a promise.
package balance
