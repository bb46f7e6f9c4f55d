package changelog

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/timing"
)

// Delays before another attempt of a failed call.
const (
	// retryDelay follows an error of the store.
	retryDelay = 60 * time.Millisecond
	// conflictRetryDelay follows a conflict. It lets the winner finish before the next attempt reads.
	conflictRetryDelay = 2 * time.Millisecond
)

// State is what a replica derives from the records of its partition. The replica never calls its methods
// concurrently.
type State interface {
	// Apply applies the next record. It must accept a record that was applied before.
	Apply(r Record)
	// Reset discards the state. The newest record of each key is applied next.
	Reset()
}

// LoadObserver is implemented by a State that needs to know when a load is complete. Loaded is called when the
// newest record of each key has been applied after a Reset.
type LoadObserver interface{ Loaded() }

// Reducer is implemented by a State that needs only a part of some records. While a partition is loaded, the replica keeps what Reduce
// returns until it is applied. The record must keep its key and its offset.
type Reducer interface{ Reduce(r Record) Record }

// IntegrityChecker is implemented by a State that can find that it lacks records. While Incomplete returns true after records have
// been applied, the replica loads the partition again.
type IntegrityChecker interface{ Incomplete() bool }

// AgeObserver is implemented by a State that needs to know for how long records may have been in the log before this instance read
// them. Aged is called before records are applied, with the time since the start of the last successful read or append before. It is
// not called for the first load.
type AgeObserver interface{ Aged(age time.Duration) }

// Replica is this instance's copy of the state of one partition.
type Replica struct {
	log       Log
	partition Partition
	state     State

	mu          sync.Mutex // guards state and the fields up to syncReaders
	next        int64      // offset of the next record to apply
	loaded      bool
	loading     *load          // the load that is under way; nil if there is none
	changed     chan struct{}  // closed when records are applied
	readAt      timing.Instant // start of the last successful read or append
	lastReadErr error          // of the last read; nil after a successful one
	rewound     bool           // a read has found an end before next; the records from there on may be others now
	syncNumber  uint64         // number of the last call of Sync
	syncCalls   []*syncCall    // the calls of Sync that wait
	syncReaders []*syncReader  // those that run

	commitTurn chan struct{} // holds a value while one of this instance's commits runs
}

// NewReplica returns a Replica that has read no records yet.
func NewReplica(log Log, p Partition, state State) *Replica {
	return &Replica{log: log, partition: p, state: state, changed: make(chan struct{}), commitTurn: make(chan struct{}, 1)}
}

// View calls f while the state cannot change. f must not call methods of the Replica.
func (r *Replica) View(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// Changed returns a channel that is closed after the next records have been applied.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Age returns the time since the start of the last successful read or append, or the largest duration before the
// first read. It counts the time for which the machine was suspended.
func (r *Replica) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return time.Duration(1<<63 - 1)
	}
	return r.readAt.Age()
}

// HasRead reports whether the replica has read the whole partition once.
func (r *Replica) HasRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// LastReadError returns the error of the last read, or nil if it succeeded.
func (r *Replica) LastReadError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastReadErr
}

// Follow keeps the replica current until ctx ends. wait returns how long the next read waits for records, and pause
// the pause after it. After a failed read the next one does not wait, since the copy has grown old. onRead is called with the outcome of each read, nil for a successful one.
func (r *Replica) Follow(ctx context.Context, wait, pause func() time.Duration, onRead func(error)) {
	failed := false
	for ctx.Err() == nil {
		readWait := time.Duration(0)
		if !failed {
			readWait = wait()
		}
		start, from := time.Now(), r.end()
		err := r.catchUp(ctx, readWait, nil)
		failed = err != nil
		didNotWait := r.end() == from && time.Since(start) < min(readWait, retryDelay)
		if ctx.Err() != nil {
			return
		}
		onRead(err)
		delay := pause()
		if failed || didNotWait {
			delay = max(delay, retryDelay)
		}
		if delay > 0 && !timing.Sleep(ctx, delay) {
			return
		}
	}
}

// end returns the offset after the last record that has been applied.
func (r *Replica) end() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

