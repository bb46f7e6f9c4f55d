package control

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = 1

// envelope is the JSON form of a snapshot. Checksum is the xxhash64 of State.
type envelope struct {
	Format   int             `json:"format"`
	Checksum uint64          `json:"checksum"`
	State    json.RawMessage `json:"state"`
}

// SnapshotCode says why a snapshot cannot be used.
type SnapshotCode string

// Faults of a snapshot.
const (
	SnapshotMalformed SnapshotCode = "malformed"
	SnapshotFormat    SnapshotCode = "unknown_format"
	SnapshotChecksum  SnapshotCode = "checksum"
)

// SnapshotError reports a snapshot that cannot be used.
type SnapshotError struct {
	Code SnapshotCode
	Err  error
}

// Error implements error.
func (e *SnapshotError) Error() string { return fmt.Sprintf("snapshot: %s: %v", e.Code, e.Err) }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }

// EncodeSnapshot returns the snapshot of a state. Equal states have equal snapshots.
func EncodeSnapshot(s *State) ([]byte, error) {
	state, err := json.Marshal(s)
	if err != nil {
		return nil, &SnapshotError{Code: SnapshotMalformed, Err: err}
	}
	return json.Marshal(envelope{Format: snapshotFormat, Checksum: xxhash.Sum64(state), State: state})
}

// DecodeSnapshot returns the state in a snapshot after verifying its checksum.
func DecodeSnapshot(data []byte) (*State, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, &SnapshotError{Code: SnapshotMalformed, Err: err}
	}
	if e.Format != snapshotFormat {
		return nil, &SnapshotError{Code: SnapshotFormat, Err: fmt.Errorf("format %d", e.Format)}
	}
	if sum := xxhash.Sum64(e.State); sum != e.Checksum {
		return nil, &SnapshotError{Code: SnapshotChecksum, Err: fmt.Errorf("%x, stated %x", sum, e.Checksum)}
	}
	s := Empty()
	if err := json.Unmarshal(e.State, s); err != nil {
		return nil, &SnapshotError{Code: SnapshotMalformed, Err: err}
	}
	if s.Catalog == nil || s.Offset < 0 {
		return nil, &SnapshotError{Code: SnapshotMalformed, Err: errors.New("no catalog or a negative offset")}
	}
	return s, nil
}
