package routing

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/health"
	"github.com/cicadasill/cicadasill/limit"
	"github.com/cicadasill/cicadasill/zone"
)

// drawAttempts is the number of random draws for a ready candidate before all back ends
// are scanned. Most back ends are ready, so a few draws suffice at any size.
const drawAttempts = 4

// Table is the Router over an instance's tracked back ends.
type Table struct {
	opts  Options
	hints *Hints
	turn  atomic.Uint64

	picks   [zone.CrossRegion + 1]prometheus.Counter
	prefix  prometheus.Counter
	refused *prometheus.CounterVec
}

// New returns a router. Its Hints must be given the tracker's cache events.
func New(opts Options) *Table {
	opts.setDefaults()
	t := &Table{opts: opts, hints: NewHints(opts.HintHalfLife, opts.MaxHints)}
	t.registerMetrics()
	return t
}

// Hints returns the router's prefix hints.
func (t *Table) Hints() *Hints { return t.hints }

// SetTracker sets the tracker when it was built after the router, for a tracker whose
// cache events go to the router's hints. It must be called before the first Pick.
func (t *Table) SetTracker(tracker *health.Tracker) { t.opts.Tracker = tracker }

// Ready reports whether the back end may be chosen.
func (t *Table) Ready(id string) bool { return t.opts.Tracker.Ready(id) }

// Pick chooses a back end and takes a slot of its concurrency limit. The returned Pick's
// Done must be called once. The error is a *NoBackend.
func (t *Table) Pick(req Request) (Pick, error) {
	all := t.opts.Tracker.Service(req.Service.Name)
	c := chooser{table: t, req: &req, all: all, now: time.Now()}
	if req.PrefixID != "" {
		c.holders, c.holderCount = t.hints.Holders(req.Service.Name, req.PrefixID)
	}
	b := c.choose()
	if b == nil || !b.Limit.TryAcquireShare(b.Share(c.now)) {
		b = c.leastCostWithSlot()
	}
	if b == nil {
		return Pick{}, t.refuse(&c)
	}
	return t.picked(&c, b), nil
}

func (t *Table) picked(c *chooser, b *health.Backend) Pick {
	wait := b.ExpectedWait()
	b.RecordSent()
	hit := c.saved(b) > 0
	if t.picks[0] != nil {
		t.picks[t.opts.Zone.DistanceTo(b.Zone)].Inc()
		if hit {
			t.prefix.Inc()
		}
	}
	return Pick{
		Backend: b.Backend, Wait: wait, PrefixHinted: hit,
		state: b, table: t, service: c.req.Service.Name, prefix: c.req.PrefixID,
	}
}

// refuse finds the reason for which no back end was chosen.
func (t *Table) refuse(c *chooser) error {
	reason, wait := NoneReady, time.Second
	ready, versioned, untried := 0, 0, 0
	for _, b := range c.all {
		if t.opts.Tracker.StateOf(b) != health.Ready {
			continue
		}
		ready++
		if !b.HasMinVersion(c.req.MinVersion) {
			continue
		}
		versioned++
		if c.allowed(b) {
			untried++
		}
	}
	switch {
	case len(c.all) == 0:
		reason = NoneConfigured
	case ready == 0:
	case versioned == 0:
		reason = NoVersion
	case untried == 0 && c.req.Only == "":
		reason = AllTried
	case untried > 0:
		reason, wait = AtLimit, 0
	}
	if t.refused != nil {
		t.refused.WithLabelValues(c.req.Service.Name, string(reason)).Inc()
	}
	return &NoBackend{Reason: reason, RetryAfter: limit.RetryAfter(wait)}
}

func (t *Table) registerMetrics() {
	if t.opts.Registerer == nil {
		return
	}
	picks := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadasill_routing_picks_total", Help: "Back ends chosen, by distance.",
	}, []string{"distance"})
	for d := range t.picks {
		t.picks[d] = picks.WithLabelValues(zone.Distance(d).String())
	}
	t.prefix = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cicadasill_routing_prefix_hints_used_total", Help: "Choices of a back end hinted to hold the request's prefix.",
	})
	t.refused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadasill_routing_refused_total", Help: "Requests for which no back end could be chosen, by reason.",
	}, []string{"service", "reason"})
	t.opts.Registerer.MustRegister(picks, t.prefix, t.refused)
}

// chooser is one choice.
type chooser struct {
	table       *Table
	req         *Request
	all         []*health.Backend
	now         time.Time
	holders     [holdersPerPrefix]Holder
	holderCount int
}

func (c *chooser) allowed(b *health.Backend) bool {
	if c.req.Only != "" && b.ID != c.req.Only {
		return false
	}
	return !slices.Contains(c.req.Exclude, b.ID)
}

