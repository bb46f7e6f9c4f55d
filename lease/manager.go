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
	// held and campaigns are keyed by duty; campaigns contains the duties campaigned for.
	held      map[string]*Held
	campaigns map[string]bool
	// sent holds records that may be in the log, keyed by their sequence number.
	sent map[uint64]sentRecord
	seq  uint64
	// reportedPauses counts the calls of ReportPause. handledPauses is the number of those after
	// which the log has been read. No lease is valid while the two differ.
	reportedPauses, handledPauses uint64
	pauseSignal                   chan struct{}

	heldGauge     prometheus.Gauge
	renewalErrors prometheus.Counter
}

// sentRecord describes an acquire or renewal record that was sent to the log.
type sentRecord struct {
	sentAt time.Time
	// duty is set only for an acquire record. contested reports that the record replaces a lease
	// that was not released.
	duty      string
	contested bool
}

// NewManager returns a Manager for the instance self. Leases are renewed only while Run runs.
func NewManager(self machine.Instance, feed Feed, opts Options) *Manager {
	m := &Manager{
		self: self, feed: feed, opts: opts.withDefaults(), held: map[string]*Held{},
		campaigns: map[string]bool{}, sent: map[uint64]sentRecord{}, pauseSignal: make(chan struct{}, 1),
		heldGauge: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cicadasill_lease_held", Help: "Leases held by this instance."}),
		renewalErrors: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cicadasill_lease_renewal_errors_total", Help: "Renewal records without a confirmed append."}),
	}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(m.heldGauge, m.renewalErrors)
	}
	return m
}

// Run renews the held leases and detects their loss until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var group conc.WaitGroup
	group.Go(func() { m.refreshLoop(ctx) })
	group.Go(func() { m.renewLoop(ctx) })
	group.Wait()
	return nil
}

// refreshLoop compares the held leases with the table after each change of the control stream, so
// that the Lost channel of a lease is closed when another instance acquires the duty.
func (m *Manager) refreshLoop(ctx context.Context) {
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
	interval := m.opts.TTL / renewalsPerTTL
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last := m.opts.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.pauseSignal:
		case <-ticker.C:
		}
		if now := m.opts.Now(); now.Sub(last) > m.opts.TTL {
			m.ReportPause()
		}
		last = m.opts.Now()
		m.renewOnce(ctx, interval)
	}
}

// renewOnce reads the log if a pause was reported, then renews the held leases. The timeout bounds
// both together.
func (m *Manager) renewOnce(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := m.Reread(ctx); err != nil {
		m.opts.Logger.Warn("log not read after a pause", "err", err)
		return
	}
	if err := m.Renew(ctx); err != nil {
		m.opts.Logger.Warn("leases not renewed", "err", err)
	}
}

// ReportPause records that this process may have been paused. No lease is valid until the log has
// been read again, since another instance may have acquired the duty during the pause.
func (m *Manager) ReportPause() {
	m.mu.Lock()
	m.reportedPauses++
	m.mu.Unlock()
	select {
	case m.pauseSignal <- struct{}{}:
	default:
	}
}

// Reread reads the log to its end if a pause was reported since the last read, and makes the leases
// that are still held usable again.
func (m *Manager) Reread(ctx context.Context) error {
	m.mu.Lock()
	reported, handled := m.reportedPauses, m.handledPauses
	m.mu.Unlock()
	if reported == handled {
		return nil
	}
	if err := m.feed.Sync(ctx); err != nil {
		return &Error{Code: RereadFailed, Err: err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handledPauses = max(m.handledPauses, reported)
	m.refreshLocked()
	return nil
}

// Renew renews all held leases with one record and waits until the record is applied. The record
// may take effect even if an error is returned.
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
		m.renewalErrors.Inc()
		return &Error{Code: RenewalFailed, Err: err}
	}
	return nil
}

// nextRenewal builds a renewal record for all held leases. Its send time is taken before the append,
// so that the validity that it grants ends no later than the wait of any candidate.
func (m *Manager) nextRenewal() Renewal {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshLocked()
	r := Renewal{Holder: m.self.Ref(), Epochs: map[string]int64{}}
	for duty, h := range m.held {
		r.Epochs[duty] = h.epoch
	}
	if len(r.Epochs) > 0 {
		r.Seq = m.assignSeqLocked(sentRecord{})
	}
	return r
}

// assignSeqLocked returns the sequence number of a record that is about to be sent. It also drops
// the records that are too old to make a lease valid. Acquire records are kept while their campaign
// runs, so that one that reaches the log late is recognised.
func (m *Manager) assignSeqLocked(rec sentRecord) uint64 {
	rec.sentAt = m.opts.Now()
	for seq, earlier := range m.sent {
		if rec.sentAt.Sub(earlier.sentAt) > m.opts.TTL && !m.campaigns[earlier.duty] {
			delete(m.sent, seq)
		}
	}
	m.seq++
	m.sent[m.seq] = rec
	return m.seq
}

// refresh updates the held leases from the table: it drops those that are no longer held and extends
// the validity of those whose last accepted record has a known send time.
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
		if rec, ok := m.sent[l.Seq]; ok {
			if until := rec.sentAt.Add(m.opts.TTL); until.After(h.validUntil) {
				h.validUntil = until
			}
		}
	}
}

// dropLocked removes a held lease and closes its Lost channel.
func (m *Manager) dropLocked(h *Held) {
	if m.held[h.duty] == h {
		delete(m.held, h.duty)
		m.heldGauge.Set(float64(len(m.held)))
		close(h.lost)
	}
}

// ReleaseAll releases every held lease and returns the first error. It is called on a planned stop.
func (m *Manager) ReleaseAll(ctx context.Context) error {
	m.mu.Lock()
	all := make([]*Held, 0, len(m.held))
	for _, h := range m.held {
		all = append(all, h)
	}
	m.mu.Unlock()
	var firstErr error
	for _, h := range all {
		if err := h.Release(ctx); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}
