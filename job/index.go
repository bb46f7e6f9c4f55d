package job

import (
	"slices"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/cicadasill/cicadasill/changelog"
)

// index is the state of the index partition: the summaries of all jobs.
type index struct {
	log  *log.Logger
	jobs map[ID]*Summary
}

func newIndex(logger *log.Logger) *index { return &index{log: logger, jobs: map[ID]*Summary{}} }

// Reset implements changelog.State.
func (x *index) Reset() { x.jobs = map[ID]*Summary{} }

// Apply implements changelog.State.
func (x *index) Apply(r changelog.Record) {
	if r.Value == nil {
		delete(x.jobs, ID(r.Key))
		return
	}
	var s Summary
	if err := cbor.Unmarshal(r.Value, &s); err != nil {
		x.log.Error("index record not readable", "job", r.Key, "offset", r.Offset, "err", err)
		return
	}
	x.jobs[ID(r.Key)] = &s
}

// record returns the record that stores s.
func (s *Summary) record() (changelog.Record, error) {
	data, err := cbor.Marshal(s)
	return changelog.Record{Key: string(s.ID), Value: data}, err
}

// Keys in a data partition: "j/JOB/CHUNK" holds items, "p/JOB/ITEM" what an item has generated so
// far, "r/JOB/POSITION" results.
const (
	itemsPrefix   = "j/"
	partsPrefix   = "p/"
	resultsPrefix = "r/"
)

// listing is what a data partition holds of one job.
type listing struct {
	chunks   map[string][]Item // by key
	results  []Result
	position map[string]int  // by item
	keys     []string        // of results, for deletion
	parts    map[string]Part // by item
}

// partitionState is the state of a data partition.
type partitionState struct {
	log  *log.Logger
	jobs map[ID]*listing
}

func newPartitionState(logger *log.Logger) *partitionState {
	return &partitionState{log: logger, jobs: map[ID]*listing{}}
}

// Reset implements changelog.State.
func (s *partitionState) Reset() { s.jobs = map[ID]*listing{} }

func (s *partitionState) listing(id ID) *listing {
	l := s.jobs[id]
	if l == nil {
		l = &listing{chunks: map[string][]Item{}, position: map[string]int{}, parts: map[string]Part{}}
		s.jobs[id] = l
	}
	return l
}

// resultsRecord is the value of a record with results from one position on.
type resultsRecord struct {
	Position int      `cbor:"1,keyasint"`
	Results  []Result `cbor:"2,keyasint"`
}

// Apply implements changelog.State.
func (s *partitionState) Apply(r changelog.Record) {
	prefix, rest := r.Key[:min(2, len(r.Key))], r.Key[min(2, len(r.Key)):]
	name, item, _ := strings.Cut(rest, "/")
	id := ID(name)
	if r.Value == nil {
		s.drop(id, prefix, r.Key, item)
		return
	}
	switch prefix {
	case itemsPrefix:
		var items []Item
		if err := cbor.Unmarshal(r.Value, &items); err != nil {
			s.log.Error("items record not readable", "key", r.Key, "offset", r.Offset, "err", err)
			return
		}
		s.listing(id).chunks[r.Key] = items
	case partsPrefix:
		var part Part
		if err := cbor.Unmarshal(r.Value, &part); err != nil {
			s.log.Error("record of a text's part not readable", "key", r.Key, "offset", r.Offset, "err", err)
			return
		}
		s.listing(id).parts[item] = part
	case resultsPrefix:
		var record resultsRecord
		if err := cbor.Unmarshal(r.Value, &record); err != nil {
			s.log.Error("results record not readable", "key", r.Key, "offset", r.Offset, "err", err)
			return
		}
		s.listing(id).add(r.Key, record)
	default:
		s.log.Warn("record of an unknown kind", "key", r.Key, "offset", r.Offset)
	}
}

func (l *listing) add(key string, record resultsRecord) {
	if record.Position != len(l.results) {
		return // applied before
	}
	l.keys = append(l.keys, key)
	for _, result := range record.Results {
		l.position[result.Item] = len(l.results)
		l.results = append(l.results, result)
	}
}

func (s *partitionState) drop(id ID, prefix, key, item string) {
	l := s.jobs[id]
	if l == nil {
		return
	}
	switch prefix {
	case itemsPrefix:
		delete(l.chunks, key)
	case partsPrefix:
		delete(l.parts, item)
	default:
		// Results are deleted all together, when nobody may ask for them any more.
		delete(s.jobs, id)
	}
}

// itemDrops returns the records that delete the items of a job and the parts of their texts.
func (l *listing) itemDrops(id ID) []changelog.Record {
	var drops []changelog.Record
	for key := range l.chunks {
		drops = append(drops, changelog.Record{Key: key})
	}
	for item := range l.parts {
		drops = append(drops, changelog.Record{Key: partKey(id, item)})
	}
	return drops
}

// items returns the items of a job in the order of submission.
func (l *listing) items() []Item {
	keys := make([]string, 0, len(l.chunks))
	for key := range l.chunks {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var items []Item
	for _, key := range keys {
		items = append(items, l.chunks[key]...)
	}
	return items
}
