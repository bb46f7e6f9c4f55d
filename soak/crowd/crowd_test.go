package crowd

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// The crowd.
const (
	// crowdConns is the number of connections of a crowd.
	crowdConns = 300
	// silentConns is the number of connections of a crowd that sends nothing. It is above maxFDs.
	silentConns = 1000
	// crowdBytes is what each connection sends at most.
	crowdBytes = 4 << 20
	// writeTimeout ends a write to a process that reads no more.
	writeTimeout = 5 * time.Second
	// chunkBytes is the size of one write.
	chunkBytes = 16 << 10
)

// crowd is a kind of client beyond the limits.
type crowd struct {
	name  string
	conns int
	// first is what each connection sends first; more returns the n-th chunk after it, empty to send no more.
	first string
	more  func(n int) string
}

// repeat returns chunks of text up to crowdBytes.
func repeat(text string) func(int) string {
	chunk := strings.Repeat(text, chunkBytes/len(text))
	return func(n int) string {
		if n*chunkBytes >= crowdBytes {
			return ""
		}
		return chunk
	}
}

const requestHead = "POST /plain/x HTTP/1.1\r\nHost: crowd.example\r\n"

// heldHeadBytes is the size of a head within the limit that never ends.
const heldHeadBytes = maxHeaderBytes - 1024

var crowds = []crowd{
	{name: "field without end", conns: crowdConns, first: requestHead + "X-Long: ", more: repeat("a")},
	{name: "fields without end", conns: crowdConns, first: requestHead, more: func(n int) string {
		if n*chunkBytes >= crowdBytes {
			return ""
		}
		return numberedFields(n, chunkBytes)
	}},
	{name: "empty lines without end", conns: crowdConns, more: repeat("\r\n")},
	{name: "request line without end", conns: crowdConns, first: "GET /", more: repeat("a")},
	{name: "trailers without end", conns: crowdConns, first: requestHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", more: repeat("X-Trailer: a\r\n")},
	{name: "chunk size without end", conns: crowdConns, first: requestHead + "Transfer-Encoding: chunked\r\n\r\n", more: repeat("0")},
	{name: "unfinished heads within the limit", conns: silentConns, first: requestHead + numberedFields(0, heldHeadBytes), more: func(int) string { return "" }},
	{name: "bodies that do not come", conns: silentConns, first: requestHead + "Content-Length: 10\r\n\r\n", more: func(int) string { return "" }},
	{name: "silent", conns: silentConns, more: func(int) string { return "" }},
}

// numberedFields returns different header fields of about the given size.
func numberedFields(n, size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "x%d-%d:\r\n", n, i)
	}
	return b.String()
}

// run opens the connections and sends on all of them until each has sent everything or was refused. It returns a function
// that closes them.
func (c crowd) run(addr string) func() {
	return closeAll(openAll(addr, c.conns, func(_ int, conn net.Conn) {
		text := c.first
		for n := 0; ; n++ {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := conn.Write([]byte(text)); err != nil {
				return
			}
			if text = c.more(n); text == "" {
				return
			}
		}
	}))
}

// check runs each crowd against a port of a fresh process.
func check(t *testing.T, start func(*testing.T) *target, port string) {
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) {
			tg := start(t)
			stopWatch, most := watchDescriptors(tg.process)
			closeConns := c.run(tg.ports[port])
			defer closeConns()
			await(t, tg.process, "an ordinary request is answered after the crowd", func() bool { return tg.ordinary() == nil })
			peak, err := tg.peakMB()
			if err != nil {
				t.Fatal(err)
			}
			stopWatch()
			t.Logf("peak memory %.0f MB, most descriptors %d", peak, *most)
			if peak > memoryMB {
				t.Errorf("the process has taken %.0f MB; its machine has %d MB", peak, memoryMB)
			}
			if *most > maxFDs {
				t.Errorf("the process has had %d descriptors; the settings allow %d", *most, maxFDs)
			}
			if !tg.lives() {
				t.Errorf("the process has ended\n%s", tg.tail())
			}
		})
	}
}

// watchDescriptors polls the number of open descriptors until the returned function is called; then most holds the largest.
func watchDescriptors(p *process) (stop func(), most *int) {
	most = new(int)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			if n, err := p.descriptors(); err == nil {
				*most = max(*most, n)
			}
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return func() { close(done); <-ended }, most
}

// Guards against clients' heads, bodies and connections that end the process or keep ordinary callers from their answers.
func TestCrowdAtTheClientsPort(t *testing.T) { check(t, startHosted, "clients") }

// Guards against the same at the port of the readiness probes.
func TestCrowdAtTheReadinessPort(t *testing.T) { check(t, startHosted, "ready") }

// Guards against the same at the port of the metrics.
func TestCrowdAtTheMetricsPort(t *testing.T) { check(t, startHosted, "metrics") }

// Guards against the same at the port of the other instances.
func TestCrowdAtThePeersPort(t *testing.T) { check(t, startHosted, "peers") }

// Guards against the same at the callers' port of the system's own interface.
func TestCrowdAtTheOwnCallersPort(t *testing.T) { check(t, startOwn, "http") }

// Guards against the same at the operators' port of the system's own interface.
func TestCrowdAtTheOwnOperatorsPort(t *testing.T) { check(t, startOwn, "admin") }

// Guards against the same at the peers' port of the system's own interface.
func TestCrowdAtTheOwnPeersPort(t *testing.T) { check(t, startOwn, "peer") }
