package job

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/forward"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/reward"
	"github.com/cicadasill/cicadasill/routes"
	"github.com/cicadasill/cicadasill/timing"
)

// scanInterval bounds how late the death of a driver is noticed. Changes of the index trigger a scan at
// once, but the death of a driver changes no record of the index.
const scanInterval = 150 * time.Millisecond

// Delays between two attempts to load a job.
const (
	loadRetryDelay    = 150 * time.Millisecond
	maxLoadRetryDelay = 2 * time.Second
)

// stopPollInterval is the time between two checks whether the jobs of a stopping instance have stopped.
const stopPollInterval = 10 * time.Millisecond

// Peers reports the liveness of the instances.
type Peers interface {
	// Dead reports whether an instance is known to have ended.
	Dead(machine.Ref) bool
	// Rank returns this instance's position among the live ones, in an order that depends on key and is
	// the same at all instances.
	Rank(key string) int
}

// DriverOptions configures a Driver.
type DriverOptions struct {
	Self       machine.Ref
	DataCentre string
	Registry   *Registry
	Backends   *backends.Directory
	Engine     Engine
	// Requests forwards the reward calls of complete texts.
	Requests Requests
	// RateLimits permits items at engines that have stated a rate limit.
	RateLimits forward.RateLimits
	Peers      Peers
	Config     func() *routes.Config
	// EntriesAge returns the time since which the entries of Backends may have changed unnoticed; nil if they are always current.
	EntriesAge func() time.Duration
	// SpreadEqual makes this instance prefer one of equal engines by an order of its own instead of by their ids.
	SpreadEqual bool
	// SlotShare is the fraction of an engine's slots that this instance may use, from 0 to 1.
	SlotShare float64
	// StartedBytes is the memory in bytes that started items may take besides their texts; 0 sets no bound.
	StartedBytes int64
	Logger       *log.Logger
	Registerer   prometheus.Registerer
}

// Driver runs the items of the jobs that are assigned to this instance, and takes over the jobs of
// instances that have died. If two instances drive the same job for a time, items may run twice, but
// each item gets one listed result.
type Driver struct {
	opts      DriverOptions
	log       *log.Logger
	placer    *placer
	waits     *waits
	rewards   *reward.Gate
	durations durationEstimator
	metrics   *driverMetrics
	tasks     conc.WaitGroup
	drivers   atomic.Int64 // instances that drive an open job
	started   startedItems
	// indexState returns the age of this instance's copy of the index and the error of its last read.
	indexState func() (time.Duration, error)

	mu               sync.Mutex // guards the fields below
	running          map[ID]context.CancelFunc
	active           map[ID]*activeJob // loaded jobs among running
	orphanedSince    map[ID]time.Time  // when this instance noticed that the job's driver is dead
	takeovers        map[ID]bool
	takeoversStopped bool
	stopped          bool // no job may run any more
}

type driverMetrics struct {
	wait, run prometheus.Histogram
	retries   prometheus.Counter
	restarts  prometheus.Counter
	moves     prometheus.Counter
	// staleIndex counts sends that waited because the index was too old.
	staleIndex prometheus.Counter
	takeovers  prometheus.Counter
	results    *prometheus.CounterVec
	// rewardWait and rewardCall are the times that complete texts wait for their reward call and for its
	// answer, rewards the calls by outcome.
	rewardWait, rewardCall prometheus.Histogram
	rewards                *prometheus.CounterVec
}

