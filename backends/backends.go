// Package backends keeps what this instance knows of the back ends: their entries in the
// platform's store and what their answers have shown since.
package backends

import (
	"maps"
	"sync"
	"time"
)

// Entry is what a back end says of itself in the store. It is not changed after it was read.
type Entry struct {
	ID      string
	Service string
	Addr    string
	Zone    string
	Slots   int
	// Leaving back ends take no new work.
	Leaving bool
	// Born is the start of the back end's process in Unix milliseconds.
	Born int64
	// Versions holds the version of the weights of each model; it is never nil.
	Versions map[string]int64
}

// Times after which an observation no longer counts.
const (
	// goneGrace is how long an entry that vanished soon after an outage of the store is still
	// used: living back ends write their entries again within two seconds.
	goneGrace = 2 * time.Second
	// outageWindow is how long after an outage a vanished entry may be due to the outage.
	outageWindow = 3 * time.Second
	// firstPenalty is how long a back end is avoided after its first failure; each further
	// failure doubles it up to maxPenalty.
	// warmFor is how long an idle connection is kept, less a margin.
	warmFor      = 7 * time.Second
	firstPenalty = 300 * time.Millisecond
	maxPenalty   = 4 * time.Second
)

// Backend is one start of a back end.
type Backend struct {
	ID      string
	Service string
	Addr    string
	Zone    string
	Born    int64

	dir          *Directory // its lock guards the fields below
	slots        int
	leaving      bool
	versions     map[string]int64 // replaced, never changed
	goneAt       time.Time        // zero while the entry exists
	inFlight     int
	peak         int       // most requests in flight at once since peakAt
	peakAt       time.Time // when inFlight last was at peak
	failures     int
	avoidUntil   time.Time
	loadingUntil map[string]time.Time // by model
	pace         time.Duration        // smoothed time between events; 0 if unknown
}

// Directory holds the back ends by id.
type Directory struct {
	mu       sync.Mutex
	byID     map[string]*Backend
	outageAt time.Time
	changed  chan struct{}
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{byID: map[string]*Backend{}, changed: make(chan struct{})}
}

// Changed returns a channel that is closed when a back end may have become usable.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (d *Directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// NoteOutage records that the store cannot be read at the moment.
func (d *Directory) NoteOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outageAt = time.Now()
}

// Put takes a new or changed entry. It reports whether the back end is new or has started again.
func (d *Directory) Put(e Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.byID[e.ID]
	if b != nil && e.Born < b.Born {
		return false // a late record of an earlier start
	}
	if b == nil || b.Born != e.Born || b.Addr != e.Addr || b.Service != e.Service {
		d.byID[e.ID] = &Backend{
			ID: e.ID, Service: e.Service, Addr: e.Addr, Zone: e.Zone, Born: e.Born,
			dir: d, slots: e.Slots, leaving: e.Leaving, versions: e.Versions,
			loadingUntil: map[string]time.Time{},
		}
		d.notify()
		return true
	}
	versions := maps.Clone(b.versions)
	for model, version := range e.Versions {
		versions[model] = max(versions[model], version)
	}
	changed := b.leaving != e.Leaving || !maps.Equal(b.versions, versions) || !b.goneAt.IsZero()
	b.slots, b.leaving, b.versions, b.goneAt = e.Slots, e.Leaving, versions, time.Time{}
	if changed {
		d.notify()
	}
	return false
}

// Remove takes the end of an entry. An entry that ends together with an outage of the store
// stays usable for a moment, because its back end may live.
func (d *Directory) Remove(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.byID[id]
	if b == nil {
		return
	}
	if time.Since(d.outageAt) < outageWindow {
		if b.goneAt.IsZero() {
			b.goneAt = time.Now()
		}
		return
	}
	delete(d.byID, id)
	b.leaving = true
}

// RemoveAllBut removes every back end whose id is not in ids.
func (d *Directory) RemoveAllBut(ids map[string]bool) {
	d.mu.Lock()
	var gone []string
	for id := range d.byID {
		if !ids[id] {
			gone = append(gone, id)
		}
	}
	d.mu.Unlock()
	for _, id := range gone {
		d.Remove(id)
	}
}

