package httpplatform

import (
	"net"
	"sync"
	"time"
)

// conn counts the bytes handed to a connection, so that a failed request can be judged.
type conn struct {
	net.Conn
	onClose func(*conn)

	mu       sync.Mutex
	handed   int64 // bytes handed to the connection, including a write in progress
	sealed   bool
	heard    time.Time // time of the last byte from the other side
	closeOne sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.heard = time.Now()
		c.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.handed += int64(len(b))
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if n < len(b) {
		c.mu.Lock()
		c.handed -= int64(len(b) - n)
		c.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOne.Do(func() { c.onClose(c) })
	return c.Conn.Close()
}

// seal forbids further writes and closes the connection. It reports whether more than
// start bytes were handed over. Sealing first matters: the transport's write goroutine may
// still be about to write when the request has already failed.
func (c *conn) seal(start int64) bool {
	c.mu.Lock()
	c.sealed = true
	sent := c.handed > start
	c.mu.Unlock()
	_ = c.Close()
	return sent
}

func (c *conn) handedBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handed
}

func (c *conn) quietFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.heard)
}
