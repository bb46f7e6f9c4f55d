package membership

import (
	"sort"
	"time"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/link/wire"
	"github.com/cicadasill/cicadasill/machine"
)

// Short names of the member states on the wire.
const (
	live    = wire.MemberUpdate_LIVE
	suspect = wire.MemberUpdate_SUSPECT
	dead    = wire.MemberUpdate_DEAD
	left    = wire.MemberUpdate_LEFT
)

// member is what is known of the newest run of an id.
type member struct {
	inst       machine.Instance
	refutation uint64
	state      wire.MemberUpdate_State
	since      time.Time
}

func (e *member) alive() bool { return e.state == live || e.state == suspect }

func (e *member) update() *wire.MemberUpdate {
	return &wire.MemberUpdate{Instance: link.ToWire(e.inst), State: e.state, Refutation: e.refutation}
}

// supersedes reports whether a statement of (incarnation, refutation, state) replaces e. A
// higher incarnation always does. Within a run, left is final, then the higher refutation wins,
// then the worse state.
func (e *member) supersedes(u *wire.MemberUpdate) bool {
	inc := u.GetInstance().GetIncarnation()
	switch {
	case inc != e.inst.Incarnation:
		return inc > e.inst.Incarnation
	case e.state == left:
		return false
	case u.GetState() == left:
		return true
	case u.GetRefutation() != e.refutation:
		return u.GetRefutation() > e.refutation
	}
	return u.GetState() > e.state
}

// apply merges a statement about a member into the table.
func (m *Members) applyLocked(u *wire.MemberUpdate) {
	if u.GetState() == wire.MemberUpdate_BACKEND_LEAVING {
		m.applyLeavingLocked(u)
		return
	}
	inst := link.FromWire(u.GetInstance())
	switch {
	case inst.ID == "" || inst.Incarnation == 0:
		return
	case inst.ID == m.self.ID:
		m.applySelfLocked(inst.Incarnation, u)
		return
	}
	e := m.table[inst.ID]
	if e != nil && !e.supersedes(u) {
		return
	}
	m.log.Info("member", "id", inst.ID, "incarnation", inst.Incarnation, "state", u.GetState(), "refutation", u.GetRefutation())
	m.table[inst.ID] = &member{inst: inst, refutation: u.GetRefutation(), state: u.GetState(), since: time.Now()}
	m.metrics.transitions.WithLabelValues(u.GetState().String()).Inc()
	m.spreadLocked(gossipKey{id: inst.ID})
	if !m.table[inst.ID].alive() {
		m.newsLocked()
	}
	m.publishLocked()
}

// applySelfLocked refutes a statement that this run is suspected or dead. It does not refute one
// about another run of the same id.
func (m *Members) applySelfLocked(incarnation uint64, u *wire.MemberUpdate) {
	switch {
	case incarnation > m.self.Incarnation:
		select {
		case <-m.superseded:
		default:
			m.log.Error("a newer run of this instance exists", "incarnation", incarnation)
			close(m.superseded)
		}
	case incarnation < m.self.Incarnation || m.left:
	case u.GetState() != live && u.GetRefutation() >= m.refutation:
		m.refutation = u.GetRefutation() + 1
		m.metrics.refutations.Inc()
		m.spreadLocked(gossipKey{id: m.self.ID})
	}
}

// selfUpdateLocked is this run's statement about itself.
func (m *Members) selfUpdateLocked() *wire.MemberUpdate {
	u := &wire.MemberUpdate{Instance: link.ToWire(m.self), State: live, Refutation: m.refutation}
	if m.left {
		u.State = left
	}
	return u
}

// publishLocked stores the live members and wakes those who wait when they changed.
func (m *Members) publishLocked() {
	out := []machine.Instance{m.self}
	for _, e := range m.table {
		if e.alive() {
			out = append(out, e.inst)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	old := *m.live.Load()
	if equal(old, out) {
		return
	}
	m.live.Store(&out)
	m.metrics.live.Set(float64(len(out)))
	close(m.changed)
	m.changed = make(chan struct{})
}

func equal(a, b []machine.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// expireLocked turns old suspicions into deaths and drops old tombstones.
func (m *Members) expireLocked(now time.Time) {
	tombstones := 0
	for id, e := range m.table {
		if e.state == suspect && now.Sub(e.since) >= m.opts.Suspicion {
			u := e.update()
			u.State = dead
			m.applyLocked(u)
		}
		if !e.alive() {
			tombstones++
			if now.Sub(e.since) > tombstoneFor || (tombstones > maxTombstones && now.Sub(e.since) > syncTombstones) {
				delete(m.table, id)
			}
		}
	}
}

// restartSuspicionsLocked gives suspected members their full time again. After a pause this
// instance cannot know whether refutations were sent to it meanwhile.
func (m *Members) restartSuspicionsLocked(now time.Time) {
	for _, e := range m.table {
		if e.state == suspect {
			e.since = now
		}
	}
}
