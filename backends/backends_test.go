package backends

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func entry(id string, born int64, leaving bool) Entry {
	return Entry{ID: id, Service: "s", Addr: "127.0.0.1:1", Zone: "a", Slots: 2, Born: born, Leaving: leaving, Versions: map[string]int64{"m": 3}}
}

// Guards against new work at back ends that leave or are gone.
func TestLeavingAndGoneBackendsAreNoCandidates(t *testing.T) {
	is := is.New(t)
	d := New()
	is.True(d.Put(entry("a", 1, false)))
	is.True(d.Put(entry("b", 1, false)))
	is.Equal(len(d.Candidates("s", "m")), 2)
	d.Put(entry("a", 1, true))
	is.Equal(len(d.Candidates("s", "m")), 1)
	b, _ := d.Backend("b")
	d.Remove("b")
	is.Equal(len(d.Candidates("s", "m")), 0)
	is.True(b.Gone())
}

// Guards against the loss of all back ends when their entries lapse together with an outage.
func TestEntryThatLapsesInAnOutageStaysForAMoment(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Put(entry("a", 1, false))
	d.NoteOutage()
	d.Remove("a")
	is.Equal(len(d.Candidates("s", "m")), 1)
	a, _ := d.Backend("a")
	d.mu.Lock()
	a.goneAt = time.Now().Add(-goneGrace - time.Millisecond)
	d.mu.Unlock()
	is.Equal(len(d.Candidates("s", "m")), 0)
	d.Put(entry("a", 1, false))
	is.Equal(len(d.Candidates("s", "m")), 1)
}

// Guards against knowledge of an earlier start that is held against, or for, the next one.
func TestRestartForgetsWhatWasKnown(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Put(entry("a", 1, false))
	a, _ := d.Backend("a")
	a.Loaded("m", 9)
	a.Failed()
	is.True(d.Put(entry("a", 2, false)))
	c := d.Candidates("s", "m")[0]
	is.Equal(c.Versions["m"], int64(3))
	is.True(!c.Avoid)
}

// Guards against an entry of before that replaces the one of the back end that runs now.
func TestEntryOfAnEarlierStartIsIgnored(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Put(entry("a", 2, false))
	is.True(!d.Put(entry("a", 1, true)))
	is.Equal(len(d.Candidates("s", "m")), 1)
}

// Guards against versions that go back when an entry arrives late.
func TestVersionsOfOneStartOnlyRise(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Put(entry("a", 1, false))
	a, _ := d.Backend("a")
	a.Loaded("m", 5)
	d.Put(entry("a", 1, false))
	is.Equal(d.Candidates("s", "m")[0].Versions["m"], int64(5))
}

// Guards against a back end that is never tried again, and one that is tried at once.
func TestFailuresAreForgivenSlowly(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Put(entry("a", 1, false))
	a, _ := d.Backend("a")
	a.Failed()
	a.Failed() // in flight together with the first
	is.Equal(a.failures, 1)
	is.True(d.Candidates("s", "m")[0].Avoid)
	a.Succeeded()
	is.True(!d.Candidates("s", "m")[0].Avoid)
}
