package lease

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/machine"
)

// Manager acquires, renews and releases the leases of one instance.
type Manager struct {
	self machine.Instance
	feed Feed
	opts Options

	mu sync.Mutex
	// held and campaigns are keyed by duty.
	held      map[string]*Held
	campaigns map[string]bool
	// sent holds the send times of records that may be in the log, by their number.
	sent map[uint64]attempt
	seq  uint64
	// pauses counts reported pauses; reread is the count up to which the log was read again.
	pauses, reread uint64
	paused         chan struct{}

	heldGauge   prometheus.Gauge
	renewErrors prometheus.Counter
}

// attempt is an acquire or renewal record that was sent.
type attempt struct {
	at time.Time
	// duty is set for an acquire record; contested states that it names an unreleased lease.
	duty      string
	contested bool
}

// NewManager returns a manager for self. Run must be called for leases to be renewed.
func NewManager(self machine.Instance, feed Feed, opts Options) *Manager {
	m := &Manager{
		self: self, feed: feed, opts: opts.withDefaults(), held: map[string]*Held{},
		campaigns: map[string]bool{}, sent: map[uint64]attempt{}, paused: make(chan struct{}, 1),
		heldGauge: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cicadasill_lease_held", Help: "Leases held by this instance."}),
		renewErrors: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cicadasill_lease_renewal_errors_total", Help: "Renewal records without a confirmed append."}),
	}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(m.heldGauge, m.renewErrors)
	}
	return m
}

// Run renews the held leases and notices their loss until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var group conc.WaitGroup
	group.Go(func() { m.watch(ctx) })
	group.Go(func() { m.renewLoop(ctx) })
	group.Wait()
	return nil
}

// watch closes the Lost channels of leases that the log gives to others.
func (m *Manager) watch(ctx context.Context) {
	for {
		changed := m.feed.Changed()
		m.refresh()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (m *Manager) renewLoop(ctx context.Context) {
	every := m.opts.TTL / renewalsPerTTL
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	last := m.opts.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.paused:
		case <-ticker.C:
		}
		if now := m.opts.Now(); now.Sub(last) > m.opts.TTL {
			m.ReportPause()
		}
		last = m.opts.Now()
		m.renewOnce(ctx, every)
	}
}

// renewOnce bounds one renewal, and the read of the log after a pause, by a timeout.
func (m *Manager) renewOnce(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := m.Reread(ctx); err != nil {
		m.opts.Logger.Warn("no read of the log after a pause", "err", err)
		return
	}
	if err := m.Renew(ctx); err != nil {
		m.opts.Logger.Warn("leases not renewed", "err", err)
	}
}

// ReportPause states that this process may have stood still. No lease is valid until the log
// has been read again.
func (m *Manager) ReportPause() {
	m.mu.Lock()
	m.pauses++
	m.mu.Unlock()
	select {
	case m.paused <- struct{}{}:
	default:
	}
}

// Reread reads the log after a reported pause; without one it does nothing.
func (m *Manager) Reread(ctx context.Context) error {
	m.mu.Lock()
	pauses, reread := m.pauses, m.reread
	m.mu.Unlock()
	if pauses == reread {
		return nil
	}
	if err := m.feed.Sync(ctx); err != nil {
		return &Error{Code: RereadFailed, Err: err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reread = max(m.reread, pauses)
	m.refreshLocked()
	return nil
}

// Renew renews all held leases with one record and waits until it is applied. The record may
// take effect even if an error is returned.
func (m *Manager) Renew(ctx context.Context) error {
	renewal := m.nextRenewal()
	if len(renewal.Epochs) == 0 {
		return nil
	}
	offset, err := m.feed.AppendLease(ctx, Entry{Renewal: &renewal})
	if err == nil {
		err = m.feed.WaitOffset(ctx, offset)
	}
	m.refresh()
	if err != nil {
		m.renewErrors.Inc()
		return &Error{Code: RenewalFailed, Err: err}
	}
	return nil
}

// nextRenewal builds the renewal record. Its send time is taken before it is sent, so that the
// validity it gives ends no later than any candidate's wait.
func (m *Manager) nextRenewal() Renewal {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshLocked()
	r := Renewal{Holder: m.self.Ref(), Epochs: map[string]int64{}}
	for duty, h := range m.held {
		r.Epochs[duty] = h.epoch
	}
	if len(r.Epochs) > 0 {
		r.Seq = m.nextAttempt(attempt{})
	}
	return r
}

// nextAttempt numbers a record that is about to be sent and forgets those that can no longer
// make a lease valid. An acquire is kept while its campaign runs, so that a late append is
// recognised.
func (m *Manager) nextAttempt(a attempt) uint64 {
	a.at = m.opts.Now()
	for seq, old := range m.sent {
		if a.at.Sub(old.at) > m.opts.TTL && !m.campaigns[old.duty] {
			delete(m.sent, seq)
		}
	}
	m.seq++
	m.sent[m.seq] = a
	return m.seq
}

// refresh brings the held leases in line with the table.
func (m *Manager) refresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshLocked()
}

func (m *Manager) refreshLocked() {
	table := m.feed.Leases()
	for duty, h := range m.held {
		l, ok := table.Get(duty)
		if !ok || l.Released || l.Epoch != h.epoch || l.Holder != m.self.Ref() {
			m.dropLocked(h)
			continue
		}
		if a, ok := m.sent[l.Seq]; ok {
			if until := a.at.Add(m.opts.TTL); until.After(h.validUntil) {
				h.validUntil = until
			}
		}
	}
}

// dropLocked ends a held lease at this instance.
func (m *Manager) dropLocked(h *Held) {
	if m.held[h.duty] == h {
		delete(m.held, h.duty)
		m.heldGauge.Set(float64(len(m.held)))
		close(h.lost)
	}
}

// ReleaseAll releases every held lease, for a planned stop.
func (m *Manager) ReleaseAll(ctx context.Context) error {
	m.mu.Lock()
	all := make([]*Held, 0, len(m.held))
	for _, h := range m.held {
		all = append(all, h)
	}
	m.mu.Unlock()
	var first error
	for _, h := range all {
		if err := h.Release(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}