func newDriverMetrics(r prometheus.Registerer, gate *reward.Gate) *driverMetrics {
	m := &driverMetrics{
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "cicadasill_item_wait_seconds",
			Help: "Time that items waited for an engine.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)}),
		run: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "cicadasill_item_run_seconds",
			Help: "Duration of the last attempt of completed items.", Buckets: prometheus.ExponentialBuckets(0.02, 2, 10)}),
		restarts: prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadasill_item_restarts_total",
			Help: "Texts that started over because no engine with the software that began them got free in time, or that is not certain."}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadasill_item_attempts_failed_total",
			Help: "Item attempts that ended without completing the item, except for moves."}),
		moves: prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadasill_item_moves_total",
			Help: "Item attempts that ended because the item moved to a faster engine."}),
		staleIndex: prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadasill_sends_delayed_total",
			Help: "Sends of items and reward calls that waited because the copy of the job index was too old."}),
		takeovers: prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadasill_job_takeovers_total",
			Help: "Jobs taken over from dead instances."}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadasill_item_results_total",
			Help: "Item results by state."}, []string{"state"}),
		rewardWait: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "cicadasill_reward_wait_seconds",
			Help: "Time that complete texts waited before a reward call was sent.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)}),
		rewardCall: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "cicadasill_reward_call_seconds",
			Help: "Duration of reward calls.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)}),
		rewards: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadasill_reward_calls_total",
			Help: "Reward calls by outcome."}, []string{"outcome"}),
	}
	if r != nil {
		r.MustRegister(m.wait, m.run, m.retries, m.restarts, m.moves, m.staleIndex, m.takeovers, m.results, m.rewardWait, m.rewardCall, m.rewards,
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cicadasill_reward_calls_waiting",
				Help: "Complete texts whose reward call waits to be sent."}, func() float64 { return float64(gate.Waiting()) }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cicadasill_reward_calls_in_flight",
				Help: "Reward calls in flight."}, func() float64 { return float64(gate.InFlight()) }))
	}
	return m
}

// NewDriver returns a driver without jobs.
func NewDriver(opts DriverOptions) *Driver {
	d := &Driver{
		opts: opts, log: opts.Logger, placer: newPlacer(opts.Backends, opts.DataCentre, opts.SlotShare), waits: newWaits(),
		running: map[ID]context.CancelFunc{}, active: map[ID]*activeJob{}, orphanedSince: map[ID]time.Time{}, takeovers: map[ID]bool{},
	}
	d.indexState = func() (time.Duration, error) {
		return opts.Registry.indexReplica.Age(), opts.Registry.indexReplica.LastReadError()
	}
	if opts.SpreadEqual {
		d.placer.self = opts.Self.ID
	}
	d.started.limit = startedLimit(opts.StartedBytes)
	if opts.Registry != nil {
		opts.Registry.runningBody = d.body
	}
	d.rewards = reward.NewGate(d.rewardLimit)
	d.metrics = newDriverMetrics(opts.Registerer, d.rewards)
	d.placer.register(opts.Registerer)
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(d.waits.ended)
	}
	return d
}

// activeJob is a job that this instance drives, with its items that have no listed result.
type activeJob struct {
	Summary
	items []Item
	// checkpoints holds the checkpoints that earlier drivers have stored, by item.
	checkpoints map[string]Checkpoint
	// pending counts the items without a result by group.
	pending groupCounter
	// longest is the expected duration of the longest item.
	longest time.Duration
	// progress tells which items have started and ended.
	progress progress
	// freed is the size of the items whose memory has been freed.
	freed atomic.Int64
}

// free frees the memory of an item that has a result. Its body can be read from the store until the result is listed.
func (j *activeJob) free(index int) {
	j.progress.mu.Lock()
	defer j.progress.mu.Unlock()
	j.freed.Add(int64(len(j.items[index].stored)))
	j.items[index].stored = nil
}

// storedItem returns the encoded form of an item, nil if it has been freed.
func (j *activeJob) storedItem(index int) storedItem {
	j.progress.mu.Lock()
	defer j.progress.mu.Unlock()
	return j.items[index].stored
}

