package job

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/routes"
	"github.com/cicadasill/cicadasill/timing"
)

// Periods of the driver.
const (
	// scanPeriod bounds how long the driver misses a job whose driver has died.
	scanPeriod = 150 * time.Millisecond
	// rankDelay spaces the instances that could take a job over, so that they rarely conflict.
	rankDelay = 300 * time.Millisecond
	maxRank   = 4
	// takeTimeout bounds an attempt to take a job over.
	takeTimeout = 2 * time.Second
)

// Peers tells which instances live.
type Peers interface {
	Dead(machine.Ref) bool
	Rank(key string) int
}

// DriverOptions configure a Driver.
type DriverOptions struct {
	Self       machine.Ref
	DataCentre string
	Registry   *Registry
	Backends   *backends.Directory
	Engine     Engine
	Peers      Peers
	Config     func() *routes.Config
	// SlotShare is the part of an engine's slots that this instance uses, 0 to 1.
	SlotShare  float64
	Logger     *log.Logger
	Registerer prometheus.Registerer
}

// Driver runs the items of the jobs whose driver this instance is, and takes over the jobs of
// instances that have died. Two drivers of one job do the same work twice, but list each result once.
type Driver struct {
	opts    DriverOptions
	log     *log.Logger
	placer  *placer
	lengths lengths
	metrics *driverMetrics
	tasks   conc.WaitGroup

	mu      sync.Mutex // guards running, orphans and retired
	running map[ID]context.CancelFunc
	orphans map[ID]time.Time // since when the job's driver is dead
	taking  map[ID]bool
	retired bool
}

type driverMetrics struct {
	wait, run prometheus.Histogram
	retries   prometheus.Counter
	moves     prometheus.Counter
	takeovers prometheus.Counter
	results   *prometheus.CounterVec
}

func newDriverMetrics(r prometheus.Registerer) *driverMetrics {
	m := &driverMetrics{
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "cicadasill_item_wait_seconds",
			Help: "Time for which items waited for an engine.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)}),
		run: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "cicadasill_item_run_seconds",
			Help: "Time of the last attempt of items.", Buckets: prometheus.ExponentialBuckets(0.02, 2, 10)}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadasill_item_attempts_failed_total",
			Help: "Attempts of items that did not complete them."}),
		moves: prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadasill_item_moves_total",
			Help: "Attempts of items that ended because the text went on at a faster engine."}),
		takeovers: prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadasill_job_takeovers_total",
			Help: "Jobs taken over from instances that had died."}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadasill_item_results_total",
			Help: "Results of items."}, []string{"state"}),
	}
	if r != nil {
		r.MustRegister(m.wait, m.run, m.retries, m.moves, m.takeovers, m.results)
	}
	return m
}

// NewDriver returns a driver without jobs.
func NewDriver(opts DriverOptions) *Driver {
	return &Driver{
		opts: opts, log: opts.Logger, placer: newPlacer(opts.Backends, opts.DataCentre, opts.SlotShare),
		metrics: newDriverMetrics(opts.Registerer),
		running: map[ID]context.CancelFunc{}, orphans: map[ID]time.Time{}, taking: map[ID]bool{},
	}
}

// driven is a job that this instance runs.
type driven struct {
	Summary
	items []Item
	// parts holds what earlier drivers have kept of the items' texts.
	parts map[string]Part
}

// Run drives jobs until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	d.tasks.Go(func() { d.placer.run(ctx) })
	for {
		changed := d.opts.Registry.index.Changed()
		d.scan(ctx)
		select {
		case <-ctx.Done():
			d.tasks.Wait()
			return
		case <-changed:
		case <-time.After(scanPeriod):
		}
	}
}

// scan starts the jobs that are this instance's, stops those that are not any more, and takes
// over those of dead instances.
func (d *Driver) scan(ctx context.Context) {
	var open []Summary
	d.opts.Registry.index.View(func() {
		for _, s := range d.opts.Registry.jobs.jobs {
			if s.Open() {
				open = append(open, *s)
			}
		}
	})
	own := map[ID]bool{}
	for i := range open {
		s := &open[i]
		if s.Driver == d.opts.Self {
			own[s.ID] = true
			d.start(ctx, s)
			continue
		}
		d.considerTakeover(ctx, s)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, stop := range d.running {
		if !own[id] {
			stop()
		}
	}
}

// start runs a job unless it runs already.
func (d *Driver) start(ctx context.Context, s *Summary) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running[s.ID] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	d.running[s.ID] = cancel
	job := *s
	d.tasks.Go(func() {
		defer cancel()
		d.runJob(ctx, &job)
		d.mu.Lock()
		delete(d.running, job.ID)
		d.mu.Unlock()
	})
}

// Active returns the number of jobs that run here.
func (d *Driver) Active() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.running)
}

// Retire makes the driver take no further jobs over.
func (d *Driver) Retire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retired = true
}

