package link

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/machine"
)

// startEchoNode starts a node that answers "echo" until the test ends.
func startEchoNode(t *testing.T, id string, opts Options) *Node {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := NewNode(machine.Instance{ID: id, Incarnation: 1, PeerAddr: ln.Addr().String()}, opts)
	n.Handle("echo", func(_ context.Context, p []byte) ([]byte, error) { return p, nil })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return n
}

// sessionsTo returns a copy of the list of sessions to a peer.
func (n *Node) sessionsTo(id string) []*session {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.peers[id] == nil {
		return nil
	}
	return append([]*session(nil), n.peers[id].sessions...)
}

// Guards against an exchange that fails because the peer had retired all sessions opened before
// it, although a new connection works.
func TestSessionsRetiredByThePeerCostNoAttempt(t *testing.T) {
	is := is.New(t)
	a := startEchoNode(t, "a", Options{})
	b := startEchoNode(t, "b", Options{})
	for range maxSessionAttempts + 1 {
		_, err := a.dial(t.Context(), b.Self())
		is.NoErr(err)
	}
	for len(b.sessionsTo("a")) <= maxSessionAttempts { // b accepts a session shortly after the dial returns
		runtime.Gosched()
	}
	for _, s := range b.sessionsTo("a") {
		s.retire()
	}
	got, err := a.Call(t.Context(), b.Self(), CauseForward, "echo", []byte("x"))
	is.NoErr(err)
	is.Equal(string(got), "x")
}

// Guards against a session that checkSession closes as soon as it is retired, while streams that
// the peer has opened are still on their way.
func TestRetiredSessionStaysOpenForStreamsOnTheirWay(t *testing.T) {
	is := is.New(t)
	a := startEchoNode(t, "a", Options{})
	b := startEchoNode(t, "b", Options{})
	for range 300 {
		s, err := a.dial(t.Context(), b.Self())
		is.NoErr(err)
		var wg sync.WaitGroup
		wg.Go(s.retire)
		for !s.retired() {
			a.checkSession(s)
		}
		a.checkSession(s)
		wg.Wait()
		is.True(!s.ys.IsClosed())
		s.close()
	}
}

// Guards against retiring a session before the exchange for which it was dialled begins on it.
func TestUnusedSessionOutlivesTheIdleTimeout(t *testing.T) {
	is := is.New(t)
	opts := Options{IdleTimeout: time.Nanosecond, KeepaliveInterval: time.Hour}
	a := startEchoNode(t, "a", opts)
	b := startEchoNode(t, "b", opts)
	s, err := a.dial(t.Context(), b.Self())
	is.NoErr(err)
	a.checkSession(s)
	is.True(s.usable())
	_, err = a.Call(t.Context(), b.Self(), CauseForward, "echo", nil)
	is.NoErr(err)
	for s.active.Load() > 0 {
		runtime.Gosched()
	}
	a.checkSession(s)
	is.True(!s.usable())
}
