package changelog

import "fmt"

// MaxKeyBytes is the longest key that the store's format can express: it has one byte for the length.
const MaxKeyBytes = 255

// Bytes that the store's format adds to a key and a value.
const (
	keyLengthBytes    = 1 // counts as a part of the record
	recordLengthBytes = 4 // counts as a part of the call
)

// Limits bound what the store takes. A store without stated limits has DefaultLimits.
type Limits struct {
	// RecordBytes bounds a record: its key with the byte of its length, and its value.
	RecordBytes int
	// CallBytes bounds the records of one append together.
	CallBytes int
}

// DefaultLimits are those of the platform's stores (PROTOCOL.md, The platform's metadata store: record_bytes and call_bytes).
var DefaultLimits = Limits{RecordBytes: 256 << 10, CallBytes: 2 << 20}

// OrDefault returns l with the defaults in place of missing limits.
func (l Limits) OrDefault() Limits {
	if l.RecordBytes <= 0 {
		l.RecordBytes = DefaultLimits.RecordBytes
	}
	if l.CallBytes <= 0 {
		l.CallBytes = DefaultLimits.CallBytes
	}
	return l
}

// Size returns the bytes of the record that count toward Limits.RecordBytes.
func (r *Record) Size() int { return keyLengthBytes + len(r.Key) + len(r.Value) }

// ValueBytes returns the largest value that a record with the given key may have.
func (l Limits) ValueBytes(key string) int { return l.RecordBytes - keyLengthBytes - len(key) }

// Check returns nil if the store takes the records in one append, and *RejectedError otherwise.
func (l Limits) Check(p Partition, records []Record) error {
	total := 0
	for i := range records {
		r := &records[i]
		switch {
		case len(r.Key) > MaxKeyBytes:
			return &RejectedError{Partition: p, Key: r.Key, Err: &SizeError{What: "key", Bytes: len(r.Key), Limit: MaxKeyBytes}}
		case r.Size() > l.RecordBytes:
			return &RejectedError{Partition: p, Key: r.Key, Err: &SizeError{What: "record", Bytes: r.Size(), Limit: l.RecordBytes}}
		}
		total += recordLengthBytes + r.Size()
	}
	if total > l.CallBytes {
		return &RejectedError{Partition: p, Err: &SizeError{What: "call", Bytes: total, Limit: l.CallBytes}}
	}
	return nil
}

// Fitting returns how many of the first records fit into one append, at least one if there are any.
func (l Limits) Fitting(records []Record) int {
	total := 0
	for i := range records {
		if total += recordLengthBytes + records[i].Size(); total > l.CallBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

// SizeError states which limit of the store an append exceeds, in bytes.
type SizeError struct {
	What         string // "key", "record" or "call"
	Bytes, Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s of %d bytes, more than %d", e.What, e.Bytes, e.Limit)
}

// RejectedError reports an append that the store never accepts, because of the records in it. The cause of a *NotDoneError, it ends all
// retries.
type RejectedError struct {
	Partition Partition
	// Key is that of the record at fault; empty if it is not known.
	Key string
	Err error
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("append to %v is never accepted (key %.40q): %v", e.Partition, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *RejectedError) Unwrap() error { return e.Err }
