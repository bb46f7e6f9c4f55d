package release

import (
	"encoding/json"
	"fmt"

	"github.com/cicadasill/cicadasill/contract"
)

// image is the JSON form of a catalog. Its lists are sorted, so equal catalogs have equal images.
type image struct {
	Revision   int64            `json:"revision"`
	Floor      int64            `json:"floor"`
	Services   []imageEntry     `json:"services"`
	Tombstones map[string]int64 `json:"tombstones"`
	Accepted   []settled        `json:"accepted"`
	Refused    []settled        `json:"refused"`
}

type imageEntry struct {
	Revision int64            `json:"revision"`
	Service  contract.Service `json:"service"`
}

// MarshalJSON implements json.Marshaler.
func (c *Catalog) MarshalJSON() ([]byte, error) {
	im := image{
		Revision: c.revision, Floor: c.floor, Tombstones: c.tombstones,
		Accepted: c.accepted, Refused: c.refused, Services: []imageEntry{},
	}
	for _, s := range c.sorted {
		im.Services = append(im.Services, imageEntry{c.live[s.Name].revision, *s})
	}
	return json.Marshal(im)
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Catalog) UnmarshalJSON(data []byte) error {
	var im image
	if err := json.Unmarshal(data, &im); err != nil {
		return fmt.Errorf("catalog: %w", err)
	}
	*c = *Empty()
	c.revision, c.floor = im.Revision, im.Floor
	c.accepted, c.refused = im.Accepted, im.Refused
	for i := range im.Services {
		e := &im.Services[i]
		c.live[e.Service.Name] = entry{&e.Service, e.Revision}
	}
	for name, revision := range im.Tombstones {
		c.tombstones[name] = revision
	}
	for _, list := range [][]settled{c.refused, c.accepted} {
		for _, s := range list {
			c.ids[s.ID] = s
		}
	}
	c.sort()
	return nil
}
