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

// serving starts a node that answers "echo" until the test ends.
func serving(t *testing.T, id string, opts Options) *Node {
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

func (n *Node) sessionsTo(id string) []*session {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.peers[id] == nil {
		return nil
	}
	return append([]*session(nil), n.peers[id].sessions...)
}

// Guards against an exchange given up because the peer had retired the sessions that were open
// before it, although a new connection works.
func TestSessionsRetiredByThePeerCostNoAttempt(t *testing.T) {
	is := is.New(t)
	a := serving(t, "a", Options{})
	b := serving(t, "b", Options{})
	for range openAttempts + 1 {
		_, err := a.dial(t.Context(), b.Self())
		is.NoErr(err)
	}
	for len(b.sessionsTo("a")) <= openAttempts { // accepted a moment after the dial returns
		runtime.Gosched()
	}
	for _, s := range b.sessionsTo("a") {
		s.retire()
	}
	got, err := a.Call(t.Context(), b.Self(), CauseForward, "echo", []byte("x"))
	is.NoErr(err)
	is.Equal(string(got), "x")
}

// Guards against a session that the watcher closes at the moment at which it is retired, while
// streams that the peer has opened are on their way.
func TestRetiredSessionStaysOpenForStreamsOnTheirWay(t *testing.T) {
	is := is.New(t)
	a := serving(t, "a", Options{})
	b := serving(t, "b", Options{})
	for range 300 {
		s, err := a.dial(t.Context(), b.Self())
		is.NoErr(err)
		var wg sync.WaitGroup
		wg.Go(s.retire)
		for !s.retired() {
			a.inspect(s)
		}
		a.inspect(s)
		wg.Wait()
		is.True(!s.ys.IsClosed())
		s.close()
	}
}

// Guards against a session that its peer retires before the exchange for which it was dialled
// arrives on it.
func TestUnusedSessionOutlivesTheIdleTimeout(t *testing.T) {
	is := is.New(t)
	opts := Options{IdleTimeout: time.Nanosecond, KeepaliveInterval: time.Hour}
	a := serving(t, "a", opts)
	b := serving(t, "b", opts)
	s, err := a.dial(t.Context(), b.Self())
	is.NoErr(err)
	a.inspect(s)
	is.True(s.usable())
	_, err = a.Call(t.Context(), b.Self(), CauseForward, "echo", nil)
	is.NoErr(err)
	for s.active.Load() > 0 {
		runtime.Gosched()
	}
	a.inspect(s)
	is.True(!s.usable())
}
