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

// trafficMatch matches data that one endpoint sends to another. Traffic is observed at the endpoint
// that opened the connection, before a write and after a read.
type trafficMatch struct {
	contains string
	from, to string // ids of the endpoints, empty for any
	onMatch  func() // called when data matches, if set
}

// logEndpoint is the endpoint id of the log.
const logEndpoint = "log"

// trigger calls fire once, when its matches have occurred in their order. It passes the instance that
// sent the data of the last match, or received it from the log. That data is delivered only after fire
// has returned.
type trigger struct {
	mu      sync.Mutex
	matches []trafficMatch
	fire    func(instance string)
}

// arm sets the matches to wait for and the function to call.
func (t *trigger) arm(matches []trafficMatch, fire func(instance string)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.matches, t.fire = matches, fire
}

// observe compares data that is sent between two endpoints with the next match.
func (t *trigger) observe(from, to string, data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.matches) == 0 {
		return
	}
	next := t.matches[0]
	if (next.from != "" && next.from != from) || (next.to != "" && next.to != to) || !bytes.Contains(data, []byte(next.contains)) {
		return
	}
	if next.onMatch != nil {
		next.onMatch()
	}
	if t.matches = t.matches[1:]; len(t.matches) > 0 {
		return
	}
	if from == logEndpoint {
		from = to
	}
	t.fire(from)
}

// observedConn is a connection whose traffic a trigger observes.
type observedConn struct {
	net.Conn
	localID, remoteID string
	trigger           *trigger
	disconnected      *atomic.Bool
}

// Write implements net.Conn. A killed instance sends nothing, so that it cannot release its leases
// while its goroutines end.
func (c *observedConn) Write(p []byte) (int, error) {
	c.trigger.observe(c.localID, c.remoteID, p)
	if c.disconnected.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *observedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.disconnected.Load() {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.trigger.observe(c.remoteID, c.localID, p[:n])
	}
	return n, err
}

// nameEndpoint registers the id and region of the endpoint at addr.
func (c *cluster) nameEndpoint(addr, id, region string) {
	c.net.SetName(addr, id+"@"+region)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints[addr] = id
}

// removeEndpoint makes the address of an instance that has ended unreachable. Cells run concurrently on
// one host, and the port of an ended instance may be reused by an instance of another cell's cluster.
func (c *cluster) removeEndpoint(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.endpoints, addr)
}

// dialer returns the DialContext function of an instance. It reaches only the endpoints of its own
// cluster, and none once the instance is disconnected.
func (c *cluster) dialer(id, region string, disconnected *atomic.Bool) func(context.Context, string, string) (net.Conn, error) {
	dial := c.net.Dialer(id + "@" + region)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c.mu.Lock()
		remoteID, known := c.endpoints[addr]
		c.mu.Unlock()
		if !known || disconnected.Load() {
			return nil, faultnet.ErrCut
		}
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &observedConn{Conn: conn, localID: id, remoteID: remoteID, trigger: &c.trigger, disconnected: disconnected}, nil
	}
}

// networkFaults holds the network faults of one cell.
type networkFaults struct {
	mu         sync.Mutex
	paused     map[string]bool
	regionsCut bool
}

// isCut reports whether no traffic passes between two endpoints, which are named id@region.
func (f *networkFaults) isCut(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	idA, regionA, _ := strings.Cut(a, "@")
	idB, regionB, _ := strings.Cut(b, "@")
	return f.paused[idA] || f.paused[idB] || (f.regionsCut && regionA != regionB)
}

func (f *networkFaults) setPaused(id string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paused[id] = on
}

func (f *networkFaults) setRegionsCut(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regionsCut = on
}
