package link_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/zone"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// peer is a node that serves until stop is called.
type peer struct {
	*link.Node
	self machine.Instance
	stop func()
}

// startPeer starts a node that serves on addr until the test ends. setup registers its handlers.
func startPeer(t testing.TB, id string, incarnation uint64, addr string, opts link.Options, setup func(*link.Node)) *peer {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	self := machine.Instance{ID: id, Incarnation: incarnation, PeerAddr: ln.Addr().String(), Zone: zone.Zone{Region: "r", DataCentre: id}}
	n := link.NewNode(self, opts)
	if setup != nil {
		setup(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Serve(ctx, ln) }()
	p := &peer{Node: n, self: self, stop: func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Serve: %v", err)
		}
		done <- nil
	}}
	t.Cleanup(p.stop)
	return p
}

func echo(n *link.Node) {
	n.Handle("echo", func(_ context.Context, p []byte) ([]byte, error) { return p, nil })
}

func anyPort() string { return "127.0.0.1:0" }

// Guards against a response that reaches another caller, and against bytes counted under no cause.
func TestCallAndAccounting(t *testing.T) {
	is := is.New(t)
	a := startPeer(t, "a", 1, anyPort(), link.Options{}, echo)
	b := startPeer(t, "b", 1, anyPort(), link.Options{}, echo)
	payload := strings.Repeat("x", 100_000)
	got, err := a.Call(t.Context(), b.self, link.CauseFeed, "echo", []byte(payload))
	is.NoErr(err)
	is.Equal(string(got), payload)
	got, err = b.Call(t.Context(), a.self, link.CauseProbe, "echo", []byte("y"))
	is.NoErr(err)
	is.Equal(string(got), "y")
	for _, n := range []*peer{a, b} {
		var feed, probe, overhead bool
		for _, l := range n.Bytes() {
			feed = feed || l.Cause == link.CauseFeed && l.Sent >= 100_000 && l.Received >= 100_000
			probe = probe || l.Cause == link.CauseProbe && l.Sent > 0 && l.Sent < 500 && l.Received > 0
			overhead = overhead || l.Cause == link.CauseOverhead && l.Sent > 0 && l.Received > 0
		}
		is.True(feed && probe && overhead)
	}
}

// Guards against a request that is handled by another incarnation of the addressed instance or by
// another instance.
func TestWrongPeer(t *testing.T) {
	is := is.New(t)
	a := startPeer(t, "a", 1, anyPort(), link.Options{}, nil)
	b := startPeer(t, "b", 7, anyPort(), link.Options{}, echo)
	for _, to := range []machine.Instance{
		{ID: "b", Incarnation: 6, PeerAddr: b.self.PeerAddr},
		{ID: "b", Incarnation: 8, PeerAddr: b.self.PeerAddr},
		{ID: "c", Incarnation: 7, PeerAddr: b.self.PeerAddr},
	} {
		_, err := a.Call(t.Context(), to, link.CauseForward, "echo", nil)
		var linkErr *link.Error
		is.True(errors.As(err, &linkErr))
		is.Equal(linkErr.Code, link.WrongPeer)
		is.Equal(linkErr.Actual.Ref(), b.self.Ref())
		is.True(linkErr.NotRun())
	}
	_, err := a.Call(t.Context(), machine.Instance{ID: "b", PeerAddr: b.self.PeerAddr}, link.CauseForward, "echo", nil)
	is.NoErr(err) // incarnation 0 addresses any incarnation
}

// Guards against two deployments that merge when one reuses an address of the other.
func TestOtherDeploymentIsRefused(t *testing.T) {
	is := is.New(t)
	a := startPeer(t, "a", 1, anyPort(), link.Options{Deployment: "altyn-tostar"}, nil)
	b := startPeer(t, "b", 1, anyPort(), link.Options{Deployment: "moreton"}, echo)
	_, err := a.Call(t.Context(), b.self, link.CauseForward, "echo", nil)
	var linkErr *link.Error
	is.True(errors.As(err, &linkErr))
	is.Equal(linkErr.Code, link.WrongPeer)
	is.Equal(linkErr.Actual, machine.Instance{}) // the error does not name the instance of the other deployment
	is.True(linkErr.NotRun())
}

// Guards against an error that reports a handled exchange as not_sent or an unhandled one as
// unknown.
func TestErrorsStateWhatMayHaveRun(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{}, 1)
	a := startPeer(t, "a", 1, anyPort(), link.Options{}, nil)
	b := startPeer(t, "b", 1, anyPort(), link.Options{DrainTimeout: time.Millisecond}, func(n *link.Node) {
		n.Handle("fail", func(context.Context, []byte) ([]byte, error) {
			return nil, &link.RemoteError{Code: "no", Message: "never"}
		})
		n.Handle("hang", func(ctx context.Context, _ []byte) ([]byte, error) {
			entered <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		})
		n.Handle("panic", func(context.Context, []byte) ([]byte, error) { panic("boom") })
	})
	code := func(method string) link.Code {
		_, err := a.Call(t.Context(), b.self, link.CauseForward, method, nil)
		return link.CodeOf(err)
	}
	is.Equal(code("fail"), link.Refused)
	is.Equal(code("absent"), link.Busy)
	is.Equal(code("panic"), link.Unknown)
	done := make(chan link.Code)
	go func() { done <- code("hang") }()
	<-entered
	b.stop()
	is.Equal(<-done, link.Unknown) // the handler was running when the peer stopped
	is.Equal(code("fail"), link.NotSent)
}

// Guards against a truncated stream that is taken for a complete one, a flushed response that
// stays buffered, and a handler that keeps running after its caller has gone.
func TestForward(t *testing.T) {
	is := is.New(t)
	handlerDone := make(chan struct{})
	step := make(chan struct{})
	h := http.NewServeMux()
	h.HandleFunc("/stream", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Query", r.URL.RawQuery)
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.Copy(w, r.Body)
		w.(http.Flusher).Flush()
		<-step
		_, _ = w.Write([]byte("-end"))
	})
	h.HandleFunc("/abort", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("part"))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	h.HandleFunc("/endless", func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			_, _ = w.Write(make([]byte, 64<<10))
		}
		close(handlerDone)
	})
	a := startPeer(t, "a", 1, anyPort(), link.Options{}, nil)
	b := startPeer(t, "b", 1, anyPort(), link.Options{}, func(n *link.Node) { n.HandleHTTP(h) })
	forward := func(path, body string) *http.Response {
		req, err := http.NewRequest(http.MethodPost, path, strings.NewReader(body))
		is.NoErr(err)
		resp, err := a.Forward(t.Context(), b.self, link.CauseForward, req)
		is.NoErr(err)
		return resp
	}

	resp := forward("/stream?q=1", "body")
	is.Equal(resp.StatusCode, http.StatusAccepted)
	is.Equal(resp.Header.Get("X-Query"), "q=1")
	first := make([]byte, 4)
	_, err := io.ReadFull(resp.Body, first) // arrives while the handler waits for step
	is.NoErr(err)
	close(step)
	rest, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(first)+string(rest), "body-end")
	is.NoErr(resp.Body.Close())

	resp = forward("/abort", "")
	_, err = io.ReadAll(resp.Body)
	is.Equal(link.CodeOf(err), link.Unknown)
	is.True(err != nil)
	is.NoErr(resp.Body.Close())

	resp = forward("/endless", "")
	is.NoErr(resp.Body.Close()) // the handler is blocked on flow control
	<-handlerDone
}
