package job

import (
	"bytes"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Page is a range of a job's results, with the total number of its items.
type Page struct {
	Total   int
	Results []Result
}

// StepSize returns the number of items in the newest step of a model, or 0 if there is none.
func (g *Registry) StepSize(model string) int {
	size, newest := 0, time.Time{}
	g.indexReplica.View(func() {
		for _, s := range g.index.jobs {
			if s.Model == model && s.Step >= 0 && s.AcceptedAt().After(newest) {
				size, newest = s.Total, s.AcceptedAt()
			}
		}
	})
	return size
}

// jobRead is a read or an end of a job.
type jobRead struct {
	*Registry
	call  readCall
	id    ID
	item  string
	after int
	start time.Time
	// waitEnd is the time up to which the client waits for results.
	waitEnd  time.Time
	hasAsked atomic.Bool // other instances
	// unansweredSince is when the call began to wait for the job's partition, answered whether the last read of that succeeded.
	unansweredSince time.Time
	answered        bool
}

// newRead returns a read or an end of a job that begins now.
func (g *Registry) newRead(call readCall, id ID, wait time.Duration) *jobRead {
	now := time.Now()
	return &jobRead{Registry: g, call: call, id: id, start: now, waitEnd: now.Add(wait), unansweredSince: now}
}

// find returns the summary of the job. It reads the index from the store if this instance doesn't know the job yet. If the store
// does not answer, another instance may, and the summary is empty.
func (r *jobRead) find(ctx context.Context) (Summary, holderAnswers, error) {
	if s, ok := r.Summary(r.id); ok {
		return s, holderAnswers{}, nil
	}
	answers, err := r.syncIndexOrAsk(ctx)
	switch {
	case answers.content.Found:
		return Summary{}, answers, nil
	case err != nil:
		return Summary{}, answers, r.refuseByIndex(StepIndex, answers, &UnavailableError{Err: err})
	}
	if s, ok := r.Summary(r.id); ok {
		r.hasAsked.Store(false) // its driver is known now
		return s, answers, nil
	}
	if r.isUnreadable(r.id) {
		return Summary{}, answers, r.refuseByIndex(StepIndex, answers, &UnavailableError{Err: errUnreadable})
	}
	return Summary{}, answers, r.refuseByIndex(StepNotFound, answers, &NotFoundError{Job: r.id})
}

// errUnreadable reports that the newest record of a job cannot be decoded.
var errUnreadable = errors.New("the job's record in the index cannot be decoded")

// isUnreadable reports whether the newest index record of a job cannot be decoded.
func (g *Registry) isUnreadable(id ID) (unreadable bool) {
	g.indexReplica.View(func() { unreadable = g.index.unreadable[id] })
	return unreadable
}

// Results returns results from position after on. If there are none yet, it waits for them, for wait at
// most.
func (g *Registry) Results(ctx context.Context, id ID, after int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	r := g.newRead(callResults, id, wait)
	r.after = after
	s, answers, err := r.find(ctx)
	switch {
	case err != nil:
		return Page{}, err
	case answers.content.Found:
		return answers.page(), nil
	case after >= s.Total:
		return Page{Total: s.Total}, nil
	}
	p := g.partitions[s.Partition]
	for {
		answers, syncErr := r.syncPartitionOrAsk(ctx, &s)
		changed := p.Changed()
		results, leftOut := p.results(id, after)
		if leftOut != "" {
			var err error
			if results, err = g.readListed(ctx, p, id, leftOut, after); err != nil {
				if answers = r.ask(ctx, &s); answers.content.Found {
					return answers.page(), nil
				}
				return Page{}, r.refuseUnread(&s, answers, err)
			}
		}
		page := Page{Total: s.Total, Results: results}
		if len(page.Results) > 0 {
			return page, nil // listed results never change, so they are valid even if the read failed
		}
		if answers.content.Found {
			return answers.page(), nil
		}
		s, _ = g.latestSummary(id, s)
		left := time.Until(r.waitEnd)
		if left <= 0 || (s.Ended && syncErr == nil) {
			if syncErr != nil {
				return Page{}, r.refuseUnread(&s, answers, syncErr)
			}
			return page, nil
		}
		select {
		case <-changed:
		case <-time.After(min(left, resultPollInterval)):
		case <-ctx.Done():
			if syncErr != nil {
				return Page{}, r.refuseUnread(&s, answers, syncErr)
			}
			return Page{}, r.refuseByPartition(StepWait, &s, answers, &UnavailableError{Err: context.Cause(ctx)})
		}
	}
}

// storeTimeout bounds how much longer than requested a client's read waits for a store that does not answer. It leaves time for
// a call that has gone silent and its repeat, and is below the 1.5 s that clients allow.
const storeTimeout = 1300 * time.Millisecond

// latestSummary returns the summary of a job in this instance's copy of the index, or fallback and false if the
// copy does not hold the job.
func (g *Registry) latestSummary(id ID, fallback Summary) (Summary, bool) {
	if s, ok := g.Summary(id); ok {
		return s, true
	}
	return fallback, false
}

// results returns the results of a job from position after on, up to the size limit of a page. If the copy leaves out the output of the first
// one, it returns the key of its record instead.
func (p *partition) results(id ID, after int) (page []Result, leftOut string) {
	p.View(func() {
		j := p.state.jobs[id]
		if j == nil || after >= len(j.results) {
			return
		}
		at, size := j.recordOf(after), 0
		if j.records[at].leftOut {
			leftOut = j.records[at].key
			return
		}
		for n, r := range j.results[after:] {
			if after+n >= j.recordEnd(at) {
				at++
			}
			if j.records[at].leftOut {
				return
			}
			if len(page) > 0 && size+len(r.Output) > maxPageBytes {
				return
			}
			size += len(r.Output)
			page = append(page, r)
		}
	})
	return page, leftOut
}

// listed returns the number of results of a job in this instance's copy of the partition.
func (p *partition) listed(id ID) int {
	n := 0
	p.View(func() {
		if j := p.state.jobs[id]; j != nil {
			n = len(j.results)
		}
	})
	return n
}

// checkCopy returns *IncompleteCopyError if the copy of the job's partition lacks what the call may want, although it has been
// read after s: all results if s is listed, or all items of an open job.
func (r *jobRead) checkCopy(ctx context.Context, s *Summary) error {
	p := r.partitions[s.Partition]
	if r.item == "" {
		if found := p.listed(r.id); s.Listed && found < s.Total {
			p.repair()
			return &IncompleteCopyError{Job: r.id, Found: found, Total: s.Total}
		}
		return nil
	}
	found := p.itemCount(r.id)
	if found == s.Total || !s.Open() {
		return nil
	}
	if err := r.indexReplica.Sync(ctx); err != nil {
		return err
	}
	if latest, known := r.Summary(r.id); !known || !latest.Open() {
		return nil // its items have been deleted
	}
	p.repair()
	return &IncompleteCopyError{Job: r.id, Found: found, Total: s.Total}
}

// repair makes the next read load the partition again, unless it did so within gapRepairInterval.
func (p *partition) repair() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.repairedAt.IsZero() && time.Since(p.repairedAt) < gapRepairInterval {
		return
	}
	p.repairedAt = time.Now()
	p.Reload()
}

