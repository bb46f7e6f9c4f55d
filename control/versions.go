package control

import (
	"encoding/json"
	"maps"
	"slices"
)

// MaxVersionsPerService is the number of versions kept for a service. At one version every 17
// minutes they cover three days.
const MaxVersionsPerService = 256

// versionEntry holds the state of one version.
type versionEntry struct {
	Version int64 `json:"version"`
	// AnnouncedOffset is the log offset of the first announcement, or -1 if only a withdrawal of
	// the version has been applied.
	AnnouncedOffset int64 `json:"announced"`
	// Trainer is the trainer that made the first announcement.
	Trainer   string `json:"trainer,omitempty"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// history holds the highest versions of a service in ascending order. Versions at or below Floor
// have been discarded and count as withdrawn.
type history struct {
	Floor   int64          `json:"floor"`
	Entries []versionEntry `json:"entries"`
}

// Versions is the immutable set of weight versions of all services.
type Versions struct{ services map[string]history }

// Newest returns the highest version of a service that was announced and not withdrawn, and
// the log offset of its first announcement. Both are 0 if there is none.
func (v Versions) Newest(service string) (version int64, announcedOffset int64) {
	for _, e := range slices.Backward(v.services[service].Entries) {
		if e.AnnouncedOffset >= 0 && !e.Withdrawn {
			return e.Version, e.AnnouncedOffset
		}
	}
	return 0, 0
}

// Withdrawn reports whether a version must not be used because it was withdrawn, or because it
// is so old that it has been discarded.
func (v Versions) Withdrawn(service string, version int64) bool {
	h := v.services[service]
	e, ok := h.find(version)
	return (ok && e.Withdrawn) || (version > 0 && version <= h.Floor)
}

// Announced reports whether a version was announced, even if it was withdrawn. It returns false
// for a discarded version.
func (v Versions) Announced(service string, version int64) bool {
	e, ok := v.services[service].find(version)
	return ok && e.AnnouncedOffset >= 0
}

// AnnouncedVersion describes a version that was announced.
type AnnouncedVersion struct {
	Version int64
	// Offset is the log offset of the first announcement; Trainer is the trainer that made it.
	Offset    int64
	Trainer   string
	Withdrawn bool
}

// All returns the announced versions of a service, including withdrawn ones, in ascending order.
func (v Versions) All(service string) []AnnouncedVersion {
	var all []AnnouncedVersion
	for _, e := range v.services[service].Entries {
		if e.AnnouncedOffset >= 0 {
			all = append(all, AnnouncedVersion{e.Version, e.AnnouncedOffset, e.Trainer, e.Withdrawn})
		}
	}
	return all
}

// find returns the entry of a version.
func (h history) find(version int64) (versionEntry, bool) {
	i, ok := h.index(version)
	if !ok {
		return versionEntry{}, false
	}
	return h.Entries[i], true
}

// index returns the position of a version in h.Entries, or the position at which it would be
// inserted, and whether it is present.
func (h history) index(version int64) (int, bool) {
	return slices.BinarySearchFunc(h.Entries, version, func(e versionEntry, v int64) int {
		switch {
		case e.Version < v:
			return -1
		case e.Version > v:
			return 1
		default:
			return 0
		}
	})
}

// announce records the first announcement of a version. A withdrawn version stays withdrawn.
func (v Versions) announce(service string, version, offset int64, trainer string) (Versions, SkipReason) {
	return v.editVersion(service, version, func(e *versionEntry) bool {
		if e.AnnouncedOffset >= 0 {
			return false
		}
		e.AnnouncedOffset, e.Trainer = offset, trainer
		return true
	})
}

// withdraw records the withdrawal of a version. It can precede the announcement in the log if the
// append of the announcement was delayed, so a version without an announcement is accepted.
func (v Versions) withdraw(service string, version int64) (Versions, SkipReason) {
	return v.editVersion(service, version, func(e *versionEntry) bool {
		if e.Withdrawn {
			return false
		}
		e.Withdrawn = true
		return true
	})
}

// editVersion returns a copy of v in which edit was applied to the entry of a version, which is
// created if it does not exist. If edit returns false, v is returned unchanged. It discards the
// lowest versions of the service beyond MaxVersionsPerService and raises the floor to the highest
// discarded one.
func (v Versions) editVersion(service string, version int64, edit func(*versionEntry) bool) (Versions, SkipReason) {
	h := v.services[service]
	if version <= h.Floor {
		return v, SkipVersionTooOld
	}
	h.Entries = slices.Clone(h.Entries)
	i, exists := h.index(version)
	if !exists {
		h.Entries = slices.Insert(h.Entries, i, versionEntry{Version: version, AnnouncedOffset: -1})
	}
	if !edit(&h.Entries[i]) {
		return v, SkipVersionUnchanged
	}
	if excess := len(h.Entries) - MaxVersionsPerService; excess > 0 {
		h.Floor = h.Entries[excess-1].Version
		h.Entries = slices.Clone(h.Entries[excess:])
	}
	next := Versions{services: make(map[string]history, len(v.services)+1)}
	maps.Copy(next.services, v.services)
	next.services[service] = h
	return next, ""
}

// retainServices returns a copy of v without the services for which isRetained returns false.
func (v Versions) retainServices(isRetained func(service string) bool) Versions {
	next := Versions{services: maps.Clone(v.services)}
	maps.DeleteFunc(next.services, func(service string, _ history) bool { return !isRetained(service) })
	return next
}

// MarshalJSON implements json.Marshaler.
func (v Versions) MarshalJSON() ([]byte, error) {
	if v.services == nil {
		return []byte("{}"), nil
	}
	return json.Marshal(v.services)
}

// UnmarshalJSON implements json.Unmarshaler.
func (v *Versions) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &v.services) }
