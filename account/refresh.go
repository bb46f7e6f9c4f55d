package account

import (
	"context"
	"sync"
	"time"
)

// Refresher reads the configuration for requests that this instance's copy refuses for good. All that wait share one read, and
// reads begin no faster than one in each pause, however many requests arrive.
type Refresher struct {
	// Read reads the configuration up to its newest version.
	Read func(context.Context) error
	// Pause returns the least time between the begins of two reads.
	Pause func() time.Duration
	// Timeout bounds a read.
	Timeout time.Duration

	mu    sync.Mutex // guards the fields below
	next  *refresh   // has not begun; nil if no request waits for one
	began time.Time  // of the last read
}

// refresh is one read with its outcome, which is set before done is closed.
type refresh struct {
	done chan struct{}
	err  error
}

// Refresh waits for a read that begins after the call, and returns its error.
func (r *Refresher) Refresh(ctx context.Context) error {
	r.mu.Lock()
	next := r.next
	if next == nil {
		next = &refresh{done: make(chan struct{})}
		r.next = next
		time.AfterFunc(time.Until(r.began.Add(r.Pause())), func() { r.run(next) })
	}
	r.mu.Unlock()
	select {
	case <-next.done:
		return next.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run makes the read for all calls that wait for it.
func (r *Refresher) run(current *refresh) {
	r.mu.Lock()
	r.next, r.began = nil, time.Now()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	current.err = r.Read(ctx)
	close(current.done)
}
