package membership

import (
	"sort"
	"time"

	"github.com/cicadasill/cicadasill/link/wire"
)

// LeavingBackends returns the sorted ids of the back ends that any instance reported as leaving in
// the last 30 s.
func (m *Members) LeavingBackends() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]string, 0, len(m.leavingBackends))
	for id, reportedAt := range m.leavingBackends {
		if time.Since(reportedAt) > leavingReportTTL {
			delete(m.leavingBackends, id)
			continue
		}
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// ReportLeaving records that a back end is leaving and propagates the report to all instances.
func (m *Members) ReportLeaving(backendID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordLeavingLocked(backendID, time.Now())
}

// applyBackendLeavingLocked merges a report that a back end is leaving. It dates the report by the
// age in the update, so that updates still circulating do not extend the state beyond 30 s after
// the last report.
func (m *Members) applyBackendLeavingLocked(u *wire.MemberUpdate) {
	age := time.Duration(max(0, u.GetAgeMs())) * time.Millisecond
	if u.GetBackendId() != "" && age < leavingReportTTL {
		m.recordLeavingLocked(u.GetBackendId(), time.Now().Add(-age))
	}
}

// recordLeavingLocked stores a report that a back end is leaving and queues it for other instances,
// unless it is less than leavingReportRefresh newer than the stored report.
func (m *Members) recordLeavingLocked(id string, reportedAt time.Time) {
	if old, known := m.leavingBackends[id]; known && reportedAt.Sub(old) < leavingReportRefresh {
		return
	}
	m.leavingBackends[id] = reportedAt
	m.enqueueLocked(gossipKey{backend: id})
	m.signalUrgentLocked()
	close(m.changed)
	m.changed = make(chan struct{})
}
