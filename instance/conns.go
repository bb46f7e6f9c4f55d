package instance

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// newConnTimeout is how long the planned stop waits for the first request of a connection.
const newConnTimeout = 5 * time.Second

// connTracker knows the clients' connections on which a request is being read or answered.
type connTracker struct {
	mu       sync.Mutex             // guards the fields below
	opened   map[net.Conn]time.Time // those that have sent no complete head of a request yet
	answered map[net.Conn]struct{}  // those whose request is being answered
}

func newConnTracker() *connTracker {
	return &connTracker{opened: map[net.Conn]time.Time{}, answered: map[net.Conn]struct{}{}}
}

// observe records a new state of a connection. It is a hook of http.Server.
func (t *connTracker) observe(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.opened, c)
	delete(t.answered, c)
	switch state {
	case http.StateNew:
		t.opened[c] = time.Now()
	case http.StateActive:
		t.answered[c] = struct{}{}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
	}
}

// isBusy reports whether a request is being answered, or may be about to arrive on a new connection.
func (t *connTracker) isBusy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.answered) > 0 {
		return true
	}
	for _, at := range t.opened {
		if time.Since(at) < newConnTimeout {
			return true
		}
	}
	return false
}
