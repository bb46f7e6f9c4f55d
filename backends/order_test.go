package backends

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against any order of late writes that takes back what a back end has said, or hides what it says next: over drawn
// histories of a process that writes entries and is removed, with each write executed at once or up to six writes later.
func TestLateWritesTakeNothingBack(t *testing.T) {
	type write struct {
		entry   Entry
		removes bool
	}
	rapid.Check(t, func(t *rapid.T) {
		d := New()
		var late []Entry
		newest := Entry{StartedUnixMs: 1}
		removed := true
		execute := func(w write) {
			if w.removes {
				d.Remove("a")
				removed = true
				return
			}
			isNewer := w.entry.StartedUnixMs > newest.StartedUnixMs ||
				(w.entry.StartedUnixMs == newest.StartedUnixMs && w.entry.Seq > newest.Seq)
			effect := d.Put(w.entry)
			if isNewer != (effect != Outdated) {
				t.Fatalf("entry %d of process %d after entry %d of process %d, removed %t: effect %d", w.entry.Seq,
					w.entry.StartedUnixMs, newest.Seq, newest.StartedUnixMs, removed, effect)
			}
			if isNewer {
				newest, removed = w.entry, false
			}
		}
		next := entry("a", 1, false)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				execute(write{removes: true})
			case 1:
				next.StartedUnixMs, next.Seq, next.Leaving = next.StartedUnixMs+1, 0, false
			case 2:
				next.Leaving = true
			case 3:
				if len(late) > 0 {
					n := rapid.IntRange(0, len(late)-1).Draw(t, "late")
					execute(write{entry: late[n]})
					late = append(late[:n], late[n+1:]...)
				}
			default:
				next.Seq++
				if rapid.Bool().Draw(t, "unanswered") {
					late = append(late, next)
				} else {
					execute(write{entry: next})
				}
			}
			candidates := len(d.Candidates("s", "m"))
			if want := !removed && !newest.Leaving; want != (candidates == 1) {
				t.Fatalf("the newest entry is leaving: %t, removed: %t; candidates: %d", newest.Leaving, removed, candidates)
			}
		}
	})
}

// Guards against the software version of a process that is taken for that of the one before it under the same id.
func TestOtherSoftwareIsAnotherProcess(t *testing.T) {
	is := is.New(t)
	d := New()
	put := func(software string, seq int64) *Backend {
		d.Put(Entry{ID: "a", Service: "s", Slots: 1, StartedUnixMs: 1, Seq: seq, Software: software})
		b, _ := d.Backend("a")
		return b
	}
	first := put("", 1)
	known := put("v1", 2)
	is.True(known != first) // nothing is known of the version under which the first one's streams began
	is.True(put("v1", 3) == known)
	is.True(put("", 4) == known) // from an instance of an earlier release
	next := put("v2", 5)
	is.True(next != known)
	is.Equal(known.Software, "v1")
	is.Equal(next.Software, "v2")
}
