package release

import (
	"encoding/json"
	"fmt"

	"github.com/cicadasill/cicadasill/contract"
)

// catalogJSON is the JSON encoding of a catalog. Services are sorted by name and notes are in log
// order, so equal catalogs have equal encodings.
type catalogJSON struct {
	Revision   int64            `json:"revision"`
	Floor      int64            `json:"floor"`
	Services   []serviceJSON    `json:"services"`
	Tombstones map[string]int64 `json:"tombstones"`
	Accepted   []noteResult     `json:"accepted"`
	Refused    []noteResult     `json:"refused"`
}

// serviceJSON is the JSON encoding of a live service with the revision of its last change.
type serviceJSON struct {
	Revision int64            `json:"revision"`
	Service  contract.Service `json:"service"`
}

// MarshalJSON implements json.Marshaler.
func (c *Catalog) MarshalJSON() ([]byte, error) {
	out := catalogJSON{
		Revision: c.revision, Floor: c.floor, Tombstones: c.tombstones,
		Accepted: c.accepted, Refused: c.refused, Services: []serviceJSON{},
	}
	for _, s := range c.sorted {
		out.Services = append(out.Services, serviceJSON{c.live[s.Name].revision, *s})
	}
	return json.Marshal(out)
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Catalog) UnmarshalJSON(data []byte) error {
	var in catalogJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("catalog: %w", err)
	}
	*c = *Empty()
	c.revision, c.floor = in.Revision, in.Floor
	c.accepted, c.refused = in.Accepted, in.Refused
	for i := range in.Services {
		e := &in.Services[i]
		c.live[e.Service.Name] = liveService{&e.Service, e.Revision}
	}
	for name, revision := range in.Tombstones {
		c.tombstones[name] = revision
	}
	for _, list := range [][]noteResult{c.refused, c.accepted} {
		for _, r := range list {
			c.resultsByID[r.ID] = r
		}
	}
	c.sortServices()
	return nil
}
