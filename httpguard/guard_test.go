package httpguard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"github.com/cicadasill/cicadasill/flood"
)

// patience bounds what must happen.
const patience = 20 * time.Second

// guarded is a server behind a guard.
type guarded struct {
	addr    string
	guard   *Guard
	limits  atomic.Pointer[Limits]
	served  atomic.Int64
	held    atomic.Int64
	release chan struct{} // holds requests to /hold
}

func startGuarded(t *testing.T, limits Limits, bounds flood.Limits, configure ...func(*http.Server)) *guarded {
	t.Helper()
	g := &guarded{release: make(chan struct{})}
	g.limits.Store(&limits)
	g.guard = New(Options{
		Listener: "test", Flood: bounds, Limits: func() Limits { return *g.limits.Load() },
		Metrics: NewMetrics(prometheus.NewRegistry()), Logger: log.New(io.Discard),
	})
	server := &http.Server{IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.URL.Path == "/hold" {
			g.held.Add(1)
			<-g.release
		}
		g.served.Add(1)
		fmt.Fprintf(w, "%d %s", len(r.Header), body)
	})}
	for _, f := range configure {
		f(server)
	}
	g.guard.Protect(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g.addr = listener.Addr().String()
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(g.guard.Listener(listener)) })
	t.Cleanup(func() { _ = server.Close(); wg.Wait() })
	return g
}

func (g *guarded) refusals(reason string) float64 {
	var m dto.Metric
	if err := g.guard.opts.Metrics.refusals.WithLabelValues("test", reason).Write(&m); err != nil {
		panic(err)
	}
	return m.GetCounter().GetValue()
}

func (g *guarded) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", g.addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(patience))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends text and returns the status and the body of the answer; 0 if the connection closes without one.
func exchange(conn net.Conn, text string) (int, string) {
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, err.Error()
	}
	return answer(conn)
}

func answer(conn net.Conn) (int, string) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err.Error()
	}
	body, _ := io.ReadAll(response.Body) // a truncated body shows in its text
	return response.StatusCode, string(body)
}

// headOf returns a head of exactly size bytes.
func headOf(size int, fields string) string {
	const start, end = "GET / HTTP/1.1\r\nHost: h\r\n", "\r\n"
	const filler = "X-Filler: "
	rest := size - len(start) - len(fields) - len(filler) - len("\r\n") - len(end)
	return start + fields + filler + strings.Repeat("a", rest) + "\r\n" + end
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached: " + what)
		}
	}
}

// Guards against a limit of the configuration that is not in force, or that meets a head inside it: the limit changes while the
// server runs, and holds for each request of a connection.
func TestHeadIsBoundedByTheLimitInForce(t *testing.T) {
	is := is.New(t)
	g := startGuarded(t, Limits{HeaderBytes: 20000}, flood.Limits{})
	conn := g.dial(t)
	for range 2 {
		status, _ := exchange(conn, headOf(20000, ""))
		is.Equal(status, http.StatusOK) // exactly the limit, and again on the same connection
	}
	status, _ := exchange(g.dial(t), headOf(60000, ""))
	is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(g.refusals(reasonHeadTooLarge), 1.0)
	g.limits.Store(&Limits{HeaderBytes: 60000})
	status, _ = exchange(conn, headOf(60000, ""))
	is.Equal(status, http.StatusOK)
	g.limits.Store(&Limits{HeaderBytes: 1000})
	status, _ = exchange(conn, headOf(20000, ""))
	is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(g.served.Load(), int64(3))
}

// Guards against a body that is counted as part of its head.
func TestBodyIsNoPartOfTheHead(t *testing.T) {
	is := is.New(t)
	g := startGuarded(t, Limits{HeaderBytes: 100}, flood.Limits{})
	body := strings.Repeat("b", 1<<20)
	text := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	conn := g.dial(t)
	for range 2 {
		status, got := exchange(conn, text)
		is.Equal(status, http.StatusOK)
		is.Equal(len(got), len("1 ")+len(body))
	}
	whitespace := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n \r\n" + strings.Repeat("b", 100000)
	served := g.served.Load()
	_, _ = exchange(g.dial(t), whitespace) // the line belongs to the field before it, and what follows to the head
	is.Equal(g.served.Load(), served)
}

