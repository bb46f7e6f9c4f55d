package job

import (
	"context"
	"time"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/timing"
)

const (
	// resultFlushInterval is the delay before each append of results, so that one append stores many.
	// Trainers read results about twice a second.
	resultFlushInterval = 40 * time.Millisecond
	// maxResultAppendBytes limits the size of the outputs in one append, below the store's limit for a
	// call.
	maxResultAppendBytes = 1 << 20
	// stopTimeout bounds the writes that are left when an instance ends, which AwaitResults has not waited for. It
	// is a part of the second that a planned stop reserves at the end of its grace time.
	stopTimeout = 400 * time.Millisecond
)

// queueResult queues a result for its partition. The result is listed once the store has accepted it.
func (g *Registry) queueResult(s *Summary, r Result) {
	p := g.partitions[s.Partition]
	p.mu.Lock()
	p.pendingResults[s.ID] = append(p.pendingResults[s.ID], r)
	start := !p.flushing
	p.flushing = true
	p.mu.Unlock()
	if start {
		g.flushes.Go(func() { g.flushResults(p) })
	}
}

// AwaitResults waits until all queued results are listed. It fails if ctx ends before.
func (g *Registry) AwaitResults(ctx context.Context) error {
	for _, p := range g.partitions {
		for p.hasPendingResults() {
			if !timing.Sleep(ctx, resultFlushInterval) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// hasPendingResults reports whether results are queued or being appended.
func (p *partition) hasPendingResults() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.flushing
}

// flushResults appends pending results to their partition until none are left.
func (g *Registry) flushResults(p *partition) {
	ctx := g.writeCtx
	for timing.Sleep(ctx, resultFlushInterval) {
		batch := p.takeResultBatch()
		if batch == nil {
			return
		}
		start := time.Now()
		_, err := p.Commit(ctx, func() []changelog.Record { return g.newResultRecords(p, batch) })
		if err != nil {
			g.log.Warn("results not listed", "jobs", len(batch), "waited", time.Since(start), "err", err)
			return // ctx has ended: the instance stops
		}
		for id, results := range batch {
			g.log.Info("results listed", "job", id, "count", len(results), "took", time.Since(start))
		}
	}
}

// takeResultBatch removes the results of the next append from the queue. If there are none, it returns
// nil and the caller must stop flushing, because the next queued result starts a new flush.
func (p *partition) takeResultBatch() map[ID][]Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	batch := map[ID][]Result{}
	size := 0
	for id, results := range p.pendingResults {
		n := 0
		for n < len(results) && size < maxResultAppendBytes {
			size += len(results[n].Output)
			n++
		}
		if n > 0 {
			batch[id] = results[:n]
		}
		if n == len(results) {
			delete(p.pendingResults, id)
		} else {
			p.pendingResults[id] = results[n:]
		}
	}
	if len(batch) == 0 {
		p.flushing = false
		return nil
	}
	return batch
}

// newResultRecords returns records for those results whose items have no listed result yet. Another
// instance may have listed a result of the same item in the meantime.
func (g *Registry) newResultRecords(p *partition, batch map[ID][]Result) []changelog.Record {
	var records []changelog.Record
	for id, results := range batch {
		j := p.state.jobs[id]
		if j == nil {
			continue // the job has been deleted
		}
		var missing []Result
		seen := map[string]bool{}
		for _, r := range results {
			if !j.isListed(r.Item) && !seen[r.Item] {
				seen[r.Item] = true
				missing = append(missing, r)
			}
		}
		encoded, err := resultRecords(id, len(j.results), missing)
		if err != nil {
			g.log.Error("results not encoded", "job", id, "err", err)
			continue
		}
		records = append(records, encoded...)
	}
	return records
}

// markListed records in the index that every item of a job has a listed result.
func (g *Registry) markListed(ctx context.Context, s *Summary) error {
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

// deleteItems deletes the items and checkpoints of a closed job. Clients may not request the bodies of
// its items any more.
func (g *Registry) deleteItems(ctx context.Context, s *Summary) error {
	p := g.partitions[s.Partition]
	_, err := p.Commit(ctx, func() []changelog.Record {
		j := p.state.jobs[s.ID]
		if j == nil {
			return nil
		}
		return j.itemDeletions(s.ID)
	})
	return err
}
