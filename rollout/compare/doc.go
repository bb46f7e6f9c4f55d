// Package compare runs rollout servers over simulated engines in one process, for the tests of package
// rollout and for measurements. The measurements run the variants of the rollout mechanisms on the same
// seeds and compare the ratio of step time to its lower bound, trainer idle time, staleness and wasted
// tokens. A run whose samples break a guarantee fails.
package compare
