package instance

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/digest"
	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/platform/hosted"
	"github.com/cicadasill/cicadasill/telemetry"
	"github.com/cicadasill/cicadasill/timing"
)

// digestMethod is the name under which instances ask each other for changed entries.
const digestMethod = "entries"

// Reads of the back ends' entries.
const (
	// minEntriesReadPause is the shortest pause between reads of the back ends' entries. Each entry
	// changes about once a second.
	minEntriesReadPause = 250 * time.Millisecond
	// entriesReadPausePerInstance lengthens the pause with the number of instances, so that all
	// instances together make at most a thousand reads of the entries a second.
	entriesReadPausePerInstance = time.Millisecond
	// maxDirectReads is the product of instances and back ends up to which all instances read the entries from the store. An entry
	// of about 350 bytes is rewritten each 1.2 s, so this is 9 MB/s, a ninth of what the users' stores send.
	maxDirectReads = 30_000
	// instancesPerReader is the number of instances of a data centre to one that reads the entries for them. There are at
	// least minReaders, so that the end of one leaves another.
	instancesPerReader = 25
	minReaders         = 2
	// digestInterval is the pause between two requests to a reader. The news of a planned stop then takes under a second to
	// reach each instance, and deployments give at least 2.5 s.
	digestInterval = 400 * time.Millisecond
	// digestTimeout bounds a request to a reader. A reader of another data centre answers within tens of milliseconds.
	digestTimeout = 500 * time.Millisecond
	// maxDigestAge is the age of the entries at which an instance reads the store itself, below maxStoreSilence.
	maxDigestAge = 1200 * time.Millisecond
	// directReadTime is how long it then does so before it asks the readers again.
	directReadTime = 5 * time.Second
	// removalAnswers is how many other instances a starting one asks for the back ends that were removed before, within
	// removalsTimeout: heartbeats from before a removal may still be executed, up to six seconds late.
	removalAnswers  = 2
	removalsTimeout = 6 * time.Second
	// historyPerBackend is the number of records for each back end that a starting instance reads of the log of the entries. At one in 1.2 s,
	// they reach back by 10.8 s: a write that is executed 6 s late, and the entries before the removal that it follows.
	historyPerBackend = 9
	// minHistory serves deployments from which many back ends have just been removed. maxHistory is about 0.5 MB: hundreds of instances may
	// start at the same time.
	minHistory, maxHistory = 200, 1500
	// historyTime bounds the time that this may take, because no entry counts until then.
	historyTime = 1500 * time.Millisecond
	// roleCheckInterval is how often an instance that reads the store checks whether it is still to do so.
	roleCheckInterval = time.Second
)

// entryReader keeps this instance's entries of back ends current, from the store or, in a large deployment, from other
// instances that read it.
type entryReader struct {
	instance *Instance
	recorder *digest.Recorder
	entries  *hosted.Entries
	outcome  func(error)
	reads    *prometheus.CounterVec // by source
	// maxDirectReads is the constant of that name but in tests.
	maxDirectReads atomic.Int64

	mu       sync.Mutex // guards the fields below
	replica  *changelog.Replica
	reading  bool          // whether this instance reads the store
	readAt   time.Duration // since boot: when the entries were current, if they come from another instance
	failedAt time.Duration // since boot: the last failed read of the store; 0 if none has failed
}

// newEntryReader returns an entryReader that knows no entries.
func newEntryReader(i *Instance) *entryReader {
	r := &entryReader{instance: i, outcome: i.storeMonitor("entries"), reading: true, reads: prometheus.NewCounterVec(
		prometheus.CounterOpts{Name: "cicadasill_entry_reads_total",
			Help: "Successful reads of the back ends' entries, from the store or from another instance that reads it, and failed ones."},
		[]string{"source"})}
	r.maxDirectReads.Store(maxDirectReads)
	i.registry.MustRegister(r.reads, prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cicadasill_entry_age_seconds",
		Help: "Time since which the back ends' entries may have changed unnoticed."}, func() float64 { return r.Age().Seconds() }))
	r.recorder = digest.NewRecorder(i.directory, i.self.Incarnation, r.source, r.outage)
	r.entries = &hosted.Entries{Logger: i.log, Backends: r.recorder}
	r.replica = r.newReplica()
	return r
}

