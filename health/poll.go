package health

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/timing"
)

// follow polls one back end until ctx ends. A back end outside the subset is polled only
// while this instance observes it.
func (t *Tracker) follow(ctx context.Context, b *Backend) {
	demand := t.demand.of(b.Service)
	for ctx.Err() == nil {
		// Taken before the poll, so that a request during the poll is not missed.
		woken := demand.woken()
		if b.routed.Load() || t.isObserver(b.Backend) {
			t.poll(ctx, b)
		}
		t.untilNextPoll(ctx, b, demand, woken)
	}
}

func (t *Tracker) poll(ctx context.Context, b *Backend) {
	before := t.StateOf(b)
	attempt, cancel := context.WithTimeout(ctx, t.opts.PollTimeout)
	defer cancel()
	report, err := t.ask(attempt, b)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		b.mu.Lock()
		b.pollFailures++
		b.mu.Unlock()
	} else {
		b.observeReport(report, time.Now())
	}
	after := t.StateOf(b)
	if before == after {
		return
	}
	t.log.Info("back end state changed", "backend", b.ID, "from", before, "to", after, "err", err)
	if after == Leaving && t.opts.ReportLeaving != nil {
		t.opts.ReportLeaving(b.ID)
	}
	if after == Ready {
		t.notify()
	}
}

func (t *Tracker) ask(ctx context.Context, b *Backend) (platform.LoadReport, error) {
	if b.Kind == machine.Plain {
		leaving, err := t.opts.Plain.Health(ctx, b.Addr)
		return platform.LoadReport{Leaving: leaving, MeasuredAt: time.Now()}, err
	}
	report, err := t.opts.Engine.Load(ctx, b.Addr)
	if err == nil && t.opts.CacheEvents != nil && t.needsHints(b) {
		t.pollCache(ctx, b)
	}
	return report, err
}

// needsHints reports whether cache events of b are worth a request: hints of a service that is
// not in use would have decayed before they are used.
func (t *Tracker) needsHints(b *Backend) bool {
	return t.opts.Observes == nil || t.demand.of(b.Service).active(time.Now(), t.opts.ActiveFor)
}

// pollCache passes on new cache events. A failure costs only hints.
func (t *Tracker) pollCache(ctx context.Context, b *Backend) {
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

// followSources reads the peers' reports and the instance list until ctx ends.
func (t *Tracker) followSources(ctx context.Context) {
	var listed time.Time
	for ctx.Err() == nil {
		if t.opts.PeersLeaving != nil {
			for _, id := range t.opts.PeersLeaving() {
				if b, ok := t.Backend(id); ok && b.holdLeaving(time.Now().Add(t.opts.PollPeriod)) {
					t.log.Info("back end is leaving", "backend", id, "source", "peers")
				}
			}
		}
		if t.opts.List != nil && time.Since(listed) >= t.opts.PollPeriod {
			listed = time.Now()
			t.readList(ctx)
		}
		timing.Sleep(ctx, min(sourcePeriod, t.opts.PollPeriod))
	}
}

func (t *Tracker) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.opts.PollTimeout)
	defer cancel()
	list, err := t.opts.List.List(ctx)
	if err != nil {
		return
	}
	for _, l := range list {
		if b, ok := t.Backend(l.ID); ok {
			b.mu.Lock()
			b.listLeaving = l.State == platform.Leaving
			b.mu.Unlock()
		}
	}
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - pollJitter + 2*pollJitter*rand.Float64()))
}
