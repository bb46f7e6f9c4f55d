// Package digest passes what changes about the back ends on from the few instances that read their entries in the store to all
// others.
//
// Load pattern: thousands of back ends rewrite their entries about once a second, and hundreds of instances read all of them. Nearly
// all of these records change nothing but a sequence number, and together they use up the store's bandwidth.
package digest

import (
	"fmt"
	"reflect"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/timing"
)

// Target takes the entries of back ends, like backends.Directory.
type Target interface {
	Put(e backends.Entry) backends.Effect
	Remove(id string)
	// RecordRemoval states that another instance has seen the removal of a back end after the given entry.
	RecordRemoval(id string, last backends.Run)
	RemoveAllBut(ids map[string]bool)
}

// goneMemory is how long a recorder remembers the removal of a back end. An instance that has not asked for longer gets all entries.
const goneMemory = time.Minute

// change is the newest change of a back end.
type change struct {
	number  uint64
	entry   backends.Entry
	at      time.Duration // since boot
	removed time.Time     // zero while the back end is there
}

// current returns the entry with the time of its notice that is left now.
func (c *change) current() backends.Entry {
	e := c.entry
	if e.LeavesIn > 0 {
		e.LeavesIn = max(1, e.LeavesIn-(timing.SinceBoot()-c.at))
	}
	return e
}

// Recorder is a Target that numbers the changes that it passes on to another Target.
type Recorder struct {
	target Target
	epoch  uint64
	// source returns the age of this instance's own copy of the entries, and whether it reads them from the store itself.
	source func() (age time.Duration, reads bool)
	// outage reports whether the store has failed to answer recently.
	outage func() bool

	mu        sync.Mutex // guards the fields below, and orders the calls of target
	number    uint64
	forgotten uint64 // highest number of a removal that is no longer remembered
	byID      map[string]change
}

// NewRecorder returns a Recorder without entries. epoch tells its numbers apart from those of an earlier run.
func NewRecorder(target Target, epoch uint64, source func() (time.Duration, bool), outage func() bool) *Recorder {
	return &Recorder{target: target, epoch: epoch, source: source, outage: outage, byID: map[string]change{}}
}

// Put implements Target. Outdated entries are not passed on to others either.
func (r *Recorder) Put(e backends.Entry) backends.Effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	effect := r.target.Put(e)
	if effect == backends.Outdated {
		return effect
	}
	old, ok := r.byID[e.ID]
	if ok && old.entry.StartedUnixMs == e.StartedUnixMs {
		e.Seq = max(e.Seq, old.entry.Seq) // e may be unnumbered
	}
	if !ok || !old.removed.IsZero() || !sameContent(old.entry, e) {
		r.number++
		r.byID[e.ID] = change{number: r.number, entry: e, at: timing.SinceBoot()}
		return effect
	}
	old.entry.Seq = e.Seq
	r.byID[e.ID] = old
	return effect
}

// sameContent reports whether two entries differ at most in their sequence numbers.
func sameContent(a, b backends.Entry) bool {
	a.Seq = b.Seq
	return reflect.DeepEqual(a, b)
}

// RecordRemoval implements Target.
func (r *Recorder) RecordRemoval(id string, last backends.Run) {
	if last.StartedUnixMs == 0 { // runs without a start can't be told apart
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target.RecordRemoval(id, last)
	known, ok := r.byID[id]
	if ok && runOf(known.entry).IsNewerThan(last) {
		return
	}
	if !ok { // for instances that start later
		r.number++
		known = change{number: r.number, removed: time.Now(), entry: backends.Entry{ID: id}}
	}
	known.entry.StartedUnixMs, known.entry.Seq = last.StartedUnixMs, last.Seq
	r.byID[id] = known
	r.removeLocked(id)
}

// runOf returns the run that has written an entry.
func runOf(e backends.Entry) backends.Run {
	return backends.Run{StartedUnixMs: e.StartedUnixMs, Seq: e.Seq}
}

// Remove implements Target.
func (r *Recorder) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLocked(id)
	r.target.Remove(id)
}

