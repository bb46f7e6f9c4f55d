package health

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/timing"
)

// pollLoop polls b until ctx ends. A back end outside the subset is polled only while this
// instance is its observer.
func (t *Tracker) pollLoop(ctx context.Context, b *Backend) {
	demand := t.demand.forService(b.Service)
	for ctx.Err() == nil {
		// The channel is taken before the poll, so that a request during the poll is not missed.
		activated := demand.activated()
		if b.routed.Load() || t.isObserver(b.Backend) {
			t.poll(ctx, b)
		}
		t.waitForNextPoll(ctx, b, demand, activated)
	}
}

// poll polls b once and stores the result. It logs a change of the state, reports a leaving back end
// to the peers, and signals a back end that became ready.
func (t *Tracker) poll(ctx context.Context, b *Backend) {
	oldState := t.StateOf(b)
	pollCtx, cancel := context.WithTimeout(ctx, t.opts.PollTimeout)
	defer cancel()
	report, err := t.fetchReport(pollCtx, b)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		b.mu.Lock()
		b.pollFailures++
		b.mu.Unlock()
	} else {
		b.storeReport(report, time.Now())
	}
	newState := t.StateOf(b)
	if oldState == newState {
		return
	}
	t.log.Info("back end state changed", "backend", b.ID, "from", oldState, "to", newState, "err", err)
	// The state may also have changed because of another source while the poll was in flight.
	if err == nil && report.Leaving && t.opts.ReportLeaving != nil {
		t.opts.ReportLeaving(b.ID)
	}
	if newState == Ready {
		t.notifyReady()
	}
}

// fetchReport requests the load report of an engine, and its cache events if they are needed, or the
// health of a plain service.
func (t *Tracker) fetchReport(ctx context.Context, b *Backend) (platform.LoadReport, error) {
	if b.Kind == machine.Plain {
		leaving, err := t.opts.Plain.Health(ctx, b.Addr)
		return platform.LoadReport{Leaving: leaving, MeasuredAt: time.Now()}, err
	}
	report, err := t.opts.Engine.Load(ctx, b.Addr)
	if err == nil && t.opts.CacheEvents != nil && t.needsCacheEvents(b) {
		t.pollCacheEvents(ctx, b)
	}
	return report, err
}

// needsCacheEvents reports whether to poll the cache events of b. While this instance has no requests
// for the service, it does not: the hints would decay before they are used.
func (t *Tracker) needsCacheEvents(b *Backend) bool {
	return t.opts.Observes == nil || t.demand.forService(b.Service).active(time.Now(), t.opts.ActiveWindow)
}

// pollCacheEvents passes new cache events to Options.CacheEvents. It ignores errors, since a lost
// event only makes the prefix hints less accurate.
func (t *Tracker) pollCacheEvents(ctx context.Context, b *Backend) {
	events, err := t.opts.Engine.CacheEvents(ctx, b.Addr, b.cacheSeq)
	if err != nil || len(events) == 0 {
		return
	}
	gap := false
	for _, e := range events {
		gap = gap || e.Seq != b.cacheSeq+1
		b.cacheSeq = max(b.cacheSeq, e.Seq)
	}
	t.opts.CacheEvents(b, events, gap)
}

// watchLeavingSources reads the peers' reports and the instance list for leaving back ends until ctx
// ends.
func (t *Tracker) watchLeavingSources(ctx context.Context) {
	var lastListRead time.Time
	for ctx.Err() == nil {
		if t.opts.PeersLeaving != nil {
			for _, id := range t.opts.PeersLeaving() {
				if b, ok := t.Backend(id); ok && b.markLeaving(time.Now().Add(t.opts.PollInterval)) {
					t.log.Info("back end is leaving", "backend", id, "source", "peers")
				}
			}
		}
		if t.opts.List != nil && time.Since(lastListRead) >= t.opts.PollInterval {
			lastListRead = time.Now()
			t.readInstanceList(ctx)
		}
		timing.Sleep(ctx, min(leavingSourceInterval, t.opts.PollInterval))
	}
}

// readInstanceList updates which back ends are leaving according to the instance list. On an error
// it keeps the previous states.
func (t *Tracker) readInstanceList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.opts.PollTimeout)
	defer cancel()
	list, err := t.opts.List.List(ctx)
	if err != nil {
		return
	}
	for _, listed := range list {
		if b, ok := t.Backend(listed.ID); ok {
			b.mu.Lock()
			b.listLeaving = listed.State == platform.Leaving
			b.mu.Unlock()
		}
	}
}

// jitter returns d, randomly changed by up to pollJitter in either direction.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - pollJitter + 2*pollJitter*rand.Float64()))
}
