package link

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hashicorp/yamux"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/machine"
)

// session is one connection to a peer.
type session struct {
	node    *Node
	peer    machine.Instance
	dialled bool
	meter   *meter
	ys      *yamux.Session
	ctx     context.Context
	cancel  context.CancelFunc

	opened time.Time // start of the session

	active    atomic.Int64 // exchanges in flight, both directions
	used      atomic.Bool  // has carried an exchange
	lastUsed  atomic.Int64 // unix nanoseconds of the last end of an exchange
	suspect   atomic.Bool  // an exchange timed out without any byte received
	retiredAt atomic.Int64 // unix nanoseconds since which it takes no new exchanges, or 0
	pinging   atomic.Bool  // the watcher waits for a ping
}

func newSession(n *Node, peer machine.Instance, dialled bool, m *meter, ys *yamux.Session) *session {
	ctx, cancel := context.WithCancel(n.ctx)
	s := &session{node: n, peer: peer, dialled: dialled, meter: m, ys: ys, ctx: ctx, cancel: cancel, opened: time.Now()}
	s.lastUsed.Store(s.opened.UnixNano())
	return s
}

func (s *session) dialler() machine.Instance {
	if s.dialled {
		return s.node.self
	}
	return s.peer
}

func (s *session) usable() bool {
	return !s.suspect.Load() && !s.retired() && !s.ys.IsClosed()
}

func (s *session) begin() {
	s.active.Add(1)
	s.used.Store(true)
}

func (s *session) end() {
	s.lastUsed.Store(time.Now().UnixNano())
	s.active.Add(-1)
}

func (s *session) close() {
	s.retiredAt.CompareAndSwap(0, time.Now().UnixNano())
	s.cancel()
	_ = s.ys.Close()
}

// retire stops new exchanges in both directions and lets those in flight finish.
func (s *session) retire() {
	if s.retiredAt.CompareAndSwap(0, time.Now().UnixNano()) {
		_ = s.ys.GoAway()
	}
}

func (s *session) retired() bool { return s.retiredAt.Load() != 0 }

// idleLimit returns how long the session may be idle. A session without an exchange so far was
// dialled for one that is on its way, at most for the keepalive timeout.
func (s *session) idleLimit() time.Duration {
	if s.used.Load() {
		return s.node.opts.IdleTimeout
	}
	return max(s.node.opts.IdleTimeout, s.node.opts.KeepaliveTimeout)
}

// run accepts streams until the connection ends.
func (s *session) run() {
	var wg conc.WaitGroup
	for {
		st, err := s.ys.AcceptStream()
		if err != nil {
			break
		}
		s.begin()
		wg.Go(func() {
			defer s.end()
			s.serve(st)
		})
	}
	s.close()
	s.node.untrack(s)
	wg.Wait()
}

// ping reports whether the connection answers, and closes it when it does not.
func (s *session) ping() bool {
	start := time.Now().UnixNano()
	if _, err := s.ys.Ping(); err == nil || s.meter.lastRead.Load() > start {
		s.suspect.Store(false)
		return true
	}
	if s.ctx.Err() == nil {
		s.node.log.Warn("closing silent connection", "peer", s.peer.Ref(), "quiet", s.meter.quiet())
	}
	s.close()
	return false
}

// fresh checks a session that has been quiet before it is trusted with an exchange.
func (s *session) fresh() bool {
	if s.meter.quiet() < s.node.opts.FreshFor {
		return true
	}
	return s.ping()
}

// timedOut is told of an exchange that ran out of time. Nothing received since its start makes
// the session suspect: no new exchange uses it until it answers a ping.
func (s *session) timedOut(start time.Time) {
	if s.meter.lastRead.Load() >= start.UnixNano() {
		return
	}
	s.suspect.Store(true)
	s.node.startPing(s)
}

// yamuxLogger passes yamux's lines to the node's logger.
type yamuxLogger struct{ l *log.Logger }

func (y yamuxLogger) Print(v ...any)                 { y.write(fmt.Sprint(v...)) }
func (y yamuxLogger) Println(v ...any)               { y.write(fmt.Sprint(v...)) }
func (y yamuxLogger) Printf(format string, v ...any) { y.write(fmt.Sprintf(format, v...)) }

func (y yamuxLogger) write(line string) {
	y.l.Debug("yamux", "line", strings.TrimSpace(line))
}
