package membership

import (
	"sort"
	"time"

	"github.com/cicadasill/cicadasill/link/wire"
)

// LeavingBackends returns the ids of back ends that any instance reported leaving in the last 30 s.
func (m *Members) LeavingBackends() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]string, 0, len(m.leaving))
	for id, at := range m.leaving {
		if time.Since(at) > leavingFor {
			delete(m.leaving, id)
			continue
		}
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// ReportLeaving tells all instances that a back end is leaving.
func (m *Members) ReportLeaving(backendID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leavingSinceLocked(backendID, time.Now())
}

// applyLeavingLocked uses the age in the statement, so that statements that circulate do not
// keep a back end leaving for longer than 30 s after the last report.
func (m *Members) applyLeavingLocked(u *wire.MemberUpdate) {
	age := time.Duration(max(0, u.GetAgeMs())) * time.Millisecond
	if u.GetBackendId() != "" && age < leavingFor {
		m.leavingSinceLocked(u.GetBackendId(), time.Now().Add(-age))
	}
}

func (m *Members) leavingSinceLocked(id string, at time.Time) {
	if old, known := m.leaving[id]; known && at.Sub(old) < leavingRefresh {
		return
	}
	m.leaving[id] = at
	m.spreadLocked(gossipKey{backend: id})
	m.newsLocked()
	close(m.changed)
	m.changed = make(chan struct{})
}
