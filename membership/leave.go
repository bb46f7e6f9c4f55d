package membership

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/sourcegraph/conc/pool"
)

// ErrorCode classifies a failed membership operation.
type ErrorCode string

// LeaveUnacknowledged means that fewer peers than required acknowledged the planned stop. The others
// learn of it from probes.
const LeaveUnacknowledged ErrorCode = "leave_untold"

// Error describes a failed membership operation.
type Error struct {
	Code ErrorCode
	// Acknowledged is the number of peers that acknowledged the planned stop.
	Acknowledged int
	Err          error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: acknowledged by %d peers: %v", e.Code, e.Acknowledged, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Leave announces a planned stop to peers. It returns nil once three peers, or all if there are
// fewer, have acknowledged it, and an *Error if ctx is done first or too few peers can be reached.
// From then on the instance answers probes with its departure and runs no periodic probes.
func (m *Members) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.hasLeft = true
	m.mu.Unlock()
	peers := m.randomPeers(len(m.Live()), m.self.ID)
	required := int64(min(minLeaveAcks, len(peers)))
	var acknowledged atomic.Int64
	p := pool.New().WithMaxGoroutines(minLeaveAcks)
	for _, peer := range peers {
		p.Go(func() {
			if acknowledged.Load() >= required || ctx.Err() != nil {
				return
			}
			if _, err := m.sendProbe(ctx, peer, nil); err == nil {
				acknowledged.Add(1)
			}
		})
	}
	p.Wait()
	if n := acknowledged.Load(); n < required {
		return &Error{Code: LeaveUnacknowledged, Acknowledged: int(n), Err: ctx.Err()}
	}
	return nil
}