// eligible reports whether b may get the request.
func (c *chooser) eligible(b *health.Backend) bool {
	return c.allowed(b) && c.table.opts.Tracker.StateOf(b) == health.Ready && b.HasMinVersion(c.req.MinVersion)
}

// choose applies the policy. It returns nil when no back end is eligible.
func (c *chooser) choose() *health.Backend {
	if len(c.all) == 0 {
		return nil
	}
	switch c.table.opts.Policy {
	case RoundRobin:
		return c.roundRobin()
	case LeastLoaded:
		return c.least(c.all, c.wait)
	case TwoChoices:
		pair := [2]*health.Backend{c.draw(), c.draw()}
		return c.least(pair[:], c.wait)
	default:
		return c.byCost()
	}
}

func (c *chooser) roundRobin() *health.Backend {
	start := int(c.table.turn.Add(1) % uint64(len(c.all)))
	for i := range c.all {
		if b := c.all[(start+i)%len(c.all)]; c.eligible(b) {
			return b
		}
	}
	return nil
}

// byCost compares two random candidates and the holders of the prefix.
func (c *chooser) byCost() *health.Backend {
	var candidates [2 + holdersPerPrefix]*health.Backend
	candidates[0], candidates[1] = c.drawNear(), c.draw()
	n := 2
	for i := range c.holderCount {
		if b, ok := c.table.opts.Tracker.Backend(c.holders[i].Backend); ok && b.Service == c.req.Service.Name && c.eligible(b) {
			candidates[n] = b
			n++
		}
	}
	return c.least(candidates[:n], c.cost)
}

// drawNear returns a random eligible back end, of the own region if a few draws find one.
// Two draws from anywhere would compare two far back ends in a part of the choices.
func (c *chooser) drawNear() *health.Backend {
	for range drawAttempts {
		b := c.all[c.table.opts.IntN(len(c.all))]
		if b.Zone.Region == c.table.opts.Zone.Region && c.eligible(b) {
			return b
		}
	}
	return c.draw()
}

// draw returns a random eligible back end, or nil if there is none.
func (c *chooser) draw() *health.Backend {
	intN := c.table.opts.IntN
	for range drawAttempts {
		if b := c.all[intN(len(c.all))]; c.eligible(b) {
			return b
		}
	}
	start := intN(len(c.all))
	for i := range c.all {
		if b := c.all[(start+i)%len(c.all)]; c.eligible(b) {
			return b
		}
	}
	return nil
}

// least returns the eligible back end of the lowest value; equal values go to the first.
func (c *chooser) least(from []*health.Backend, value func(*health.Backend) float64) *health.Backend {
	var best *health.Backend
	var lowest float64
	for _, b := range from {
		if b == nil || b == best || !c.eligible(b) {
			continue
		}
		if v := value(b); best == nil || v < lowest {
			best, lowest = b, v
		}
	}
	return best
}

// leastCostWithSlot scans all back ends when the chosen one is at its limit.
func (c *chooser) leastCostWithSlot() *health.Backend {
	var best *health.Backend
	lowest := 0.0
	for _, b := range c.all {
		if !c.eligible(b) || b.Limit.InFlight() >= max(1, int(float64(b.Limit.Limit())*b.Share(c.now))) {
			continue
		}
		if v := c.cost(b); best == nil || v < lowest {
			best, lowest = b, v
		}
	}
	if best == nil || !best.Limit.TryAcquireShare(best.Share(c.now)) {
		return nil
	}
	return best
}

func (c *chooser) wait(b *health.Backend) float64 { return milliseconds(b.ExpectedWait()) }

// cost returns the cost of b in milliseconds.
func (c *chooser) cost(b *health.Backend) float64 {
	return milliseconds(b.ExpectedWait()) - c.saved(b) + c.link(b)
}

// saved returns the milliseconds of prefill that a cached prefix probably saves. A cache
// entry of another version is not reused by engines.
func (c *chooser) saved(b *health.Backend) float64 {
	for i := range c.holderCount {
		h := &c.holders[i]
		if h.Backend == b.ID && h.Version == b.Version() {
			return 1000 * h.Strength * float64(c.req.PromptTokens) / c.table.opts.PrefillTokensPerS
		}
	}
	return 0
}

// link returns the cost in milliseconds of reaching b.
func (c *chooser) link(b *health.Backend) float64 {
	o := &c.table.opts
	switch o.Zone.DistanceTo(b.Zone) {
	case zone.SameDataCentre:
		return 0
	case zone.SameRegion:
		return milliseconds(o.SameRegion)
	default:
		return milliseconds(o.CrossRegion) + float64(c.req.Bytes)/1e6*milliseconds(o.PricePerMB)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
