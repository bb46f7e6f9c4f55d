package link_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/link/faultnet"
	"github.com/cicadasill/cicadasill/machine"
)

// fastOptions returns options with short timeouts, whose dials pass through net.
func fastOptions(net *faultnet.Network) link.Options {
	return link.Options{DialContext: net.Dialer("a"), KeepaliveInterval: 30 * time.Millisecond,
		KeepaliveTimeout: 150 * time.Millisecond, PingAfter: 40 * time.Millisecond}
}

// Guards against exchanges that hang or are lost because their connection has gone silent.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	net := faultnet.New()
	entered := make(chan struct{})
	release := make(chan struct{})
	a := startPeer(t, "a", 1, anyPort(), fastOptions(net), nil)
	b := startPeer(t, "b", 1, anyPort(), link.Options{DrainTimeout: time.Millisecond}, func(n *link.Node) {
		echo(n)
		n.Handle("slow", func(context.Context, []byte) ([]byte, error) {
			entered <- struct{}{}
			<-release
			return nil, nil
		})
		n.HandleHTTP(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
	})
	defer close(release)
	call := func(method string) link.Code {
		_, err := a.Call(t.Context(), b.self, link.CauseForward, method, nil)
		if err == nil {
			return ""
		}
		return link.CodeOf(err)
	}

	done := make(chan link.Code)
	go func() { done <- call("slow") }()
	<-entered
	net.Silence()
	is.Equal(<-done, link.Unknown)        // the handler had started; the keepalive ended the wait
	is.Equal(call("echo"), link.Code("")) // a new connection works at once

	req, err := http.NewRequest(http.MethodGet, "/", nil)
	is.NoErr(err)
	resp, err := a.Forward(t.Context(), b.self, link.CauseForward, req)
	is.NoErr(err)
	net.Silence()
	_, err = io.ReadAll(resp.Body) // a stream without a deadline ends too
	is.Equal(link.CodeOf(err), link.Unknown)
	is.NoErr(resp.Body.Close())

	is.Equal(call("echo"), link.Code(""))
	time.Sleep(50 * time.Millisecond) // longer than PingAfter
	net.Silence()
	is.Equal(call("echo"), link.Code("")) // the idle session is pinged first, so the call is not lost
}

// Guards against the reuse of a session on which a call timed out without a received byte.
func TestTimedOutSessionIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	net := faultnet.New()
	opts := fastOptions(net)
	opts.KeepaliveInterval, opts.KeepaliveTimeout = time.Minute, time.Second
	a := startPeer(t, "a", 1, anyPort(), opts, nil)
	b := startPeer(t, "b", 1, anyPort(), link.Options{}, echo)
	_, err := a.Call(t.Context(), b.self, link.CauseProbe, "echo", nil)
	is.NoErr(err)
	net.Silence()
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Millisecond)
	defer cancel()
	_, err = a.Call(ctx, b.self, link.CauseProbe, "echo", nil)
	is.Equal(link.CodeOf(err), link.Unknown)
	_, err = a.Call(t.Context(), b.self, link.CauseProbe, "echo", nil)
	is.NoErr(err)
	is.Equal(net.Dials(), int64(2))
}

