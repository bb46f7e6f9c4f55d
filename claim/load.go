package claim

import (
	"context"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

const (
	// maxFullRead is the number of records up to which a stream is read from its first record.
	maxFullRead = 2 * readPageSize
	// tailRecords is how many records at the end are searched for the longest lifetime. One is
	// not enough, because the instance that wrote the last record may not have read those just
	// before it.
	tailRecords = 64
)

// load reads the retained records before any key in the stream is decided. It reads a long
// stream from the point before which no record can affect a decision.
func (s *stream) load() error {
	if err := s.skipHistory(s.c.ctx); err != nil {
		return err
	}
	if err := s.readToEnd(s.c.ctx); err != nil {
		return err
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	s.loaded = true
	return nil
}

// skipHistory moves an empty state of a long stream to the first record that may still affect
// a decision. A claim blocks later ones for one lifetime, and those hold the key for another
// one, so at least twice the longest lifetime is read.
func (s *stream) skipHistory(ctx context.Context) error {
	if s.position() > 0 {
		return nil // an earlier attempt has applied records
	}
	first, next, err := s.bounds(ctx)
	if err != nil || next-first <= maxFullRead {
		return err
	}
	page, err := s.peek(ctx, next-tailRecords, tailRecords)
	if err != nil {
		return err
	}
	maxLifetime := maxLifetimeOf(page.Records)
	if maxLifetime == 0 || len(page.Records) == 0 {
		return nil
	}
	cutoff := page.Records[len(page.Records)-1].Time.Add(-max(2*maxLifetime, releasedRetention) - lifetimeMargin)
	start, err := s.searchTime(ctx, first, next, cutoff)
	if err != nil {
		return err
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	if s.state.nextRead < start {
		s.state.skipTo(start)
	}
	return nil
}

// bounds returns the offset of the first retained record and the next offset.
func (s *stream) bounds(ctx context.Context) (first, next int64, err error) {
	page, err := s.peek(ctx, 0, 1)
	if err != nil && platform.CodeOf(err) == platform.Expired {
		if _, err = s.skipExpired(ctx, 0, page.First); err != nil {
			return 0, 0, err
		}
		page, err = s.peek(ctx, s.position(), 1)
	}
	return page.First, page.Next, err
}

// searchTime returns the first offset whose record is not older than cutoff.
func (s *stream) searchTime(ctx context.Context, first, next int64, cutoff time.Time) (int64, error) {
	for first < next {
		mid := first + (next-first)/2
		page, err := s.peek(ctx, mid, 1)
		if err != nil {
			return 0, err
		}
		if len(page.Records) == 0 || !page.Records[0].Time.Before(cutoff) {
			next = mid
		} else {
			first = mid + 1
		}
	}
	return first, nil
}

// peek reads records without applying them.
func (s *stream) peek(ctx context.Context, from int64, n int) (platform.Page, error) {
	callCtx, cancel := context.WithTimeout(ctx, s.c.opts.LogTimeout)
	defer cancel()
	page, err := s.c.plog.Read(callCtx, s.name, from, n, 0)
	if ctx.Err() == nil {
		s.c.recordLogResult(err)
	}
	return page, err
}

// maxLifetimeOf returns the longest claim lifetime that the records contain or state.
func maxLifetimeOf(records []platform.Record) (result time.Duration) {
	for _, rec := range records {
		if b := decode(rec.Data); b != nil {
			result = max(result, b.maxLifetime())
		}
	}
	return result
}
