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
	// DefaultIdlePollInterval is the poll interval of a back end that this instance does not observe,
	// while it has no requests for the service.
	DefaultIdlePollInterval = 30 * time.Second
	// DefaultActiveWindow is how long a service counts as active after a request for it.
	DefaultActiveWindow = 10 * time.Second
	// demandResolution is the shortest interval at which the time of the last request is updated.
	demandResolution = time.Second
	// crossRegionFallbacks is the number of places in a subset that are reserved for back ends of
	// other regions.
	crossRegionFallbacks = 2
)

// demandTable holds, by service, when this instance last had a request for it.
type demandTable struct {
	mu       sync.Mutex
	services map[string]*serviceDemand
}

// serviceDemand holds when this instance last had a request for one service.
type serviceDemand struct {
	lastRequest atomic.Int64 // UnixNano of the last request, accurate to demandResolution
	mu          sync.Mutex
	wake        chan struct{} // closed and replaced when the service becomes active
}

func newDemandTable() *demandTable { return &demandTable{services: map[string]*serviceDemand{}} }

// forService returns the demand for a service and creates it if needed.
func (d *demandTable) forService(service string) *serviceDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[service]
	if s == nil {
		s = &serviceDemand{wake: make(chan struct{})}
		d.services[service] = s
	}
	return s
}

// active reports whether there was a request within the window.
func (s *serviceDemand) active(now time.Time, window time.Duration) bool {
	return now.UnixNano()-s.lastRequest.Load() < window.Nanoseconds()
}

// activated returns a channel that is closed when the service becomes active.
func (s *serviceDemand) activated() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wake
}

// RecordDemand records that this instance has a request for a service. If the service was not active, its
// back ends are polled at once.
func (t *Tracker) RecordDemand(service string) {
	d := t.index.Load().demand[service]
	if d == nil {
		return
	}
	now := time.Now()
	if now.UnixNano()-d.lastRequest.Load() < demandResolution.Nanoseconds() {
		return
	}
	idle := !d.active(now, t.opts.ActiveWindow)
	d.lastRequest.Store(now.UnixNano())
	if !idle {
		return
	}
	d.mu.Lock()
	close(d.wake)
	d.wake = make(chan struct{})
	d.mu.Unlock()
}

// waitForNextPoll waits until the next poll of b is due or activated is closed. An observer polls
// every PollInterval even without demand, so that a leaving back end is noticed; other instances poll
// the back ends of an inactive service every IdlePollInterval.
func (t *Tracker) waitForNextPoll(ctx context.Context, b *Backend, demand *serviceDemand, activated <-chan struct{}) {
	interval := t.opts.IdlePollInterval
	if t.opts.Observes == nil || t.opts.Observes(b.Backend) || demand.active(time.Now(), t.opts.ActiveWindow) {
		interval = t.opts.PollInterval
	}
	timer := time.NewTimer(jitter(interval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-activated:
	}
}

// subset returns the back ends of one service to which this instance routes. Rendezvous hashing
// spreads the subsets of the instances evenly. Back ends of the instance's region come first; up to
// crossRegionFallbacks of other regions are always included.
func (t *Tracker) subset(backends []machine.Backend) []machine.Backend {
	if t.opts.Subset <= 0 || len(backends) <= t.opts.Subset {
		return backends
	}
	sameRegion, otherRegions := []machine.Backend{}, []machine.Backend{}
	for _, b := range backends {
		if b.Zone.DistanceTo(t.opts.Zone) == zone.CrossRegion {
			otherRegions = append(otherRegions, b)
		} else {
			sameRegion = append(sameRegion, b)
		}
	}
	t.sortByWeight(sameRegion)
	t.sortByWeight(otherRegions)
	sameRegionCount := min(len(sameRegion), max(0, t.opts.Subset-min(crossRegionFallbacks, len(otherRegions))))
	chosen := slices.Clone(sameRegion[:sameRegionCount])
	return append(chosen, otherRegions[:min(len(otherRegions), t.opts.Subset-sameRegionCount)]...)
}

// sortByWeight sorts the back ends by their rendezvous hash with this instance, highest first.
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

// isObserver reports whether this instance must poll b even if it does not route to b.
func (t *Tracker) isObserver(b machine.Backend) bool {
	return t.opts.Observes != nil && t.opts.Observes(b)
}
