package control

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// snapshotFormat is the version number of the snapshot encoding.
const snapshotFormat = 1

// envelope is the JSON encoding of a snapshot. Checksum is the xxhash64 of the bytes of State.
type envelope struct {
	Format   int             `json:"format"`
	Checksum uint64          `json:"checksum"`
	State    json.RawMessage `json:"state"`
}

// SnapshotCode says why a snapshot cannot be used.
type SnapshotCode string

// Reasons for rejecting a snapshot.
const (
	SnapshotMalformed        SnapshotCode = "malformed"
	SnapshotUnknownFormat    SnapshotCode = "unknown_format"
	SnapshotChecksumMismatch SnapshotCode = "checksum"
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

// EncodeSnapshot encodes a state as a snapshot. Equal states have byte-identical snapshots.
func EncodeSnapshot(s *State) ([]byte, error) {
	state, err := json.Marshal(s)
	if err != nil {
		return nil, &SnapshotError{Code: SnapshotMalformed, Err: err}
	}
	return json.Marshal(envelope{Format: snapshotFormat, Checksum: xxhash.Sum64(state), State: state})
}

// DecodeSnapshot verifies the format and the checksum of a snapshot and returns its state. An
// error is a *SnapshotError.
func DecodeSnapshot(data []byte) (*State, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, &SnapshotError{Code: SnapshotMalformed, Err: err}
	}
	if e.Format != snapshotFormat {
		return nil, &SnapshotError{Code: SnapshotUnknownFormat, Err: fmt.Errorf("format %d is not supported", e.Format)}
	}
	if sum := xxhash.Sum64(e.State); sum != e.Checksum {
		return nil, &SnapshotError{Code: SnapshotChecksumMismatch, Err: fmt.Errorf("computed %x, snapshot states %x", sum, e.Checksum)}
	}
	s := Empty()
	if err := json.Unmarshal(e.State, s); err != nil {
		return nil, &SnapshotError{Code: SnapshotMalformed, Err: err}
	}
	if s.Catalog == nil || s.Offset < 0 {
		return nil, &SnapshotError{Code: SnapshotMalformed, Err: errors.New("catalog is missing or offset is negative")}
	}
	return s, nil
}
