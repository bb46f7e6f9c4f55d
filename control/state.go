package control

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadasill/cicadasill/lease"
	"github.com/cicadasill/cicadasill/release"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// State is the immutable result of applying all records of the control stream before Offset. It
// depends only on the offsets and the data of those records.
type State struct {
	// Offset is the log offset of the next record to apply.
	Offset int64 `json:"offset"`
	// Chain is the chained hash of all records before Offset. Instances compare it to detect that
	// they applied different records.
	Chain    uint64           `json:"chain"`
	Catalog  *release.Catalog `json:"catalog"`
	Versions Versions         `json:"versions"`
	Leases   lease.Table      `json:"leases"`
	// Marker is the snapshot marker with the highest StateOffset.
	Marker Marker `json:"marker"`
}

// Empty returns the state before the first record.
func Empty() *State { return &State{Catalog: release.Empty()} }

// NextChain returns the chained hash after a record: the xxhash64 of the previous hash, the
// record's offset and its data.
func NextChain(chain uint64, offset int64, data []byte) uint64 {
	var prefix [16]byte
	binary.BigEndian.PutUint64(prefix[:8], chain)
	binary.BigEndian.PutUint64(prefix[8:], uint64(offset))
	d := xxhash.New()
	// A write to an xxhash digest never fails.
	_, _ = d.Write(prefix[:])
	_, _ = d.Write(data)
	return d.Sum64()
}

// Verdicts returns the verdicts of the recent notes that the catalog keeps, by note id.
func (s *State) Verdicts() map[string]release.Verdict { return s.Catalog.Verdicts() }

// Apply returns the state after rec, whose offset must be s.Offset; for any other offset it
// returns s unchanged. A record that is skipped still advances the offset and the chained hash.
func (s *State) Apply(rec platform.Record) *State {
	next, _ := s.ApplyRecord(rec)
	return next
}

// ApplyRecord is like Apply and also returns a *SkipError if the record had no effect.
func (s *State) ApplyRecord(rec platform.Record) (*State, error) {
	if rec.Offset != s.Offset {
		return s, &SkipError{Reason: SkipIncomplete, Err: errUnexpectedOffset}
	}
	next := *s
	next.Offset = rec.Offset + 1
	next.Chain = NextChain(s.Chain, rec.Offset, rec.Data)
	r, err := Decode(rec.Data)
	if err != nil {
		return &next, err
	}
	if reason := next.update(r, rec.Offset); reason != "" {
		return &next, &SkipError{Reason: reason}
	}
	return &next, nil
}

var errUnexpectedOffset = errors.New("record offset is not the next offset to apply")

// update applies a record to s, which must be a private copy, and returns the reason if the record
// had no effect. It ignores a marker whose StateOffset is not above that of the current marker, or
// is above the offset of the marker record itself.
func (s *State) update(r Record, offset int64) SkipReason {
	switch r.Kind {
	case KindNote:
		return s.applyNote(r.Note, offset)
	case KindVersionAnnounced, KindVersionWithdrawn:
		return s.applyVersion(r, offset)
	case KindSnapshotMarker:
		if r.Marker.StateOffset > s.Marker.StateOffset && r.Marker.StateOffset <= offset {
			s.Marker = *r.Marker
		}
		return ""
	default:
		return s.applyLease(r, offset)
	}
}

func (s *State) applyNote(n *release.Note, offset int64) SkipReason {
	catalog, verdict := s.Catalog.Apply(n, offset)
	s.Catalog = catalog
	if !verdict.Accepted {
		return SkipNoteRefused
	}
	if len(n.Withdrawn) > 0 || catalog.Floor() > 0 {
		s.Versions = s.Versions.retainServices(catalog.Tracks)
	}
	return ""
}

func (s *State) applyVersion(r Record, offset int64) SkipReason {
	if _, ok := s.Catalog.Service(r.Version.Service); !ok {
		return SkipUnknownService
	}
	var reason SkipReason
	if r.Kind == KindVersionAnnounced {
		s.Versions, reason = s.Versions.announce(r.Version.Service, r.Version.Version, offset, r.Version.Trainer)
	} else {
		s.Versions, reason = s.Versions.withdraw(r.Version.Service, r.Version.Version)
	}
	return reason
}

func (s *State) applyLease(r Record, offset int64) SkipReason {
	var accepted bool
	switch r.Kind {
	case KindLeaseAcquired:
		s.Leases, accepted = s.Leases.Acquire(*r.Acquire, offset)
	case KindLeaseRenewed:
		s.Leases, accepted = s.Leases.Renew(*r.Renewal, offset)
	case KindLeaseReleased:
		s.Leases, accepted = s.Leases.Release(*r.Release)
	}
	if !accepted {
		return SkipLeaseRefused
	}
	return ""
}
