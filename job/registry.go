package job

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/timing"
)

// Topics of batch jobs, without the name prefix that makes the store compact a topic.
const (
	indexTopic = "jobs"
	dataTopic  = "job-data"
	// dataTopics is the number of topics over which jobs are distributed. An instance reads whole
	// partitions, so more and smaller partitions mean fewer results of other jobs to read. The store
	// has at most 100 topics.
	dataTopics = 8
)

// Intervals and limits of the registry.
const (
	// IndexReadWait is how long a read of the index waits for new records.
	IndexReadWait = 600 * time.Millisecond
	// resultPollInterval is the maximum time between two reads of a data partition while a client waits for results.
	resultPollInterval = 150 * time.Millisecond
	// maxItemAppendBytes limits the size of the items in one call, below the store's limit.
	maxItemAppendBytes = 1 << 20
	// maxPageBytes limits the size of the results in one page.
	maxPageBytes = 900 << 10
	// deletionDelay is how long an ended job is kept after its retention.
	deletionDelay = 15 * time.Second
	// abandonedAfter is how long a job is kept that its client never ends.
	abandonedAfter = 24 * time.Hour
	// deletionInterval is the time between two deletions of expired jobs.
	deletionInterval = 5 * time.Second
)

// RegistryOptions configures a Registry.
type RegistryOptions struct {
	Self machine.Ref
	Log  changelog.Log
	// Partitions is the number of partitions per topic. It must be the same at all instances.
	Partitions int
	// Retention is how long after a job's submission clients may request its results.
	Retention time.Duration
	Logger    *log.Logger
	// AvailableInDataCentre reports whether an instance is live, takes new work and is in this instance's data
	// centre. Peer returns such an instance for a key, and this instance only if there is no other.
	AvailableInDataCentre func(machine.Ref) bool
	Peer                  func(key string) machine.Ref
	// Peers determines which instance deletes the records of jobs whose driver is dead.
	Peers Peers
	// MaxItemBytes bounds the items of the open jobs of one driver, except that a single job is always accepted; 0 sets no
	// bound.
	MaxItemBytes int64
	// IndexPause returns the pause between reads of the index.
	IndexPause func() time.Duration
	// IndexRead is called after each read of the index with its error or nil.
	IndexRead func(error)
}

// Registry accepts batch jobs, stores their items, checkpoints and results, and answers clients' requests
// for them.
type Registry struct {
	opts         RegistryOptions
	log          *log.Logger
	indexReplica *changelog.Replica
	index        *index
	partitions   []*partition
	tasks        conc.WaitGroup
	// writeCtx is the context of writes that may outlast Run's context. It is cancelled stopTimeout later,
	// so that a stopping instance can still store its last results.
	writeCtx     context.Context
	cancelWrites context.CancelFunc
}

// partition is one data partition. It is read only when one of its jobs is needed.
type partition struct {
	*changelog.Replica
	id    changelog.Partition
	state *partitionState

	mu                 sync.Mutex // guards the fields below
	pendingResults     map[ID][]Result
	flushing           bool
	pendingCheckpoints map[itemRef]Checkpoint
}

// NewRegistry returns a registry that has not read the log yet. Run starts it.
func NewRegistry(opts RegistryOptions) *Registry {
	g := &Registry{opts: opts, log: opts.Logger, index: newIndex(opts.Logger)}
	g.writeCtx, g.cancelWrites = context.WithCancel(context.Background())
	g.indexReplica = changelog.NewReplica(opts.Log, changelog.Partition{Topic: indexTopic}, g.index)
	for i := range dataTopics * opts.Partitions {
		state := newPartitionState(opts.Logger)
		id := changelog.Partition{Topic: fmt.Sprintf("%s-%d", dataTopic, i/opts.Partitions), Index: i % opts.Partitions}
		g.partitions = append(g.partitions, &partition{
			Replica: changelog.NewReplica(opts.Log, id, state), id: id, state: state,
			pendingResults: map[ID][]Result{}, pendingCheckpoints: map[itemRef]Checkpoint{},
		})
	}
	return g
}

