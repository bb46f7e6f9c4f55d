package link

import "time"

// watch checks all sessions of the node once per keepalive interval. One goroutine does this for
// all sessions, so that hundreds of idle sessions cost one wake-up per interval.
func (n *Node) watch() {
	t := time.NewTicker(n.opts.KeepaliveInterval)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
		}
		n.mu.Lock()
		sessions := n.allSessionsLocked()
		n.mu.Unlock()
		for _, s := range sessions {
			n.checkSession(s)
		}
	}
}

// checkSession pings a session that is suspect or that is silent while exchanges are in flight. It
// retires an idle session and closes a retired one that has no streams left.
func (n *Node) checkSession(s *session) {
	switch {
	case s.suspect.Load(), s.active.Load() > 0 && s.meter.sinceLastRead() >= n.opts.KeepaliveInterval:
		n.startPing(s)
	case s.active.Load() > 0:
	case s.retired():
		// A stream that the peer opened before it received the go-away may arrive for up to the
		// keepalive timeout. yamux resets it, which tells the peer that it was not served.
		since := time.Since(time.Unix(0, s.retiredAt.Load()))
		if s.ys.NumStreams() == 0 && since > n.opts.KeepaliveTimeout {
			s.close()
		}
	case time.Since(time.Unix(0, s.lastUsed.Load())) > s.idleLimit():
		s.retire()
	}
}

// startPing pings a session in the background and returns the attempt, or the one that is already in progress.
// It returns nil when the node is closed.
func (n *Node) startPing(s *session) *pingAttempt {
	s.pingMu.Lock()
	defer s.pingMu.Unlock()
	if s.pinging != nil {
		return s.pinging
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil
	}
	attempt := &pingAttempt{done: make(chan struct{})}
	s.pinging = attempt
	n.wg.Go(func() {
		attempt.alive = s.ping()
		s.pingMu.Lock()
		s.pinging = nil
		s.pingMu.Unlock()
		close(attempt.done)
	})
	return attempt
}
