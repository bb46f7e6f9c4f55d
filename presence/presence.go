// Package presence tells which instances of the deployment live. Each instance writes a record
// to the store once a heartbeat; the others take an instance for dead when its record has not
// changed for some time although the store answers.
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
	"github.com/cicadasill/cicadasill/timing"
	"github.com/cicadasill/cicadasill/zone"
)

const topic = "instances"

// Periods of presence.
const (
	// leastPeriod spaces the records of an instance in a small deployment.
	leastPeriod = 400 * time.Millisecond
	// periodPerInstance keeps all instances together at a hundred records a second: the records
	// share a partition that takes one append every 4 ms.
	periodPerInstance = 10 * time.Millisecond
	// deadPeriods is how many periods an instance is silent before it counts as dead: one record
	// may be lost and the next one late.
	deadPeriods = 3
	// nearPeriods is the age of a record, in periods, up to which an instance is given new work.
	nearPeriods = 2
	// readDelay is added to all ages: records are read some time after they were written, up to half
	// the time between records.
	readDelay = 300 * time.Millisecond
	// readPeriod spaces the reads of all records, at least by half the time between records.
	readPeriod = 300 * time.Millisecond
	// wakePerInstance keeps the reads of a partition whose changes wake all instances at 1,700 a
	// second, under a third of the smallest limit of a store for a deployment of this size.
	wakePerInstance = 600 * time.Microsecond
	// appendTimeout bounds the append of a record.
	appendTimeout = 2 * time.Second
	// freshRead is the age of the last read up to which its contents count as current.
	freshRead = 900 * time.Millisecond
)

// record is what an instance says of itself.
type record struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	DataCentre  string `cbor:"2,keyasint"`
	Leaving     bool   `cbor:"3,keyasint"`
	Sequence    uint64 `cbor:"4,keyasint"`
	// Stopping instances finish their work but take no new one.
	Stopping bool `cbor:"5,keyasint"`
	// Period is the time until the next record.
	Period time.Duration `cbor:"6,keyasint"`
	// Region and PeerAddr tell other instances where to reach this one.
	Region   string `cbor:"7,keyasint"`
	PeerAddr string `cbor:"8,keyasint"`
}

// seen is an instance's newest record with the time at which it arrived here.
type seen struct {
	record
	at time.Time
	// alive states that the record has changed since this table first read it. The store keeps the
	// records of instances that ended long ago, and a table that starts cannot tell their age.
	alive bool
}

// takesWork reports whether the instance lives, as far as its records tell, and takes new work.
func (s *seen) takesWork() bool {
	return s.alive && !s.Leaving && !s.Stopping && !s.silentFor(nearPeriods)
}

// silentFor reports whether no record has come for a number of periods.
func (s *seen) silentFor(periods int) bool {
	return time.Since(s.at) > time.Duration(periods)*s.Period+max(readDelay, s.Period/2)
}

// Table is this instance's view of all instances.
type Table struct {
	self       machine.Ref
	instance   machine.Instance
	dataCentre string
	log        *log.Logger
	store      changelog.Log
	replica    *changelog.Replica

	mu       sync.Mutex // guards the fields below
	byID     map[string]seen
	outageAt time.Time // last failed read
	leaving  bool
	stopping bool
	sequence uint64
	beatAt   time.Time // start of the last acknowledged heartbeat
	// appendTook is the time of its append; a slow store spaces the records.
	appendTook time.Duration
}

// New returns a table that has read nothing yet.
func New(self machine.Instance, store changelog.Log, logger *log.Logger) *Table {
	t := &Table{
		self: self.Ref(), instance: self, dataCentre: self.Zone.DataCentre, log: logger, store: store,
		byID: map[string]seen{}, outageAt: time.Now(),
	}
	t.replica = changelog.NewReplica(store, changelog.Partition{Topic: topic}, t)
	return t
}

