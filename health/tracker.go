package health

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// Tracker tracks the state of the back ends in an instance's catalog.
type Tracker struct {
	opts Options
	log  *log.Logger

	index  atomic.Pointer[index]
	demand *demandTable

	mu          sync.Mutex // guards runCtx, cancels, becameReady and the replacement of index
	runCtx      context.Context
	cancels     map[string]context.CancelFunc
	wg          conc.WaitGroup
	becameReady chan struct{}

	ejections *prometheus.CounterVec
}

// index holds the back ends of one Update. It is not changed after it is stored.
type index struct {
	byID      map[string]*Backend
	byService map[string][]*Backend     // only those to which this instance routes
	demand    map[string]*serviceDemand // by service
}

// New returns a tracker without back ends.
func New(opts Options) *Tracker {
	opts.setDefaults()
	t := &Tracker{opts: opts, log: opts.Logger, cancels: map[string]context.CancelFunc{}, becameReady: make(chan struct{})}
	if t.log == nil {
		t.log = log.New(io.Discard)
	}
	t.demand = newDemandTable()
	t.index.Store(&index{})
	t.registerMetrics()
	return t
}

// Update replaces the set of back ends and keeps the state of unchanged ones. If a service has more
// back ends than Options.Subset, this instance routes only to its subset. It tracks the others as
// well, because it may be their observer.
func (t *Tracker) Update(backends []machine.Backend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.index.Load()
	next := &index{byID: map[string]*Backend{}, byService: map[string][]*Backend{}, demand: map[string]*serviceDemand{}}
	routed := t.routedIDs(backends)
	for _, m := range backends {
		b, ok := old.byID[m.ID]
		if !ok || b.Backend != m {
			t.stopPolling(m.ID)
			b = newBackend(m, &t.opts)
		}
		next.byID[m.ID] = b
		next.demand[m.Service] = t.demand.forService(m.Service)
		b.routed.Store(routed[m.ID])
		if routed[m.ID] {
			next.byService[m.Service] = append(next.byService[m.Service], b)
		}
	}
	t.index.Store(next)
	for id := range old.byID {
		if next.byID[id] == nil {
			t.stopPolling(id)
		}
	}
	t.startPolling()
}

// routedIDs returns the ids of the back ends to which this instance routes.
func (t *Tracker) routedIDs(backends []machine.Backend) map[string]bool {
	services := map[string][]machine.Backend{}
	for _, b := range backends {
		services[b.Service] = append(services[b.Service], b)
	}
	ids := map[string]bool{}
	for _, all := range services {
		for _, b := range t.subset(all) {
			ids[b.ID] = true
		}
	}
	return ids
}

// Run polls the back ends until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	t.mu.Lock()
	t.runCtx = ctx
	t.startPolling()
	t.wg.Go(func() { t.watchLeavingSources(ctx) })
	t.mu.Unlock()
	<-ctx.Done()
	t.mu.Lock()
	t.runCtx = nil
	for id := range t.cancels {
		t.stopPolling(id)
	}
	t.mu.Unlock()
	t.wg.Wait()
	return nil
}

// ServiceBackends returns the back ends of a service to which this instance routes. The caller must
// not modify the slice.
func (t *Tracker) ServiceBackends(name string) []*Backend { return t.index.Load().byService[name] }

// Backend returns the back end with the given id.
func (t *Tracker) Backend(id string) (*Backend, bool) {
	b, ok := t.index.Load().byID[id]
	return b, ok
}

// StateOf returns the current state of b.
func (t *Tracker) StateOf(b *Backend) State { return b.State(time.Now(), t.opts.PollFailureThreshold) }

// Ready reports whether the back end may get new requests.
func (t *Tracker) Ready(id string) bool {
	b, ok := t.Backend(id)
	return ok && t.StateOf(b) == Ready
}

// Report returns the newest load report of a back end, with Running corrected by the requests that
// this instance has sent and finished since. It returns false for an unknown back end and before
// the first successful poll.
func (t *Tracker) Report(id string) (platform.LoadReport, bool) {
	b, ok := t.Backend(id)
	if !ok {
		return platform.LoadReport{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.report
	r.Running = max(0, b.load.estimate(r.Running+r.Queued)-r.Queued)
	return r, b.polled
}

// Capacity returns the number of concurrent requests that this instance may have at the ready back
// ends of a service.
func (t *Tracker) Capacity(service string) int {
	total := 0
	now := time.Now()
	for _, b := range t.ServiceBackends(service) {
		if b.State(now, t.opts.PollFailureThreshold) == Ready {
			total += max(1, int(float64(b.Limit.Limit())*b.Share(now)))
		}
	}
	return total
}

// BecameReady returns a channel that is closed when a back end becomes ready.
func (t *Tracker) BecameReady() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.becameReady
}

// notifyReady closes the channel returned by BecameReady and replaces it.
func (t *Tracker) notifyReady() {
	t.mu.Lock()
	close(t.becameReady)
	t.becameReady = make(chan struct{})
	t.mu.Unlock()
}

// startPolling starts a poll loop for each back end that has none. The caller holds mu.
func (t *Tracker) startPolling() {
	if t.runCtx == nil || t.runCtx.Err() != nil {
		return
	}
	for id, b := range t.index.Load().byID {
		if t.cancels[id] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(t.runCtx)
		t.cancels[id] = cancel
		t.wg.Go(func() { t.pollLoop(ctx, b) })
	}
}

// stopPolling ends the poll loop of a back end. The caller holds mu.
func (t *Tracker) stopPolling(id string) {
	if cancel := t.cancels[id]; cancel != nil {
		cancel()
		delete(t.cancels, id)
	}
}
