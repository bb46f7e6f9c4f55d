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
	// ExistsAlready: an added object existed at the note's base.
	ExistsAlready VerdictCode = "exists_already"
	// BaseTooOld: the base is below the floor, where tombstones and note ids are forgotten.
	BaseTooOld VerdictCode = "base_too_old"
	// BaseAhead: the base is above the current revision.
	BaseAhead VerdictCode = "base_ahead"
	// Invalid: the note or the resulting catalog is not valid.
	Invalid VerdictCode = "invalid"
	// IDReused: another note with the same id and different content has been published.
	IDReused VerdictCode = "id_reused"
)

// Bounds of what a catalog remembers.
const (
	// MaxAccepted is the number of accepted note ids kept before the floor rises. At 2,800
	// changes a day it covers 17 hours.
	MaxAccepted = 2048
	// keptAccepted is the number kept when the floor rises.
	keptAccepted = MaxAccepted / 2
	// MaxRefused is the number of refused note ids kept.
	MaxRefused = 512
)

// Verdict is the result of a note.
type Verdict struct {
	Accepted bool `json:"accepted"`
	// Revision is the revision that the accepted note made, or the current one for a refusal.
	Revision int64       `json:"revision"`
	Code     VerdictCode `json:"code,omitempty"`
	// Object and ObjectRevision name the service at fault and its last change.
	Object         string `json:"object,omitempty"`
	ObjectRevision int64  `json:"object_revision,omitempty"`
	Message        string `json:"message,omitempty"`
}

// entry is a live service with the revision of its last change.
type entry struct {
	service  *contract.Service
	revision int64
}

// settled is a note with a verdict.
type settled struct {
	ID      string  `json:"id"`
	Hash    uint64  `json:"hash"`
	Verdict Verdict `json:"verdict"`
}

// Catalog is the immutable set of services at a revision.
type Catalog struct {
	revision   int64
	floor      int64
	live       map[string]entry
	sorted     []*contract.Service
	tombstones map[string]int64
	// accepted and refused are in log order; ids finds a note of either list.
	accepted, refused []settled
	ids               map[string]settled
}

// Empty returns the catalog before the first note.
func Empty() *Catalog {
	return &Catalog{live: map[string]entry{}, tombstones: map[string]int64{}, ids: map[string]settled{}}
}

// Revision returns the revision of the last accepted note, 0 before the first.
func (c *Catalog) Revision() int64 { return c.revision }

// Floor returns the lowest base that a note may have.
func (c *Catalog) Floor() int64 { return c.floor }

// Service returns the service named name. The caller must not change it.
func (c *Catalog) Service(name string) (*contract.Service, bool) {
	e, ok := c.live[name]
	return e.service, ok
}

// ServiceRevision returns the revision of the last change of a live service, 0 for others.
func (c *Catalog) ServiceRevision(name string) int64 { return c.live[name].revision }

// Remembers reports whether a service is live or was withdrawn at or above the floor.
func (c *Catalog) Remembers(name string) bool { return c.lastChange(name) > 0 }

// Services returns all services sorted by name. The caller must not change them.
func (c *Catalog) Services() []*contract.Service { return c.sorted }

// VerdictOf returns what became of the note, when it has been applied and is remembered.
func (c *Catalog) VerdictOf(n *Note) (Verdict, bool) {
	old, ok := c.ids[n.ID]
	if !ok {
		return Verdict{}, false
	}
	if old.Hash != n.Hash() {
		return c.refusal(IDReused, "", "another note was published under this id"), true
	}
	return old.Verdict, true
}

// Verdicts returns the verdicts that are remembered, by note id.
func (c *Catalog) Verdicts() map[string]Verdict {
	all := make(map[string]Verdict, len(c.ids))
	for id, s := range c.ids {
		all[id] = s.Verdict
	}
	return all
}

// Verdict returns the verdict on the note with the id, when it is remembered.
func (c *Catalog) Verdict(id string) (Verdict, bool) {
	old, ok := c.ids[id]
	return old.Verdict, ok
}

// Apply returns the catalog after the note at a log offset and the note's verdict. The catalog
// depends on nothing but its arguments. A note that was applied before has no second effect.
func (c *Catalog) Apply(n *Note, offset int64) (*Catalog, Verdict) {
	if v, ok := c.VerdictOf(n); ok {
		return c, v
	}
	next, v := c.try(n, offset+1)
	next.settle(settled{ID: n.ID, Hash: n.Hash(), Verdict: v})
	return next, v
}

