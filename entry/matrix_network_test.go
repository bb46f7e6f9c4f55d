package entry_test

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
)

// point is a place in the traffic of the instances at which a step is reached: the bytes that
// one of them is about to write or has just read.
type point struct {
	bytes string
	read  bool
	by    string // the instance, empty for any
	pass  func() // called when the point is passed, if set
}

// trigger calls reach once, with the instance at the last of its points, when the points have
// been passed in their order. The bytes of a write go out after reach has returned.
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

func (g *trigger) saw(instance string, data []byte, read bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.points) == 0 {
		return
	}
	p := g.points[0]
	if p.read != read || (p.by != "" && p.by != instance) || !bytes.Contains(data, []byte(p.bytes)) {
		return
	}
	if p.pass != nil {
		p.pass()
	}
	if g.points = g.points[1:]; len(g.points) == 0 {
		g.reach(instance)
	}
}

// watched is a connection whose traffic passes a trigger.
type watched struct {
	net.Conn
	instance string
	trigger  *trigger
}

func (c *watched) Write(p []byte) (int, error) {
	c.trigger.saw(c.instance, p, false)
	return c.Conn.Write(p)
}

func (c *watched) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.trigger.saw(c.instance, p[:n], true)
	}
	return n, err
}

// dialer returns the DialContext function of an instance. Its end is named "id@region".
func (w *world) dialer(id, region string) func(context.Context, string, string) (net.Conn, error) {
	dial := w.net.Dialer(id + "@" + region)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &watched{Conn: c, instance: id, trigger: &w.trigger}, nil
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
