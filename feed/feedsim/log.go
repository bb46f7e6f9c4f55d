// Package feedsim runs many feeds in one process over an in-memory log, for tests and
// measurements. Calls between instances are function calls; nothing imitates a network.
package feedsim

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

type stream struct {
	first   int64
	records []platform.Record
}

// Log is an in-memory log. Like the HTTP client, it does not tell the bounds of a stream with
// the error for an expired offset.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	grown   chan struct{}
	down    bool
	fates   []Fate
}

// Fate is what happens to one append: whether it is stored and which error, if any, it returns.
type Fate struct {
	Stored bool
	Err    platform.Code
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{streams: map[string]*stream{}, grown: make(chan struct{})} }

// SetDown starts or ends an outage.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// SetFates decides about the next appends in turn.
func (l *Log) SetFates(fates ...Fate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fates = fates
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
	fate := Fate{Stored: true}
	if len(l.fates) > 0 {
		fate, l.fates = l.fates[0], l.fates[1:]
	}
	s := l.stream(name)
	offset := s.next()
	if fate.Stored {
		s.records = append(s.records, platform.Record{Offset: offset, Time: time.Now(), Data: data})
		close(l.grown)
		l.grown = make(chan struct{})
	}
	if fate.Err != "" {
		return 0, &platform.Error{Code: fate.Err, Op: "append"}
	}
	return offset, nil
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		page, grown, down := l.page(name, from, limit)
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
		case <-grown:
		}
	}
}

func (l *Log) page(name string, from int64, limit int) (page platform.Page, grown <-chan struct{}, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	page = platform.Page{First: s.first, Next: s.next()}
	if from >= s.first && from < page.Next {
		rest := s.records[from-s.first:]
		page.Records = slices.Clone(rest[:min(limit, len(rest))])
	}
	return page, l.grown, l.down
}

// Access is one instance's access to a log. It counts the reads and can be cut.
type Access struct {
	*Log
	reads atomic.Int64
	cut   atomic.Bool
}

// Reads returns the number of reads so far.
func (a *Access) Reads() int64 { return a.reads.Load() }

// SetCut cuts the instance off from reading the log, or ends that.
func (a *Access) SetCut(cut bool) { a.cut.Store(cut) }

// Read implements platform.Log.
func (a *Access) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (platform.Page, error) {
	a.reads.Add(1)
	if a.cut.Load() {
		return platform.Page{}, &platform.Error{Code: platform.NotSent, Op: "read"}
	}
	return a.Log.Read(ctx, name, from, limit, wait)
}
