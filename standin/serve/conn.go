package serve

import (
	"net"
	"sync/atomic"
)

type listener struct {
	net.Listener
	s *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, s: l.s}
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	c.silent.Store(l.s.silent)
	l.s.conns[c] = struct{}{}
	return c, nil
}

// conn is a connection that can go silent for good.
type conn struct {
	net.Conn
	s      *Server
	silent atomic.Bool
}

func (c *conn) silence() { c.silent.Store(true) }

// Read discards what arrives on a silent connection, so that its requests never run.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.silent.Load() || err != nil {
			return n, err
		}
	}
}

// Write loses what is written on a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.s.mu.Lock()
	delete(c.s.conns, c)
	c.s.mu.Unlock()
	return c.Conn.Close()
}
