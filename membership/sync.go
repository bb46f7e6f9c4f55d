package membership

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/link/wire"
)

// syncWith exchanges full tables with a member that was found through the instance list, at startup
// or after a partition has healed. Probes alone would need a pass over all members to transfer the
// same updates.
func (m *Members) syncWith(ctx context.Context, id string) {
	m.mu.Lock()
	e := m.table[id]
	if e == nil || !e.isLive() || (!m.lastSync.IsZero() && time.Since(m.lastSync) < m.opts.SyncInterval) {
		m.mu.Unlock()
		return
	}
	m.lastSync = time.Now()
	to := e.inst
	request := m.tableMessageLocked()
	m.mu.Unlock()
	payload, err := proto.Marshal(request)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.opts.IndirectTimeout)
	defer cancel()
	data, err := m.node.Call(ctx, to, link.CauseProbe, syncMethod, payload)
	var answer wire.MemberTable
	if err != nil || proto.Unmarshal(data, &answer) != nil {
		return
	}
	m.receiveUpdates(answer.GetUpdates(), nil)
}

// handleSync serves syncMethod: it merges the peer's table and returns its own.
func (m *Members) handleSync(_ context.Context, payload []byte) ([]byte, error) {
	var t wire.MemberTable
	if err := proto.Unmarshal(payload, &t); err != nil {
		return nil, err
	}
	m.receiveUpdates(t.GetUpdates(), nil)
	m.mu.Lock()
	answer := m.tableMessageLocked()
	m.mu.Unlock()
	return proto.Marshal(answer)
}

// tableMessageLocked returns the full table as a message: all live members, recent tombstones and
// the leaving back ends.
func (m *Members) tableMessageLocked() *wire.MemberTable {
	t := &wire.MemberTable{Updates: []*wire.MemberUpdate{m.selfUpdateLocked()}}
	for _, e := range m.table {
		if e.isLive() || time.Since(e.stateSince) < maxSyncedTombstoneAge {
			t.Updates = append(t.Updates, e.update())
		}
	}
	for id := range m.leavingBackends {
		if u := m.gossipUpdateLocked(gossipKey{backend: id}); u != nil {
			t.Updates = append(t.Updates, u)
		}
	}
	return t
}
