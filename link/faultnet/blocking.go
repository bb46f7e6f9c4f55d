package faultnet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// BlockingDialer returns a DialContext function. While blocked is set, its connections to addr, or to any address if addr is
// empty, take no bytes: a write waits until the connection is closed.
func BlockingDialer(addr string, blocked *atomic.Bool) func(ctx context.Context, network, to string) (net.Conn, error) {
	return func(ctx context.Context, network, to string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, to)
		if err != nil || (addr != "" && to != addr) {
			return c, err
		}
		return &blockingConn{Conn: c, blocked: blocked, closed: make(chan struct{})}, nil
	}
}

// blockingConn is a connection whose writes wait for its end once blocked is set.
type blockingConn struct {
	net.Conn
	blocked *atomic.Bool
	once    sync.Once
	closed  chan struct{}
}

// Write implements net.Conn.
func (c *blockingConn) Write(p []byte) (int, error) {
	if c.blocked.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *blockingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
