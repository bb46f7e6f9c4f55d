package changelog

import (
	"context"
	"slices"
	"time"
)

const (
	// joinLimit is how long a call to the log may have taken for calls of Sync to wait for it. After that they make one of their
	// own.
	joinLimit = 500 * time.Millisecond
	// maxSyncReaders bounds the calls to the log that all calls of Sync make at the same time.
	maxSyncReaders = 2
)

// syncCall is a call of Sync.
type syncCall struct {
	number uint64 // in the order of the calls
	reader *syncReader
	done   chan error
}

// syncReader reads on behalf of calls of Sync.
type syncReader struct {
	callBegan time.Time // when the call to the log began that is under way; the replica's mu guards it
}

// Sync waits until the replica has applied every record that was appended before the call.
func (r *Replica) Sync(ctx context.Context) error {
	call := &syncCall{done: make(chan error, 1)}
	r.mu.Lock()
	r.syncNumber++
	call.number, call.reader = r.syncNumber, r.selectSyncReader()
	r.syncCalls = append(r.syncCalls, call)
	r.mu.Unlock()
	ticker := time.NewTicker(joinLimit)
	defer ticker.Stop()
	for {
		select {
		case err := <-call.done:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C: // the call to the log that it waits for may have turned out to be stuck
			r.mu.Lock()
			call.reader = r.selectSyncReader()
			r.mu.Unlock()
		}
	}
}

// selectSyncReader returns the reader whose call to the log is the youngest. It starts another one if that call may be stuck. The
// caller holds mu.
func (r *Replica) selectSyncReader() *syncReader {
	var youngest *syncReader
	for _, reader := range r.syncReaders {
		if youngest == nil || reader.callBegan.After(youngest.callBegan) {
			youngest = reader
		}
	}
	if youngest != nil && (time.Since(youngest.callBegan) <= joinLimit || len(r.syncReaders) >= maxSyncReaders) {
		return youngest
	}
	reader := &syncReader{callBegan: time.Now()}
	r.syncReaders = append(r.syncReaders, reader)
	go r.serveSyncs(reader)
	return reader
}

// serveSyncs reads until no call of Sync waits for this reader. Each run of reads serves the calls that began before its last
// read; if it fails, it fails those that began before it.
func (r *Replica) serveSyncs(reader *syncReader) {
	isWaiting := func(c *syncCall) bool { return c.reader == reader }
	for {
		r.mu.Lock()
		if !slices.ContainsFunc(r.syncCalls, isWaiting) {
			r.syncReaders = slices.DeleteFunc(r.syncReaders, func(other *syncReader) bool { return other == reader })
			r.mu.Unlock()
			return
		}
		last := r.syncNumber
		r.mu.Unlock()
		if err := r.catchUp(context.Background(), 0, reader); err != nil {
			r.endSyncs(err, func(c *syncCall) bool { return c.reader == reader && c.number <= last })
		}
	}
}

// endSyncs ends those calls of Sync that match.
func (r *Replica) endSyncs(err error, match func(*syncCall) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.syncCalls = slices.DeleteFunc(r.syncCalls, func(c *syncCall) bool {
		if !match(c) {
			return false
		}
		c.done <- err
		return true
	})
}

// beginCall records that a call to the log begins, on behalf of a reader unless that is nil. It returns the number of the last
// call of Sync before it. The caller holds mu.
func (r *Replica) beginCall(reader *syncReader) uint64 {
	if reader != nil {
		reader.callBegan = time.Now()
	}
	return r.syncNumber
}
