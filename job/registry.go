package job

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/timing"
)

// Topics of batch jobs, without the prefix that makes a topic compacted.
const (
	indexTopic = "jobs"
	dataTopic  = "job-data"
	// dataTopics is the number of topics over which jobs are spread. An instance reads whole
	// partitions, so small ones spare it the results of other jobs; the store has at most 100 topics.
	dataTopics = 8
)

// Periods of the registry.
const (
	// indexWait is how long a read of the index waits for records.
	indexWait = time.Second
	// readPoll spaces the reads of a data partition while a client waits for results.
	readPoll = 150 * time.Millisecond
	// itemBytes bounds the items in one call, below the store's limit.
	itemBytes = 1 << 20
	// pageBytes bounds the results in one answer.
	pageBytes = 900 << 10
	// deleteAfter is how long a closed job is kept beyond the time for which clients may ask.
	deleteAfter = 15 * time.Second
	// deletePeriod spaces the deletion of closed jobs.
	deletePeriod = 5 * time.Second
)

// RegistryOptions configure a Registry.
type RegistryOptions struct {
	Self machine.Ref
	Log  changelog.Log
	// Partitions is the number of partitions of a topic; it is the same at all instances.
	Partitions int
	// Retention is how long after its submission a job's results can be asked for.
	Retention time.Duration
	Logger    *log.Logger
	// Near reports whether an instance lives and is in the data centre of this one. Peer returns
	// such an instance for a key, another one than this if there is one.
	Near func(machine.Ref) bool
	Peer func(key string) machine.Ref
	// Peers tells who deletes the records of jobs whose driver is dead.
	Peers Peers
	// IndexPause returns the pause between reads of the index.
	IndexPause func() time.Duration
	// IndexRead is called after each read of the index, with its error.
	IndexRead func(error)
}

// Registry accepts batch jobs and answers for them.
type Registry struct {
	opts       RegistryOptions
	log        *log.Logger
	index      *changelog.Replica
	jobs       *index
	partitions []*partition
	tasks      conc.WaitGroup
	// life ends stopPatience after Run's context, so that the last results are listed.
	life context.Context
	end  context.CancelFunc
}

// partition is one data partition. It is read when a job in it is asked for.
type partition struct {
	*changelog.Replica
	at    changelog.Partition
	state *partitionState

	mu       sync.Mutex // guards the fields below
	pending  map[ID][]Result
	flushing bool
	parts    map[itemRef]Part
}

// NewRegistry returns a registry that has read nothing yet.
func NewRegistry(opts RegistryOptions) *Registry {
	g := &Registry{opts: opts, log: opts.Logger, jobs: newIndex(opts.Logger)}
	g.life, g.end = context.WithCancel(context.Background())
	g.index = changelog.NewReplica(opts.Log, changelog.Partition{Topic: indexTopic}, g.jobs)
	for i := range dataTopics * opts.Partitions {
		state := newPartitionState(opts.Logger)
		at := changelog.Partition{Topic: fmt.Sprintf("%s-%d", dataTopic, i/opts.Partitions), Index: i % opts.Partitions}
		g.partitions = append(g.partitions, &partition{
			Replica: changelog.NewReplica(opts.Log, at, state), at: at, state: state,
			pending: map[ID][]Result{}, parts: map[itemRef]Part{},
		})
	}
	return g
}

// Run follows the index until ctx ends.
func (g *Registry) Run(ctx context.Context) {
	g.tasks.Go(func() { g.deleteOld(ctx) })
	g.tasks.Go(func() { g.keepParts(ctx) })
	g.index.Follow(ctx, indexWait, g.opts.IndexPause, g.opts.IndexRead)
	time.AfterFunc(stopPatience, g.end)
	g.tasks.Wait()
}

func (g *Registry) partitionOf(id ID) int {
	return int(xxhash.Sum64String(string(id)) % uint64(len(g.partitions)))
}

// Summary returns what this instance knows of a job.
func (g *Registry) Summary(id ID) (Summary, bool) {
	var (
		s  Summary
		ok bool
	)
	g.index.View(func() {
		if found := g.jobs.jobs[id]; found != nil {
			s, ok = *found, true
		}
	})
	return s, ok
}

// find returns a job's summary, from the store if this instance does not know the job.
func (g *Registry) find(ctx context.Context, id ID) (Summary, error) {
	if s, ok := g.Summary(id); ok {
		return s, nil
	}
	if err := g.index.Sync(ctx); err != nil {
		return Summary{}, &UnavailableError{Err: err}
	}
	if s, ok := g.Summary(id); ok {
		return s, nil
	}
	return Summary{}, &NotFoundError{Job: id}
}

