// Package changelog keeps state that is derived from the records of one log partition.
//
// The log is compacted: it retains the newest record of each key for good and all records for
// a limited time. Every writer that depends on the state appends under the condition that the
// partition still ends where its own copy ends, so two writers that decide on different states
// cannot both succeed, and an append that was executed late changes nothing.
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

// Record is one record of a partition. A nil Value drops the key.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
}

// Batch is the result of a read: contiguous records, the offset at which the partition ended
// when it was read, and the first offset that it retains.
type Batch struct {
	Records []Record
	End     int64
	First   int64
}

// Page is a part of the newest records in the order of their keys.
type Page struct {
	Records []Record
	End     int64
	More    bool
}

// Unconditional as the expected end appends wherever the partition ends.
const Unconditional int64 = -1

// Log is the store that holds the partitions.
//
// Append returns the end after the appended records. It fails with *ConflictError if the
// partition does not end at expectEnd, with *NotDoneError if nothing was appended, and with
// *UnknownError if the records may have been appended or may still be.
// Read returns at once when records are available and waits up to wait otherwise. It fails with
// *TrimmedError if the records from the offset on are no longer retained.
type Log interface {
	Append(ctx context.Context, p Partition, records []Record, expectEnd int64) (int64, error)
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Batch, error)
	Newest(ctx context.Context, p Partition, after string) (Page, error)
}

// ConflictError reports that the partition ends elsewhere.
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
	return fmt.Sprintf("partition %s retains records from offset %d", e.Partition, e.First)
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
