package lease

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

const (
	// maxDoublings bounds the growth of the delay between failed acquire records.
	maxDoublings = 6
	// ranksPerDelay is the number of ranks that add one whole delay.
	ranksPerDelay = 4
)

// observation is what a candidate has seen of a lease and when it saw it first.
type observation struct {
	epoch, renewed int64
	released       bool
	since          time.Time
}

// Campaign waits until this instance holds the duty. It includes the successor's wait.
func (m *Manager) Campaign(ctx context.Context, duty string) (*Held, error) {
	if !m.beginCampaign(duty) {
		return nil, &Error{Code: AlreadyHeld, Duty: duty}
	}
	defer m.endCampaign(duty)
	for {
		h, contested, err := m.acquire(ctx, duty)
		if err != nil {
			return nil, err
		}
		if contested && !m.waitForPredecessor(ctx, h) {
			continue
		}
		m.mu.Lock()
		h.waiting = false
		m.mu.Unlock()
		m.opts.Logger.Info("lease acquired", "duty", duty, "fence", h.epoch)
		return h, nil
	}
}

func (m *Manager) beginCampaign(duty string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshLocked()
	if m.campaigns[duty] || m.held[duty] != nil {
		return false
	}
	m.campaigns[duty] = true
	return true
}

func (m *Manager) endCampaign(duty string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.campaigns, duty)
}

// acquire appends acquire records until one of them is accepted. contested states that the
// predecessor had not released the duty.
func (m *Manager) acquire(ctx context.Context, duty string) (h *Held, contested bool, err error) {
	var seen observation
	var retryAt time.Time
	failures := 0
	for ctx.Err() == nil {
		changed := m.feed.Changed()
		current, exists := m.feed.Leases().Get(duty)
		if h, contested, ok := m.adopt(duty, current); ok {
			return h, contested, nil
		}
		seen = m.observe(seen, current, exists)
		now := m.opts.Now()
		if due := m.dueAt(seen); !now.Before(due) && !now.Before(retryAt) {
			if err := m.tryAcquire(ctx, duty, seen); err != nil {
				retryAt = m.opts.Now().Add(m.retryDelay(failures))
				failures++
				m.opts.Logger.Debug("acquire not confirmed", "duty", duty, "err", err)
			}
		} else {
			m.waitChange(ctx, changed)
		}
	}
	return nil, false, &Error{Code: Cancelled, Duty: duty, Err: ctx.Err()}
}

// retryDelay grows with the failures and the rank, so that the candidates of a large
// deployment do not use up the log's append rate while it is away.
func (m *Manager) retryDelay(failures int) time.Duration {
	delay := min(m.opts.Poll<<min(failures, maxDoublings), m.opts.TTL)
	return delay + delay*time.Duration(m.rank())/ranksPerDelay
}

// observe keeps the time at which the candidate first saw the lease in its present state.
func (m *Manager) observe(seen observation, current Lease, exists bool) observation {
	fresh := observation{epoch: None, renewed: None, released: true, since: m.opts.Now()}
	if exists {
		fresh.epoch, fresh.renewed, fresh.released = current.Epoch, current.Renewed, current.Released
	}
	if !seen.since.IsZero() && seen.epoch == fresh.epoch && seen.renewed == fresh.renewed &&
		seen.released == fresh.released {
		return seen
	}
	return fresh
}

// dueAt returns when the candidate may append an acquire record. Candidates with a higher rank
// wait longer.
func (m *Manager) dueAt(seen observation) time.Time {
	due := seen.since.Add(time.Duration(m.rank()) * m.opts.Stagger)
	if !seen.released {
		due = due.Add(m.opts.TTL)
	}
	return due
}

// rank is this instance's position among the live ones in hash order. The order is the same for
// all duties, so that one instance tends to hold them all and renews them with one record:
// a renewal travels to every node, and with a holder for each duty renewals would be most of
// the control traffic.
func (m *Manager) rank() int {
	if m.opts.Live == nil {
		return 0
	}
	weight := func(id string, incarnation uint64) uint64 {
		return xxhash.Sum64String(id + "\x00" + strconv.FormatUint(incarnation, 10))
	}
	own, rank := weight(m.self.ID, m.self.Incarnation), 0
	for _, i := range m.opts.Live() {
		if i.Ref() != m.self.Ref() && weight(i.ID, i.Incarnation) > own {
			rank++
		}
	}
	return min(rank, maxStaggerRank)
}

// tryAcquire appends one acquire record. After a lost answer it reads the log, so that the
// next round sees whether the record is there.
func (m *Manager) tryAcquire(ctx context.Context, duty string, seen observation) error {
	m.mu.Lock()
	seq := m.nextAttempt(attempt{duty: duty, contested: !seen.released})
	m.mu.Unlock()
	offset, err := m.feed.AppendLease(ctx, Entry{Acquire: &Acquire{
		Duty: duty, Holder: m.self.Ref(), Seq: seq,
		PredecessorEpoch: seen.epoch, PredecessorRenewal: seen.renewed,
	}})
	if err == nil {
		return m.feed.WaitOffset(ctx, offset)
	}
	if !platform.HadNoEffect(err) {
		// The result shows in the table; a failed read only delays the next round.
		_ = m.feed.Sync(ctx)
	}
	return err
}

// adopt turns the current lease into a Held if one of this campaign's records made it, however
// late that record reached the log.
func (m *Manager) adopt(duty string, current Lease) (*Held, bool, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a, known := m.sent[current.Seq]
	if current.Holder != m.self.Ref() || current.Released || !known || a.duty != duty {
		return nil, false, false
	}
	h := &Held{m: m, duty: duty, epoch: current.Epoch, lost: make(chan struct{}), waiting: true}
	m.held[duty] = h
	m.heldGauge.Set(float64(len(m.held)))
	m.refreshLocked()
	return h, a.contested, m.held[duty] == h
}

// waitForPredecessor waits until no order of the predecessor can start any more. It reports
// false when the lease is lost or ctx ends before. The lease is then not released: a release
// would let the next holder act before the predecessor's orders have died.
func (m *Manager) waitForPredecessor(ctx context.Context, h *Held) bool {
	until := m.opts.Now().Add(m.opts.SuccessorWait(h.duty))
	for m.opts.Now().Before(until) {
		changed := m.feed.Changed()
		m.refresh()
		select {
		case <-h.lost:
			return false
		case <-ctx.Done():
			m.mu.Lock()
			m.dropLocked(h)
			m.mu.Unlock()
			return false
		default:
			m.waitChange(ctx, changed)
		}
	}
	return true
}

// waitChange waits for a change of the table or, at most, for the poll interval.
func (m *Manager) waitChange(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(m.opts.Poll)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
