package membership

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/sourcegraph/conc/pool"
)

// ErrorCode says how an operation of the membership failed.
type ErrorCode string

// LeaveUntold: fewer peers than wanted know of the planned stop; the others find out by probes.
const LeaveUntold ErrorCode = "leave_untold"

// Error is the failure of an operation of the membership.
type Error struct {
	Code ErrorCode
	Told int
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %d peers told: %v", e.Code, e.Told, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Leave announces a planned stop. It returns nil when three peers know, or all if there are
// fewer, and an *Error when ctx ends before. The instance answers probes with its departure
// until it stops, and probes nobody any more.
func (m *Members) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.left = true
	m.mu.Unlock()
	peers := m.pickOthers(len(m.Live()), m.self.ID)
	want := int64(min(leaveTold, len(peers)))
	var told atomic.Int64
	p := pool.New().WithMaxGoroutines(leaveTold)
	for _, peer := range peers {
		p.Go(func() {
			if told.Load() >= want || ctx.Err() != nil {
				return
			}
			if _, err := m.exchange(ctx, peer, nil); err == nil {
				told.Add(1)
			}
		})
	}
	p.Wait()
	if n := told.Load(); n < want {
		return &Error{Code: LeaveUntold, Told: int(n), Err: ctx.Err()}
	}
	return nil
}
