package versions

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cicadasill/cicadasill/backends"
)

// Load pattern: after an outage all trainers catch up and name versions together, faster than the engines
// load them. A batch of loads for one model then leaves the steps of the others without any engine
// for a second or more. So the loads in need are dealt one at a time: each goes to the model that
// is furthest from what its steps use.

// load is a version that an engine should take.
type load struct {
	engine  backends.Candidate
	model   string
	version int64
	// stale states that the engine cannot serve the current step.
	stale bool
}

// nextStepRank ranks an engine for a model's next step behind one for the current step until
// this part of the engines that the current step uses can serve it.
const nextStepRank = 0.5

// plan is what a model needs.
type plan struct {
	// need is the number of engines that run all items of a step at once.
	need float64
	// usable and newest count the engines that serve the current step and the next one's start, with
	// those that are chosen to.
	usable, newest int
	// stale and others are the loads that are due: engines that do not serve the current step, and
	// engines for the start of the next one.
	stale, others []load
}

// rank returns how urgent the model's next load is; lower comes first. It reports false if there is none.
func (p *plan) rank() (rank float64, ok bool) {
	rank = math.Inf(1)
	if len(p.stale) > 0 {
		rank = float64(p.usable) / p.need
	}
	if len(p.others) > 0 {
		rank = min(rank, nextStepRank+float64(p.newest)/p.need)
	}
	return rank, len(p.stale)+len(p.others) > 0
}

// take removes the model's next load.
func (p *plan) take() load {
	queue := &p.others
	if len(p.stale) > 0 && (len(p.others) == 0 || float64(p.usable) <= nextStepRank*p.need+float64(p.newest)) {
		queue = &p.stale
		p.usable++
	}
	p.newest++
	l := (*queue)[0]
	*queue = (*queue)[1:]
	return l
}

// due returns the loads to order, the most urgent first. Of the engines that still serve the current
// step only as many load as the next step needs at its start, so that a new version does not stop all
// of a model's engines at once.
func due(list []backends.Candidate, models []string, targets map[string]int64, stepSize func(string) int) []load {
	var plans []*plan
	for i, model := range models {
		size := stepSize(model)
		p := planFor(share(list, model, i, len(models), size), model, targets[model])
		if slots := meanSlots(list); size > 0 && slots > 0 {
			p.need = max(1, float64(size)/slots)
		}
		plans = append(plans, p)
	}
	var loads []load
	for {
		var next *plan
		best := math.Inf(1)
		for _, p := range plans {
			if rank, ok := p.rank(); ok && rank < best {
				next, best = p, rank
			}
		}
		if next == nil {
			return loads
		}
		loads = append(loads, next.take())
	}
}

func meanSlots(list []backends.Candidate) float64 {
	slots := 0
	for _, c := range list {
		slots += c.Slots
	}
	return float64(slots) / float64(max(1, len(list)))
}

// share returns the engines that serve a model: twice an equal part of the list, because every
// second one takes each new version, but no more than its steps can use: each load costs an order and
// an engine's time. Engines with the newest version come first, so a share keeps its engines; among
// equals every model starts at another place of the list, so that the engines that are ready for the
// next step of one model rarely are for another.
func share(list []backends.Candidate, model string, index, models, stepSize int) []backends.Candidate {
	size := (partsPerShare*len(list) + models - 1) / models
	if stepSize > 0 {
		useful := int(stepsPerShare * float64(stepSize) / max(1, meanSlots(list)))
		size = min(size, max(leastShare, useful))
	}
	position := map[string]int{}
	for i, c := range list {
		position[c.ID] = (i%models - index + models) % models
	}
	ordered := slices.Clone(list)
	slices.SortStableFunc(ordered, func(a, b backends.Candidate) int {
		if n := cmp.Compare(b.Versions[model], a.Versions[model]); n != 0 {
			return n
		}
		return cmp.Compare(position[a.ID], position[b.ID])
	})
	return ordered[:min(size, len(ordered))]
}

// leastShare leaves a model an engine while another one loads or is lost.
const leastShare = 4

// room returns how many loads may begin, given the ages of those that were ordered. A load of which the
// engine's entry does not tell yet takes no room once it should have ended: entries come up to a
// quarter of a second late, and every step waits for loads.
func room(engines int, running []time.Duration) int {
	free := max(leastLoads, int(loadsPart*float64(engines)+0.5))
	for _, age := range running {
		if age < loadTime {
			free--
		}
	}
	return free
}

// planFor returns what a model needs of its share of the engines.
func planFor(share []backends.Candidate, model string, target int64) *plan {
	p := &plan{need: float64(max(1, len(share)))}
	for _, c := range share {
		version := c.Versions[model]
		l := load{engine: c, model: model, version: target, stale: version < target-1}
		switch {
		case version >= target:
			p.newest++
			p.usable++
		case l.stale:
			p.stale = append(p.stale, l)
		default:
			p.usable++
			p.others = append(p.others, l)
		}
	}
	fresh := int(math.Ceil(freshPart * float64(len(share))))
	missing := max(0, fresh-p.newest-len(p.stale))
	p.others = p.others[:min(missing, len(p.others))]
	return p
}
