package release

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cicadasill/cicadasill/contract"
)

// VerdictCode says why a note was refused. It is empty for an accepted note.
type VerdictCode string

// Reasons for refusing a note.
const (
	// Conflict: an object of the note changed after the note's base.
	Conflict VerdictCode = "conflict"
	// UnknownObject: a changed or withdrawn object does not exist.
	UnknownObject VerdictCode = "unknown_object"
	// AlreadyExists: an added object already exists and has not changed since the note's base.
	AlreadyExists VerdictCode = "exists_already"
	// BaseTooOld: the base is below the floor, so conflicts and repetitions can no longer be
	// detected: tombstones and note ids up to the floor are discarded.
	BaseTooOld VerdictCode = "base_too_old"
	// BaseAhead: the base is above the current revision.
	BaseAhead VerdictCode = "base_ahead"
	// Invalid: the note or the resulting catalog is not valid.
	Invalid VerdictCode = "invalid"
	// IDReused: a note with the same id and different content was published before.
	IDReused VerdictCode = "id_reused"
)

// Limits on the number of note verdicts that a catalog keeps.
const (
	// MaxAcceptedNotes is the maximum number of accepted notes kept; a further one raises the
	// floor. At 2,800 changes a day it covers 17 hours.
	MaxAcceptedNotes = 2048
	// acceptedNotesAfterTrim is the number of accepted notes left after the floor was raised.
	acceptedNotesAfterTrim = MaxAcceptedNotes / 2
	// MaxRefusedNotes is the maximum number of refused notes kept.
	MaxRefusedNotes = 512
)

// Verdict is the decision whether a note is accepted.
type Verdict struct {
	Accepted bool `json:"accepted"`
	// Revision is the catalog revision that the accepted note created, or the current revision if
	// the note was refused.
	Revision int64       `json:"revision"`
	Code     VerdictCode `json:"code,omitempty"`
	// Object is the service that caused the refusal; ObjectRevision is the revision of its last
	// change.
	Object         string `json:"object,omitempty"`
	ObjectRevision int64  `json:"object_revision,omitempty"`
	// Message explains the refusal to the operator. Its text is part of the state that instances
	// store in snapshots.
	Message string `json:"message,omitempty"`
}

// liveService is a service that is not withdrawn, with the revision of its last change.
type liveService struct {
	service  *contract.Service
	revision int64
}

// noteResult is the verdict on a note, with the id and the content hash of the note.
type noteResult struct {
	ID      string  `json:"id"`
	Hash    uint64  `json:"hash"`
	Verdict Verdict `json:"verdict"`
}

// Catalog is the immutable set of services at a revision.
type Catalog struct {
	revision int64
	floor    int64
	live     map[string]liveService
	sorted   []*contract.Service // values of live, by name
	// tombstones maps withdrawn services to the revision of their withdrawal.
	tombstones map[string]int64
	// accepted and refused are in log order; resultsByID indexes both by note id.
	accepted, refused []noteResult
	resultsByID       map[string]noteResult
}

// Empty returns the catalog before the first note.
func Empty() *Catalog {
	return &Catalog{live: map[string]liveService{}, tombstones: map[string]int64{}, resultsByID: map[string]noteResult{}}
}

// Revision returns the revision of the last accepted note, 0 before the first.
func (c *Catalog) Revision() int64 { return c.revision }

// Floor returns the lowest base that a note can have without being refused as BaseTooOld.
func (c *Catalog) Floor() int64 { return c.floor }

// Service returns the service named name. The caller must not change it.
func (c *Catalog) Service(name string) (*contract.Service, bool) {
	e, ok := c.live[name]
	return e.service, ok
}

// ServiceRevision returns the revision of the last change of a live service, or 0 if there is no
// such service.
func (c *Catalog) ServiceRevision(name string) int64 { return c.live[name].revision }

// Tracks reports whether a service is live or was withdrawn above the floor.
func (c *Catalog) Tracks(name string) bool { return c.lastChange(name) > 0 }

// Services returns all services sorted by name. The caller must not change them.
func (c *Catalog) Services() []*contract.Service { return c.sorted }

// VerdictOf returns the verdict on a note that was applied before, if the catalog still keeps it.
// If a note with the same id and different content was applied, it is a refusal with IDReused.
func (c *Catalog) VerdictOf(n *Note) (Verdict, bool) {
	old, ok := c.resultsByID[n.ID]
	if !ok {
		return Verdict{}, false
	}
	if old.Hash != n.Hash() {
		return c.refusal(IDReused, "", "another note was published under this id"), true
	}
	return old.Verdict, true
}

// Verdicts returns all verdicts that the catalog keeps, by note id.
func (c *Catalog) Verdicts() map[string]Verdict {
	all := make(map[string]Verdict, len(c.resultsByID))
	for id, r := range c.resultsByID {
		all[id] = r.Verdict
	}
	return all
}

// Verdict returns the verdict on the note with the given id, if the catalog keeps it.
func (c *Catalog) Verdict(id string) (Verdict, bool) {
	old, ok := c.resultsByID[id]
	return old.Verdict, ok
}

// Apply applies the note at a log offset and returns the resulting catalog and the verdict. The
// result depends only on c and the arguments. A note that was applied before has no second effect.
func (c *Catalog) Apply(n *Note, offset int64) (*Catalog, Verdict) {
	if v, ok := c.VerdictOf(n); ok {
		return c, v
	}
	next, v := c.evaluate(n, offset+1)
	next.recordResult(noteResult{ID: n.ID, Hash: n.Hash(), Verdict: v})
	return next, v
}

