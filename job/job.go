// Package job accepts batch jobs, runs their items on model engines and lists the results.
//
// Everything that must last is in the log: an index with one record a job, which every instance
// follows, and the items and results of each job in a partition that is read on demand. A job is
// accepted when the index holds it and a result has its position when the partition holds it, so
// any instance can answer for any job, and any instance can go on with a job whose driver is gone.
package job

import (
	"fmt"
	"time"

	"github.com/cicadasill/cicadasill/machine"
)

// ID names a batch job. Clients choose it.
type ID string

// Item is one request for tokens of a batch job.
type Item struct {
	ID      string            `cbor:"1,keyasint"`
	Path    string            `cbor:"2,keyasint"`
	Headers map[string]string `cbor:"3,keyasint"`
	Body    []byte            `cbor:"4,keyasint"`
	// Tokens is the sum of the prompt's tokens and the most output tokens.
	Tokens int `cbor:"5,keyasint"`
	// Group is the group of items that are scored together; they share their prompt.
	Group string `cbor:"6,keyasint"`
	// Model is the model that generates the text.
	Model string `cbor:"7,keyasint"`
	// LengthEstimate is the client's estimate of the number of output tokens, right at the median
	// but often far off; 0 if there is none.
	LengthEstimate int `cbor:"8,keyasint,omitempty"`
}

// Spec is a batch job as a client submits it.
type Spec struct {
	ID   ID
	Host string
	Path string
	// Step is the trainer's step; -1 for jobs that are no trainer's.
	Step       int64
	Model      string
	MinVersion int64
	GroupCount int
	Items      []Item
}

// State is the outcome of an item.
type State int

// Outcomes of items.
const (
	// Complete results hold the whole output.
	Complete State = iota + 1
	// Errored items were given up.
	Errored
)

// Result is what became of an item.
type Result struct {
	Item  string `cbor:"1,keyasint"`
	State State  `cbor:"2,keyasint"`
	// Output is the data of all events, separated by line feeds.
	Output []byte `cbor:"3,keyasint"`
	// Versions are the versions of the weights that generated an event of the output.
	Versions []int64 `cbor:"4,keyasint"`
}

// Summary is the index's record of a job.
type Summary struct {
	ID          ID          `cbor:"1,keyasint"`
	Partition   int         `cbor:"2,keyasint"`
	Host        string      `cbor:"3,keyasint"`
	Path        string      `cbor:"4,keyasint"`
	Total       int         `cbor:"5,keyasint"`
	SubmittedMs int64       `cbor:"6,keyasint"`
	Step        int64       `cbor:"7,keyasint"`
	Model       string      `cbor:"8,keyasint"`
	MinVersion  int64       `cbor:"9,keyasint"`
	GroupCount  int         `cbor:"10,keyasint"`
	Driver      machine.Ref `cbor:"11,keyasint"`
	// Ended states that the client wants no further results.
	Ended bool `cbor:"12,keyasint"`
	// Listed states that every item has a result.
	Listed bool `cbor:"13,keyasint"`
}

// SubmittedAt returns the time of day at which the job was accepted.
func (s *Summary) SubmittedAt() time.Time { return time.UnixMilli(s.SubmittedMs) }

// Open reports whether items of the job are still to be run.
func (s *Summary) Open() bool { return !s.Ended && !s.Listed }

// NotFoundError reports that there is no such job or item.
type NotFoundError struct {
	Job  ID
	Item string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	if e.Item != "" {
		return fmt.Sprintf("batch job %s has no open item %s", e.Job, e.Item)
	}
	return fmt.Sprintf("there is no batch job %s", e.Job)
}

// TooLargeError reports an item that does not fit into a record of the store.
type TooLargeError struct {
	Item  string
	Bytes int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("item %s has %d bytes, more than a record of the store holds", e.Item, e.Bytes)
}

// UnavailableError reports that the store does not answer, so this instance cannot be sure.
type UnavailableError struct{ Err error }

// Error implements error.
func (e *UnavailableError) Error() string { return "the store is unavailable: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UncertainError reports that a change may have been made or may still be.
type UncertainError struct {
	Job ID
	Err error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("outcome for batch job %s is unknown: %v", e.Job, e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// IncompleteError reports a job some of whose items are not in the store.
type IncompleteError struct {
	Job          ID
	Found, Total int
}

// Error implements error.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("batch job %s has %d of its %d items", e.Job, e.Found, e.Total)
}
