package release

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cicadasill/cicadasill/contract"
)

// ChangeKind says how a service differs between two catalogs.
type ChangeKind string

// Kinds of changes.
const (
	Added     ChangeKind = "added"
	Changed   ChangeKind = "changed"
	Withdrawn ChangeKind = "withdrawn"
)

// Change is one difference between two catalogs. Object is the name of the service. A changed
// service has one Change for each top-level field of its contract that differs; Before and After
// hold the field's values as JSON.
type Change struct {
	Kind   ChangeKind `json:"kind"`
	Object string     `json:"object"`
	Field  string     `json:"field,omitempty"`
	Before string     `json:"before,omitempty"`
	After  string     `json:"after,omitempty"`
}

// Diff returns the changes from one catalog to another, sorted by service and field.
func Diff(from, to *Catalog) []Change {
	return diff(indexByName(from.sorted), indexByName(to.sorted))
}

// DiffNote returns the changes that a note would make to the services if it were accepted, sorted by
// service and field.
func DiffNote(services []contract.Service, n *Note) []Change {
	before := make(map[string]*contract.Service, len(services))
	for i := range services {
		before[services[i].Name] = &services[i]
	}
	after := maps.Clone(before)
	for _, list := range [][]contract.Service{n.Added, n.Changed} {
		for i := range list {
			after[list[i].Name] = &list[i]
		}
	}
	for _, name := range n.Withdrawn {
		delete(after, name)
	}
	return diff(before, after)
}

func indexByName(services []*contract.Service) map[string]*contract.Service {
	m := make(map[string]*contract.Service, len(services))
	for _, s := range services {
		m[s.Name] = s
	}
	return m
}

func diff(from, to map[string]*contract.Service) []Change {
	names := maps.Clone(from)
	maps.Copy(names, to)
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, existed := from[name]
		after, exists := to[name]
		switch {
		case !existed:
			changes = append(changes, Change{Kind: Added, Object: name})
		case !exists:
			changes = append(changes, Change{Kind: Withdrawn, Object: name})
		default:
			changes = append(changes, diffFields(name, fieldsOf(before), fieldsOf(after))...)
		}
	}
	return changes
}

func diffFields(object string, before, after map[string]json.RawMessage) []Change {
	names := maps.Clone(before)
	maps.Copy(names, after)
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !bytes.Equal(before[name], after[name]) {
			changes = append(changes, Change{
				Kind: Changed, Object: object, Field: name, Before: string(before[name]), After: string(after[name]),
			})
		}
	}
	return changes
}

// fieldsOf returns the JSON values of the top-level fields of a contract, by field name. If the
// contract cannot be encoded, the result is empty.
func fieldsOf(s *contract.Service) map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	data, err := json.Marshal(s)
	if err == nil {
		err = json.Unmarshal(data, &fields)
	}
	if err != nil {
		return map[string]json.RawMessage{}
	}
	return fields
}
