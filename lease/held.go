package lease

import (
	"context"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/timing"
)

// Held is a lease held by this instance.
type Held struct {
	m     *Manager
	duty  string
	epoch int64
	lost  chan struct{}
	// validUntil and waiting are guarded by m.mu.
	validUntil time.Time
	waiting    bool
}

// Duty returns the duty of the lease.
func (h *Held) Duty() string { return h.duty }

// Fence returns the fencing number that every order must carry.
func (h *Held) Fence() int64 { return h.epoch }

// Valid reports whether the holder may act for at least margin from now. It is checked just
// before each order; the order's deadline must be computed before the check.
func (h *Held) Valid(margin time.Duration) bool {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	h.m.refreshLocked()
	return h.m.held[h.duty] == h && !h.waiting && h.m.pauses == h.m.reread &&
		h.m.opts.Now().Add(margin).Before(h.validUntil)
}

// Lost is closed once the log has given the duty to another instance or it was released. A
// lease whose renewals fail is not valid, but it is not lost until another instance has it.
func (h *Held) Lost() <-chan struct{} { return h.lost }

// Release gives the duty up. The caller has no order outstanding. The lease is not valid from
// the start of the call, whether or not the release record reaches the log. A lease that is
// still in its successor's wait is left to expire.
func (h *Held) Release(ctx context.Context) error {
	h.m.mu.Lock()
	mine := h.m.held[h.duty] == h && !h.waiting
	h.m.dropLocked(h)
	h.m.mu.Unlock()
	if !mine {
		return nil
	}
	entry := Entry{Release: &Release{Duty: h.duty, Holder: h.m.self.Ref(), Epoch: h.epoch}}
	for {
		_, err := h.m.feed.AppendLease(ctx, entry)
		if err == nil {
			return nil
		}
		// The record names its epoch, so appending it twice has no further effect.
		if platform.HadNoEffect(err) || ctx.Err() != nil || !timing.Sleep(ctx, h.m.opts.Poll) {
			return &Error{Code: ReleaseUnconfirmed, Duty: h.duty, Err: err}
		}
	}
}