// itemCount returns the number of items of a job in this instance's copy of the partition.
func (p *partition) itemCount(id ID) int {
	n := 0
	p.View(func() {
		if j := p.state.jobs[id]; j != nil {
			n = j.itemCount()
		}
	})
	return n
}

// Body returns the body of an item of an open job.
func (g *Registry) Body(ctx context.Context, id ID, item string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r := g.newRead(callBody, id, 0)
	r.item = item
	s, answers, err := r.find(ctx)
	switch {
	case err != nil:
		return nil, err
	case answers.content.Found:
		return answers.content.Body, nil
	}
	p := g.partitions[s.Partition]
	if body, ok := g.ownBody(p, id, item); ok {
		return body, nil
	}
	answers, err = r.syncPartitionOrAsk(ctx, &s)
	switch {
	case answers.content.Found:
		return answers.content.Body, nil
	case err != nil:
		return nil, r.refuseUnread(&s, answers, err)
	}
	if body, ok := g.ownBody(p, id, item); ok {
		return body, nil
	}
	if p.leavesOutItems(id) {
		body, found, err := r.bodyElsewhere(ctx, &s)
		switch {
		case err != nil:
			return nil, r.refuseUnread(&s, answers, err)
		case found:
			return body, nil
		}
	}
	return nil, r.refuseByPartition(StepItemNotFound, &s, answers, &NotFoundError{Job: id, Item: item})
}

// ownBody returns the body of an item if this instance drives the job or its copy of the partition holds it.
func (g *Registry) ownBody(p *partition, id ID, item string) ([]byte, bool) {
	if body, ok := p.body(id, item); ok {
		return body, true
	}
	if g.runningBody == nil {
		return nil, false
	}
	return g.runningBody(id, item)
}

// leavesOutItems reports whether this instance's copy of the partition holds only the number of some of the job's items.
func (p *partition) leavesOutItems(id ID) (leavesOut bool) {
	p.View(func() {
		if j := p.state.jobs[id]; j != nil {
			_, complete := j.items()
			leavesOut = !complete
		}
	})
	return leavesOut
}

// bodyElsewhere returns the body of an item that the copy leaves out: from the job's driver, or else from the store.
func (r *jobRead) bodyElsewhere(ctx context.Context, s *Summary) (body []byte, found bool, err error) {
	if content := r.askDriver(ctx, s); content.Found {
		return content.Body, true, nil
	}
	err = r.scanItems(ctx, s, func(_ string, items []storedItem) bool {
		for _, stored := range items {
			if body, found = bodyOf(stored, r.item); found {
				return false
			}
		}
		return true
	})
	return body, found, err
}

// body returns the body of an item if this instance's copy of the partition holds it.
func (p *partition) body(id ID, item string) ([]byte, bool) {
	var (
		body  []byte
		found bool
	)
	p.View(func() {
		j := p.state.jobs[id]
		if j == nil {
			return
		}
		for _, chunk := range j.chunks {
			for _, stored := range chunk.items {
				if body, found = bodyOf(stored, item); found {
					return
				}
			}
		}
	})
	return body, found
}

// bodyOf returns the body of an encoded item if its id is the given one.
func bodyOf(stored storedItem, item string) ([]byte, bool) {
	if !bytes.Contains(stored, []byte(item)) {
		return nil, false
	}
	var decoded Item
	if err := cbor.Unmarshal(stored, &decoded); err != nil || decoded.ID != item {
		return nil, false
	}
	return decoded.Body, true
}
