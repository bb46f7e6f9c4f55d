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

// maxRandomDraws is the number of random draws for an eligible back end before all back ends are
// scanned. Most back ends are ready, so a few draws suffice for a service of any size.
const maxRandomDraws = 4

// BackendRouter implements Router over the back ends of a health.Tracker.
type BackendRouter struct {
	opts           Options
	hints          *Hints
	roundRobinNext atomic.Uint64

	picksByDistance [zone.CrossRegion + 1]prometheus.Counter
	prefixHintsUsed prometheus.Counter
	refusals        *prometheus.CounterVec
}

// New returns a router. The caller must pass the tracker's cache events to its Hints.
func New(opts Options) *BackendRouter {
	opts.setDefaults()
	r := &BackendRouter{opts: opts, hints: NewHints(opts.HintHalfLife, opts.MaxHintedPrefixes)}
	r.registerMetrics()
	return r
}

// Hints returns the router's prefix hints.
func (r *BackendRouter) Hints() *Hints { return r.hints }

// SetTracker sets the tracker. It serves a tracker that is created after the router because its
// cache events go to the router's hints. It must be called before the first Pick.
func (r *BackendRouter) SetTracker(tracker *health.Tracker) { r.opts.Tracker = tracker }

// Ready reports whether the back end is ready for new requests.
func (r *BackendRouter) Ready(id string) bool { return r.opts.Tracker.Ready(id) }

// Pick implements Router. If the back end chosen by the policy is at its limit, Pick takes the one
// of the lowest cost that has a free slot.
func (r *BackendRouter) Pick(req Request) (Pick, error) {
	all := r.opts.Tracker.ServiceBackends(req.Service.Name)
	c := choice{router: r, req: &req, backends: all, now: time.Now()}
	if req.PrefixID != "" {
		c.holders, c.holderCount = r.hints.Holders(req.Service.Name, req.PrefixID)
	}
	b := c.choose()
	if b == nil || !b.Limit.TryAcquireShare(b.Share(c.now)) {
		b = c.lowestCostWithSlot()
	}
	if b == nil {
		return Pick{}, r.noBackendError(&c)
	}
	return r.newPick(&c, b), nil
}

// newPick records the choice of b in b's load and in the metrics, and returns the Pick.
func (r *BackendRouter) newPick(c *choice, b *health.Backend) Pick {
	wait := b.ExpectedWait()
	b.RecordSent()
	hinted := c.prefillSavedMs(b) > 0
	if r.picksByDistance[0] != nil {
		r.picksByDistance[r.opts.Zone.DistanceTo(b.Zone)].Inc()
		if hinted {
			r.prefixHintsUsed.Inc()
		}
	}
	return Pick{
		Backend: b.Backend, Wait: wait, PrefixHinted: hinted,
		tracked: b, router: r, service: c.req.Service.Name, prefix: c.req.PrefixID,
	}
}

// noBackendError returns a *NoBackend with the reason why no back end was chosen, and counts it.
func (r *BackendRouter) noBackendError(c *choice) error {
	reason, wait := NoneReady, time.Second
	ready, withVersion, untried := 0, 0, 0
	for _, b := range c.backends {
		if r.opts.Tracker.StateOf(b) != health.Ready {
			continue
		}
		ready++
		if !b.HasMinVersion(c.req.MinVersion) {
			continue
		}
		withVersion++
		if c.allowed(b) {
			untried++
		}
	}
	switch {
	case len(c.backends) == 0:
		reason = NoneConfigured
	case ready == 0:
	case withVersion == 0:
		reason = NoVersion
	case untried == 0 && c.req.Only == "":
		reason = AllTried
	case untried > 0:
		reason, wait = AtLimit, 0
	}
	if r.refusals != nil {
		r.refusals.WithLabelValues(c.req.Service.Name, string(reason)).Inc()
	}
	return &NoBackend{Reason: reason, RetryAfter: limit.RetryAfter(wait)}
}

func (r *BackendRouter) registerMetrics() {
	if r.opts.Registerer == nil {
		return
	}
	picks := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadasill_routing_picks_total", Help: "Back ends chosen, by distance from this instance.",
	}, []string{"distance"})
	for d := range r.picksByDistance {
		r.picksByDistance[d] = picks.WithLabelValues(zone.Distance(d).String())
	}
	r.prefixHintsUsed = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cicadasill_routing_prefix_hints_used_total", Help: "Choices of a back end that holds the request's prefix according to a hint.",
	})
	r.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadasill_routing_refused_total", Help: "Requests for which no back end could be chosen, by reason.",
	}, []string{"service", "reason"})
	r.opts.Registerer.MustRegister(picks, r.prefixHintsUsed, r.refusals)
}

// choice holds the input of one Pick.
type choice struct {
	router      *BackendRouter
	req         *Request
	backends    []*health.Backend
	now         time.Time
	holders     [maxHoldersPerPrefix]Holder
	holderCount int
}

// allowed reports whether the request's Only and Exclude permit b.
func (c *choice) allowed(b *health.Backend) bool {
	if c.req.Only != "" && b.ID != c.req.Only {
		return false
	}
	return !slices.Contains(c.req.Exclude, b.ID)
}

