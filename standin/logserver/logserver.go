// Package logserver is a stand-in for the platform's append-only log, with retention, an append
// rate limit and long polls.
package logserver

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"

	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin/serve"
)

// Defaults of Options.
const (
	DefaultRetainCount   = 100_000
	DefaultRetainFor     = time.Hour
	DefaultAppendsPerS   = 400
	DefaultAppendLatency = 2 * time.Millisecond
	// maxWait bounds the duration of a long poll.
	maxWait = 30 * time.Second
)

// Options configures the log.
type Options struct {
	Addr string
	// RetainCount and RetainFor bound the number and the age of the retained records of a stream.
	RetainCount   int
	RetainFor     time.Duration
	AppendsPerS   float64
	AppendLatency time.Duration
}

// Server is the server of the log. Its records survive Crash and Restart.
type Server struct {
	*serve.Server
	opts    Options
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream

	outage        atomic.Bool
	answersToLose atomic.Int64 // appends whose answer is still to be dropped
	extraLatency  atomic.Int64 // nanoseconds added to each request
	appends       atomic.Int64
	reads         atomic.Int64
}

// stream is the retained part of one stream.
type stream struct {
	first    int64 // lowest retained offset
	records  []platform.Record
	appended chan struct{} // closed at the next append
}

// Start starts an empty log.
func Start(opts Options) (*Server, error) {
	if opts.RetainCount == 0 {
		opts.RetainCount = DefaultRetainCount
	}
	if opts.RetainFor == 0 {
		opts.RetainFor = DefaultRetainFor
	}
	if opts.AppendsPerS == 0 {
		opts.AppendsPerS = DefaultAppendsPerS
	}
	if opts.AppendLatency == 0 {
		opts.AppendLatency = DefaultAppendLatency
	}
	s := &Server{
		opts: opts, streams: map[string]*stream{},
		limiter: rate.NewLimiter(rate.Limit(opts.AppendsPerS), max(1, int(opts.AppendsPerS/4))),
	}
	r := httprouter.New()
	r.POST("/v1/streams/:stream/records", s.handleAppend)
	r.GET("/v1/streams/:stream/records", s.handleRead)
	var err error
	s.Server, err = serve.Start(opts.Addr, r)
	return s, err
}

// SetOutage makes the log answer every request with 503 and the code "unavailable".
func (s *Server) SetOutage(on bool) { s.outage.Store(on) }

// LoseAnswers makes the log execute the next n appends but close their connections without an
// answer.
func (s *Server) LoseAnswers(n int) { s.answersToLose.Store(int64(n)) }

// SetExtraLatency adds d to the latency of each request.
func (s *Server) SetExtraLatency(d time.Duration) { s.extraLatency.Store(int64(d)) }

// Appends returns the number of records appended so far.
func (s *Server) Appends() int64 { return s.appends.Load() }

// Reads returns the number of reads served so far.
func (s *Server) Reads() int64 { return s.reads.Load() }

// Records returns the retained records of a stream.
func (s *Server) Records(name string) []platform.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	return append([]platform.Record(nil), st.records...)
}

// Streams returns the names of the streams and their next offsets.
func (s *Server) Streams() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int64{}
	for name, st := range s.streams {
		out[name] = st.nextOffset()
	}
	return out
}

// Truncate drops all records of a stream below offset, as retention would.
func (s *Server) Truncate(name string, offset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	for st.first < offset && len(st.records) > 0 {
		st.dropOldest(1)
	}
}

// stream returns the stream with this name and creates it if needed. The caller holds mu.
func (s *Server) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (st *stream) nextOffset() int64 { return st.first + int64(len(st.records)) }

func (st *stream) dropOldest(n int) {
	st.records = st.records[n:]
	st.first += int64(n)
}

// append adds a record, applies the retention and wakes the long polls of the stream.
func (s *Server) append(name string, data []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	now := time.Now()
	offset := st.nextOffset()
	st.records = append(st.records, platform.Record{Offset: offset, Time: now, Data: data})
	for len(st.records) > s.opts.RetainCount || now.Sub(st.records[0].Time) > s.opts.RetainFor {
		st.dropOldest(1)
	}
	close(st.appended)
	st.appended = make(chan struct{})
	s.appends.Add(1)
	return offset
}

// page returns up to limit records from offset from, and a channel that is closed at the next
// append. expired reports that from is below the lowest retained offset.
func (s *Server) page(name string, from int64, limit int) (p platform.Page, appended <-chan struct{}, expired bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	p = platform.Page{First: st.first, Next: st.nextOffset(), Records: []platform.Record{}}
	if from < st.first {
		return p, st.appended, true
	}
	if from < p.Next {
		rest := st.records[from-st.first:]
		p.Records = append(p.Records, rest[:min(limit, len(rest))]...)
	}
	return p, st.appended, false
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	data, ok := serve.Body(r)
	if !ok {
		serve.Abort()
	}
	if !s.admit(w, r) {
		return
	}
	if !s.limiter.Allow() {
		serve.Refuse(w, http.StatusTooManyRequests, platform.RateLimited, "append rate exceeded", false)
		return
	}
	if !serve.Sleep(r.Context(), s.opts.AppendLatency) {
		serve.Abort()
	}
	offset := s.append(params.ByName("stream"), data)
	if s.takeLostAnswer() {
		serve.Abort()
	}
	serve.JSON(w, http.StatusOK, map[string]int64{"offset": offset})
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	if !s.admit(w, r) {
		return
	}
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(q.Get("max"))
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || from < 0 || limit <= 0 {
		serve.Refuse(w, http.StatusBadRequest, platform.Refused, "from and max are required", false)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(waitMs)*time.Millisecond, maxWait))
	defer cancel()
	for {
		page, appended, expired := s.page(params.ByName("stream"), from, limit)
		switch {
		case s.outage.Load():
			serve.Refuse(w, http.StatusServiceUnavailable, platform.Unavailable, "log outage", false)
			return
		case expired:
			serve.Refuse(w, http.StatusGone, platform.Expired, "first retained offset is "+strconv.FormatInt(page.First, 10), false)
			return
		case len(page.Records) > 0 || ctx.Err() != nil:
			s.reads.Add(1)
			serve.JSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-appended:
		case <-ctx.Done():
		}
	}
}

// admit applies the injected latency and outage, and reports whether the request may proceed.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	if !serve.Sleep(r.Context(), time.Duration(s.extraLatency.Load())) {
		serve.Abort()
	}
	if s.outage.Load() {
		serve.Refuse(w, http.StatusServiceUnavailable, platform.Unavailable, "log outage", false)
		return false
	}
	return true
}

// takeLostAnswer reports whether the answer of the current append is to be dropped, and counts it.
func (s *Server) takeLostAnswer() bool {
	for {
		n := s.answersToLose.Load()
		if n <= 0 {
			return false
		}
		if s.answersToLose.CompareAndSwap(n, n-1) {
			return true
		}
	}
}
