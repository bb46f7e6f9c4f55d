// Package presence determines which instances of the deployment are live.
//
// Each instance writes a heartbeat record to the store at regular intervals. The other instances consider
// an instance dead if its record has not changed for several intervals although the store answers, or if a
// newer record shows that it has left or restarted. While the store does not answer, silence proves nothing.
package presence

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/truetime"
	"github.com/cicadasill/cicadasill/zone"
)

const topic = "instances"

// Intervals and time limits of heartbeats.
const (
	// minHeartbeatInterval is the time between an instance's records in a small deployment.
	minHeartbeatInterval = 400 * time.Millisecond
	// heartbeatIntervalPerInstance limits all instances together to a hundred records a second, because the
	// records share a partition that takes one append every 4 ms.
	heartbeatIntervalPerInstance = 10 * time.Millisecond
	// driverIntervalPerDriver limits all instances that drive jobs together to fifty records a second. Their records follow one
	// another faster than those of the others in a large deployment, because a batch job stands still until the death of its
	// driver is noticed.
	driverIntervalPerDriver = 20 * time.Millisecond
	// deadIntervals is the number of intervals without a record after which an instance counts as dead. One
	// record may be lost and the next one late.
	deadIntervals = 3
	// recentIntervals is the age of a record, in intervals, up to which its instance is given new work.
	recentIntervals = 2
	// readDelay is the allowance for the time between the write and the read of a record. It is added to the
	// limits on a record's age; silentFor raises it to half the time between records and to the pause between reads.
	readDelay = 300 * time.Millisecond
	// minReadPause is the shortest pause between reads of the records. In large deployments the pause is
	// half the time between records.
	minReadPause = 300 * time.Millisecond
	// longPollPausePerInstance limits the reads of a partition whose changes wake all instances to 1,700 a
	// second in total, under a third of the smallest limit of a store for a deployment of this size.
	longPollPausePerInstance = 600 * time.Microsecond
	// minLongPollWait is how long a read of rare changes waits. Until the wait and the time limit of a call are over, a read
	// whose connection has gone silent passes for one without changes, which has to be less than deployments allow an
	// instance to be without the store.
	minLongPollWait = 1500 * time.Millisecond
	// longPollWaitPerInstance lengthens the wait with the number of instances, so that all instances together make at most
	// some 300 such reads a second of a partition.
	longPollWaitPerInstance = 3 * time.Millisecond
	// appendTimeout bounds the append of a record with its repeat. The first attempt has firstAppendTimeout, or
	// slowAppendFactor times as long as the last append took: if its connection has gone silent, the repeat has to be read
	// before the instance counts as dead.
	appendTimeout      = 2 * time.Second
	firstAppendTimeout = 350 * time.Millisecond
	slowAppendFactor   = 4
	// maxReadAge is the age of the last successful read up to which the copy counts as current if reads are
	// minReadPause apart. A longer pause between reads extends it.
	maxReadAge = 900 * time.Millisecond
)

// record is a heartbeat: what an instance writes about itself.
type record struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	DataCentre  string `cbor:"2,keyasint"`
	// Left states that the instance does no more work.
	Left     bool   `cbor:"3,keyasint"`
	Sequence uint64 `cbor:"4,keyasint"`
	// Draining states that the instance finishes its work but takes no new work.
	Draining bool `cbor:"5,keyasint"`
	// Interval is the time until the next record.
	Interval time.Duration `cbor:"6,keyasint"`
	// Region and PeerAddr are the location and the address for calls of other instances.
	Region   string `cbor:"7,keyasint"`
	PeerAddr string `cbor:"8,keyasint"`
	// WallMs and BootMs are the time of day and the time since boot at which the record was written, in milliseconds; 0 if
	// the deployment does not need them.
	WallMs int64 `cbor:"9,keyasint,omitempty"`
	BootMs int64 `cbor:"10,keyasint,omitempty"`
	// Processors is the processor time that the instance may use, in cores; 0 if it is not known.
	Processors float64 `cbor:"15,keyasint,omitempty"`
	// Need holds, by service, the back end slots that the instance's part of the work needs.
	Need map[string]int `cbor:"16,keyasint,omitempty"`
}

