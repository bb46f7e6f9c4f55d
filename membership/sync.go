package membership

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/link/wire"
	"github.com/cicadasill/cicadasill/machine"
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
	answer, err := m.exchangeTables(ctx, to, request)
	if err != nil {
		// Probes carry the same updates, only later.
		m.log.Debug("tables not exchanged", "peer", to.ID, "err", err)
		return
	}
	m.receiveUpdates(answer.GetUpdates(), nil)
}

// exchangeTables sends this instance's table to a peer and returns the peer's.
func (m *Members) exchangeTables(ctx context.Context, to machine.Instance, table *wire.MemberTable) (*wire.MemberTable, error) {
	payload, err := proto.Marshal(table)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, m.opts.IndirectTimeout)
	defer cancel()
	data, err := m.node.Call(ctx, to, link.CauseProbe, syncMethod, payload)
	if err != nil {
		return nil, err
	}
	var answer wire.MemberTable
	return &answer, proto.Unmarshal(data, &answer)
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
