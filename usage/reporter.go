package usage

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/timing"
)

// Intervals and limits of a Reporter.
const (
	// stepInterval is the pause between looks at what is to be sealed and sent.
	stepInterval = 100 * time.Millisecond
	// readPause is the pause between the holder's reads of the records.
	readPause = 300 * time.Millisecond
	// lingerTime is how long the holder goes on reading after it has lost the duty: a renewal that is late must not cost a load.
	lingerTime = 2 * time.Second
	// storeTimeout bounds a read or commit with its repeats.
	storeTimeout = 3 * time.Second
	// minCallTimeout and maxCallTimeout bound a call of the platform, which may be many times slower than usual. The bound doubles after
	// each call without an answer.
	minCallTimeout = 2 * time.Second
	maxCallTimeout = 8 * time.Second
	// minRetryPause and maxRetryPause bound the pause after a call that was not confirmed.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 2 * time.Second
	// maxRejections is the time for which a report is repeated that the platform definitely refuses. Later reports wait behind it.
	maxRejections = time.Minute
	// dutyPollInterval is how often a call under way looks whether the duty is still held.
	dutyPollInterval = 50 * time.Millisecond
	// callFraction is the fraction of the permitted calls that reports use at most.
	callFraction = 0.5
	// cleanupInterval is the time between deletions of counts, and cleanupKeys the number of keys in one of them.
	cleanupInterval = 5 * time.Second
	cleanupKeys     = 500
)

// Duty is the exclusive right to send reports.
type Duty interface {
	// Fence returns the fencing token, or an error if this instance does not hold the duty.
	Fence() (int64, error)
	// Invalidate ends this instance's hold of the duty under a fencing token that the platform has refused for a higher one.
	Invalidate(fence int64)
}

// Platform takes reports.
type Platform interface {
	// ReportUsage sends a report. After an error the report may still have been accepted, also later. It fails with ErrFenced if the
	// platform has seen a higher fencing token, and with ErrRejected if it will never accept this report.
	ReportUsage(ctx context.Context, r Report, fence int64) error
}

// ReporterOptions configure a Reporter.
type ReporterOptions struct {
	Self     machine.Ref
	Windows  Windows
	Clock    Clock
	Log      changelog.Log
	Duty     Duty
	Platform Platform
	// CallsPerS is the number of calls a second that the platform takes for a duty.
	CallsPerS  float64
	Logger     *log.Logger
	Registerer prometheus.Registerer
}

// Reporter seals and reports the windows while this instance holds the duty.
type Reporter struct {
	opts    ReporterOptions
	log     *log.Logger
	metrics reporterMetrics
	calls   *rate.Limiter
}

// NewReporter returns a Reporter that does nothing until Run is called, and registers its metrics.
func NewReporter(opts ReporterOptions) *Reporter {
	return &Reporter{
		opts: opts, log: opts.Logger, metrics: newReporterMetrics(opts.Registerer),
		calls: rate.NewLimiter(rate.Limit(callFraction*opts.CallsPerS), 1),
	}
}

// Run seals and reports windows until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for timing.Sleep(ctx, stepInterval) {
		if _, err := r.opts.Duty.Fence(); err == nil {
			r.runTerm(ctx)
			r.metrics.oldestUnsent.Set(0)
		}
	}
}

// runTerm seals and reports windows until the duty has been lost for lingerTime or ctx ends.
func (r *Reporter) runTerm(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := newTerm(r)
	var tasks conc.WaitGroup
	for _, replica := range []*changelog.Replica{t.counts, t.windows} {
		tasks.Go(func() {
			replica.Follow(ctx, changelog.ConstantWait(0), func() time.Duration { return readPause }, t.recordRead)
		})
	}
	tasks.Go(func() { t.send(ctx) })
	heldAt := timing.SinceBoot()
	for timing.Sleep(ctx, stepInterval) {
		if _, err := r.opts.Duty.Fence(); err != nil {
			if timing.SinceBoot()-heldAt > lingerTime {
				break
			}
			continue
		}
		heldAt = timing.SinceBoot()
		t.seal(ctx)
	}
	cancel()
	tasks.Wait()
}

