package weights

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// sampler is what the lease holder knows of one sampler.
type sampler struct {
	backend  machine.Backend
	reported bool
	leaving  bool
	version  int64
	held     []int64
	// failures counts failed loads from samplers of the region in a row, storeFailures the others.
	failures, storeFailures int
	unfit                   bool
	nextTry                 time.Time
	swappedAt               time.Time
	failedSource            string
	// swapping is set while an order to load ordered from source is in flight; abandon ends the wait for
	// its answer.
	swapping  bool
	source    string
	ordered   int64
	orderedAt time.Time
	abandon   context.CancelFunc
	serving   int
}

func (s *sampler) holds(version int64) bool {
	return s.reported && (s.version == version || slices.Contains(s.held, version))
}

// driver drives the samplers of one service under one lease.
type driver struct {
	d       *Distributor
	service string
	lease   Held
	wg      conc.WaitGroup
	ended   chan struct{} // one token when an order ends

	mu       sync.Mutex
	samplers map[string]*sampler
	swapping int
	orders   int
	regions  map[string]*region
	target   int64
	since    time.Time
	complete bool
}

// region is the state of loading the target into a region from outside.
type region struct {
	failures int
	nextTry  time.Time
}

// region returns the state of the region called name. Called with mu held.
func (dr *driver) region(name string) *region {
	r := dr.regions[name]
	if r == nil {
		r = &region{}
		dr.regions[name] = r
	}
	return r
}

func newDriver(d *Distributor, service string, lease Held) *driver {
	return &driver{
		d: d, service: service, lease: lease, ended: make(chan struct{}, 1),
		samplers: make(map[string]*sampler), regions: make(map[string]*region),
	}
}

// end waits for the orders in flight. What this instance said of unfit samplers ends with its lease:
// the next holder judges them anew.
func (dr *driver) end() {
	dr.wg.Wait()
	dr.mu.Lock()
	defer dr.mu.Unlock()
	for id, s := range dr.samplers {
		if s.unfit {
			dr.d.opts.Unfit(id, false)
		}
	}
}

// reportLag is how old a load report may be. A report from before a swap's end does not undo it.
const reportLag = time.Second

// sweep asks every sampler without an order in flight which version it runs.
func (dr *driver) sweep(ctx context.Context, svc *contract.Service) {
	dr.sync(svc)
	reports := dr.d.reports(ctx, svc.Backends)
	dr.mu.Lock()
	defer dr.mu.Unlock()
	for id, s := range dr.samplers {
		if s.unfit {
			dr.d.opts.Unfit(id, true)
		}
		rep, ok := reports[id]
		if s.swapping {
			dr.checkOrder(s, rep, ok)
			continue
		}
		if !ok || time.Since(s.swappedAt) < reportLag {
			continue
		}
		s.reported, s.version, s.held, s.leaving = true, rep.Version, rep.Held, rep.Leaving
	}
}

// checkOrder ends the wait for an answer that will not come: the sampler runs the version already, or
// it gives no load report although the order must have been started by now. Called with mu held.
func (dr *driver) checkOrder(s *sampler, rep platform.LoadReport, ok bool) {
	age := time.Since(s.orderedAt)
	if (ok && rep.Version == s.ordered && age > reportLag) || (!ok && age > dr.d.opts.OrderLife) {
		s.abandon()
	}
}

// sync follows the contract's list of samplers.
func (dr *driver) sync(svc *contract.Service) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	listed := make(map[string]bool, len(svc.Backends))
	for _, b := range svc.Backends {
		listed[b.ID] = true
		s, ok := dr.samplers[b.ID]
		if !ok || (s.backend.Addr != b.Addr && !s.swapping) {
			dr.samplers[b.ID] = &sampler{backend: b}
			continue
		}
		s.backend.Zone = b.Zone
	}
	for id, s := range dr.samplers {
		if !listed[id] && !s.swapping {
			delete(dr.samplers, id)
		}
	}
}

// assign starts the orders that are possible now. It returns the time until the next retry, 0 if
// nothing waits for one.
func (dr *driver) assign(ctx context.Context, svc *contract.Service) time.Duration {
	dr.sync(svc)
	dr.mu.Lock()
	defer dr.mu.Unlock()
	target := dr.d.opts.Directory.Newest(svc.Name)
	dr.retarget(target)
	if target == 0 {
		return 0
	}
	if !dr.lease.Valid(dr.d.opts.LeaseMargin) {
		return dr.d.opts.LeaseMargin // renewed by then, or lost
	}
	now := time.Now()
	limit := swapLimit(svc)
	var retry time.Duration
	behind := dr.behind(target)
	for _, s := range behind {
		if s.swapping || s.leaving {
			continue
		}
		if dr.swapping >= limit {
			break
		}
		source, next := dr.source(s, target)
		if s.nextTry.After(next) {
			next = s.nextTry
		}
		if wait := next.Sub(now); wait > 0 {
			retry = earlier(retry, wait)
		} else if source != "" {
			dr.start(ctx, s, target, source)
		}
	}
	dr.note(target, len(behind))
	return retry
}

// earlier returns the shorter of two waits, of which 0 is none.
func earlier(a, b time.Duration) time.Duration {
	if a == 0 || b < a {
		return b
	}
	return a
}

// retarget resets what is known about the way to the target when it changes.
func (dr *driver) retarget(target int64) {
	if target == dr.target {
		return
	}
	dr.target, dr.since, dr.complete = target, time.Now(), false
	clear(dr.regions)
	for _, s := range dr.samplers {
		if !s.swapping {
			s.nextTry = time.Time{}
		}
	}
}

// behind lists the samplers that do not run target, in the order of their ids.
func (dr *driver) behind(target int64) []*sampler {
	var out []*sampler
	for _, s := range dr.samplers {
		if !s.reported || s.version != target {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *sampler) int {
		return cmp.Or(cmp.Compare(a.failures, b.failures), cmp.Compare(a.storeFailures, b.storeFailures),
			cmp.Compare(a.backend.ID, b.backend.ID))
	})
	return out
}

func (dr *driver) note(target int64, behind int) {
	m := dr.d.metrics
	m.behind.WithLabelValues(dr.service).Set(float64(behind))
	m.swapping.WithLabelValues(dr.service).Set(float64(dr.swapping))
	unfit := 0
	for _, s := range dr.samplers {
		if s.unfit {
			unfit++
		}
	}
	m.unfit.WithLabelValues(dr.service).Set(float64(unfit))
	if behind == 0 && !dr.complete {
		dr.complete = true
		took := time.Since(dr.since)
		m.complete.WithLabelValues(dr.service).Observe(took.Seconds())
		dr.d.log.Info("version distributed", "service", dr.service, "version", target, "took", took)
	}
}

// wait blocks until there may be something to do and reports whether a sweep is due.
func (dr *driver) wait(ctx context.Context, held Held, changed <-chan struct{}, sweep <-chan time.Time, retry time.Duration) bool {
	var timer <-chan time.Time
	if retry > 0 {
		t := time.NewTimer(retry)
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-ctx.Done():
	case <-held.Lost():
	case <-changed:
	case <-dr.ended:
	case <-timer:
	case <-sweep:
		return true
	}
	return false
}