// observedRecord is the newest record of an instance with the time at which this instance read it.
type observedRecord struct {
	record
	receivedAt time.Time
	// hasChanged states that the record has changed since this table first read it. The store keeps the
	// records of instances that ended long ago, and a table that has just started cannot tell their age.
	hasChanged bool
	// replaced is the incarnation that this one has replaced; 0 if none is known. replacedSequence is the highest sequence number read of
	// it, and revivals the number of its records since that raised it.
	replaced         uint64
	replacedSequence uint64
	revivals         int
}

// revivingRecords is the number of records after which an instance counts as running the incarnation that seemed to be replaced: the record
// that seemed to replace it was one of an earlier run, executed late. A run that has ended may have one late record as well, but it
// writes none after that.
const revivingRecords = 2

// isOlderThan reports whether next was written after s: the store may execute a write without an answer seconds late. Incarnations
// have no order, because they follow a clock that may be set back.
func (s *observedRecord) isOlderThan(next *record) bool {
	if next.Incarnation != s.Incarnation {
		return next.Incarnation != s.replaced || s.revivals >= revivingRecords
	}
	return next.Sequence > s.Sequence // each record of a run has a number of its own
}

// silentFor reports whether no new record has been read for a number of intervals although the records are read with readPause.
func (s *observedRecord) silentFor(intervals int, readPause time.Duration) bool {
	return time.Since(s.receivedAt) > time.Duration(intervals)*s.Interval+max(readDelay, s.Interval/2, readPause)
}

// Table is this instance's view of all instances.
type Table struct {
	self       machine.Ref
	instance   machine.Instance
	dataCentre string
	log        *log.Logger
	store      changelog.Log
	replica    *changelog.Replica
	drivers    func() int
	clock      *truetime.Clock // nil if the deployment does not need true time

	mu           sync.Mutex            // guards the fields below
	need         func() map[string]int // nil if this instance states none
	byID         map[string]observedRecord
	readFailedAt time.Time // last failed read, at first the creation of the table
	hasLeft      bool
	draining     bool
	processors   float64
	sequence     uint64
	heartbeatAt  time.Time // start of the last acknowledged heartbeat
	// appendDuration is the time that the append of that heartbeat took. It is part of the announced interval,
	// because a slow store delays the next record.
	appendDuration time.Duration
}

// New returns a Table that has read no records yet. drivers returns the number of instances that drive jobs, or 0 if this one
// drives none.
func New(self machine.Instance, store changelog.Log, drivers func() int, logger *log.Logger) *Table {
	t := &Table{
		self: self.Ref(), instance: self, dataCentre: self.Zone.DataCentre, log: logger, store: store, drivers: drivers,
		byID: map[string]observedRecord{}, readFailedAt: time.Now(),
	}
	t.replica = changelog.NewReplica(store, changelog.Partition{Topic: topic}, t)
	return t
}

// Run writes this instance's heartbeats and reads those of all instances until ctx ends.
func (t *Table) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.replica.Follow(ctx, changelog.ConstantWait(0), func() time.Duration { return ReadPause(t.Count()) }, t.handleReadResult)
	}()
	for {
		if !t.awaitNextHeartbeat(ctx, t.writeHeartbeat(ctx)) {
			break
		}
	}
	<-done
}

// Count returns the number of instances that have written a record, this one included.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(1, len(t.byID))
}

// CountInDataCentre returns the number of instances of this one's data centre that take new work, this one included.
func (t *Table) CountInDataCentre() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 1
	for id, s := range t.byID {
		if id != t.self.ID && s.DataCentre == t.dataCentre && t.acceptsWork(&s) {
			n++
		}
	}
	return n
}

// AnnounceDraining announces that this instance takes no new work.
func (t *Table) AnnounceDraining(ctx context.Context) {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	t.writeHeartbeat(ctx)
}

// Leave announces that this instance does no more work on its own.
func (t *Table) Leave(ctx context.Context) {
	t.mu.Lock()
	t.hasLeft = true
	t.mu.Unlock()
	t.writeHeartbeat(ctx)
}

// SinceHeartbeat returns the time since the store last acknowledged a heartbeat.
func (t *Table) SinceHeartbeat() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.heartbeatAt)
}

// handleReadResult records the time of a failed read.
func (t *Table) handleReadResult(err error) {
	if err == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readFailedAt = time.Now()
}

