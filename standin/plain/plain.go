// Package plain is a stand-in of a plain service: it runs calls and keeps a ledger of every
// run, which is the truth that callers' outcomes are compared with.
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
	DefaultThink      = 5 * time.Millisecond
	DefaultWorkers    = 32
	DefaultQueueLimit = 1024
)

// Options configure a plain service.
type Options struct {
	ID   string
	Addr string
	// Think is the time that a run takes; ThinkByCall overrides it for a call.
	Think       time.Duration
	ThinkByCall map[string]time.Duration
	// Workers is the number of runs at a time; up to QueueLimit requests wait.
	Workers    int
	QueueLimit int
	// AskByKey makes the service run a key at most once and report its result on request.
	AskByKey bool
	// Keys is shared by the servers of one service, as a common database; nil means one's own.
	Keys *Keys
}

// Answer is the body of every answer.
type Answer struct {
	Key       string  `json:"key"`
	RequestID string  `json:"request_id"`
	BodyHash  string  `json:"body_hash"`
	Backend   string  `json:"backend"`
	Call      string  `json:"call"`
	Run       int64   `json:"run"`
	Score     float64 `json:"score"`
}

// Server is a plain service. Its ledger survives Crash and Restart.
type Server struct {
	*serve.Server
	opts    Options
	workers chan struct{}
	waiting atomic.Int64
	leaving atomic.Bool
	faults  faults
	ledger  *Ledger

	mu   sync.Mutex
	last Answer // most recent answer, used by the crossed fault
}

// Start starts a plain service.
func Start(opts Options) (*Server, error) {
	if opts.Think == 0 {
		opts.Think = DefaultThink
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

// SetLeaving makes the service refuse new work truly.
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
		s.ledger.refused()
		serve.Refuse(w, http.StatusServiceUnavailable, platform.LeavingBackend, "leaving", true)
		return
	}
	fault := s.faults.take()
	if fault == CrashBefore {
		serve.Abort()
	}
	if fault == Refuse || s.waiting.Load() >= int64(s.opts.QueueLimit) {
		s.ledger.refused()
		serve.Refuse(w, http.StatusServiceUnavailable, platform.Unavailable, "queue full", true)
		return
	}
	var resp platform.PlainResponse
	var ran bool
	serve.Processing(w, func() { resp, ran = s.run(r.Context(), req) })
	if !ran {
		serve.Abort()
	}
	s.answer(w, r, fault, resp)
}

type request struct {
	id, key, call string
	body          []byte
}

// run executes the request, or waits for the run of its key. ran is false when the request
// was cancelled before its run began.
func (s *Server) run(ctx context.Context, req request) (resp platform.PlainResponse, ran bool) {
	if !s.opts.AskByKey || req.key == "" {
		return s.execute(ctx, req)
	}
	return s.opts.Keys.once(ctx, req.key, func() (platform.PlainResponse, bool) { return s.execute(ctx, req) })
}

// execute waits for a worker, enters the run in the ledger and thinks. A run that has begun
// goes to its end even when the caller leaves, as a booking would.
func (s *Server) execute(ctx context.Context, req request) (platform.PlainResponse, bool) {
	s.waiting.Add(1)
	select {
	case s.workers <- struct{}{}:
		s.waiting.Add(-1)
	case <-ctx.Done():
		s.waiting.Add(-1)
		return platform.PlainResponse{}, false
	}
	defer func() { <-s.workers }()
	if ctx.Err() != nil {
		return platform.PlainResponse{}, false
	}
	run := s.ledger.ran(req)
	think := s.opts.Think
	if t, ok := s.opts.ThinkByCall[req.call]; ok {
		think = t
	}
	serve.Sleep(context.Background(), think)
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

// Score is the score that a scoring call gives to body.
func Score(body []byte) float64 {
	var sum uint64
	for _, c := range standin.BodyHash(body) {
		sum = sum*31 + uint64(c)
	}
	return float64(sum%1000) / 1000
}

func (s *Server) handleKey(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	if !s.opts.AskByKey {
		serve.Refuse(w, http.StatusNotFound, platform.Refused, "keys are not kept", false)
		return
	}
	status := s.opts.Keys.status(params.ByName("key"))
	serve.JSON(w, http.StatusOK, status)
}
