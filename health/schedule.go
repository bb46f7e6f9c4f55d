package health

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/zone"
)

// Defaults of the poll schedule.
const (
	// DefaultIdlePeriod is how often an instance polls a back end that it does not observe,
	// while it has no requests for the service.
	DefaultIdlePeriod = 30 * time.Second
	// DefaultActiveFor is how long a service counts as in use after a request for it.
	DefaultActiveFor = 10 * time.Second
	// wantResolution bounds how often the time of the last request is stored.
	wantResolution = time.Second
	// fallbackBackends is the number of back ends of other regions in a subset.
	fallbackBackends = 2
)

// demand knows which services this instance has requests for.
type demand struct {
	mu       sync.Mutex
	services map[string]*serviceDemand
}

// serviceDemand is the demand for one service.
type serviceDemand struct {
	wanted atomic.Int64 // UnixNano of the last request, within wantResolution
	mu     sync.Mutex
	wake   chan struct{}
}

func newDemand() *demand { return &demand{services: map[string]*serviceDemand{}} }

func (d *demand) of(service string) *serviceDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[service]
	if s == nil {
		s = &serviceDemand{wake: make(chan struct{})}
		d.services[service] = s
	}
	return s
}

// active reports whether there was a request in the last period.
func (s *serviceDemand) active(now time.Time, period time.Duration) bool {
	return now.UnixNano()-s.wanted.Load() < period.Nanoseconds()
}

// woken returns a channel that is closed when the service comes into use.
func (s *serviceDemand) woken() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wake
}

// Want states that this instance has a request for a service. When the service was not in
// use, its back ends are polled at once.
func (t *Tracker) Want(service string) {
	d := t.index.Load().demand[service]
	if d == nil {
		return
	}
	now := time.Now()
	if now.UnixNano()-d.wanted.Load() < wantResolution.Nanoseconds() {
		return
	}
	idle := !d.active(now, t.opts.ActiveFor)
	d.wanted.Store(now.UnixNano())
	if !idle {
		return
	}
	d.mu.Lock()
	close(d.wake)
	d.wake = make(chan struct{})
	d.mu.Unlock()
}

// untilNextPoll waits until b is due. An observer polls at the poll period whatever the
// demand, so that a leaving back end is noticed; other instances poll an unused service rarely.
func (t *Tracker) untilNextPoll(ctx context.Context, b *Backend, demand *serviceDemand, woken <-chan struct{}) {
	period := t.opts.IdlePeriod
	if t.opts.Observes == nil || t.opts.Observes(b.Backend) || demand.active(time.Now(), t.opts.ActiveFor) {
		period = t.opts.PollPeriod
	}
	timer := time.NewTimer(jitter(period))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-woken:
	}
}

// subset returns the back ends of one service to which this instance routes. Rendezvous
// hashing spreads the instances' subsets evenly; back ends of the own region come first.
func (t *Tracker) subset(backends []machine.Backend) []machine.Backend {
	if t.opts.Subset <= 0 || len(backends) <= t.opts.Subset {
		return backends
	}
	near, far := []machine.Backend{}, []machine.Backend{}
	for _, b := range backends {
		if b.Zone.DistanceTo(t.opts.Zone) == zone.CrossRegion {
			far = append(far, b)
		} else {
			near = append(near, b)
		}
	}
	t.sortByWeight(near)
	t.sortByWeight(far)
	take := min(len(near), max(0, t.opts.Subset-min(fallbackBackends, len(far))))
	chosen := slices.Clone(near[:take])
	return append(chosen, far[:min(len(far), t.opts.Subset-take)]...)
}

func (t *Tracker) sortByWeight(backends []machine.Backend) {
	weight := func(b machine.Backend) uint64 { return xxhash.Sum64String(t.opts.Self + "/" + b.ID) }
	slices.SortFunc(backends, func(a, b machine.Backend) int {
		if wa, wb := weight(a), weight(b); wa != wb {
			if wa > wb {
				return -1
			}
			return 1
		}
		return 0
	})
}

// isObserver reports whether this instance must poll b even if it does not route to it.
func (t *Tracker) isObserver(b machine.Backend) bool {
	return t.opts.Observes != nil && t.opts.Observes(b)
}
