package membership

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/link/wire"
)

// syncWith exchanges whole tables with a member that was found through the instance list: at
// start, and when a partition heals. Probes alone would take a pass over all members for that.
func (m *Members) syncWith(ctx context.Context, id string) {
	m.mu.Lock()
	e := m.table[id]
	if e == nil || !e.alive() || (!m.lastSync.IsZero() && time.Since(m.lastSync) < m.opts.SyncInterval) {
		m.mu.Unlock()
		return
	}
	m.lastSync = time.Now()
	to := e.inst
	table := m.tableLocked()
	m.mu.Unlock()
	payload, err := proto.Marshal(table)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.opts.IndirectTimeout)
	defer cancel()
	got, err := m.node.Call(ctx, to, link.CauseProbe, syncMethod, payload)
	var answer wire.MemberTable
	if err != nil || proto.Unmarshal(got, &answer) != nil {
		return
	}
	m.absorb(answer.GetUpdates(), nil)
}

func (m *Members) handleSync(_ context.Context, payload []byte) ([]byte, error) {
	var t wire.MemberTable
	if err := proto.Unmarshal(payload, &t); err != nil {
		return nil, err
	}
	m.absorb(t.GetUpdates(), nil)
	m.mu.Lock()
	answer := m.tableLocked()
	m.mu.Unlock()
	return proto.Marshal(answer)
}

// tableLocked returns the statements about all members, without old tombstones.
func (m *Members) tableLocked() *wire.MemberTable {
	t := &wire.MemberTable{Updates: []*wire.MemberUpdate{m.selfUpdateLocked()}}
	for _, e := range m.table {
		if e.alive() || time.Since(e.since) < syncTombstones {
			t.Updates = append(t.Updates, e.update())
		}
	}
	for id := range m.leaving {
		if u := m.statementLocked(gossipKey{backend: id}); u != nil {
			t.Updates = append(t.Updates, u)
		}
	}
	return t
}
