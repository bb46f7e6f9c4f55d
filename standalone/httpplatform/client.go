package httpplatform

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// client holds the transports and connections that one platform client uses.
type client struct {
	opts Options
	// invalidStatus bounds the log lines about answers without a status.
	invalidStatus rate.Sometimes

	mu           sync.Mutex
	current      *http.Transport // replaced every MaxConnAge, so that its connections get no older
	currentSince time.Time
	old          []*http.Transport             // replaced transports whose last answers may still be read
	fresh        *http.Transport               // opens a connection for every request
	conns        map[string]map[*conn]struct{} // open connections by address
}

// maxOldTransports bounds the number of replaced transports that are kept until their last
// answers have been read.
const maxOldTransports = 4

// invalidStatusInterval is the shortest time between two log lines about answers without a status.
const invalidStatusInterval = time.Second

// maxHeadBytes bounds the head of an answer, informational ones included.
const maxHeadBytes = 64 << 10

func newClient(opts Options) *client {
	c := &client{opts: opts.withDefaults(), invalidStatus: rate.Sometimes{Interval: invalidStatusInterval}, conns: map[string]map[*conn]struct{}{}}
	c.current, c.currentSince = c.newTransport(false), time.Now()
	c.fresh = c.newTransport(true)
	return c
}

func (c *client) newTransport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:         c.dial,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		IdleConnTimeout:     c.opts.IdleTimeout,
		MaxIdleConnsPerHost: DefaultMaxIdlePerHost,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// dial opens a connection within ConnectTimeout and registers it.
func (c *client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ConnectTimeout)
	defer cancel()
	inner, err := c.opts.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	w := &conn{Conn: inner, lastRead: time.Now(), onClose: func(w *conn) { c.removeConn(addr, w) }}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[addr] == nil {
		c.conns[addr] = map[*conn]struct{}{}
	}
	c.conns[addr][w] = struct{}{}
	return w, nil
}

func (c *client) removeConn(addr string, w *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns[addr], w)
	if len(c.conns[addr]) == 0 {
		delete(c.conns, addr)
	}
}

// transport returns the transport for a new request. It replaces the current one if that is
// older than MaxConnAge.
func (c *client) transport(fresh bool) *http.Transport {
	if fresh {
		return c.fresh
	}
	c.mu.Lock()
	var retired []*http.Transport
	if time.Since(c.currentSince) > c.opts.MaxConnAge {
		retired = append(c.old, c.current)
		c.old = retired[max(0, len(retired)-maxOldTransports):]
		c.current, c.currentSince = c.newTransport(false), time.Now()
	}
	t := c.current
	c.mu.Unlock()
	for _, old := range retired { // without the lock, because closing a connection acquires it
		old.CloseIdleConnections()
	}
	return t
}

// hasOnlyStaleConns reports whether connections to addr exist and none of them has received a
// byte within ProbeIdleAfter.
func (c *client) hasOnlyStaleConns(addr string) bool {
	c.mu.Lock()
	conns := make([]*conn, 0, len(c.conns[addr]))
	for w := range c.conns[addr] {
		conns = append(conns, w)
	}
	c.mu.Unlock()
	for _, w := range conns {
		if w.sinceLastRead() < c.opts.ProbeIdleAfter {
			return false
		}
	}
	return len(conns) > 0
}

// Close closes all connections. Requests in flight fail.
func (c *client) Close() {
	c.mu.Lock()
	transports := append([]*http.Transport{c.current, c.fresh}, c.old...)
	var conns []*conn
	for _, set := range c.conns {
		for w := range set {
			conns = append(conns, w)
		}
	}
	c.mu.Unlock()
	for _, w := range conns {
		_ = w.Close()
	}
	for _, t := range transports {
		t.CloseIdleConnections()
	}
}
