package feed

import (
	"context"
	"fmt"
	"time"

	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/membership"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/timing"
)

// readLog reads a page of a stream, bounded by wait and LogTimeout.
func (f *Follower) readLog(ctx context.Context, stream string, from int64, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.opts.LogTimeout)
	defer cancel()
	f.metrics.logReads.Inc()
	page, err := f.log.Read(ctx, stream, from, maxReadRecords, wait)
	// An answer that the offset has expired shows that the log is reachable.
	f.recordLogContact(err == nil || platform.CodeOf(err) == platform.Expired)
	for i := range page.Records {
		f.metrics.countBytes(viaLog, directionReceived, len(page.Records[i].Data))
	}
	return page, err
}

// recordLogContact records the time of a successful or failed contact with the log.
func (f *Follower) recordLogContact(ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ok {
		f.lastLogSuccess = time.Now()
		return
	}
	f.metrics.logErrors.Inc()
	f.lastLogFailure = time.Now()
}

// poll reads the log once from the next offset and applies the records. It first compares the state
// with the log if an audit is due, and rebuilds the state if the next record has expired.
func (f *Follower) poll(ctx context.Context, wait time.Duration) (platform.Page, error) {
	if f.beginAuditIfDue() {
		if err := f.rebuild(ctx); err != nil {
			f.opts.Logger.Warn("audit of the state against the log failed", "err", err)
		}
	}
	from := f.State().Offset
	page, err := f.readLog(ctx, control.Stream, from, wait)
	if platform.CodeOf(err) == platform.Expired && err != nil {
		f.opts.Logger.Warn("next record has expired in the log", "offset", from)
		return page, f.rebuild(ctx)
	}
	if err != nil {
		return page, err
	}
	if err := f.checkLogBounds(page); err != nil {
		return page, err
	}
	_, err = f.apply(fromLog(page.Records), false)
	return page, err
}

// checkLogBounds stores the bounds of the log and returns an error if the log ends before the local
// state.
func (f *Follower) checkLogBounds(page platform.Page) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logFirst = page.First
	f.logNext = max(f.logNext, page.Next)
	f.metrics.lag.Set(float64(f.logNext - f.state.Offset))
	if page.Next < f.state.Offset && len(page.Records) == 0 {
		return &Error{Code: LogBehind, Err: fmt.Errorf("log ends at offset %d, local state at %d", page.Next, f.state.Offset)}
	}
	return nil
}

// fromLog wraps records of the log, which carry no chain hash.
func fromLog(records []platform.Record) []chainedRecord {
	out := make([]chainedRecord, len(records))
	for i, r := range records {
		out[i] = chainedRecord{Record: r}
	}
	return out
}

// readThrough reads the log until the record at offset has been applied.
func (f *Follower) readThrough(ctx context.Context, offset int64) error {
	for {
		next := f.State().Offset
		if next > offset {
			return nil
		}
		if _, err := f.poll(ctx, 0); err != nil {
			return err
		}
		if f.State().Offset == next {
			return &Error{Code: LogBehind, Err: fmt.Errorf("log ends before record %d", offset)}
		}
	}
}

// Sync applies every record that is in the log at the time of the call.
func (f *Follower) Sync(ctx context.Context) error {
	page, err := f.poll(ctx, 0)
	if err != nil {
		return err
	}
	return f.readThrough(ctx, page.Next-1)
}

// tail follows the log until ctx is done. The reader reads by long polls; other instances read only
// when no push has arrived from the reader for the stall timeout.
func (f *Follower) tail(ctx context.Context) {
	failures := 0
	f.resetStallDeadline()
	for ctx.Err() == nil {
		isReader := f.isReader()
		if !isReader && !f.stalled() {
			timing.Sleep(ctx, min(readerCheckInterval, f.opts.StallTimeout/4))
			continue
		}
		wait := f.opts.PollWait
		if !isReader {
			wait = 0
			f.resetStallDeadline()
		}
		_, err := f.poll(ctx, wait)
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() == nil {
			f.opts.Logger.Debug("reading the log failed", "err", err)
			timing.Sleep(ctx, jittered(f.retryDelay(failures)))
			failures++
		}
	}
}

// retryDelay returns the exponential backoff after a number of failures.
func (f *Follower) retryDelay(failures int) time.Duration {
	return min(f.opts.RetryDelay<<min(failures, 8), maxRetryDelay)
}

// stalled reports whether the stall deadline has passed without a push from the reader.
func (f *Follower) stalled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().After(f.stallDeadline)
}

// resetStallDeadline postpones this instance's own read of the log.
func (f *Follower) resetStallDeadline() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stallDeadline = time.Now().Add(jittered(f.opts.StallTimeout))
}

// isReader reports whether this instance is the reader of its data centre. An instance without
// peers is.
func (f *Follower) isReader() bool {
	if f.opts.Peers == nil || f.opts.View == nil {
		return true
	}
	return f.reader().Ref() == f.self.Ref()
}

// zoneMembers returns the live instances of this instance's data centre, including itself.
func (f *Follower) zoneMembers() []member {
	var members []member
	for _, i := range f.opts.View.Live() {
		if i.Zone == f.self.Zone {
			members = append(members, i)
		}
	}
	return members
}

// reader returns the instance that tails the log for this data centre.
func (f *Follower) reader() member {
	return membership.Owner("feed/reader/"+f.self.Zone.String(), f.zoneMembers())
}
