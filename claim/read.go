package claim

import (
	"context"
	"errors"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// readToEnd folds all records that the stream holds now.
func (s *stream) readToEnd(ctx context.Context) error {
	for {
		next, err := s.readOnce(ctx, 0)
		if err != nil {
			return err
		}
		if s.position() >= next {
			return nil
		}
	}
}

// readThrough folds the records up to and including offset, which the log has confirmed.
func (s *stream) readThrough(ctx context.Context, offset int64) error {
	for s.position() <= offset {
		if _, err := s.readOnce(ctx, readWait); err != nil {
			return err
		}
	}
	return nil
}

func (s *stream) position() int64 {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return s.fold.timed
}

// readOnce folds one page and returns the stream's next offset. Several goroutines may read at
// once; each record is folded by the first of them.
func (s *stream) readOnce(ctx context.Context, wait time.Duration) (next int64, err error) {
	from := s.position()
	callCtx, cancel := context.WithTimeout(ctx, s.c.opts.LogTimeout+wait)
	defer cancel()
	page, err := s.c.plog.Read(callCtx, s.name, from, readPage, wait)
	if ctx.Err() == nil { // a caller that left says nothing about the log
		s.c.noteLog(err)
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
		case rec.Offset < s.fold.timed:
		case rec.Offset == s.fold.timed:
			s.foldLocked(rec)
		default:
			return 0, &platform.Error{Code: platform.BadAnswer, Op: "read " + s.name, Err: errGap}
		}
	}
	s.fold.sweep()
	return page.Next, nil
}

// foldLocked folds one record and gives the own claims in it their verdict: the record proves as
// much as an append's confirmation, which may be lost.
func (s *stream) foldLocked(rec platform.Record) {
	b := decode(rec.Data)
	s.fold.applyRead(b, rec.Time)
	if b == nil || b.claimer() != s.c.self.Ref() {
		return
	}
	s.dropEndsLocked(b.Ends)
	for _, cl := range b.Claims {
		if r := s.c.bySeq[cl.Seq]; r != nil {
			s.decideLocked(r)
		} else if h := s.fold.current(cl.Key); h != nil && h.id == b.id(cl.Seq) {
			s.c.queueEndOfLocked(cl.Key, cl.Seq, endReleased) // a late append of a claim given up
		}
	}
}

// skipExpired moves to the first retained record. A log that does not name it is asked at
// growing offsets, since a read at or behind the first retained one names it.
func (s *stream) skipExpired(ctx context.Context, from, first int64) (int64, error) {
	for step := int64(1); first <= from; step *= 2 {
		page, err := s.c.plog.Read(ctx, s.name, from+step, 1, 0)
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
	if s.fold.timed < first {
		s.fold.jump(first)
	}
	return first + 1, nil
}

// trail reads the times of own records and drops what has expired.
func (s *stream) trail() {
	s.c.sweepRuns()
	s.c.mu.Lock()
	behind := s.loaded && s.fold.timed < s.fold.next
	down := !s.c.downSince.IsZero()
	s.c.mu.Unlock()
	if behind || down {
		if err := s.readToEnd(s.c.ctx); err != nil {
			s.c.log.Debug("claim stream not read", "stream", s.name, "err", err)
		}
	}
}