// Check tells what the verdict on a note would be if it were applied now.
func (c *Catalog) Check(n *Note) Verdict {
	if v, ok := c.VerdictOf(n); ok {
		return v
	}
	_, v := c.try(n, c.revision+1)
	return v
}

// try judges a note and returns a copy of c with the note's effect if it is accepted.
func (c *Catalog) try(n *Note, revision int64) (*Catalog, Verdict) {
	if v := c.judge(n); v.Code != "" {
		return c.clone(), v
	}
	next := c.clone()
	next.live, next.tombstones = maps.Clone(c.live), maps.Clone(c.tombstones)
	for _, list := range [][]contract.Service{n.Added, n.Changed} {
		for i := range list {
			next.live[list[i].Name] = entry{&list[i], revision}
			delete(next.tombstones, list[i].Name)
		}
	}
	for _, name := range n.Withdrawn {
		delete(next.live, name)
		next.tombstones[name] = revision
	}
	next.sort()
	if object, message := checkCatalog(next.sorted); message != "" {
		return c.clone(), c.refusal(Invalid, object, message)
	}
	next.revision = revision
	return next, Verdict{Accepted: true, Revision: revision}
}

// judge finds the reason to refuse a note, apart from the validity of the resulting catalog.
func (c *Catalog) judge(n *Note) Verdict {
	if err := n.Validate(); err != nil {
		return c.refusal(Invalid, "", err.Error())
	}
	switch {
	case n.Base > c.revision:
		return c.refusal(BaseAhead, "", fmt.Sprintf("base %d is above the current revision %d", n.Base, c.revision))
	case n.Base < c.floor:
		return c.refusal(BaseTooOld, "", fmt.Sprintf("base %d is below the floor %d", n.Base, c.floor))
	}
	for _, name := range n.touched() {
		if last := c.lastChange(name); last > n.Base {
			return c.refusal(Conflict, name, fmt.Sprintf("%s changed at revision %d, after base %d", name, last, n.Base))
		}
	}
	return c.judgeExistence(n)
}

func (c *Catalog) judgeExistence(n *Note) Verdict {
	for i, name := range n.touched() {
		_, exists := c.live[name]
		adds := i < len(n.Added)
		switch {
		case adds && exists:
			return c.refusal(ExistsAlready, name, name+" exists already")
		case !adds && !exists:
			return c.refusal(UnknownObject, name, name+" does not exist")
		}
	}
	return Verdict{}
}

// lastChange returns the revision at which name was last added, changed or withdrawn.
func (c *Catalog) lastChange(name string) int64 {
	if e, ok := c.live[name]; ok {
		return e.revision
	}
	return c.tombstones[name]
}

func (c *Catalog) refusal(code VerdictCode, object, message string) Verdict {
	return Verdict{
		Code: code, Revision: c.revision, Object: object, ObjectRevision: c.lastChange(object), Message: message,
	}
}

// clone copies the fields of c; maps and slices are shared.
func (c *Catalog) clone() *Catalog {
	next := *c
	return &next
}

func (c *Catalog) sort() {
	c.sorted = make([]*contract.Service, 0, len(c.live))
	for _, name := range slices.Sorted(maps.Keys(c.live)) {
		c.sorted = append(c.sorted, c.live[name].service)
	}
}

// settle remembers a verdict in a fresh copy and forgets the oldest ones.
//
// Forgetting an accepted note raises the floor above its revision. Its base is below its
// revision, so a repetition is refused as based too far back and has no second effect.
// Forgetting a refused note can only lead to a new judgement, never to a second effect.
func (c *Catalog) settle(s settled) {
	c.ids = maps.Clone(c.ids)
	c.ids[s.ID] = s
	if !s.Verdict.Accepted {
		c.refused = append(slices.Clone(c.refused), s)
		c.refused = c.forget(c.refused, MaxRefused, MaxRefused/2)
		return
	}
	c.accepted = append(slices.Clone(c.accepted), s)
	if len(c.accepted) <= MaxAccepted {
		return
	}
	c.floor = c.accepted[len(c.accepted)-keptAccepted-1].Verdict.Revision
	c.accepted = c.forget(c.accepted, MaxAccepted, keptAccepted)
	c.tombstones = maps.Clone(c.tombstones)
	maps.DeleteFunc(c.tombstones, func(_ string, revision int64) bool { return revision <= c.floor })
}

// forget drops the oldest notes of a list once it is longer than limit.
func (c *Catalog) forget(list []settled, limit, keep int) []settled {
	if len(list) <= limit {
		return list
	}
	for _, s := range list[:len(list)-keep] {
		delete(c.ids, s.ID)
	}
	return slices.Clone(list[len(list)-keep:])
}
