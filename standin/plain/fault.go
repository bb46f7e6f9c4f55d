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

// Fault is a fault that is injected into one request.
type Fault string

// Faults that Inject accepts.
const (
	None Fault = ""
	// CrashBefore closes the connection without running the request.
	CrashBefore Fault = "crash_before"
	// CrashAfter runs the request and closes the connection without an answer.
	CrashAfter Fault = "crash_after"
	// Truncated runs the request, sends half of the answer and closes the connection.
	Truncated Fault = "truncated"
	// Crossed runs the request and sends the answer of another request.
	Crossed Fault = "crossed"
	// Late runs the request and sends nothing for LateDelay, then the answer.
	Late Fault = "late"
	// Silent runs the request and never answers.
	Silent Fault = "silent"
	// Refuse refuses the request without running it.
	Refuse Fault = "refuse"
)

// LateDelay is the delay of a late answer. It exceeds the clients' progress deadline of 1.5 s.
const LateDelay = 2500 * time.Millisecond

// faults is the fault being injected and the requests that it still applies to.
type faults struct {
	mu        sync.Mutex
	fault     Fault
	remaining int // requests that the fault still applies to; negative means no limit
	interval  int // one in interval requests is affected
	requests  int // requests since the injection began
}

// Inject applies fault to the next n requests, or to all until Clear if n < 0.
func (s *Server) Inject(fault Fault, n int) { s.InjectEvery(fault, n, 1) }

// InjectEvery applies fault to each every-th request, n times or, if n < 0, until Clear.
func (s *Server) InjectEvery(fault Fault, n, every int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.fault, s.faults.remaining, s.faults.interval, s.faults.requests = fault, n, max(1, every), 0
}

// Clear stops the injection of faults.
func (s *Server) Clear() { s.Inject(None, 0) }

// next returns the fault of the next request, or None.
func (f *faults) next() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.remaining == 0 {
		return None
	}
	f.requests++
	if f.requests%f.interval != 0 {
		return None
	}
	if f.remaining > 0 {
		f.remaining--
	}
	return f.fault
}

// writeAnswer writes the answer of a request that has run, with the fault applied to it.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, fault Fault, resp platform.PlainResponse) {
	switch fault {
	case CrashAfter:
		serve.Abort()
	case Silent:
		<-r.Context().Done()
		serve.Abort()
	case Late:
		if !serve.Sleep(r.Context(), LateDelay) {
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

// otherAnswer returns the most recent answer if it belongs to a request other than id, or else
// that answer with another id, key and hash.
func (s *Server) otherAnswer(id string) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	other := s.last
	if other.RequestID == id {
		other.RequestID, other.Key, other.BodyHash = "crossed-"+id, "crossed", "0"
	}
	return other
}
