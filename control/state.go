package control

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadasill/cicadasill/lease"
	"github.com/cicadasill/cicadasill/release"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// State is the immutable fold of the control stream up to Offset. It depends only on the
// offsets and the data of the records.
type State struct {
	// Offset is the next offset to apply.
	Offset int64 `json:"offset"`
	// Chain is the chain hash of all records before Offset.
	Chain    uint64           `json:"chain"`
	Catalog  *release.Catalog `json:"catalog"`
	Versions Versions         `json:"versions"`
	Leases   lease.Table      `json:"leases"`
	// Marker is the last snapshot marker.
	Marker Marker `json:"marker"`
}

// Empty returns the state before the first record.
func Empty() *State { return &State{Catalog: release.Empty()} }

// NextChain returns the chain hash after a record.
func NextChain(chain uint64, offset int64, data []byte) uint64 {
	var prefix [16]byte
	binary.BigEndian.PutUint64(prefix[:8], chain)
	binary.BigEndian.PutUint64(prefix[8:], uint64(offset))
	d := xxhash.New()
	// xxhash writes never fail.
	_, _ = d.Write(prefix[:])
	_, _ = d.Write(data)
	return d.Sum64()
}

// Verdicts returns the verdicts that are remembered, by note id.
func (s *State) Verdicts() map[string]release.Verdict { return s.Catalog.Verdicts() }

// Apply returns the state after rec, whose offset must be s.Offset; a state with another
// offset is returned unchanged. A record without effect still moves the offset and the chain.
func (s *State) Apply(rec platform.Record) *State {
	next, _ := s.ApplyRecord(rec)
	return next
}

// ApplyRecord is Apply with the reason, a *SkipError, for which a record has no effect.
func (s *State) ApplyRecord(rec platform.Record) (*State, error) {
	if rec.Offset != s.Offset {
		return s, &SkipError{Reason: SkipIncomplete, Err: errOffset}
	}
	next := *s
	next.Offset = rec.Offset + 1
	next.Chain = NextChain(s.Chain, rec.Offset, rec.Data)
	r, err := Decode(rec.Data)
	if err != nil {
		return &next, err
	}
	if reason := next.fold(r, rec.Offset); reason != "" {
		return &next, &SkipError{Reason: reason}
	}
	return &next, nil
}

var errOffset = errors.New("the record is not the next one")

// fold changes the copy s by one record and returns why it had no effect.
func (s *State) fold(r Record, offset int64) SkipReason {
	switch r.Kind {
	case KindNote:
		return s.foldNote(r.Note, offset)
	case KindVersionAnnounced, KindVersionWithdrawn:
		return s.foldVersion(r, offset)
	case KindSnapshotMarker:
		if r.Marker.StateOffset > s.Marker.StateOffset && r.Marker.StateOffset <= offset {
			s.Marker = *r.Marker
		}
		return ""
	default:
		return s.foldLease(r, offset)
	}
}

func (s *State) foldNote(n *release.Note, offset int64) SkipReason {
	catalog, verdict := s.Catalog.Apply(n, offset)
	s.Catalog = catalog
	if !verdict.Accepted {
		return SkipNoteRefused
	}
	if len(n.Withdrawn) > 0 || catalog.Floor() > 0 {
		s.Versions = s.Versions.keep(catalog.Remembers)
	}
	return ""
}

func (s *State) foldVersion(r Record, offset int64) SkipReason {
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

func (s *State) foldLease(r Record, offset int64) SkipReason {
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
