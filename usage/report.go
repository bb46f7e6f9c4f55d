// Package usage counts, for each client account, the requests that begin to run in each window of time, and reports the counts
// of each window to the platform once.
package usage

import "errors"

// Report holds the counts of one window.
type Report struct {
	// Window is the number of the window: it begins Window times the length of a window after the start of 1970.
	Window int64
	// Counts holds, by account, the number of requests that began to run in the window.
	Counts map[string]int64
}

// ErrFenced means that the platform has seen a higher fencing token for this duty.
var ErrFenced = errors.New("the platform has seen a higher fencing token")
