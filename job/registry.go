package job

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/machine"
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
	// Limits are those of the store that Log writes to; missing ones have defaults.
	Limits changelog.Limits
	// Partitions is the number of partitions per topic. It must be the same at all instances.
	Partitions int
	// Retention is how long after a job's submission clients may request its results.
	Retention time.Duration
	Logger    *log.Logger
	// AvailableInDataCentre reports whether an instance is live, takes new work and is in this instance's data
	// centre.
	AvailableInDataCentre func(machine.Ref) bool
	// Drivers returns the instances that may drive a new job, at least this one, in the order of preference for a key.
	Drivers func(key string) []machine.Ref
	// Peers determines which instance deletes the records of jobs whose driver is dead.
	Peers Peers
	// MaxItemBytes bounds the items of the open jobs of one driver, except that a single large job is always accepted; 0 sets no
	// bound.
	MaxItemBytes int64
	// MaxCopiedItemBytes bounds the items in this instance's copies of data partitions; 0 sets no bound.
	MaxCopiedItemBytes int64
	// MaxCopiedOutputBytes bounds the outputs of results and checkpoints there; 0 sets no bound.
	MaxCopiedOutputBytes int64
	// IndexPause returns the pause between reads of the index.
	IndexPause func() time.Duration
	// IndexRead is called after each read of the index with its error or nil.
	IndexRead func(error)
	// Holders is nil if reads must not ask other instances.
	Holders *Holders
	// Registerer may be nil.
	Registerer prometheus.Registerer
}

// Registry accepts batch jobs, stores their items, checkpoints and results, and answers clients' requests
// for them.
type Registry struct {
	opts         RegistryOptions
	log          *log.Logger
	indexReplica *changelog.Replica
	index        *index
	partitions   []*partition
	refusals     *refusalLog
	peerReads    *peerReadLog
	// itemBudget and outputBudget bound the items, and the outputs of results and checkpoints, in the copies of data partitions.
	itemBudget, outputBudget *copyBudget
	// runningBody returns the body of an item that this instance's driver runs; nil without a driver.
	runningBody func(id ID, item string) ([]byte, bool)
	// unlisted counts the results that the store never accepts.
	unlisted prometheus.Counter
	tasks    conc.WaitGroup
	flushes  flushGroup
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
	repairedAt         time.Time  // of the last load that repair has caused
	pendingResults     map[ID][]Result
	flushing           bool
	pendingCheckpoints map[itemRef]Checkpoint
}

// NewRegistry returns a registry that has not read the log yet. Run starts it.
func NewRegistry(opts RegistryOptions) *Registry {
	opts.Limits = opts.Limits.OrDefault()
	g := &Registry{
		opts: opts, log: opts.Logger, index: newIndex(opts.Logger),
		refusals: newRefusalLog(opts.Logger, opts.Registerer), peerReads: newPeerReadLog(opts.Logger, opts.Registerer),
	}
	g.writeCtx, g.cancelWrites = context.WithCancel(context.Background())
	g.indexReplica = changelog.NewReplica(opts.Log, changelog.Partition{Topic: indexTopic}, g.index)
	gapsFound := newGapCounter(opts.Registerer)
	g.unlisted = newUnlistedCounter(opts.Registerer)
	g.itemBudget, g.outputBudget = &copyBudget{limit: opts.MaxCopiedItemBytes}, &copyBudget{limit: opts.MaxCopiedOutputBytes}
	g.registerCopyMetrics(opts.Registerer)
	for i := range dataTopics * opts.Partitions {
		state := newPartitionState(opts.Logger, gapsFound, g.itemBudget, g.outputBudget)
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
	g.flushes.Wait()
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
	var (
		unknown  *changelog.UnknownError
		rejected *changelog.RejectedError
	)
	switch {
	case errors.As(err, &unknown):
		return false, &UncertainError{Job: id, Err: err}
	case errors.As(err, &rejected):
		return false, &TooLargeError{Err: rejected}
	case err != nil:
		return false, &UnavailableError{Err: err}
	}
	return end > 0, nil
}

// End ends a job, so that its driver stops running items. It returns nil once the store has recorded it.
func (g *Registry) End(ctx context.Context, id ID) error {
	r := g.newRead(callEnd, id, 0)
	s, _, err := r.find(ctx)
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
	if err != nil {
		return r.refuseByIndex(StepWrite, holderAnswers{}, err)
	}
	return nil
}
