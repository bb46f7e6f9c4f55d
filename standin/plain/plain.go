// Package plain is a stand-in for a plain service. It runs calls and records every run in a
// ledger, against which tests check the outcomes reported to the callers.
package plain

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/cicadasill/cicadasill/standalone/httpplatform"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin"
	"github.com/cicadasill/cicadasill/standin/serve"
)

// Defaults of Options.
const (
	DefaultServiceTime = 5 * time.Millisecond
	DefaultWorkers     = 32
	DefaultQueueLimit  = 1024
)

// Options configures a plain service.
type Options struct {
	ID   string
	Addr string
	// ServiceTime is the time that a run takes. ServiceTimeByCall overrides it for single calls.
	ServiceTime       time.Duration
	ServiceTimeByCall map[string]time.Duration
	// Workers is the number of concurrent runs. Up to QueueLimit requests wait for a worker.
	Workers    int
	QueueLimit int
	// AskByKey makes the service run each key at most once and report its result on request.
	AskByKey bool
	// Keys is the store of keys that all servers of one service share, like a common database.
	// Nil gives the server a store of its own.
	Keys *Keys
}

// Answer is the JSON body of every answer.
type Answer struct {
	Key       string  `json:"key"`
	RequestID string  `json:"request_id"`
	BodyHash  string  `json:"body_hash"`
	Backend   string  `json:"backend"`
	Call      string  `json:"call"`
	Run       int64   `json:"run"`
	Score     float64 `json:"score"`
}

// Server is one server of a plain service. Its ledger survives Crash and Restart.
type Server struct {
	*serve.Server
	opts    Options
	workers chan struct{}
	queued  atomic.Int64
	leaving atomic.Bool
	faults  faults
	ledger  *Ledger

	mu   sync.Mutex
	last Answer // most recent answer, which the Crossed fault sends
}

// Start starts a plain service.
func Start(opts Options) (*Server, error) {
	if opts.ServiceTime == 0 {
		opts.ServiceTime = DefaultServiceTime
	}
	if opts.Workers == 0 {
		opts.Workers = DefaultWorkers
	}
	if opts.QueueLimit == 0 {
		opts.QueueLimit = DefaultQueueLimit
	}
	if opts.Keys == nil {
		opts.Keys = NewKeys()
	}
	s := &Server{opts: opts, workers: make(chan struct{}, opts.Workers), ledger: newLedger()}
	r := httprouter.New()
	r.POST("/v1/calls/:call", s.handleCall)
	r.GET("/v1/keys/:key", s.handleKey)
	r.GET("/v1/health", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		serve.JSON(w, http.StatusOK, map[string]bool{"leaving": s.leaving.Load()})
	})
	var err error
	s.Server, err = serve.Start(opts.Addr, r)
	return s, err
}

// Ledger returns the record of all runs.
func (s *Server) Ledger() *Ledger { return s.ledger }

// SetLeaving makes the service refuse new requests without running them.
func (s *Server) SetLeaving(on bool) { s.leaving.Store(on) }

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	body, ok := serve.Body(r)
	if !ok {
		serve.Abort()
	}
	req := request{
		id: r.Header.Get(httpplatform.HeaderRequestID), key: r.Header.Get(httpplatform.HeaderKey),
		call: params.ByName("call"), body: body,
	}
	if s.leaving.Load() {
		s.ledger.recordRefusal()
		serve.Refuse(w, http.StatusServiceUnavailable, platform.LeavingBackend, "leaving", true)
		return
	}
	fault := s.faults.next()
	if fault == CrashBefore {
		serve.Abort()
	}
	if fault == Refuse || s.queued.Load() >= int64(s.opts.QueueLimit) {
		s.ledger.recordRefusal()
		serve.Refuse(w, http.StatusServiceUnavailable, platform.Unavailable, "queue full", true)
		return
	}
	var resp platform.PlainResponse
	var ran bool
	serve.Processing(w, func() { resp, ran = s.run(r.Context(), req) })
	if !ran {
		serve.Abort()
	}
	s.writeAnswer(w, r, fault, resp)
}

// request is one received call.
type request struct {
	id, key, call string
	body          []byte
}

// run executes the request, or waits for the run of its key under AskByKey. ran is false if the
// request was cancelled before its run began.
func (s *Server) run(ctx context.Context, req request) (resp platform.PlainResponse, ran bool) {
	if !s.opts.AskByKey || req.key == "" {
		return s.execute(ctx, req)
	}
	return s.opts.Keys.runOnce(ctx, req.key, func() (platform.PlainResponse, bool) { return s.execute(ctx, req) })
}

// execute waits for a worker, records the run in the ledger and takes the service time. A run
// that has begun continues to its end even if the caller disconnects, as a booking would.
func (s *Server) execute(ctx context.Context, req request) (platform.PlainResponse, bool) {
	s.queued.Add(1)
	select {
	case s.workers <- struct{}{}:
		s.queued.Add(-1)
	case <-ctx.Done():
		s.queued.Add(-1)
		return platform.PlainResponse{}, false
	}
	defer func() { <-s.workers }()
	if ctx.Err() != nil {
		return platform.PlainResponse{}, false
	}
	run := s.ledger.recordRun(req)
	serviceTime := s.opts.ServiceTime
	if t, ok := s.opts.ServiceTimeByCall[req.call]; ok {
		serviceTime = t
	}
	serve.Sleep(context.Background(), serviceTime)
	hash := standin.BodyHash(req.body)
	a := Answer{
		Key: req.key, RequestID: req.id, BodyHash: hash, Backend: s.opts.ID, Call: req.call, Run: run,
		Score: Score(req.body),
	}
	s.mu.Lock()
	s.last = a
	s.mu.Unlock()
	return platform.PlainResponse{Status: http.StatusOK, ContentType: "application/json", Body: encode(a)}, true
}

func encode(a Answer) []byte {
	data, _ := json.Marshal(a)
	return data
}

// Score returns the score that a scoring call gives to body.
func Score(body []byte) float64 {
	var sum uint64
	for _, c := range standin.BodyHash(body) {
		sum = sum*31 + uint64(c)
	}
	return float64(sum%1000) / 1000
}

func (s *Server) handleKey(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	if !s.opts.AskByKey {
		serve.Refuse(w, http.StatusNotFound, platform.Refused, "service does not keep idempotency keys", false)
		return
	}
	status := s.opts.Keys.status(params.ByName("key"))
	serve.JSON(w, http.StatusOK, status)
}
