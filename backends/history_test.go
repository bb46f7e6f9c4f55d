package backends

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a removed back end that a restart of all instances makes available again (DRAIN): the store executes one of its heartbeats
// after the removal of its entry, before or after the restart.
func TestHistoryTellsLateWritesFromReturns(t *testing.T) {
	put := func(born, seq int64) func(*History) {
		return func(h *History) { h.Put(numbered(entry("a", born, false), seq)) }
	}
	remove := func(h *History) { h.Remove("a") }
	for name, tc := range map[string]struct {
		events  []func(*History)
		removed bool
		alive   bool
	}{
		"serves":                         {[]func(*History){put(1, 4), put(1, 5), put(1, 6)}, false, true},
		"one entry":                      {[]func(*History){put(1, 4)}, false, false},
		"removed":                        {[]func(*History){put(1, 4), put(1, 5), remove}, true, false},
		"removed, late write":            {[]func(*History){put(1, 4), put(1, 6), remove, put(1, 5)}, true, false},
		"removed, late write again":      {[]func(*History){put(1, 4), put(1, 6), remove, put(1, 5), put(1, 3)}, true, false},
		"removed, late, of an older run": {[]func(*History){put(2, 1), put(2, 2), remove, put(1, 90)}, true, false},
		"returned":                       {[]func(*History){put(1, 4), put(1, 5), remove, put(1, 6)}, false, false},
		"returned, serves":               {[]func(*History){put(1, 4), put(1, 5), remove, put(1, 6), put(1, 7)}, false, true},
		"new process":                    {[]func(*History){put(1, 4), put(1, 5), remove, put(2, 0)}, false, false},
		"removal is all there is":        {[]func(*History){remove, put(1, 5)}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := NewHistory()
			for _, event := range tc.events {
				event(h)
			}
			_, removed := h.Removed()["a"]
			is.Equal(removed, tc.removed)
			is.Equal(h.Alive()["a"], tc.alive)
		})
	}
}

// Draws writes of two back ends. Guards against a start that takes back ends for removed, or for present, that a running instance would not.
func TestHistoryAgreesWithARunningInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		running, history, started := New(), NewHistory(), New()
		last := map[string]Entry{}
		for range rapid.IntRange(1, 30).Draw(t, "writes") {
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				running.Remove(id)
				history.Remove(id)
				delete(last, id)
				continue
			}
			e := numbered(entry(id, rapid.Int64Range(1, 2).Draw(t, "born"), false), rapid.Int64Range(0, 20).Draw(t, "seq"))
			running.Put(e)
			history.Put(e)
			last[id] = e
		}
		for id, run := range history.Removed() {
			started.RecordRemoval(id, run)
		}
		for _, e := range last { // the newest record of each key
			started.Put(e)
		}
		for _, id := range []string{"a", "b"} {
			_, present := running.Backend(id)
			_, presentAfterStart := started.Backend(id)
			if _, written := last[id]; present != presentAfterStart && written {
				t.Fatalf("%s: %v at a running instance, %v at one that has started", id, present, presentAfterStart)
			}
		}
	})
}

// Guards against late writes where the log of the entries has been deleted, against back ends that stay unused then although they live, and against
// a service that is left to a few back ends, or to none, until most have written again.
func TestDoubtedBackendNeedsASecondEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := New()
		d.Doubt(map[string]bool{"alive": true})
		time.Sleep(time.Hour) // no entry could be read
		d.Put(numbered(entry("alive", 1, false), 7))
		for _, id := range []string{"a", "b", "late"} {
			d.Put(numbered(entry(id, 1, false), 7))
		}
		usable := func() []string {
			var ids []string
			for _, c := range d.Candidates("s", "m") {
				ids = append(ids, c.ID)
			}
			slices.Sort(ids)
			return ids
		}
		is.Equal(usable(), []string{"a", "alive", "b", "late"}) // most are doubted
		d.Put(numbered(entry("a", 1, false), 7))                // the same entry, read again
		is.Equal(len(usable()), 4)
		time.Sleep(1200 * time.Millisecond)
		changed := d.Changed()
		d.Put(numbered(entry("a", 1, false), 8))
		<-changed
		is.Equal(usable(), []string{"a", "alive"})
		d.Put(numbered(entry("b", 1, false), 8))
		is.Equal(usable(), []string{"a", "alive", "b"})
		time.Sleep(4 * time.Second)
		d.Put(numbered(entry("late", 1, false), 6)) // executed late as well
		is.Equal(usable(), []string{"a", "alive", "b"})
		d.Put(entry("unnumbered", 0, false))
		is.Equal(len(usable()), 4)
		time.Sleep(maxWriteDelay)
		is.Equal(len(usable()), 5)
		d.Put(numbered(entry("new", 1, false), 0))
		is.Equal(len(usable()), 6)
	})
}
