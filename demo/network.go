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

// network knows which address belongs to which node. All connections of the demonstration
// are dialled through it, so that it can cut regions, end processes and count bytes. It adds
// no latency.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node // by address
	conns map[*conn]struct{}
	cut   bool
	bytes map[pair]*atomic.Int64
}

// pair is a direction of traffic from the dialling side's point of view.
type pair struct {
	from, to    nodeKind
	crossRegion bool
}

func newNetwork() *network {
	return &network{nodes: map[string]*node{}, conns: map[*conn]struct{}{}, bytes: map[pair]*atomic.Int64{}}
}

func (n *network) register(addr string, who *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[addr] = who
}

// dialer returns the DialContext of a process. Nobody can dial to or from a process that is
// down, and between separated regions a dial waits until its deadline, as packets are lost.
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
		c := &conn{Conn: inner, n: n, from: from, to: to}
		n.mu.Lock()
		defer n.mu.Unlock()
		c.sent, c.received = n.counter(c), n.counter(c)
		c.silent.Store(n.separated(from, to))
		n.conns[c] = struct{}{}
		return c, nil
	}
}

// otherRegion reports whether connections from w to the other node use the link between
// regions. Callers reach both regions over other ways, and the platform has an instance list in
// each region.
func (w *node) otherRegion(to *node) bool {
	return to != nil && w.kind != clientNode && to.kind != listNode && w.zone.Region != to.zone.Region
}

func (n *network) separated(from, to *node) bool {
	return n.cut && from.otherRegion(to)
}

func (n *network) counter(c *conn) *atomic.Int64 {
	p := pair{from: c.from.kind}
	if c.to != nil {
		p.to, p.crossRegion = c.to.kind, c.from.zone.Region != c.to.zone.Region
	}
	if n.bytes[p] == nil {
		n.bytes[p] = &atomic.Int64{}
	}
	return n.bytes[p]
}

// total returns the bytes of all connections that match.
func (n *network) total(match func(p pair) bool) int64 {
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

// setCut cuts the link between regions. Connections over it go silent; when the link is back
// they are closed, as by the retransmission that then fails.
func (n *network) setCut(on bool) {
	n.mu.Lock()
	n.cut = on
	var dead []*conn
	for c := range n.conns {
		if !c.from.otherRegion(c.to) {
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

// kill resets every connection of a process and forbids new ones until revive.
func (n *network) kill(who *node) {
	who.down.Store(true)
	n.mu.Lock()
	var dead []*conn
	for c := range n.conns {
		if c.from == who || c.to == who {
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

// conn is a connection of the demonstration.
type conn struct {
	net.Conn
	n              *network
	from, to       *node
	silent         atomic.Bool
	sent, received *atomic.Int64
}

// Read discards what arrives while the connection is silent.
func (c *conn) Read(b []byte) (int, error) {
	for {
		k, err := c.Conn.Read(b)
		c.received.Add(int64(k))
		if !c.silent.Load() || err != nil {
			return k, err
		}
	}
}

// Write loses what is written while the connection is silent.
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
	c.n.mu.Lock()
	delete(c.n.conns, c)
	c.n.mu.Unlock()
	return c.Conn.Close()
}

// crossRegionBytes sums what engines sent to engines of other regions, by kind.
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

// waitUntil polls ok until it holds or ctx ends.
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
