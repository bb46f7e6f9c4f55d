package plain

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/standalone/httpplatform"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin/serve"
)

// Fault is what goes wrong with one request.
type Fault string

// Faults. CrashBefore, CrashAfter and Truncated cut the request's connection.
const (
	None Fault = ""
	// CrashBefore cuts the connection before the run.
	CrashBefore Fault = "crash_before"
	// CrashAfter cuts the connection after the run, before the answer.
	CrashAfter Fault = "crash_after"
	// Truncated sends half of the answer after the run and cuts the connection.
	Truncated Fault = "truncated"
	// Crossed runs the request and sends the answer of another request.
	Crossed Fault = "crossed"
	// Late runs the request and answers after LateBy without a sign of life.
	Late Fault = "late"
	// Silent runs the request and never answers.
	Silent Fault = "silent"
	// Refuse refuses without running.
	Refuse Fault = "refuse"
)

// LateBy is the delay of a late answer; it is over the clients' progress deadline of 1.5 s.
const LateBy = 2500 * time.Millisecond

type faults struct {
	mu    sync.Mutex
	kind  Fault
	left  int
	every int
	seen  int
}

// Inject makes the next n requests suffer fault; n < 0 means all until Clear.
func (s *Server) Inject(fault Fault, n int) { s.InjectEvery(fault, n, 1) }

// InjectEvery is Inject for every every-th request only.
func (s *Server) InjectEvery(fault Fault, n, every int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.kind, s.faults.left, s.faults.every, s.faults.seen = fault, n, max(1, every), 0
}

// Clear ends the injection of faults.
func (s *Server) Clear() { s.Inject(None, 0) }

func (f *faults) take() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left == 0 {
		return None
	}
	f.seen++
	if f.seen%f.every != 0 {
		return None
	}
	if f.left > 0 {
		f.left--
	}
	return f.kind
}

// answer writes the answer of a request that has run.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, fault Fault, resp platform.PlainResponse) {
	switch fault {
	case CrashAfter:
		serve.Abort()
	case Silent:
		<-r.Context().Done()
		serve.Abort()
	case Late:
		if !serve.Sleep(r.Context(), LateBy) {
			serve.Abort()
		}
	case Crossed:
		other := s.otherAnswer(r.Header.Get(httpplatform.HeaderRequestID))
		w.Header().Set(httpplatform.HeaderRequestID, other.RequestID)
		resp.Body = encode(other)
	}
	w.Header().Set("Content-Type", resp.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(resp.Status)
	if fault == Truncated {
		_, _ = w.Write(resp.Body[:len(resp.Body)/2])
		_ = http.NewResponseController(w).Flush()
		serve.Abort()
	}
	_, _ = w.Write(resp.Body)
}

// otherAnswer returns the answer of a request other than id.
func (s *Server) otherAnswer(id string) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	other := s.last
	if other.RequestID == id {
		other.RequestID, other.Key, other.BodyHash = "crossed-"+id, "crossed", "0"
	}
	return other
}
