// Package control defines the records of the control stream and their deterministic fold:
// the catalog of services, the weight versions and the leases.
package control

import (
	"encoding/json"
	"fmt"

	"github.com/cicadasill/cicadasill/lease"
	"github.com/cicadasill/cicadasill/release"
)

// Streams of the log that hold control data.
const (
	Stream          = "control"
	SnapshotsStream = "snapshots"
)

// Kind is the kind of a control record.
type Kind string

// Kinds of control records.
const (
	KindNote             Kind = "note"
	KindVersionAnnounced Kind = "version_announced"
	KindVersionWithdrawn Kind = "version_withdrawn"
	KindLeaseAcquired    Kind = "lease_acquired"
	KindLeaseRenewed     Kind = "lease_renewed"
	KindLeaseReleased    Kind = "lease_released"
	KindSnapshotMarker   Kind = "snapshot_marker"
)

// Record is one control record. The field that its kind names is set.
type Record struct {
	Kind    Kind           `json:"kind"`
	Note    *release.Note  `json:"note,omitempty"`
	Version *Version       `json:"version,omitempty"`
	Acquire *lease.Acquire `json:"acquire,omitempty"`
	Renewal *lease.Renewal `json:"renewal,omitempty"`
	Release *lease.Release `json:"release,omitempty"`
	Marker  *Marker        `json:"marker,omitempty"`
}

// Version announces or withdraws a weight version of a service.
type Version struct {
	Service string `json:"service"`
	Version int64  `json:"version"`
	Trainer string `json:"trainer,omitempty"`
}

// Marker states that a snapshot was written.
type Marker struct {
	// SnapshotOffset is the snapshot's offset in its stream; StateOffset is the offset of its state.
	SnapshotOffset int64 `json:"snapshot_offset"`
	StateOffset    int64 `json:"state_offset"`
}

// SkipReason says why the fold left a record without effect.
type SkipReason string

// Reasons for skipping a record.
const (
	SkipMalformed      SkipReason = "malformed"
	SkipUnknownKind    SkipReason = "unknown_kind"
	SkipIncomplete     SkipReason = "incomplete"
	SkipNoteRefused    SkipReason = "note_refused"
	SkipUnknownService SkipReason = "unknown_service"
	SkipVersionKnown   SkipReason = "version_known"
	SkipVersionTooOld  SkipReason = "version_too_old"
	SkipLeaseRefused   SkipReason = "lease_refused"
)

// SkipError reports a record that has no effect.
type SkipError struct {
	Reason SkipReason
	Err    error
}

// Error implements error.
func (e *SkipError) Error() string {
	if e.Err == nil {
		return "record skipped: " + string(e.Reason)
	}
	return fmt.Sprintf("record skipped: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *SkipError) Unwrap() error { return e.Err }

// Encode returns the record's data for the log.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode returns the record in data. An error is a *SkipError.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, &SkipError{Reason: SkipMalformed, Err: err}
	}
	var complete bool
	switch r.Kind {
	case KindNote:
		complete = r.Note != nil
	case KindVersionAnnounced, KindVersionWithdrawn:
		complete = r.Version != nil && r.Version.Service != "" && r.Version.Version > 0
	case KindLeaseAcquired:
		complete = r.Acquire != nil
	case KindLeaseRenewed:
		complete = r.Renewal != nil
	case KindLeaseReleased:
		complete = r.Release != nil
	case KindSnapshotMarker:
		complete = r.Marker != nil
	default:
		return Record{}, &SkipError{Reason: SkipUnknownKind}
	}
	if !complete {
		return Record{}, &SkipError{Reason: SkipIncomplete}
	}
	return r, nil
}