// term is the time in which this instance holds the duty.
type term struct {
	*Reporter
	ledger  *sharedLedger
	counts  *changelog.Replica
	windows *changelog.Replica

	mu          sync.Mutex // guards steadySince
	steadySince time.Duration

	cleanedAt time.Duration
}

func newTerm(r *Reporter) *term {
	t := &term{Reporter: r, ledger: &sharedLedger{log: r.log, ledger: newLedger()}, steadySince: timing.SinceBoot()}
	t.counts = changelog.NewReplica(r.opts.Log, changelog.Partition{Topic: countsTopic}, countsState{t.ledger})
	t.windows = changelog.NewReplica(r.opts.Log, changelog.Partition{Topic: windowsTopic}, windowsState{t.ledger})
	return t
}

// recordRead records the outcome of a read.
func (t *term) recordRead(err error) {
	if err == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.steadySince = timing.SinceBoot()
}

// steadyFor returns the time since the last failed read.
func (t *term) steadyFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return timing.SinceBoot() - t.steadySince
}

// seal seals the windows that are due, and deletes counts that are no longer needed.
func (t *term) seal(ctx context.Context) {
	if !t.counts.HasRead() || !t.windows.HasRead() {
		return
	}
	now, steadyFor := t.opts.Clock.Now(), t.steadyFor()
	t.ledger.mu.Lock()
	begun := t.ledger.begun
	_, due := t.ledger.first(t.opts.Windows, now, steadyFor)
	if begun {
		due = len(t.ledger.toSeal(t.opts.Windows, now, steadyFor)) > 0
		t.metrics.oldestUnsent.Set(max(0, now.Sub(t.opts.Windows.End(t.ledger.sentThrough+1)).Seconds()))
	}
	t.ledger.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if !due {
		t.cleanUp(ctx)
		return
	}
	// A record whose append was confirmed before now has to be counted.
	if err := t.counts.Sync(ctx); err != nil {
		t.log.Warn("usage windows not sealed", "err", err)
		t.recordRead(err)
		return
	}
	var sealed []Report
	_, err := t.windows.Commit(ctx, func() []changelog.Record {
		t.ledger.mu.Lock()
		defer t.ledger.mu.Unlock()
		if !t.ledger.begun {
			before, _ := t.ledger.first(t.opts.Windows, now, steadyFor)
			return t.encode(sentRecord(before))
		}
		sealed = t.ledger.toSeal(t.opts.Windows, now, steadyFor)
		var records []changelog.Record
		for _, report := range sealed {
			records = append(records, t.encode(sealRecord(report, t.opts.Self.String()))...)
		}
		return records
	})
	if err != nil {
		t.log.Warn("usage windows not sealed", "err", err)
		return
	}
	for _, report := range sealed {
		t.metrics.windows.WithLabelValues(windowSealed).Inc()
		t.log.Info("usage window sealed", "window", report.Window, "accounts", len(report.Counts), "requests", total(report))
	}
}

// encode returns a list of one record, or none after it has logged the error.
func (t *term) encode(record changelog.Record, err error) []changelog.Record {
	if err != nil {
		t.log.Error("cannot encode usage record", "err", err)
		return nil
	}
	return []changelog.Record{record}
}

// cleanUp deletes counts that are in a report that has been sent.
func (t *term) cleanUp(ctx context.Context) {
	now := timing.SinceBoot()
	if now-t.cleanedAt < cleanupInterval {
		return
	}
	t.cleanedAt = now
	t.ledger.mu.Lock()
	keys := t.ledger.obsolete(cleanupKeys)
	t.ledger.mu.Unlock()
	if len(keys) == 0 {
		return
	}
	var records []changelog.Record
	for _, key := range keys {
		records = append(records, changelog.Record{Key: key})
	}
	if err := changelog.AppendWithRetry(ctx, t.opts.Log, changelog.Partition{Topic: countsTopic}, records); err != nil {
		t.log.Warn("usage counts not deleted", "err", err)
	}
}

