package job

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/timing"
)

const (
	// resultFlushInterval is the delay before each append of results, so that one append stores many.
	// Trainers read results about twice a second.
	resultFlushInterval = 40 * time.Millisecond
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
		batch := p.takeResultBatch(g.appendLimits().CallBytes)
		if batch == nil {
			return
		}
		start := time.Now()
		if err := g.listResults(ctx, p, batch); err != nil {
			g.log.Warn("results not listed", "jobs", len(batch), "waited", time.Since(start), "err", err)
			return // ctx has ended: the instance stops
		}
		for id, results := range batch {
			g.log.Info("results listed", "job", id, "count", len(results), "took", time.Since(start))
		}
	}
}

// listResults lists a batch of results. If the store rejects them, it lists parts of the batch, so that a result that the store never takes
// keeps no other one from being listed. That one is listed as errored.
func (g *Registry) listResults(ctx context.Context, p *partition, batch map[ID][]Result) error {
	_, err := p.Commit(ctx, func() []changelog.Record { return g.newResultRecords(p, batch) })
	var rejected *changelog.RejectedError
	if !errors.As(err, &rejected) {
		return err
	}
	first, second := splitBatch(batch)
	if second == nil {
		return g.listErrored(ctx, p, first, err)
	}
	if err := g.listResults(ctx, p, first); err != nil {
		return err
	}
	return g.listResults(ctx, p, second)
}

// newUnlistedCounter returns a counter of results that the store never accepts. registerer may be nil.
func newUnlistedCounter(registerer prometheus.Registerer) prometheus.Counter {
	counter := prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadasill_results_rejected_total",
		Help: "Results of items that the store never accepts as they are. They are listed as errored."})
	if registerer != nil {
		registerer.MustRegister(counter)
	}
	return counter
}

// listErrored lists the only result of a batch, which the store rejects, without its output.
func (g *Registry) listErrored(ctx context.Context, p *partition, batch map[ID][]Result, cause error) error {
	for id, results := range batch {
		r := results[0]
		g.unlisted.Inc()
		if r.State == Errored && r.Output == nil {
			g.log.Error("result not listed", "job", id, "item", r.Item, "err", cause)
			continue
		}
		g.log.Error("result listed as errored", "job", id, "item", r.Item, "bytes", len(r.Output), "err", cause)
		return g.listResults(ctx, p, map[ID][]Result{id: {{Item: r.Item, State: Errored}}})
	}
	return nil
}

// splitBatch halves a batch of results. The second half is nil if there is only one result.
func splitBatch(batch map[ID][]Result) (first, second map[ID][]Result) {
	total := 0
	for _, results := range batch {
		total += len(results)
	}
	if total <= 1 {
		return batch, nil
	}
	first, second = map[ID][]Result{}, map[ID][]Result{}
	left := total / 2
	for id, results := range batch {
		n := min(left, len(results))
		left -= n
		if n > 0 {
			first[id] = results[:n]
		}
		if n < len(results) {
			second[id] = results[n:]
		}
	}
	return first, second
}

// takeResultBatch removes the results of the next append, of up to limit encoded bytes, from the queue. If there are none, it returns
// nil and the caller must stop flushing, because the next queued result starts a new flush.
func (p *partition) takeResultBatch(limit int) map[ID][]Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	batch := map[ID][]Result{}
	size, full := 0, false
	for id, results := range p.pendingResults {
		size += recordOverheadBytes + resultsHeadBytes
		n := 0
		for n < len(results) {
			if size += results[n].encodedSize(); size > limit && (n > 0 || len(batch) > 0) {
				full = true
				break
			}
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
		if full {
			break
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
		encoded, tooLarge, err := resultRecords(id, len(j.results), missing, g.opts.Limits)
		if err != nil {
			g.log.Error("results not encoded", "job", id, "err", err)
			continue
		}
		for _, item := range tooLarge {
			g.unlisted.Inc()
			g.log.Error("result listed as errored", "job", id, "item", item, "err", errTextTooLarge)
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
	return g.deleteRecords(ctx, s, (*jobData).itemDeletions)
}
