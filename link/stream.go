package link

import (
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// expiredDeadline is a deadline in the past. Setting it unblocks pending reads and writes.
var expiredDeadline = time.Unix(1, 0)

// stream is a yamux stream whose reads and writes fail once its session is about to close. A yamux stream alone
// repeats a blocked read or write without a pause from the session's shutdown until its connection is closed.
type stream struct {
	*yamux.Stream
	set *streamSet

	mu      sync.Mutex // guards expired and the changes of the deadlines
	expired bool
}

// SetReadDeadline implements net.Conn.
func (st *stream) SetReadDeadline(t time.Time) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.expired {
		return nil
	}
	return st.Stream.SetReadDeadline(t)
}

// Close implements net.Conn.
func (st *stream) Close() error {
	st.set.remove(st)
	return st.Stream.Close()
}

// expire makes the pending and all later reads and writes fail, except reads of received data.
func (st *stream) expire() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expired = true
	_ = st.SetDeadline(expiredDeadline)
}

// sessionError returns errSessionEnded in place of an error of a read or write that the end of the session
// explains.
func (st *stream) sessionError(err error) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.expired && (errors.Is(err, yamux.ErrTimeout) || errors.Is(err, yamux.ErrSessionShutdown)) {
		return errSessionEnded
	}
	return err
}

// streamSet holds the open streams of a session.
type streamSet struct {
	mu      sync.Mutex
	expired bool
	open    map[*stream]struct{}
}

func newStreamSet() *streamSet { return &streamSet{open: map[*stream]struct{}{}} }

// add returns the stream of the set that wraps ys.
func (s *streamSet) add(ys *yamux.Stream) *stream {
	st := &stream{Stream: ys, set: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expired {
		st.expire()
		return st
	}
	s.open[st] = struct{}{}
	return st
}

func (s *streamSet) remove(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, st)
}

// expire expires all streams of the set and those that are added later.
func (s *streamSet) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expired = true
	for st := range s.open {
		st.expire()
	}
	clear(s.open)
}
