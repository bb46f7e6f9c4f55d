package link

import (
	"context"
	"sync/atomic"
)

// sendState tells how far a send has come, so that a caller that leaves knows whether the request may arrive.
type sendState int32

const (
	sendOpening sendState = iota
	sendWriting
	sendAbandoned
)

// sendResult is a stream to which a request was written, or on which the write failed.
type sendResult struct {
	st  *stream
	err error
}

// send opens a stream and writes the request. yamux bounds both by its own timeout alone, so that they run in a
// goroutine and the caller leaves when ctx ends. The returned stream is nil if none was opened in time.
// mayHaveRun is false when no handler of the peer can receive the request.
func (s *session) send(ctx context.Context, msg []byte, cause Cause) (st *stream, mayHaveRun bool, err error) {
	var state atomic.Int32
	done := make(chan sendResult, 1)
	go func() { done <- s.openAndWrite(msg, cause, &state) }()
	select {
	case r := <-done:
		return r.st, r.st != nil, r.err
	case <-ctx.Done():
		go func() {
			if r := <-done; r.st != nil {
				_ = r.st.Close()
			}
		}()
		abandoned := state.CompareAndSwap(int32(sendOpening), int32(sendAbandoned))
		return nil, !abandoned, ctx.Err()
	}
}

// openAndWrite opens a stream and, unless the caller has abandoned the send, writes the request.
func (s *session) openAndWrite(msg []byte, cause Cause, state *atomic.Int32) sendResult {
	opened, err := s.ys.OpenStream()
	if err != nil {
		return sendResult{err: err}
	}
	st := s.streams.add(opened)
	s.meter.assignCounter(st.StreamID(), s.node.account.counter(s.peer.Zone, cause))
	if !state.CompareAndSwap(int32(sendOpening), int32(sendWriting)) {
		return sendResult{st: st, err: context.Canceled}
	}
	_, err = st.Write(msg)
	return sendResult{st: st, err: err}
}