// Guards against exchanges lost when both ends dial at the same time, when the redundant session
// closes, and when an idle session closes just before its next use.
func TestSimultaneousDialsAndIdleCloseLoseNothing(t *testing.T) {
	opts := link.Options{KeepaliveInterval: 2 * time.Millisecond, IdleTimeout: time.Millisecond, PingAfter: time.Hour}
	a := startPeer(t, "a", 1, anyPort(), opts, echo)
	b := startPeer(t, "b", 1, anyPort(), opts, echo)
	var wg sync.WaitGroup
	for _, p := range [][2]*peer{{a, b}, {b, a}} {
		for w := range 4 {
			wg.Go(func() {
				for n := range 60 {
					want := fmt.Sprint(p[0].self.ID, w, n)
					got, err := p[0].Call(t.Context(), p[1].self, link.CauseForward, "echo", []byte(want))
					if err != nil || string(got) != want {
						t.Errorf("%s: %q %v", want, got, err)
					}
					time.Sleep(time.Duration(n%5) * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
}

// Guards against a planned stop that interrupts exchanges in flight, and against a caller that
// takes the refusal of a stopping node for an exchange that may have run.
func TestDrain(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{})
	release := make(chan struct{})
	a := startPeer(t, "a", 1, anyPort(), link.Options{}, nil)
	b := startPeer(t, "b", 1, anyPort(), link.Options{}, func(n *link.Node) {
		echo(n)
		n.Handle("slow", func(context.Context, []byte) ([]byte, error) {
			close(entered)
			<-release
			return []byte("whole"), nil
		})
	})
	got := make(chan string)
	go func() {
		p, err := a.Call(t.Context(), b.self, link.CauseForward, "slow", nil)
		got <- fmt.Sprint(string(p), err)
	}()
	<-entered
	go b.stop()
	for { // until the stop has begun
		if _, err := a.Call(t.Context(), b.self, link.CauseForward, "echo", nil); err != nil {
			is.Equal(link.CodeOf(err), link.NotSent)
			break
		}
	}
	close(release)
	is.Equal(<-got, "whole<nil>")
}

// Guards against dialling a dead peer for every exchange.
func TestFailedDialsBackOff(t *testing.T) {
	is := is.New(t)
	net := faultnet.New()
	a := startPeer(t, "a", 1, anyPort(), link.Options{DialContext: net.Dialer("a"), BackoffMin: time.Minute, BackoffMax: time.Minute}, nil)
	net.Cut(func(string, string) bool { return true })
	for range 50 {
		_, err := a.Call(t.Context(), machine.Instance{ID: "b", PeerAddr: "127.0.0.1:1"}, link.CauseProbe, "echo", nil)
		is.Equal(link.CodeOf(err), link.NotSent)
	}
	is.Equal(net.Dials(), int64(2)) // the second dial comes at once; then the backoff applies
}

// Guards against a handler's context error that reaches the caller as a refusal. The handler's deadline is
// the caller's, rounded down to milliseconds, so the handler is interrupted first.
func TestInterruptedHandlerIsNoRefusal(t *testing.T) {
	is := is.New(t)
	a := startPeer(t, "a", 1, anyPort(), link.Options{}, nil)
	b := startPeer(t, "b", 1, anyPort(), link.Options{}, func(n *link.Node) {
		n.Handle("hang", func(ctx context.Context, _ []byte) ([]byte, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
	})
	_, err := a.Call(t.Context(), b.self, link.CauseForward, "unknown", nil) // opens the session
	is.Equal(link.CodeOf(err), link.Busy)
	for range 50 {
		ctx, cancel := context.WithTimeout(t.Context(), 20900*time.Microsecond)
		_, err := a.Call(ctx, b.self, link.CauseForward, "hang", nil)
		cancel()
		is.True(link.CodeOf(err) == link.Unknown || link.CodeOf(err) == link.NotSent) // NotSent on a slow machine
	}
}

// Guards against serving any number of exchanges at once: those above the limit are refused as
// not run.
func TestBusy(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{})
	a := startPeer(t, "a", 1, anyPort(), link.Options{}, nil)
	b := startPeer(t, "b", 1, anyPort(), link.Options{MaxServed: 1}, func(n *link.Node) {
		n.Handle("hang", func(ctx context.Context, _ []byte) ([]byte, error) {
			close(entered)
			<-ctx.Done()
			return nil, ctx.Err()
		})
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		_, err := a.Call(ctx, b.self, link.CauseForward, "hang", nil)
		done <- err
	}()
	<-entered
	_, err := a.Call(t.Context(), b.self, link.CauseForward, "hang", nil)
	is.Equal(link.CodeOf(err), link.Busy)
	cancel()
	is.Equal(link.CodeOf(<-done), link.Unknown)
}
