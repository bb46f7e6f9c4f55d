package lease

import (
	"context"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/timing"
)

// Held is a lease that this instance has acquired. Valid must be checked before each order.
type Held struct {
	m     *Manager
	duty  string
	epoch int64
	lost  chan struct{}
	// validUntil and waiting are guarded by m.mu; waiting is set during the successor's wait.
	validUntil time.Time
	waiting    bool
}

// Duty returns the duty that the lease covers.
func (h *Held) Duty() string { return h.duty }

// Fence returns the fencing token that every order must carry.
func (h *Held) Fence() int64 { return h.epoch }

// Valid reports whether the holder may act for at least margin from now. Callers check it
// immediately before each order and compute the order's deadline before the check: if the process
// paused in between, a deadline computed later would let the order start after the successor's
// wait.
func (h *Held) Valid(margin time.Duration) bool {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	h.m.refreshLocked()
	return h.m.held[h.duty] == h && !h.waiting && h.m.reportedPauses == h.m.handledPauses &&
		h.m.opts.Now().Add(margin).Before(h.validUntil)
}

// Lost returns a channel that is closed once the lease is released or the log has granted the duty
// to another instance. A lease whose renewals fail becomes invalid, but it is not lost until
// another instance acquires the duty.
func (h *Held) Lost() <-chan struct{} { return h.lost }

// Release gives up the duty. The caller must have no order in flight. The lease is invalid from the
// start of the call, whether or not the release record reaches the log. A lease that is still in
// its successor's wait is not released but left to expire.
func (h *Held) Release(ctx context.Context) error {
	h.m.mu.Lock()
	active := h.m.held[h.duty] == h && !h.waiting
	h.m.dropLocked(h)
	h.m.mu.Unlock()
	if !active {
		return nil
	}
	entry := Entry{Release: &Release{Duty: h.duty, Holder: h.m.self.Ref(), Epoch: h.epoch}}
	for {
		_, err := h.m.feed.AppendLease(ctx, entry)
		if err == nil {
			return nil
		}
		// The record names the epoch that it releases, so appending it twice is harmless.
		if platform.HadNoEffect(err) || ctx.Err() != nil || !timing.Sleep(ctx, h.m.opts.PollInterval) {
			return &Error{Code: ReleaseUnconfirmed, Duty: h.duty, Err: err}
		}
	}
}
