// Package control defines the records of the control stream and the state that results from
// applying them in log order: the catalog of services, the weight versions and the leases.
// Applying records is deterministic: every instance that has applied the same records has the
// same state.
package control

import (
	"encoding/json"
	"fmt"

	"github.com/cicadasill/cicadasill/lease"
	"github.com/cicadasill/cicadasill/release"
)

// Names of the log streams that hold the control records and the snapshots of their state.
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

// Record is one record of the control stream. Kind determines which of the other fields is set.
type Record struct {
	Kind    Kind           `json:"kind"`
	Note    *release.Note  `json:"note,omitempty"`
	Version *Version       `json:"version,omitempty"`
	Acquire *lease.Acquire `json:"acquire,omitempty"`
	Renewal *lease.Renewal `json:"renewal,omitempty"`
	Release *lease.Release `json:"release,omitempty"`
	Marker  *Marker        `json:"marker,omitempty"`
}

// Version identifies the weight version of a service that a record announces or withdraws, and
// the trainer that announces it.
type Version struct {
	Service string `json:"service"`
	Version int64  `json:"version"`
	Trainer string `json:"trainer,omitempty"`
}

// Marker records in the control stream that a snapshot was written.
type Marker struct {
	// SnapshotOffset is the snapshot's offset in SnapshotsStream; StateOffset is State.Offset of
	// the state in the snapshot.
	SnapshotOffset int64 `json:"snapshot_offset"`
	StateOffset    int64 `json:"state_offset"`
}

// SkipReason says why a record had no effect on the state.
type SkipReason string

// Reasons for skipping a record.
const (
	// SkipMalformed: the data is not the JSON encoding of a record.
	SkipMalformed SkipReason = "malformed"
	// SkipUnknownKind: the kind is not one of those above.
	SkipUnknownKind SkipReason = "unknown_kind"
	// SkipIncomplete: a field that the kind requires is missing or invalid, or the record's
	// offset is not State.Offset.
	SkipIncomplete SkipReason = "incomplete"
	// SkipNoteRefused: the catalog refused the note.
	SkipNoteRefused SkipReason = "note_refused"
	// SkipUnknownService: the version belongs to a service that is not in the catalog.
	SkipUnknownService SkipReason = "unknown_service"
	// SkipVersionUnchanged: the record repeats an announcement or a withdrawal.
	SkipVersionUnchanged SkipReason = "version_known"
	// SkipVersionTooOld: the version is so old that it has been discarded.
	SkipVersionTooOld SkipReason = "version_too_old"
	// SkipLeaseRefused: the lease table refused the change, for example for an outdated epoch.
	SkipLeaseRefused SkipReason = "lease_refused"
)

// SkipError reports a record that had no effect on the state.
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

// Encode returns the JSON encoding of the record, as it is appended to the log.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode parses a record from its JSON encoding and checks that the field for its kind is
// present. Every error is a *SkipError.
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
