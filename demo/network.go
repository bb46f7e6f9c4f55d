package demo

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadasill/cicadasill/standin/engine"
	"github.com/cicadasill/cicadasill/zone"
)

// node is a process of the demonstration as the network sees it.
type node struct {
	name string
	kind nodeKind
	zone zone.Zone
	down atomic.Bool
}

type nodeKind string

const (
	entryNode   nodeKind = "entry"
	backendNode nodeKind = "backend"
	logNode     nodeKind = "log"
	listNode    nodeKind = "list"
	storeNode   nodeKind = "store"
	clientNode  nodeKind = "client"
)

// network maps addresses to nodes. All connections of the demonstration are dialled through it, so
// that it can cut the link between regions, end processes and count bytes. It adds no latency.
type network struct {
	mu        sync.Mutex
	nodes     map[string]*node // by address
	conns     map[*conn]struct{}
	regionCut bool
	bytes     map[trafficKey]*atomic.Int64
}

// trafficKey identifies the traffic between two kinds of node; from is the side that dialled.
type trafficKey struct {
	from, to    nodeKind
	crossRegion bool
}

func newNetwork() *network {
	return &network{nodes: map[string]*node{}, conns: map[*conn]struct{}{}, bytes: map[trafficKey]*atomic.Int64{}}
}

// register records which process listens at addr.
func (n *network) register(addr string, owner *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[addr] = owner
}

// dialer returns the DialContext of a process. A dial to or from a process that is down fails at
// once. A dial between separated regions waits until its context ends, as if its packets were lost.
func (n *network) dialer(from *node) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		n.mu.Lock()
		to := n.nodes[addr]
		separated := n.separated(from, to)
		n.mu.Unlock()
		switch {
		case from.down.Load(), to != nil && to.down.Load():
			return nil, &net.OpError{Op: "dial", Net: network, Err: net.ErrClosed}
		case separated:
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: network, Err: context.DeadlineExceeded}
		}
		inner, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, network: n, from: from, to: to}
		n.mu.Lock()
		defer n.mu.Unlock()
		c.sent, c.received = n.byteCounter(c), n.byteCounter(c)
		c.silent.Store(n.separated(from, to))
		n.conns[c] = struct{}{}
		return c, nil
	}
}

// usesRegionLink reports whether connections from n to the other node use the link between regions.
// Callers reach both regions by other routes, and the platform has an instance list in each region.
func (n *node) usesRegionLink(to *node) bool {
	return to != nil && n.kind != clientNode && to.kind != listNode && n.zone.Region != to.zone.Region
}

// separated reports whether the cut of the link separates two nodes. The caller holds n.mu.
func (n *network) separated(from, to *node) bool {
	return n.regionCut && from.usesRegionLink(to)
}

// byteCounter returns the counter for the traffic of a connection. The caller holds n.mu.
func (n *network) byteCounter(c *conn) *atomic.Int64 {
	p := trafficKey{from: c.from.kind}
	if c.to != nil {
		p.to, p.crossRegion = c.to.kind, c.from.zone.Region != c.to.zone.Region
	}
	if n.bytes[p] == nil {
		n.bytes[p] = &atomic.Int64{}
	}
	return n.bytes[p]
}

// totalBytes returns the bytes of all traffic that matches.
func (n *network) totalBytes(match func(p trafficKey) bool) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sum int64
	for p, b := range n.bytes {
		if match(p) {
			sum += b.Load()
		}
	}
	return sum
}

// setRegionCut cuts or restores the link between regions. Connections over a cut link go silent.
// They are closed when the link is restored, as if a retransmission had failed.
func (n *network) setRegionCut(on bool) {
	n.mu.Lock()
	n.regionCut = on
	var dead []*conn
	for c := range n.conns {
		if !c.from.usesRegionLink(c.to) {
			continue
		}
		if on {
			c.silent.Store(true)
		} else if c.silent.Load() {
			dead = append(dead, c)
		}
	}
	n.mu.Unlock()
	for _, c := range dead {
		_ = c.Close()
	}
}

// kill resets every connection of a process and prevents new ones. The process stays down; its
// replacement is another node.
func (n *network) kill(process *node) {
	process.down.Store(true)
	n.mu.Lock()
	var dead []*conn
	for c := range n.conns {
		if c.from == process || c.to == process {
			dead = append(dead, c)
		}
	}
	n.mu.Unlock()
	for _, c := range dead {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// conn is a connection that counts its bytes. While it is silent, it drops data both ways.
type conn struct {
	net.Conn
	network        *network
	from, to       *node
	silent         atomic.Bool
	sent, received *atomic.Int64
}

// Read reads from the connection. It discards what arrives while the connection is silent.
func (c *conn) Read(b []byte) (int, error) {
	for {
		k, err := c.Conn.Read(b)
		c.received.Add(int64(k))
		if !c.silent.Load() || err != nil {
			return k, err
		}
	}
}

// Write writes to the connection. It discards b while the connection is silent.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	k, err := c.Conn.Write(b)
	c.sent.Add(int64(k))
	return k, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// crossRegionBytes returns the bytes that engines sent to engines of other regions, by kind of
// transfer.
func crossRegionBytes(engines []*engine.Server, regionOf func(z string) string) map[string]int64 {
	out := map[string]int64{}
	for _, e := range engines {
		for k, n := range e.Transfers() {
			if regionOf(k.To) != regionOf(k.From) {
				out[k.Kind] += n
			}
		}
	}
	return out
}

// waitUntil polls ok until it returns true or ctx ends. It reports whether ok returned true.
func waitUntil(ctx context.Context, period time.Duration, ok func() bool) bool {
	t := time.NewTicker(period)
	defer t.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
	}
	return true
}
