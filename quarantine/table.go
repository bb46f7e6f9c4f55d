package quarantine

import (
	"context"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/timing"
)

// topic holds the crashes by fingerprint.
const topic = "request-crashes"

const (
	// cleanupInterval is the time between two deletions of forgotten crashes.
	cleanupInterval = 30 * time.Second
	// maxFingerprints bounds the fingerprints that an instance keeps. Further ones are counted by nobody until others
	// are forgotten.
	maxFingerprints = 4096
)

// BlockedError reports a request that has not been sent, because back ends have crashed under it or at its endpoint.
type BlockedError struct {
	Identity Identity
	// Crashes is the number of crashes under the request itself.
	Crashes int
}

// Error implements error.
func (e *BlockedError) Error() string {
	return fmt.Sprintf("quarantined: %d back ends crashed under request %s, or others at endpoint %s", e.Crashes,
		e.Identity.Request, e.Identity.Endpoint)
}

// Options configure a Table.
type Options struct {
	Log changelog.Log
	// Backends is told of the crashes, so that no requests are sent to back ends that have crashed.
	Backends *backends.Directory
	// Rank returns this instance's position among the live ones, in an order that depends on key.
	Rank       func(key string) int
	Logger     *log.Logger
	Registerer prometheus.Registerer
	// ReadWait returns how long a read waits for a change, and ReadPause the pause between reads.
	ReadWait, ReadPause func() time.Duration
}

// Table holds the crashes that any instance has seen. It is safe for concurrent use.
type Table struct {
	opts    Options
	shared  *changelog.Map[Crash]
	blocked prometheus.Counter

	mu    sync.Mutex
	known map[Fingerprint]History
	// probes holds the times of the last requests to quarantined endpoints.
	probes map[Fingerprint]time.Time
}

// New returns a Table that has read no crashes yet, and registers its metrics.
func New(opts Options) *Table {
	t := &Table{
		opts: opts, known: map[Fingerprint]History{}, probes: map[Fingerprint]time.Time{},
		blocked: prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadasill_requests_quarantined_total",
			Help: "Requests refused because requests with the same fingerprint have crashed back ends."}),
	}
	t.shared = changelog.NewMap(changelog.MapOptions[Crash]{
		Log: opts.Log, Topic: topic, Logger: opts.Logger, ReadWait: opts.ReadWait, ReadPause: opts.ReadPause, OnChange: t.apply,
	})
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(t.blocked, prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cicadasill_request_fingerprints",
			Help: "Fingerprints of requests under which back ends have crashed."}, func() float64 { return float64(t.Len()) }))
	}
	return t
}

// Len returns the number of fingerprints, of requests and endpoints, under which back ends have crashed.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.known)
}

// HasRead reports whether the crashes that other instances have seen have been read.
func (t *Table) HasRead() bool { return t.shared.HasRead() }

// keyOf returns the key of a crash in the store. Instances that see the same crash write the same key.
func keyOf(f Fingerprint, c Crash) string {
	return fmt.Sprintf("%s/%s/%d", f, c.Backend, c.StartedUnixMs)
}

// parseKey is the inverse of keyOf.
func parseKey(key string) (f Fingerprint, backend string, startedUnixMs int64, ok bool) {
	parts := strings.SplitN(key, "/", 2)
	last := strings.LastIndex(key, "/")
	data, err := hex.DecodeString(parts[0])
	if err != nil || len(data) != len(f) || last <= len(parts[0]) {
		return f, "", 0, false
	}
	startedUnixMs, err = strconv.ParseInt(key[last+1:], 10, 64)
	return Fingerprint(data), key[len(parts[0])+1 : last], startedUnixMs, err == nil
}

