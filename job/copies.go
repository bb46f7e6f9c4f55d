package job

import (
	"context"
	"strings"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/changelog"
)

// Items in copies of data partitions.
//
// An instance copies a data partition to answer for any of its jobs, and almost all reads want results. The items of a job can be as large
// as the largest request, and a few instances may be asked for all jobs. The copies of an instance therefore hold items up to a bound, and
// beyond it only their number. Who needs such items reads them from the store: the driver when it runs the job, others when a client asks
// for the body of an item that the driver does not answer for.

// copyBudget counts the bytes of one kind in all copies of an instance. It is safe for concurrent use.
type copyBudget struct {
	limit int64 // 0 sets no bound
	used  atomic.Int64
}

// take takes n bytes. It returns false if they do not fit.
func (c *copyBudget) take(n int64) bool {
	if used := c.used.Add(n); c.limit > 0 && used > c.limit {
		c.used.Add(-n)
		return false
	}
	return true
}

// giveBack returns n bytes.
func (c *copyBudget) giveBack(n int64) { c.used.Add(-n) }

// registerCopyMetrics registers the metrics of the bytes in copies; r may be nil.
func (g *Registry) registerCopyMetrics(r prometheus.Registerer) {
	if r == nil {
		return
	}
	for name, metric := range map[string]struct {
		help   string
		budget *copyBudget
	}{
		"cicadasill_copied_item_bytes":   {"Bytes of batch job items in this instance's copies of data partitions.", g.itemBudget},
		"cicadasill_copied_output_bytes": {"Bytes of listed outputs and checkpoints in this instance's copies of data partitions.", g.outputBudget},
	} {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: metric.help},
			func() float64 { return float64(metric.budget.used.Load()) }))
	}
}

// itemChunk is what a copy holds of an items record.
type itemChunk struct {
	count int
	items []storedItem // nil if the copy holds only their number
	taken int64        // bytes of the budget for items
}

// leftOutItems replaces the value of an items record whose items are left out. It exists in memory only.
type leftOutItems struct {
	Count int `cbor:"1,keyasint"`
}

// isLeftOut reports whether the value of an items record is a leftOutItems, a map in CBOR, instead of a list of items.
func isLeftOut(value []byte) bool {
	const (
		majorTypeBits = 0xe0
		mapType       = 5 << 5
	)
	return len(value) > 0 && value[0]&majorTypeBits == mapType
}

// Reduce implements changelog.Reducer: a load keeps no items and no outputs beyond their bounds.
func (s *partitionState) Reduce(r changelog.Record) changelog.Record {
	switch {
	case r.Value == nil:
		return r
	case strings.HasPrefix(r.Key, itemsPrefix):
		return s.reduceItems(r)
	case strings.HasPrefix(r.Key, resultsPrefix), strings.HasPrefix(r.Key, checkpointsPrefix):
		return s.reduceOutputs(r)
	}
	return r
}

// reduceItems returns a record of items as a load keeps it.
func (s *partitionState) reduceItems(r changelog.Record) changelog.Record {
	if size := int64(len(r.Value)); s.itemBudget.take(size) {
		s.loadTakenItems += size
		return r
	}
	var items []storedItem
	if err := cbor.Unmarshal(r.Value, &items); err != nil {
		return r // Apply reports it
	}
	value, err := cbor.Marshal(leftOutItems{Count: len(items)})
	if err != nil {
		s.log.Error("items not left out", "key", r.Key, "err", err)
		return r
	}
	r.Value = value
	return r
}

// newChunk decodes the value of an items record. It leaves the items out if they exceed the bound.
func (s *partitionState) newChunk(value []byte) (itemChunk, error) {
	if isLeftOut(value) {
		var left leftOutItems
		err := cbor.Unmarshal(value, &left)
		return itemChunk{count: left.Count}, err
	}
	var items []storedItem
	if err := cbor.Unmarshal(value, &items); err != nil {
		return itemChunk{}, err
	}
	chunk := itemChunk{count: len(items)}
	if size := int64(len(value)); s.itemBudget.take(size) {
		chunk.items, chunk.taken = items, size
	}
	return chunk, nil
}

