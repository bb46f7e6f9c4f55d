// Package capacity measures what control costs each node as the number of instances, of back ends and of
// records in the control stream grows, and extrapolates the cost to larger sizes with linear fits. It serves
// the command "cicadasill capacity". The instances and the stand-ins of the platform run in one process and
// communicate over loopback.
package capacity

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Target is a kind of server with which instances exchange traffic.
type Target string

// Kinds of servers.
const (
	TargetPeers    Target = "peers"
	TargetLog      Target = "log"
	TargetList     Target = "list"
	TargetBackends Target = "backends"
)

// Targets returns all kinds of servers.
func Targets() []Target { return []Target{TargetPeers, TargetLog, TargetList, TargetBackends} }

// traffic counts the bytes of all connections that the instances open, by target.
type traffic struct {
	mu      sync.Mutex
	targets map[string]Target
	bytes   map[Target]*atomic.Int64
}

func newTraffic() *traffic {
	t := &traffic{targets: map[string]Target{}, bytes: map[Target]*atomic.Int64{}}
	for _, target := range Targets() {
		t.bytes[target] = &atomic.Int64{}
	}
	return t
}

// register sets the kind of the server at addr. A server that is not registered counts as a peer.
func (t *traffic) register(addr string, target Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.targets[addr] = target
}

func (t *traffic) targetOf(addr string) Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	if target, ok := t.targets[addr]; ok {
		return target
	}
	return TargetPeers
}

// dial opens a connection whose bytes are counted in both directions under the target of addr.
func (t *traffic) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, bytes: t.bytes[t.targetOf(addr)]}, nil
}

// perNode returns the mean number of bytes that a node has sent and received so far, by target. Bytes between
// peers count twice, since one node sends and another receives them but only the dialling side counts them.
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

// countedConn is a connection that counts the bytes read and written.
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