// Check returns the verdict that a note would receive if it were applied now.
func (c *Catalog) Check(n *Note) Verdict {
	if v, ok := c.VerdictOf(n); ok {
		return v
	}
	_, v := c.evaluate(n, c.revision+1)
	return v
}

// evaluate decides whether a note is accepted. It returns a copy of c, with the note's changes at
// the given revision if the note is accepted.
func (c *Catalog) evaluate(n *Note, revision int64) (*Catalog, Verdict) {
	if v := c.checkNote(n); v.Code != "" {
		return c.clone(), v
	}
	next := c.clone()
	next.live, next.tombstones = maps.Clone(c.live), maps.Clone(c.tombstones)
	for _, list := range [][]contract.Service{n.Added, n.Changed} {
		for i := range list {
			next.live[list[i].Name] = liveService{&list[i], revision}
			delete(next.tombstones, list[i].Name)
		}
	}
	for _, name := range n.Withdrawn {
		delete(next.live, name)
		next.tombstones[name] = revision
	}
	next.sortServices()
	if object, message := checkCatalog(next.sorted); message != "" {
		return c.clone(), c.refusal(Invalid, object, message)
	}
	next.revision = revision
	return next, Verdict{Accepted: true, Revision: revision}
}

// checkNote returns the refusal of a note that is invalid by itself, has an unusable base or
// conflicts with c, and otherwise a Verdict without a code. It does not check the validity of the
// resulting catalog.
func (c *Catalog) checkNote(n *Note) Verdict {
	if err := n.Validate(); err != nil {
		return c.refusal(Invalid, "", err.Error())
	}
	switch {
	case n.Base > c.revision:
		return c.refusal(BaseAhead, "", fmt.Sprintf("base %d is above the current revision %d", n.Base, c.revision))
	case n.Base < c.floor:
		return c.refusal(BaseTooOld, "", fmt.Sprintf("base %d is below the floor %d", n.Base, c.floor))
	}
	for _, name := range n.serviceNames() {
		if last := c.lastChange(name); last > n.Base {
			return c.refusal(Conflict, name, fmt.Sprintf("%s changed at revision %d, after base %d", name, last, n.Base))
		}
	}
	return c.checkExistence(n)
}

// checkExistence refuses the addition of an existing service and the change or withdrawal of a
// missing one.
func (c *Catalog) checkExistence(n *Note) Verdict {
	for i, name := range n.serviceNames() {
		_, exists := c.live[name]
		isAdded := i < len(n.Added)
		switch {
		case isAdded && exists:
			return c.refusal(AlreadyExists, name, name+" exists already")
		case !isAdded && !exists:
			return c.refusal(UnknownObject, name, name+" does not exist")
		}
	}
	return Verdict{}
}

// lastChange returns the revision at which a service was last added, changed or withdrawn, or 0 if
// the catalog does not track it.
func (c *Catalog) lastChange(name string) int64 {
	if e, ok := c.live[name]; ok {
		return e.revision
	}
	return c.tombstones[name]
}

// refusal returns the verdict of a refused note. The object is empty if no single service is the
// cause.
func (c *Catalog) refusal(code VerdictCode, object, message string) Verdict {
	return Verdict{
		Code: code, Revision: c.revision, Object: object, ObjectRevision: c.lastChange(object), Message: message,
	}
}

// clone returns a shallow copy of c: maps and slices are shared.
func (c *Catalog) clone() *Catalog {
	next := *c
	return &next
}

// sortServices rebuilds c.sorted from c.live.
func (c *Catalog) sortServices() {
	c.sorted = make([]*contract.Service, 0, len(c.live))
	for _, name := range slices.Sorted(maps.Keys(c.live)) {
		c.sorted = append(c.sorted, c.live[name].service)
	}
}

// recordResult adds a verdict to c, which must be a fresh clone, and discards the oldest verdicts
// beyond the limits.
//
// Discarding an accepted note raises the floor to its revision or above. The note's base is below
// its revision, so a repetition of the note is refused with BaseTooOld and has no second effect.
// A refused note whose verdict was discarded is evaluated again when it is repeated; this can be
// its first effect, but never a second one.
func (c *Catalog) recordResult(r noteResult) {
	c.resultsByID = maps.Clone(c.resultsByID)
	c.resultsByID[r.ID] = r
	if !r.Verdict.Accepted {
		c.refused = append(slices.Clone(c.refused), r)
		c.refused = c.trimResults(c.refused, MaxRefusedNotes, MaxRefusedNotes/2)
		return
	}
	c.accepted = append(slices.Clone(c.accepted), r)
	if len(c.accepted) <= MaxAcceptedNotes {
		return
	}
	c.floor = c.accepted[len(c.accepted)-acceptedNotesAfterTrim-1].Verdict.Revision
	c.accepted = c.trimResults(c.accepted, MaxAcceptedNotes, acceptedNotesAfterTrim)
	c.tombstones = maps.Clone(c.tombstones)
	maps.DeleteFunc(c.tombstones, func(_ string, revision int64) bool { return revision <= c.floor })
}

// trimResults shortens a list that is longer than limit to its newest retain results and removes
// the others from c.resultsByID.
func (c *Catalog) trimResults(list []noteResult, limit, retain int) []noteResult {
	if len(list) <= limit {
		return list
	}
	for _, r := range list[:len(list)-retain] {
		delete(c.resultsByID, r.ID)
	}
	return slices.Clone(list[len(list)-retain:])
}
