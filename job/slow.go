package job

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/balance"
)

// slowSpells holds the slow spells of a service's engines.
type slowSpells = balance.Spells[*backends.Backend]

// speed is how fast an engine is expected to be.
type speed struct {
	interval time.Duration // between two events; 0 if unknown
	rest     time.Duration // for which the interval holds
}

// track observes the candidates and judges their slow spells by spells from now on.
func (e *pool) track(spells *slowSpells) {
	e.spells = spells
	observe(spells, e.candidates, e.fastInterval)
}

// observe records the event intervals of a service's engines, of which fastInterval is a fast one.
func observe(spells *slowSpells, candidates []backends.Candidate, fastInterval time.Duration) {
	if fastInterval == 0 {
		return
	}
	var observations []balance.Observation[*backends.Backend]
	for _, c := range candidates {
		if c.EventInterval > 0 {
			observations = append(observations, balance.Observation[*backends.Backend]{
				Engine: c.Backend, Ratio: float64(c.EventInterval) / float64(fastInterval), At: c.EventSeenAt,
			})
		}
	}
	spells.Observe(observations)
}

// speedOf returns the speed that an engine is expected to have. An engine whose slow spell should be over counts as fast.
func (e *pool) speedOf(c *backends.Candidate, now time.Time) speed {
	if e.fastInterval == 0 || float64(c.EventInterval) < balance.SlowRatio*float64(e.fastInterval) {
		return speed{interval: c.EventInterval, rest: math.MaxInt64}
	}
	rest, _ := e.spells.Rest(c.Backend, now)
	if rest == 0 {
		return speed{interval: e.fastInterval, rest: math.MaxInt64}
	}
	return speed{interval: c.EventInterval, rest: rest}
}

// register registers the metrics of slow spells; r may be nil.
func (p *placer) register(r prometheus.Registerer) {
	if r == nil {
		return
	}
	r.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "cicadasill_item_moves_spared_total",
			Help: "Checks that left an item at a slow engine because the engine is expected to be fast again soon."},
			func() float64 { return float64(p.movesSpared.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cicadasill_engine_slow_spell_seconds",
			Help: "Median duration of the recent slow spells of engines, of the service with the longest."}, p.typicalSpell),
	)
}

// typicalSpell returns the median duration of the recent spells in seconds, of the service with the longest.
func (p *placer) typicalSpell() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var longest time.Duration
	for _, s := range p.spells {
		longest = max(longest, s.Typical())
	}
	return longest.Seconds()
}

// spellsOf returns the slow spells of a service. The caller holds p.mu.
func (p *placer) spellsOf(service string) *slowSpells {
	s := p.spells[service]
	if s == nil {
		s = &slowSpells{}
		p.spells[service] = s
	}
	return s
}

// slowFor returns how long an engine is expected to stay as slow as it is now.
func (p *placer) slowFor(b *backends.Backend, candidates []backends.Candidate, fastInterval time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	spells := p.spellsOf(b.Service)
	observe(spells, candidates, fastInterval)
	rest, _ := spells.Rest(b, time.Now())
	return rest
}
