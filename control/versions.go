package control

import (
	"encoding/json"
	"maps"
	"slices"
)

// KeptVersions bounds the versions remembered for a service. At a version every 17 minutes it
// covers three days.
const KeptVersions = 256

// versionEntry is what is known of one version.
type versionEntry struct {
	Version int64 `json:"version"`
	// Announced is the offset of the first announcement, -1 when only a withdrawal was seen.
	Announced int64 `json:"announced"`
	// Trainer is the one that announced the version first.
	Trainer   string `json:"trainer,omitempty"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// history holds a service's versions in ascending order. Versions at or below Floor are
// forgotten and count as withdrawn.
type history struct {
	Floor   int64          `json:"floor"`
	Entries []versionEntry `json:"entries"`
}

// Versions is the immutable set of weight versions, by service.
type Versions struct{ services map[string]history }

// Newest returns the highest version of a service that was announced and not withdrawn, and
// the offset of its first announcement. The version is 0 if there is none.
func (v Versions) Newest(service string) (version int64, announcedOffset int64) {
	for _, e := range slices.Backward(v.services[service].Entries) {
		if e.Announced >= 0 && !e.Withdrawn {
			return e.Version, e.Announced
		}
	}
	return 0, 0
}

// Withdrawn reports whether a version must not be used: it was withdrawn, or it is so old that
// it is no longer remembered.
func (v Versions) Withdrawn(service string, version int64) bool {
	h := v.services[service]
	e, ok := h.find(version)
	return (ok && e.Withdrawn) || (version > 0 && version <= h.Floor)
}

// Announced reports whether a version was announced, withdrawn or not.
func (v Versions) Announced(service string, version int64) bool {
	e, ok := v.services[service].find(version)
	return ok && e.Announced >= 0
}

// AnnouncedVersion is a version that was announced.
type AnnouncedVersion struct {
	Version int64
	// Offset is that of the first announcement, Trainer the one that made it.
	Offset    int64
	Trainer   string
	Withdrawn bool
}

// All returns the announced versions of a service, withdrawn ones included, lowest first.
func (v Versions) All(service string) []AnnouncedVersion {
	var all []AnnouncedVersion
	for _, e := range v.services[service].Entries {
		if e.Announced >= 0 {
			all = append(all, AnnouncedVersion{e.Version, e.Announced, e.Trainer, e.Withdrawn})
		}
	}
	return all
}

func (h history) find(version int64) (versionEntry, bool) {
	i, ok := h.index(version)
	if !ok {
		return versionEntry{}, false
	}
	return h.Entries[i], true
}

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

// announce records an announcement. A withdrawn version stays withdrawn.
func (v Versions) announce(service string, version, offset int64, trainer string) (Versions, SkipReason) {
	return v.change(service, version, func(e *versionEntry) bool {
		if e.Announced >= 0 {
			return false
		}
		e.Announced, e.Trainer = offset, trainer
		return true
	})
}

// withdraw records a withdrawal. It may precede the announcement in the log, when the
// announcement's append was delayed.
func (v Versions) withdraw(service string, version int64) (Versions, SkipReason) {
	return v.change(service, version, func(e *versionEntry) bool {
		if e.Withdrawn {
			return false
		}
		e.Withdrawn = true
		return true
	})
}

func (v Versions) change(service string, version int64, edit func(*versionEntry) bool) (Versions, SkipReason) {
	h := v.services[service]
	if version <= h.Floor {
		return v, SkipVersionTooOld
	}
	h.Entries = slices.Clone(h.Entries)
	i, known := h.index(version)
	if !known {
		h.Entries = slices.Insert(h.Entries, i, versionEntry{Version: version, Announced: -1})
	}
	if !edit(&h.Entries[i]) {
		return v, SkipVersionKnown
	}
	if extra := len(h.Entries) - KeptVersions; extra > 0 {
		h.Floor = h.Entries[extra-1].Version
		h.Entries = slices.Clone(h.Entries[extra:])
	}
	next := Versions{services: make(map[string]history, len(v.services)+1)}
	maps.Copy(next.services, v.services)
	next.services[service] = h
	return next, ""
}

// keep forgets the services for which known is false.
func (v Versions) keep(known func(service string) bool) Versions {
	next := Versions{services: maps.Clone(v.services)}
	maps.DeleteFunc(next.services, func(service string, _ history) bool { return !known(service) })
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
