package compare

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// engine is a model of an engine: slots, a queue, a least-recently-used prefix cache and
// load reports that lag.
type engine struct {
	config Config
	slots  chan struct{}
	slow   time.Duration // factor of all work

	mu       sync.Mutex
	present  int // requests running or queued
	served   int
	used     map[int]time.Time // prefixes by last use
	events   []platform.CacheEvent
	sequence int64
	history  []platform.LoadReport
}

func newEngine(c Config) *engine {
	return &engine{config: c, slots: make(chan struct{}, c.Slots), used: map[int]time.Time{}, slow: 1}
}

// run serves one request and reports whether its prefix was cached.
func (e *engine) run(a arrival) (cached bool) {
	e.change(1)
	e.slots <- struct{}{}
	cached = e.touch(a.prefix)
	work := time.Duration(a.tokens) * e.config.TokenTime
	if !cached {
		work += time.Duration(e.config.PrefixTokens) * e.config.PrefillTime
	}
	time.Sleep(work * e.slow)
	<-e.slots
	e.change(-1)
	return cached
}

func (e *engine) change(by int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.present += by
	if by > 0 {
		e.served++
	}
	now := time.Now()
	e.history = append(e.history, platform.LoadReport{Running: e.present, MeasuredAt: now})
	for len(e.history) > 2 && now.Sub(e.history[1].MeasuredAt) > e.config.ReportLag {
		e.history = e.history[1:]
	}
}

// touch uses a prefix's cache entry and evicts the one unused for longest.
func (e *engine) touch(prefix int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, cached := e.used[prefix]
	e.used[prefix] = time.Now()
	if !cached {
		e.event(prefix, true)
	}
	if len(e.used) > e.config.CacheEntries {
		oldest := prefix
		for p, at := range e.used {
			if at.Before(e.used[oldest]) {
				oldest = p
			}
		}
		delete(e.used, oldest)
		e.event(oldest, false)
	}
	return cached
}

// lostEvent is the period with which cache events are lost.
const lostEvent = 7

func (e *engine) event(prefix int, added bool) {
	e.sequence++
	if e.sequence%lostEvent != 0 {
		e.events = append(e.events, platform.CacheEvent{Seq: e.sequence, PrefixID: strconv.Itoa(prefix), Added: added})
	}
}

// fleet implements health.EngineLoad over the engines by address.
type fleet map[string]*engine

// Load returns the newest report that is at least ReportLag old.
func (f fleet) Load(_ context.Context, addr string) (platform.LoadReport, error) {
	e := f[addr]
	e.mu.Lock()
	defer e.mu.Unlock()
	report := platform.LoadReport{MeasuredAt: time.Now()}
	cut := time.Now().Add(-e.config.ReportLag)
	for _, h := range e.history {
		if h.MeasuredAt.After(cut) {
			break
		}
		report = h
	}
	report.TokensPerS = float64(e.config.Slots) / (e.config.TokenTime * e.slow).Seconds()
	report.Version = 1
	return report, nil
}

// CacheEvents returns the events after a sequence number.
func (f fleet) CacheEvents(_ context.Context, addr string, after int64) ([]platform.CacheEvent, error) {
	e := f[addr]
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []platform.CacheEvent
	for _, v := range e.events {
		if v.Seq > after {
			out = append(out, v)
		}
	}
	return out, nil
}
