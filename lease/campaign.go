package lease

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

const (
	// maxDoublings limits the exponential backoff between failed acquire attempts.
	maxDoublings = 6
	// ranksPerDelay is the number of ranks that lengthen the backoff by one full delay.
	ranksPerDelay = 4
)

// observation is the state of a lease as a candidate sees it, and when the candidate first saw
// that state.
type observation struct {
	epoch, renewed int64
	released       bool
	firstSeen      time.Time
}

// Campaign blocks until this instance holds the duty and the successor's wait is over. It fails
// with Cancelled when ctx ends first, and with AlreadyHeld when this instance holds the duty or
// campaigns for it already.
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

// acquire appends acquire records until one of them is accepted. contested reports that the
// predecessor had not released its lease.
func (m *Manager) acquire(ctx context.Context, duty string) (h *Held, contested bool, err error) {
	var seen observation
	var retryAt time.Time
	failures := 0
	for ctx.Err() == nil {
		changed := m.feed.Changed()
		current, exists := m.feed.Leases().Get(duty)
		if h, contested, ok := m.confirmAcquired(duty, current); ok {
			return h, contested, nil
		}
		seen = m.observe(seen, current, exists)
		now := m.opts.Now()
		if earliest := m.earliestAcquire(seen); !now.Before(earliest) && !now.Before(retryAt) {
			if err := m.tryAcquire(ctx, duty, seen); err != nil {
				retryAt = m.opts.Now().Add(m.retryBackoff(failures))
				failures++
				m.opts.Logger.Debug("acquire not confirmed", "duty", duty, "err", err)
			}
		} else {
			m.waitForChange(ctx, changed)
		}
	}
	return nil, false, &Error{Code: Cancelled, Duty: duty, Err: ctx.Err()}
}

// retryBackoff returns the backoff after a failed acquire attempt. It grows with the failures and
// with the rank, so that the candidates of a large deployment do not exhaust the log's append
// rate during a log outage.
func (m *Manager) retryBackoff(failures int) time.Duration {
	backoff := min(m.opts.PollInterval<<min(failures, maxDoublings), m.opts.TTL)
	return backoff + backoff*time.Duration(m.rank())/ranksPerDelay
}

// observe returns seen if the lease is unchanged, and a new observation of it otherwise.
// firstSeen thus stays the time at which the candidate first saw the lease in its current state.
func (m *Manager) observe(seen observation, current Lease, exists bool) observation {
	latest := observation{epoch: NoLease, renewed: NoLease, released: true, firstSeen: m.opts.Now()}
	if exists {
		latest.epoch, latest.renewed, latest.released = current.Epoch, current.Renewed, current.Released
	}
	if !seen.firstSeen.IsZero() && seen.epoch == latest.epoch && seen.renewed == latest.renewed &&
		seen.released == latest.released {
		return seen
	}
	return latest
}

// earliestAcquire returns the earliest time at which the candidate may append an acquire record:
// after TTL without a renewal unless the lease was released, and later for a higher rank.
func (m *Manager) earliestAcquire(seen observation) time.Time {
	earliest := seen.firstSeen.Add(time.Duration(m.rank()) * m.opts.RankDelay)
	if !seen.released {
		earliest = earliest.Add(m.opts.TTL)
	}
	return earliest
}

// rank returns the position of this instance among the live instances, in hash order. The order
// is the same for all duties, so that one instance tends to hold all of them and renews them with
// one record. A renewal is replicated to every node: with a different holder for each duty,
// renewals would make up most of the control traffic.
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
	return min(rank, maxRank)
}

// tryAcquire appends one acquire record. If the outcome of the append is unknown, it reads the
// log to its end, so that the next iteration of acquire sees whether the record was stored.
func (m *Manager) tryAcquire(ctx context.Context, duty string, seen observation) error {
	m.mu.Lock()
	seq := m.assignSeqLocked(sentRecord{duty: duty, contested: !seen.released})
	m.mu.Unlock()
	offset, err := m.feed.AppendLease(ctx, Entry{Acquire: &Acquire{
		Duty: duty, Holder: m.self.Ref(), Seq: seq,
		PredecessorEpoch: seen.epoch, PredecessorRenewal: seen.renewed,
	}})
	if err == nil {
		return m.feed.WaitOffset(ctx, offset)
	}
	if !platform.HadNoEffect(err) {
		// The table shows the result; a failed read only delays the next iteration.
		_ = m.feed.Sync(ctx)
	}
	return err
}

// confirmAcquired returns a Held if the current lease was created by an acquire record of this
// campaign, however late that record reached the log. It also returns whether the acquire was
// contested, and whether the duty is held.
func (m *Manager) confirmAcquired(duty string, current Lease) (*Held, bool, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rec, known := m.sent[current.Seq]
	if current.Holder != m.self.Ref() || current.Released || !known || rec.duty != duty {
		return nil, false, false
	}
	h := &Held{m: m, duty: duty, epoch: current.Epoch, lost: make(chan struct{}), waiting: true}
	m.held[duty] = h
	m.heldGauge.Set(float64(len(m.held)))
	m.refreshLocked()
	return h, rec.contested, m.held[duty] == h
}

// waitForPredecessor waits until no order of the predecessor can start any more. It returns
// false if the lease is lost or ctx ends first. The lease is not released in that case: a release
// would let the next holder act before the predecessor's orders have expired.
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
			m.waitForChange(ctx, changed)
		}
	}
	return true
}

// waitForChange waits until the table changes, the poll interval elapses or ctx ends.
func (m *Manager) waitForChange(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(m.opts.PollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