// ConstantWait returns a wait for Follow that is always d.
func ConstantWait(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// errNoProgress reports an answer without records although more records follow.
var errNoProgress = errors.New("the log returned no records although there are more")

// RewoundError reports a partition that ends before records that this instance has read. Its records say nothing about the present.
type RewoundError struct {
	Partition Partition
	// End is the partition's end, Read the offset up to which this instance has read it.
	End, Read int64
}

// Error implements error.
func (e *RewoundError) Error() string {
	return fmt.Sprintf("%v ends at %d although it has been read up to %d", e.Partition, e.End, e.Read)
}

// errIncomplete reports a state that loads do not complete.
var errIncomplete = errors.New("the state lacks records after a load")

// catchUp reads up to the end of the partition, on behalf of a reader unless that is nil. Only the first read waits for records, up
// to wait. It ends the calls of Sync that began before its last read.
func (r *Replica) catchUp(ctx context.Context, wait time.Duration, reader *syncReader) error {
	synced, err := r.readToEnd(ctx, wait, reader)
	r.mu.Lock()
	r.lastReadErr = err
	r.mu.Unlock()
	if err == nil {
		r.endSyncs(nil, func(c *syncCall) bool { return c.number <= synced })
	}
	return err
}

// readToEnd implements catchUp. It returns the number of the last call of Sync before its last read.
func (r *Replica) readToEnd(ctx context.Context, wait time.Duration, reader *syncReader) (synced uint64, err error) {
	for reloads := 0; ; {
		start := timing.NowInstant()
		r.mu.Lock()
		synced = r.beginCall(reader)
		from, mustLoad := r.next, !r.loaded || r.loading != nil
		r.mu.Unlock()
		if mustLoad {
			r.startLoad()
			if err := r.continueLoad(ctx, &reloads, reader); err != nil {
				return synced, err
			}
			continue
		}
		batch, err := r.log.Read(ctx, r.partition, from, wait)
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) && reloads < maxReloads {
			reloads++
			r.startLoad()
			continue
		}
		var silent *SilentConnectionError
		if errors.As(err, &silent) && wait > 0 && ctx.Err() == nil {
			wait = 0 // the copy is as old as the wait was long
			continue
		}
		if err != nil {
			return synced, err
		}
		if batch.End < from {
			r.setRewound()
			return synced, &RewoundError{Partition: r.partition, End: batch.End, Read: from}
		}
		if r.wasRewound() {
			if reloads++; reloads > maxReloads {
				return synced, errIncomplete
			}
			r.startLoad()
			continue
		}
		wait = 0
		next, complete := r.apply(batch.Records, batch.End, start)
		switch {
		case !complete: // a load follows
			if reloads++; reloads > maxReloads {
				return synced, errIncomplete
			}
		case next >= batch.End:
			return synced, nil
		case next <= from:
			return synced, errNoProgress
		}
	}
}

// setRewound records that the partition ends before what has been read of it. Once it has grown again, the copy has to be loaded: other
// records may have taken the offsets of those that were lost.
func (r *Replica) setRewound() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rewound = true
}

// wasRewound reports whether the partition was rewound since the copy was loaded.
func (r *Replica) wasRewound() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rewound
}

// apply applies those of the contiguous records that are new, from a call that began at start and found the end of the partition
// at end. It returns the offset of the next record, and false if the state has to be loaded again. The copy is as old as the call
// only if no record is missing.
func (r *Replica) apply(records []Record, end int64, start timing.Instant) (next int64, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	applied := false
	for _, record := range records {
		if record.Offset < r.next {
			continue
		}
		if !applied {
			r.observeAge()
		}
		r.applyToState(record)
		r.next = record.Offset + 1
		applied = true
	}
	if r.next >= end && start.Time.After(r.readAt.Time) {
		r.readAt = start
	}
	if applied {
		r.notify()
	}
	if checker, ok := r.state.(IntegrityChecker); ok && r.loading == nil && checker.Incomplete() {
		r.loading = r.newLoad()
	}
	return r.next, r.loading == nil
}

// applyToState applies a record unless it is a fence. The caller holds mu.
func (r *Replica) applyToState(record Record) {
	if record.Key != fenceKey {
		r.state.Apply(record)
	}
}

// observeAge tells the state how old it is before records are applied. The caller holds mu.
func (r *Replica) observeAge() {
	if observer, ok := r.state.(AgeObserver); ok && r.loaded {
		observer.Aged(r.readAt.Age())
	}
}

