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

// sampler is the state of one sampler as known to the lease holder.
type sampler struct {
	backend machine.Backend
	// versionKnown is set by a load report or a successful order, and cleared by a failed order.
	versionKnown bool
	leaving      bool
	version      int64
	heldVersions []int64
	// failures counts consecutive failed loads within the region, outsideFailures those from the store
	// or from another region.
	failures, outsideFailures int
	unfit                     bool
	retryAt                   time.Time
	swappedAt                 time.Time
	lastFailedSource          string
	// swapping is set while an order to load orderedVersion from source is in flight. cancelOrder ends
	// the wait for the answer to that order.
	swapping        bool
	source          string
	orderedVersion  int64
	orderedAt       time.Time
	cancelOrder     context.CancelFunc
	activeTransfers int // orders in flight that load from this sampler
}

// holds reports whether s can serve version to other samplers.
func (s *sampler) holds(version int64) bool {
	return s.versionKnown && (s.version == version || slices.Contains(s.heldVersions, version))
}

// serviceDistributor distributes versions to the samplers of one service while one lease is held.
type serviceDistributor struct {
	distributor *Distributor
	service     string
	lease       Lease
	wg          conc.WaitGroup
	orderEnded  chan struct{} // capacity 1; receives a value when an order ends

	mu             sync.Mutex
	samplers       map[string]*sampler
	swapping       int
	orderCount     int
	regionBackoffs map[string]*regionBackoff
	target         int64
	targetSince    time.Time
	complete       bool
}

// regionBackoff counts the failed loads of the target into one region from outside of it, and delays
// the next one.
type regionBackoff struct {
	failures int
	retryAt  time.Time
}

// regionBackoff returns the backoff of the named region and creates it if necessary. It is called with
// mu held.
func (sd *serviceDistributor) regionBackoff(name string) *regionBackoff {
	r := sd.regionBackoffs[name]
	if r == nil {
		r = &regionBackoff{}
		sd.regionBackoffs[name] = r
	}
	return r
}

func newServiceDistributor(d *Distributor, service string, lease Lease) *serviceDistributor {
	return &serviceDistributor{
		distributor: d, service: service, lease: lease, orderEnded: make(chan struct{}, 1),
		samplers: make(map[string]*sampler), regionBackoffs: make(map[string]*regionBackoff),
	}
}

// drain waits for the orders in flight and then clears the unfit marks that this instance has set. The
// next lease holder decides anew which samplers are unfit.
func (sd *serviceDistributor) drain() {
	sd.wg.Wait()
	sd.mu.Lock()
	defer sd.mu.Unlock()
	for id, s := range sd.samplers {
		if s.unfit {
			sd.distributor.opts.SetUnfit(id, false)
		}
	}
}

// maxReportAge is the maximum age of a load report. Reports received within this time after a swap are
// ignored, because they may still name the previous version.
const maxReportAge = time.Second

// sweep requests a load report from every sampler. It updates the versions of samplers without an order
// in flight, cancels stale orders and repeats the unfit marks.
func (sd *serviceDistributor) sweep(ctx context.Context, svc *contract.Service) {
	sd.syncSamplers(svc)
	reports := sd.distributor.loadReports(ctx, svc.Backends)
	sd.mu.Lock()
	defer sd.mu.Unlock()
	for id, s := range sd.samplers {
		if s.unfit {
			sd.distributor.opts.SetUnfit(id, true)
		}
		rep, ok := reports[id]
		if s.swapping {
			sd.cancelStaleOrder(s, rep, ok)
			continue
		}
		if !ok || time.Since(s.swappedAt) < maxReportAge {
			continue
		}
		s.versionKnown, s.version, s.heldVersions, s.leaving = true, rep.Version, rep.Held, rep.Leaving
	}
}

// cancelStaleOrder ends the wait for an answer that is not expected any more: the sampler already runs
// the version, or it gives no load report and the deadline to start the order has passed. It is called
// with mu held.
func (sd *serviceDistributor) cancelStaleOrder(s *sampler, rep platform.LoadReport, reported bool) {
	age := time.Since(s.orderedAt)
	if (reported && rep.Version == s.orderedVersion && age > maxReportAge) ||
		(!reported && age > sd.distributor.opts.OrderLife) {
		s.cancelOrder()
	}
}