// Run drives jobs until ctx ends, then waits until all jobs have stopped.
func (d *Driver) Run(ctx context.Context) {
	d.tasks.Go(func() { d.placer.run(ctx) })
	d.tasks.Go(func() { d.runWaits(ctx) })
	for {
		changed := d.opts.Registry.indexReplica.Changed()
		d.scan(ctx)
		select {
		case <-ctx.Done():
			d.tasks.Wait()
			return
		case <-changed:
		case <-time.After(scanInterval):
		}
	}
}

// scan starts the open jobs that are assigned to this instance, stops running jobs that are closed or
// assigned to another one, and considers the rest for takeover.
func (d *Driver) scan(ctx context.Context) {
	var (
		open []Summary
		own  openItems // of the jobs that this instance drives
	)
	d.opts.Registry.indexReplica.View(func() {
		own = d.ownItems()
		for _, s := range d.opts.Registry.index.jobs {
			if s.Open() {
				open = append(open, *s)
			}
		}
	})
	owned, drivers := map[ID]bool{}, map[machine.Ref]bool{}
	for i := range open {
		drivers[open[i].Driver] = true
	}
	d.drivers.Store(int64(len(drivers)))
	for i := range open {
		s := &open[i]
		if s.Driver == d.opts.Self {
			owned[s.ID] = true
			d.start(ctx, s)
			continue
		}
		d.considerTakeover(ctx, s, d.opts.Registry.hasRoom(own, s.ItemBytes))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, stop := range d.running {
		if !owned[id] {
			stop()
		}
	}
}

// start starts a job unless it is already running.
func (d *Driver) start(ctx context.Context, s *Summary) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running[s.ID] != nil || d.stopped {
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
		delete(d.active, job.ID)
		d.mu.Unlock()
	})
}

// StopJobs stops the running jobs and lets no further ones start. It waits until they have stopped or ctx ends.
func (d *Driver) StopJobs(ctx context.Context) {
	d.mu.Lock()
	d.stopped = true
	for _, stop := range d.running {
		stop()
	}
	d.mu.Unlock()
	for d.Active() > 0 && timing.Sleep(ctx, stopPollInterval) {
	}
}

// Active returns the number of jobs that this instance is running.
func (d *Driver) Active() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.running)
}

// runJob runs the items of a job that have no listed result, and closes the job.
func (d *Driver) runJob(ctx context.Context, s *Summary) {
	start := time.Now()
	job := d.awaitJob(ctx, s)
	if job == nil {
		return
	}
	d.log.Info("job started", "job", s.ID, "items", len(job.items), "total", s.Total, "begun", len(job.checkpoints), "step", s.Step,
		"model", s.Model, "min_version", s.MinVersion, "age", time.Since(s.AcceptedAt()))
	for i := range job.items {
		job.longest = max(job.longest, d.durations.expectedRun(job.items[i].LengthEstimate))
	}
	d.mu.Lock()
	d.active[s.ID] = job
	d.mu.Unlock()
	d.runItems(ctx, job, func(i int) {
		result, done := d.runItem(ctx, job, i)
		if !done {
			return
		}
		job.progress.end(i)
		d.metrics.results.WithLabelValues(result.State.String()).Inc()
		job.pending.finish(job.items[i].Group)
		d.opts.Registry.queueResult(s, result)
		job.free(i)
	})
	d.forgetGroups(job)
	d.log.Info("job stopped", "job", s.ID, "took", time.Since(start), "cancelled", ctx.Err() != nil)
	d.close(ctx, s)
}

// awaitJob loads a job, as often as needed. It returns nil if ctx ends.
func (d *Driver) awaitJob(ctx context.Context, s *Summary) *activeJob {
	delay := loadRetryDelay
	for {
		job, err := d.loadJob(ctx, s)
		if err == nil {
			return job
		}
		d.log.Warn("job not loaded", "job", s.ID, "again_in", delay, "err", err)
		if !timing.Sleep(ctx, delay) {
			return nil
		}
		var unavailable *UnavailableError
		if !errors.As(err, &unavailable) {
			delay = min(2*delay, maxLoadRetryDelay) // the store has answered, and will answer the same for a while
		}
	}
}

