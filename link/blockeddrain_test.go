package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stuckConn is a connection whose writes wait for its end once stuck is set.
type stuckConn struct {
	net.Conn
	stuck  *atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Write implements net.Conn.
func (c *stuckConn) Write(p []byte) (int, error) {
	if c.stuck.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *stuckConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// dialStuck returns a dial function whose connections to addr block their writes once stuck is set.
func dialStuck(addr string, stuck *atomic.Bool) DialFunc {
	return func(ctx context.Context, network, to string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, to)
		if err != nil || to != addr {
			return conn, err
		}
		return &stuckConn{Conn: conn, stuck: stuck, closed: make(chan struct{})}, nil
	}
}

// Guards against a node that outlasts its drain timeout because a connection takes no bytes.
func TestBlockedConnectionDoesNotHoldUpTheDrain(t *testing.T) {
	is := is.New(t)
	var stuck atomic.Bool
	b := startEchoNode(t, "b", Options{})
	a := startEchoNode(t, "a", Options{
		KeepaliveInterval: time.Minute, KeepaliveTimeout: time.Minute, PingAfter: time.Minute, DrainTimeout: 10 * time.Millisecond,
		DialContext: dialStuck(b.Self().PeerAddr, &stuck),
	})
	_, err := a.Call(t.Context(), b.Self(), CauseForward, "echo", nil)
	is.NoErr(err)
	stuck.Store(true)
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
