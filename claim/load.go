package claim

import (
	"context"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

const (
	// wholeLoad is the number of records up to which a stream is read from its first record.
	wholeLoad = 2 * readPage
	// lastRecords is how many records at the end are searched for the longest lifetime. More than
	// one, since the instance that wrote the last one may not have read those just before it.
	lastRecords = 64
)

// load reads the retained stream before any key in it is decided. A long stream is read from
// the point before which no record can matter any more.
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

// skipHistory moves an empty fold of a long stream to the first record that may still matter:
// a claim blocks later ones for one lifetime, and those would hold the key for another one.
func (s *stream) skipHistory(ctx context.Context) error {
	if s.position() > 0 {
		return nil // an earlier attempt has begun to fold
	}
	first, next, err := s.bounds(ctx)
	if err != nil || next-first <= wholeLoad {
		return err
	}
	page, err := s.peek(ctx, next-lastRecords, lastRecords)
	if err != nil {
		return err
	}
	longest := longestLifetime(page.Records)
	if longest == 0 || len(page.Records) == 0 {
		return nil
	}
	horizon := page.Records[len(page.Records)-1].Time.Add(-max(2*longest, releasedFor) - slack)
	start, err := s.search(ctx, first, next, horizon)
	if err != nil {
		return err
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	if s.fold.timed < start {
		s.fold.jump(start)
	}
	return nil
}

// bounds returns the first retained and the next offset.
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

// search returns the first offset whose record is not older than horizon.
func (s *stream) search(ctx context.Context, first, next int64, horizon time.Time) (int64, error) {
	for first < next {
		mid := first + (next-first)/2
		page, err := s.peek(ctx, mid, 1)
		if err != nil {
			return 0, err
		}
		if len(page.Records) == 0 || !page.Records[0].Time.Before(horizon) {
			next = mid
		} else {
			first = mid + 1
		}
	}
	return first, nil
}

// peek reads records without folding them.
func (s *stream) peek(ctx context.Context, from int64, n int) (platform.Page, error) {
	callCtx, cancel := context.WithTimeout(ctx, s.c.opts.LogTimeout)
	defer cancel()
	page, err := s.c.plog.Read(callCtx, s.name, from, n, 0)
	if ctx.Err() == nil {
		s.c.noteLog(err)
	}
	return page, err
}

func longestLifetime(records []platform.Record) (longest time.Duration) {
	for _, rec := range records {
		if b := decode(rec.Data); b != nil {
			longest = max(longest, b.longest())
		}
	}
	return longest
}
