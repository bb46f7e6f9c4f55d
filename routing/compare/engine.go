package compare

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// engine models an engine with slots, a queue, a least-recently-used prefix cache and load reports
// that lag.
type engine struct {
	config   Config
	slots    chan struct{}
	slowdown time.Duration // factor by which all work takes longer

	mu       sync.Mutex
	inFlight int               // requests running or queued
	received int               // requests received since the start
	lastUsed map[int]time.Time // time of the last use of each cached prefix
	events   []platform.CacheEvent
	lastSeq  int64                 // sequence number of the newest cache event, lost ones included
	history  []platform.LoadReport // oldest first
}

func newEngine(c Config) *engine {
	return &engine{config: c, slots: make(chan struct{}, c.Slots), lastUsed: map[int]time.Time{}, slowdown: 1}
}

// run executes one request and reports whether its prefix was cached. It blocks until a slot is free
// and for as long as the work takes.
func (e *engine) run(a arrival) (cached bool) {
	e.addRequests(1)
	e.slots <- struct{}{}
	cached = e.useCachedPrefix(a.prefix)
	work := time.Duration(a.tokens) * e.config.TokenTime
	if !cached {
		work += time.Duration(e.config.PrefixTokens) * e.config.PrefillTime
	}
	time.Sleep(work * e.slowdown)
	<-e.slots
	e.addRequests(-1)
	return cached
}

// addRequests changes the number of requests in flight by delta and records a load report. It drops
// reports that are older than needed for ReportLag.
func (e *engine) addRequests(delta int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight += delta
	if delta > 0 {
		e.received++
	}
	now := time.Now()
	e.history = append(e.history, platform.LoadReport{Running: e.inFlight, MeasuredAt: now})
	for len(e.history) > 2 && now.Sub(e.history[1].MeasuredAt) > e.config.ReportLag {
		e.history = e.history[1:]
	}
}

// useCachedPrefix marks a prefix as used and reports whether it was cached. If it was not, it is added,
// and the least recently used prefix of a full cache is evicted.
func (e *engine) useCachedPrefix(prefix int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, cached := e.lastUsed[prefix]
	e.lastUsed[prefix] = time.Now()
	if !cached {
		e.recordCacheEvent(prefix, true)
	}
	if len(e.lastUsed) > e.config.CacheEntries {
		oldest := prefix
		for p, at := range e.lastUsed {
			if at.Before(e.lastUsed[oldest]) {
				oldest = p
			}
		}
		delete(e.lastUsed, oldest)
		e.recordCacheEvent(oldest, false)
	}
	return cached
}

// eventLossInterval is the interval, in cache events, at which an engine loses an event.
const eventLossInterval = 7

// recordCacheEvent appends a cache event unless it is one of those that are lost. The caller holds mu.
func (e *engine) recordCacheEvent(prefix int, added bool) {
	e.lastSeq++
	if e.lastSeq%eventLossInterval != 0 {
		e.events = append(e.events, platform.CacheEvent{Seq: e.lastSeq, PrefixID: strconv.Itoa(prefix), Added: added})
	}
}

// fleet implements health.EngineLoad for a set of engines, keyed by address.
type fleet map[string]*engine

// Load returns the engine's newest load report that is at least ReportLag old, or an idle report if
// there is none.
func (f fleet) Load(_ context.Context, addr string) (platform.LoadReport, error) {
	e := f[addr]
	e.mu.Lock()
	defer e.mu.Unlock()
	report := platform.LoadReport{MeasuredAt: time.Now()}
	cutoff := time.Now().Add(-e.config.ReportLag)
	for _, h := range e.history {
		if h.MeasuredAt.After(cutoff) {
			break
		}
		report = h
	}
	report.TokensPerS = float64(e.config.Slots) / (e.config.TokenTime * e.slowdown).Seconds()
	report.Version = 1
	return report, nil
}

// CacheEvents returns the engine's cache events with sequence numbers above after.
func (f fleet) CacheEvents(_ context.Context, addr string, after int64) ([]platform.CacheEvent, error) {
	e := f[addr]
	e.mu.Lock()
	defer e.mu.Unlock()
	var newer []platform.CacheEvent
	for _, event := range e.events {
		if event.Seq > after {
			newer = append(newer, event)
		}
	}
	return newer, nil
}
