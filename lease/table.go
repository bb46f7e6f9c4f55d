// Package lease gives duties to one instance at a time. Leases are records of the control
// stream: the fold of the stream decides who holds what, and each instance's own monotonic
// clock decides how long it may act.
package lease

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cicadasill/cicadasill/machine"
)

// None is the epoch and renewal offset that an acquire names when the duty has no lease.
const None int64 = -1

// MaxDuties bounds the table. A released lease makes room for a new duty when it is full.
const MaxDuties = 1024

// Acquire asks for a duty. It is accepted only if the current lease is the one it names.
type Acquire struct {
	Duty   string      `json:"duty"`
	Holder machine.Ref `json:"holder"`
	// PredecessorEpoch and PredecessorRenewal name the current lease, None when there is none.
	PredecessorEpoch   int64 `json:"predecessor_epoch"`
	PredecessorRenewal int64 `json:"predecessor_renewal"`
	// Seq is the holder's own number of this record, by which it finds the record's send time.
	Seq uint64 `json:"seq"`
}

// Renewal extends every lease of one holder. Epochs maps a duty to the epoch that is renewed.
type Renewal struct {
	Holder machine.Ref      `json:"holder"`
	Epochs map[string]int64 `json:"epochs"`
	Seq    uint64           `json:"seq"`
}

// Release gives a duty up.
type Release struct {
	Duty   string      `json:"duty"`
	Holder machine.Ref `json:"holder"`
	Epoch  int64       `json:"epoch"`
}

// Lease is the current lease of a duty.
type Lease struct {
	// Epoch is the offset of the accepted acquire record; it is the fencing number.
	Epoch  int64       `json:"epoch"`
	Holder machine.Ref `json:"holder"`
	// Renewed is the offset of the last accepted acquire or renewal, and Seq its number.
	Renewed  int64  `json:"renewed"`
	Seq      uint64 `json:"seq"`
	Released bool   `json:"released,omitempty"`
}

// Table is the immutable set of leases, by duty.
type Table struct{ leases map[string]Lease }

// Get returns the current lease of a duty.
func (t Table) Get(duty string) (Lease, bool) {
	l, ok := t.leases[duty]
	return l, ok
}

// Duties returns the duties with a lease, sorted.
func (t Table) Duties() []string { return slices.Sorted(maps.Keys(t.leases)) }

// Acquire applies an acquire record at an offset and reports whether it was accepted.
func (t Table) Acquire(a Acquire, offset int64) (Table, bool) {
	epoch, renewal := None, None
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

// evictReleased removes the released lease with the oldest renewal.
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
