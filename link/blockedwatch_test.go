package link

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/link/faultnet"
	"github.com/cicadasill/cicadasill/machine"
)

// Guards against sessions that nobody checks while the go-away of another one waits for a connection that takes no bytes.
func TestSessionsAreCheckedWhileAnotherCannotBeRetired(t *testing.T) {
	const patience = 20 * time.Second
	is := is.New(t)
	b := startEchoNode(t, "b", Options{})
	c := startEchoNode(t, "c", Options{})
	var blocked atomic.Bool
	a := startEchoNode(t, "a", Options{
		KeepaliveInterval: 10 * time.Millisecond, KeepaliveTimeout: time.Minute, PingAfter: time.Minute, IdleTimeout: 100 * time.Millisecond,
		DrainTimeout: 10 * time.Millisecond,
		DialContext:  faultnet.BlockingDialer(b.Self().PeerAddr, &blocked),
	})
	call := func(to machine.Instance) {
		_, err := a.Call(t.Context(), to, CauseForward, "echo", nil)
		is.NoErr(err)
	}
	allRetired := func(id string) bool {
		for _, s := range a.sessionsTo(id) {
			if !s.retired() {
				return false
			}
		}
		return true
	}
	call(b.Self())
	time.Sleep(20 * time.Millisecond) // lets the stream be closed
	blocked.Store(true)
	for end := time.Now().Add(patience); !allRetired("b"); time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
		call(c.Self())
	}
	call(c.Self())
	for end := time.Now().Add(patience); !allRetired("c"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("an idle session is not retired while another one cannot send its go-away")
		}
	}
}
