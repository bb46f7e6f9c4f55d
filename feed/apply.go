package feed

import (
	"errors"
	"fmt"

	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// chainedRecord is a record with the chain hash after it.
type chainedRecord struct {
	platform.Record
	chain uint64
}

// recordBuffer holds the most recently applied records in order. Peers that are behind pull them.
type recordBuffer struct {
	records []chainedRecord
	// chainBefore is the chain hash before the first record.
	chainBefore uint64
	bytes       int
}

// add appends a record and drops the oldest records that exceed maxBufferedRecords or
// maxBufferedBytes.
func (r *recordBuffer) add(rec chainedRecord, chainBefore uint64) {
	if len(r.records) == 0 {
		r.chainBefore = chainBefore
	}
	r.records = append(r.records, rec)
	r.bytes += len(rec.Data)
	dropped := 0
	for len(r.records)-dropped > maxBufferedRecords || (r.bytes > maxBufferedBytes && len(r.records)-dropped > 1) {
		r.chainBefore = r.records[dropped].chain
		r.bytes -= len(r.records[dropped].Data)
		dropped++
	}
	if dropped > 0 {
		r.records = append([]chainedRecord(nil), r.records[dropped:]...)
	}
}

// from returns the records from an offset on and the chain hash before them. It returns false if
// the buffer does not hold all of them.
func (r *recordBuffer) from(offset int64) ([]chainedRecord, uint64, bool) {
	if len(r.records) == 0 || offset < r.records[0].Offset {
		return nil, 0, false
	}
	i := int(offset - r.records[0].Offset)
	if i > len(r.records) {
		return nil, 0, false
	}
	if i == 0 {
		return r.records, r.chainBefore, true
	}
	return r.records[i:], r.records[i-1].chain, true
}

// truncateToMessage returns the leading records that fit into one message, at least one.
func truncateToMessage(records []chainedRecord) []chainedRecord {
	size := 0
	for i := range records {
		size += len(records[i].Data)
		if i > 0 && (i >= maxReadRecords || size > maxMessageBytes) {
			return records[:i]
		}
	}
	return records
}

// apply applies records and returns how many it applied. It skips records that have been applied
// before. Records from the log are authoritative; for records from a peer, verify is set and their
// chain hashes must match.
func (f *Follower) apply(records []chainedRecord, verify bool) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.booted {
		return 0, &Error{Code: NotReady}
	}
	applied := 0
	for _, rec := range records {
		switch {
		case rec.Offset < f.state.Offset:
			continue
		case rec.Offset > f.state.Offset:
			f.notifyChangedLocked(applied)
			return applied, &Error{Code: Gap, Err: fmt.Errorf("received record %d, next offset is %d", rec.Offset, f.state.Offset)}
		}
		chain := control.NextChain(f.state.Chain, rec.Offset, rec.Data)
		if verify && chain != rec.chain {
			f.requestAuditLocked()
			f.notifyChangedLocked(applied)
			return applied, &Error{Code: ChainMismatch, Err: fmt.Errorf("at record %d", rec.Offset)}
		}
		next, err := f.state.ApplyRecord(rec.Record)
		f.countSkipped(rec.Offset, err)
		f.recent.add(chainedRecord{rec.Record, chain}, f.state.Chain)
		f.state = next
		applied++
	}
	f.notifyChangedLocked(applied)
	return applied, nil
}

// countSkipped counts a record that had no effect on the state.
func (f *Follower) countSkipped(offset int64, err error) {
	var skip *control.SkipError
	if errors.As(err, &skip) {
		f.metrics.skipped.WithLabelValues(string(skip.Reason)).Inc()
		f.opts.Logger.Debug("control record had no effect", "offset", offset, "reason", skip.Reason)
	}
}

// notifyChangedLocked updates the metrics and notifies the waiters on Changed and pushLoop if
// records were applied.
func (f *Follower) notifyChangedLocked(applied int) {
	if applied == 0 {
		return
	}
	f.logNext = max(f.logNext, f.state.Offset)
	f.metrics.appliedOffset.Set(float64(f.state.Offset))
	f.metrics.lag.Set(float64(f.logNext - f.state.Offset))
	close(f.changed)
	f.changed = make(chan struct{})
	wake(f.wakePush)
}

// adopt replaces the state by one that was built from the log or received from a peer. It returns
// false and keeps the current state if the new one has a lower offset.
func (f *Follower) adopt(s *control.State, records recordBuffer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.booted && s.Offset < f.state.Offset {
		return false
	}
	f.state, f.recent = s, records
	if !f.booted {
		f.booted, f.waitingFor = true, ""
		close(f.ready)
	}
	f.notifyChangedLocked(1)
	return true
}

// requestAuditLocked records a chain mismatch and requests a comparison of the state with the log.
func (f *Follower) requestAuditLocked() {
	f.metrics.mismatches.Inc()
	if !f.auditPending {
		f.opts.Logger.Warn("chain hash mismatch with a peer", "offset", f.state.Offset)
	}
	f.auditPending = true
}
