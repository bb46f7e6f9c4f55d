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

// read is one bounded read of the log.
func (f *Follower) read(ctx context.Context, stream string, from int64, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.opts.LogTimeout)
	defer cancel()
	f.metrics.logReads.Inc()
	page, err := f.log.Read(ctx, stream, from, readMax, wait)
	// A log that says that an offset has expired has answered.
	f.noteContact(err == nil || platform.CodeOf(err) == platform.Expired)
	for i := range page.Records {
		f.metrics.count(viaLog, directionIn, len(page.Records[i].Data))
	}
	return page, err
}

// noteContact records whether the log could be reached.
func (f *Follower) noteContact(ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ok {
		f.contact = time.Now()
		return
	}
	f.metrics.logErrors.Inc()
	f.failure = time.Now()
}

// poll reads the log once from the current offset and applies what it gets.
func (f *Follower) poll(ctx context.Context, wait time.Duration) (platform.Page, error) {
	if f.auditDue() {
		if err := f.rebuild(ctx); err != nil {
			f.opts.Logger.Warn("state not compared with the log", "err", err)
		}
	}
	from := f.State().Offset
	page, err := f.read(ctx, control.Stream, from, wait)
	if platform.CodeOf(err) == platform.Expired && err != nil {
		f.opts.Logger.Warn("the next record has expired in the log", "offset", from)
		return page, f.rebuild(ctx)
	}
	if err != nil {
		return page, err
	}
	if err := f.noteHead(page); err != nil {
		return page, err
	}
	_, err = f.apply(fromLog(page.Records), false)
	return page, err
}

// noteHead keeps the bounds of the log and refuses a log that ends before the local state.
func (f *Follower) noteHead(page platform.Page) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.first = page.First
	f.head = max(f.head, page.Next)
	f.metrics.lag.Set(float64(f.head - f.state.Offset))
	if page.Next < f.state.Offset && len(page.Records) == 0 {
		return &Error{Code: LogBehind, Err: fmt.Errorf("it ends at %d, applied up to %d", page.Next, f.state.Offset)}
	}
	return nil
}

func fromLog(records []platform.Record) []chained {
	out := make([]chained, len(records))
	for i, r := range records {
		out[i] = chained{Record: r}
	}
	return out
}

// readThrough reads the log until the record at offset is applied.
func (f *Follower) readThrough(ctx context.Context, offset int64) error {
	for {
		before := f.State().Offset
		if before > offset {
			return nil
		}
		if _, err := f.poll(ctx, 0); err != nil {
			return err
		}
		if f.State().Offset == before {
			return &Error{Code: LogBehind, Err: fmt.Errorf("it ends before record %d", offset)}
		}
	}
}

// Sync applies every record that is in the log when it is called.
func (f *Follower) Sync(ctx context.Context) error {
	page, err := f.poll(ctx, 0)
	if err != nil {
		return err
	}
	return f.readThrough(ctx, page.Next-1)
}

// tail follows the log: as the reader by long polls, otherwise when the reader is not heard of.
func (f *Follower) tail(ctx context.Context) {
	failures := 0
	f.noteProgress()
	for ctx.Err() == nil {
		reader := f.isReader()
		if !reader && !f.stalled() {
			timing.Sleep(ctx, min(roleCheck, f.opts.StallAfter/4))
			continue
		}
		wait := f.opts.PollWait
		if !reader {
			wait = 0
			f.noteProgress()
		}
		_, err := f.poll(ctx, wait)
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() == nil {
			f.opts.Logger.Debug("the log was not read", "err", err)
			timing.Sleep(ctx, jittered(f.retryDelay(failures)))
			failures++
		}
	}
}

func (f *Follower) retryDelay(failures int) time.Duration {
	return min(f.opts.RetryDelay<<min(failures, 8), maxRetryDelay)
}

// stalled reports whether the reader has not been heard of for so long that this instance
// reads the log itself.
func (f *Follower) stalled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().After(f.ownRead)
}

// noteProgress puts off this instance's own read of the log.
func (f *Follower) noteProgress() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ownRead = time.Now().Add(jittered(f.opts.StallAfter))
}

// isReader reports whether this instance tails the log for its data centre.
func (f *Follower) isReader() bool {
	if f.opts.Peers == nil || f.opts.View == nil {
		return true
	}
	return f.reader().Ref() == f.self.Ref()
}

// zoneMembers returns the live members of this instance's data centre.
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
