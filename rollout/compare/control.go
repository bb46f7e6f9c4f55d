package compare

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/rollout"
	"github.com/cicadasill/cicadasill/weights"
)

// Control is an in-memory control state with one service. It replaces the feed.
type Control struct {
	mu        sync.Mutex
	svc       contract.Service
	announced []weights.AnnouncedVersion
	changed   chan struct{}
	logErr    error
}

var (
	_ rollout.Directory = (*Control)(nil)
	_ weights.Directory = (*Control)(nil)
	_ weights.Announcer = (*Control)(nil)
	_ weights.Lease     = (*Lease)(nil)
)

// NewControl returns a control state whose only service is svc.
func NewControl(svc contract.Service) *Control {
	return &Control{svc: svc, changed: make(chan struct{})}
}

// SetLog makes every announcement and withdrawal fail with err, as when the log is unavailable; nil
// ends it.
func (c *Control) SetLog(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logErr = err
}

// Services implements weights.Directory.
func (c *Control) Services() []*contract.Service {
	svc, _ := c.Service(c.svc.Name)
	return []*contract.Service{svc}
}

// Service returns the contract of the service, and whether name is its name.
func (c *Control) Service(name string) (*contract.Service, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	svc := c.svc
	return &svc, name == svc.Name
}

// Newest implements weights.Directory.
func (c *Control) Newest(string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var newest int64
	for _, a := range c.announced {
		if !a.Withdrawn {
			newest = max(newest, a.Version)
		}
	}
	return newest
}

// NewestVersion implements rollout.Directory.
func (c *Control) NewestVersion(service string) int64 { return c.Newest(service) }

// Withdrawn implements weights.Directory.
func (c *Control) Withdrawn(_ string, version int64) bool {
	return slices.ContainsFunc(c.Announced(""), func(a weights.AnnouncedVersion) bool { return a.Version == version && a.Withdrawn })
}

// Announced implements weights.Directory.
func (c *Control) Announced(string) []weights.AnnouncedVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.announced)
}

// Changed implements weights.Directory.
func (c *Control) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// AnnounceVersion implements weights.Announcer.
func (c *Control) AnnounceVersion(_ context.Context, _ string, version int64, trainer string) error {
	return c.update(func() {
		if !slices.ContainsFunc(c.announced, func(a weights.AnnouncedVersion) bool { return a.Version == version }) {
			c.announced = append(c.announced, weights.AnnouncedVersion{Version: version, Trainer: trainer})
		}
	})
}

// WithdrawVersion implements weights.Announcer.
func (c *Control) WithdrawVersion(_ context.Context, _ string, version int64) error {
	return c.update(func() {
		for i := range c.announced {
			if c.announced[i].Version == version {
				c.announced[i].Withdrawn = true
			}
		}
	})
}

// Announce announces version even while SetLog makes appends fail.
func (c *Control) Announce(version int64) {
	c.mu.Lock()
	logErr := c.logErr
	c.logErr = nil
	c.mu.Unlock()
	_ = c.AnnounceVersion(context.Background(), "", version, trainerName) // cannot fail without a log error
	c.SetLog(logErr)
}

// update applies f to the state and wakes those who wait for a change. It fails while SetLog has set
// an error.
func (c *Control) update(f func()) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.logErr != nil {
		return c.logErr
	}
	f()
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}

// Lease is a lease that stays valid until Lose or Lapse ends it.
type Lease struct {
	fence  int64
	mu     sync.Mutex
	lapsed bool
	lost   chan struct{}
}

// NewLease returns a held lease with the given fencing token.
func NewLease(fence int64) *Lease { return &Lease{fence: fence, lost: make(chan struct{})} }

// Fence implements weights.Lease.
func (l *Lease) Fence() int64 { return l.fence }

// Lost implements weights.Lease.
func (l *Lease) Lost() <-chan struct{} { return l.lost }

// Release implements weights.Lease.
func (l *Lease) Release(context.Context) error { return nil }

// Valid implements weights.Lease.
func (l *Lease) Valid(time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.lapsed
}

// Lose ends the lease and notifies its holder.
func (l *Lease) Lose() {
	l.Lapse()
	close(l.lost)
}

// Lapse ends the lease without notifying its holder, as when the holder's process is paused.
func (l *Lease) Lapse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lapsed = true
}

// Campaign returns a campaign function whose first call returns lease after wait, the time for which a
// successor waits. Later calls block until their context ends.
func Campaign(lease *Lease, wait time.Duration) weights.CampaignFunc {
	leases := make(chan *Lease, 1)
	leases <- lease
	return func(ctx context.Context, _ string) (weights.Lease, error) {
		select {
		case l := <-leases:
			timer := time.NewTimer(wait)
			defer timer.Stop()
			select {
			case <-timer.C:
				return l, nil
			case <-ctx.Done():
			}
		case <-ctx.Done():
		}
		return nil, ctx.Err()
	}
}
