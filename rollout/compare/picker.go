package compare

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/rollout"
	"github.com/cicadasill/cicadasill/rollout/enginesim"
)

var errNoBackend = errors.New("no back end is ready")

// LeastLoaded picks the engine with the fewest samples of this picker, as long as it has a free
// place. It knows each engine's version at once.
type LeastLoaded struct {
	Fleet *enginesim.Fleet
	// PerEngine bounds the samples at one engine.
	PerEngine int

	mu     sync.Mutex
	used   map[string]int
	failed map[string]time.Time
}

// failurePause is how long an engine that failed gets no work.
const failurePause = 200 * time.Millisecond

// Pick implements rollout.Picker.
func (p *LeastLoaded) Pick(_ context.Context, req rollout.PickRequest) (rollout.Pick, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used == nil {
		p.used, p.failed = make(map[string]int), make(map[string]time.Time)
	}
	var best *machine.Backend
	var version int64
	for i := range req.Service.Backends {
		b := &req.Service.Backends[i]
		e := p.Fleet.Engine(b.ID)
		if e == nil || slices.Contains(req.Exclude, b.ID) || p.used[b.ID] >= p.PerEngine || e.Version() < req.MinVersion ||
			time.Since(p.failed[b.ID]) < failurePause {
			continue
		}
		if best == nil || p.used[b.ID] < p.used[best.ID] {
			best, version = b, e.Version()
		}
	}
	if best == nil {
		return rollout.Pick{}, errNoBackend
	}
	p.used[best.ID]++
	return rollout.Pick{Backend: *best, Version: version, Done: p.done(best.ID)}, nil
}

func (p *LeastLoaded) done(id string) func(time.Duration, int, error) {
	return func(_ time.Duration, _ int, err error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.used[id]--
		if err != nil && !errors.Is(err, context.Canceled) {
			p.failed[id] = time.Now()
		}
	}
}