// Backend returns the back end with an id.
func (d *Directory) Backend(id string) (*Backend, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.byID[id]
	return b, ok
}

// Candidate is a back end with what a choice among several depends on.
type Candidate struct {
	*Backend
	// Slots is the number of requests that the back end runs at once.
	Slots int
	// Versions holds the version of the weights of each model. It must not be changed.
	Versions map[string]int64
	// InFlight counts this instance's requests at the back end.
	InFlight int
	// Warm is about the number of connections that this instance has to the back end.
	Warm int
	// Avoid states that the back end failed recently or is loading the model.
	Avoid bool
	// Pace is the smoothed time between two events of a stream; 0 if unknown.
	Pace time.Duration
}

// Candidates returns the back ends of a service that take new work. A model of "" matches all.
func (d *Directory) Candidates(service, model string) []Candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var list []Candidate
	for _, b := range d.byID {
		if b.Service != service || b.leaving {
			continue
		}
		if !b.goneAt.IsZero() && now.Sub(b.goneAt) > goneGrace {
			continue
		}
		list = append(list, Candidate{
			Backend: b, Slots: b.slots, Versions: b.versions, InFlight: b.inFlight, Pace: b.pace, Warm: b.warm(now),
			Avoid: now.Before(b.avoidUntil) || now.Before(b.loadingUntil[model]),
		})
	}
	return list
}

// Begin counts a request that is sent to b.
func (b *Backend) Begin() {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	b.inFlight++
	now := time.Now()
	if b.inFlight >= b.warm(now) {
		b.peak, b.peakAt = b.inFlight, now
	}
}

// warm returns about how many connections this instance has to b: the most requests that were
// in flight at once until those connections have been idle for too long. The caller holds the lock.
func (b *Backend) warm(now time.Time) int {
	if now.Sub(b.peakAt) > warmFor {
		return b.inFlight
	}
	return b.peak
}

// End counts a request to b that has ended.
func (b *Backend) End() {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	b.inFlight--
	b.dir.notify()
}

// Pace returns the smoothed time between two events of a stream; 0 if unknown.
func (b *Backend) Pace() time.Duration {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	return b.pace
}

// Gone reports whether b takes no new work.
func (b *Backend) Gone() bool {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	return b.leaving || (!b.goneAt.IsZero() && time.Since(b.goneAt) > goneGrace)
}

// Succeeded ends the avoidance of b.
func (b *Backend) Succeeded() {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	b.failures = 0
	b.avoidUntil = time.Time{}
}

// Failed makes b avoided for a time that grows with the number of failures in a row.
func (b *Backend) Failed() {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	now := time.Now()
	if now.Before(b.avoidUntil) {
		return // failures of requests that were in flight together count once
	}
	penalty := min(firstPenalty<<min(b.failures, 8), maxPenalty)
	b.failures++
	b.avoidUntil = now.Add(penalty)
}

// Busy makes b avoided for d, because it refused a request without running it.
func (b *Backend) Busy(d time.Duration) {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	if until := time.Now().Add(d); until.After(b.avoidUntil) {
		b.avoidUntil = until
	}
}

// Loading states that b loads weights of a model for about d.
func (b *Backend) Loading(model string, d time.Duration) {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	b.loadingUntil[model] = time.Now().Add(d)
}

// Loaded records a version that b has shown in an answer.
func (b *Backend) Loaded(model string, version int64) {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	delete(b.loadingUntil, model)
	if b.versions[model] >= version {
		return
	}
	versions := maps.Clone(b.versions)
	versions[model] = version
	b.versions = versions
	b.dir.notify()
}

const (
	// paceWeight is the weight of a new observation in the smoothed pace.
	paceWeight = 0.2
	// longestPace bounds the observations: longer gaps come from loads of weights.
	longestPace = 600 * time.Millisecond
)

// Paced records the time between two events of a stream.
func (b *Backend) Paced(d time.Duration) {
	if d > longestPace {
		return
	}
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	if b.pace == 0 {
		b.pace = d
		return
	}
	b.pace += time.Duration(paceWeight * float64(d-b.pace))
}
