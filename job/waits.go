package job

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/routes"
	"github.com/cicadasill/cicadasill/timing"
)

// Waits of items for engines and reward calls.
//
// An item waits for a service that the configuration named when the wait began. A later configuration may name another one, give the
// item's route other rules, or have no route for it, and the item may grow so old that it is given up. Each of these ends the wait, and the
// item asks for its route again.

// waitCheckInterval bounds how long a wait outlasts what ends it.
const waitCheckInterval = 50 * time.Millisecond

// Causes with which a wait ends early.
var (
	errRouteChanged = errors.New("the configuration places the item otherwise")
	errAgeReached   = errors.New("the item has reached the age at which it may be given up")
)

// placement is where a request runs by a configuration.
type placement struct {
	config  *routes.Config
	host    string
	path    string
	id      string
	route   *routes.Route
	service string
}

// isSame reports whether a newer configuration places the request at the same service by the same rules.
func (p *placement) isSame(config *routes.Config) bool {
	route, ok := config.Match(p.host, p.path)
	return ok && route.ServiceFor(p.id) == p.service && route.Resumable == p.route.Resumable &&
		route.SingleVersion == p.route.SingleVersion && route.GiveUpAfter == p.route.GiveUpAfter
}

// wait is a wait that a configuration or the time may end.
type wait struct {
	placements []placement
	config     *routes.Config // the newest one under which placements are the same
	until      time.Time      // zero if age does not end the wait
	end        context.CancelCauseFunc
}

// causeToEnd returns why the wait is to end, or nil.
func (w *wait) causeToEnd(config *routes.Config, now time.Time) error {
	if !w.until.IsZero() && now.After(w.until) {
		return errAgeReached
	}
	if config == nil || config == w.config {
		return nil
	}
	for i := range w.placements {
		if p := &w.placements[i]; config != p.config && !p.isSame(config) {
			return errRouteChanged
		}
	}
	w.config = config
	return nil
}

// waits holds the waits of a driver's items.
type waits struct {
	ended *prometheus.CounterVec // by cause

	mu   sync.Mutex // guards open and the waits in it
	open map[*wait]struct{}
}

func newWaits() *waits {
	return &waits{open: map[*wait]struct{}{}, ended: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadasill_item_waits_ended_total",
		Help: "Waits of items for an engine or a reward call that a new configuration or the item's age has ended."}, []string{"cause"})}
}

// begin returns a context for a wait. It ends with ctx, with errRouteChanged once a configuration places one of the requests otherwise,
// and with errAgeReached after until unless that is zero. The caller must call done when it no longer waits.
func (w *waits) begin(ctx context.Context, until time.Time, placements ...placement) (waitCtx context.Context, done func()) {
	waitCtx, cancel := context.WithCancelCause(ctx)
	entry := &wait{placements: placements, until: until, end: cancel}
	w.mu.Lock()
	w.open[entry] = struct{}{}
	w.mu.Unlock()
	return waitCtx, func() {
		w.mu.Lock()
		delete(w.open, entry)
		w.mu.Unlock()
		cancel(nil)
	}
}

// check ends the waits that the configuration or their age does not allow any more. It returns their number by cause.
func (w *waits) check(config *routes.Config, now time.Time) map[error]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ended map[error]int
	for entry := range w.open {
		cause := entry.causeToEnd(config, now)
		if cause == nil {
			continue
		}
		delete(w.open, entry)
		entry.end(cause)
		if ended == nil {
			ended = map[error]int{}
		}
		ended[cause]++
	}
	return ended
}

// runWaits ends waits until ctx ends.
func (d *Driver) runWaits(ctx context.Context) {
	for timing.Sleep(ctx, waitCheckInterval) {
		config := d.opts.Config()
		for cause, count := range d.waits.check(config, time.Now()) {
			d.waits.ended.WithLabelValues(waitCauseLabels[cause]).Add(float64(count))
			d.log.Info("waits of items ended", "count", count, "cause", cause, "config", config.Version)
		}
	}
}

// waitCauseLabels are the values of the label by which the metric of ended waits tells causes apart.
var waitCauseLabels = map[error]string{errRouteChanged: "configuration", errAgeReached: "age"}
