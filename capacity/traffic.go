// Package capacity measures what the control plane costs as the number of instances, back
// ends and release notes grows, and derives the cost at a given size from the slopes.
// Everything runs in one process over loopback, with stand-ins of the platform.
package capacity

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Target is the kind of server that an instance's traffic goes to.
type Target string

// Kinds of servers.
const (
	TargetPeers    Target = "peers"
	TargetLog      Target = "log"
	TargetList     Target = "list"
	TargetBackends Target = "backends"
)

// Targets lists all kinds.
func Targets() []Target { return []Target{TargetPeers, TargetLog, TargetList, TargetBackends} }

// traffic counts the bytes of all connections that the instances open, by target.
type traffic struct {
	mu    sync.Mutex
	kinds map[string]Target
	bytes map[Target]*atomic.Int64
}

func newTraffic() *traffic {
	t := &traffic{kinds: map[string]Target{}, bytes: map[Target]*atomic.Int64{}}
	for _, target := range Targets() {
		t.bytes[target] = &atomic.Int64{}
	}
	return t
}

// register says what listens at addr. An address that is not registered counts as a peer.
func (t *traffic) register(addr string, target Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kinds[addr] = target
}

func (t *traffic) targetOf(addr string) Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	if target, ok := t.kinds[addr]; ok {
		return target
	}
	return TargetPeers
}

// dial opens a connection whose bytes are counted in both directions.
func (t *traffic) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, bytes: t.bytes[t.targetOf(addr)]}, nil
}

// perNode returns the bytes that an average node has sent and received so far, by target.
// A byte between peers is sent by one node and received by another, so it counts twice.
func (t *traffic) perNode(nodes int) map[Target]float64 {
	out := map[Target]float64{}
	for target, count := range t.bytes {
		total := float64(count.Load())
		if target == TargetPeers {
			total *= 2
		}
		out[target] = total / float64(nodes)
	}
	return out
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