// notify closes the channel that Changed has returned. The caller holds mu.
func (r *Replica) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Commit appends the records that build returns, under the condition that the partition has not grown since
// build read the state. It calls build again after each failed attempt, so build must derive its records from
// the state alone and return none if nothing is left to do. Commit returns the offset after its records, or 0
// if build returned none; no earlier attempt can take effect then. After an error other than *NotDoneError the records
// may still be appended later. It does not retry after *RejectedError.
func (r *Replica) Commit(ctx context.Context, build func() []Record) (int64, error) {
	select {
	case r.commitTurn <- struct{}{}:
		defer func() { <-r.commitTurn }()
	case <-ctx.Done():
		return 0, &NotDoneError{Call: "commit to " + r.partition.String(), Err: ctx.Err()}
	}
	outcomeUnknown, openUntil := false, int64(-1)
	for failedAt := int64(-1); ; {
		end, expected, err := r.tryCommit(ctx, build, openUntil)
		if err == nil {
			return end, nil
		}
		var (
			conflict *ConflictError
			notDone  *NotDoneError
		)
		delay := retryDelay
		switch {
		case isRejected(err):
			return 0, commitError(r.partition, outcomeUnknown, err)
		case errors.As(err, &conflict):
			delay = conflictRetryDelay
		case !errors.As(err, &notDone):
			outcomeUnknown, openUntil = true, max(openUntil, expected)
			delay = 0
		}
		if at := r.end(); at == failedAt { // the attempt before failed on the same state
			delay = retryDelay
		} else {
			failedAt = at
		}
		if !timing.Sleep(ctx, delay) {
			return 0, commitError(r.partition, outcomeUnknown, err)
		}
		if err := r.Sync(ctx); err != nil && ctx.Err() == nil {
			timing.Sleep(ctx, retryDelay)
		}
	}
}

// commitError returns the error of a commit whose last attempt failed with err.
func commitError(p Partition, outcomeUnknown bool, err error) error {
	if outcomeUnknown {
		return &UnknownError{Call: "commit to " + p.String(), Err: err}
	}
	return &NotDoneError{Call: "commit to " + p.String(), Err: err}
}

// isRejected reports whether an append failed for good.
func isRejected(err error) bool {
	var rejected *RejectedError
	return errors.As(err, &rejected)
}

// AppendWithRetry appends records unconditionally, without reading the partition. It retries until ctx ends or
// the outcome is unknown. The records may be appended late, so their meaning must not depend on when that
// happens. After an error other than *NotDoneError they may still be appended. If the store rejects them, AppendWithRetry appends
// the records apart, and fails with the *RejectedError of one that it rejects by itself.
func AppendWithRetry(ctx context.Context, log Log, p Partition, records []Record) error {
	for {
		_, err := log.Append(ctx, p, records, Unconditional)
		if isRejected(err) && len(records) > 1 {
			half := len(records) / 2
			first, second := AppendWithRetry(ctx, log, p, records[:half]), AppendWithRetry(ctx, log, p, records[half:])
			if first == nil || (isRejected(first) && second != nil) {
				return second
			}
			return first
		}
		var notDone *NotDoneError
		if err == nil || isRejected(err) || !errors.As(err, &notDone) {
			return err
		}
		if !timing.Sleep(ctx, retryDelay) {
			return err
		}
	}
}

// fenceKey is the key of the records that keep an append of unknown outcome from taking effect. They have no value, and replicas
// do not pass them to their states.
const fenceKey = "commit-fence"

// tryCommit makes one attempt of Commit and applies the appended records to the state. It returns the end of the partition that it
// expected. openUntil is the highest such end of an earlier attempt whose outcome is unknown, or -1: that attempt can take effect
// as long as the partition has not grown beyond. If nothing is left to do, tryCommit therefore makes the partition grow.
func (r *Replica) tryCommit(ctx context.Context, build func() []Record, openUntil int64) (end, expected int64, err error) {
	if err := r.ensureLoaded(ctx); err != nil {
		return 0, 0, &NotDoneError{Call: "load of " + r.partition.String(), Err: err}
	}
	r.mu.Lock()
	if r.loading != nil { // the state is to be replaced
		r.mu.Unlock()
		return 0, 0, &NotDoneError{Call: "append to " + r.partition.String(), Err: errLoading}
	}
	expected = r.next
	records := build()
	r.mu.Unlock()
	nothingToDo := len(records) == 0
	if nothingToDo {
		if openUntil < expected {
			return 0, expected, nil
		}
		records = []Record{{Key: fenceKey}}
	}
	start := timing.NowInstant()
	end, err = r.log.Append(ctx, r.partition, records, expected)
	if err != nil {
		return 0, expected, err
	}
	for i := range records {
		records[i].Offset = expected + int64(i)
	}
	r.apply(records, end, start)
	if nothingToDo {
		return 0, expected, nil
	}
	return end, expected, nil
}

// errLoading reports a commit during a load.
var errLoading = errors.New("the partition is being loaded")

// ensureLoaded reads the partition unless the replica has read it before and is not to load it again.
func (r *Replica) ensureLoaded(ctx context.Context) error {
	r.mu.Lock()
	loaded := r.loaded && r.loading == nil
	r.mu.Unlock()
	if loaded {
		return nil
	}
	return r.Sync(ctx)
}
