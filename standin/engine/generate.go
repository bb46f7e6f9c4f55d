package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin"
	"github.com/cicadasill/cicadasill/standin/serve"
)

// keepAlivePeriod is how often an empty line is sent on a stream without events, to show that
// the engine is alive. It is well below the clients' progress deadline of 1.5 s.
const keepAlivePeriod = 300 * time.Millisecond

var arrivalCounter atomic.Int64

func (s *Server) handleGenerate(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, ok := serve.Body(r)
	if !ok {
		serve.Abort()
	}
	var req platform.GenerateRequest
	if err := json.Unmarshal(body, &req); err != nil || req.RequestID == "" || req.MaxTokens <= 0 {
		serve.Refuse(w, http.StatusBadRequest, platform.Refused, "request_id and max_tokens are required", false)
		return
	}
	if s.leaving.Load() {
		s.ledger.recordRefusal()
		serve.Refuse(w, http.StatusServiceUnavailable, platform.LeavingBackend, "leaving", true)
		return
	}
	q := &sequence{
		req: req, arrival: arrivalCounter.Add(1), produced: min(len(req.ResumeTokens), req.MaxTokens),
		notify: make(chan struct{}, 1),
	}
	q.kvVersion = s.importKV(r.Context(), req)
	if !s.enqueue(q) {
		serve.Refuse(w, http.StatusServiceUnavailable, platform.Unavailable, "queue full or request id in use", true)
		return
	}
	defer s.removeSequence(q)
	s.stream(w, r, q)
}

// enqueue adds q to the sequences and computes how many tokens it must prefill: none with an
// imported KV cache, only the resumed tokens if the prompt is in the prefix cache, else all. It
// reports false if the queue is full, the request id is in use or the engine has crashed.
func (s *Server) enqueue(q *sequence) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, used := s.byID[q.req.RequestID]; used || len(s.sequences) >= s.opts.MaxBatch+s.opts.QueueLimit || s.runCtx.Err() != nil {
		return false
	}
	if q.kvVersion != 0 && q.kvVersion != s.version {
		q.kvVersion = 0 // the weights were swapped after the import
	}
	if q.kvVersion == 0 {
		q.prefillLeft = float64(len(q.req.ResumeTokens))
		if q.cached = s.cache.has(q.req, s.version); q.cached {
			q.kvVersion = s.version
		} else {
			q.prefillLeft += float64(standin.PromptTokens(q.req.Prompt))
		}
	}
	s.byID[q.req.RequestID] = q
	s.sequences = append(s.sequences, q)
	s.ledger.recordStart(q)
	return true
}

// stream sends the events of q until its final event, or until the client disconnects.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, q *sequence) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	keepAlive := time.NewTicker(keepAlivePeriod)
	defer keepAlive.Stop()
	enc := json.NewEncoder(w)
	for {
		select {
		case <-r.Context().Done():
			serve.Abort()
		case <-keepAlive.C:
			_, _ = w.Write([]byte("\n"))
		case <-q.notify:
			if s.send(enc, q) {
				return
			}
			keepAlive.Reset(keepAlivePeriod)
		}
		if flusher.Flush() != nil {
			serve.Abort()
		}
	}
}

// send writes the pending events and reports whether the final event was among them.
func (s *Server) send(enc *json.Encoder, q *sequence) bool {
	s.mu.Lock()
	events := q.events
	q.events = nil
	s.mu.Unlock()
	for _, e := range events {
		if enc.Encode(e) != nil {
			serve.Abort()
		}
		if e.Done {
			return true
		}
		if e.RequestID == "" { // added by handleCancel
			serve.Abort()
		}
	}
	return false
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in struct {
		RequestID string `json:"request_id"`
	}
	body, _ := serve.Body(r)
	_ = json.Unmarshal(body, &in)
	s.mu.Lock()
	q := s.byID[in.RequestID]
	s.mu.Unlock()
	if q != nil {
		s.removeSequence(q)
		s.mu.Lock()
		q.events = append(q.events, platform.GenerateEvent{})
		s.mu.Unlock()
		select {
		case q.notify <- struct{}{}:
		default:
		}
	}
	serve.JSON(w, http.StatusOK, map[string]bool{"cancelled": q != nil})
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	serve.JSON(w, http.StatusOK, map[string]bool{"leaving": s.leaving.Load()})
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	serve.JSON(w, http.StatusOK, s.delayedReport())
}

// delayedReport returns the newest load report that is at least LoadLag old, or the oldest one
// if none is. Its Leaving field is current.
func (s *Server) delayedReport() platform.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out platform.LoadReport
	cutoff := time.Now().Add(-s.opts.LoadLag)
	for i, snap := range s.snapshots {
		if i > 0 && snap.MeasuredAt.After(cutoff) {
			break
		}
		out = snap
	}
	if out.MeasuredAt.IsZero() {
		out = s.measure(time.Now())
	}
	out.Leaving = s.leaving.Load()
	return out
}

// snapshotPeriod is the interval between load snapshots, and so the resolution of LoadLag.
const snapshotPeriod = 50 * time.Millisecond

func (s *Server) recordSnapshot(now time.Time) {
	if n := len(s.snapshots); n > 0 && now.Sub(s.snapshots[n-1].MeasuredAt) < snapshotPeriod {
		return
	}
	s.snapshots = append(s.snapshots, s.measure(now))
	for len(s.snapshots) > 2 && now.Sub(s.snapshots[1].MeasuredAt) > s.opts.LoadLag+snapshotPeriod {
		s.snapshots = s.snapshots[1:]
	}
}

// measure returns the current load. TokensPerS is the throughput of a full batch.
func (s *Server) measure(now time.Time) platform.LoadReport {
	running := min(len(s.sequences), s.opts.MaxBatch)
	return platform.LoadReport{
		Running: running, Queued: len(s.sequences) - running,
		TokensPerS: s.opts.Rate(s.opts.MaxBatch) * float64(s.opts.MaxBatch) * s.speedFactor,
		MeasuredAt: now, Version: s.version, Held: append([]int64(nil), s.held...), Role: s.role,
	}
}

func (s *Server) handleCacheEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	s.mu.Lock()
	events := s.cache.visibleEvents(after, time.Now())
	s.mu.Unlock()
	serve.JSON(w, http.StatusOK, events)
}
