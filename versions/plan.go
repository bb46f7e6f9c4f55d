package versions

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cicadasill/cicadasill/backends"
)

// After an outage all trainers catch up and name versions at the same time, faster than the engines load
// them. A batch of loads for one model would then leave the steps of the others without any engine for a
// second or more. The plan therefore assigns loads one at a time, each to the model whose engines cover
// the smallest part of what its steps use.

// load is a version that an engine should load.
type load struct {
	engine  backends.Candidate
	model   string
	version int64
	// stale states that the engine's version is too old for the current step.
	stale bool
}

// nextStepPenalty is added to the rank of a load for a model's next step. Such a load comes after those for
// the current step until this fraction of the engines that the current step uses can serve it.
const nextStepPenalty = 0.5

// modelPlan holds the loads that a model needs and the state that ranks them.
type modelPlan struct {
	// enginesPerStep is the number of engines that can run all items of a step at once.
	enginesPerStep float64
	// usable counts the engines that can serve the current step, newest those that can serve the start
	// of the next one. Both include the engines whose loads popLoad has returned.
	usable, newest int
	// staleLoads are the due loads of engines that cannot serve the current step, nextStepLoads those of
	// engines that can, for the start of the next step.
	staleLoads, nextStepLoads []load
}

// rank returns the rank of the model's next load; lower ranks come first. It reports false if no load is due.
func (p *modelPlan) rank() (rank float64, ok bool) {
	rank = math.Inf(1)
	if len(p.staleLoads) > 0 {
		rank = float64(p.usable) / p.enginesPerStep
	}
	if len(p.nextStepLoads) > 0 {
		rank = min(rank, nextStepPenalty+float64(p.newest)/p.enginesPerStep)
	}
	return rank, len(p.staleLoads)+len(p.nextStepLoads) > 0
}

// popLoad removes and returns the model's next load.
func (p *modelPlan) popLoad() load {
	queue := &p.nextStepLoads
	if len(p.staleLoads) > 0 && (len(p.nextStepLoads) == 0 || float64(p.usable) <= nextStepPenalty*p.enginesPerStep+float64(p.newest)) {
		queue = &p.staleLoads
		p.usable++
	}
	p.newest++
	l := (*queue)[0]
	*queue = (*queue)[1:]
	return l
}

// dueLoads returns the loads to order, the most urgent first. Of the engines that can serve the current
// step, only as many load as the next step needs at its start, so that a new version does not interrupt
// all of a model's engines at once.
func dueLoads(list []backends.Candidate, models []string, targets map[string]int64, stepSize func(string) int) []load {
	var plans []*modelPlan
	for i, model := range models {
		size := stepSize(model)
		p := newModelPlan(selectShare(list, model, i, len(models), size), model, targets[model])
		if slots := meanSlots(list); size > 0 && slots > 0 {
			p.enginesPerStep = max(1, float64(size)/slots)
		}
		plans = append(plans, p)
	}
	var loads []load
	for {
		var next *modelPlan
		best := math.Inf(1)
		for _, p := range plans {
			if rank, ok := p.rank(); ok && rank < best {
				next, best = p, rank
			}
		}
		if next == nil {
			return loads
		}
		loads = append(loads, next.popLoad())
	}
}

// meanSlots returns the mean number of slots of an engine.
func meanSlots(list []backends.Candidate) float64 {
	slots := 0
	for _, c := range list {
		slots += c.Slots
	}
	return float64(slots) / float64(max(1, len(list)))
}

// selectShare returns the engines that serve a model. A share is twice an equal part of the list, because
// half of it loads each new version, but no more than the model's steps can use, because each load costs
// an order and an engine's time. Engines with the newest version come first, so a share keeps its engines.
// Among equal versions each model starts at a different place in the list, so that the engines that are
// ready for the next step of one model rarely are the same as those of another.
func selectShare(list []backends.Candidate, model string, index, modelCount, stepSize int) []backends.Candidate {
	size := (equalPartsPerShare*len(list) + modelCount - 1) / modelCount
	if stepSize > 0 {
		useful := int(maxStepsPerShare * float64(stepSize) / max(1, meanSlots(list)))
		size = min(size, max(minShare, useful))
	}
	position := map[string]int{}
	for i, c := range list {
		position[c.ID] = (i%modelCount - index + modelCount) % modelCount
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

// minShare is the smallest number of engines in a share that is limited by the size of steps. It leaves a
// model a usable engine while another engine loads or is lost.
const minShare = 4

// loadBudget returns how many more loads may begin, given the ages of the unconfirmed ones. An unconfirmed
// load stops counting after loadTime, because the engine's entry arrives up to 250 ms late and every step
// waits for loads.
func loadBudget(engines int, loadAges []time.Duration) int {
	budget := max(minConcurrentLoads, int(concurrentLoadsFraction*float64(engines)+0.5))
	for _, age := range loadAges {
		if age < loadTime {
			budget--
		}
	}
	return budget
}

// newModelPlan returns the plan of a model for its share of the engines.
func newModelPlan(share []backends.Candidate, model string, target int64) *modelPlan {
	p := &modelPlan{enginesPerStep: float64(max(1, len(share)))}
	for _, c := range share {
		version := c.Versions[model]
		l := load{engine: c, model: model, version: target, stale: version < target-1}
		switch {
		case version >= target:
			p.newest++
			p.usable++
		case l.stale:
			p.staleLoads = append(p.staleLoads, l)
		default:
			p.usable++
			p.nextStepLoads = append(p.nextStepLoads, l)
		}
	}
	minNewest := int(math.Ceil(newestFraction * float64(len(share))))
	missing := max(0, minNewest-p.newest-len(p.staleLoads))
	p.nextStepLoads = p.nextStepLoads[:min(missing, len(p.nextStepLoads))]
	return p
}
