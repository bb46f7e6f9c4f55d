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

// LeastLoaded picks the engine on which it has the fewest samples in flight, among those below the
// bound. It reads each engine's version from the simulation, without delay.
type LeastLoaded struct {
	Fleet *enginesim.Fleet
	// MaxPerEngine is the most samples in flight at one engine.
	MaxPerEngine int

	mu          sync.Mutex
	inFlight    map[string]int
	lastFailure map[string]time.Time
}

// failureCooldown is how long an engine gets no samples after a failure.
const failureCooldown = 200 * time.Millisecond

// Pick implements rollout.Picker.
func (p *LeastLoaded) Pick(_ context.Context, req rollout.PickRequest) (rollout.Pick, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight == nil {
		p.inFlight, p.lastFailure = make(map[string]int), make(map[string]time.Time)
	}
	var best *machine.Backend
	var version int64
	for i := range req.Service.Backends {
		b := &req.Service.Backends[i]
		e := p.Fleet.Engine(b.ID)
		if e == nil || slices.Contains(req.Exclude, b.ID) || p.inFlight[b.ID] >= p.MaxPerEngine || e.Version() < req.MinVersion ||
			time.Since(p.lastFailure[b.ID]) < failureCooldown {
			continue
		}
		if best == nil || p.inFlight[b.ID] < p.inFlight[best.ID] {
			best, version = b, e.Version()
		}
	}
	if best == nil {
		return rollout.Pick{}, errNoBackend
	}
	p.inFlight[best.ID]++
	return rollout.Pick{Backend: *best, Version: version, Done: p.done(best.ID)}, nil
}

// done returns the function that records the end of a sample at the engine with the given ID.
func (p *LeastLoaded) done(id string) func(time.Duration, int, error) {
	return func(_ time.Duration, _ int, err error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.inFlight[id]--
		if err != nil && !errors.Is(err, context.Canceled) {
			p.lastFailure[id] = time.Now()
		}
	}
}
