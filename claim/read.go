package claim

import (
	"context"
	"errors"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// readToEnd reads and applies records until it reaches the end of the stream.
func (s *stream) readToEnd(ctx context.Context) error {
	for {
		next, err := s.readPage(ctx, 0)
		if err != nil {
			return err
		}
		if s.position() >= next {
			return nil
		}
	}
}

// readThrough reads and applies the records up to and including offset, which the log has
// confirmed.
func (s *stream) readThrough(ctx context.Context, offset int64) error {
	for s.position() <= offset {
		if _, err := s.readPage(ctx, readWait); err != nil {
			return err
		}
	}
	return nil
}

// position returns the offset of the next record to read.
func (s *stream) position() int64 {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return s.state.nextRead
}

// readPage reads and applies one page of records and returns the stream's next offset. Several
// goroutines may read at the same time; the first one to read a record applies it.
func (s *stream) readPage(ctx context.Context, wait time.Duration) (next int64, err error) {
	from := s.position()
	callCtx, cancel := context.WithTimeout(ctx, s.c.opts.LogTimeout+wait)
	defer cancel()
	page, err := s.c.plog.Read(callCtx, s.name, from, readPageSize, wait)
	if ctx.Err() == nil { // a cancelled read says nothing about the log
		s.c.recordLogResult(err)
	}
	if platform.CodeOf(err) == platform.Expired && err != nil {
		return s.skipExpired(callCtx, from, page.First)
	}
	if err != nil {
		return 0, err
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	for _, rec := range page.Records {
		switch {
		case rec.Offset < s.state.nextRead:
		case rec.Offset == s.state.nextRead:
			s.applyRecordLocked(rec)
		default:
			return 0, &platform.Error{Code: platform.BadAnswer, Op: "read " + s.name, Err: errOffsetGap}
		}
	}
	s.state.removeExpired()
	return page.Next, nil
}

// applyRecordLocked applies one record and decides the claims of this instance in it. A record
// that was read proves as much as the confirmation of its append, which may be lost.
func (s *stream) applyRecordLocked(rec platform.Record) {
	b := decode(rec.Data)
	s.state.applyRead(b, rec.Time)
	if b == nil || b.claimer() != s.c.self.Ref() {
		return
	}
	s.removeEndsLocked(b.Ends)
	for _, cl := range b.Claims {
		if r := s.c.runsBySeq[cl.Seq]; r != nil {
			s.decideLocked(r)
		} else if h := s.state.holderOf(cl.Key); h != nil && h.id == b.claimID(cl.Seq) {
			s.c.queueEndRecordLocked(cl.Key, cl.Seq, endReleased) // delayed append of an abandoned claim
		}
	}
}

// skipExpired moves to the first retained record. If the log does not state its offset,
// skipExpired reads at growing offsets, because a read at or after the first retained record
// states it.
func (s *stream) skipExpired(ctx context.Context, from, first int64) (int64, error) {
	for stride := int64(1); first <= from; stride *= 2 {
		page, err := s.c.plog.Read(ctx, s.name, from+stride, 1, 0)
		var pe *platform.Error
		if errors.As(err, &pe) && pe.Code == platform.Expired {
			first = page.First
			continue
		}
		if err != nil {
			return 0, err
		}
		first = max(page.First, from+1)
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	if s.state.nextRead < first {
		s.state.skipTo(first)
	}
	return first + 1, nil
}

// readBack removes expired runs. It reads the stream to its end if own records have no time
// yet or the last log operation failed.
func (s *stream) readBack() {
	s.c.removeExpiredRuns()
	s.c.mu.Lock()
	behind := s.loaded && s.state.nextRead < s.state.nextApply
	down := !s.c.logDownSince.IsZero()
	s.c.mu.Unlock()
	if behind || down {
		if err := s.readToEnd(s.c.ctx); err != nil {
			s.c.log.Debug("claim stream read failed", "stream", s.name, "err", err)
		}
	}
}