// Reset implements changelog.State.
func (t *Table) Reset() {}

// Apply implements changelog.State.
func (t *Table) Apply(r changelog.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Value == nil {
		delete(t.byID, r.Key)
		return
	}
	var next record
	if err := cbor.Unmarshal(r.Value, &next); err != nil {
		t.log.Error("cannot decode instance record", "instance", r.Key, "err", err)
		return
	}
	old, known := t.byID[r.Key]
	if known && next.Incarnation == old.replaced && next.Sequence > old.replacedSequence {
		old.replacedSequence = next.Sequence
		old.revivals++
		t.byID[r.Key] = old
	}
	if known && !old.isOlderThan(&next) {
		return
	}
	observed := observedRecord{
		record: next, receivedAt: time.Now(), hasChanged: known,
		replaced: old.replaced, replacedSequence: old.replacedSequence, revivals: old.revivals,
	}
	if known && old.Incarnation != next.Incarnation {
		t.log.Info("instance restarted", "peer", r.Key, "incarnation", next.Incarnation)
		observed.replaced, observed.replacedSequence, observed.revivals = old.Incarnation, old.Sequence, 0
	}
	t.byID[r.Key] = observed
	if known { // the age of the first record is unknown
		t.observeClock(r.Key, next)
	}
}

// Dead reports whether an instance has ended or does no more work. It returns false while the last successful
// read is too old. Silence counts only if reads and this instance's own heartbeats have succeeded recently.
func (t *Table) Dead(ref machine.Ref) bool {
	if ref == t.self {
		return false
	}
	age := t.replica.Age()
	t.mu.Lock()
	defer t.mu.Unlock()
	if age > maxReadAge+ReadPause(len(t.byID))-minReadPause {
		return false
	}
	s, known := t.byID[ref.ID]
	if known && (s.Incarnation != ref.Incarnation || s.Left) {
		return true
	}
	if !known {
		s.Interval = max(t.byID[t.self.ID].Interval, heartbeatInterval(len(t.byID)))
	}
	return t.isSilent(&s, deadIntervals)
}

// isSilent reports whether an instance has written no record for a number of intervals. Silence proves nothing while the store
// does not answer, nor after that until the instance has had time to write again. The caller holds mu.
func (t *Table) isSilent(s *observedRecord, intervals int) bool {
	readPause := ReadPause(len(t.byID))
	own := t.byID[t.self.ID]
	// If this instance's own heartbeats do not get through, those of others may not either.
	return s.silentFor(intervals, readPause) && !own.silentFor(recentIntervals, readPause) &&
		time.Since(t.readFailedAt) > time.Duration(intervals)*max(s.Interval, readPause)+readDelay
}

// acceptsWork reports whether an instance takes new work and is live as far as its records show. The caller holds mu.
func (t *Table) acceptsWork(s *observedRecord) bool {
	return s.hasChanged && !s.Left && !s.Draining && !t.isSilent(s, recentIntervals)
}

// Ended reports whether the newest record shows that an instance has left or that a later run has replaced it.
// Unlike Dead, it concludes nothing from silence, nor from the record of an earlier run.
func (t *Table) Ended(ref machine.Ref) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.byID[ref.ID]
	return known && (s.Incarnation > ref.Incarnation || (s.Incarnation == ref.Incarnation && s.Left))
}

// Drivers returns the live instances that take new work: the others of this data centre, then this instance, then those of other
// data centres, in each place the weak ones last. It orders them by rendezvous hashing, so equal keys give the same order as long
// as the instances stay. While this instance takes no new work, it is the last.
func (t *Table) Drivers(key string) []machine.Ref {
	t.mu.Lock()
	defer t.mu.Unlock()
	type ranked struct {
		ref  machine.Ref
		near bool
		weak bool
		hash uint64
	}
	var others []ranked
	most := t.mostProcessors()
	for id, s := range t.byID {
		if id != t.self.ID && t.acceptsWork(&s) {
			ref := machine.Ref{ID: id, Incarnation: s.Incarnation}
			others = append(others, ranked{ref, s.DataCentre == t.dataCentre, isWeak(s.Processors, most), xxhash.Sum64String(key + "/" + id)})
		}
	}
	slices.SortFunc(others, func(a, b ranked) int { return cmp.Or(compareBool(a.weak, b.weak), cmp.Compare(a.hash, b.hash)) })
	var near, remote []machine.Ref
	for _, other := range others {
		if other.near {
			near = append(near, other.ref)
		} else {
			remote = append(remote, other.ref)
		}
	}
	if t.draining {
		return slices.Concat(near, remote, []machine.Ref{t.self})
	}
	return slices.Concat(near, []machine.Ref{t.self}, remote)
}

