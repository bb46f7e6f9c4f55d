package httpplatform_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/standalone/httpplatform"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin/engine"
	"github.com/cicadasill/cicadasill/standin/logserver"
	"github.com/cicadasill/cicadasill/standin/plain"
)

var testOptions = httpplatform.Options{ProgressDeadline: 600 * time.Millisecond, ProbeIdleAfter: time.Nanosecond}

func startPlain(t *testing.T, opts plain.Options) (*plain.Server, *httpplatform.PlainService) {
	t.Helper()
	s, err := plain.Start(opts)
	if err != nil {
		t.Fatal(err)
	}
	c := httpplatform.NewPlainService(testOptions)
	t.Cleanup(func() { c.Close(); s.Close() })
	return s, c
}

// Guards against an error code that states "no effect" although the request ran, and the reverse.
func TestErrorCodesOfPlainFaults(t *testing.T) {
	for _, c := range []struct {
		fault plain.Fault
		code  platform.Code
		runs  int
	}{
		{plain.CrashBefore, platform.OutcomeUnknown, 0},
		{plain.CrashAfter, platform.OutcomeUnknown, 1},
		{plain.Truncated, platform.BadAnswer, 1},
		{plain.Crossed, platform.BadAnswer, 1},
		{plain.Late, platform.OutcomeUnknown, 1},
		{plain.Silent, platform.OutcomeUnknown, 1},
		{plain.Refuse, platform.Unavailable, 0},
	} {
		t.Run(string(c.fault), func(t *testing.T) {
			is := is.New(t)
			s, client := startPlain(t, plain.Options{ID: "p"})
			s.Inject(c.fault, 1)
			_, err := client.Do(context.Background(), s.Addr(), platform.PlainRequest{RequestID: "r1", Call: "book", Key: "k1", Body: []byte("x")})
			is.Equal(platform.CodeOf(err), c.code)
			is.Equal(s.Ledger().RunsOfKey("k1"), c.runs)
			_, err = client.Do(context.Background(), s.Addr(), platform.PlainRequest{RequestID: "r2", Call: "book", Key: "k2"})
			is.NoErr(err) // the fault hit one request only
		})
	}
}

// Guards against outcome_unknown for a request of which no byte was written, and against
// not_sent for one that may have been sent.
func TestNotSentOnlyIfNoByteWasSent(t *testing.T) {
	is := is.New(t)
	s, client := startPlain(t, plain.Options{ID: "p"})
	s.Crash()
	_, err := client.Do(context.Background(), s.Addr(), platform.PlainRequest{RequestID: "r", Call: "book", Key: "k"})
	is.Equal(platform.CodeOf(err), platform.NotSent) // connection refused
	is.NoErr(s.Restart())
	s.SetLeaving(true)
	_, err = client.Do(context.Background(), s.Addr(), platform.PlainRequest{RequestID: "r", Call: "book", Key: "k"})
	is.Equal(platform.CodeOf(err), platform.LeavingBackend)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = client.Do(ctx, s.Addr(), platform.PlainRequest{RequestID: "r", Call: "book", Key: "k"})
	is.Equal(platform.CodeOf(err), platform.NotSent)
}

// Guards against a non-idempotent call written to a connection that has gone silent.
func TestSilentIdleConnectionIsFoundBeforeTheCall(t *testing.T) {
	is := is.New(t)
	s, client := startPlain(t, plain.Options{ID: "p"})
	do := func(id string) error {
		_, err := client.Do(context.Background(), s.Addr(), platform.PlainRequest{RequestID: id, Call: "book", Key: id})
		return err
	}
	is.NoErr(do("a"))
	s.SilenceOpen()
	is.NoErr(do("b"))
	is.Equal(s.Ledger().RunsOfKey("b"), 1)
	s.SetSilent(true)
	is.Equal(platform.CodeOf(do("c")), platform.OutcomeUnknown)
	s.SetSilent(false)
	is.NoErr(do("d"))
	is.Equal(s.Ledger().RunsOfKey("c"), 0)
}

// Guards against the reuse of a connection on which a request has timed out.
func TestSilentConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	var dials atomic.Int64
	s, err := plain.Start(plain.Options{ID: "p"})
	is.NoErr(err)
	defer s.Close()
	opts := testOptions
	opts.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
	client := httpplatform.NewPlainService(opts)
	defer client.Close()
	do := func(fresh bool) error {
		_, err := client.Do(context.Background(), s.Addr(), platform.PlainRequest{RequestID: "r", Call: "read", FreshConnection: fresh})
		return err
	}
	is.NoErr(do(false))
	is.NoErr(do(false))
	is.Equal(dials.Load(), int64(1)) // reused
	s.SilenceOpen()
	is.Equal(platform.CodeOf(do(false)), platform.OutcomeUnknown)
	is.NoErr(do(false))
	is.Equal(dials.Load(), int64(2))
	is.NoErr(do(true))
	is.Equal(dials.Load(), int64(3)) // FreshConnection does not take the idle one
}