// Run writes this instance's heartbeats and reads those of the others until ctx ends.
func (t *Table) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.replica.Follow(ctx, 0, func() time.Duration { return ReadPause(t.Count()) }, t.noteRead)
	}()
	for {
		if !timing.Sleep(ctx, t.beat(ctx)) {
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

// WakePause returns the pause after a read that waited for a change, and that every other instance
// has made for the same change.
func WakePause(least time.Duration, instances int) time.Duration {
	return max(least, time.Duration(instances)*wakePerInstance)
}

func beatPeriod(instances int) time.Duration {
	return max(leastPeriod, time.Duration(instances)*periodPerInstance)
}

// ReadPause returns the pause between reads of the instances' records.
func ReadPause(instances int) time.Duration { return max(readPeriod, beatPeriod(instances)/2) }

// beat writes a record and returns the time until the next one.
func (t *Table) beat(ctx context.Context) time.Duration {
	t.mu.Lock()
	t.sequence++
	period := beatPeriod(len(t.byID))
	r := record{
		Incarnation: t.self.Incarnation, DataCentre: t.dataCentre, Leaving: t.leaving, Stopping: t.stopping,
		Sequence: t.sequence, Period: period + t.appendTook,
		Region: t.instance.Zone.Region, PeerAddr: t.instance.PeerAddr,
	}
	t.mu.Unlock()
	data, err := cbor.Marshal(r)
	if err != nil {
		t.log.Error("heartbeat not encoded", "err", err)
		return period
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	at := changelog.Partition{Topic: topic}
	records := []changelog.Record{{Key: t.self.ID, Value: data}}
	if _, err := t.store.Append(ctx, at, records, changelog.Unconditional); err != nil {
		t.log.Debug("heartbeat not written", "err", err)
		return period
	}
	t.mu.Lock()
	t.beatAt, t.appendTook = start, time.Since(start)
	t.mu.Unlock()
	return period
}

// Stopping tells the others to give this instance no new work.
func (t *Table) Stopping(ctx context.Context) {
	t.mu.Lock()
	t.stopping = true
	t.mu.Unlock()
	t.beat(ctx)
}

// Leave tells the others that this instance does no more work on its own.
func (t *Table) Leave(ctx context.Context) {
	t.mu.Lock()
	t.leaving = true
	t.mu.Unlock()
	t.beat(ctx)
}

// InContact returns the time since the store last acknowledged a heartbeat.
func (t *Table) InContact() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.beatAt)
}

func (t *Table) noteRead(err error) {
	if err == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outageAt = time.Now()
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
		t.log.Error("instance record not readable", "instance", r.Key, "err", err)
		return
	}
	old, known := t.byID[r.Key]
	if known && old.record == next {
		return
	}
	if known && old.Incarnation != next.Incarnation {
		t.log.Info("instance restarted", "peer", r.Key, "incarnation", next.Incarnation)
	}
	t.byID[r.Key] = seen{record: next, at: time.Now(), alive: known}
}

// Dead reports whether an instance has ended or does no more work. It answers false while the
// store's answers do not allow to tell.
func (t *Table) Dead(ref machine.Ref) bool {
	if ref == t.self {
		return false
	}
	age := t.replica.Age()
	t.mu.Lock()
	defer t.mu.Unlock()
	if age > freshRead+ReadPause(len(t.byID))-readPeriod {
		return false
	}
	own := t.byID[t.self.ID]
	s, known := t.byID[ref.ID]
	if known && (s.Incarnation != ref.Incarnation || s.Leaving) {
		return true
	}
	if !known {
		s.Period = own.Period
	}
	// Records that do not get through for this instance may not for others either.
	return s.silentFor(deadPeriods) && !own.silentFor(nearPeriods) &&
		time.Since(t.outageAt) > deadPeriods*s.Period+readDelay
}

// Peer returns a living instance of this data centre other than this one, the same for equal
// keys as long as the instances stay; this instance if it is the only one.
func (t *Table) Peer(key string) machine.Ref {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, bestHash := t.self, uint64(0)
	for id, s := range t.byID {
		if id == t.self.ID || s.DataCentre != t.dataCentre || !s.takesWork() {
			continue
		}
		if h := xxhash.Sum64String(key + "/" + id); best == t.self || h < bestHash {
			best, bestHash = machine.Ref{ID: id, Incarnation: s.Incarnation}, h
		}
	}
	return best
}

// Peers returns the other living instances, the nearest first.
func (t *Table) Peers() []machine.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var peers []machine.Instance
	for id, s := range t.byID {
		if id == t.self.ID || s.Leaving || s.PeerAddr == "" || s.silentFor(deadPeriods) {
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

// Near reports whether an instance lives, takes work and is in the data centre of this one.
func (t *Table) Near(ref machine.Ref) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.byID[ref.ID]
	return known && s.Incarnation == ref.Incarnation && s.DataCentre == t.dataCentre && s.takesWork()
}

// Rank returns this instance's position among the living ones in an order that depends on key
// and is the same at all instances.
func (t *Table) Rank(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := xxhash.Sum64String(key + "/" + t.self.ID)
	rank := 0
	for id, s := range t.byID {
		if id == t.self.ID || s.Leaving || s.silentFor(deadPeriods) {
			continue
		}
		if cmp.Compare(xxhash.Sum64String(key+"/"+id), own) < 0 {
			rank++
		}
	}
	return rank
}