// removeLocked numbers the removal of a back end. The caller holds mu.
func (r *Recorder) removeLocked(id string) {
	old, ok := r.byID[id]
	if !ok || !old.removed.IsZero() {
		return
	}
	r.number++
	old.number, old.removed = r.number, time.Now()
	r.byID[id] = old
	for other, c := range r.byID {
		if !c.removed.IsZero() && time.Since(c.removed) > goneMemory {
			r.forgotten = max(r.forgotten, c.number)
			delete(r.byID, other)
		}
	}
}

// RemoveAllBut implements Target.
func (r *Recorder) RemoveAllBut(ids map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.byID {
		if !ids[id] {
			r.removeLocked(id)
		}
	}
	r.target.RemoveAllBut(ids)
}

// request asks for the changes after a number.
type request struct {
	Epoch uint64 `cbor:"1,keyasint"`
	After uint64 `cbor:"2,keyasint"`
	// OnlyRemovals asks for the runs of removed back ends alone. Instances that do not read the store answer that too.
	OnlyRemovals bool `cbor:"3,keyasint,omitempty"`
}

// answer holds changes. If Whole is set, it holds all entries, and other back ends are gone.
type answer struct {
	Epoch   uint64           `cbor:"1,keyasint"`
	Number  uint64           `cbor:"2,keyasint"`
	Whole   bool             `cbor:"3,keyasint"`
	Entries []backends.Entry `cbor:"4,keyasint"`
	Removed []string         `cbor:"5,keyasint"`
	// Age is the age of the reader's copy.
	Age time.Duration `cbor:"6,keyasint"`
	// Outage states that the store has failed to answer recently, so that removed entries may return.
	Outage bool `cbor:"7,keyasint"`
	// Last holds the runs of removed back ends, with their last entries.
	Last map[string]backends.Run `cbor:"8,keyasint,omitempty"`
	// Numbered states that the entries bear their numbers. Earlier releases do not pass them on.
	Numbered bool `cbor:"9,keyasint,omitempty"`
}

// NotReaderError reports a request to an instance that does not read the entries from the store.
type NotReaderError struct{}

// Error implements error.
func (*NotReaderError) Error() string { return "this instance does not read the entries itself" }

// Handle answers the request of another instance. It fails with *NotReaderError if this instance has its entries from
// another one too, so that no two instances ask each other.
func (r *Recorder) Handle(payload []byte) ([]byte, error) {
	var asked request
	if err := cbor.Unmarshal(payload, &asked); err != nil {
		return nil, fmt.Errorf("decode request for entries: %w", err)
	}
	if asked.OnlyRemovals {
		return cbor.Marshal(&answer{Last: r.Removals()})
	}
	age, reads := r.source()
	if !reads {
		return nil, &NotReaderError{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := answer{Epoch: r.epoch, Number: r.number, Age: age, Outage: r.outage(), Numbered: true, Last: map[string]backends.Run{}}
	a.Whole = asked.Epoch != r.epoch || asked.After > r.number || asked.After < r.forgotten
	for id, c := range r.byID {
		switch {
		case !a.Whole && c.number <= asked.After:
		case c.removed.IsZero():
			a.Entries = append(a.Entries, c.current())
		default:
			a.Last[id] = runOf(c.entry)
			if !a.Whole {
				a.Removed = append(a.Removed, id)
			}
		}
	}
	return cbor.Marshal(&a)
}

// Removals returns the runs of the back ends that were removed within goneMemory.
func (r *Recorder) Removals() map[string]backends.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := map[string]backends.Run{}
	for id, c := range r.byID {
		if !c.removed.IsZero() && time.Since(c.removed) <= goneMemory {
			runs[id] = runOf(c.entry)
		}
	}
	return runs
}

// RemovalsRequest returns a request for the removals that another instance remembers.
func RemovalsRequest() ([]byte, error) { return cbor.Marshal(&request{OnlyRemovals: true}) }

// ApplyRemovals applies the answer to such a request to a target. Other entries in it, from an instance of an earlier release, are
// ignored.
func ApplyRemovals(target Target, payload []byte) error {
	var a answer
	if err := cbor.Unmarshal(payload, &a); err != nil {
		return fmt.Errorf("decode removals: %w", err)
	}
	for id, last := range a.Last {
		target.RecordRemoval(id, last)
	}
	return nil
}