// forgetGroups removes the engine affinity of a job's groups.
func (d *Driver) forgetGroups(job *activeJob) {
	groups := make([]string, 0, len(job.items))
	for i := range job.items {
		groups = append(groups, string(job.ID)+job.items[i].Group)
	}
	d.placer.forgetGroups(groups)
}

// loadJob reads the items of a job that have no listed result, with their checkpoints.
func (d *Driver) loadJob(ctx context.Context, s *Summary) (*activeJob, error) {
	p := d.opts.Registry.partitions[s.Partition]
	job := &activeJob{Summary: *s, checkpoints: map[string]Checkpoint{}, pending: newGroupCounter()}
	if err := p.Sync(ctx); err != nil {
		return nil, &UnavailableError{Err: err}
	}
	var items []storedItem
	found, complete := 0, true
	listed, checkpoints := map[string]bool{}, map[string]Checkpoint{}
	p.View(func() {
		j := p.state.jobs[s.ID]
		if j == nil {
			return
		}
		found = j.itemCount()
		items, complete = j.items()
		for item := range j.positions {
			listed[item] = true
		}
		maps.Copy(checkpoints, j.checkpoints)
	})
	if found != s.Total {
		return nil, &IncompleteError{Job: s.ID, Found: found, Total: s.Total}
	}
	if !complete {
		var err error
		if items, err = d.opts.Registry.readItems(ctx, s); err != nil {
			return nil, err
		}
	}
	held := int64(0)
	for _, stored := range items {
		item, err := decodeItem(stored)
		if err != nil {
			return nil, fmt.Errorf("item of batch job %s: %w", s.ID, err)
		}
		if listed[item.ID] {
			continue
		}
		job.items = append(job.items, item)
		job.pending.add(item.Group)
		if c, ok := checkpoints[item.ID]; ok && !c.LeftOut {
			job.checkpoints[item.ID] = c
		}
		held += int64(len(stored))
	}
	job.freed.Store(max(0, s.ItemBytes-held)) // items that are listed already
	return job, nil
}

// body returns the body of an item that this driver runs.
func (d *Driver) body(id ID, item string) ([]byte, bool) {
	d.mu.Lock()
	job := d.active[id]
	d.mu.Unlock()
	if job == nil {
		return nil, false
	}
	for i := range job.items {
		if job.items[i].ID != item {
			continue
		}
		stored := job.storedItem(i)
		if stored == nil {
			return nil, false
		}
		return bodyOf(stored, item)
	}
	return nil, false
}

// close waits until all results of a job are listed or ctx ends. If this instance still drives the
// job, it marks the job as listed and deletes the items of a job that is listed or ended.
func (d *Driver) close(ctx context.Context, s *Summary) {
	p := d.opts.Registry.partitions[s.Partition]
	listed := 0
	for {
		changed := p.Changed()
		p.View(func() {
			if j := p.state.jobs[s.ID]; j != nil {
				listed = len(j.results)
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
	latest, _ := d.opts.Registry.latestSummary(s.ID, *s)
	if latest.Driver != d.opts.Self {
		return
	}
	ctx, cancel := context.WithTimeout(d.opts.Registry.writeCtx, closeTimeout)
	defer cancel()
	if listed == s.Total {
		if err := d.opts.Registry.markListed(ctx, s); err != nil {
			d.log.Warn("job not closed", "job", s.ID, "err", err)
			return
		}
	} else if !latest.Ended {
		return
	}
	if err := d.opts.Registry.deleteItems(ctx, s); err != nil {
		d.log.Warn("items not deleted", "job", s.ID, "err", err)
	}
}

// closeTimeout bounds the writes to the store that close a job.
const closeTimeout = 5 * time.Second

// String returns the name of the state in logs and metrics.
func (s State) String() string {
	if s == Complete {
		return "complete"
	}
	return "errored"
}
