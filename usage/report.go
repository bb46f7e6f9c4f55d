// Package usage counts, for each client account, the requests that begin to run in each window of time, and reports the counts
// of each window to the platform once.
//
// Each instance appends its counts to the store (Counter). One instance at a time, the holder of a duty, seals each window
// that has ended: it records the sum of all counts before it sends them, so that every repeat, also by a successor, has the same
// counts (Reporter). What to seal and to send is decided in ledger.go. The package answers the load in which many instances count and
// holders are killed, frozen or cut off between any two steps.
package usage

import (
	"errors"
	"time"
)

// Report holds the counts of one window.
type Report struct {
	// Window is the number of the window: it begins Window times the length of a window after the start of 1970.
	Window int64
	// Counts holds, by account, the number of requests that began to run in the window.
	Counts map[string]int64
}

// ErrFenced means that the platform has seen a higher fencing token for this duty.
var ErrFenced = errors.New("the platform has seen a higher fencing token")

// ErrRejected means that the platform will never accept the report.
var ErrRejected = errors.New("the platform rejects the report")

// Windows describe the windows of a deployment.
type Windows struct {
	// Length is the length of a window, and Due the time after its end at which its report is due.
	Length, Due time.Duration
}

// At returns the number of the window that contains a moment of true time.
func (w Windows) At(t time.Time) int64 {
	// The quotient of a negative time is not rounded down, but no window lies before 1970.
	return t.UnixNano() / int64(w.Length)
}

// End returns the end of a window.
func (w Windows) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(w.Length)) }

// DueAt returns the time at which the report of a window is due.
func (w Windows) DueAt(window int64) time.Time { return w.End(window).Add(w.Due) }
