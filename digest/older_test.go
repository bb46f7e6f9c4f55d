package digest

import (
	"errors"
	"testing"
	"time"

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
