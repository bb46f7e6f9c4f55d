package changelog

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/timing"
)

// Pauses between attempts of a call that failed.
const (
	// retryPause spaces attempts at a store that answers with an error.
	retryPause = 60 * time.Millisecond
	// conflictPause lets the winner of a conflict finish before the next attempt reads.
	conflictPause = 2 * time.Millisecond
)

// State is what a replica derives from the records of its partition. The replica calls both
// methods one at a time.
type State interface {
	// Apply takes the next record. It must accept a record that it has seen before.
	Apply(r Record)
	// Reset forgets everything; the newest record of each key follows.
	Reset()
}

// LoadObserver is a State that wants to know when the newest record of each key has followed a Reset.
type LoadObserver interface{ Loaded() }

// Replica is this instance's copy of the state of one partition.
type Replica struct {
	log       Log
	partition Partition
	state     State

	mu      sync.Mutex // guards state, next, loaded, changed, readAt and waiting
	next    int64
	loaded  bool
	changed chan struct{}
	readAt  time.Time
	waiting []chan error
	syncing bool

	commitMu sync.Mutex // serializes this instance's own commits
}

// NewReplica returns a replica that has read nothing yet.
func NewReplica(log Log, p Partition, state State) *Replica {
	return &Replica{log: log, partition: p, state: state, changed: make(chan struct{})}
}

// View calls f while the state does not change. f must not call the replica.
func (r *Replica) View(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// Changed returns a channel that is closed when further records have been applied.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Age returns the time since the start of the last successful read; it is very large before the first.
func (r *Replica) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return time.Duration(1<<63 - 1)
	}
	return time.Since(r.readAt)
}

// Sync returns once the replica has applied every record that was appended before the call.
func (r *Replica) Sync(ctx context.Context) error {
	done := make(chan error, 1)
	r.mu.Lock()
	r.waiting = append(r.waiting, done)
	if !r.syncing {
		r.syncing = true
		go r.serveSyncs()
	}
	r.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// serveSyncs reads once for all calls of Sync that wait when the read starts.
func (r *Replica) serveSyncs() {
	for {
		r.mu.Lock()
		callers := r.waiting
		r.waiting = nil
		if len(callers) == 0 {
			r.syncing = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		err := r.catchUp(context.Background(), 0)
		for _, c := range callers {
			c <- err
		}
	}
}

// Follow keeps the replica current until ctx ends: it reads, waits up to wait for records, and
// pauses between reads. failed is called with each failed read and with nil after a successful one.
func (r *Replica) Follow(ctx context.Context, wait time.Duration, pause func() time.Duration, failed func(error)) {
	for ctx.Err() == nil {
		err := r.catchUp(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		failed(err)
		delay := pause()
		if err != nil {
			delay = max(delay, retryPause)
		}
		if delay > 0 && !timing.Sleep(ctx, delay) {
			return
		}
	}
}

// catchUp reads until the end of the partition. The first read waits up to wait for records.
func (r *Replica) catchUp(ctx context.Context, wait time.Duration) error {
	for {
		start := time.Now()
		r.mu.Lock()
		from, loaded := r.next, r.loaded
		r.mu.Unlock()
		if !loaded {
			if err := r.load(ctx); err != nil {
				return err
			}
			continue
		}
		batch, err := r.log.Read(ctx, r.partition, from, wait)
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) {
			if err := r.load(ctx); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		wait = 0
		if r.apply(batch.Records, start) >= batch.End {
			return nil
		}
	}
}

// load replaces the state by the newest record of each key. Pages are no snapshot: the records
// from the end of the first page on are read again and applied after them.
func (r *Replica) load(ctx context.Context) error {
	start := time.Now()
	var (
		records []Record
		end     int64
		after   string
	)
	for first := true; ; first = false {
		page, err := r.log.Newest(ctx, r.partition, after)
		if err != nil {
			return err
		}
		if first {
			end = page.End
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	slices.SortFunc(records, func(a, b Record) int { return int(a.Offset - b.Offset) })
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && r.next >= end {
		return nil // a concurrent read has brought the replica further
	}
	r.state.Reset()
	for _, record := range records {
		r.state.Apply(record)
	}
	if observer, ok := r.state.(LoadObserver); ok {
		observer.Loaded()
	}
	r.next, r.loaded, r.readAt = end, true, start
	r.notify()
	return nil
}

// apply takes contiguous records and returns the offset up to which the replica is current.
func (r *Replica) apply(records []Record, start time.Time) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	applied := false
	for _, record := range records {
		if record.Offset < r.next {
			continue
		}
		r.state.Apply(record)
		r.next = record.Offset + 1
		applied = true
	}
	if start.After(r.readAt) {
		r.readAt = start
	}
	if applied {
		r.notify()
	}
	return r.next
}

// notify wakes those who wait for changes. The caller holds mu.
func (r *Replica) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Commit appends what build returns, under the condition that the partition has not grown since
// build saw the state. It calls build again after each failure, so build must derive its records
// from the state alone; no records means that there is nothing left to do. It returns the offset
// behind its records, or 0 if there were none to append. After an error other than *NotDoneError
// the records may still be appended later.
func (r *Replica) Commit(ctx context.Context, build func() []Record) (int64, error) {
	r.commitMu.Lock()
	defer r.commitMu.Unlock()
	uncertain := false
	for {
		end, err := r.tryCommit(ctx, build)
		if err == nil {
			return end, nil
		}
		var (
			conflict *ConflictError
			unknown  *UnknownError
		)
		pause := retryPause
		switch {
		case errors.As(err, &conflict):
			pause = conflictPause
		case errors.As(err, &unknown):
			uncertain = true
			pause = 0
		}
		if !timing.Sleep(ctx, pause) {
			if uncertain {
				return 0, &UnknownError{Call: "commit to " + r.partition.String(), Err: err}
			}
			return 0, &NotDoneError{Call: "commit to " + r.partition.String(), Err: err}
		}
		if err := r.Sync(ctx); err != nil && ctx.Err() == nil {
			timing.Sleep(ctx, retryPause)
		}
	}
}

// Put appends records wherever their partition ends, without reading it, and tries again until ctx
// ends or the outcome is unknown. The records may be appended late, so they must mean the same then.
// After an error other than *NotDoneError they may still be appended.
func Put(ctx context.Context, log Log, p Partition, records []Record) error {
	for {
		_, err := log.Append(ctx, p, records, Unconditional)
		var notDone *NotDoneError
		if err == nil || !errors.As(err, &notDone) {
			return err
		}
		if !timing.Sleep(ctx, retryPause) {
			return err
		}
	}
}

func (r *Replica) tryCommit(ctx context.Context, build func() []Record) (int64, error) {
	if err := r.ensureLoaded(ctx); err != nil {
		return 0, &NotDoneError{Call: "load of " + r.partition.String(), Err: err}
	}
	r.mu.Lock()
	asOf := r.next
	records := build()
	r.mu.Unlock()
	if len(records) == 0 {
		return 0, nil
	}
	start := time.Now()
	end, err := r.log.Append(ctx, r.partition, records, asOf)
	if err != nil {
		return 0, err
	}
	for i := range records {
		records[i].Offset = asOf + int64(i)
	}
	r.apply(records, start)
	return end, nil
}

func (r *Replica) ensureLoaded(ctx context.Context) error {
	r.mu.Lock()
	loaded := r.loaded
	r.mu.Unlock()
	if loaded {
		return nil
	}
	return r.Sync(ctx)
}
