package membership

import (
	"context"
	"sort"
	"time"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// entryKind is the Kind of entry instances in the instance list.
const entryKind = "entry"

// Run probes members and polls the instance list until ctx is done. It always returns nil.
func (m *Members) Run(ctx context.Context) error {
	m.wg.Go(func() { m.pollInstanceList(ctx) })
	m.wg.Go(func() { m.watchPauses(ctx) })
	m.wg.Go(func() { m.expireSuspicions(ctx) })
	m.wg.Go(func() { m.pushUrgentUpdates(ctx) })
	t := time.NewTicker(m.opts.ProbeInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		m.startProbes(ctx)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	m.wg.Wait()
	return nil
}

// expireSuspicions checks for expired suspicions several times per probe interval. A check once per
// interval would declare a death up to a whole interval after the suspicion timeout.
func (m *Members) expireSuspicions(ctx context.Context) {
	t := time.NewTicker(max(m.opts.ProbeInterval/expiryChecksPerInterval, time.Millisecond))
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		m.mu.Lock()
		if gap := now.Sub(last); gap > m.opts.SuspicionTimeout/2 {
			m.restartSuspicionsLocked(now)
		}
		m.expireLocked(now)
		m.mu.Unlock()
		last = now
	}
}

// startProbes starts the probes of one interval.
func (m *Members) startProbes(ctx context.Context) {
	m.mu.Lock()
	var targets, candidates []machine.Instance
	if !m.hasLeft {
		targets, candidates = m.nextTargetsLocked(), m.nextCandidatesLocked()
	}
	m.mu.Unlock()
	for _, i := range targets {
		m.tryGo(func() { m.checkTarget(ctx, i, false) })
	}
	for _, i := range candidates {
		m.tryGo(func() { m.checkTarget(ctx, i, true) })
	}
}

// tryGo runs f in a goroutine, or drops it if too many probes are in flight. A target whose probe
// was dropped is probed again in the next pass.
func (m *Members) tryGo(f func()) {
	select {
	case m.probeSlots <- struct{}{}:
	default:
		return
	}
	m.wg.Go(func() {
		defer func() { <-m.probeSlots }()
		f()
	})
}

// nextTargetsLocked returns the members to probe in this interval. Each pass probes every live
// member once, in random order.
func (m *Members) nextTargetsLocked() []machine.Instance {
	var out []machine.Instance
	refilled := false
	for len(out) < probesPerInterval {
		if len(m.probeOrder) == 0 {
			if refilled {
				break
			}
			refilled = true
			m.probeOrder = m.shuffledIDsLocked(func(e *member) bool { return e.isLive() })
			continue
		}
		id := m.probeOrder[0]
		m.probeOrder = m.probeOrder[1:]
		if e := m.table[id]; e != nil && e.isLive() && !containsID(out, id) {
			out = append(out, e.inst)
		}
	}
	return out
}

func containsID(list []machine.Instance, id string) bool {
	for _, i := range list {
		if i.ID == id {
			return true
		}
	}
	return false
}

// shuffledIDsLocked returns the ids of the members that include accepts, in random order.
func (m *Members) shuffledIDsLocked(include func(*member) bool) []string {
	var ids []string
	for id, e := range m.table {
		if include(e) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids) // the map order is random, so the seed alone would not make the shuffle repeatable
	m.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// nextCandidatesLocked returns listed instances to probe that the table does not hold as live at
// their listed address: one per interval, more while no peer is known. Dead members remain
// candidates while they are listed, so that the two sides of a healed partition rediscover each
// other.
func (m *Members) nextCandidatesLocked() []machine.Instance {
	n := 1
	if len(m.Live()) == 1 {
		n = candidatesWithoutPeers
	}
	if len(m.candidateOrder) == 0 {
		for id := range m.listed {
			m.candidateOrder = append(m.candidateOrder, id)
		}
		sort.Strings(m.candidateOrder)
		m.rng.Shuffle(len(m.candidateOrder), func(i, j int) {
			m.candidateOrder[i], m.candidateOrder[j] = m.candidateOrder[j], m.candidateOrder[i]
		})
	}
	var out []machine.Instance
	for len(m.candidateOrder) > 0 && len(out) < n {
		i, listed := m.listed[m.candidateOrder[0]]
		m.candidateOrder = m.candidateOrder[1:]
		e := m.table[i.ID]
		if listed && (e == nil || !e.isLive() || e.inst.PeerAddr != i.PeerAddr) {
			out = append(out, i)
		}
	}
	return out
}

// pollInstanceList refreshes the listed instances. If a poll fails, the previous list remains in
// use.
func (m *Members) pollInstanceList(ctx context.Context) {
	t := time.NewTicker(m.opts.ListPollInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, max(m.opts.ListPollInterval, time.Second))
		list, err := m.instanceList.List(callCtx)
		cancel()
		if err != nil {
			m.log.Debug("instance list poll failed", "err", err)
		} else {
			m.setListed(list)
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// setListed replaces the listed instances by the entry instances of list, without this instance
// and those that are leaving.
func (m *Members) setListed(list []platform.Listed) {
	listed := map[string]machine.Instance{}
	for _, l := range list {
		if l.Kind == entryKind && l.PeerAddr != "" && l.ID != m.self.ID && l.State != platform.Leaving {
			listed[l.ID] = machine.Instance{ID: l.ID, PeerAddr: l.PeerAddr, HTTPAddr: l.HTTPAddr, Zone: l.Zone}
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = listed
}
