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
	stateLive    = wire.MemberUpdate_LIVE
	stateSuspect = wire.MemberUpdate_SUSPECT
	stateDead    = wire.MemberUpdate_DEAD
	stateLeft    = wire.MemberUpdate_LEFT
)

// member is the table entry for the newest known run of an instance id.
type member struct {
	inst       machine.Instance
	refutation uint64
	state      wire.MemberUpdate_State
	stateSince time.Time // start of the suspicion timeout or of the tombstone TTL
}

// isLive reports whether the member belongs to the view. A suspected member does.
func (e *member) isLive() bool { return e.state == stateLive || e.state == stateSuspect }

// update returns the entry as an update to send.
func (e *member) update() *wire.MemberUpdate {
	return &wire.MemberUpdate{Instance: link.ToWire(e.inst), State: e.state, Refutation: e.refutation}
}

// supersededBy reports whether u replaces e. A higher incarnation always does and a lower one never.
// Within a run, left is final, then the higher refutation number wins, then the later state in the
// order live, suspect, dead.
func (e *member) supersededBy(u *wire.MemberUpdate) bool {
	inc := u.GetInstance().GetIncarnation()
	switch {
	case inc != e.inst.Incarnation:
		return inc > e.inst.Incarnation
	case e.state == stateLeft:
		return false
	case u.GetState() == stateLeft:
		return true
	case u.GetRefutation() != e.refutation:
		return u.GetRefutation() > e.refutation
	}
	return u.GetState() > e.state
}

// applyLocked merges an update about a member into the table. An accepted update is queued for other
// members; a death or a departure is pushed to them at once.
func (m *Members) applyLocked(u *wire.MemberUpdate) {
	if u.GetState() == wire.MemberUpdate_BACKEND_LEAVING {
		m.applyBackendLeavingLocked(u)
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
	if e != nil && !e.supersededBy(u) {
		return
	}
	m.log.Info("member state changed", "id", inst.ID, "incarnation", inst.Incarnation, "state", u.GetState(), "refutation", u.GetRefutation())
	m.table[inst.ID] = &member{inst: inst, refutation: u.GetRefutation(), state: u.GetState(), stateSince: time.Now()}
	m.metrics.transitions.WithLabelValues(u.GetState().String()).Inc()
	m.enqueueLocked(gossipKey{id: inst.ID})
	if !m.table[inst.ID].isLive() {
		m.signalUrgentLocked()
	}
	m.publishViewLocked()
}

// applySelfLocked handles an update about this instance's id. It refutes a suspicion or death of this
// run by raising the refutation number, and closes superseded if a newer run exists. An update about
// an older run is ignored.
func (m *Members) applySelfLocked(incarnation uint64, u *wire.MemberUpdate) {
	switch {
	case incarnation > m.self.Incarnation:
		select {
		case <-m.superseded:
		default:
			m.log.Error("superseded by a newer run of this instance", "incarnation", incarnation)
			close(m.superseded)
		}
	case incarnation < m.self.Incarnation || m.hasLeft:
	case u.GetState() != stateLive && u.GetRefutation() >= m.refutation:
		m.refutation = u.GetRefutation() + 1
		m.metrics.refutations.Inc()
		m.enqueueLocked(gossipKey{id: m.self.ID})
	}
}

// selfUpdateLocked returns the update about this instance.
func (m *Members) selfUpdateLocked() *wire.MemberUpdate {
	u := &wire.MemberUpdate{Instance: link.ToWire(m.self), State: stateLive, Refutation: m.refutation}
	if m.hasLeft {
		u.State = stateLeft
	}
	return u
}

// publishViewLocked stores the live members and, if they have changed, notifies the waiters on
// Changed.
func (m *Members) publishViewLocked() {
	out := []machine.Instance{m.self}
	for _, e := range m.table {
		if e.isLive() {
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

// expireLocked declares members dead whose suspicion has timed out, and removes expired tombstones.
func (m *Members) expireLocked(now time.Time) {
	tombstones := 0
	for id, e := range m.table {
		if e.state == stateSuspect && now.Sub(e.stateSince) >= m.opts.SuspicionTimeout {
			u := e.update()
			u.State = stateDead
			m.applyLocked(u)
		}
		if !e.isLive() {
			tombstones++
			if now.Sub(e.stateSince) > tombstoneTTL || (tombstones > maxTombstones && now.Sub(e.stateSince) > maxSyncedTombstoneAge) {
				delete(m.table, id)
			}
		}
	}
}

// restartSuspicionsLocked restarts the suspicion timeout of all suspected members. It is called after
// a pause of this process, during which refutations may have been sent without being received.
func (m *Members) restartSuspicionsLocked(now time.Time) {
	for _, e := range m.table {
		if e.state == stateSuspect {
			e.stateSince = now
		}
	}
}
