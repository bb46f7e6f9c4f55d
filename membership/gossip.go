package membership

import (
	"context"
	"math/bits"
	"sort"
	"time"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/link/wire"
	"github.com/cicadasill/cicadasill/machine"
)

// gossipKey names the subject of a statement; the statement itself is read when it is sent.
type gossipKey struct{ id, backend string }

type rumour struct{ sent int }

func (m *Members) spreadLocked(k gossipKey) { m.gossip[k] = &rumour{} }

// newsLocked wakes the push of statements that others must act on soon.
func (m *Members) newsLocked() {
	select {
	case m.news <- struct{}{}:
	default:
	}
}

// pushNews tells news to some peers at once instead of at the next probes. Everyone who hears
// news for the first time does the same, so that it reaches all members in a few round trips;
// statements on probes reach those who were missed.
func (m *Members) pushNews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.news:
		}
		for _, peer := range m.pickOthers(newsFanout, m.self.ID) {
			m.start(func() {
				if a, err := m.exchange(ctx, peer, nil); err == nil {
					m.absorb(a.GetUpdates(), a.GetPiggyback())
				}
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.opts.Period / newsPerPeriod):
		}
	}
}

// updatesLocked returns this instance's statement about itself, the one about the receiver when
// the receiver should hear it, and the least sent others.
func (m *Members) updatesLocked(to string) []*wire.MemberUpdate {
	out := []*wire.MemberUpdate{m.selfUpdateLocked()}
	if e := m.table[to]; e != nil && e.state != live {
		out = append(out, e.update())
	}
	keys := make([]gossipKey, 0, len(m.gossip))
	for k := range m.gossip {
		if k.id != m.self.ID && (k.id == "" || k.id != to) {
			keys = append(keys, k)
		}
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := m.gossip[keys[i]].sent, m.gossip[keys[j]].sent
		return a < b || a == b && (keys[i].id < keys[j].id || keys[i].id == keys[j].id && keys[i].backend < keys[j].backend)
	})
	limit := gossipFactor * bits.Len(uint(len(m.table)+1))
	for _, k := range keys[:min(len(keys), maxUpdates)] {
		if u := m.statementLocked(k); u != nil {
			out = append(out, u)
		}
		if m.gossip[k].sent++; m.gossip[k].sent >= limit {
			delete(m.gossip, k)
		}
	}
	return out
}

func (m *Members) statementLocked(k gossipKey) *wire.MemberUpdate {
	if k.backend != "" {
		at, ok := m.leaving[k.backend]
		if !ok {
			return nil
		}
		return &wire.MemberUpdate{State: wire.MemberUpdate_BACKEND_LEAVING, BackendId: k.backend, AgeMs: time.Since(at).Milliseconds()}
	}
	if e := m.table[k.id]; e != nil {
		return e.update()
	}
	return nil
}

// piggyback returns the data of the send hook.
func (m *Members) piggyback() []byte {
	m.mu.Lock()
	send := m.send
	m.mu.Unlock()
	if send == nil {
		return nil
	}
	return send()
}

// absorb merges the statements of a probe or an answer and hands its piggyback on. It returns
// the sender, which is the subject of the first statement.
func (m *Members) absorb(updates []*wire.MemberUpdate, piggyback []byte) machine.Instance {
	m.mu.Lock()
	for _, u := range updates {
		m.applyLocked(u)
	}
	receive := m.receive
	m.mu.Unlock()
	if len(updates) == 0 {
		return machine.Instance{}
	}
	from := link.FromWire(updates[0].GetInstance())
	if receive != nil && len(piggyback) > 0 {
		receive(from, piggyback)
	}
	return from
}
