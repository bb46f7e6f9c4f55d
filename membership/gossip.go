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

// gossipKey identifies the member or the leaving back end that a queued update is about. The
// content of the update is read from the table when it is sent.
type gossipKey struct{ id, backend string }

// queuedUpdate counts how often a queued update was sent.
type queuedUpdate struct{ sent int }

// enqueueLocked queues an update to be piggybacked on probes. It resets the count of an update
// that is already queued.
func (m *Members) enqueueLocked(k gossipKey) { m.gossipQueue[k] = &queuedUpdate{} }

// signalUrgentLocked wakes pushUrgentUpdates after a change that other members must act on soon.
func (m *Members) signalUrgentLocked() {
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

// pushUrgentUpdates sends urgent updates to a few random peers without waiting for the next probes.
// Each member that receives an urgent update for the first time does the same, so that the update
// reaches all members within a few round trips. Members that were missed receive it with a probe.
func (m *Members) pushUrgentUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.urgent:
		}
		for _, peer := range m.randomPeers(urgentFanout, m.self.ID) {
			m.tryGo(func() {
				if a, err := m.sendProbe(ctx, peer, nil); err == nil {
					m.receiveUpdates(a.GetUpdates(), a.GetPiggyback())
				}
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.opts.ProbeInterval / urgentPushesPerInterval):
		}
	}
}

// selectUpdatesLocked returns the updates for a message to the receiver: the one about this instance
// first, the one about the receiver if the receiver is not considered live or has been replaced by a
// newer run, and the least sent queued updates. It removes updates that have reached their maximum number
// of sends.
func (m *Members) selectUpdatesLocked(receiver machine.Instance) []*wire.MemberUpdate {
	out := []*wire.MemberUpdate{m.selfUpdateLocked()}
	receiverID := receiver.ID
	if e := m.table[receiverID]; e != nil && (e.state != stateLive || e.inst.Incarnation > receiver.Incarnation) {
		out = append(out, e.update())
	}
	keys := make([]gossipKey, 0, len(m.gossipQueue))
	for k := range m.gossipQueue {
		if k.id != m.self.ID && (k.id == "" || k.id != receiverID) {
			keys = append(keys, k)
		}
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := m.gossipQueue[keys[i]].sent, m.gossipQueue[keys[j]].sent
		return a < b || a == b && (keys[i].id < keys[j].id || keys[i].id == keys[j].id && keys[i].backend < keys[j].backend)
	})
	maxSends := gossipSendFactor * bits.Len(uint(len(m.table)+1))
	for _, k := range keys[:min(len(keys), maxGossipUpdates)] {
		if u := m.gossipUpdateLocked(k); u != nil {
			out = append(out, u)
		}
		if m.gossipQueue[k].sent++; m.gossipQueue[k].sent >= maxSends {
			delete(m.gossipQueue, k)
		}
	}
	return out
}

// gossipUpdateLocked returns the current update for k, or nil if its subject is no longer known.
func (m *Members) gossipUpdateLocked(k gossipKey) *wire.MemberUpdate {
	if k.backend != "" {
		reportedAt, ok := m.leavingBackends[k.backend]
		if !ok {
			return nil
		}
		return &wire.MemberUpdate{State: wire.MemberUpdate_BACKEND_LEAVING, BackendId: k.backend, AgeMs: time.Since(reportedAt).Milliseconds()}
	}
	if e := m.table[k.id]; e != nil {
		return e.update()
	}
	return nil
}

// outgoingPiggyback returns the application data to send with a probe or an answer.
func (m *Members) outgoingPiggyback() []byte {
	m.mu.Lock()
	send := m.sendPiggyback
	m.mu.Unlock()
	if send == nil {
		return nil
	}
	return send()
}

// receiveUpdates merges the updates of a message into the table and passes its piggybacked data to
// the receive callback. It returns the sender, which is the subject of the first update.
func (m *Members) receiveUpdates(updates []*wire.MemberUpdate, piggyback []byte) machine.Instance {
	m.mu.Lock()
	for _, u := range updates {
		m.applyLocked(u)
	}
	receive := m.receivePiggyback
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