// Guards against accepting an answer whose end cannot be detected or a refusal that belongs to
// another request, and against treating a plain 503 as proof that the request did not run.
func TestInconclusiveAnswers(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/calls/foreign-refusal":
			w.Header().Set(httpplatform.HeaderRequestID, "other")
			w.Header().Set(httpplatform.HeaderNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/v1/calls/bare-503":
			w.Header().Set(httpplatform.HeaderRequestID, r.Header.Get(httpplatform.HeaderRequestID))
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/v1/calls/endless":
			conn, buf, _ := w.(http.Hijacker).Hijack()
			_, _ = buf.WriteString("HTTP/1.1 200 OK\r\n" + httpplatform.HeaderRequestID + ": r\r\n\r\nhalf")
			_ = buf.Flush()
			_ = conn.Close()
		}
	}))
	defer srv.Close()
	client := httpplatform.NewPlainService(testOptions)
	defer client.Close()
	do := func(call string) (platform.PlainResponse, error) {
		return client.Do(context.Background(), srv.Listener.Addr().String(), platform.PlainRequest{RequestID: "r", Call: call})
	}
	_, err := do("foreign-refusal")
	is.Equal(platform.CodeOf(err), platform.BadAnswer)
	_, err = do("endless")
	is.Equal(platform.CodeOf(err), platform.BadAnswer)
	resp, err := do("bare-503")
	is.NoErr(err)
	is.Equal(resp.Status, http.StatusServiceUnavailable) // returned as an answer, because it does not state that the request was not run
}

// Guards against wrong error codes of the log during an outage, at the rate limit, below the
// retained range and after a lost answer.
func TestLogCodes(t *testing.T) {
	is := is.New(t)
	s, err := logserver.Start(logserver.Options{AppendsPerS: 4, RetainCount: 2})
	is.NoErr(err)
	defer s.Close()
	l := httpplatform.NewLog(s.Addr(), testOptions)
	defer l.Close()
	ctx := context.Background()
	off, err := l.Append(ctx, "control", []byte("a"))
	is.NoErr(err)
	is.Equal(off, int64(0))
	_, err = l.Append(ctx, "control", []byte("b"))
	is.Equal(platform.CodeOf(err), platform.RateLimited)
	s.SetOutage(true)
	_, err = l.Append(ctx, "control", []byte("b"))
	is.Equal(platform.CodeOf(err), platform.Unavailable)
	s.SetOutage(false)
	s.Truncate("control", 1)
	_, err = l.Read(ctx, "control", 0, 10, 0)
	is.Equal(platform.CodeOf(err), platform.Expired)
	page, err := l.Read(ctx, "control", 1, 10, 700*time.Millisecond) // longer than the progress deadline
	is.NoErr(err)
	is.Equal(page.Next, int64(1))
	s.LoseAnswers(1)
	for code := platform.RateLimited; code == platform.RateLimited; {
		_, err = l.Append(ctx, "control", []byte("c"))
		code = platform.CodeOf(err)
	}
	is.Equal(platform.CodeOf(err), platform.OutcomeUnknown)
	page, err = l.Read(ctx, "control", 1, 10, 0)
	is.NoErr(err)
	is.Equal(string(page.Records[0].Data), "c") // it took effect
}

// Guards against treating a stream that ends early as a complete answer.
func TestGenerateStreamCodes(t *testing.T) {
	is := is.New(t)
	s, err := engine.Start(engine.Options{ID: "e", TokenRate: 2000, Version: 1})
	is.NoErr(err)
	defer s.Close()
	client := httpplatform.NewEngine(testOptions)
	defer client.Close()
	ctx := context.Background()
	req := platform.GenerateRequest{RequestID: "g1", Prompt: "p", MaxTokens: 20}
	g, err := client.Generate(ctx, s.Addr(), req)
	is.NoErr(err)
	total := 0
	for err == nil {
		var e platform.GenerateEvent
		e, err = g.Next()
		total += len(e.Tokens)
	}
	is.True(errors.Is(err, io.EOF))
	is.Equal(total, 20)
	req = platform.GenerateRequest{RequestID: "g2", Prompt: "p", MaxTokens: 1 << 20}
	g, err = client.Generate(ctx, s.Addr(), req)
	is.NoErr(err)
	_, err = g.Next()
	is.NoErr(err)
	s.Crash()
	for err == nil {
		_, err = g.Next()
	}
	is.True(!platform.HadNoEffect(err))
	_, err = client.Generate(ctx, s.Addr(), platform.GenerateRequest{RequestID: "g3", Prompt: "p", MaxTokens: 1})
	is.Equal(platform.CodeOf(err), platform.NotSent)
	is.NoErr(s.Restart())
	s.SetLeaving(true)
	_, err = client.Generate(ctx, s.Addr(), platform.GenerateRequest{RequestID: "g4", Prompt: "p", MaxTokens: 1})
	is.Equal(platform.CodeOf(err), platform.LeavingBackend)
	load, err := client.Load(ctx, s.Addr())
	is.NoErr(err)
	is.True(load.Leaving)
}
