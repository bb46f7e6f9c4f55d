package job

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/changelog"
)

// index is the replicated state of the index partition: the summaries of all jobs.
type index struct {
	log   *log.Logger
	jobs  map[ID]*Summary
	reads map[ID]firstRead // kept over loads
	// unreadable holds the jobs whose newest record cannot be decoded.
	unreadable map[ID]bool
	loading    bool
}

func newIndex(logger *log.Logger) *index {
	return &index{log: logger, jobs: map[ID]*Summary{}, reads: map[ID]firstRead{}, unreadable: map[ID]bool{}}
}

// Reset implements changelog.State.
func (x *index) Reset() { x.jobs, x.unreadable, x.loading = map[ID]*Summary{}, map[ID]bool{}, true }

// Loaded implements changelog.LoadObserver.
func (x *index) Loaded() {
	x.loading = false
	maps.DeleteFunc(x.reads, func(id ID, _ firstRead) bool { return x.jobs[id] == nil })
}

// Apply implements changelog.State.
func (x *index) Apply(r changelog.Record) {
	delete(x.unreadable, ID(r.Key))
	if r.Value == nil {
		delete(x.jobs, ID(r.Key))
		delete(x.reads, ID(r.Key))
		return
	}
	var s Summary
	if err := cbor.Unmarshal(r.Value, &s); err != nil {
		x.log.Error("index record not readable", "job", r.Key, "offset", r.Offset, "err", err)
		x.unreadable[ID(r.Key)] = true
		return
	}
	if _, known := x.reads[ID(r.Key)]; !known {
		x.reads[ID(r.Key)] = newFirstRead(time.Now(), time.UnixMilli(s.SubmittedMs), !x.loading)
	}
	s.read = x.reads[ID(r.Key)]
	x.jobs[ID(r.Key)] = &s
}

// record returns the index record that stores s.
func (s *Summary) record() (changelog.Record, error) {
	data, err := cbor.Marshal(s)
	return changelog.Record{Key: string(s.ID), Value: data}, err
}

// Key prefixes in a data partition: "j/JOB/CHUNK" holds items, "p/JOB/ITEM" the checkpoint of an item,
// "r/JOB/POSITION" results from that position on.
const (
	itemsPrefix       = "j/"
	checkpointsPrefix = "p/"
	resultsPrefix     = "r/"
)

// jobData is the content of a data partition for one job.
type jobData struct {
	chunks      map[string]itemChunk // by record key
	results     []Result
	positions   map[string]int        // positions of the results, by item
	early       map[int]earlyResults  // results that follow a gap, by position
	records     []listedRecord        // of results, by position
	checkpoints map[string]Checkpoint // by item
}

// partitionState is the replicated state of a data partition.
type partitionState struct {
	log       *log.Logger
	gapsFound prometheus.Counter
	jobs      map[ID]*jobData
	gaps      map[ID]*resultsGap // kept over loads
	loading   bool
	// itemBudget and outputBudget bound what the copies of all partitions hold.
	itemBudget, outputBudget *copyBudget
	// loadTakenItems and loadTakenOutputs are what a load has taken of them since the last Reset.
	loadTakenItems, loadTakenOutputs int64
	held                             []heldRecord // in the order in which they were applied
}

func newPartitionState(logger *log.Logger, gapsFound prometheus.Counter, itemBudget, outputBudget *copyBudget) *partitionState {
	return &partitionState{log: logger, gapsFound: gapsFound, itemBudget: itemBudget, outputBudget: outputBudget, jobs: map[ID]*jobData{}, gaps: map[ID]*resultsGap{}}
}

// Reset implements changelog.State.
func (s *partitionState) Reset() {
	s.giveBackAll()
	s.jobs, s.loading = map[ID]*jobData{}, true
}

// getOrCreate returns the data of a job, which is empty for a new job.
func (s *partitionState) getOrCreate(id ID) *jobData {
	j := s.jobs[id]
	if j == nil {
		j = &jobData{chunks: map[string]itemChunk{}, positions: map[string]int{}, checkpoints: map[string]Checkpoint{}, early: map[int]earlyResults{}}
		s.jobs[id] = j
	}
	return j
}

// resultsRecord is the value of a record with the results of consecutive positions from Position on.
type resultsRecord struct {
	Position int      `cbor:"1,keyasint"`
	Results  []Result `cbor:"2,keyasint"`
	// LeftOut states that the outputs are left out, in memory only.
	LeftOut bool `cbor:"3,keyasint,omitempty"`
}

// Apply implements changelog.State.
func (s *partitionState) Apply(r changelog.Record) {
	prefix, rest := r.Key[:min(2, len(r.Key))], r.Key[min(2, len(r.Key)):]
	name, item, _ := strings.Cut(rest, "/")
	id := ID(name)
	if r.Value == nil {
		s.remove(id, prefix, r.Key, item)
		return
	}
	switch prefix {
	case itemsPrefix:
		chunk, err := s.newChunk(r.Value)
		if err != nil {
			s.log.Error("items record not readable", "key", r.Key, "offset", r.Offset, "err", err)
			return
		}
		s.setChunk(s.getOrCreate(id), r.Key, chunk)
	case checkpointsPrefix:
		var c Checkpoint
		if err := cbor.Unmarshal(r.Value, &c); err != nil {
			s.log.Error("checkpoint record not readable", "key", r.Key, "offset", r.Offset, "err", err)
			return
		}
		s.setCheckpoint(s.getOrCreate(id), item, c)
	case resultsPrefix:
		var record resultsRecord
		if err := cbor.Unmarshal(r.Value, &record); err != nil {
			s.log.Error("results record not readable", "key", r.Key, "offset", r.Offset, "err", err)
			return
		}
		j := s.getOrCreate(id)
		s.addResults(id, j, r, record)
		s.checkGap(id, j)
	default:
		s.log.Warn("record with an unknown key prefix", "key", r.Key, "offset", r.Offset)
	}
}

