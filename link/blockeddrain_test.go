package link

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/link/faultnet"
)

// Guards against a node that outlasts its drain timeout because a connection takes no bytes.
func TestBlockedConnectionDoesNotHoldUpTheDrain(t *testing.T) {
	is := is.New(t)
	var blocked atomic.Bool
	b := startEchoNode(t, "b", Options{})
	a := startEchoNode(t, "a", Options{
		KeepaliveInterval: time.Minute, KeepaliveTimeout: time.Minute, PingAfter: time.Minute, DrainTimeout: 10 * time.Millisecond,
		DialContext: faultnet.BlockingDialer(b.Self().PeerAddr, &blocked),
	})
	_, err := a.Call(t.Context(), b.Self(), CauseForward, "echo", nil)
	is.NoErr(err)
	blocked.Store(true)
	drained := make(chan struct{})
	go func() {
		a.drain()
		close(drained)
	}()
	select {
	case <-drained:
	case <-time.After(20 * time.Second):
		t.Error("the drain waits for a connection that takes no bytes")
	}
}
