// Package netend tells the proper end of a TCP connection from its loss.
//
// The kernel reports the loss of a connection once, to whichever call asks first. If that is a write, a later read returns the same
// as after a proper end. Protocols in which the end of a connection is the end of a message, such as HTTP answers without a length,
// then take the beginning of a message for the whole.
package netend

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is a connection whose reads fail if it was lost, also if a write has been told of that.
type conn struct {
	net.Conn
	// writing is held during each write.
	writing sync.Mutex
	lost    error // by which a write has failed, if it shows that the connection was lost; writing guards it
}

// Wrap returns a connection whose Read returns io.EOF only after the other side has ended the connection properly. Bytes that have
// arrived before a loss are still read. After io.EOF, writes may fail with os.ErrDeadlineExceeded.
func Wrap(c net.Conn) net.Conn { return &conn{Conn: c} }

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	if err != nil && c.lost == nil && showsLoss(err) {
		c.lost = err
	}
	return n, err
}

// showsLoss reports whether a write failed because the connection was lost. EPIPE is the error of a write after the other side has
// ended the connection properly, or after the loss was reported.
func showsLoss(err error) bool {
	return !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if lost := c.lossSeenByWrites(); lost != nil {
		return n, lost
	}
	return n, err
}

// lossSeenByWrites returns the loss of the connection that a write has been told of, or nil. It ends a write that waits: after a
// proper end, the other side may never read on.
func (c *conn) lossSeenByWrites() error {
	if err := c.Conn.SetWriteDeadline(time.Now()); err != nil {
		_ = c.Conn.Close() // nothing may be waited for then
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.lost
}
