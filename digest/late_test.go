package digest

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
)

// numbered returns an entry of a process with a start, so that its number counts.
func numbered(id string, seq int64) backends.Entry {
	e := entry(id, 1, 1)
	e.StartedUnixMs, e.Seq = 1, seq
	return e
}

// Guards against requests to a back end that has left (DRAIN): an instance that has its entries from others takes a heartbeat from
// before the removal, from a reader that did not see the removal. The asker has seen only the first of ten heartbeats, because the
// others changed nothing.
func TestRemovalIsPassedOnWithTheNewestNumber(t *testing.T) {
	for name, ask := range map[string]func(t interface{ Fatal(...any) }, f *Follower, r *Recorder){
		"changes": func(t interface{ Fatal(...any) }, f *Follower, r *Recorder) { ask(t, f, r, "old") },
		"whole":   func(t interface{ Fatal(...any) }, f *Follower, r *Recorder) { f.Forget(); ask(t, f, r, "old") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			directory := backends.New()
			follower := NewFollower(directory, func() {})
			old, started := reader(1), reader(2)
			old.Put(numbered("a", 1))
			ask(t, follower, old)
			for seq := range int64(10) {
				old.Put(numbered("a", seq+1))
			}
			old.Remove("a")
			ask(t, follower, old)
			is.Equal(len(contents(directory)), 0)
			started.Put(numbered("a", 7)) // it began after the removal
			payload, err := follower.Request("started")
			is.NoErr(err)
			reply, err := started.Handle(payload)
			is.NoErr(err)
			_, err = follower.Apply(reply)
			is.NoErr(err)
			is.Equal(len(contents(directory)), 0)
		})
	}
}

// Guards against a reader that passes an outdated entry on to others.
func TestOutdatedEntriesAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	r, directory := reader(1), backends.New()
	follower := NewFollower(directory, func() {})
	r.Put(numbered("a", 10))
	r.Remove("a")
	is.Equal(r.Put(numbered("a", 9)), backends.Outdated)
	ask(t, follower, r, "r")
	is.Equal(len(contents(directory)), 0)
}

// Guards against a new back end that an instance takes for removed, and then ignores, because another reader does not know it yet.
func TestAbsenceFromAnOlderAnswerIsNoRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := backends.New()
		follower := NewFollower(directory, func() {})
		current, behind := reader(1), reader(2)
		age := olderTolerance / 2
		behind.source = func() (time.Duration, bool) { return age, true }
		for _, r := range []*Recorder{current, behind} {
			r.Put(numbered("a", 1))
			r.Put(numbered("gone", 1))
		}
		current.Put(numbered("b", 1))
		current.Remove("gone")
		ask(t, follower, current, "current")
		ask(t, follower, behind, "behind")
		is.Equal(len(contents(directory)), 2) // a and b

		age = 0
		behind.Put(numbered("b", 1))
		behind.Remove("a")
		behind.Remove("gone")
		time.Sleep(digestPause)
		ask(t, follower, behind, "behind")
		is.Equal(len(contents(directory)), 1)
		_, known := directory.Backend("b")
		is.True(known)
	})
}

// digestPause is a time between two requests.
const digestPause = 400 * time.Millisecond

// Guards against an instance that starts after a removal and does not learn of it, and against one that passes on only what it has seen
// itself.
func TestRemovalsAreLearnedFromOthers(t *testing.T) {
	is := is.New(t)
	seen, second, third := reader(1), reader(2), reader(3)
	seen.Put(numbered("a", 10))
	seen.Put(numbered("b", 10))
	seen.Put(numbered("c", 10))
	seen.Remove("a")
	seen.Remove("b")
	second.Put(numbered("a", 7)) // executed late, and read before the removals were learned
	second.Put(numbered("b", 11))
	learn := func(to, from *Recorder) {
		request, err := RemovalsRequest()
		is.NoErr(err)
		reply, err := from.Handle(request)
		is.NoErr(err)
		is.NoErr(ApplyRemovals(to, reply))
	}
	learn(second, seen)
	held := contents(second.target.(*backends.Directory))
	is.Equal(len(held), 1) // b has returned
	_, returned := held["b"]
	is.True(returned)
	learn(third, second)
	is.Equal(third.Put(numbered("a", 8)), backends.Outdated)
	is.Equal(third.Put(numbered("b", 11)), backends.Added)
}

// Guards against learned removals that an instance with its entries from others can't give.
func TestRemovalsAreLearnedFromAnyInstance(t *testing.T) {
	is := is.New(t)
	follower := NewRecorder(backends.New(), 1, func() (time.Duration, bool) { return 0, false }, func() bool { return false })
	follower.Put(numbered("a", 10))
	follower.Remove("a")
	request, err := RemovalsRequest()
	is.NoErr(err)
	reply, err := follower.Handle(request)
	is.NoErr(err)
	to := reader(2)
	is.NoErr(ApplyRemovals(to, reply))
	is.Equal(to.Put(numbered("a", 9)), backends.Outdated)
}

// Guards against a planned stop that an instance ignores during an upgrade: a reader of an earlier release passes entries on without
// their numbers.
func TestEntriesOfAnEarlierReleaseCount(t *testing.T) {
	is := is.New(t)
	directory := backends.New()
	directory.Put(numbered("a", 10))
	follower := NewFollower(directory, func() {})
	leaving := numbered("a", 0)
	leaving.Leaving = true
	payload, err := cbor.Marshal(&answer{Epoch: 1, Number: 1, Entries: []backends.Entry{leaving}})
	is.NoErr(err)
	_, err = follower.Apply(payload)
	is.NoErr(err)
	is.Equal(len(contents(directory)), 0)
	is.Equal(directory.Put(numbered("a", 9)), backends.Outdated) // the number is not forgotten
}
