// Package backends holds what an instance knows about the back ends: their entries in the platform's
// store, and the load, failures and weight versions observed since. Forwarding, the job driver and
// weight updates choose back ends among its candidates. All methods are safe for concurrent use.
package backends

import (
	"maps"
	"sync"
	"time"
)

// Entry is the record that a back end keeps about itself in the store. It is immutable once read.
type Entry struct {
	ID      string
	Service string
	Addr    string
	Zone    string
	Slots   int
	// Leaving back ends take no new work.
	Leaving bool
	// StartedUnixMs is the start time of the back end's process in Unix milliseconds.
	StartedUnixMs int64
	// Software is the version of the process's software; empty if it is not known. Versions have no order.
	Software string
	// Seq numbers the entries of a process in the order in which it wrote them; Unnumbered if it is not known.
	Seq int64
	// Versions maps each model to the version of its weights; it is never nil.
	Versions map[string]int64
	// Reclaimable back ends can be taken away by the platform, all of a data centre at once.
	Reclaimable bool
	// LeavesIn is the time from the read of the entry until a leaving back end ends; 0 if it is not known.
	LeavesIn time.Duration
}

// Times for which an observation counts.
const (
	// removalGrace is how long a back end stays usable after its entry was removed during or soon
	// after a store outage: live back ends rewrite their entries within two seconds.
	removalGrace = 2 * time.Second
	// outageWindow is the time after a store outage during which the removal of an entry may be a
	// consequence of that outage.
	outageWindow = 3 * time.Second
	// idleConnLifetime is how long an idle connection is counted as open. It is shorter than the
	// connection's idle timeout by a margin.
	idleConnLifetime = 7 * time.Second
	// crashMemory is how long a back end whose process has ended gets no requests. A new process has an entry of its
	// own, which counts at once.
	crashMemory = 10 * time.Second
	// downMemory is how long a back end whose port refuses connections gets no requests.
	downMemory = time.Second
	// minBackoff is how long a back end is avoided after its first failure; each further failure
	// doubles the time, up to maxBackoff.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// Backend is one process of a back end. A restart or a change of address, service or software yields a new
// Backend with no earlier observations.
type Backend struct {
	ID            string
	Service       string
	Addr          string
	Zone          string
	StartedUnixMs int64
	// Software is the version of the process's software; empty if it is not known.
	Software string
	// Reclaimable back ends can be taken away by the platform, all of a data centre at once.
	Reclaimable bool

	dir           *Directory // dir.mu guards the fields below
	slots         int
	leaving       bool
	leavesAt      time.Duration    // earliest end that a notice has stated, since boot; 0 if none
	versions      map[string]int64 // by model; replaced as a whole, never modified
	removedAt     time.Time        // zero while the entry exists
	inFlight      int
	peakInFlight  int       // highest inFlight since peakAt
	peakAt        time.Time // when inFlight last reached peakInFlight
	failures      int
	avoidUntil    time.Time
	loadingUntil  map[string]time.Time // by model
	eventInterval time.Duration        // smoothed time between the events of a stream; 0 if unknown
	eventSeenAt   time.Time            // when eventInterval was last updated
	crashedUntil  time.Time            // end of the time in which the process is taken to have ended
	sends         int                  // requests of any kind sent since the rate limit last changed
	throttled     time.Time            // end of the time in which the rate limit allows no request of this instance
	doubtedUntil  time.Time            // end of the time in which b needs an entry with a number above doubtedSeq
	doubtedSeq    int64
}

// Directory holds the known back ends by id.
type Directory struct {
	mu     sync.Mutex
	byID   map[string]*Backend
	limits map[string]rateLimit // by back end; without those that have ended
	// leavingRuns holds, by back end, the start of the process that has stated that it leaves. It outlives the entry, which
	// may be gone for a while and return.
	leavingRuns map[string]int64
	// runs holds the newest run of each back end, also for removedMemory after its entry was removed.
	runs            map[string]knownRun
	runsForgottenAt time.Time // when the runs that are too old were last forgotten
	outageAt        time.Time
	// If doubts is set, back ends that are not in alive are doubted until doubtUntil, which the first entry sets.
	doubts     bool
	doubtUntil time.Time
	alive      map[string]bool
	changed    chan struct{}
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{byID: map[string]*Backend{}, limits: map[string]rateLimit{}, leavingRuns: map[string]int64{}, runs: map[string]knownRun{}, changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change after which a back end may be able to
// take work that it could not take before.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// notify wakes everyone who waits on Changed. The caller holds d.mu.
func (d *Directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// RecordOutage records that a read of the store has just failed.
func (d *Directory) RecordOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outageAt = time.Now()
}

// Effect is what an entry changes in a Directory.
type Effect int

const (
	// Outdated entries were written before one that is known, or before the removal of the entry. They have no effect.
	Outdated Effect = iota
	// Updated states that the entry belongs to a known Backend.
	Updated
	// Added states that the entry created a new Backend.
	Added
)

// Put adds or updates a back end from its entry.
func (d *Directory) Put(e Entry) Effect {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, ok := d.runs[e.ID]; ok && known.supersedes(&e) {
		return Outdated
	}
	d.recordRun(&e)
	if d.doubts && d.doubtUntil.IsZero() {
		d.doubtUntil = time.Now().Add(maxWriteDelay)
	}
	b := d.byID[e.ID]
	if b == nil || b.StartedUnixMs != e.StartedUnixMs || b.Addr != e.Addr || b.Service != e.Service ||
		(e.Software != "" && b.Software != e.Software) { // instances of an earlier release pass no version on
		d.byID[e.ID] = &Backend{
			ID: e.ID, Service: e.Service, Addr: e.Addr, Zone: e.Zone, StartedUnixMs: e.StartedUnixMs, Software: e.Software, Reclaimable: e.Reclaimable,
			dir: d, slots: e.Slots, leaving: e.Leaving, versions: e.Versions,
			loadingUntil: map[string]time.Time{},
		}
		d.byID[e.ID].recordNotice(e)
		d.byID[e.ID].doubt(&e)
		if e.StartedUnixMs > d.leavingRuns[e.ID] {
			delete(d.leavingRuns, e.ID)
		}
		d.notify()
		return Added
	}
	versions := maps.Clone(b.versions)
	for model, version := range e.Versions {
		if version > versions[model] {
			versions[model] = version
			delete(b.loadingUntil, model)
		}
	}
	changed := b.leaving != e.Leaving || !maps.Equal(b.versions, versions) || !b.removedAt.IsZero()
	b.slots, b.leaving, b.versions, b.removedAt = e.Slots, e.Leaving, versions, time.Time{}
	b.recordNotice(e)
	if e.Seq > b.doubtedSeq && !b.doubtedUntil.IsZero() {
		b.doubtedUntil, changed = time.Time{}, true
	}
	if changed {
		d.notify()
	}
	return Updated
}

// RecordLeaving records that b has stated in an answer that it leaves. Its process gets no new work any more, whatever its
// entry says. RecordLeaving reports whether that is new.
func (b *Backend) RecordLeaving() bool {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	if b.hasStatedLeaving() {
		return false
	}
	b.dir.leavingRuns[b.ID] = b.StartedUnixMs
	return true
}

// hasStatedLeaving reports whether the process of b has stated that it leaves. The caller holds dir.mu.
func (b *Backend) hasStatedLeaving() bool {
	started, stated := b.dir.leavingRuns[b.ID]
	return stated && b.StartedUnixMs <= started
}

// Remove removes the back end with the given id. If the store had an outage within outageWindow, the
// back end stays usable for removalGrace, because it may still be alive.
func (d *Directory) Remove(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeLocked(id)
}

// removeLocked implements Remove. It returns false if the back end is not known. The caller holds d.mu.
func (d *Directory) removeLocked(id string) bool {
	b := d.byID[id]
	if b == nil {
		return false
	}
	d.recordRemoval(id)
	if time.Since(d.outageAt) < outageWindow {
		if b.removedAt.IsZero() {
			b.removedAt = time.Now()
		}
		return true
	}
	delete(d.byID, id)
	delete(d.limits, id)
	b.leaving = true
	return true
}

// RemoveAllBut calls Remove for every back end whose id is not in ids.
func (d *Directory) RemoveAllBut(ids map[string]bool) {
	d.mu.Lock()
	var removed []string
	for id := range d.byID {
		if !ids[id] {
			removed = append(removed, id)
		}
	}
	d.mu.Unlock()
	for _, id := range removed {
		d.Remove(id)
	}
}

// Backend returns the back end with the given id.
func (d *Directory) Backend(id string) (*Backend, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.byID[id]
	return b, ok
}

// Len returns the number of known back ends.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.byID)
}

// Candidate is a back end with a snapshot of the values by which callers choose among back ends.
type Candidate struct {
	*Backend
	// Slots is the number of requests that the back end runs at once.
	Slots int
	// Versions maps each model to the version of its weights. It must not be modified.
	Versions map[string]int64
	// InFlight is the number of this instance's requests in flight at the back end.
	InFlight int
	// OpenConns estimates the number of open connections from this instance to the back end.
	OpenConns int
	// Avoid is true if the back end recently failed or refused a request, or is loading the model.
	Avoid bool
	// EventInterval is the smoothed time between the events of a stream; 0 if unknown.
	EventInterval time.Duration
	// EventSeenAt is the time of the last event that EventInterval includes.
	EventSeenAt time.Time
	// RateLimited is true if the back end has a rate limit.
	RateLimited bool
	// ThrottledUntil is the end of the time in which the rate limit allows no request of this instance; zero if none.
	ThrottledUntil time.Time
}

// Candidates returns the back ends of a service that take new work, in no particular order, without the doubted ones unless these are more
// than half: a start must not leave the service to a few. The
// model affects only Candidate.Avoid; "" stands for requests that need no model.
func (d *Directory) Candidates(service, model string) []Candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var list, doubted []Candidate
	for _, b := range d.byID {
		if b.Service != service || b.leaving || b.hasStatedLeaving() || now.Before(b.crashedUntil) {
			continue
		}
		if !b.removedAt.IsZero() && now.Sub(b.removedAt) > removalGrace {
			continue
		}
		c := Candidate{
			Backend: b, Slots: b.slots, Versions: b.versions, InFlight: b.inFlight, EventInterval: b.eventInterval, EventSeenAt: b.eventSeenAt, OpenConns: b.openConns(now),
			Avoid:       now.Before(b.avoidUntil) || now.Before(b.loadingUntil[model]),
			RateLimited: b.rateLimit() > 0, ThrottledUntil: b.throttled,
		}
		if now.Before(b.doubtedUntil) {
			doubted = append(doubted, c)
		} else {
			list = append(list, c)
		}
	}
	if len(doubted) > len(list) {
		list = append(list, doubted...)
	}
	return list
}

// Begin counts a request to b as in flight. Each call must be followed by one call of End.
func (b *Backend) Begin() {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	b.inFlight++
	now := time.Now()
	if b.inFlight >= b.openConns(now) {
		b.peakInFlight, b.peakAt = b.inFlight, now
	}
}

// openConns estimates how many connections this instance has to b: the peak number of requests in
// flight, or the current number once the peak is older than idleConnLifetime. The caller holds
// dir.mu.
func (b *Backend) openConns(now time.Time) int {
	if now.Sub(b.peakAt) > idleConnLifetime {
		return b.inFlight
	}
	return b.peakInFlight
}

// End counts a request to b as no longer in flight.
func (b *Backend) End() {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	b.inFlight--
	b.dir.notify()
}

// EndClosed is End for a request whose connection was closed with it, so that it leaves no idle one.
func (b *Backend) EndClosed() {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	b.inFlight--
	b.peakInFlight = max(b.inFlight, b.peakInFlight-1)
	b.dir.notify()
}

// EventInterval returns the smoothed time between the events of a stream; 0 if unknown.
func (b *Backend) EventInterval() time.Duration {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	return b.eventInterval
}

// Unavailable reports whether b takes no new work: it is leaving, by its entry or an answer, or its entry was removed.
func (b *Backend) Unavailable() bool {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	return b.leaving || b.hasStatedLeaving() || (!b.removedAt.IsZero() && time.Since(b.removedAt) > removalGrace)
}

// RecordSuccess records a successful request: b is no longer avoided and its failure count is reset.
func (b *Backend) RecordSuccess() {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	b.failures = 0
	b.avoidUntil, b.crashedUntil = time.Time{}, time.Time{}
}

// RecordCrash records that the process of a back end that started at startedUnixMs ended at the given time. It gets no
// requests for crashMemory, unless a request to it succeeds.
func (d *Directory) RecordCrash(id string, startedUnixMs int64, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b := d.byID[id]; b != nil && b.StartedUnixMs == startedUnixMs {
		b.crashedUntil = at.Add(crashMemory)
	}
}

// RecordDown records that the port of b refuses connections. It gets no requests for downMemory.
func (b *Backend) RecordDown() {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	if until := time.Now().Add(downMemory); until.After(b.crashedUntil) {
		b.crashedUntil = until
	}
}

// Crashed returns the number of back ends of a service whose processes have ended and whose entries are still there.
func (d *Directory) Crashed(service string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, now := 0, time.Now()
	for _, b := range d.byID {
		if b.Service == service && now.Before(b.crashedUntil) {
			n++
		}
	}
	return n
}

// RecordFailure records a failed request: b is avoided for a time that doubles with each consecutive failure.
func (b *Backend) RecordFailure() {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	now := time.Now()
	if now.Before(b.avoidUntil) {
		return // requests that were in flight together and fail together count once
	}
	backoff := min(minBackoff<<min(b.failures, 8), maxBackoff)
	b.failures++
	b.avoidUntil = now.Add(backoff)
}

// RecordRefusal records that b refused a request without running it: b is avoided for backoff.
func (b *Backend) RecordRefusal(backoff time.Duration) {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	if until := time.Now().Add(backoff); until.After(b.avoidUntil) {
		b.avoidUntil = until
	}
}

// RecordLoading records that b is expected to load weights of a model for d. For that time, or until a loaded
// version is recorded, b is avoided for requests that need the model.
func (b *Backend) RecordLoading(model string, d time.Duration) {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	b.loadingUntil[model] = time.Now().Add(d)
}

// RecordVersion records that b has the given version of a model's weights. A lower version than the known
// one is ignored.
func (b *Backend) RecordVersion(model string, version int64) {
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
	// eventIntervalSmoothing is the weight of a new observation in the smoothed event interval.
	eventIntervalSmoothing = 0.2
	// maxEventInterval is the longest interval that counts as an observation: longer gaps come from
	// weight loads.
	maxEventInterval = 600 * time.Millisecond
)

// RecordEventInterval records an observed time between two events of a stream from b.
func (b *Backend) RecordEventInterval(d time.Duration) {
	if d > maxEventInterval {
		return
	}
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	b.eventSeenAt = time.Now()
	if b.eventInterval == 0 {
		b.eventInterval = d
		return
	}
	b.eventInterval += time.Duration(eventIntervalSmoothing * float64(d-b.eventInterval))
}