// Run follows the index, stores checkpoints and deletes expired jobs until ctx ends. It then waits, for
// stopTimeout at most, until the last results are stored.
func (g *Registry) Run(ctx context.Context) {
	g.tasks.Go(func() { g.runDeletion(ctx) })
	g.tasks.Go(func() { g.flushCheckpoints(ctx) })
	g.indexReplica.Follow(ctx, changelog.ConstantWait(IndexReadWait), g.opts.IndexPause, g.opts.IndexRead)
	time.AfterFunc(stopTimeout, g.cancelWrites)
	g.tasks.Wait()
}

// partitionOf returns the number of the data partition that holds a job.
func (g *Registry) partitionOf(id ID) int {
	return int(xxhash.Sum64String(string(id)) % uint64(len(g.partitions)))
}

// Summary returns the summary of a job from this instance's copy of the index, without reading the store.
func (g *Registry) Summary(id ID) (Summary, bool) {
	var (
		s  Summary
		ok bool
	)
	g.indexReplica.View(func() {
		if found := g.index.jobs[id]; found != nil {
			s, ok = *found, true
		}
	})
	return s, ok
}

// find returns the summary of a job. It reads the index from the store if this instance doesn't know the
// job yet.
func (g *Registry) find(ctx context.Context, id ID) (Summary, error) {
	if s, ok := g.Summary(id); ok {
		return s, nil
	}
	if err := g.indexReplica.Sync(ctx); err != nil {
		return Summary{}, &UnavailableError{Err: err}
	}
	if s, ok := g.Summary(id); ok {
		return s, nil
	}
	return Summary{}, &NotFoundError{Job: id}
}

// Submit accepts a job and assigns it a driver. It returns nil once the store holds the job, also if the
// job was accepted before. After *UnavailableError and *FullError this call has not accepted the job and will not; after
// *UncertainError it may have.
func (g *Registry) Submit(ctx context.Context, spec *Spec) error {
	if _, ok := g.Summary(spec.ID); ok {
		return nil
	}
	driver, size := g.driverFor(spec), int64(0)
	for i := range spec.Items {
		size += int64(itemSize(&spec.Items[i]))
	}
	var full error
	checkRoom := func() { full = g.checkRoom(spec.ID, driver, size) }
	if g.indexReplica.View(checkRoom); full != nil {
		// Another instance may have accepted the job, or room may have been made.
		if err := g.indexReplica.Sync(ctx); err != nil {
			return &UnavailableError{Err: err}
		}
		if _, ok := g.Summary(spec.ID); ok {
			return nil
		}
		if g.indexReplica.View(checkRoom); full != nil {
			return full
		}
	}
	partitionNumber := g.partitionOf(spec.ID)
	records, err := itemRecords(spec.ID, spec.Items)
	if err != nil {
		return fmt.Errorf("items of batch job %s: %w", spec.ID, err)
	}
	if err := g.putItems(ctx, g.partitions[partitionNumber], spec.ID, records); err != nil {
		return &UnavailableError{Err: err}
	}
	summary := Summary{
		ID: spec.ID, Partition: partitionNumber, Host: spec.Host, Path: spec.Path, Total: len(spec.Items),
		SubmittedMs: time.Now().UnixMilli(), Step: spec.Step, Model: spec.Model,
		MinVersion: spec.MinVersion, GroupCount: spec.GroupCount, Driver: driver, ConfigVersion: spec.ConfigVersion, ItemBytes: size,
	}
	_, err = g.update(ctx, spec.ID, func(old *Summary) *Summary {
		full = nil
		if old != nil {
			return nil
		}
		if full = g.checkRoom(spec.ID, driver, size); full != nil {
			return nil
		}
		return &summary
	})
	if err == nil {
		err = full
	}
	return err
}

// OpenItemBytes returns the size of the items of the open jobs that this instance drives.
func (g *Registry) OpenItemBytes() int64 {
	open := int64(0)
	g.indexReplica.View(func() { open = g.openItemBytes(g.opts.Self) })
	return open
}

// openItemBytes returns the size of the items of a driver's open jobs. The caller reads the index.
func (g *Registry) openItemBytes(driver machine.Ref) int64 {
	open := int64(0)
	for _, s := range g.index.jobs {
		if s.Open() && s.Driver == driver {
			open += s.ItemBytes
		}
	}
	return open
}

