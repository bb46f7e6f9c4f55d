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

// peer holds the sessions to one instance id and the state of its dials.
type peer struct {
	sessions  []*session
	dial      *dialAttempt
	backoff   *backoff.ExponentialBackOff
	failures  int // consecutive failed dials
	lastDial  time.Time
	notBefore time.Time
	addr      string // address of the last dial
}

// dialAttempt is a dial in progress that several exchanges wait for.
type dialAttempt struct {
	to   machine.Instance
	done chan struct{}
	s    *session
	err  error
}

func newPeer(o Options) *peer {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = o.BackoffMin
	b.MaxInterval = o.BackoffMax
	return &peer{backoff: b}
}

// session returns a usable session to the instance, and dials when there is none.
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
		var wrong *Error
		if errors.As(attempt.err, &wrong) && attempt.to.Ref() != to.Ref() {
			continue // the dial was for another run of the same id
		}
		if attempt.err != nil {
			return nil, attempt.err
		}
		if matches(attempt.s, to) {
			return attempt.s, nil
		}
	}
}

func (n *Node) sessionOrDial(to machine.Instance) (*session, *dialAttempt, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, nil, errClosed
	}
	p := n.peerLocked(to.ID)
	if s := n.pickLocked(p, to); s != nil {
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

// pickLocked chooses among the sessions to a peer. When both ends dialled at the same time,
// both choose the session dialled by the lower id, and the other one ends by its idle timeout.
func (n *Node) pickLocked(p *peer, to machine.Instance) *session {
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

// matches reports whether a session reaches the addressed run; incarnation 0 addresses any.
func matches(s *session, to machine.Instance) bool {
	return s.peer.ID == to.ID && (to.Incarnation == 0 || s.peer.Incarnation == to.Incarnation)
}

func (n *Node) runDial(p *peer, a *dialAttempt) {
	ctx, cancel := context.WithTimeout(n.ctx, n.opts.DialTimeout)
	defer cancel()
	a.s, a.err = n.dial(ctx, a.to)
	n.mu.Lock()
	defer n.mu.Unlock()
	p.dial = nil
	p.lastDial = time.Now()
	var wrong *Error
	switch {
	case a.err == nil:
		p.backoff.Reset()
		p.failures, p.notBefore = 0, time.Time{}
	case errors.As(a.err, &wrong):
		// The address answers, so there is nothing to spare by waiting.
	default:
		// A single failed dial may be a fault of that connection, so the next exchange dials at once.
		if p.failures++; p.failures > 1 {
			p.notBefore = time.Now().Add(p.backoff.NextBackOff())
		}
	}
	n.forgetColdPeersLocked()
	close(a.done)
}

// forgetColdPeersLocked bounds the table: peers without sessions are kept only for their backoff.
func (n *Node) forgetColdPeersLocked() {
	now := time.Now()
	for id, p := range n.peers {
		if len(p.sessions) == 0 && p.dial == nil && now.Sub(p.lastDial) > 2*n.opts.BackoffMax {
			delete(n.peers, id)
		}
	}
}

func (n *Node) dial(ctx context.Context, to machine.Instance) (*session, error) {
	conn, err := n.opts.DialContext(ctx, "tcp", to.PeerAddr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	actual, c, err := n.helloOut(conn, to.ID)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	var wrong *Error
	if errors.As(err, &wrong) {
		_ = conn.Close()
		wrong.To = to.Ref()
		return nil, wrong
	}
	if err != nil {
		_ = conn.Close()
		return nil, errors.Join(errHandshake, err)
	}
	if actual.ID != to.ID || (to.Incarnation != 0 && actual.Incarnation != to.Incarnation) {
		_ = conn.Close()
		return nil, &Error{Code: WrongPeer, Op: "hello", To: to.Ref(), Actual: actual}
	}
	return n.newSession(conn, c, actual, true)
}

func (n *Node) newSession(conn net.Conn, c *counter, peer machine.Instance, dialled bool) (*session, error) {
	m := newMeter(conn, c)
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.EnableKeepAlive = false // session.watch sends pings only while exchanges are in flight
	cfg.ConnectionWriteTimeout = n.opts.KeepaliveTimeout
	cfg.MaxStreamWindowSize = streamWindow
	cfg.StreamOpenTimeout = 0 // keepalive covers it
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
	s := newSession(n, peer, dialled, m, ys)
	if !n.track(s) {
		_ = ys.Close()
		return nil, errClosed
	}
	return s, nil
}
