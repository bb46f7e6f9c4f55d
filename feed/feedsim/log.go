// Package feedsim runs many feeds in one process over an in-memory log, for tests and benchmarks.
// Calls between instances are plain function calls; network delays and losses are not simulated.
package feedsim

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// stream holds the retained records of one stream.
type stream struct {
	first   int64
	records []platform.Record
}

// Log is an in-memory log. Like the HTTP client of the log, it does not return the bounds of a
// stream with the error for an expired offset.
type Log struct {
	mu             sync.Mutex
	streams        map[string]*stream
	appended       chan struct{}
	down           bool
	appendOutcomes []AppendOutcome
}

// AppendOutcome is the scripted outcome of one append: whether the record is stored, and the code
// of the returned error or "".
type AppendOutcome struct {
	Stored bool
	Err    platform.Code
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{streams: map[string]*stream{}, appended: make(chan struct{})} }

// SetDown starts or ends an outage of the log.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// SetAppendOutcomes sets the outcomes of the next appends, in order. Later appends succeed.
func (l *Log) SetAppendOutcomes(outcomes ...AppendOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendOutcomes = outcomes
}

// Expire drops the records of a stream below an offset.
func (l *Log) Expire(name string, below int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.records = s.records[below-s.first:]
	s.first = below
}

// Next returns the next offset of a stream.
func (l *Log) Next(name string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).next()
}

// stream returns a stream, which it creates if it does not exist.
func (l *Log) stream(name string) *stream {
	if l.streams[name] == nil {
		l.streams[name] = &stream{}
	}
	return l.streams[name]
}

func (s *stream) next() int64 { return s.first + int64(len(s.records)) }

// Append implements platform.Log.
func (l *Log) Append(_ context.Context, name string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, &platform.Error{Code: platform.Unavailable, Op: "append"}
	}
	outcome := AppendOutcome{Stored: true}
	if len(l.appendOutcomes) > 0 {
		outcome, l.appendOutcomes = l.appendOutcomes[0], l.appendOutcomes[1:]
	}
	s := l.stream(name)
	offset := s.next()
	if outcome.Stored {
		s.records = append(s.records, platform.Record{Offset: offset, Time: time.Now(), Data: data})
		close(l.appended)
		l.appended = make(chan struct{})
	}
	if outcome.Err != "" {
		return 0, &platform.Error{Code: outcome.Err, Op: "append"}
	}
	return offset, nil
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		page, appended, down := l.page(name, from, limit)
		switch {
		case down:
			return platform.Page{}, &platform.Error{Code: platform.Unavailable, Op: "read"}
		case from < page.First:
			return platform.Page{}, &platform.Error{Code: platform.Expired, Op: "read"}
		case len(page.Records) > 0 || ctx.Err() != nil:
			return page, nil
		}
		select {
		case <-ctx.Done():
		case <-appended:
		}
	}
}

// page returns the records from an offset on, a channel that is closed at the next append, and
// whether the log is down.
func (l *Log) page(name string, from int64, limit int) (page platform.Page, appended <-chan struct{}, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	page = platform.Page{First: s.first, Next: s.next()}
	if from >= s.first && from < page.Next {
		rest := s.records[from-s.first:]
		page.Records = slices.Clone(rest[:min(limit, len(rest))])
	}
	return page, l.appended, l.down
}

// Access is one instance's access to a log. It counts the reads and can block them.
type Access struct {
	*Log
	reads    atomic.Int64
	readsCut atomic.Bool
}

// Reads returns the number of reads so far.
func (a *Access) Reads() int64 { return a.reads.Load() }

// SetReadsCut makes all further reads of this instance fail, or ends that. Appends still succeed.
func (a *Access) SetReadsCut(cut bool) { a.readsCut.Store(cut) }

// Read implements platform.Log.
func (a *Access) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (platform.Page, error) {
	a.reads.Add(1)
	if a.readsCut.Load() {
		return platform.Page{}, &platform.Error{Code: platform.NotSent, Op: "read"}
	}
	return a.Log.Read(ctx, name, from, limit, wait)
}
