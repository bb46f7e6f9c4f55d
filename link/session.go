package link

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hashicorp/yamux"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/machine"
)

// session is a yamux session with a peer over one connection.
type session struct {
	node    *Node
	peer    machine.Instance
	dialled bool
	meter   *meter
	ys      *yamux.Session
	streams *streamSet
	ctx     context.Context
	cancel  context.CancelFunc

	opened time.Time // time at which the session started

	active    atomic.Int64 // exchanges in flight in both directions
	used      atomic.Bool  // an exchange has begun on it
	lastUsed  atomic.Int64 // unix nanoseconds at which the last exchange ended, at first those of the start
	suspect   atomic.Bool  // an exchange timed out with nothing received since its start
	retiredAt atomic.Int64 // unix nanoseconds at which it stopped accepting exchanges, 0 before

	pingMu  sync.Mutex
	pinging *pingAttempt // the ping in progress
}

// pingAttempt is a ping in progress, shared by all exchanges that wait for it.
type pingAttempt struct {
	done  chan struct{}
	alive bool // set before done is closed
}

func newSession(n *Node, peer machine.Instance, dialled bool, m *meter, ys *yamux.Session, streams *streamSet) *session {
	ctx, cancel := context.WithCancel(n.ctx)
	s := &session{node: n, peer: peer, dialled: dialled, meter: m, ys: ys, streams: streams, ctx: ctx, cancel: cancel, opened: time.Now()}
	s.lastUsed.Store(s.opened.UnixNano())
	return s
}

// dialler returns the instance that opened the connection.
func (s *session) dialler() machine.Instance {
	if s.dialled {
		return s.node.self
	}
	return s.peer
}

// usable reports whether new exchanges may use the session.
func (s *session) usable() bool {
	return !s.suspect.Load() && !s.retired() && !s.ys.IsClosed()
}

func (s *session) beginExchange() {
	s.active.Add(1)
	s.used.Store(true)
}

func (s *session) endExchange() {
	s.lastUsed.Store(time.Now().UnixNano())
	s.active.Add(-1)
}

func (s *session) close() {
	s.retiredAt.CompareAndSwap(0, time.Now().UnixNano())
	s.cancel()
	s.streams.expire()
	_ = s.ys.Close()
}

// retire refuses new exchanges in both directions and lets those in flight finish. It does not wait until the go-away has been
// sent, which may take long on a blocked connection.
func (s *session) retire() {
	if s.retiredAt.CompareAndSwap(0, time.Now().UnixNano()) {
		go func() { _ = s.ys.GoAway() }()
	}
}

func (s *session) retired() bool { return s.retiredAt.Load() != 0 }

// idleLimit returns how long the session may be idle before it is retired. A session that has
// carried no exchange was dialled for one that may still be on its way, at most for the keepalive
// timeout.
func (s *session) idleLimit() time.Duration {
	if s.used.Load() {
		return s.node.opts.IdleTimeout
	}
	return max(s.node.opts.IdleTimeout, s.node.opts.KeepaliveTimeout)
}

// run accepts and serves streams until the connection ends.
func (s *session) run() {
	var wg conc.WaitGroup
	for {
		st, err := s.ys.AcceptStream()
		if err != nil {
			break
		}
		s.beginExchange()
		wg.Go(func() {
			defer s.endExchange()
			s.serve(s.streams.add(st))
		})
	}
	s.close()
	s.node.removeSession(s)
	wg.Wait()
}

// ping reports whether the peer answers a ping or sends any other byte meanwhile. It closes the
// session if not.
func (s *session) ping() bool {
	start := time.Now().UnixNano()
	if _, err := s.ys.Ping(); err == nil || s.meter.lastRead.Load() > start {
		s.suspect.Store(false)
		return true
	}
	if s.ctx.Err() == nil {
		s.node.log.Warn("closing connection that does not answer a ping", "peer", s.peer.Ref(), "quiet", s.meter.sinceLastRead())
	}
	s.close()
	return false
}

// checkAlive returns nil if an exchange may use the session. It pings the session if nothing has been received
// for PingAfter, and waits for the answer until ctx ends.
func (s *session) checkAlive(ctx context.Context) error {
	if s.meter.sinceLastRead() < s.node.opts.PingAfter {
		return nil
	}
	ping := s.node.startPing(s)
	if ping == nil {
		return errClosed
	}
	select {
	case <-ping.done:
	case <-s.ctx.Done(): // the ping has failed, and ends when the connection is closed
		return errPingFailed
	case <-ctx.Done():
		return ctx.Err()
	}
	if !ping.alive {
		return errPingFailed
	}
	return nil
}

// handleTimeout is called after an exchange that began at start has timed out. If nothing has been
// received since, the session becomes suspect: no new exchange uses it until it answers a ping.
func (s *session) handleTimeout(start time.Time) {
	if s.meter.lastRead.Load() >= start.UnixNano() {
		return
	}
	s.suspect.Store(true)
	s.node.startPing(s)
}

// yamuxLogger writes yamux's log lines to the node's logger.
type yamuxLogger struct{ l *log.Logger }

func (y yamuxLogger) Print(v ...any)                 { y.write(fmt.Sprint(v...)) }
func (y yamuxLogger) Println(v ...any)               { y.write(fmt.Sprint(v...)) }
func (y yamuxLogger) Printf(format string, v ...any) { y.write(fmt.Sprintf(format, v...)) }

func (y yamuxLogger) write(line string) {
	y.l.Debug("yamux", "line", strings.TrimSpace(line))
}