// apply adopts a crash that was read from the store, or drops one that has been deleted.
func (t *Table) apply(key string, crash *Crash) {
	f, backend, startedUnixMs, ok := parseKey(key)
	if !ok {
		t.opts.Logger.Error("crash record not readable", "key", key)
		return
	}
	if crash != nil {
		// The clock of the instance that has seen the crash may be ahead of this one's.
		crash.AtUnixMs = min(crash.AtUnixMs, time.Now().UnixMilli())
		t.opts.Backends.RecordCrash(backend, startedUnixMs, time.UnixMilli(crash.AtUnixMs))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	h, found := t.known[f]
	switch {
	case crash != nil:
		next, changed := h.with(*crash)
		if changed {
			t.put(f, next)
		}
	case found:
		if h = h.without(backend, startedUnixMs); len(h.Crashes) == 0 {
			delete(t.known, f)
		} else {
			t.known[f] = h
		}
	}
}

// put replaces the history of a fingerprint, unless there is no room for a new one. The caller holds t.mu.
func (t *Table) put(f Fingerprint, h History) {
	if _, exists := t.known[f]; exists || len(t.known) < maxFingerprints {
		t.known[f] = h
		return
	}
	t.opts.Logger.Warn("crash not counted", "fingerprint", f.String(), "reason", "too many fingerprints")
}

// Check returns the verdict on a request before it is sent.
func (t *Table) Check(id Identity, threshold Threshold) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	v := t.known[id.Request].verdict(now, threshold)
	if v.BlockedFor == 0 {
		blockedFor, quarantined := t.checkEndpoint(now, id.Endpoint)
		v.BlockedFor, v.IsConvicted = blockedFor, v.IsConvicted || quarantined
	}
	if v.BlockedFor > 0 {
		t.blocked.Inc()
	}
	return v
}

// RecordCrash counts a crash under a request and its endpoint, at once here and soon at the other instances. It returns the
// verdict on further sends.
func (t *Table) RecordCrash(id Identity, threshold Threshold, backend string, startedUnixMs int64) Verdict {
	now := time.Now()
	t.opts.Backends.RecordCrash(backend, startedUnixMs, now)
	crash := Crash{Backend: backend, StartedUnixMs: startedUnixMs, AtUnixMs: now.UnixMilli()}
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoint, isNewAtEndpoint := t.add(id.Endpoint, crash)
	request, isNew := t.add(id.Request, crash)
	v := request.verdict(now, threshold)
	if isNew && v.IsConvicted {
		t.opts.Logger.Warn("request quarantined", "fingerprint", id.Request.String(), "crashes", v.Crashes, "for", v.BlockedFor)
	}
	if endpoint.isQuarantinedEndpoint(now) {
		blockedFor := endpoint.probeAfter(now, 0)
		v.BlockedFor, v.IsConvicted = max(v.BlockedFor, blockedFor), true
		if isNewAtEndpoint {
			t.opts.Logger.Warn("endpoint quarantined", "endpoint", id.Endpoint.String(), "crashes", endpoint.count(), "for", blockedFor)
		}
	}
	return v
}

// add counts a crash under a fingerprint and shares it, unless it is known. It returns the crashes under the fingerprint.
// The caller holds t.mu.
func (t *Table) add(f Fingerprint, crash Crash) (h History, isNew bool) {
	h, isNew = addCrash(t.known[f], crash)
	if isNew {
		t.put(f, h)
		t.shared.Put(keyOf(f, crash), &crash)
	}
	return h, isNew
}

// addCrash adds a crash to a history, or starts a new one if the crashes before are forgotten.
func addCrash(h History, c Crash) (History, bool) {
	if h.isForgotten(time.UnixMilli(c.AtUnixMs)) {
		h = History{}
	}
	return h.with(c)
}

// RecordAnswer clears a request and its endpoint: a back end has run the request and answered it.
func (t *Table) RecordAnswer(id Identity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := t.clear(id.Request); n > 0 {
		t.opts.Logger.Info("request cleared", "fingerprint", id.Request.String(), "crashes", n)
	}
	if n := t.clear(id.Endpoint); n > 0 {
		t.opts.Logger.Info("endpoint cleared", "endpoint", id.Endpoint.String(), "crashes", n)
	}
}

// clear deletes the crashes under a fingerprint, here and in the store, and returns their number. The caller holds t.mu.
func (t *Table) clear(f Fingerprint) int {
	crashes := t.known[f].Crashes
	delete(t.known, f)
	for _, c := range crashes {
		t.shared.Put(keyOf(f, c), nil)
	}
	return len(crashes)
}

// Run shares the crashes with the other instances until ctx ends. onRead is called with the outcome of each read.
func (t *Table) Run(ctx context.Context, onRead func(error)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.shared.Run(ctx, onRead)
	}()
	for timing.Sleep(ctx, cleanupInterval) {
		t.cleanUp(time.Now())
	}
	<-done
}

// cleanUp drops the crashes that are forgotten, and deletes them from the store as far as this instance is responsible.
func (t *Table) cleanUp(now time.Time) {
	t.mu.Lock()
	for f, h := range t.known {
		if h.isForgotten(now) {
			delete(t.known, f)
			delete(t.probes, f)
		}
	}
	t.mu.Unlock()
	t.shared.DeleteIf(func(key string, _ Crash, age time.Duration) bool {
		return age > maxHold+suspicionTime && t.opts.Rank(key) == 0
	})
}
