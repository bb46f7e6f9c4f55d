package release

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
)

// Operation is what happened to a service between two catalogs.
type Operation string

// Operations of a Change.
const (
	Added     Operation = "added"
	Changed   Operation = "changed"
	Withdrawn Operation = "withdrawn"
)

// Change is one difference between two catalogs. Fields names the top-level fields of the
// contract that differ.
type Change struct {
	Service      string    `json:"service"`
	Operation    Operation `json:"operation"`
	FromRevision int64     `json:"from_revision,omitempty"`
	ToRevision   int64     `json:"to_revision,omitempty"`
	Fields       []string  `json:"fields,omitempty"`
}

// Diff returns the changes that lead from one catalog to the other, sorted by service.
func Diff(from, to *Catalog) []Change {
	names := map[string]bool{}
	for name := range from.live {
		names[name] = true
	}
	for name := range to.live {
		names[name] = true
	}
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, before := from.live[name]
		current, after := to.live[name]
		change := Change{Service: name, FromRevision: old.revision, ToRevision: current.revision}
		switch {
		case !before:
			change.Operation = Added
		case !after:
			change.Operation = Withdrawn
		default:
			change.Operation = Changed
			change.Fields = differing(fieldsOf(old.service), fieldsOf(current.service))
			if len(change.Fields) == 0 {
				continue
			}
		}
		changes = append(changes, change)
	}
	return changes
}

func fieldsOf(v any) map[string]any {
	fields := map[string]any{}
	data, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(data, &fields)
	}
	if err != nil {
		return nil
	}
	return fields
}

func differing(a, b map[string]any) []string {
	names := map[string]bool{}
	for _, m := range []map[string]any{a, b} {
		for name := range m {
			if !reflect.DeepEqual(a[name], b[name]) {
				names[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}