// send sends the sealed reports, one after the other, until ctx ends.
func (t *term) send(ctx context.Context) {
	pauses := &backoff.ExponentialBackOff{InitialInterval: minRetryPause, Multiplier: 2, MaxInterval: maxRetryPause}
	pauses.Reset()
	timeout := minCallTimeout
	confirmed := int64(0) // the newest window that the platform has confirmed to this instance
	var rejectedAt time.Duration
	for timing.Sleep(ctx, stepInterval) {
		t.ledger.mu.Lock()
		marked := t.ledger.sentThrough
		report, found := t.ledger.next(max(marked, confirmed))
		t.ledger.mu.Unlock()
		if confirmed > marked {
			t.markSent(ctx, confirmed)
		}
		fence, err := t.opts.Duty.Fence()
		if !found || err != nil || t.calls.Wait(ctx) != nil {
			continue
		}
		start := timing.SinceBoot()
		err = t.call(ctx, timeout, report, fence)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrRejected) {
			if rejectedAt == 0 {
				rejectedAt = start
			}
			if start-rejectedAt > maxRejections {
				t.metrics.windows.WithLabelValues(windowRejected).Inc()
				t.log.Error("usage report given up", "window", report.Window, "requests", total(report), "err", err)
				confirmed, rejectedAt = report.Window, 0
				continue
			}
		} else {
			rejectedAt = 0
		}
		t.metrics.calls.WithLabelValues(callOutcome(err)).Inc()
		if err == nil {
			confirmed = report.Window
			t.recordSent(report, fence, timing.SinceBoot()-start)
			pauses.Reset()
			timeout = minCallTimeout
			continue
		}
		t.log.Warn("usage report not confirmed", "window", report.Window, "requests", total(report), "fence", fence, "err", err)
		if errors.Is(err, ErrFenced) {
			t.opts.Duty.Invalidate(fence)
		}
		if errors.Is(err, context.DeadlineExceeded) {
			timeout = min(2*timeout, maxCallTimeout)
		}
		timing.Sleep(ctx, pauses.NextBackOff())
	}
}

// recordSent records that the platform has confirmed a report.
func (t *term) recordSent(report Report, fence int64, took time.Duration) {
	late := t.opts.Clock.Now().Sub(t.opts.Windows.DueAt(report.Window))
	t.metrics.windows.WithLabelValues(windowSent).Inc()
	if late > 0 {
		t.metrics.windows.WithLabelValues(windowLate).Inc()
	}
	t.log.Info("usage report sent", "window", report.Window, "accounts", len(report.Counts), "requests", total(report),
		"holder", t.opts.Self.ID, "fence", fence, "took", took, "late", max(0, late))
}

// call sends a report and gives up when the duty is lost.
func (t *term) call(ctx context.Context, timeout time.Duration, report Report, fence int64) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	done := make(chan struct{})
	defer func() { <-done }()
	callCtx, cancelCall := context.WithCancel(ctx)
	defer cancelCall()
	go func() {
		defer close(done)
		for timing.Sleep(callCtx, dutyPollInterval) {
			if held, err := t.opts.Duty.Fence(); err != nil || held != fence {
				cancelCall()
				return
			}
		}
	}()
	return t.opts.Platform.ReportUsage(callCtx, report, fence)
}

// markSent records that the windows up to the given one are sent.
func (t *term) markSent(ctx context.Context, window int64) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := t.windows.Commit(ctx, func() []changelog.Record {
		t.ledger.mu.Lock()
		defer t.ledger.mu.Unlock()
		if t.ledger.sentThrough >= window {
			return nil
		}
		records := t.encode(sentRecord(window))
		for sealed := range t.ledger.sealed {
			if sealed <= window {
				records = append(records, changelog.Record{Key: sealedKey(sealed)})
			}
		}
		return records
	})
	if err != nil {
		t.log.Warn("usage report not marked as sent", "window", window, "err", err)
	}
}

// total returns the number of requests in a report.
func total(r Report) int64 {
	sum := int64(0)
	for _, n := range r.Counts {
		sum += n
	}
	return sum
}
