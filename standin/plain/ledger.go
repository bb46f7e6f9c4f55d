package plain

import (
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/standin"
)

// maxRuns bounds the ledger; the oldest runs are dropped beyond it.
const maxRuns = 500_000

// Run is one execution of a request.
type Run struct {
	RequestID string
	Key       string
	Call      string
	BodyHash  string
	At        time.Time
}

// Ledger records every run by key and by request id.
type Ledger struct {
	mu        sync.Mutex
	runs      []Run
	byKey     map[string]int
	byRequest map[string]int
	byBody    map[string]int
	refusals  []time.Time
	total     int64
}

func newLedger() *Ledger {
	return &Ledger{byKey: map[string]int{}, byRequest: map[string]int{}, byBody: map[string]int{}}
}

func (l *Ledger) ran(req request) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	hash := standin.BodyHash(req.body)
	l.runs = append(l.runs, Run{RequestID: req.id, Key: req.key, Call: req.call, BodyHash: hash, At: now})
	if len(l.runs) > maxRuns {
		old := l.runs[0]
		l.runs = l.runs[1:]
		decrement(l.byKey, old.Key)
		decrement(l.byRequest, old.RequestID)
		decrement(l.byBody, old.BodyHash)
	}
	if req.key != "" {
		l.byKey[req.key]++
	}
	l.byRequest[req.id]++
	l.byBody[hash]++
	l.total++
	return l.total
}

func decrement(m map[string]int, key string) {
	if m[key]--; m[key] <= 0 {
		delete(m, key)
	}
}

func (l *Ledger) refused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.refusals) < maxRuns {
		l.refusals = append(l.refusals, time.Now())
	}
}

// RunsOfKey returns how often key ran.
func (l *Ledger) RunsOfKey(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byKey[key]
}

// RunsOfRequest returns how often the request with this id ran.
func (l *Ledger) RunsOfRequest(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byRequest[id]
}

// RunsOfBody returns how often a request with this body hash ran. Callers whose bodies are all
// different learn from it the runs of a request without trusting the key that arrived.
func (l *Ledger) RunsOfBody(hash string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byBody[hash]
}

// Keys returns the number of runs of each key.
func (l *Ledger) Keys() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(l.byKey))
	for k, n := range l.byKey {
		out[k] = n
	}
	return out
}

// Runs returns all retained runs in order.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// Total returns the number of runs and of true refusals.
func (l *Ledger) Total() (runs int64, refusals int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total, len(l.refusals)
}

// RefusedAfter returns the number of requests refused after t.
func (l *Ledger) RefusedAfter(t time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for i := len(l.refusals) - 1; i >= 0 && l.refusals[i].After(t); i-- {
		n++
	}
	return n
}
