package link_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/flood"
	"github.com/cicadasill/cicadasill/intake"
	"github.com/cicadasill/cicadasill/link"
)

// Guards against messages of peers that are held beyond the bound, against small ones that wait for large ones, and against memory
// that is held when an exchange has ended.
func TestRequestsOfPeersShareABound(t *testing.T) {
	is := is.New(t)
	const maxMessage = 4 << 20
	requests := intake.New(intake.Options{Limits: flood.MemoryLimits{Large: 1 << 20, Small: flood.SmallSize, StallTime: time.Hour}})
	a := startPeer(t, "a", 1, anyPort(), link.Options{}, nil)
	b := startPeer(t, "b", 1, anyPort(), link.Options{Requests: requests, MaxMessage: maxMessage}, echo)
	payload := []byte(strings.Repeat("x", 1<<20))
	holder := requests.Open(maxMessage, func() {})
	is.NoErr(holder.Resize(maxMessage))
	got, err := a.Call(t.Context(), b.self, link.CauseFeed, "echo", []byte("small"))
	is.NoErr(err)
	is.Equal(string(got), "small")
	for range 3 {
		_, err = a.Call(t.Context(), b.self, link.CauseFeed, "echo", payload)
		is.True(err != nil)
		is.Equal(requests.Used(), int64(maxMessage))
	}
	holder.Release()
	got, err = a.Call(t.Context(), b.self, link.CauseFeed, "echo", payload) // more than the bound, and alone
	is.NoErr(err)
	is.Equal(len(got), len(payload))
	for end := time.Now().Add(10 * time.Second); requests.Used() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // nothing is held any more
	}
}
