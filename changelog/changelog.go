// Package changelog replicates state that is derived from the records of a log partition.
//
// The log is compacted: it retains the newest record of each key permanently and all records for a
// limited time. A writer whose records depend on the state appends them under the condition that the
// partition still ends where the writer's copy ends. So two writers that decide on different states
// cannot both succeed, and an append that is executed late has no effect.
package changelog

import (
	"context"
	"fmt"
	"time"
)

// Partition names one ordered sequence of records.
type Partition struct {
	Topic string
	Index int
}

// String returns "topic/index".
func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Index) }

// Record is one record of a partition. A nil Value deletes the key.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
}

// Batch is the result of a read.
type Batch struct {
	// Records are contiguous.
	Records []Record
	// End is the offset after the last record of the partition when it was read.
	End int64
	// First is the first offset that the partition retains.
	First int64
}

// Page is a part of the newest records of all keys, in the order of the store.
type Page struct {
	Records []Record
	// End is the offset after the last record of the partition when the page was read.
	End int64
	// More states that records of further keys follow.
	More bool
}

// Unconditional is an expected end that every end of a partition matches.
const Unconditional int64 = -1

// Log is the store that holds the partitions.
//
// Append returns the end of the partition after the appended records. It fails with *ConflictError if
// the partition does not end at expectEnd, with *NotDoneError if nothing was appended, and with
// *UnknownError if the records may have been appended or may still be.
//
// Read returns at once if records from the offset on are available and otherwise waits for them up to
// wait. It fails with *TrimmedError if the record at the offset is no longer retained. If it waits and the cause of its failure
// is a *SilentConnectionError, a read without a wait is likely to succeed.
//
// Newest returns the newest records of the keys that follow after in the order of the store, or of its first keys.
type Log interface {
	Append(ctx context.Context, p Partition, records []Record, expectEnd int64) (int64, error)
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Batch, error)
	Newest(ctx context.Context, p Partition, after string) (Page, error)
}

// ConflictError reports that the partition does not end where a conditional append expected.
type ConflictError struct {
	Partition Partition
	End       int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("partition %s ends at %d, not where the writer expected", e.Partition, e.End)
}

// TrimmedError reports that the requested records are no longer retained.
type TrimmedError struct {
	Partition Partition
	First     int64
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("partition %s retains records only from offset %d on", e.Partition, e.First)
}

// NotDoneError reports a call that had no effect.
type NotDoneError struct {
	Call string
	Err  error
}

// Error implements error.
func (e *NotDoneError) Error() string { return fmt.Sprintf("%s was not executed: %v", e.Call, e.Err) }

// Unwrap returns the cause.
func (e *NotDoneError) Unwrap() error { return e.Err }

// UnknownError reports a call whose outcome is unknown: it may have been executed or may still be.
type UnknownError struct {
	Call string
	Err  error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome of %s is unknown: %v", e.Call, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// SilentConnectionError is the cause of a failure on a connection that earlier calls had used: it has gone silent, which says
// nothing about the log. The next call uses a new connection.
type SilentConnectionError struct{ Err error }

// Error implements error.
func (e *SilentConnectionError) Error() string {
	return fmt.Sprintf("connection has gone silent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *SilentConnectionError) Unwrap() error { return e.Err }