// newReplica returns a replica of the entries that has read none.
func (r *entryReader) newReplica() *changelog.Replica {
	return changelog.NewReplica(r.instance.store, hosted.EntryPartition, r.entries)
}

// Age returns the time since which the entries may have changed unnoticed.
func (r *entryReader) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reading && r.replica.HasRead() {
		return r.replica.Age()
	}
	if r.readAt == 0 {
		return r.replica.Age()
	}
	return timing.SinceBoot() - r.readAt
}

// source returns what other instances are told about this one as a reader.
func (r *entryReader) source() (time.Duration, bool) {
	r.mu.Lock()
	reads := r.reading && r.replica.HasRead()
	r.mu.Unlock()
	return r.Age(), reads
}

// outage reports whether a read of the store has failed recently.
func (r *entryReader) outage() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failedAt > 0 && timing.SinceBoot()-r.failedAt < outageMemory
}

// outageMemory is how long other instances are told of a failed read.
const outageMemory = time.Second

// entriesReadPause returns the pause between an instance's reads of the back ends' entries.
func entriesReadPause(instances int) time.Duration {
	return max(minEntriesReadPause, time.Duration(instances)*entriesReadPausePerInstance)
}

// run keeps the entries current until ctx ends.
func (r *entryReader) run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { r.learnRemovals(ctx) })
	r.learnHistory(ctx)
	for ctx.Err() == nil {
		r.readStore(ctx)
		r.askReaders(ctx)
	}
}

// learnHistory learns from the log of the entries which back ends were removed before this instance started. No other instance may know: all
// may have started at the same time. It does so before the entries are read, for historyTime at most.
func (r *entryReader) learnHistory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, historyTime)
	defer cancel()
	start := time.Now()
	for {
		log, err := changelog.Replay(ctx, r.instance.store, hosted.EntryPartition, changelog.HistoryOptions{
			PerKey: historyPerBackend, Min: minHistory, Max: maxHistory,
		})
		if err == nil {
			r.applyHistory(log, time.Since(start))
			return
		}
		if !timing.Sleep(ctx, minEntriesReadPause) {
			r.instance.log.Warn("history of the back ends not read", "took", time.Since(start), "err", err)
			r.instance.directory.Doubt(nil)
			return
		}
	}
}

// applyHistory passes the removals in the log of the entries on.
func (r *entryReader) applyHistory(log changelog.History, took time.Duration) {
	history := backends.NewHistory()
	decoder := &hosted.Entries{Logger: telemetry.Discard(), Backends: history}
	for _, record := range log.Records {
		decoder.Apply(record)
	}
	removed := history.Removed()
	for id, last := range removed {
		r.recorder.RecordRemoval(id, last)
	}
	alive := history.Alive()
	if !log.Complete {
		r.instance.directory.Doubt(alive)
	}
	r.instance.log.Info("history of the back ends read", "records", len(log.Records), "complete", log.Complete, "removed", len(removed),
		"alive", len(alive), "took", took)
}

// learnRemovals learns from other instances which back ends were removed before this instance started.
func (r *entryReader) learnRemovals(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, removalsTimeout)
	defer cancel()
	request, err := digest.RemovalsRequest()
	if err != nil {
		r.instance.log.Error("cannot encode the request for removals", "err", err)
		return
	}
	asked := map[string]bool{}
	for answers := 0; answers < removalAnswers; {
		for _, peer := range r.instance.presence.Peers() {
			if asked[peer.ID] || answers == removalAnswers {
				continue
			}
			if err := r.learnRemovalsFrom(ctx, peer, request); err != nil {
				r.instance.log.Debug("removals not learned", "peer", peer.ID, "err", err)
				continue
			}
			asked[peer.ID] = true
			answers++
		}
		if !timing.Sleep(ctx, digestInterval) {
			return
		}
	}
}

