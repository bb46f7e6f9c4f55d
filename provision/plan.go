package provision

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/routes"
)

// Plan of a service's back ends.
//
// Load pattern: the slots that work needs swing by a multiple within the few seconds between two steps of a trainer, and a back end that
// is ordered serves seconds later. The platform takes away all reclaimable back ends of a data centre at once, with a notice that is
// shorter than that.

const (
	// targetUtilization is the fraction of the slots that due work may take. The rest is for back ends that load weights, fail
	// or are chosen unevenly by instances that do not see each other's choices.
	targetUtilization = 0.75
	// shrinkMargin is the factor by which back ends must exceed the wanted number before any are ordered away: the hysteresis between
	// growing and shrinking. It leaves room for the loss of a data centre's back ends while a trainer catches up.
	shrinkMargin = 1.5
	// shrinkFraction is the largest fraction of a service's back ends that is ordered away at once.
	shrinkFraction = 0.125
)

// State is what the plan of a service is made from.
type State struct {
	Scaling routes.Scaling
	// SlotsPerBackend is the number of requests that a back end runs at once.
	SlotsPerBackend int
	// NeededSlots is the peak of the slots that due work needs.
	NeededSlots int
	// NeedKnown states that work has been seen for long enough to judge NeededSlots. Until then, Assumed back ends count as needed.
	NeedKnown bool
	Assumed   int
	// IsChanging states that ordered back ends are not there yet or have not left yet.
	IsChanging bool
	// Counts holds the back ends that are there or ordered.
	Counts map[backends.Pool]int
	// Refused holds the pools in which the platform has recently had no back ends.
	Refused map[backends.Pool]bool
}

// Plan returns the wanted number of back ends of each pool, and the reason for a change.
func Plan(s State) (wanted map[backends.Pool]int, reason Reason) {
	p := &planner{State: s, wanted: maps.Clone(s.Counts)}
	if p.wanted == nil {
		p.wanted = map[backends.Pool]int{}
	}
	total := p.total()
	if total == 0 || s.SlotsPerBackend <= 0 {
		return p.wanted, ReasonNone // a view without back ends tells nothing about what is there
	}
	p.carry = ceilDiv(s.NeededSlots, s.SlotsPerBackend)
	required := int(math.Ceil(float64(p.carry) / targetUtilization))
	if !s.NeedKnown && s.Assumed > required {
		p.carry, required = max(p.carry, int(targetUtilization*float64(s.Assumed))), s.Assumed
	}
	switch {
	case required > total || p.belowMinimum():
		reason = p.grow(required)
	case !s.IsChanging && float64(total) > shrinkMargin*float64(required):
		reason = p.shrink(max(required, total-max(1, int(shrinkFraction*float64(total)))))
	}
	return p.wanted, reason
}

// Reason tells why back ends are ordered.
type Reason string

// Reasons of orders.
const (
	ReasonNone   Reason = ""
	ReasonGrow   Reason = "need"
	ReasonShrink Reason = "surplus"
)

type planner struct {
	State
	wanted map[backends.Pool]int
	// carry is the number of back ends on which the due work runs if all their slots are taken.
	carry int
}

func (p *planner) total() int { return sum(p.wanted) }

// sum returns the back ends of all pools.
func sum(counts map[backends.Pool]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// inDataCentre returns the wanted back ends of both kinds.
func (p *planner) inDataCentre(dataCentre string) int {
	return p.wanted[backends.Pool{DataCentre: dataCentre}] + p.wanted[backends.Pool{DataCentre: dataCentre, Reclaimable: true}]
}

// dataCentres returns the data centres in which back ends can be ordered, in the order of their names.
func (p *planner) dataCentres() []string { return slices.Sorted(maps.Keys(p.Scaling.Prices)) }

func (p *planner) belowMinimum() bool {
	return slices.ContainsFunc(p.dataCentres(), func(dc string) bool { return p.inDataCentre(dc) < p.Scaling.Min })
}

// canLose reports whether the due work still runs if the reclaimable back ends of a data centre, n of them, vanish.
func (p *planner) canLose(n, total int) bool { return total-n >= p.carry }

// grow adds back ends until there are required ones, and the minimum in each data centre.
func (p *planner) grow(required int) Reason {
	reason := ReasonNone
	for {
		pool, ok := p.bestPool(p.total() >= required)
		if !ok {
			return reason
		}
		p.wanted[pool]++
		reason = ReasonGrow
	}
}

// bestPool returns the pool that gets the next back end: in the data centre with the fewest, then in the cheapest one. With
// onlyMinimum, only data centres below the minimum count.
func (p *planner) bestPool(onlyMinimum bool) (best backends.Pool, found bool) {
	for _, dc := range p.dataCentres() {
		n := p.inDataCentre(dc)
		if n >= p.Scaling.Max || (onlyMinimum && n >= p.Scaling.Min) {
			continue
		}
		pool := backends.Pool{DataCentre: dc, Reclaimable: true}
		if p.Refused[pool] || !p.canLose(p.wanted[pool]+1, p.total()+1) {
			pool.Reclaimable = false
			if p.Refused[pool] {
				continue
			}
		}
		if !found || cmp.Or(cmp.Compare(n, p.inDataCentre(best.DataCentre)), cmp.Compare(p.price(pool), p.price(best))) < 0 {
			best, found = pool, true
		}
	}
	return best, found
}

// price returns the price of a back end of a pool.
func (p *planner) price(pool backends.Pool) float64 {
	price := p.Scaling.Prices[pool.DataCentre]
	if pool.Reclaimable {
		price *= p.Scaling.ReclaimablePrice
	}
	return price
}

// shrink removes back ends until there are target ones, but none that the loss of a data centre's reclaimable ones would make
// necessary.
func (p *planner) shrink(target int) Reason {
	reason := ReasonNone
	for p.total() > target {
		var best backends.Pool
		found := false
		for _, dc := range p.dataCentres() {
			if p.inDataCentre(dc) <= p.Scaling.Min {
				continue
			}
			for _, pool := range []backends.Pool{{DataCentre: dc}, {DataCentre: dc, Reclaimable: true}} {
				if p.wanted[pool] == 0 || !p.survivesWithout(pool) {
					continue
				}
				if !found || cmp.Or(cmp.Compare(p.price(best), p.price(pool)), cmp.Compare(p.wanted[best], p.wanted[pool])) < 0 {
					best, found = pool, true
				}
			}
		}
		if !found {
			return reason
		}
		p.wanted[best]--
		reason = ReasonShrink
	}
	return reason
}

// survivesWithout reports whether, with one back end of a pool less, the due work still runs after the loss of the reclaimable
// ones of any data centre.
func (p *planner) survivesWithout(pool backends.Pool) bool {
	for _, dc := range p.dataCentres() {
		other := backends.Pool{DataCentre: dc, Reclaimable: true}
		n := p.wanted[other]
		if other == pool {
			n--
		}
		if !p.canLose(n, p.total()-1) {
			return false
		}
	}
	return true
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
