package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"
)

// Clients that do not behave, beside the others of a run.
const (
	// badConns bounds their open connections.
	badConns = 150
	// badInterval is the pause between two of their actions.
	badInterval = 5 * time.Millisecond
	// badMemoryMB is the memory of the instances' machines in a run with such clients.
	badMemoryMB = 136
	// maxBadBytes bounds the bodies that they state, badPart what they send at a time.
	maxBadBytes = 4 << 20
	badPart     = 256 << 10
	// badTimeout ends a write to an instance that reads no more.
	badTimeout = 50 * time.Millisecond
)

// badClient is a connection whose request does not end.
type badClient struct {
	conn net.Conn
	// part is what is sent again and again, left how many bytes of it. The last ones are never sent.
	part string
	left int
}

// runBadClients opens connections with heads, bodies and chunks that do not end, sends on them, also after signals, until their instance
// has gone, and leaves their answers unread. It returns when stop is closed.
func runBadClients(f *fleet, obs *observations, seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, 6))
	var open []*badClient
	defer func() {
		for _, c := range open {
			_ = c.conn.Close()
		}
	}()
	n := 0
	every(stop, badInterval, func() {
		if len(open) < badConns {
			n++
			if c := openBadClient(f.processes[rng.IntN(len(f.processes))].addr, n, rng); c != nil {
				open = append(open, c)
			}
			obs.count("bad clients")
			return
		}
		i := rng.IntN(len(open))
		if c := open[i]; !c.sendMore() {
			_ = c.conn.Close()
			open = append(open[:i], open[i+1:]...)
		}
	})
}

// openBadClient opens a connection and sends the start of a request. It returns nil if the instance cannot be reached.
func openBadClient(addr string, n int, rng *rand.Rand) *badClient {
	conn, err := net.DialTimeout("tcp", addr, badTimeout)
	if err != nil {
		return nil
	}
	path := []string{"/plain/bad", "/once/bad", "/jobs/bad"}[rng.IntN(3)]
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: bad-%d\r\n", path, host, n)
	c := &badClient{conn: conn, left: 1 + rng.IntN(maxBadBytes)}
	switch rng.IntN(5) {
	case 0:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", c.left+1)
		c.part = strings.Repeat("b", badPart)
	case 1:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		c.part = fmt.Sprintf("%x\r\n%s\r\n", badPart, strings.Repeat("b", badPart))
	case 2:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		c.part = strings.Repeat("1\r\nb\r\n", badPart/6)
	case 3:
		c.part = "X-Long: " + strings.Repeat("a", badPart)
	default:
		head, c.part = "", strings.Repeat("\r\n", badPart/2)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(badTimeout))
	if _, err := conn.Write([]byte(head)); err != nil {
		_ = conn.Close()
		return nil
	}
	return c
}

// sendMore sends a part of what is left. It returns false when the connection has ended, or takes no more.
func (c *badClient) sendMore() bool {
	size := min(c.left, len(c.part))
	if size == 0 {
		return true // it stops short, and stays open
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(badTimeout))
	sent, err := c.conn.Write([]byte(c.part[:size]))
	c.left -= sent
	return err == nil
}

// checkMachines checks that no instance has taken more memory since its last start than its machine has.
func (o *observations) checkMachines(f *fleet) {
	for _, p := range f.processes {
		p.mu.Lock()
		command := p.command
		p.mu.Unlock()
		if command == nil {
			o.addViolation("%s has ended", p.id)
			continue
		}
		peak, err := residentPeakKB(command.Process.Pid)
		if err != nil {
			o.addViolation("%s: %v", p.id, err)
		} else if peak > badMemoryMB<<10 {
			o.addViolation("%s has taken %d kB of %d MB", p.id, peak, badMemoryMB)
		}
	}
}

// residentPeakKB returns the peak of a process's resident memory in kilobytes.
func residentPeakKB(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		var kb int
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kb); err == nil {
			return kb, nil
		}
	}
	return 0, fmt.Errorf("process %d has no VmHWM", pid)
}