// syncSamplers adds and removes samplers according to the contract. Samplers with an order in flight
// are kept until the order ends.
func (sd *serviceDistributor) syncSamplers(svc *contract.Service) {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	listed := make(map[string]bool, len(svc.Backends))
	for _, b := range svc.Backends {
		listed[b.ID] = true
		s, ok := sd.samplers[b.ID]
		if !ok || (s.backend.Addr != b.Addr && !s.swapping) {
			sd.samplers[b.ID] = &sampler{backend: b}
			continue
		}
		s.backend.Zone = b.Zone
	}
	for id, s := range sd.samplers {
		if !listed[id] && !s.swapping {
			delete(sd.samplers, id)
		}
	}
}

// startOrders starts all orders that are possible now. It returns the time until the next retry, or 0 if
// no retry is pending.
func (sd *serviceDistributor) startOrders(ctx context.Context, svc *contract.Service) time.Duration {
	sd.syncSamplers(svc)
	sd.mu.Lock()
	defer sd.mu.Unlock()
	target := sd.distributor.opts.Directory.Newest(svc.Name)
	sd.setTarget(target)
	if target == 0 {
		return 0
	}
	if !sd.lease.Valid(sd.distributor.opts.LeaseMargin) {
		return sd.distributor.opts.LeaseMargin // by then the lease is renewed or lost
	}
	now := time.Now()
	limit := swapLimit(svc)
	var retryIn time.Duration
	behind := sd.samplersBehind(target)
	for _, s := range behind {
		if s.swapping || s.leaving {
			continue
		}
		if sd.swapping >= limit {
			break
		}
		source, earliest := sd.chooseSource(s, target)
		if s.retryAt.After(earliest) {
			earliest = s.retryAt
		}
		if wait := earliest.Sub(now); wait > 0 {
			retryIn = shorterWait(retryIn, wait)
		} else if source != "" {
			sd.startOrder(ctx, s, target, source)
		}
	}
	sd.recordProgress(target, len(behind))
	return retryIn
}

// shorterWait returns the shorter of two waits, or b if a is 0, which stands for no wait.
func shorterWait(a, b time.Duration) time.Duration {
	if a == 0 || b < a {
		return b
	}
	return a
}

// setTarget sets the version to distribute. If it changed, setTarget resets the progress, the backoffs of
// the regions and the retry times of samplers without an order in flight.
func (sd *serviceDistributor) setTarget(target int64) {
	if target == sd.target {
		return
	}
	sd.target, sd.targetSince, sd.complete = target, time.Now(), false
	clear(sd.regionBackoffs)
	for _, s := range sd.samplers {
		if !s.swapping {
			s.retryAt = time.Time{}
		}
	}
}

// samplersBehind returns the samplers that are not known to run target. Those with fewer failures come
// first; equal ones are ordered by id.
func (sd *serviceDistributor) samplersBehind(target int64) []*sampler {
	var out []*sampler
	for _, s := range sd.samplers {
		if !s.versionKnown || s.version != target {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *sampler) int {
		return cmp.Or(cmp.Compare(a.failures, b.failures), cmp.Compare(a.outsideFailures, b.outsideFailures),
			cmp.Compare(a.backend.ID, b.backend.ID))
	})
	return out
}

// recordProgress updates the gauges. It also logs and measures the distribution once no sampler is
// behind.
func (sd *serviceDistributor) recordProgress(target int64, behind int) {
	m := sd.distributor.metrics
	m.behind.WithLabelValues(sd.service).Set(float64(behind))
	m.swapping.WithLabelValues(sd.service).Set(float64(sd.swapping))
	unfit := 0
	for _, s := range sd.samplers {
		if s.unfit {
			unfit++
		}
	}
	m.unfit.WithLabelValues(sd.service).Set(float64(unfit))
	if behind == 0 && !sd.complete {
		sd.complete = true
		took := time.Since(sd.targetSince)
		m.distributionTime.WithLabelValues(sd.service).Observe(took.Seconds())
		sd.distributor.log.Info("version distributed", "service", sd.service, "version", target, "took", took)
	}
}

// waitForEvent blocks until the state changes, an order ends, a retry or a sweep is due, the lease is lost
// or ctx ends. It reports whether a sweep is due.
func (sd *serviceDistributor) waitForEvent(ctx context.Context, lease Lease, changed <-chan struct{}, sweepTick <-chan time.Time, retryIn time.Duration) bool {
	var timer <-chan time.Time
	if retryIn > 0 {
		t := time.NewTimer(retryIn)
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-ctx.Done():
	case <-lease.Lost():
	case <-changed:
	case <-sd.orderEnded:
	case <-timer:
	case <-sweepTick:
		return true
	}
	return false
}
