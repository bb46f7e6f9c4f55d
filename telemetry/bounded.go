package telemetry

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines is how many lines are queued for a slow writer before further ones are dropped.
const maxQueuedLines = 4096

// BoundedWriter writes lines in the background from a bounded queue, so that a slow writer never blocks
// the caller. When the queue is full, lines are dropped; Dropped counts them.
type BoundedWriter struct {
	queue   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewBoundedWriter returns a BoundedWriter that writes to w. Each call of Write must pass one line.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{queue: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for line := range b.queue {
			if _, err := w.Write(line); err != nil {
				b.dropped.Add(1)
			}
		}
	}()
	return b
}

// Write implements io.Writer. It never blocks and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.queue <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or could not be written.
func (b *BoundedWriter) Dropped() uint64 { return b.dropped.Load() }

// Close writes the queued lines and stops the writer. Write must not be called during or after Close.
func (b *BoundedWriter) Close() {
	close(b.queue)
	<-b.done
}
