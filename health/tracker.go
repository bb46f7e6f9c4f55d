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

// Tracker observes the back ends of an instance's catalog.
type Tracker struct {
	opts Options
	log  *log.Logger

	index  atomic.Pointer[index]
	demand *demand

	mu      sync.Mutex // guards run, cancel and updates
	run     context.Context
	cancel  map[string]context.CancelFunc
	wg      conc.WaitGroup
	changed chan struct{}

	ejections *prometheus.CounterVec
}

// index is an immutable view of the back ends.
type index struct {
	byID      map[string]*Backend
	byService map[string][]*Backend
	demand    map[string]*serviceDemand
}

// New returns a tracker without back ends.
func New(opts Options) *Tracker {
	opts.setDefaults()
	t := &Tracker{opts: opts, log: opts.Logger, cancel: map[string]context.CancelFunc{}, changed: make(chan struct{})}
	if t.log == nil {
		t.log = log.New(io.Discard)
	}
	t.demand = newDemand()
	t.index.Store(&index{})
	t.registerMetrics()
	return t
}

// Update replaces the set of back ends. The state of those that stay is kept. Of a service
// with more back ends than the subset size, this instance routes to its subset only; it tracks
// the others too, because it may be their observer.
func (t *Tracker) Update(backends []machine.Backend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.index.Load()
	next := &index{byID: map[string]*Backend{}, byService: map[string][]*Backend{}, demand: map[string]*serviceDemand{}}
	routed := t.routed(backends)
	for _, m := range backends {
		b, ok := old.byID[m.ID]
		if !ok || b.Backend != m {
			t.stop(m.ID)
			b = newBackend(m, &t.opts)
		}
		next.byID[m.ID] = b
		next.demand[m.Service] = t.demand.of(m.Service)
		b.routed.Store(routed[m.ID])
		if routed[m.ID] {
			next.byService[m.Service] = append(next.byService[m.Service], b)
		}
	}
	t.index.Store(next)
	for id := range old.byID {
		if next.byID[id] == nil {
			t.stop(id)
		}
	}
	t.startAll()
}

// routed returns the ids of the back ends to which this instance routes.
func (t *Tracker) routed(backends []machine.Backend) map[string]bool {
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
	t.run = ctx
	t.startAll()
	t.wg.Go(func() { t.followSources(ctx) })
	t.mu.Unlock()
	<-ctx.Done()
	t.mu.Lock()
	t.run = nil
	for id := range t.cancel {
		t.stop(id)
	}
	t.mu.Unlock()
	t.wg.Wait()
	return nil
}

// Service returns the back ends of a service. The slice must not be changed.
func (t *Tracker) Service(name string) []*Backend { return t.index.Load().byService[name] }

// Backend returns the back end with an id.
func (t *Tracker) Backend(id string) (*Backend, bool) {
	b, ok := t.index.Load().byID[id]
	return b, ok
}

// StateOf returns the state of b now.
func (t *Tracker) StateOf(b *Backend) State { return b.State(time.Now(), t.opts.PollFailures) }

// Ready reports whether the back end may get new requests.
func (t *Tracker) Ready(id string) bool {
	b, ok := t.Backend(id)
	return ok && t.StateOf(b) == Ready
}

// Report returns the newest load report with Running corrected by what this instance sent
// and finished since.
func (t *Tracker) Report(id string) (platform.LoadReport, bool) {
	b, ok := t.Backend(id)
	if !ok {
		return platform.LoadReport{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.report
	r.Running = max(0, b.load.corrected(r.Running+r.Queued)-r.Queued)
	return r, b.polled
}

// Capacity returns the number of requests that the ready back ends of a service take from
// this instance.
func (t *Tracker) Capacity(service string) int {
	total := 0
	now := time.Now()
	for _, b := range t.Service(service) {
		if b.State(now, t.opts.PollFailures) == Ready {
			total += max(1, int(float64(b.Limit.Limit())*b.Share(now)))
		}
	}
	return total
}

// Changed returns a channel that is closed when a back end becomes ready.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t *Tracker) notify() {
	t.mu.Lock()
	close(t.changed)
	t.changed = make(chan struct{})
	t.mu.Unlock()
}

// startAll starts the goroutines of back ends that have none. The caller holds mu.
func (t *Tracker) startAll() {
	if t.run == nil || t.run.Err() != nil {
		return
	}
	for id, b := range t.index.Load().byID {
		if t.cancel[id] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(t.run)
		t.cancel[id] = cancel
		t.wg.Go(func() { t.follow(ctx, b) })
	}
}

// stop ends a back end's goroutine. The caller holds mu.
func (t *Tracker) stop(id string) {
	if cancel := t.cancel[id]; cancel != nil {
		cancel()
		delete(t.cancel, id)
	}
}
