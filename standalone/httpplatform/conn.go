package httpplatform

import (
	"net"
	"sync"
	"time"
)

// conn counts the bytes written to a connection, so that the client can tell whether a failed
// request may have reached the server.
type conn struct {
	net.Conn
	onClose func(*conn)

	mu        sync.Mutex
	written   int64 // bytes passed to the connection, including a write in progress
	sealed    bool
	lastRead  time.Time // time of the last received byte; the time of opening before that
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.lastRead = time.Now()
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
	c.written += int64(len(b))
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if n < len(b) {
		c.mu.Lock()
		c.written -= int64(len(b) - n)
		c.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { c.onClose(c) })
	return c.Conn.Close()
}

// seal forbids further writes, closes the connection and reports whether more than
// writtenBefore bytes were written. Writes are forbidden before the count is read, because the
// transport's write goroutine may still be about to write when the request has already failed.
func (c *conn) seal(writtenBefore int64) bool {
	c.mu.Lock()
	c.sealed = true
	sent := c.written > writtenBefore
	c.mu.Unlock()
	_ = c.Close()
	return sent
}

func (c *conn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

func (c *conn) sinceLastRead() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastRead)
}