// learnRemovalsFrom makes one call of learnRemovals.
func (r *entryReader) learnRemovalsFrom(ctx context.Context, peer machine.Instance, request []byte) error {
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	reply, err := r.instance.node.Call(ctx, peer, link.CauseFeed, digestMethod, request)
	if err != nil {
		return err
	}
	return digest.ApplyRemovals(r.recorder, reply)
}

// readStore reads the entries from the store while it is this instance's part.
func (r *entryReader) readStore(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	if !r.reading { // the copy is old, and a load takes less than the records since
		r.replica, r.reading = r.newReplica(), true
	}
	replica := r.replica
	r.mu.Unlock()
	start := timing.SinceBoot()
	go func() {
		defer cancel()
		for timing.Sleep(ctx, roleCheckInterval) {
			if timing.SinceBoot()-start > directReadTime && len(r.readers()) > 0 {
				return
			}
		}
	}()
	pause := func() time.Duration { return entriesReadPause(r.instance.presence.Count()) }
	replica.Follow(ctx, changelog.ConstantWait(0), pause, func(err error) {
		if err == nil {
			r.reads.WithLabelValues("store").Inc()
		} else {
			r.reads.WithLabelValues("failed").Inc()
			r.instance.directory.RecordOutage()
			r.mu.Lock()
			r.failedAt = timing.SinceBoot()
			r.mu.Unlock()
		}
		r.outcome(err)
	})
}

// readers returns the instances that read the entries for this one, the preferred one first. It returns none if this instance
// is one of them, if there are none, or if the deployment is small.
func (r *entryReader) readers() []machine.Instance {
	i := r.instance
	if int64(i.presence.Count()*i.directory.Len()) <= r.maxDirectReads.Load() {
		return nil
	}
	self := i.node.Self()
	slots := max(minReaders, (i.presence.CountInDataCentre()+instancesPerReader-1)/instancesPerReader)
	first := int(i.self.Incarnation % uint64(slots))
	var list []machine.Instance
	for n := range slots {
		owner := i.presence.Owner(fmt.Sprintf("entries/%d", (first+n)%slots), self.Zone.DataCentre)
		if owner.ID == self.ID {
			return nil
		}
		list = append(list, owner)
	}
	return list
}

// askReaders has the entries from other instances until this one has to read the store.
func (r *entryReader) askReaders(ctx context.Context) {
	follower := digest.NewFollower(r.recorder, r.instance.directory.RecordOutage)
	follower.Holds(r.Age())
	for ctx.Err() == nil {
		readers := r.readers()
		if len(readers) == 0 {
			return
		}
		readAt, err := r.askOne(ctx, follower, readers)
		if err == nil {
			r.reads.WithLabelValues("instance").Inc()
			r.recordAnswer(readAt)
		} else if age := r.Age(); age > maxDigestAge {
			// An old answer is no reason to read the store: that would make a slow store slower.
			r.instance.log.Info("entries are read from the store", "age", age, "err", err)
			return
		}
		if !timing.Sleep(ctx, digestInterval) {
			return
		}
	}
}

// recordAnswer records that the entries were current at readAt, since boot, and come from another instance.
func (r *entryReader) recordAnswer(readAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reading {
		r.instance.log.Info("entries come from another instance", "back_ends", r.instance.directory.Len())
	}
	r.reading, r.readAt = false, readAt
}

// askOne asks the readers in turn and applies the first answer. It returns when its entries were current, since boot.
func (r *entryReader) askOne(ctx context.Context, follower *digest.Follower, readers []machine.Instance) (readAt time.Duration, err error) {
	for _, reader := range readers {
		var payload, reply []byte
		if payload, err = follower.Request(reader.ID); err != nil {
			return 0, err
		}
		start := timing.SinceBoot()
		callCtx, cancel := context.WithTimeout(ctx, digestTimeout)
		reply, err = r.instance.node.Call(callCtx, reader, link.CauseFeed, digestMethod, payload)
		cancel()
		if err != nil {
			continue
		}
		var age time.Duration
		if age, err = follower.Apply(reply); err != nil {
			follower.Forget()
			continue
		}
		return start - age, nil
	}
	return 0, err
}
