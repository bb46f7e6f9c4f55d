// Package job accepts batch jobs from clients, runs their items on model engines and lists the
// results.
//
// All durable state is in the log: an index with one record per job, which every instance follows,
// and data partitions with the items, checkpoints and results of the jobs, which are read on demand.
// A job is accepted once the index holds its record, and a result is listed once the data partition
// holds it at a fixed position. Any instance can therefore answer requests for any job, and any
// instance can take over a job whose driver, the instance that runs its items, has died.
package job

import (
	"fmt"

	"github.com/cicadasill/cicadasill/machine"
)

// ID identifies a batch job. Clients choose it.
type ID string

// Item is one generation request of a batch job.
type Item struct {
	ID      string            `cbor:"1,keyasint"`
	Path    string            `cbor:"2,keyasint"`
	Headers map[string]string `cbor:"3,keyasint"`
	Body    []byte            `cbor:"4,keyasint"`
	// Tokens is the number of prompt tokens plus the maximum number of output tokens.
	Tokens int `cbor:"5,keyasint"`
	// Group names the group of items that share a prompt and are scored together.
	Group string `cbor:"6,keyasint"`
	// Model is the model that generates the text.
	Model string `cbor:"7,keyasint"`
	// LengthEstimate is the client's estimate of the number of output tokens; 0 if there is none. Its
	// median is correct, but single estimates are often far off.
	LengthEstimate int `cbor:"8,keyasint,omitempty"`
	// Reward is the request that scores the complete text; nil if the text needs no score.
	Reward *RewardCall `cbor:"9,keyasint,omitempty"`

	// stored is the encoded item if the headers and bodies are left out here.
	stored storedItem
}

// RewardCall is a request to a service that scores a complete text. It may be repeated.
type RewardCall struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint"`
}

// Spec is a batch job as a client submits it.
type Spec struct {
	ID   ID
	Host string
	Path string
	// Step is the trainer's step; -1 for jobs that don't belong to a trainer.
	Step       int64
	Model      string
	MinVersion int64
	GroupCount int
	// ConfigVersion is the version of the configuration by which the job is accepted.
	ConfigVersion int64
	// Account is the name of the client account that holds the job; empty if the job has none.
	Account string
	Items   []Item
}

// State is the outcome of an item.
type State int

// Outcomes of items.
const (
	// Complete means that the result holds the whole output.
	Complete State = iota + 1
	// Errored means that the item was given up.
	Errored
)

// Result is the final outcome of an item, with its output.
type Result struct {
	Item  string `cbor:"1,keyasint"`
	State State  `cbor:"2,keyasint"`
	// Output is the data of all events, joined by line feeds.
	Output []byte `cbor:"3,keyasint"`
	// Versions lists the weight versions that generated at least one event of the output.
	Versions []int64 `cbor:"4,keyasint"`
	// Score is the signature of the answer to the item's reward call; empty if the item has none.
	Score string `cbor:"5,keyasint,omitempty"`
}

// Summary is the record of a job in the index.
type Summary struct {
	ID        ID     `cbor:"1,keyasint"`
	Partition int    `cbor:"2,keyasint"`
	Host      string `cbor:"3,keyasint"`
	Path      string `cbor:"4,keyasint"`
	Total     int    `cbor:"5,keyasint"`
	// SubmittedMs is the wall-clock time of the acceptance at the accepting instance, in Unix milliseconds.
	SubmittedMs int64       `cbor:"6,keyasint"`
	Step        int64       `cbor:"7,keyasint"`
	Model       string      `cbor:"8,keyasint"`
	MinVersion  int64       `cbor:"9,keyasint"`
	GroupCount  int         `cbor:"10,keyasint"`
	Driver      machine.Ref `cbor:"11,keyasint"`
	// Ended states that the client has ended the job and needs no further results.
	Ended bool `cbor:"12,keyasint"`
	// Listed states that every item has a listed result.
	Listed bool `cbor:"13,keyasint"`
	// ConfigVersion is the version of the configuration by which the job was accepted. An older one says nothing about the
	// routes of its items.
	ConfigVersion int64 `cbor:"14,keyasint,omitempty"`
	// ItemBytes is about the size of the items, which the driver holds while the job is open.
	ItemBytes int64 `cbor:"15,keyasint,omitempty"`
	// Account is the name of the client account that holds the job; empty if the job has none.
	Account string `cbor:"16,keyasint,omitempty"`

	read firstRead
}

// Open reports whether the job may still have items to run.
func (s *Summary) Open() bool { return !s.Ended && !s.Listed }

// NotFoundError reports a job that does not exist, or an item that the job does not hold.
type NotFoundError struct {
	Job  ID
	Item string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	if e.Item != "" {
		return fmt.Sprintf("batch job %s has no open item %s", e.Job, e.Item)
	}
	return fmt.Sprintf("batch job %s does not exist", e.Job)
}

// TooLargeError reports a job that the store cannot hold: an item or the job's own record exceeds a record of the store.
type TooLargeError struct {
	// Item is the item at fault; empty if it is the job's record.
	Item  string
	Bytes int
	Err   error // the limit that is exceeded, if the job's record exceeds it
}

// Error implements error.
func (e *TooLargeError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("the job does not fit into a store record: %v", e.Err)
	}
	return fmt.Sprintf("item %.40q has %d bytes, more than a store record can hold", e.Item, e.Bytes)
}

// Unwrap returns the cause.
func (e *TooLargeError) Unwrap() error { return e.Err }

// FullError reports a job that no instance can hold beside its other open jobs.
type FullError struct {
	Job ID
	// Driver is the instance that would preferably have driven the job.
	Driver machine.Ref
	// Open is the size of the items of the driver's open jobs, with the items of this job.
	Open, Limit int64
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("batch job %s: no instance has room; the open jobs of %s would have %d bytes of items, more than %d", e.Job, e.Driver, e.Open, e.Limit)
}

// UnavailableError reports that the store does not answer, so that the current state is unknown.
type UnavailableError struct{ Err error }

// Error implements error.
func (e *UnavailableError) Error() string { return "the store is unavailable: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UncertainError reports a change of a job whose outcome is unknown: it may have been applied or may
// still be applied later.
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

// IncompleteError reports a job of which the store holds only some items.
type IncompleteError struct {
	Job          ID
	Found, Total int
}

// Error implements error.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("batch job %s: the store holds only %d of %d items", e.Job, e.Found, e.Total)
}