// considerTakeover makes this instance the driver of a job whose driver has died.
func (d *Driver) considerTakeover(ctx context.Context, s *Summary) {
	dead := d.opts.Peers.Dead(s.Driver)
	rank := time.Duration(min(d.opts.Peers.Rank(string(s.ID)), maxRank)) * rankDelay
	d.mu.Lock()
	defer d.mu.Unlock()
	if !dead || d.retired {
		delete(d.orphans, s.ID)
		return
	}
	since, known := d.orphans[s.ID]
	if !known {
		since = time.Now()
		d.orphans[s.ID] = since
	}
	if time.Since(since) < rank || d.taking[s.ID] {
		return
	}
	d.taking[s.ID] = true
	job := *s
	d.tasks.Go(func() {
		d.takeOver(ctx, &job)
		d.mu.Lock()
		delete(d.taking, job.ID)
		d.mu.Unlock()
	})
}

func (d *Driver) takeOver(ctx context.Context, s *Summary) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	changed, err := d.opts.Registry.update(ctx, s.ID, func(old *Summary) *Summary {
		if old == nil || !old.Open() || old.Driver != s.Driver {
			return nil
		}
		next := *old
		next.Driver = d.opts.Self
		return &next
	})
	if err != nil {
		d.log.Warn("job not taken over", "job", s.ID, "from", s.Driver.String(), "err", err)
		return
	}
	if changed {
		d.metrics.takeovers.Inc()
		d.log.Info("job taken over", "job", s.ID, "from", s.Driver.String())
	}
}

// runJob runs the items of a job that have no result yet.
func (d *Driver) runJob(ctx context.Context, s *Summary) {
	start := time.Now()
	job, err := d.loadJob(ctx, s)
	if err != nil {
		d.log.Warn("job not loaded", "job", s.ID, "err", err)
		timing.Sleep(ctx, scanPeriod)
		return
	}
	d.log.Info("job started", "job", s.ID, "items", len(job.items), "total", s.Total, "begun", len(job.parts), "step", s.Step,
		"model", s.Model, "min_version", s.MinVersion, "age", time.Since(s.SubmittedAt()))
	var group conc.WaitGroup
	for i := range job.items {
		group.Go(func() {
			result, done := d.runItem(ctx, job, i)
			if !done {
				return
			}
			d.metrics.results.WithLabelValues(result.State.String()).Inc()
			d.opts.Registry.list(s, result)
		})
	}
	group.Wait()
	d.forgetGroups(job)
	d.log.Info("job stopped", "job", s.ID, "took", time.Since(start), "cancelled", ctx.Err() != nil)
	d.close(ctx, s)
}

func (d *Driver) forgetGroups(job *driven) {
	groups := make([]string, 0, len(job.items))
	for i := range job.items {
		groups = append(groups, string(job.ID)+job.items[i].Group)
	}
	d.placer.forget(groups)
}

// loadJob reads a job's items that have no result yet.
func (d *Driver) loadJob(ctx context.Context, s *Summary) (*driven, error) {
	p := d.opts.Registry.partitions[s.Partition]
	job := &driven{Summary: *s, parts: map[string]Part{}}
	if err := p.Sync(ctx); err != nil {
		return nil, &UnavailableError{Err: err}
	}
	found := 0
	p.View(func() {
		l := p.state.jobs[s.ID]
		if l == nil {
			return
		}
		items := l.items()
		found = len(items)
		for i := range items {
			if _, listed := l.position[items[i].ID]; listed {
				continue
			}
			job.items = append(job.items, items[i])
			if part, ok := l.parts[items[i].ID]; ok {
				job.parts[items[i].ID] = part
			}
		}
	})
	if found != s.Total {
		return nil, &IncompleteError{Job: s.ID, Found: found, Total: s.Total}
	}
	return job, nil
}

// close waits until the store lists all results of a job, or the job is no longer this
// instance's, and records that it is complete. It deletes the items of a closed job.
func (d *Driver) close(ctx context.Context, s *Summary) {
	p := d.opts.Registry.partitions[s.Partition]
	listed := 0
	for {
		changed := p.Changed()
		p.View(func() {
			if l := p.state.jobs[s.ID]; l != nil {
				listed = len(l.results)
			}
		})
		if listed == s.Total || ctx.Err() != nil {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	now, _ := d.opts.Registry.latest(s.ID, *s)
	if now.Driver != d.opts.Self {
		return
	}
	ctx, cancel := context.WithTimeout(d.opts.Registry.life, closePatience)
	defer cancel()
	if listed == s.Total {
		if err := d.opts.Registry.finish(ctx, s); err != nil {
			d.log.Warn("job not closed", "job", s.ID, "err", err)
			return
		}
	} else if !now.Ended {
		return
	}
	if err := d.opts.Registry.dropItems(ctx, s); err != nil {
		d.log.Warn("items not deleted", "job", s.ID, "err", err)
	}
}

// closePatience bounds how long the closing of a job waits for the store.
const closePatience = 5 * time.Second

// String returns the name used in logs and metrics.
func (s State) String() string {
	if s == Complete {
		return "complete"
	}
	return "errored"
}
