package engine

import (
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin"
)

// Bounds of the ledger. The oldest entries are dropped beyond them.
const (
	maxExecutions = 200_000
	maxOrders     = 10_000
)

// Execution records one generation.
type Execution struct {
	RequestID string
	Prompt    string // standin.BodyHash of the prompt
	Priority  int
	Started   time.Time
	Ended     time.Time
	Resumed   int   // tokens that another engine had generated
	Tokens    int   // tokens generated here
	Preempted int   // number of preemptions
	Finished  bool  // generated all tokens
	Cached    bool  // prompt was in the prefix cache
	KVVersion int64 // weight version that computed the KV cache of the prompt
}

// OrderRecord records one order and its result.
type OrderRecord struct {
	Order    platform.Order
	Received time.Time
	Started  time.Time // zero if the order was refused before its execution
	Ended    time.Time
	Err      string // empty if the order succeeded
}

// Ledger records the executions and orders of an engine.
type Ledger struct {
	mu                 sync.Mutex
	executions         []*Execution
	runsByPrompt       map[string]int
	kvVersionsByPrompt map[string]map[int64]bool // versions that computed the KV of a prompt
	orders             []*OrderRecord
	refusals           []time.Time
	tokens             int64
}

func newLedger() *Ledger {
	return &Ledger{runsByPrompt: map[string]int{}, kvVersionsByPrompt: map[string]map[int64]bool{}}
}

// recordStart records the start of q's execution.
func (l *Ledger) recordStart(q *sequence) {
	e := &Execution{
		RequestID: q.req.RequestID, Prompt: standin.BodyHash([]byte(q.req.Prompt)), Priority: q.req.Priority,
		Started: time.Now(), Resumed: q.produced, Cached: q.cached,
	}
	q.execution = e
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, e)
	l.runsByPrompt[e.Prompt]++
	if len(l.executions) > maxExecutions {
		old := l.executions[0].Prompt
		if l.runsByPrompt[old]--; l.runsByPrompt[old] == 0 {
			delete(l.runsByPrompt, old)
			delete(l.kvVersionsByPrompt, old)
		}
		l.executions = l.executions[1:]
	}
}

// recordPrefill records the weight version of the KV cache that q uses for its prompt.
func (l *Ledger) recordPrefill(q *sequence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := q.execution
	e.KVVersion = q.kvVersion
	if l.kvVersionsByPrompt[e.Prompt] == nil {
		l.kvVersionsByPrompt[e.Prompt] = map[int64]bool{}
	}
	l.kvVersionsByPrompt[e.Prompt][q.kvVersion] = true
}

// UsedKV reports whether an execution of a prompt with this hash used a KV cache of version.
func (l *Ledger) UsedKV(hash string, version int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.kvVersionsByPrompt[hash][version]
}

func (l *Ledger) recordEnd(q *sequence, finished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := q.execution
	e.Ended, e.Finished, e.Preempted = time.Now(), finished, q.preempted
	e.Tokens = q.produced - e.Resumed
	l.tokens += int64(e.Tokens)
}

func (l *Ledger) recordOrder(o platform.Order) *OrderRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &OrderRecord{Order: o, Received: time.Now()}
	l.orders = append(l.orders, r)
	if len(l.orders) > maxOrders {
		l.orders = l.orders[1:]
	}
	return r
}

func (l *Ledger) recordOrderStart(r *OrderRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Started = time.Now()
}

func (l *Ledger) recordOrderEnd(r *OrderRecord, err *orderError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Ended = time.Now()
	if err != nil {
		r.Err = err.Error()
	}
}

// Executions returns the retained executions of requestID, or all if requestID is empty.
func (l *Ledger) Executions(requestID string) []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Execution
	for _, e := range l.executions {
		if requestID == "" || e.RequestID == requestID {
			out = append(out, *e)
		}
	}
	return out
}

// RunsOfPrompt returns how many executions had a prompt with this hash.
func (l *Ledger) RunsOfPrompt(hash string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runsByPrompt[hash]
}

// Orders returns all retained orders.
func (l *Ledger) Orders() []OrderRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]OrderRecord, 0, len(l.orders))
	for _, r := range l.orders {
		out = append(out, *r)
	}
	return out
}

// Tokens returns the number of tokens that the ended executions generated.
func (l *Ledger) Tokens() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tokens
}

func (l *Ledger) recordRefusal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.refusals) < maxExecutions {
		l.refusals = append(l.refusals, time.Now())
	}
}

// RefusedAfter returns the number of generations that were refused after t because the engine
// was leaving.
func (l *Ledger) RefusedAfter(t time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for i := len(l.refusals) - 1; i >= 0 && l.refusals[i].After(t); i-- {
		n++
	}
	return n
}
