package link

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/yamux"

	"github.com/cicadasill/cicadasill/machine"
)

// peerState holds the sessions to one instance id and the state of the dials to it.
type peerState struct {
	sessions  []*session
	dial      *dialAttempt
	backoff   *backoff.ExponentialBackOff
	failures  int // consecutive failed dials
	lastDial  time.Time
	notBefore time.Time // end of the backoff for addr
	addr      string    // address of the last dial
}

// dialAttempt is a dial in progress, shared by all exchanges that wait for it.
type dialAttempt struct {
	to      machine.Instance
	done    chan struct{}
	session *session
	err     error
}

func newPeerState(o Options) *peerState {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = o.BackoffMin
	b.MaxInterval = o.BackoffMax
	return &peerState{backoff: b}
}

// session returns a usable session to the instance, and dials the instance when there is none.
func (n *Node) session(ctx context.Context, to machine.Instance) (*session, error) {
	for {
		s, attempt, err := n.sessionOrDial(to)
		if s != nil || err != nil {
			return s, err
		}
		select {
		case <-attempt.done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		var wrongPeer *Error
		if errors.As(attempt.err, &wrongPeer) && attempt.to.Ref() != to.Ref() {
			continue // the dial addressed another incarnation of the same id
		}
		if attempt.err != nil {
			return nil, attempt.err
		}
		if matches(attempt.session, to) {
			return attempt.session, nil
		}
	}
}

// sessionOrDial returns a usable session, else the dial in progress, which it starts if necessary.
func (n *Node) sessionOrDial(to machine.Instance) (*session, *dialAttempt, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, nil, errClosed
	}
	p := n.peerLocked(to.ID)
	if s := n.pickSessionLocked(p, to); s != nil {
		return s, nil, nil
	}
	if p.dial != nil {
		return nil, p.dial, nil
	}
	if p.addr == to.PeerAddr && time.Now().Before(p.notBefore) {
		return nil, nil, errBackoff
	}
	p.addr = to.PeerAddr
	a := &dialAttempt{to: to, done: make(chan struct{})}
	p.dial = a
	n.wg.Go(func() { n.runDial(p, a) })
	return nil, a, nil
}

// pickSessionLocked returns a usable session to the addressed instance, or nil. When both ends
// have dialled at the same time, both pick the session dialled by the lower id, and the other
// session ends by its idle timeout.
func (n *Node) pickSessionLocked(p *peerState, to machine.Instance) *session {
	var best *session
	for _, s := range p.sessions {
		if !s.usable() || !matches(s, to) {
			continue
		}
		if best == nil || s.dialler().ID < best.dialler().ID {
			best = s
		}
	}
	return best
}

// matches reports whether the session's peer is the addressed instance. Incarnation 0 addresses
// any incarnation.
func matches(s *session, to machine.Instance) bool {
	return s.peer.ID == to.ID && (to.Incarnation == 0 || s.peer.Incarnation == to.Incarnation)
}

// runDial dials, updates the backoff by the result and wakes the exchanges that wait for the dial.
func (n *Node) runDial(p *peerState, a *dialAttempt) {
	ctx, cancel := context.WithTimeout(n.ctx, n.opts.DialTimeout)
	defer cancel()
	a.session, a.err = n.dial(ctx, a.to)
	n.mu.Lock()
	defer n.mu.Unlock()
	p.dial = nil
	p.lastDial = time.Now()
	var wrongPeer *Error
	switch {
	case a.err == nil:
		p.backoff.Reset()
		p.failures, p.notBefore = 0, time.Time{}
	case errors.As(a.err, &wrongPeer):
		// The address answers, so a backoff would save nothing.
	default:
		// A single failed dial may be a fault of that connection, so the backoff starts at the second.
		if p.failures++; p.failures > 1 {
			p.notBefore = time.Now().Add(p.backoff.NextBackOff())
		}
	}
	n.removeStalePeersLocked()
	close(a.done)
}

// removeStalePeersLocked removes the peers that have no session and whose last dial is longer ago
// than any backoff. This bounds the size of the table.
func (n *Node) removeStalePeersLocked() {
	now := time.Now()
	for id, p := range n.peers {
		if len(p.sessions) == 0 && p.dial == nil && now.Sub(p.lastDial) > 2*n.opts.BackoffMax {
			delete(n.peers, id)
		}
	}
}

// dial connects to the instance, checks in the handshake that it has reached that instance, and
// starts a session.
func (n *Node) dial(ctx context.Context, to machine.Instance) (*session, error) {
	conn, err := n.opts.DialContext(ctx, "tcp", to.PeerAddr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	actual, overhead, err := n.dialHandshake(conn, to.ID)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	var wrongPeer *Error
	if errors.As(err, &wrongPeer) {
		_ = conn.Close()
		wrongPeer.To = to.Ref()
		return nil, wrongPeer
	}
	if err != nil {
		_ = conn.Close()
		return nil, errors.Join(errHandshake, err)
	}
	if actual.ID != to.ID || (to.Incarnation != 0 && actual.Incarnation != to.Incarnation) {
		_ = conn.Close()
		return nil, &Error{Code: WrongPeer, Op: "hello", To: to.Ref(), Actual: actual}
	}
	return n.startSession(conn, overhead, actual, true)
}

// startSession starts a yamux session on a connection whose handshake is complete. overhead counts
// the bytes that belong to no exchange.
func (n *Node) startSession(conn net.Conn, overhead *counter, peer machine.Instance, dialled bool) (*session, error) {
	streams := newStreamSet()
	m := newMeter(conn, overhead, streams.expire)
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.EnableKeepAlive = false // Node.watch pings only suspect sessions and those with exchanges in flight
	cfg.ConnectionWriteTimeout = n.opts.KeepaliveTimeout
	cfg.MaxStreamWindowSize = streamWindow
	cfg.StreamOpenTimeout = 0 // the pings of Node.watch detect a dead connection
	cfg.StreamCloseTimeout = streamCloseTimeout
	cfg.LogOutput = nil
	cfg.Logger = yamuxLogger{n.log}
	var ys *yamux.Session
	var err error
	if dialled {
		ys, err = yamux.Client(m, cfg)
	} else {
		ys, err = yamux.Server(m, cfg)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s := newSession(n, peer, dialled, m, ys, streams)
	if !n.addSession(s) {
		_ = ys.Close()
		return nil, errClosed
	}
	return s, nil
}