// checkRoom returns *FullError if a driver cannot hold a new job with size bytes of items. The caller reads the index.
func (g *Registry) checkRoom(id ID, driver machine.Ref, size int64) error {
	open := g.openItemBytes(driver)
	if g.opts.MaxItemBytes == 0 || open == 0 || open+size <= g.opts.MaxItemBytes {
		return nil
	}
	return &FullError{Job: id, Driver: driver, Open: open + size, Limit: g.opts.MaxItemBytes}
}

// putItems stores the items of a job, in as many calls as they need. Stored items without an index record
// start nothing, so an append with an unknown outcome doesn't accept the job. The records' keys depend
// only on the job, so appending them twice does no harm.
func (g *Registry) putItems(ctx context.Context, p *partition, id ID, records []changelog.Record) error {
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) && (n == 0 || size+len(records[n].Value) <= maxItemAppendBytes) {
			size += len(records[n].Value)
			n++
		}
		if err := g.putItemBatch(ctx, p, id, records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

// putItemBatch stores items that fit into one call. It reads the partition only if the outcome of the
// append is unknown.
func (g *Registry) putItemBatch(ctx context.Context, p *partition, id ID, records []changelog.Record) error {
	err := changelog.AppendWithRetry(ctx, g.opts.Log, p.id, records)
	var unknown *changelog.UnknownError
	if !errors.As(err, &unknown) {
		return err
	}
	_, err = p.Commit(ctx, func() []changelog.Record {
		j := p.state.jobs[id]
		if j == nil {
			return records
		}
		var missing []changelog.Record
		for _, r := range records {
			if _, stored := j.chunks[r.Key]; !stored {
				missing = append(missing, r)
			}
		}
		return missing
	})
	return err
}

// driverFor returns the driver of a new job. A trainer's jobs keep the same driver while that instance is
// live, because it has connections to the engines. The first driver is another instance than this one, so
// that the loss of one instance rarely costs a client both its connection and its job's progress.
func (g *Registry) driverFor(spec *Spec) machine.Ref {
	var latest *Summary
	g.indexReplica.View(func() {
		for _, s := range g.index.jobs {
			if s.Host == spec.Host && s.Model == spec.Model && s.Step >= 0 && (latest == nil || s.AcceptedAt().After(latest.AcceptedAt())) {
				latest = s
			}
		}
	})
	if latest != nil && spec.Step >= 0 && (latest.Driver == g.opts.Self || g.opts.AvailableInDataCentre(latest.Driver)) {
		return latest.Driver
	}
	return g.opts.Peer(spec.Host + "/" + spec.Model)
}

// update replaces the summary of a job by the result of change, unless that is nil. It reports whether this
// call changed the summary. change must not modify its argument, which is nil if the job does not exist.
func (g *Registry) update(ctx context.Context, id ID, change func(*Summary) *Summary) (bool, error) {
	var encodeErr error
	end, err := g.indexReplica.Commit(ctx, func() []changelog.Record {
		next := change(g.index.jobs[id])
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

// Page is a range of a job's results, with the total number of its items.
type Page struct {
	Total   int
	Results []Result
}

// StepSize returns the number of items in the newest step of a model, or 0 if there is none.
func (g *Registry) StepSize(model string) int {
	size, newest := 0, time.Time{}
	g.indexReplica.View(func() {
		for _, s := range g.index.jobs {
			if s.Model == model && s.Step >= 0 && s.AcceptedAt().After(newest) {
				size, newest = s.Total, s.AcceptedAt()
			}
		}
	})
	return size
}

// Results returns results from position after on. If there are none yet, it waits for them, for wait at
// most.
func (g *Registry) Results(ctx context.Context, id ID, after int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	deadline := time.Now().Add(wait)
	s, err := g.find(ctx, id)
	if err != nil {
		return Page{}, err
	}
	p := g.partitions[s.Partition]
	for {
		syncErr := p.Sync(ctx)
		changed := p.Changed()
		page := Page{Total: s.Total, Results: p.results(id, after)}
		if len(page.Results) > 0 || (syncErr == nil && after >= s.Total) {
			return page, nil // listed results never change, so they are valid even if the read failed
		}
		s, _ = g.latestSummary(id, s)
		left := time.Until(deadline)
		if left <= 0 || (s.Ended && syncErr == nil) {
			if syncErr != nil {
				return Page{}, &UnavailableError{Err: syncErr}
			}
			return page, nil
		}
		select {
		case <-changed:
		case <-time.After(min(left, resultPollInterval)):
		case <-ctx.Done():
			return Page{}, &UnavailableError{Err: ctx.Err()}
		}
	}
}

// storeTimeout bounds how much longer than requested a client's read waits for a store that does not answer. It leaves time for
// a call that has gone silent and its repeat, and is below the 1.5 s that clients allow.
const storeTimeout = 1300 * time.Millisecond

// latestSummary returns the summary of a job in this instance's copy of the index, or fallback and false if the
// copy does not hold the job.
func (g *Registry) latestSummary(id ID, fallback Summary) (Summary, bool) {
	if s, ok := g.Summary(id); ok {
		return s, true
	}
	return fallback, false
}

// results returns the results of a job from position after on, up to the size limit of a page.
func (p *partition) results(id ID, after int) []Result {
	var page []Result
	p.View(func() {
		j := p.state.jobs[id]
		if j == nil || after >= len(j.results) {
			return
		}
		size := 0
		for _, r := range j.results[after:] {
			if len(page) > 0 && size+len(r.Output) > maxPageBytes {
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
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
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

// body returns the body of an item if this instance's copy of the partition holds it.
func (p *partition) body(id ID, item string) ([]byte, bool) {
	var (
		body  []byte
		found bool
	)
	p.View(func() {
		j := p.state.jobs[id]
		if j == nil {
			return
		}
		for _, chunk := range j.chunks {
			for _, stored := range chunk {
				if !bytes.Contains(stored, []byte(item)) {
					continue
				}
				var decoded Item
				if err := cbor.Unmarshal(stored, &decoded); err == nil && decoded.ID == item {
					body, found = decoded.Body, true
					return
				}
			}
		}
	})
	return body, found
}

// End ends a job, so that its driver stops running items. It returns nil once the store has recorded it.
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

// runDeletion deletes expired jobs periodically until ctx ends.
func (g *Registry) runDeletion(ctx context.Context) {
	for timing.Sleep(ctx, deletionInterval) {
		g.deleteExpired(ctx, time.Now())
	}
}

// deleteExpired deletes the jobs that clients can no longer ask for, as far as this instance is responsible for them.
func (g *Registry) deleteExpired(ctx context.Context, now time.Time) {
	var expired []Summary
	g.indexReplica.View(func() {
		for _, s := range g.index.jobs {
			if g.isExpired(s, now) && g.shouldDelete(s) {
				expired = append(expired, *s)
			}
		}
	})
	for i := range expired {
		if err := g.delete(ctx, &expired[i]); err != nil && ctx.Err() == nil {
			g.log.Warn("expired batch job not deleted", "job", expired[i].ID, "err", err)
		}
	}
}

// isExpired reports whether clients can no longer ask for a job: its retention has passed and its client has ended it. A job
// whose results are all listed is still the client's to read until then.
func (g *Registry) isExpired(s *Summary, now time.Time) bool {
	if s.Ended {
		return s.isOlderThan(g.opts.Retention+deletionDelay, now)
	}
	return s.Listed && s.isOlderThan(g.opts.Retention+abandonedAfter, now)
}

// shouldDelete reports whether this instance is responsible for deleting a job: the job's driver is, or the
// live instance of rank 0 if the driver is dead.
func (g *Registry) shouldDelete(s *Summary) bool {
	return s.Driver == g.opts.Self || (g.opts.Peers.Dead(s.Driver) && g.opts.Peers.Rank(string(s.ID)) == 0)
}

// delete deletes all records of a job. The index record comes last, so that a failed deletion is retried.
func (g *Registry) delete(ctx context.Context, s *Summary) error {
	p := g.partitions[s.Partition]
	_, err := p.Commit(ctx, func() []changelog.Record {
		j := p.state.jobs[s.ID]
		if j == nil {
			return nil
		}
		deletions := j.itemDeletions(s.ID)
		for _, key := range j.resultKeys {
			deletions = append(deletions, changelog.Record{Key: key})
		}
		return deletions
	})
	if err != nil {
		return err
	}
	_, err = g.indexReplica.Commit(ctx, func() []changelog.Record {
		if g.index.jobs[s.ID] == nil {
			return nil
		}
		return []changelog.Record{{Key: string(s.ID)}}
	})
	return err
}
