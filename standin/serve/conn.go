package serve

import (
	"net"
	"sync/atomic"
)

// listener registers the accepted connections with the server.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, server: l.server}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	c.silent.Store(l.server.silent)
	l.server.conns[c] = struct{}{}
	return c, nil
}

// conn is a connection that can be silenced permanently: it stays open but carries no data.
type conn struct {
	net.Conn
	server *Server
	silent atomic.Bool
}

func (c *conn) silence() { c.silent.Store(true) }

// Read implements net.Conn. It discards what arrives on a silent connection, so that requests
// on it never run.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.silent.Load() || err != nil {
			return n, err
		}
	}
}

// Write implements net.Conn. It discards what is written to a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}