// Guards against a head that never ends, and against a slow head inside its time that is refused.
func TestHeadIsBoundedInTime(t *testing.T) {
	is := is.New(t)
	g := startGuarded(t, Limits{HeaderTimeout: 300 * time.Millisecond}, flood.Limits{})
	slow, endless := g.dial(t), g.dial(t)
	for _, part := range []string{"GET / HTTP/1.1\r\n", "Host: h\r\n", "X-A: b\r\n"} {
		_, err := io.WriteString(slow, part)
		is.NoErr(err)
		time.Sleep(100 * time.Millisecond)
	}
	status, _ := exchange(slow, "\r\n")
	is.Equal(status, http.StatusOK)
	status, _ = exchange(endless, "GET / HTTP/1.1\r\nHost: h\r\n")
	is.Equal(status, http.StatusRequestTimeout) // it has not run: it is incomplete
	status, _ = exchange(slow, "GET / HT")
	is.Equal(status, http.StatusRequestTimeout) // also on a kept connection
	is.Equal(g.refusals(reasonHeadTooSlow), 2.0)
}

// Guards against an idle connection that closes before the client's next request.
func TestIdleConnectionOutlastsTheTimeOfAHead(t *testing.T) {
	is := is.New(t)
	g := startGuarded(t, Limits{HeaderTimeout: time.Millisecond}, flood.Limits{})
	conn := g.dial(t)
	for range 2 {
		status, _ := exchange(conn, headOf(200, ""))
		is.Equal(status, http.StatusOK)
		time.Sleep(timeoutSlack + 300*time.Millisecond)
	}
	status, _ := exchange(conn, headOf(200, ""))
	is.Equal(status, http.StatusOK)
}

