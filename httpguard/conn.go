package httpguard

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/flood"
)

// Answers to heads beyond the limits. Clients read 408 as a promise that the request has not run, which holds: it is incomplete.
const (
	answerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	answerTooSlow  = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Errors of reads of a head. As errors of a read they make net/http close the connection without an answer of its own.
var (
	errHeadTooLarge = errors.New("the head is too large")
	errHeadTooSlow  = errors.New("the head took too long")
)

// lengthField is the start of the field that states the length of a body. net/http refuses a blank before the colon.
var lengthField = []byte("content-length:")

// maxFieldStart is how much of the start of a line is kept, as long as lengthField.
const maxFieldStart = 15

// conn is a client's connection. net/http calls Read from the goroutine that serves the connection, and from another one only
// while a request is being answered.
type conn struct {
	net.Conn
	guard *Guard
	entry *flood.Conn

	// inHead states that the bytes which arrive belong to a head, size and lines what has arrived of it.
	inHead      bool
	size, lines int
	lineSize    int // of the line that has not ended yet
	// lineStart holds the first bytes of that line.
	lineStart [maxFieldStart]byte
	// seen states that the guard has seen the whole head. It has not if net/http has read a part of it with the request before.
	seen bool
	// hasLength states that a field of the head is a Content-Length.
	hasLength bool
	// refusal is the error of all reads once a head was refused; net/http may read again after an error.
	refusal error

	mu sync.Mutex // guards the fields below
	// deadline is the one that net/http has set, headDeadline that of the head; zero while there is none.
	deadline, headDeadline time.Time
	// writeDeadline is the one that a handler has set; zero while there is none.
	writeDeadline time.Time
}

// Read implements net.Conn. It counts the bytes of heads.
func (c *conn) Read(data []byte) (int, error) {
	if c.refusal != nil {
		return 0, c.refusal
	}
	n, err := c.Conn.Read(data)
	if !c.inHead {
		return n, err
	}
	if n > 0 && !c.scan(data[:n]) {
		if refusal := c.checkHead(); refusal != nil {
			return 0, refusal
		}
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		if end := c.headEnd(); !end.IsZero() && !time.Now().Before(end) {
			return 0, c.refuse(reasonHeadTooSlow, answerTooSlow, errHeadTooSlow)
		}
	}
	return n, err
}

// Write implements net.Conn. It fails if the client reads nothing for the idle timeout. While the client has read nothing for
// a while, the connection counts as waiting for it, and may make room for another one.
func (c *conn) Write(data []byte) (written int, err error) {
	progress := time.Now()
	for stalled := false; ; stalled = true {
		if err := c.limitWrite(time.Now().Add(flood.DefaultStallTime)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(data[written:])
		written += n
		if err == nil && stalled {
			c.setState(flood.Busy)
		}
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || c.writeExpired() {
			return written, err
		}
		if n > 0 {
			progress = time.Now()
		}
		if time.Since(progress) >= c.guard.limits().IdleTimeout {
			c.guard.refused(reasonUnread, c.RemoteAddr())
			return written, err
		}
		c.waitForClient(n > 0)
	}
}

// limitWrite sets the deadline of a write, or leaves that of the handler if it is earlier.
func (c *conn) limitWrite(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(t) {
		t = c.writeDeadline
	}
	return c.Conn.SetWriteDeadline(t)
}

// writeExpired reports whether the handler's deadline of a write has passed.
func (c *conn) writeExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// scan counts the bytes and the lines of a head. It reports whether the head ends in data. Empty lines before the request line
// are not its end.
func (c *conn) scan(data []byte) bool {
	for len(data) > 0 {
		i := bytes.IndexByte(data, '\n')
		part := data[:max(i, 0)]
		if i < 0 {
			part = data
		}
		if c.lineSize < maxFieldStart {
			copy(c.lineStart[c.lineSize:], part)
		}
		c.lineSize += len(part)
		if i < 0 {
			c.size += len(data)
			return false
		}
		c.size += i + 1
		isEmpty := c.lineSize == 0 || (c.lineSize == 1 && c.lineStart[0] == '\r')
		c.hasLength = c.hasLength || (c.lineSize >= len(lengthField) && bytes.EqualFold(c.lineStart[:len(lengthField)], lengthField))
		c.lineSize, data = 0, data[i+1:]
		if isEmpty && c.lines > 0 {
			c.seen = true
			return true
		}
		c.lines++
	}
	return false
}

// checkHead compares an unfinished head with the limits.
func (c *conn) checkHead() error {
	limits := c.guard.limits()
	if c.size > limits.HeaderBytes+headerSlack {
		return c.refuse(reasonHeadTooLarge, answerTooLarge, errHeadTooLarge)
	}
	if c.headEnd().IsZero() {
		c.setState(flood.Unread)
		if err := c.setHeadEnd(time.Now().Add(limits.HeaderTimeout + timeoutSlack)); err != nil {
			return err
		}
	}
	if cost := flood.Cost(c.size, c.lines); cost > 0 {
		c.guard.charge(c, cost) // closes this connection too if it has to make room
	}
	return nil
}

// refuse answers an unfinished head and returns the error of its read.
func (c *conn) refuse(reason, answer string, err error) error {
	c.guard.refused(reason, c.RemoteAddr())
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTimeout)) // an error means that the connection is closed, as do those below
	if _, writeErr := c.Conn.Write([]byte(answer)); writeErr == nil && c.CloseWrite() == nil {
		// A close with unread bytes would reset the connection, and the client might not get the answer.
		_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardBytes)
	}
	c.refusal = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	return c.refusal
}

// observe follows the state that net/http gives the connection.
func (c *conn) observe(state http.ConnState) {
	switch state {
	case http.StateActive: // the head has been read
		c.inHead = false
		_ = c.setHeadEnd(time.Time{}) // an error means that the connection is closed
		c.setState(flood.Busy)
	case http.StateIdle:
		c.inHead, c.size, c.lines, c.lineSize, c.seen, c.hasLength = true, 0, 0, 0, false, false
		c.setState(flood.Idle)
	case http.StateNew, http.StateHijacked, http.StateClosed: // see Close
	}
}

// setState tells the table what the connection waits for.
func (c *conn) setState(state flood.State) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.SetState(c.entry, state)
}

// waitForClient records that the connection waits for its client, which has sent or read something meanwhile if progress is true.
func (c *conn) waitForClient(progress bool) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.SetState(c.entry, flood.Unread)
	if progress {
		c.guard.table.Progress(c.entry)
	}
}

// SetReadDeadline implements net.Conn. While a head arrives, its own deadline is in force.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.applyDeadline()
}

// headEnd returns the time at which the head must have ended; zero if none has begun or the time is not known yet.
func (c *conn) headEnd() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headDeadline
}

// setHeadEnd sets the time at which the head must have ended.
func (c *conn) setHeadEnd(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headDeadline.Equal(t) {
		return nil
	}
	c.headDeadline = t
	return c.applyDeadline()
}

// applyDeadline sets the deadline of the head, else that of net/http, whose time for a head does not follow the configuration.
// The caller holds mu.
func (c *conn) applyDeadline() error {
	if !c.headDeadline.IsZero() {
		return c.Conn.SetReadDeadline(c.headDeadline)
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

// CloseWrite closes the sending side. net/http calls it to let a client read an answer before the connection closes.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.mu.Lock()
	c.guard.table.Remove(c.entry)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}
