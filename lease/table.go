// Package lease grants each duty to at most one instance at a time. Acquires, renewals and releases
// are records of the control stream: the fold of the stream decides which instance holds a duty,
// and the monotonic clock of that instance decides how long it may act.
//
// A holder sends orders to back ends, each with the fencing token of the lease and a deadline for its
// start. An instance that takes over a lease that was not released first waits until no order of the
// predecessor can start any more, since engines may ignore fencing tokens. This is the successor's
// wait.
package lease

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cicadasill/cicadasill/machine"
)

// NoLease is the predecessor epoch and renewal offset in an acquire of a duty that has no lease.
const NoLease int64 = -1

// MaxDuties is the maximum number of leases in a table. When the table is full, an acquire of a new
// duty evicts a released lease; without one it is refused.
const MaxDuties = 1024

// Acquire is a record that requests a duty. It is accepted only if the current lease of the duty is
// the one that it names as its predecessor.
type Acquire struct {
	Duty   string      `json:"duty"`
	Holder machine.Ref `json:"holder"`
	// PredecessorEpoch and PredecessorRenewal are the epoch and the last renewal of the lease to be
	// replaced, or NoLease.
	PredecessorEpoch   int64 `json:"predecessor_epoch"`
	PredecessorRenewal int64 `json:"predecessor_renewal"`
	// Seq is a sequence number assigned by the holder, which uses it to look up the send time.
	Seq uint64 `json:"seq"`
}

// Renewal is a record that extends all leases of one holder. Epochs maps each duty to the epoch that
// is renewed.
type Renewal struct {
	Holder machine.Ref      `json:"holder"`
	Epochs map[string]int64 `json:"epochs"`
	Seq    uint64           `json:"seq"`
}

// Release is a record that gives up a duty.
type Release struct {
	Duty   string      `json:"duty"`
	Holder machine.Ref `json:"holder"`
	Epoch  int64       `json:"epoch"`
}

// Lease is the current lease of a duty.
type Lease struct {
	// Epoch is the offset of the accepted acquire record. It serves as the fencing token.
	Epoch  int64       `json:"epoch"`
	Holder machine.Ref `json:"holder"`
	// Renewed is the offset of the last accepted acquire or renewal record, and Seq the sequence
	// number of that record.
	Renewed  int64  `json:"renewed"`
	Seq      uint64 `json:"seq"`
	Released bool   `json:"released,omitempty"`
}

// Table is an immutable set of leases, keyed by duty.
type Table struct{ leases map[string]Lease }

// Get returns the current lease of a duty.
func (t Table) Get(duty string) (Lease, bool) {
	l, ok := t.leases[duty]
	return l, ok
}

// Duties returns the sorted duties that have a lease, including released leases.
func (t Table) Duties() []string { return slices.Sorted(maps.Keys(t.leases)) }

// Acquire applies an acquire record at an offset and reports whether it was accepted.
func (t Table) Acquire(a Acquire, offset int64) (Table, bool) {
	epoch, renewal := NoLease, NoLease
	current, exists := t.leases[a.Duty]
	if exists {
		epoch, renewal = current.Epoch, current.Renewed
	}
	if a.Duty == "" || a.Holder.ID == "" || a.PredecessorEpoch != epoch || a.PredecessorRenewal != renewal {
		return t, false
	}
	next := t.clone()
	if !exists && len(next.leases) >= MaxDuties && !next.evictReleased() {
		return t, false
	}
	next.leases[a.Duty] = Lease{Epoch: offset, Holder: a.Holder, Renewed: offset, Seq: a.Seq}
	return next, true
}

// Renew applies a renewal record at an offset and reports whether any lease was renewed.
func (t Table) Renew(r Renewal, offset int64) (Table, bool) {
	next, renewed := t.clone(), false
	for duty, epoch := range r.Epochs {
		l, ok := t.leases[duty]
		if !ok || l.Released || l.Epoch != epoch || l.Holder != r.Holder {
			continue
		}
		l.Renewed, l.Seq = offset, r.Seq
		next.leases[duty], renewed = l, true
	}
	return next, renewed
}

// Release applies a release record and reports whether it was accepted.
func (t Table) Release(r Release) (Table, bool) {
	l, ok := t.leases[r.Duty]
	if !ok || l.Released || l.Epoch != r.Epoch || l.Holder != r.Holder {
		return t, false
	}
	next := t.clone()
	l.Released = true
	next.leases[r.Duty] = l
	return next, true
}

// evictReleased removes the released lease with the oldest renewal and reports whether there was
// one. It modifies the table and must be called only on a clone.
func (t Table) evictReleased() bool {
	oldest := ""
	for duty, l := range t.leases {
		if l.Released && (oldest == "" || l.Renewed < t.leases[oldest].Renewed ||
			(l.Renewed == t.leases[oldest].Renewed && duty < oldest)) {
			oldest = duty
		}
	}
	delete(t.leases, oldest)
	return oldest != ""
}

func (t Table) clone() Table {
	next := Table{leases: make(map[string]Lease, len(t.leases)+1)}
	maps.Copy(next.leases, t.leases)
	return next
}

// MarshalJSON implements json.Marshaler.
func (t Table) MarshalJSON() ([]byte, error) {
	if t.leases == nil {
		return []byte("{}"), nil
	}
	return json.Marshal(t.leases)
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *Table) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &t.leases) }
