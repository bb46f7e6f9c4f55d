package httpguard

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/flood"
	"github.com/cicadasill/cicadasill/intake"
)

// largeAnswer is larger than what the operating system holds of an answer that is not read.
var largeAnswer = strings.Repeat("0123456789abcdef", 1<<20)

// startAnswering starts a server that answers each request with largeAnswer. It returns its address, its guard, and the errors of
// the writes.
func startAnswering(t *testing.T, bounds flood.Limits, memory *intake.Memory, idle time.Duration) (addr string, guard *Guard, written <-chan error) {
	t.Helper()
	errs := make(chan error, 10)
	guard = New(Options{
		Listener: "test", Flood: bounds, Answers: memory, Limits: func() Limits { return Limits{IdleTimeout: idle} },
		Metrics: NewMetrics(prometheus.NewRegistry()), Logger: log.New(io.Discard),
	})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, largeAnswer)
		errs <- err
	})}
	guard.Protect(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(guard.Listener(listener)) })
	t.Cleanup(func() { _ = server.Close(); wg.Wait() })
	return listener.Addr().String(), guard, errs
}

// ask sends a request and reads nothing.
func ask(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return conn
}

// Guards against a large answer that changes, or ends early, on its way to a client that reads it, and against a connection that
// cannot be used after it.
func TestLargeAnswerArrivesWhole(t *testing.T) {
	is := is.New(t)
	memory := intake.New(intake.Options{Limits: flood.MemoryLimits{Large: 1 << 20, StallTime: time.Hour}}) // less than the answer
	addr, _, written := startAnswering(t, flood.Limits{}, memory, time.Minute)
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for range 2 {
		response, err := client.Get("http://" + addr)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		_ = response.Body.Close()
		is.True(string(body) == largeAnswer)
		is.NoErr(<-written)
	}
	is.Equal(memory.Used(), int64(0))
}

// Guards against answers that are never read and hold their memory and their connection for good.
func TestUnreadAnswerEnds(t *testing.T) {
	is := is.New(t)
	addr, guard, written := startAnswering(t, flood.Limits{}, intake.Unbounded(), 200*time.Millisecond)
	ask(t, addr)
	is.True(<-written != nil)
	eventually(t, "the connection has ended", func() bool { open, _ := guard.usage(); return open == 0 })
}

// Guards against an unread answer that keeps its memory while others need it.
func TestUnreadAnswerGivesWay(t *testing.T) {
	is := is.New(t)
	memory := intake.New(intake.Options{Limits: flood.MemoryLimits{Large: int64(len(largeAnswer)), StallTime: time.Hour}})
	addr, _, written := startAnswering(t, flood.Limits{}, memory, time.Minute)
	for range 3 { // the one that has been unread for longest ends
		ask(t, addr)
	}
	is.True(<-written != nil)
	is.True(<-written != nil)
	eventually(t, "one answer is held", func() bool { return memory.Used() == int64(len(largeAnswer)) })
}

// Guards against clients that read nothing and keep others from being served.
func TestUnreadAnswerMakesRoomForANewcomer(t *testing.T) {
	is := is.New(t)
	addr, _, written := startAnswering(t, flood.Limits{Conns: 1}, nil, time.Minute)
	ask(t, addr)
	eventually(t, "a newcomer is served", func() bool { // once the connection counts as waiting for its client
		response, err := http.Get("http://" + addr)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		size, err := io.Copy(io.Discard, response.Body)
		return err == nil && size == int64(len(largeAnswer))
	})
	is.True(<-written != nil)
	is.NoErr(<-written)
}