// setChunk replaces a chunk of a job.
func (s *partitionState) setChunk(j *jobData, key string, chunk itemChunk) {
	s.removeChunk(j, key)
	j.chunks[key] = chunk
}

// removeChunk removes a chunk of a job, if there is one.
func (s *partitionState) removeChunk(j *jobData, key string) {
	s.itemBudget.giveBack(j.chunks[key].taken)
	delete(j.chunks, key)
}

// giveBackAll returns all bytes that the state and a load of it have taken.
func (s *partitionState) giveBackAll() {
	s.itemBudget.giveBack(s.loadTakenItems)
	s.outputBudget.giveBack(s.loadTakenOutputs)
	s.loadTakenItems, s.loadTakenOutputs, s.held = 0, 0, nil
	for _, j := range s.jobs {
		for _, chunk := range j.chunks {
			s.itemBudget.giveBack(chunk.taken)
		}
		for _, r := range j.records {
			s.outputBudget.giveBack(r.taken)
		}
		for _, c := range j.checkpoints {
			s.outputBudget.giveBack(int64(c.size()))
		}
	}
}

// readItems reads the items of a job from the store, in the order of submission. It fails with *IncompleteError if the store holds only
// some, and with *UnavailableError if it does not answer.
func (g *Registry) readItems(ctx context.Context, s *Summary) ([]storedItem, error) {
	found := &jobData{chunks: map[string]itemChunk{}}
	err := g.scanItems(ctx, s, func(key string, items []storedItem) bool {
		found.chunks[key] = itemChunk{count: len(items), items: items}
		return found.itemCount() < s.Total
	})
	if err != nil {
		return nil, err
	}
	if n := found.itemCount(); n != s.Total {
		return nil, &IncompleteError{Job: s.ID, Found: n, Total: s.Total}
	}
	items, _ := found.items()
	return items, nil
}

// scanItems reads the items of a job from the store and calls take with those of each record until it returns false.
func (g *Registry) scanItems(ctx context.Context, s *Summary, take func(key string, items []storedItem) bool) error {
	prefix := itemsPrefix + string(s.ID) + "/"
	return g.scanRecords(ctx, g.partitions[s.Partition].id, prefix, prefix+"0", func(r changelog.Record) (bool, error) {
		var items []storedItem
		if err := cbor.Unmarshal(r.Value, &items); err != nil {
			return false, err
		}
		return take(r.Key, items), nil
	})
}

// scanRecords reads the newest records whose keys begin with a prefix and calls take with each until it returns false or an error. It begins
// at the key from, or all over if take goes on after the records that follow from there: they follow if the store orders its keys, which its
// users' pages do not state. take may be called twice with a record. scanRecords fails with *UnavailableError.
func (g *Registry) scanRecords(ctx context.Context, p changelog.Partition, prefix, from string, take func(changelog.Record) (more bool, err error)) error {
	for _, after := range []string{keyBefore(from), ""} {
		inOrder := after != ""
		for more := true; more; {
			page, err := g.opts.Log.Newest(ctx, p, after)
			if err != nil {
				return &UnavailableError{Err: err}
			}
			foundAny := false
			for _, r := range page.Records {
				if !strings.HasPrefix(r.Key, prefix) || r.Value == nil {
					continue
				}
				foundAny = true
				if more, err := take(r); err != nil {
					return &UnavailableError{Err: err}
				} else if !more {
					return nil
				}
			}
			more = page.More && len(page.Records) > 0 && (foundAny || !inOrder)
			if more {
				after = page.Records[len(page.Records)-1].Key
			}
		}
	}
	return nil
}

// keyBefore returns a key that precedes the given one, and follows all that precede it as far as their lengths allow: it lacks the last byte.
func keyBefore(key string) string { return key[:len(key)-1] }
