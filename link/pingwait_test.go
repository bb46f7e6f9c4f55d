package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/link/faultnet"
)

// Guards against callers that wait for the close of a connection after its ping has failed, although the peer can be
// reached by a new one.
func TestCallersOfAFailedPingUseANewSessionBeforeTheConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	network := faultnet.New()
	opts := fastOptions(network)
	opts.PingAfter = time.Millisecond
	closing, released := make(chan struct{}), make(chan struct{})
	defer close(released)
	dials := 0
	opts.DialContext = func(ctx context.Context, netw, addr string) (net.Conn, error) {
		dials++ // one dial at a time
		if dials > 1 {
			return (&net.Dialer{}).DialContext(ctx, netw, addr)
		}
		c, err := network.Dialer("a")(ctx, netw, addr)
		if err != nil {
			return nil, err
		}
		return &slowCloseConn{Conn: c, closing: closing, released: released}, nil
	}
	a := startPeer(t, "a", 1, anyPort(), opts, nil)
	b := startPeer(t, "b", 1, anyPort(), link.Options{DrainTimeout: time.Millisecond}, echo)
	_, err := a.Call(t.Context(), b.self, link.CauseForward, "echo", nil)
	is.NoErr(err)
	network.Silence()
	time.Sleep(2 * opts.PingAfter)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err = a.Call(ctx, b.self, link.CauseForward, "echo", nil)
	is.NoErr(err) // the ping has failed long before
}