// Owner returns the live instance that is responsible for key: one of the given data centre, if one that takes new work is
// there, and this instance if none is anywhere. All instances that have read the same records choose the same one.
func (t *Table) Owner(key, dataCentre string) machine.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, bestHash, bestIsNear, bestIsWeak := t.instance, uint64(0), false, false
	found, most := false, t.mostProcessors()
	for id, s := range t.byID {
		if !t.acceptsWork(&s) {
			continue
		}
		isNear, weak, h := s.DataCentre == dataCentre, isWeak(s.Processors, most), xxhash.Sum64String(key+"/"+id)
		if found && cmp.Or(compareBool(!isNear, !bestIsNear), compareBool(weak, bestIsWeak), cmp.Compare(h, bestHash)) >= 0 {
			continue
		}
		found, bestHash, bestIsNear, bestIsWeak = true, h, isNear, weak
		best = machine.Instance{
			ID: id, Incarnation: s.Incarnation, PeerAddr: s.PeerAddr, Zone: zone.Zone{Region: s.Region, DataCentre: s.DataCentre},
		}
	}
	return best
}

// Peers returns the other live instances, the nearest first.
func (t *Table) Peers() []machine.Instance {
	return t.nearest(func(s *observedRecord, readPause time.Duration) bool { return !s.silentFor(deadIntervals, readPause) })
}

// PossiblyLive returns the other instances that are not known to have ended, the nearest first. These are more than Peers
// while the records cannot be read.
func (t *Table) PossiblyLive() []machine.Instance {
	return slices.DeleteFunc(t.nearest(func(*observedRecord, time.Duration) bool { return true }), func(i machine.Instance) bool { return t.Dead(i.Ref()) })
}

// nearest returns the other instances that have not left and to which a condition applies, the nearest first.
func (t *Table) nearest(applies func(s *observedRecord, readPause time.Duration) bool) []machine.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	readPause := ReadPause(len(t.byID))
	var peers []machine.Instance
	for id, s := range t.byID {
		if id == t.self.ID || s.Left || s.PeerAddr == "" || !applies(&s, readPause) {
			continue
		}
		peers = append(peers, machine.Instance{
			ID: id, Incarnation: s.Incarnation, PeerAddr: s.PeerAddr,
			Zone: zone.Zone{Region: s.Region, DataCentre: s.DataCentre},
		})
	}
	slices.SortFunc(peers, func(a, b machine.Instance) int {
		own := t.instance.Zone
		return cmp.Or(
			cmp.Compare(own.DistanceTo(a.Zone), own.DistanceTo(b.Zone)),
			cmp.Compare(xxhash.Sum64String(t.self.ID+"/"+a.ID), xxhash.Sum64String(t.self.ID+"/"+b.ID)),
		)
	})
	return peers
}

// AvailableInDataCentre reports whether an instance is live, takes new work and is in this instance's data
// centre.
func (t *Table) AvailableInDataCentre(ref machine.Ref) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.byID[ref.ID]
	return known && s.Incarnation == ref.Incarnation && s.DataCentre == t.dataCentre && t.acceptsWork(&s)
}

// Rank returns this instance's position among the live ones, from 0, in an order that depends on key and is the
// same at all instances. Weak instances are the last.
func (t *Table) Rank(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	own, most := xxhash.Sum64String(key+"/"+t.self.ID), t.mostProcessors()
	ownIsWeak := isWeak(t.processors, most)
	rank, readPause := 0, ReadPause(len(t.byID))
	for id, s := range t.byID {
		if id == t.self.ID || s.Left || s.silentFor(deadIntervals, readPause) {
			continue
		}
		if cmp.Or(compareBool(isWeak(s.Processors, most), ownIsWeak), cmp.Compare(xxhash.Sum64String(key+"/"+id), own)) < 0 {
			rank++
		}
	}
	return rank
}
