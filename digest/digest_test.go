package digest

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cicadasill/cicadasill/backends"
)

// reader returns a Recorder of a directory that reads the store itself.
func reader(epoch uint64) *Recorder {
	return NewRecorder(backends.New(), epoch, func() (time.Duration, bool) { return 0, true }, func() bool { return false })
}

// ask passes one request of f to r.
func ask(t interface{ Fatal(...any) }, f *Follower, r *Recorder, name string) (answerBytes int) {
	payload, err := f.Request(name)
	if err != nil {
		t.Fatal(err)
	}
	reply, err := r.Handle(payload)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Apply(reply); err != nil {
		t.Fatal(err)
	}
	return len(reply)
}

// contents returns what a directory holds, in a comparable form.
func contents(d *backends.Directory) map[string]string {
	held := map[string]string{}
	for _, c := range d.Candidates("s", "") {
		held[c.ID] = fmt.Sprint(c.Addr, c.Slots, c.Versions, c.StartedUnixMs)
	}
	return held
}

func entry(id string, slots int, version int64) backends.Entry {
	return backends.Entry{ID: id, Service: "s", Addr: "10.0.0.1:1", Slots: slots, Versions: map[string]int64{"m": version}}
}

// Guards against an instance that knows other back ends than its reader: over drawn changes, readers that restart and lost answers.
func TestFollowerHoldsWhatItsReadersHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		directory := backends.New()
		follower := NewFollower(directory, func() {})
		readers := []*Recorder{reader(1), reader(2)}
		versions := map[string]int64{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
			both := func(change func(r *Recorder)) { change(readers[0]); change(readers[1]) }
			switch rapid.IntRange(0, 5).Draw(t, "change") {
			case 0, 1:
				versions[id]++
				e := entry(id, rapid.IntRange(1, 3).Draw(t, "slots"), versions[id])
				e.StartedUnixMs, e.Seq = 1, versions[id]
				both(func(r *Recorder) { r.Put(e) })
			case 2:
				both(func(r *Recorder) { r.Remove(id) })
			case 3:
				both(func(r *Recorder) { r.RemoveAllBut(map[string]bool{id: true}) })
			case 4:
				payload, _ := follower.Request("0") // its answer is lost
				_, _ = readers[0].Handle(payload)
			case 5:
				n := rapid.IntRange(0, 1).Draw(t, "reader")
				ask(t, follower, readers[n], fmt.Sprint(n))
				if got, want := fmt.Sprint(contents(directory)), fmt.Sprint(contents(readers[n].target.(*backends.Directory))); got != want {
					t.Fatalf("the follower holds %s, its reader %s", got, want)
				}
			}
		}
	})
}

// Replays 3,000 engines that rewrite their entries without a change. Guards against a digest that grows with their number.
func TestUnchangedEntriesCostNothing(t *testing.T) {
	is := is.New(t)
	r, directory := reader(1), backends.New()
	follower := NewFollower(directory, func() {})
	rewrite := func() {
		for n := range 3000 {
			r.Put(entry(fmt.Sprint("e", n), 8, 1))
		}
	}
	rewrite()
	ask(t, follower, r, "r")
	is.Equal(len(directory.Candidates("s", "")), 3000)
	rewrite()
	is.True(ask(t, follower, r, "r") < 64)
	r.Put(entry("e7", 8, 2))
	is.True(ask(t, follower, r, "r") < 256)
}

// Guards against two instances that have their entries from each other.
func TestOnlyReadersAnswer(t *testing.T) {
	is := is.New(t)
	r := NewRecorder(backends.New(), 1, func() (time.Duration, bool) { return 0, false }, func() bool { return false })
	payload, err := NewFollower(backends.New(), func() {}).Request("r")
	is.NoErr(err)
	_, err = r.Handle(payload)
	var notReader *NotReaderError
	is.True(errors.As(err, &notReader))
}

// Guards against removals that a slow asker misses because the reader no longer remembers them.
func TestForgottenRemovalsLeadToAWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, directory := reader(1), backends.New()
		follower := NewFollower(directory, func() {})
		r.Put(entry("a", 8, 1))
		r.Put(entry("b", 8, 1))
		ask(t, follower, r, "r")
		r.Remove("a")
		time.Sleep(goneMemory + time.Second)
		r.Put(entry("c", 8, 1))
		r.Remove("c")
		ask(t, follower, r, "r")
		is.Equal(len(directory.Candidates("s", "")), 1)
	})
}

// Guards against back ends that an instance drops during an outage of the store, of which only its reader knows.
func TestOutageIsPassedOn(t *testing.T) {
	is := is.New(t)
	outage := false
	r := NewRecorder(backends.New(), 1, func() (time.Duration, bool) { return time.Second, true }, func() bool { return outage })
	directory := backends.New()
	follower := NewFollower(directory, directory.RecordOutage)
	r.Put(entry("a", 8, 1))
	ask(t, follower, r, "r")
	outage = true
	r.Remove("a")
	ask(t, follower, r, "r")
	is.Equal(len(directory.Candidates("s", "")), 1)
}

// Guards against the time of a notice that each instance counts anew, or takes for a time of its own clock.
func TestNoticeIsPassedOnWithTheTimeLeft(t *testing.T) {
	is := is.New(t)
	r := reader(1)
	e := entry("a", 1, 1)
	e.Leaving, e.LeavesIn, e.Reclaimable = true, time.Minute, true
	r.Put(e)
	time.Sleep(20 * time.Millisecond)
	directory := backends.New()
	ask(t, NewFollower(directory, func() {}), r, "r")
	b, ok := directory.Backend("a")
	is.True(ok && b.Reclaimable)
	left, leaving := b.LeavesIn()
	is.True(leaving && left <= time.Minute-20*time.Millisecond && left > 0)
}
