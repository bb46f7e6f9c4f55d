package telemetry

import (
	"io"
	"sync/atomic"
)

// logLines is how many lines wait for a slow reader before further ones are dropped.
const logLines = 4096

// BoundedWriter passes lines on in the background. A reader that does not keep up costs lines,
// never time; Dropped counts them.
type BoundedWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewBoundedWriter returns a writer to w. Each Write is one line.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, logLines), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for line := range b.lines {
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
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (b *BoundedWriter) Dropped() uint64 { return b.dropped.Load() }

// Close writes the lines that wait. No Write may follow.
func (b *BoundedWriter) Close() {
	close(b.lines)
	<-b.done
}
