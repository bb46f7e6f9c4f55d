package backends

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against requests to a back end that has left (DRAIN): the store executes one of its heartbeats seconds after the removal of its
// entry.
func TestLateHeartbeatOfARemovedBackendIsIgnored(t *testing.T) {
	remove := map[string]func(d *Directory){
		"removed":           func(d *Directory) { d.Remove("a") },
		"absent in a load":  func(d *Directory) { d.RemoveAllBut(map[string]bool{}) },
		"removed twice":     func(d *Directory) { d.Remove("a"); d.Remove("a") },
		"known from others": func(d *Directory) { d.RecordRemoval("a", Run{StartedUnixMs: 1, Seq: 10}) },
	}
	for name, remove := range remove {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := New()
				d.Put(numbered(entry("a", 1, false), 6))
				if name != "known from others" {
					d.Put(numbered(entry("a", 1, false), 10))
				}
				remove(d)
				for seq := range int64(11) {
					time.Sleep(600 * time.Millisecond)
					is.Equal(d.Put(numbered(entry("a", 1, false), seq)), Outdated)
				}
				is.Equal(d.Put(numbered(entry("a", 0, false), 90)), Outdated) // of an earlier process
				is.Equal(len(d.Candidates("s", "m")), 0)
				is.Equal(d.Len(), 0)
			})
		})
	}
}

// Guards against back ends that stay unused: one whose entry was removed while it could not reach the store, and a new process under the
// same id, whose numbers begin anew.
func TestNewerHeartbeatAndNewProcessCountAtOnce(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Put(numbered(entry("a", 1, false), 10))
	d.Remove("a")
	is.Equal(d.Put(numbered(entry("a", 1, false), 11)), Added)
	is.Equal(len(d.Candidates("s", "m")), 1)
	d.Remove("a")
	is.Equal(d.Put(numbered(entry("a", 2, false), 0)), Added)
	is.Equal(len(d.Candidates("s", "m")), 1)
}

// Guards against a removal, seen by another instance, that removes what has returned since, or a new process.
func TestRemovalSeenByOthersRemovesNothingNewer(t *testing.T) {
	is := is.New(t)
	removal := Run{StartedUnixMs: 2, Seq: 10}
	for _, tc := range []struct {
		entry   Entry
		present int
	}{
		{numbered(entry("a", 2, false), 10), 0}, {numbered(entry("a", 2, false), 11), 1},
		{numbered(entry("a", 3, false), 0), 1}, {numbered(entry("a", 1, false), 50), 0},
	} {
		d := New()
		d.Put(tc.entry)
		d.RecordRemoval("a", removal)
		is.Equal(len(d.Candidates("s", "m")), tc.present)
		d = New()
		d.RecordRemoval("a", removal) // before the entry is read
		d.Put(tc.entry)
		is.Equal(len(d.Candidates("s", "m")), tc.present)
	}
}

// Guards against a lapsed entry that an older heartbeat revives during an outage of the store.
func TestLateHeartbeatDoesNotReviveALapsedEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := New()
		d.Put(numbered(entry("a", 1, false), 10))
		d.RecordOutage()
		d.Remove("a")
		is.Equal(d.Put(numbered(entry("a", 1, false), 9)), Outdated)
		time.Sleep(removalGrace + time.Millisecond)
		is.Equal(len(d.Candidates("s", "m")), 0)
	})
}

// Guards against a memory of removed back ends that grows without bound, or lasts for ever.
func TestMemoryOfRemovedBackendsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := New()
		for n := range maxRemovedRuns + 100 {
			d.Put(numbered(entry(fmt.Sprint("e", n), 1, false), 1))
		}
		d.RemoveAllBut(map[string]bool{})
		is.True(len(d.runs) > 0 && len(d.runs) <= maxRemovedRuns)
		time.Sleep(removedMemory + time.Second)
		is.Equal(d.Put(entry("e10099", 0, false)), Added) // of an earlier process
		d.Put(entry("last", 1, false))
		d.Remove("last")
		is.Equal(len(d.runs), 2)
	})
}
