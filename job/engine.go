package job

import (
	"context"
	"errors"
	"fmt"

	"github.com/cicadasill/cicadasill/backends"
)

// Call is one request to an engine to run an item.
type Call struct {
	Host string
	Item *Item
	// Account is the name of the client account that holds the item's job; empty if the job has none.
	Account string
	// After is the id of the last event received in earlier attempts, after which the engine resumes; 0
	// starts from the beginning.
	After int64
	// Repeated is set if the attempt needs a connection of its own: if this engine has answered an earlier attempt of the item,
	// because a late copy of that answer bears the item's id too, or if the attempt before met a silent connection.
	Repeated bool
	// Permit is asked right before the item is sent. Generate returns its error and has not sent the item then.
	Permit func() error
}

// Event is one chunk of an item's output.
type Event struct {
	ID   int64
	Data []byte
	// Version is the weight version that generated the event.
	Version int64
}

// Receiver receives the stream of an engine's answer. An error returned by a method ends the stream.
type Receiver interface {
	// Started is called with the engine's weight version at the start of the stream, or 0 if the engine
	// doesn't report it.
	Started(version int64) error
	// Event is called with each event of the stream.
	Event(e Event) error
}

// Engine runs items at model engines.
type Engine interface {
	// Generate runs an item at a back end. It returns nil after the last event of the item's output, the
	// Receiver's error if that ended the stream, and *NotRunError, *FailedError or *BrokenError otherwise.
	Generate(ctx context.Context, b *backends.Backend, call Call, to Receiver) error
}

// NotRunError reports that an engine refused an item without running it.
type NotRunError struct {
	Status int
	// AddressReused states that another back end now uses the address.
	AddressReused bool
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("refused with status %d without running", e.Status)
}

// FailedError reports that an engine ran an item and failed.
type FailedError struct {
	Status int
	// Impossible states that the item would fail at every engine, so that retries are useless.
	Impossible bool
}

// Error implements error.
func (e *FailedError) Error() string { return fmt.Sprintf("failed with status %d", e.Status) }

// BrokenError reports a stream that ended before its last event or never started.
type BrokenError struct {
	Err error
	// SilentConn states that a kept connection has gone silent, which says nothing about the engine.
	SilentConn bool
}

// Error implements error.
func (e *BrokenError) Error() string { return "stream broken: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// ErrNoMemory ends an attempt because the texts of all running items occupy the memory set aside for them. The item's own text
// is dropped.
var ErrNoMemory = errors.New("no memory left for the texts of items")

// OldVersionError reports an engine whose weight version is older than the item's minimum.
type OldVersionError struct{ Version, MinVersion int64 }

// Error implements error.
func (e *OldVersionError) Error() string {
	return fmt.Sprintf("engine runs weight version %d, item requires at least version %d", e.Version, e.MinVersion)
}
