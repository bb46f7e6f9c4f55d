package job

import (
	"context"
	"fmt"

	"github.com/cicadasill/cicadasill/backends"
)

// Call is one run of an item at an engine.
type Call struct {
	Host string
	Item *Item
	// After is the id of the last event received from earlier engines; 0 starts from the beginning.
	After int64
}

// Event is a part of an item's output.
type Event struct {
	ID   int64
	Data []byte
	// Version is the version of the weights that generated the event.
	Version int64
}

// Receiver takes a stream. An error ends the stream.
type Receiver interface {
	// Started tells the version of the weights at the start of the stream.
	Started(version int64) error
	Event(e Event) error
}

// Engine runs items. Generate returns nil after the last event of the item's output, and
// *NotRunError, *FailedError or *BrokenError otherwise.
type Engine interface {
	Generate(ctx context.Context, b *backends.Backend, call Call, to Receiver) error
}

// NotRunError reports an engine that refused the item without running it.
type NotRunError struct {
	Status int
	// Moved states that another back end has the address.
	Moved bool
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("refused with status %d without running", e.Status)
}

// FailedError reports an engine that ran the item and failed.
type FailedError struct {
	Status int
	// Impossible states that no engine can ever run the item.
	Impossible bool
}

// Error implements error.
func (e *FailedError) Error() string { return fmt.Sprintf("failed with status %d", e.Status) }

// BrokenError reports a stream that ended before its last event, or never began.
type BrokenError struct{ Err error }

// Error implements error.
func (e *BrokenError) Error() string { return "stream broken: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// OldVersionError reports an engine whose weights are too old for the item.
type OldVersionError struct{ Version, Least int64 }

// Error implements error.
func (e *OldVersionError) Error() string {
	return fmt.Sprintf("engine runs version %d, the item needs %d", e.Version, e.Least)
}