// Guards against a body without progress that holds its connection for good, and against a slow one that is cut.
func TestBodyMustMakeProgress(t *testing.T) {
	is := is.New(t)
	g := startGuarded(t, Limits{IdleTimeout: 400 * time.Millisecond}, flood.Limits{})
	slow := g.dial(t)
	_, err := io.WriteString(slow, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n")
	is.NoErr(err)
	for range 7 {
		time.Sleep(100 * time.Millisecond)
		_, err := io.WriteString(slow, "b")
		is.NoErr(err)
	}
	status, _ := exchange(slow, "b")
	is.Equal(status, http.StatusOK)
	status, _ = exchange(g.dial(t), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nb")
	is.Equal(status, http.StatusBadRequest)
	is.Equal(g.refusals(reasonBodyStalled), 1.0)
	unread := g.dial(t)
	_, err = io.WriteString(unread, "POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nb")
	is.NoErr(err)
	_, err = io.ReadAll(unread) // ends when the server closes the connection
	is.NoErr(err)
}

// Guards against an answer that is cut because its client sends nothing meanwhile.
func TestLongAnswerAfterABody(t *testing.T) {
	is := is.New(t)
	g := startGuarded(t, Limits{IdleTimeout: 100 * time.Millisecond}, flood.Limits{Conns: 1})
	conn := g.dial(t)
	_, err := io.WriteString(conn, "POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nbb")
	is.NoErr(err)
	eventually(t, "the request is being answered", func() bool { return g.held.Load() == 1 })
	time.Sleep(300 * time.Millisecond)
	status, _ := exchange(g.dial(t), headOf(100, ""))
	is.Equal(status, 0) // there is no room, and a request that is being answered is not cut
	close(g.release)
	status, body := answer(conn)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "1 bb")
}

// Guards against unfinished heads of many fields that take the memory of a small machine, and against a finished large head
// that is refused while only unfinished ones are in its way.
func TestUnfinishedHeadsGiveWay(t *testing.T) {
	is := is.New(t)
	fields := strings.Repeat("a:\r\n", 2000)
	bounds := flood.Limits{HeadCost: 3 * flood.Cost(len(fields), 2000)}
	g := startGuarded(t, Limits{HeaderBytes: 16384}, bounds)
	for range 20 {
		_, err := io.WriteString(g.dial(t), "GET / HTTP/1.1\r\nHost: h\r\n"+fields)
		is.NoErr(err)
	}
	eventually(t, "heads are closed", func() bool { return g.refusals(reasonHeadsFull) >= 17 })
	_, cost := g.guard.usage()
	is.True(cost <= bounds.HeadCost)
	status, _ := exchange(g.dial(t), headOf(16384, fields))
	is.Equal(status, http.StatusOK)
}

// Guards against pipelined heads that are never charged, because they were read with the request before.
func TestFinishedHeadWithoutRoomGetsAPromise(t *testing.T) {
	is := is.New(t)
	fields := strings.Repeat("a:\r\n", 500)
	g := startGuarded(t, Limits{}, flood.Limits{HeadCost: flood.Cost(2000, 500)})
	holder := g.dial(t)
	_, err := io.WriteString(holder, "GET /hold HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n")
	is.NoErr(err)
	eventually(t, "the first head is charged", func() bool { _, cost := g.guard.usage(); return cost > 0 })
	conn := g.dial(t)
	status, _ := exchange(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.Equal(status, http.StatusOK) // ordinary heads are served all the same
	status, _ = exchange(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n")
	is.Equal(status, http.StatusServiceUnavailable)
	close(g.release)
	status, _ = answer(holder)
	is.Equal(status, http.StatusOK)
	is.Equal(g.served.Load(), int64(2))
}

// Guards against newcomers that find no room while others send nothing.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	g := startGuarded(t, Limits{}, flood.Limits{Conns: 5})
	for range 30 {
		g.dial(t)
	}
	eventually(t, "connections are closed", func() bool { return g.refusals(reasonEvicted) >= 25 })
	open, _ := g.guard.usage()
	is.Equal(open, 5)
	status, _ := exchange(g.dial(t), headOf(100, ""))
	is.Equal(status, http.StatusOK)
}

// Guards against a head inside the configuration's time that is cut by the server's own, fixed one.
func TestTimeOfAHeadIsTheConfigurations(t *testing.T) {
	is := is.New(t)
	g := startGuarded(t, Limits{HeaderTimeout: patience}, flood.Limits{}, func(s *http.Server) { s.ReadHeaderTimeout = 100 * time.Millisecond })
	conn := g.dial(t)
	for _, part := range []string{"GET / HT", "TP/1.1\r\nHost: h\r\n"} {
		_, err := io.WriteString(conn, part)
		is.NoErr(err)
		time.Sleep(200 * time.Millisecond)
	}
	status, _ := exchange(conn, "\r\n")
	is.Equal(status, http.StatusOK)
}

// BenchmarkKeptConnection measures an ordinary request on a kept connection with and without a guard.
func BenchmarkKeptConnection(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // a failed read fails the request below
		_, _ = w.Write([]byte("ok"))
	})
	for _, name := range []string{"plain", "guarded"} {
		b.Run(name, func(b *testing.B) {
			server := &http.Server{Handler: handler}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			addr := listener.Addr().String()
			if name == "guarded" {
				guard := New(Options{Listener: "b", Flood: flood.Limits{Conns: 100, HeadCost: 1 << 20}, Metrics: NewMetrics(prometheus.NewRegistry()), Logger: log.New(io.Discard)})
				guard.Protect(server)
				listener = guard.Listener(listener)
			}
			go func() { _ = server.Serve(listener) }()
			b.Cleanup(func() { _ = server.Close() })
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			request := "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 0123456789abcdef\r\nX-Deadline-Ms: 1500\r\nX-Model: m\r\nContent-Length: 4\r\n\r\nbody"
			reader := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(conn, request); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body) // a failed read fails the next response
			}
		})
	}
}
