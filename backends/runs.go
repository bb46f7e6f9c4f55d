package backends

import (
	"slices"
	"time"
)

const (
	// removedMemory is how long the directory remembers the run of a back end after its entry was removed. The platform's store
	// may execute a write without an answer up to six seconds after it was sent; the margin covers reads that fail for a while.
	removedMemory = time.Minute
	// maxRemovedRuns bounds how many runs without an entry are remembered; the oldest are forgotten first. It is three times
	// the number of back ends of the largest deployment planned for.
	maxRemovedRuns = 10_000
)

// Unnumbered is the Seq of entries whose order is not known: those that come from an instance of an earlier release.
const Unnumbered = -1

// Run identifies a process of a back end, by its start, and the newest entry of it that is known.
type Run struct {
	StartedUnixMs int64
	// Seq is the sequence number of the newest entry.
	Seq int64
}

// knownRun is the newest run of a back end.
type knownRun struct {
	Run
	// removedAt is when the entry was removed; zero while it exists.
	removedAt time.Time
}

// supersedes reports whether e was written before the newest entry of the run or, if that was removed, before the removal. The
// store may execute a write late, so that an older entry arrives after a newer one.
func (k *knownRun) supersedes(e *Entry) bool {
	switch {
	case !k.removedAt.IsZero() && time.Since(k.removedAt) > removedMemory:
		return false
	case e.StartedUnixMs != k.StartedUnixMs:
		return e.StartedUnixMs < k.StartedUnixMs
	case e.StartedUnixMs == 0, e.Seq == Unnumbered: // without a start, the numbers of different processes can't be compared
		return false
	case k.removedAt.IsZero():
		return e.Seq < k.Seq
	default:
		return e.Seq <= k.Seq
	}
}

// maxWriteDelay bounds how late the store executes a write without an answer: "seconds later" (PROTOCOL.md), six at most on the users'
// deployments. The margin covers the time from the read of the entries to a request.
const maxWriteDelay = 7 * time.Second

// Doubt states that entries may have been written before the removal of their back ends, which is not known, because this instance has just
// started and the history of the entries is lost. For maxWriteDelay from the first entry on, back ends are doubted until a second, newer entry
// is read, unless they are known to be alive. Live ones write again within a heartbeat.
func (d *Directory) Doubt(alive map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.doubts, d.alive = true, alive
}

// doubt marks a new back end as doubted if it may have been removed. The caller holds dir.mu.
func (b *Backend) doubt(e *Entry) {
	if time.Now().Before(b.dir.doubtUntil) && !b.dir.alive[e.ID] && e.StartedUnixMs != 0 && e.Seq != Unnumbered {
		b.doubtedUntil, b.doubtedSeq = b.dir.doubtUntil, e.Seq
	}
}

// recordRun records the entry of a run that is now the newest. The caller holds d.mu.
func (d *Directory) recordRun(e *Entry) {
	run := Run{StartedUnixMs: e.StartedUnixMs, Seq: e.Seq}
	if known := d.runs[e.ID]; e.Seq == Unnumbered && known.StartedUnixMs == e.StartedUnixMs {
		run.Seq = known.Seq
	}
	d.runs[e.ID] = knownRun{Run: run}
}

// IsNewerThan reports whether the run began after the other one or, if it is the same, whether its newest entry did.
func (r Run) IsNewerThan(other Run) bool {
	if r.StartedUnixMs != other.StartedUnixMs {
		return r.StartedUnixMs > other.StartedUnixMs
	}
	return r.Seq > other.Seq
}

// RecordRemoval records that the entry of a back end was removed after the given one, as another instance has seen. It removes the
// back end unless a newer entry is known.
func (d *Directory) RecordRemoval(id string, last Run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.runs[id]
	if (ok && known.IsNewerThan(last)) || last.StartedUnixMs == 0 {
		return
	}
	if known.StartedUnixMs != last.StartedUnixMs {
		known.removedAt = time.Time{}
	}
	d.runs[id] = knownRun{Run: last, removedAt: known.removedAt}
	if !d.removeLocked(id) {
		d.recordRemoval(id)
	}
}

// recordRemoval records that the entry of a run was removed. The caller holds d.mu.
func (d *Directory) recordRemoval(id string) {
	now := time.Now()
	if known, ok := d.runs[id]; ok && known.removedAt.IsZero() {
		known.removedAt = now
		d.runs[id] = known
	}
	if now.Sub(d.runsForgottenAt) > removedMemory/10 || len(d.runs) > len(d.byID)+maxRemovedRuns {
		d.runsForgottenAt = now
		d.forgetRuns(now)
	}
}

// forgetRuns forgets the removed runs that are too old and, if there are too many, the older half of the others. The caller
// holds d.mu.
func (d *Directory) forgetRuns(now time.Time) {
	var removed []string
	for id, known := range d.runs {
		switch {
		case known.removedAt.IsZero():
		case now.Sub(known.removedAt) > removedMemory:
			delete(d.runs, id)
		default:
			removed = append(removed, id)
		}
	}
	if len(removed) <= maxRemovedRuns {
		return
	}
	slices.SortFunc(removed, func(a, b string) int { return d.runs[a].removedAt.Compare(d.runs[b].removedAt) })
	for _, id := range removed[:len(removed)-maxRemovedRuns/2] {
		delete(d.runs, id)
	}
}