// Submit accepts a job with this instance as its driver. It returns nil once the job is in the
// store, also if it was accepted before. After *UnavailableError the job was not accepted and
// will not be; after *UncertainError it may have been.
func (g *Registry) Submit(ctx context.Context, spec *Spec) error {
	if _, ok := g.Summary(spec.ID); ok {
		return nil
	}
	at := g.partitionOf(spec.ID)
	records, err := itemRecords(spec.ID, spec.Items)
	if err != nil {
		return fmt.Errorf("items of batch job %s: %w", spec.ID, err)
	}
	if err := g.putItems(ctx, g.partitions[at], spec.ID, records); err != nil {
		return &UnavailableError{Err: err}
	}
	summary := Summary{
		ID: spec.ID, Partition: at, Host: spec.Host, Path: spec.Path, Total: len(spec.Items),
		SubmittedMs: time.Now().UnixMilli(), Step: spec.Step, Model: spec.Model,
		MinVersion: spec.MinVersion, GroupCount: spec.GroupCount, Driver: g.driverFor(spec),
	}
	_, err = g.update(ctx, spec.ID, func(old *Summary) *Summary {
		if old != nil {
			return nil
		}
		return &summary
	})
	return err
}

// putItems stores the items of a job, in as many calls as they need. They alone start nothing, so an
// unknown outcome is no acceptance. Their keys depend on the job alone, so they may be appended twice.
// The partition is read only after a lost answer.
func (g *Registry) putItems(ctx context.Context, p *partition, id ID, records []changelog.Record) error {
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) && (n == 0 || size+len(records[n].Value) <= itemBytes) {
			size += len(records[n].Value)
			n++
		}
		if err := g.putCall(ctx, p, id, records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

// putCall stores items that fit into one call.
func (g *Registry) putCall(ctx context.Context, p *partition, id ID, records []changelog.Record) error {
	err := changelog.Put(ctx, g.opts.Log, p.at, records)
	var unknown *changelog.UnknownError
	if !errors.As(err, &unknown) {
		return err
	}
	_, err = p.Commit(ctx, func() []changelog.Record {
		l := p.state.jobs[id]
		if l == nil {
			return records
		}
		var missing []changelog.Record
		for _, r := range records {
			if _, stored := l.chunks[r.Key]; !stored {
				missing = append(missing, r)
			}
		}
		return missing
	})
	return err
}

// driverFor returns the instance that drives a new job. A trainer's jobs stay with one driver,
// which has connections to the engines, while it lives. The first one is not this instance, so
// that the loss of one instance rarely costs a client both its connection and its job's progress.
func (g *Registry) driverFor(spec *Spec) machine.Ref {
	var latest *Summary
	g.index.View(func() {
		for _, s := range g.jobs.jobs {
			if s.Host == spec.Host && s.Model == spec.Model && s.Step >= 0 && (latest == nil || s.SubmittedMs > latest.SubmittedMs) {
				latest = s
			}
		}
	})
	if latest != nil && spec.Step >= 0 && (latest.Driver == g.opts.Self || g.opts.Near(latest.Driver)) {
		return latest.Driver
	}
	return g.opts.Peer(spec.Host + "/" + spec.Model)
}

// update replaces a job's summary by what change makes of it; nil leaves it. It reports whether
// this call changed the summary. change must not modify its argument.
func (g *Registry) update(ctx context.Context, id ID, change func(*Summary) *Summary) (bool, error) {
	var encodeErr error
	end, err := g.index.Commit(ctx, func() []changelog.Record {
		next := change(g.jobs.jobs[id])
		if next == nil {
			return nil
		}
		record, err := next.record()
		if err != nil {
			encodeErr = err
			return nil
		}
		return []changelog.Record{record}
	})
	if encodeErr != nil {
		return false, fmt.Errorf("summary of batch job %s: %w", id, encodeErr)
	}
	var unknown *changelog.UnknownError
	switch {
	case errors.As(err, &unknown):
		return false, &UncertainError{Job: id, Err: err}
	case err != nil:
		return false, &UnavailableError{Err: err}
	}
	return end > 0, nil
}

// Page is a part of a job's results.
type Page struct {
	Total   int
	Results []Result
}

// StepSize returns the number of items of a model's newest step; 0 if there has been none.
func (g *Registry) StepSize(model string) int {
	size, newest := 0, int64(0)
	g.index.View(func() {
		for _, s := range g.jobs.jobs {
			if s.Model == model && s.Step >= 0 && s.SubmittedMs > newest {
				size, newest = s.Total, s.SubmittedMs
			}
		}
	})
	return size
}

// Results returns the results from position after on. It waits up to wait for the first.
func (g *Registry) Results(ctx context.Context, id ID, after int, wait time.Duration) (Page, error) {
	s, err := g.find(ctx, id)
	if err != nil {
		return Page{}, err
	}
	p := g.partitions[s.Partition]
	ctx, cancel := context.WithTimeout(ctx, wait+storePatience)
	defer cancel()
	deadline := time.Now().Add(wait)
	for {
		syncErr := p.Sync(ctx)
		changed := p.Changed()
		page := Page{Total: s.Total, Results: p.results(id, after)}
		if len(page.Results) > 0 || (syncErr == nil && after >= s.Total) {
			return page, nil // listed results never change, so they hold without the store as well
		}
		s, _ = g.latest(id, s)
		left := time.Until(deadline)
		if left <= 0 || (s.Ended && syncErr == nil) {
			if syncErr != nil {
				return Page{}, &UnavailableError{Err: syncErr}
			}
			return page, nil
		}
		select {
		case <-changed:
		case <-time.After(min(left, readPoll)):
		case <-ctx.Done():
			return Page{}, &UnavailableError{Err: ctx.Err()}
		}
	}
}

// storePatience bounds how long a client's read waits for a store that does not answer.
const storePatience = 800 * time.Millisecond

func (g *Registry) latest(id ID, old Summary) (Summary, bool) {
	if s, ok := g.Summary(id); ok {
		return s, true
	}
	return old, false
}

// results returns the results of a job from a position on, up to the size of an answer.
func (p *partition) results(id ID, after int) []Result {
	var page []Result
	p.View(func() {
		l := p.state.jobs[id]
		if l == nil || after >= len(l.results) {
			return
		}
		size := 0
		for _, r := range l.results[after:] {
			if len(page) > 0 && size+len(r.Output) > pageBytes {
				return
			}
			size += len(r.Output)
			page = append(page, r)
		}
	})
	return page
}

// Body returns the body of an item of an open job.
func (g *Registry) Body(ctx context.Context, id ID, item string) ([]byte, error) {
	s, err := g.find(ctx, id)
	if err != nil {
		return nil, err
	}
	p := g.partitions[s.Partition]
	if body, ok := p.body(id, item); ok {
		return body, nil
	}
	if err := p.Sync(ctx); err != nil {
		return nil, &UnavailableError{Err: err}
	}
	if body, ok := p.body(id, item); ok {
		return body, nil
	}
	return nil, &NotFoundError{Job: id, Item: item}
}

func (p *partition) body(id ID, item string) ([]byte, bool) {
	var (
		body  []byte
		found bool
	)
	p.View(func() {
		l := p.state.jobs[id]
		if l == nil {
			return
		}
		for _, chunk := range l.chunks {
			for i := range chunk {
				if chunk[i].ID == item {
					body, found = chunk[i].Body, true
					return
				}
			}
		}
	})
	return body, found
}

// End ends a job: no item starts any more. It returns nil once the store holds the end.
func (g *Registry) End(ctx context.Context, id ID) error {
	s, err := g.find(ctx, id)
	if err != nil {
		return err
	}
	if s.Ended {
		return nil
	}
	_, err = g.update(ctx, id, func(old *Summary) *Summary {
		if old == nil || old.Ended {
			return nil
		}
		next := *old
		next.Ended = true
		return &next
	})
	return err
}

// deleteOld deletes the records of jobs for which nobody may ask any more.
func (g *Registry) deleteOld(ctx context.Context) {
	for timing.Sleep(ctx, deletePeriod) {
		g.deleteDue(ctx, time.Now())
	}
}

func (g *Registry) deleteDue(ctx context.Context, now time.Time) {
	var old []Summary
	g.index.View(func() {
		for _, s := range g.jobs.jobs {
			if !s.Open() && now.Sub(s.SubmittedAt()) > g.opts.Retention+deleteAfter && g.deletes(s) {
				old = append(old, *s)
			}
		}
	})
	for i := range old {
		if err := g.delete(ctx, &old[i]); err != nil && ctx.Err() == nil {
			g.log.Warn("old batch job not deleted", "job", old[i].ID, "err", err)
		}
	}
}

// deletes reports whether this instance deletes a job's records: its driver does, or one of the
// others once the driver is dead.
func (g *Registry) deletes(s *Summary) bool {
	return s.Driver == g.opts.Self || (g.opts.Peers.Dead(s.Driver) && g.opts.Peers.Rank(string(s.ID)) == 0)
}

func (g *Registry) delete(ctx context.Context, s *Summary) error {
	p := g.partitions[s.Partition]
	_, err := p.Commit(ctx, func() []changelog.Record {
		l := p.state.jobs[s.ID]
		if l == nil {
			return nil
		}
		drops := l.itemDrops(s.ID)
		for _, key := range l.keys {
			drops = append(drops, changelog.Record{Key: key})
		}
		return drops
	})
	if err != nil {
		return err
	}
	_, err = g.index.Commit(ctx, func() []changelog.Record {
		if g.jobs.jobs[s.ID] == nil {
			return nil
		}
		return []changelog.Record{{Key: string(s.ID)}}
	})
	return err
}
