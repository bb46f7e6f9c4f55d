package link

import "time"

// watch looks after the sessions of a node. One goroutine for all of them keeps the cost of
// hundreds of idle sessions at one wake-up per keepalive interval.
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
			n.inspect(s)
		}
	}
}

// inspect pings a session that is silent while an exchange waits on it, and ends it when it is
// not used any more.
func (n *Node) inspect(s *session) {
	switch {
	case s.suspect.Load(), s.active.Load() > 0 && s.meter.quiet() >= n.opts.KeepaliveInterval:
		n.startPing(s)
	case s.active.Load() > 0:
	case s.retired():
		// A stream that the peer opened before it saw the go-away is on its way for at most the
		// keepalive timeout. It is reset, which tells the peer that it was not served.
		since := time.Since(time.Unix(0, s.retiredAt.Load()))
		if s.ys.NumStreams() == 0 && since > n.opts.KeepaliveTimeout {
			s.close()
		}
	case time.Since(time.Unix(0, s.lastUsed.Load())) > s.idleLimit():
		s.retire()
	}
}

// startPing pings a session in the background, once at a time.
func (n *Node) startPing(s *session) {
	if !s.pinging.CompareAndSwap(false, true) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.wg.Go(func() {
		defer s.pinging.Store(false)
		s.ping()
	})
}
