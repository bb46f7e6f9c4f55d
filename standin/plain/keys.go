package plain

import (
	"context"
	"sync"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// maxKeys bounds the keys whose results are kept; requests with further keys are not run.
const maxKeys = 200_000

// Keys is the memory of a service that runs a key at most once.
type Keys struct {
	mu sync.Mutex
	m  map[string]*keyed
}

type keyed struct {
	done     chan struct{}
	ran      bool
	response platform.PlainResponse
}

// NewKeys returns an empty memory.
func NewKeys() *Keys { return &Keys{m: map[string]*keyed{}} }

// once calls run unless the key has run or is running; it then returns that run's result. A
// run that was cancelled before it began leaves no trace.
func (k *Keys) once(ctx context.Context, key string, run func() (platform.PlainResponse, bool)) (platform.PlainResponse, bool) {
	k.mu.Lock()
	e, known := k.m[key]
	if !known && len(k.m) >= maxKeys {
		k.mu.Unlock()
		return platform.PlainResponse{}, false
	}
	if !known {
		e = &keyed{done: make(chan struct{})}
		k.m[key] = e
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
		delete(k.m, key)
	}
	k.mu.Unlock()
	close(e.done)
	return resp, ran
}

func (k *Keys) status(key string) platform.KeyStatus {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, known := k.m[key]
	if !known {
		return platform.KeyStatus{}
	}
	return platform.KeyStatus{Ran: e.ran, Running: !e.ran, Response: e.response}
}
