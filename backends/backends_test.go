package backends

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func entry(id string, startedUnixMs int64, leaving bool) Entry {
	return Entry{ID: id, Service: "s", Addr: "127.0.0.1:1", Zone: "a", Slots: 2, StartedUnixMs: startedUnixMs, Leaving: leaving, Versions: map[string]int64{"m": 3}}
}

// numbered returns an entry with another sequence number.
func numbered(e Entry, seq int64) Entry {
	e.Seq = seq
	return e
}

// Guards against new work being sent to back ends that are leaving or were removed.
func TestLeavingAndGoneBackendsAreNoCandidates(t *testing.T) {
	is := is.New(t)
	d := New()
	is.Equal(d.Put(entry("a", 1, false)), Added)
	is.Equal(d.Put(entry("b", 1, false)), Added)
	is.Equal(len(d.Candidates("s", "m")), 2)
	d.Put(entry("a", 1, true))
	is.Equal(len(d.Candidates("s", "m")), 1)
	b, _ := d.Backend("b")
	d.Remove("b")
	is.Equal(len(d.Candidates("s", "m")), 0)
	is.True(b.Unavailable())
}

// Guards against losing all back ends when their entries expire during a store outage, because the
// back ends could not renew them.
func TestEntryRemovedDuringOutageStaysUsable(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Put(entry("a", 1, false))
	d.RecordOutage()
	d.Remove("a")
	is.Equal(len(d.Candidates("s", "m")), 1)
	a, _ := d.Backend("a")
	d.mu.Lock()
	a.removedAt = time.Now().Add(-removalGrace - time.Millisecond)
	d.mu.Unlock()
	is.Equal(len(d.Candidates("s", "m")), 0)
	d.Put(numbered(entry("a", 1, false), 2)) // its next heartbeat
	is.Equal(len(d.Candidates("s", "m")), 1)
}

// Guards against applying the failures or weight versions of an earlier process to a restarted back
// end.
func TestRestartDiscardsObservations(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Put(entry("a", 1, false))
	a, _ := d.Backend("a")
	a.RecordVersion("m", 9)
	a.RecordFailure()
	is.Equal(d.Put(entry("a", 2, false)), Added)
	c := d.Candidates("s", "m")[0]
	is.Equal(c.Versions["m"], int64(3))
	is.True(!c.Avoid)
}

// Guards against a late entry of an earlier process replacing the entry of the current one.
func TestEntryOfEarlierProcessIsIgnored(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Put(entry("a", 2, false))
	is.Equal(d.Put(entry("a", 1, true)), Outdated)
	is.Equal(len(d.Candidates("s", "m")), 1)
}

// Guards against an observed version being lowered by an entry that was written before it.
func TestVersionsOfOneProcessNeverDecrease(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Put(entry("a", 1, false))
	a, _ := d.Backend("a")
	a.RecordVersion("m", 5)
	d.Put(entry("a", 1, false))
	is.Equal(d.Candidates("s", "m")[0].Versions["m"], int64(5))
}

// Guards against a failed back end that is used again at once, and against one that is avoided after
// it has succeeded.
func TestBackoffAfterFailure(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Put(entry("a", 1, false))
	a, _ := d.Backend("a")
	a.RecordFailure()
	a.RecordFailure() // in flight together with the first
	is.Equal(a.failures, 1)
	is.True(d.Candidates("s", "m")[0].Avoid)
	a.RecordSuccess()
	is.True(!d.Candidates("s", "m")[0].Avoid)
}

// Guards against new work for a process that has stated that it leaves, whatever its entry says later: only another process
// ends that.
func TestStatedLeavingLastsForTheProcess(t *testing.T) {
	for name, again := range map[string]func(d *Directory){
		"entry is ready":      func(d *Directory) { d.Put(entry("a", 1, false)) },
		"entry was gone":      func(d *Directory) { d.Remove("a"); d.Put(numbered(entry("a", 1, false), 2)) },
		"entries are loaded":  func(d *Directory) { d.RemoveAllBut(map[string]bool{}); d.Put(numbered(entry("a", 1, false), 2)) },
		"outage":              func(d *Directory) { d.RecordOutage(); d.Remove("a"); d.Put(numbered(entry("a", 1, false), 2)) },
		"address has changed": func(d *Directory) { e := entry("a", 1, false); e.Addr = "127.0.0.1:2"; d.Put(e) },
		"earlier process": func(d *Directory) {
			d.Remove("a")
			d.Put(entry("a", 0, false))
			d.Put(numbered(entry("a", 1, false), 2))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := New()
			d.Put(entry("a", 1, false))
			a, _ := d.Backend("a")
			is.True(a.RecordLeaving())
			is.True(!a.RecordLeaving()) // known
			is.Equal(len(d.Candidates("s", "m")), 0)
			is.True(a.Unavailable())
			again(d)
			is.Equal(len(d.Candidates("s", "m")), 0)
			d.Put(entry("a", 2, false)) // another process
			is.Equal(len(d.Candidates("s", "m")), 1)
		})
	}
}

// Guards against an engine that idles after its load of weights, because it refused a request during the load.
func TestLoadedEngineIsNotAvoided(t *testing.T) {
	is := is.New(t)
	dir := New()
	entry := Entry{ID: "e", Service: "llm", Slots: 1, Versions: map[string]int64{"m": 1, "other": 1}}
	dir.Put(entry)
	b, _ := dir.Backend("e")
	b.RecordLoading("m", time.Hour)
	entry.Versions = map[string]int64{"m": 1, "other": 2}
	dir.Put(entry)
	is.True(dir.Candidates("llm", "m")[0].Avoid)
	entry.Versions = map[string]int64{"m": 2, "other": 2}
	dir.Put(entry)
	is.True(!dir.Candidates("llm", "m")[0].Avoid)
}
