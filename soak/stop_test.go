package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// stopConfig has routes of all kinds, with and without a timeout.
const stopConfig = `{"version":2,"routes":[
{"name":"plain","host":"soak.example","path_prefix":"/plain/","type":"idempotent","timeout_ms":2000,"slo_ms":150,"service":"desk","attempts":2},
{"name":"once","host":"soak.example","path_prefix":"/once/","type":"non_idempotent","timeout_ms":2000,"slo_ms":150,"service":"desk","attempts":1},
{"name":"long","host":"soak.example","path_prefix":"/long/","type":"non_idempotent","slo_ms":150,"service":"desk","attempts":1},
{"name":"stream","host":"soak.example","path_prefix":"/stream/","type":"streaming","slo_ms":150,"service":"desk","attempts":1},
{"name":"jobs","host":"soak.example","path_prefix":"/jobs/","type":"rollout","timeout_ms":10000,"slo_ms":500,"service":"llm","attempts":3,"keep_s":300,"run_slo_ms":7500,"resumable":true}],
"services":[{"name":"desk","max_conns":90},{"name":"llm","max_conns":90,"engine":{"slots":4,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":10000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// stopExchange is a request around a planned stop, and its answer.
type stopExchange struct {
	id, kind string
	sent     time.Duration // after SIGTERM
	ended    time.Duration
	status   int
	err      error
	begun    bool // a part of the answer has arrived
}

// stopClient sends requests one after another on a connection that it keeps, and opens another one when it must.
type stopClient struct {
	addr string
	conn net.Conn
	r    *bufio.Reader
}

// send sends a request and reads its answer. It fails with a dial error if no connection can be opened.
func (c *stopClient) send(e *stopExchange, path string, header http.Header) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			e.err = err
			return
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nContent-Length: 1\r\n", path, host, e.id)
	_ = header.Write(&b)
	b.WriteString("\r\nx")
	var response *http.Response
	_, e.err = io.WriteString(c.conn, b.String())
	if e.err == nil {
		response, e.err = http.ReadResponse(c.r, nil)
	}
	if e.err == nil {
		e.begun, e.status = true, response.StatusCode
		_, e.err = io.Copy(io.Discard, response.Body)
	}
	if e.err != nil || response.Close {
		c.close()
	}
}

func (c *stopClient) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Guards against requests that a process passes on in the grace time after SIGTERM and cuts without an answer at its end.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	binary := filepath.Join(dir, "cicadasilld")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/cicadasilld").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	f, err := newFleet(dir, binary, 2, 1, memoryMB)
	defer f.close()
	is.NoErr(err)
	f.store.PutConfig([]byte(stopConfig))
	stopBackground := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { every(stopBackground, entryInterval, f.publishEntries) })
	defer background.Wait()
	defer close(stopBackground)
	is.True(waitReady(f))
	for _, e := range f.deskEngines {
		e.Delay = 20 * time.Millisecond
		e.SetAnswer(func(id string, _ int) hostedtest.Answer {
			if strings.HasPrefix(id, "silent") {
				return hostedtest.Silent
			}
			return hostedtest.Complete
		})
	}
	kinds := []struct {
		name, path string
		header     http.Header
	}{
		{"plain", "/plain/1", nil},
		{"once", "/once/1", nil},
		{"once, 500 ms", "/once/1", http.Header{"X-Deadline-Ms": {"500"}}},
		{"long", "/long/1", nil},
		{"long, 60 s", "/long/1", http.Header{"X-Deadline-Ms": {"60000"}}},
		{"stream", "/stream/1", http.Header{"X-Model": {"m"}}},
		{"stream, 1 s", "/stream/1", http.Header{"X-Model": {"m"}, "X-Deadline-Ms": {"1000"}}},
	}
	p := f.processes[0]
	start := time.Now().Add(500 * time.Millisecond) // of the stop
	var (
		mu   sync.Mutex // guards all
		all  []*stopExchange
		work sync.WaitGroup
	)
	for n, kind := range kinds {
		for late, speed := range map[time.Duration]string{0: "quick", -300 * time.Millisecond: "silent", time.Second: "silent", 2200 * time.Millisecond: "silent"} {
			work.Go(func() {
				c := &stopClient{addr: p.addr}
				defer c.close()
				first := &stopExchange{id: fmt.Sprintf("first-%d-%v", n, late), kind: "first", sent: time.Since(start)}
				c.send(first, "/plain/first", nil)
				if speed == "silent" {
					time.Sleep(time.Until(start.Add(late)))
				}
				for i := 0; time.Since(start) < gracePeriod; i++ {
					e := &stopExchange{id: fmt.Sprintf("%s-%d-%d-%v", speed, n, i, late), kind: kind.name + ", " + speed, sent: time.Since(start)}
					c.send(e, kind.path, kind.header.Clone())
					e.ended = time.Since(start)
					mu.Lock()
					all = append(all, e)
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(time.Until(start))
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-exited:
		t.Logf("the process ended after %v", time.Since(start))
	case <-time.After(gracePeriod):
		t.Error("the process has not ended in the grace time")
	}
	work.Wait()
	ran := map[string]bool{}
	for _, e := range f.deskEngines {
		for _, run := range e.Runs() {
			ran[run.ID] = true
		}
	}
	counts := map[string]int{}
	servedInStop := 0
	for _, e := range all {
		var dial *net.OpError
		switch {
		case errors.As(e.err, &dial) && dial.Op == "dial":
			continue
		case e.err != nil && ran[e.id] && !e.begun:
			t.Errorf("%s sent at %v ran and was cut at %v: %v", e.kind, e.sent, e.ended, e.err)
		case e.err != nil:
			counts["ended without an answer, not run"]++
		case ran[e.id] && (e.status == http.StatusServiceUnavailable || e.status == http.StatusTooManyRequests):
			t.Errorf("%s sent at %v ran and was refused with %d", e.kind, e.sent, e.status)
		case e.sent > 0:
			counts[fmt.Sprint(e.status)]++
			if e.status == http.StatusOK {
				servedInStop++
			}
		}
	}
	t.Logf("after SIGTERM: %v", counts)
	is.True(servedInStop > 0) // a stopping instance goes on serving what ends in time
}
