package membership

import (
	"context"
	"sort"
	"time"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// entryKind is the kind of entry instances in the instance list.
const entryKind = "entry"

// Run probes and polls the instance list until ctx ends. It returns nil.
func (m *Members) Run(ctx context.Context) error {
	m.wg.Go(func() { m.pollList(ctx) })
	m.wg.Go(func() { m.watchPauses(ctx) })
	m.wg.Go(func() { m.expireSuspicions(ctx) })
	m.wg.Go(func() { m.pushNews(ctx) })
	t := time.NewTicker(m.opts.Period)
	defer t.Stop()
	for ctx.Err() == nil {
		m.round(ctx)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	m.wg.Wait()
	return nil
}

// expireSuspicions ends suspicions between the periods, so that a death is not found up to a
// whole period later than the suspicion time.
func (m *Members) expireSuspicions(ctx context.Context) {
	t := time.NewTicker(max(m.opts.Period/expiryChecks, time.Millisecond))
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
		if gap := now.Sub(last); gap > m.opts.Suspicion/2 {
			m.restartSuspicionsLocked(now)
		}
		m.expireLocked(now)
		m.mu.Unlock()
		last = now
	}
}

// round starts the probes of one period.
func (m *Members) round(ctx context.Context) {
	m.mu.Lock()
	var targets, candidates []machine.Instance
	if !m.left {
		targets, candidates = m.targetsLocked(), m.candidatesLocked()
	}
	m.mu.Unlock()
	for _, i := range targets {
		m.start(func() { m.check(ctx, i, false) })
	}
	for _, i := range candidates {
		m.start(func() { m.check(ctx, i, true) })
	}
}

// start runs f unless too many probes are in flight; the next pass tries the target again.
func (m *Members) start(f func()) {
	select {
	case m.sem <- struct{}{}:
	default:
		return
	}
	m.wg.Go(func() {
		defer func() { <-m.sem }()
		f()
	})
}

// targetsLocked returns the next live members of a shuffled round robin.
func (m *Members) targetsLocked() []machine.Instance {
	var out []machine.Instance
	refilled := false
	for len(out) < probesPerPeriod {
		if len(m.order) == 0 {
			if refilled {
				break
			}
			refilled = true
			m.order = m.shuffledLocked(func(e *member) bool { return e.alive() })
			continue
		}
		id := m.order[0]
		m.order = m.order[1:]
		if e := m.table[id]; e != nil && e.alive() && !contains(out, id) {
			out = append(out, e.inst)
		}
	}
	return out
}

func contains(list []machine.Instance, id string) bool {
	for _, i := range list {
		if i.ID == id {
			return true
		}
	}
	return false
}

func (m *Members) shuffledLocked(want func(*member) bool) []string {
	var ids []string
	for id, e := range m.table {
		if want(e) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids) // map order would make the seed useless
	m.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// candidatesLocked returns listed instances that the table does not hold as live at that address:
// one a period, more while no peer is known. Dead members stay candidates while they are listed,
// so the two sides of a healed partition find each other.
func (m *Members) candidatesLocked() []machine.Instance {
	n := 1
	if len(m.Live()) == 1 {
		n = lonelyCandidates
	}
	if len(m.candidates) == 0 {
		for id := range m.listed {
			m.candidates = append(m.candidates, id)
		}
		sort.Strings(m.candidates)
		m.rng.Shuffle(len(m.candidates), func(i, j int) {
			m.candidates[i], m.candidates[j] = m.candidates[j], m.candidates[i]
		})
	}
	var out []machine.Instance
	for len(m.candidates) > 0 && len(out) < n {
		i, listed := m.listed[m.candidates[0]]
		m.candidates = m.candidates[1:]
		e := m.table[i.ID]
		if listed && (e == nil || !e.alive() || e.inst.PeerAddr != i.PeerAddr) {
			out = append(out, i)
		}
	}
	return out
}

// pollList keeps the candidates. The last list is kept while the list fails.
func (m *Members) pollList(ctx context.Context) {
	t := time.NewTicker(m.opts.ListPeriod)
	defer t.Stop()
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, max(m.opts.ListPeriod, time.Second))
		list, err := m.list.List(callCtx)
		cancel()
		if err != nil {
			m.log.Debug("instance list failed", "err", err)
		} else {
			m.setListed(list)
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

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
