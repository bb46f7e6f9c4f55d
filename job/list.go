package job

import (
	"context"
	"time"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/timing"
)

const (
	// listPause collects results into one append; trainers read about twice a second.
	listPause = 40 * time.Millisecond
	// listBytes bounds the outputs in one append, below the store's limit for a call.
	listBytes = 1 << 20
	// stopPatience bounds how long a stopping instance waits for the store to take its last results:
	// a part of the second that a planned stop leaves of its grace time.
	stopPatience = 400 * time.Millisecond
)

// list queues a result for its partition. It is listed as soon as the store takes it.
func (g *Registry) list(s *Summary, r Result) {
	p := g.partitions[s.Partition]
	p.mu.Lock()
	p.pending[s.ID] = append(p.pending[s.ID], r)
	start := !p.flushing
	p.flushing = true
	p.mu.Unlock()
	if start {
		g.tasks.Go(func() { g.flush(p) })
	}
}

// flush appends pending results until there are none.
func (g *Registry) flush(p *partition) {
	ctx := g.life
	for timing.Sleep(ctx, listPause) {
		batch := p.takeBatch()
		if batch == nil {
			return
		}
		start := time.Now()
		_, err := p.Commit(ctx, func() []changelog.Record { return g.newResults(p, batch) })
		if err != nil {
			g.log.Warn("results not listed", "jobs", len(batch), "waited", time.Since(start), "err", err)
			return // ctx has ended: the instance stops
		}
		for id, results := range batch {
			g.log.Info("results listed", "job", id, "count", len(results), "took", time.Since(start))
		}
	}
}

// takeBatch removes the results of the next append from the queue; nil ends the flushing.
func (p *partition) takeBatch() map[ID][]Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	batch := map[ID][]Result{}
	size := 0
	for id, results := range p.pending {
		n := 0
		for n < len(results) && size < listBytes {
			size += len(results[n].Output)
			n++
		}
		if n > 0 {
			batch[id] = results[:n]
		}
		if n == len(results) {
			delete(p.pending, id)
		} else {
			p.pending[id] = results[n:]
		}
	}
	if len(batch) == 0 {
		p.flushing = false
		return nil
	}
	return batch
}

// newResults returns the records of those results that have no position yet. Another instance
// may have listed the item since.
func (g *Registry) newResults(p *partition, batch map[ID][]Result) []changelog.Record {
	var records []changelog.Record
	for id, results := range batch {
		l := p.state.jobs[id]
		if l == nil {
			continue // the job has been deleted
		}
		var missing []Result
		seen := map[string]bool{}
		for _, r := range results {
			if _, listed := l.position[r.Item]; !listed && !seen[r.Item] {
				seen[r.Item] = true
				missing = append(missing, r)
			}
		}
		encoded, err := resultRecords(id, len(l.results), missing)
		if err != nil {
			g.log.Error("results not encoded", "job", id, "err", err)
			continue
		}
		records = append(records, encoded...)
	}
	return records
}

// finish records that every item of a job has a result and deletes the items.
func (g *Registry) finish(ctx context.Context, s *Summary) error {
	_, err := g.update(ctx, s.ID, func(old *Summary) *Summary {
		if old == nil || old.Listed {
			return nil
		}
		next := *old
		next.Listed = true
		return &next
	})
	return err
}

// dropItems deletes the items of a closed job, whose bodies nobody may ask for.
func (g *Registry) dropItems(ctx context.Context, s *Summary) error {
	p := g.partitions[s.Partition]
	_, err := p.Commit(ctx, func() []changelog.Record {
		l := p.state.jobs[s.ID]
		if l == nil {
			return nil
		}
		return l.itemDrops(s.ID)
	})
	return err
}
