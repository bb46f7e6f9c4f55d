// Package compare runs rollout servers over fake engines and compares their mechanisms on the same
// seeds: step time over its floor, trainer idle time, staleness and wasted tokens.
package compare
