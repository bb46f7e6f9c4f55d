package plain

import (
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/standin"
)

// maxRuns bounds the number of runs in the ledger. The oldest runs are dropped beyond it.
const maxRuns = 500_000

// Run is one execution of a request.
type Run struct {
	RequestID string
	Key       string
	Call      string
	BodyHash  string
	At        time.Time
}

// Ledger records every run and counts the runs by key, request id and body hash.
type Ledger struct {
	mu            sync.Mutex
	runs          []Run
	runsByKey     map[string]int
	runsByRequest map[string]int
	runsByBody    map[string]int
	refusals      []time.Time
	totalRuns     int64
}

func newLedger() *Ledger {
	return &Ledger{runsByKey: map[string]int{}, runsByRequest: map[string]int{}, runsByBody: map[string]int{}}
}

// recordRun records a run and returns the number of runs so far.
func (l *Ledger) recordRun(req request) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	hash := standin.BodyHash(req.body)
	l.runs = append(l.runs, Run{RequestID: req.id, Key: req.key, Call: req.call, BodyHash: hash, At: now})
	if len(l.runs) > maxRuns {
		old := l.runs[0]
		l.runs = l.runs[1:]
		decrement(l.runsByKey, old.Key)
		decrement(l.runsByRequest, old.RequestID)
		decrement(l.runsByBody, old.BodyHash)
	}
	if req.key != "" {
		l.runsByKey[req.key]++
	}
	l.runsByRequest[req.id]++
	l.runsByBody[hash]++
	l.totalRuns++
	return l.totalRuns
}

func decrement(m map[string]int, key string) {
	if m[key]--; m[key] <= 0 {
		delete(m, key)
	}
}

func (l *Ledger) recordRefusal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.refusals) < maxRuns {
		l.refusals = append(l.refusals, time.Now())
	}
}

// RunsOfKey returns how often requests with this key ran.
func (l *Ledger) RunsOfKey(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runsByKey[key]
}

// RunsOfRequest returns how often the request with this id ran.
func (l *Ledger) RunsOfRequest(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runsByRequest[id]
}

// RunsOfBody returns how often requests with this body hash ran. A caller whose bodies are all
// different can count the runs of a request without relying on the key that arrived.
func (l *Ledger) RunsOfBody(hash string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runsByBody[hash]
}

// Keys returns the number of runs of each key.
func (l *Ledger) Keys() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(l.runsByKey))
	for k, n := range l.runsByKey {
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

// Total returns the number of runs and the number of requests refused without a run.
func (l *Ledger) Total() (runs int64, refusals int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totalRuns, len(l.refusals)
}

// RefusedAfter returns the number of requests that were refused after t without a run.
func (l *Ledger) RefusedAfter(t time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for i := len(l.refusals) - 1; i >= 0 && l.refusals[i].After(t); i-- {
		n++
	}
	return n
}
