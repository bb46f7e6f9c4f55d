package digest

import (
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
)

// Guards against a back end that gets requests again after its planned stop is known, because another reader, which has been cut from
// the store for seconds, answers with an older copy.
func TestAnOlderCopyTakesNoNewsBack(t *testing.T) {
	is := is.New(t)
	directory := backends.New()
	follower := NewFollower(directory, func() {})
	current := reader(1)
	cut := NewRecorder(backends.New(), 2, func() (time.Duration, bool) { return 5 * time.Second, true }, func() bool { return true })
	for _, r := range []*Recorder{current, cut} {
		r.Put(entry("a", 1, 1))
		r.Put(entry("b", 1, 1))
	}
	leaving := entry("a", 1, 1)
	leaving.Leaving = true
	current.Put(leaving)
	current.Remove("b")
	candidates := func() map[string]string { return contents(directory) }
	ask(t, follower, current, "current")
	before := candidates()
	payload, err := follower.Request("cut")
	is.NoErr(err)
	reply, err := cut.Handle(payload)
	is.NoErr(err)
	_, err = follower.Apply(reply)
	var older *OlderError
	is.True(errors.As(err, &older))
	is.Equal(candidates(), before)
}

// Guards against a stream that is taken up at another software version by an instance that has its entries from others, and against a
// known version that is lost, with the process's observations, to an entry from a reader of an earlier release.
func TestSoftwareIsPassedOn(t *testing.T) {
	is := is.New(t)
	r, directory := reader(1), backends.New()
	follower := NewFollower(directory, func() {})
	e := numbered("a", 1)
	e.Software = "v1"
	r.Put(e)
	ask(t, follower, r, "r")
	first, ok := directory.Backend("a")
	is.True(ok)
	is.Equal(first.Software, "v1")

	_, err := follower.Request("older")
	is.NoErr(err)
	payload, err := cbor.Marshal(&answer{Epoch: 2, Number: 1, Entries: []backends.Entry{numbered("a", 2)}})
	is.NoErr(err)
	_, err = follower.Apply(payload)
	is.NoErr(err)
	kept, _ := directory.Backend("a")
	is.True(kept == first)
}
