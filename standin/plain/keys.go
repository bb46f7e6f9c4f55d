package plain

import (
	"context"
	"sync"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// maxKeys bounds the number of keys whose results are kept. Requests with further keys are not run.
const maxKeys = 200_000

// Keys stores the results of a service that runs each idempotency key at most once.
type Keys struct {
	mu     sync.Mutex
	states map[string]*keyState
}

// keyState is the run of one key.
type keyState struct {
	done     chan struct{} // closed when the run has ended
	ran      bool
	response platform.PlainResponse
}

// NewKeys returns an empty store of keys.
func NewKeys() *Keys { return &Keys{states: map[string]*keyState{}} }

// runOnce calls run and returns its result. If the key has run or is running, it returns that
// run's result instead. A run that was cancelled before it began is not stored.
func (k *Keys) runOnce(ctx context.Context, key string, run func() (platform.PlainResponse, bool)) (platform.PlainResponse, bool) {
	k.mu.Lock()
	e, known := k.states[key]
	if !known && len(k.states) >= maxKeys {
		k.mu.Unlock()
		return platform.PlainResponse{}, false
	}
	if !known {
		e = &keyState{done: make(chan struct{})}
		k.states[key] = e
	}
	k.mu.Unlock()
	if known {
		select {
		case <-e.done:
			return e.response, e.ran
		case <-ctx.Done():
			return platform.PlainResponse{}, false
		}
	}
	resp, ran := run()
	k.mu.Lock()
	e.response, e.ran = resp, ran
	if !ran {
		delete(k.states, key)
	}
	k.mu.Unlock()
	close(e.done)
	return resp, ran
}

// status returns what is known about key.
func (k *Keys) status(key string) platform.KeyStatus {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, known := k.states[key]
	if !known {
		return platform.KeyStatus{}
	}
	return platform.KeyStatus{Ran: e.ran, Running: !e.ran, Response: e.response}
}
