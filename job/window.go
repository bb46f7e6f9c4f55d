package job

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/routes"
)

// Window over the items of large jobs.
//
// A started item takes a goroutine, timers and a place in the queue for an engine. A driver starts the items of a job at once
// as long as it has no more than maxStartedItems started, fewer on small machines. The items of a larger job start in queue order as
// others end.

const (
	// maxStartedItems bounds the started items of a driver, except that each kind of items may have minStartedPerKind.
	maxStartedItems = 4096
	// startedItemBytes is about the memory of a started item besides its text: the stack of its goroutine, and timers.
	startedItemBytes = 10 << 10
	// minStartedPerKind is the number of items of a kind that may be started whatever other kinds have started. Otherwise
	// items that wait for an engine of one model would keep those of another from running.
	minStartedPerKind = 256
	// windowInterval bounds the time until an item starts that the end of another job's item makes room for.
	windowInterval = 50 * time.Millisecond
)

// itemKind is what items have in common that wait for the same engines and back ends.
type itemKind struct{ service, model, rewardService string }

// waitingItems are items of a job that have not been started, in queue order.
type waitingItems struct {
	kind  itemKind
	route *routes.Route // nil if the configuration has none
	items []waitingItem
}

// waitingItem is an item that has not been started, by its index in the job.
type waitingItem struct {
	order int64
	index int
}

// startedItems counts the items that a driver has started, over all its jobs.
type startedItems struct {
	// limit bounds the items; 0 means maxStartedItems.
	limit int
	mu    sync.Mutex
	total int
}

// startedLimit returns the bound of the started items that fit into memory bytes; 0 sets no bound of the memory.
func startedLimit(memory int64) int {
	if memory == 0 {
		return maxStartedItems
	}
	return int(min(maxStartedItems, max(minStartedPerKind, memory/startedItemBytes)))
}

// add adds n items if there are no more than the limit with them, or if exempt is true. It reports whether it has.
func (s *startedItems) add(n int, exempt bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.total+n > cmp.Or(s.limit, maxStartedItems) && !exempt {
		return false
	}
	s.total += n
	return true
}

// end removes one item.
func (s *startedItems) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total--
}

// itemWindow starts the items of one job.
type itemWindow struct {
	driver *Driver
	job    *activeJob
	run    func(index int)
	tasks  conc.WaitGroup
	ended  chan struct{} // receives after the end of items

	config  *routes.Config // by which waiting is grouped
	waiting []*waitingItems

	mu      sync.Mutex // guards started
	started map[itemKind]int
}

// runItems calls run for each item of a job until all calls have returned. It starts no further item after the end of ctx.
func (d *Driver) runItems(ctx context.Context, job *activeJob, run func(index int)) {
	w := &itemWindow{driver: d, job: job, run: run, ended: make(chan struct{}, 1), started: map[itemKind]int{}}
	defer w.tasks.Wait()
	if d.started.add(len(job.items), false) {
		for i := range job.items {
			w.start(i, itemKind{})
		}
		return
	}
	w.feed(ctx)
}

// start starts an item that is counted in Driver.started.
func (w *itemWindow) start(index int, kind itemKind) {
	w.mu.Lock()
	w.started[kind]++
	w.mu.Unlock()
	w.tasks.Go(func() {
		w.run(index)
		w.driver.started.end()
		w.mu.Lock()
		w.started[kind]--
		w.mu.Unlock()
		select {
		case w.ended <- struct{}{}:
		default:
		}
	})
}

// feed starts the items of a large job as others end.
func (w *itemWindow) feed(ctx context.Context) {
	all := make([]waitingItem, len(w.job.items))
	for i := range w.job.items {
		expected := w.driver.durations.expectedRun(w.job.items[i].LengthEstimate)
		all[i] = waitingItem{order: queueOrder(queueTime(w.job.AcceptedAt()), expected, i), index: i}
	}
	w.waiting = []*waitingItems{{items: all}}
	ticker := time.NewTicker(windowInterval)
	defer ticker.Stop()
	for {
		if config := w.driver.opts.Config(); config != nil {
			if config != w.config {
				w.group(config)
			}
			w.startDue(time.Now())
		}
		if len(w.waiting) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-w.ended:
		case <-ticker.C:
		}
	}
}

// group groups the waiting items by their kinds under a configuration.
func (w *itemWindow) group(config *routes.Config) {
	type key struct {
		kind  itemKind
		route *routes.Route
	}
	groups := map[key]*waitingItems{}
	for _, old := range w.waiting {
		for _, waiting := range old.items {
			item := &w.job.items[waiting.index]
			k := key{}
			if route, ok := config.Match(w.job.Host, item.Path); ok {
				k.route, k.kind.service, k.kind.model = route, route.ServiceFor(item.ID), item.Model
			}
			if item.Reward != nil {
				if route, ok := config.Match(item.Reward.Host, item.Reward.Path); ok {
					k.kind.rewardService = route.ServiceFor(item.Reward.ID)
				}
			}
			if groups[k] == nil {
				groups[k] = &waitingItems{kind: k.kind, route: k.route}
			}
			groups[k].items = append(groups[k].items, waiting)
		}
	}
	w.config, w.waiting = config, w.waiting[:0]
	for _, g := range groups {
		slices.SortFunc(g.items, func(a, b waitingItem) int { return cmp.Compare(a.order, b.order) })
		w.waiting = append(w.waiting, g)
	}
}

// startDue starts waiting items in queue order as far as the window allows.
func (w *itemWindow) startDue(now time.Time) {
	engines := map[string][]backends.Candidate{}
	var due []*waitingItems
	for _, g := range w.waiting {
		if w.isDue(g, engines, now) {
			due = append(due, g)
		}
	}
	for len(due) > 0 {
		first := slices.MinFunc(due, func(a, b *waitingItems) int { return cmp.Compare(a.items[0].order, b.items[0].order) })
		kind := first.kind
		if !knowsModel(engines[kind.service], kind.model) {
			kind.model = "" // the names of unknown models are unbounded
		}
		w.mu.Lock()
		exempt := w.started[kind] < minStartedPerKind
		w.mu.Unlock()
		if w.driver.started.add(1, exempt) {
			w.start(first.items[0].index, kind)
			first.items = first.items[1:]
			if len(first.items) > 0 {
				continue
			}
		}
		due = slices.DeleteFunc(due, func(g *waitingItems) bool { return g == first })
	}
	w.waiting = slices.DeleteFunc(w.waiting, func(g *waitingItems) bool { return len(g.items) == 0 })
}

// isDue reports whether items have an engine that may run them, or can be given up. engines caches the engines of the services.
func (w *itemWindow) isDue(g *waitingItems, engines map[string][]backends.Candidate, now time.Time) bool {
	if g.route == nil {
		return w.config.Version >= w.job.ConfigVersion
	}
	if g.route.GiveUpAfter > 0 && w.job.isOlderThan(g.route.GiveUpAfter, now) {
		return true
	}
	service := g.kind.service
	if _, known := engines[service]; !known {
		engines[service] = w.driver.opts.Backends.Candidates(service, "")
	}
	return slices.ContainsFunc(engines[service], func(c backends.Candidate) bool { return c.Versions[g.kind.model] >= w.job.MinVersion })
}

// knowsModel reports whether one of the engines has the model.
func knowsModel(engines []backends.Candidate, model string) bool {
	return slices.ContainsFunc(engines, func(c backends.Candidate) bool {
		_, ok := c.Versions[model]
		return ok
	})
}