// addResults appends the results of a record, and those that were waiting for them. It ignores a record that is already applied
// and keeps one that follows a gap.
func (s *partitionState) addResults(id ID, j *jobData, r changelog.Record, value resultsRecord) {
	if value.Position < len(j.results) {
		return
	}
	j.early[value.Position] = earlyResults{record: changelog.Record{Key: r.Key, Offset: r.Offset}, value: value}
	for next, ok := j.early[len(j.results)]; ok; next, ok = j.early[len(j.results)] {
		delete(j.early, next.value.Position)
		j.records = append(j.records, listedRecord{key: next.record.Key, position: len(j.results), leftOut: next.value.LeftOut})
		for _, result := range next.value.Results {
			j.positions[result.Item] = len(j.results)
			j.results = append(j.results, result)
		}
		s.holdOutputs(id, j)
	}
}

// remove applies the deletion of a record.
func (s *partitionState) remove(id ID, prefix, key, item string) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	switch prefix {
	case itemsPrefix:
		s.removeChunk(j, key)
	case checkpointsPrefix:
		s.removeCheckpoint(j, item)
	default:
		s.removeResults(j, key)
	}
	if j.gap() == nil {
		delete(s.gaps, id)
	}
	if j.isEmpty() {
		delete(s.jobs, id)
	}
}

// removeResults removes the results of a record, and those behind it. Deletions begin with the last record, after the retention of the job.
func (s *partitionState) removeResults(j *jobData, key string) {
	maps.DeleteFunc(j.early, func(_ int, e earlyResults) bool { return e.record.Key == key })
	at := slices.IndexFunc(j.records, func(r listedRecord) bool { return r.key == key })
	if at < 0 {
		return
	}
	for _, r := range j.records[at:] {
		s.outputBudget.giveBack(r.taken)
	}
	left := j.records[at].position
	for _, r := range j.results[left:] {
		delete(j.positions, r.Item)
	}
	clear(j.results[left:])
	j.results, j.records = j.results[:left], j.records[:at]
}

// isEmpty reports whether all records of the job have been deleted.
func (j *jobData) isEmpty() bool {
	return len(j.chunks) == 0 && len(j.checkpoints) == 0 && len(j.records) == 0 && len(j.early) == 0
}

// itemDeletions returns records that delete the items of a job and their checkpoints.
func (j *jobData) itemDeletions(id ID) []changelog.Record {
	var deletions []changelog.Record
	for key := range j.chunks {
		deletions = append(deletions, changelog.Record{Key: key})
	}
	for item := range j.checkpoints {
		deletions = append(deletions, changelog.Record{Key: checkpointKey(id, item)})
	}
	return deletions
}

// deletions returns records that delete all that the partition holds of the job. Results come last, those with the highest positions first,
// so that what is left has no gap.
func (j *jobData) deletions(id ID) []changelog.Record {
	deletions := j.itemDeletions(id)
	for _, position := range slices.Backward(slices.Sorted(maps.Keys(j.early))) {
		deletions = append(deletions, changelog.Record{Key: j.early[position].record.Key})
	}
	for _, r := range slices.Backward(j.records) {
		deletions = append(deletions, changelog.Record{Key: r.key})
	}
	return deletions
}

// items returns the items of the job in the order of submission. It returns false if some are left out.
func (j *jobData) items() (items []storedItem, complete bool) {
	for _, key := range slices.Sorted(maps.Keys(j.chunks)) {
		items = append(items, j.chunks[key].items...)
	}
	return items, len(items) == j.itemCount()
}

// itemCount returns the number of the job's items, those that are left out included.
func (j *jobData) itemCount() int {
	n := 0
	for _, chunk := range j.chunks {
		n += chunk.count
	}
	return n
}

// storedItem is an encoded item. It takes a fraction of the memory of the decoded one.
type storedItem = cbor.RawMessage

// decodeItem decodes an item without its headers and bodies, which Item.whole reads when they are due.
func decodeItem(stored storedItem) (Item, error) {
	var i Item
	if err := cbor.Unmarshal(stored, &i); err != nil {
		return Item{}, err
	}
	i.Headers, i.Body, i.stored = nil, nil, stored
	if i.Reward != nil {
		i.Reward.Body = nil
	}
	return i, nil
}

// Pack encodes the item and drops its headers and bodies, which whole decodes again.
func (i *Item) Pack() error {
	stored, err := cbor.Marshal(i)
	if err != nil {
		return err
	}
	i.Headers, i.Body, i.stored = nil, nil, stored
	if i.Reward != nil {
		i.Reward.Body = nil
	}
	return nil
}

// SetModel sets the model that generates the text.
func (i *Item) SetModel(model string) error {
	whole, err := i.whole()
	if err != nil {
		return err
	}
	*i = *whole
	i.Model = model
	return i.Pack()
}

// whole returns the item with its headers and bodies.
func (i *Item) whole() (*Item, error) {
	if i.stored == nil {
		return i, nil
	}
	var decoded Item
	if err := cbor.Unmarshal(i.stored, &decoded); err != nil {
		return nil, err
	}
	return &decoded, nil
}
