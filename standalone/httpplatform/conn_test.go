package httpplatform_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/trace"

	"github.com/cicadasill/cicadasill/standalone/httpplatform"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin/plain"
)

// brokenConn writes at most n bytes of each write and then fails it.
type brokenConn struct {
	net.Conn
	n int
}

func (c *brokenConn) Write(b []byte) (int, error) {
	k, _ := c.Conn.Write(b[:min(c.n, len(b))])
	return k, errors.New("broken")
}

// Guards against not_sent after a partial write, and against outcome_unknown if no byte was written.
func TestPartialWriteIsNotReportedAsNotSent(t *testing.T) {
	for n, code := range map[int]platform.Code{0: platform.NotSent, 1: platform.OutcomeUnknown} {
		is := is.New(t)
		s, err := plain.Start(plain.Options{ID: "p"})
		is.NoErr(err)
		c := httpplatform.NewPlainService(httpplatform.Options{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				inner, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				return &brokenConn{Conn: inner, n: n}, err
			},
		})
		_, err = c.Do(context.Background(), s.Addr(), platform.PlainRequest{RequestID: "r", Call: "book", Key: "k"})
		is.Equal(platform.CodeOf(err), code)
		c.Close()
		s.Close()
	}
}

// Guards against a non-idempotent call that avoids one silent idle connection and then uses
// another silent one.
func TestAllSilentIdleConnectionsAreAvoided(t *testing.T) {
	is := is.New(t)
	s, client := startPlain(t, plain.Options{ID: "p", ServiceTime: 50 * time.Millisecond})
	do := func(id string) error {
		_, err := client.Do(context.Background(), s.Addr(), platform.PlainRequest{RequestID: id, Call: "book", Key: id})
		return err
	}
	var wg conc.WaitGroup
	for _, id := range []string{"a", "b", "c"} {
		wg.Go(func() { is.NoErr(do(id)) })
	}
	wg.Wait()
	s.SilenceOpen()
	is.NoErr(do("d"))
	is.Equal(s.Ledger().RunsOfKey("d"), 1)
}

// Guards against connections that are reused beyond their maximum age.
func TestMaximumConnectionAge(t *testing.T) {
	is := is.New(t)
	var dials atomic.Int64
	s, err := plain.Start(plain.Options{ID: "p"})
	is.NoErr(err)
	defer s.Close()
	c := httpplatform.NewPlainService(httpplatform.Options{
		MaxConnAge: time.Nanosecond,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			dials.Add(1)
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		},
	})
	defer c.Close()
	for range 3 {
		_, err := c.Health(context.Background(), s.Addr())
		is.NoErr(err)
	}
	is.Equal(dials.Load(), int64(3))
}

// Guards against requests that do not continue the caller's trace.
func TestTraceContextIsInjected(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var got string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		got = r.Header.Get("traceparent")
		w.Header().Set(httpplatform.HeaderRequestID, r.Header.Get(httpplatform.HeaderRequestID))
		_, _ = w.Write([]byte(`{"leaving":false}`))
	}))
	defer srv.Close()
	c := httpplatform.NewPlainService(httpplatform.Options{})
	defer c.Close()
	span := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, TraceFlags: trace.FlagsSampled})
	_, err := c.Health(trace.ContextWithSpanContext(context.Background(), span), srv.Listener.Addr().String())
	is.NoErr(err)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(got, "00-01000000000000000000000000000000-0200000000000000-01")
}