// eligible reports whether b may get the request: it is allowed, ready and has the required version.
func (c *choice) eligible(b *health.Backend) bool {
	return c.allowed(b) && c.router.opts.Tracker.StateOf(b) == health.Ready && b.HasMinVersion(c.req.MinVersion)
}

// choose returns the back end chosen by the policy, or nil if none is eligible.
func (c *choice) choose() *health.Backend {
	if len(c.backends) == 0 {
		return nil
	}
	switch c.router.opts.Policy {
	case RoundRobin:
		return c.roundRobin()
	case LeastLoaded:
		return c.lowestBy(c.backends, c.waitMs)
	case TwoChoices:
		pair := [2]*health.Backend{c.draw(), c.draw()}
		return c.lowestBy(pair[:], c.waitMs)
	default:
		return c.lowestCost()
	}
}

// roundRobin returns the next eligible back end in turn.
func (c *choice) roundRobin() *health.Backend {
	start := int(c.router.roundRobinNext.Add(1) % uint64(len(c.backends)))
	for i := range c.backends {
		if b := c.backends[(start+i)%len(c.backends)]; c.eligible(b) {
			return b
		}
	}
	return nil
}

// lowestCost returns the back end of the lowest cost among two random ones, the first of this
// instance's region if possible, and the probable holders of the request's prefix.
func (c *choice) lowestCost() *health.Backend {
	var candidates [2 + maxHoldersPerPrefix]*health.Backend
	candidates[0], candidates[1] = c.drawFromRegion(), c.draw()
	n := 2
	for i := range c.holderCount {
		if b, ok := c.router.opts.Tracker.Backend(c.holders[i].Backend); ok && b.Service == c.req.Service.Name && c.eligible(b) {
			candidates[n] = b
			n++
		}
	}
	return c.lowestBy(candidates[:n], c.costMs)
}

// drawFromRegion returns a random eligible back end of this instance's region, or of any region if
// maxRandomDraws draws find none. With two draws from all regions, some choices would compare only
// back ends of other regions.
func (c *choice) drawFromRegion() *health.Backend {
	for range maxRandomDraws {
		b := c.backends[c.router.opts.IntN(len(c.backends))]
		if b.Zone.Region == c.router.opts.Zone.Region && c.eligible(b) {
			return b
		}
	}
	return c.draw()
}

// draw returns a random eligible back end, or nil if there is none.
func (c *choice) draw() *health.Backend {
	intN := c.router.opts.IntN
	for range maxRandomDraws {
		if b := c.backends[intN(len(c.backends))]; c.eligible(b) {
			return b
		}
	}
	start := intN(len(c.backends))
	for i := range c.backends {
		if b := c.backends[(start+i)%len(c.backends)]; c.eligible(b) {
			return b
		}
	}
	return nil
}

// lowestBy returns the eligible candidate of the lowest value, or nil if none is eligible. Of equal
// values the first wins.
func (c *choice) lowestBy(candidates []*health.Backend, value func(*health.Backend) float64) *health.Backend {
	var best *health.Backend
	var lowest float64
	for _, b := range candidates {
		if b == nil || b == best || !c.eligible(b) {
			continue
		}
		if v := value(b); best == nil || v < lowest {
			best, lowest = b, v
		}
	}
	return best
}

// lowestCostWithSlot reserves a slot at the eligible back end of the lowest cost that is below its
// concurrency limit, and returns it. It returns nil if there is none or if another request took the
// last slot.
func (c *choice) lowestCostWithSlot() *health.Backend {
	var best *health.Backend
	lowest := 0.0
	for _, b := range c.backends {
		if !c.eligible(b) || b.Limit.InFlight() >= max(1, int(float64(b.Limit.Limit())*b.Share(c.now))) {
			continue
		}
		if v := c.costMs(b); best == nil || v < lowest {
			best, lowest = b, v
		}
	}
	if best == nil || !best.Limit.TryAcquireShare(best.Share(c.now)) {
		return nil
	}
	return best
}

// waitMs returns the expected wait at b in milliseconds.
func (c *choice) waitMs(b *health.Backend) float64 { return milliseconds(b.ExpectedWait()) }

// costMs returns the cost of sending the request to b in milliseconds.
func (c *choice) costMs(b *health.Backend) float64 {
	return milliseconds(b.ExpectedWait()) - c.prefillSavedMs(b) + c.networkCostMs(b)
}

// prefillSavedMs returns the expected prefill time, in milliseconds, that a cached prefix saves at b.
// An engine does not reuse a cache entry of another weight version.
func (c *choice) prefillSavedMs(b *health.Backend) float64 {
	for i := range c.holderCount {
		h := &c.holders[i]
		if h.Backend == b.ID && h.Version == b.Version() {
			return 1000 * h.Strength * float64(c.req.PromptTokens) / c.router.opts.PrefillTokensPerS
		}
	}
	return 0
}

// networkCostMs returns the cost of the network between this instance and b in milliseconds.
func (c *choice) networkCostMs(b *health.Backend) float64 {
	o := &c.router.opts
	switch o.Zone.DistanceTo(b.Zone) {
	case zone.SameDataCentre:
		return 0
	case zone.SameRegion:
		return milliseconds(o.SameRegionRTT)
	default:
		return milliseconds(o.CrossRegionRTT) + float64(c.req.Bytes)/1e6*milliseconds(o.CrossRegionCostPerMB)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
