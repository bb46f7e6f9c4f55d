package entry_test

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cicadasill/cicadasill/link/faultnet"
)

// point is a place in the traffic of the instances at which a step is reached: bytes that one
// end sends to another. Traffic is seen at the end that opened the connection, before a write
// and after a read.
type point struct {
	bytes    string
	from, to string // ids of the ends, empty for any
	pass     func() // called when the point is passed, if set
}

// logEnd is the id of the log among the ends.
const logEnd = "log"

// trigger calls reach once, with the instance at the last of its points, when the points have
// been passed in their order. The bytes of that point go on after reach has returned.
type trigger struct {
	mu     sync.Mutex
	points []point
	reach  func(instance string)
}

func (g *trigger) arm(points []point, reach func(instance string)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.points, g.reach = points, reach
}

func (g *trigger) saw(from, to string, data []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.points) == 0 {
		return
	}
	p := g.points[0]
	if (p.from != "" && p.from != from) || (p.to != "" && p.to != to) || !bytes.Contains(data, []byte(p.bytes)) {
		return
	}
	if p.pass != nil {
		p.pass()
	}
	if g.points = g.points[1:]; len(g.points) > 0 {
		return
	}
	if from == logEnd {
		from = to
	}
	g.reach(from)
}

// watched is a connection whose traffic passes a trigger.
type watched struct {
	net.Conn
	own, remote string
	trigger     *trigger
	dead        *atomic.Bool
}

// Write implements net.Conn. A killed instance sends nothing, so it cannot release its leases
// while its goroutines end.
func (c *watched) Write(p []byte) (int, error) {
	c.trigger.saw(c.own, c.remote, p)
	if c.dead.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *watched) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.dead.Load() {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.trigger.saw(c.remote, c.own, p[:n])
	}
	return n, err
}

// name gives the end at addr its id and region.
func (w *world) name(addr, id, region string) {
	w.net.Name(addr, id+"@"+region)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[addr] = id
}

// forget makes an address unreachable whose instance has ended. Cells run at once in one network,
// and the port of an ended instance may go to an instance of another cell's deployment.
func (w *world) forget(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.ends, addr)
}

// dialer returns the DialContext function of an instance. It reaches the ends of its own world
// until the instance is dead.
func (w *world) dialer(id, region string, dead *atomic.Bool) func(context.Context, string, string) (net.Conn, error) {
	dial := w.net.Dialer(id + "@" + region)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		w.mu.Lock()
		remote, known := w.ends[addr]
		w.mu.Unlock()
		if !known || dead.Load() {
			return nil, faultnet.ErrCut
		}
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &watched{Conn: c, own: id, remote: remote, trigger: &w.trigger, dead: dead}, nil
	}
}

// cuts holds the network faults of one cell.
type cuts struct {
	mu      sync.Mutex
	paused  map[string]bool
	regions bool
}

func (c *cuts) cut(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idA, regionA, _ := strings.Cut(a, "@")
	idB, regionB, _ := strings.Cut(b, "@")
	return c.paused[idA] || c.paused[idB] || (c.regions && regionA != regionB)
}

func (c *cuts) pause(id string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused[id] = on
}

func (c *cuts) cutRegions(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.regions = on
}
