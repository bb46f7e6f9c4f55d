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
)

const topic = "instances"

// Periods of presence.
const (
	// Heartbeat spaces an instance's records.
	Heartbeat = 700 * time.Millisecond
	// DeadAfter is almost three heartbeats: one may be lost and the next one late.
	DeadAfter = 2 * time.Second
	// NearWithin is the age of a heartbeat up to which an instance is given new work.
	NearWithin = 1300 * time.Millisecond
	// readPeriod spaces the reads of all records.
	readPeriod = 350 * time.Millisecond
	// appendTimeout bounds one heartbeat's append.
	appendTimeout = time.Second
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
}

// seen is an instance's newest record with the time at which it arrived here.
type seen struct {
	record
	at time.Time
}

// Table is this instance's view of all instances.
type Table struct {
	self       machine.Ref
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
}

// New returns a table that has read nothing yet.
func New(self machine.Ref, dataCentre string, store changelog.Log, logger *log.Logger) *Table {
	t := &Table{
		self: self, dataCentre: dataCentre, log: logger, store: store,
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
		t.replica.Follow(ctx, 0, readPeriod, t.noteRead)
	}()
	for {
		t.beat(ctx)
		if !timing.Sleep(ctx, Heartbeat) {
			break
		}
	}
	<-done
}

func (t *Table) beat(ctx context.Context) {
	t.mu.Lock()
	t.sequence++
	r := record{Incarnation: t.self.Incarnation, DataCentre: t.dataCentre, Leaving: t.leaving, Stopping: t.stopping, Sequence: t.sequence}
	t.mu.Unlock()
	data, err := cbor.Marshal(r)
	if err != nil {
		t.log.Error("heartbeat not encoded", "err", err)
		return
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	at := changelog.Partition{Topic: topic}
	records := []changelog.Record{{Key: t.self.ID, Value: data}}
	if _, err := t.store.Append(ctx, at, records, changelog.Unconditional); err != nil {
		t.log.Debug("heartbeat not written", "err", err)
		return
	}
	t.mu.Lock()
	t.beatAt = start
	t.mu.Unlock()
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
	t.byID[r.Key] = seen{record: next, at: time.Now()}
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
	if age > freshRead {
		return false
	}
	s, known := t.byID[ref.ID]
	if known && (s.Incarnation != ref.Incarnation || s.Leaving) {
		return true
	}
	silent := !known || time.Since(s.at) > DeadAfter
	return silent && time.Since(t.outageAt) > DeadAfter
}

// Near reports whether an instance lives, takes work and is in the data centre of this one.
func (t *Table) Near(ref machine.Ref) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.byID[ref.ID]
	return known && s.Incarnation == ref.Incarnation && !s.Leaving && !s.Stopping &&
		s.DataCentre == t.dataCentre && time.Since(s.at) <= NearWithin
}

// Rank returns this instance's position among the living ones in an order that depends on key
// and is the same at all instances.
func (t *Table) Rank(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := xxhash.Sum64String(key + "/" + t.self.ID)
	rank := 0
	for id, s := range t.byID {
		if id == t.self.ID || s.Leaving || time.Since(s.at) > DeadAfter {
			continue
		}
		if cmp.Compare(xxhash.Sum64String(key+"/"+id), own) < 0 {
			rank++
		}
	}
	return rank
}

// Live returns the ids of the living instances, this one included.
func (t *Table) Live() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := []string{t.self.ID}
	for id, s := range t.byID {
		if id != t.self.ID && !s.Leaving && time.Since(s.at) <= DeadAfter {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
