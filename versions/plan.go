package versions

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cicadasill/cicadasill/backends"
)

// load is a version that an engine should take.
type load struct {
	engine  backends.Candidate
	model   string
	version int64
	// usable is the part of the model's engines that serve the current step.
	usable float64
	// stale states that the engine cannot serve the current step.
	stale bool
}

// due returns the loads to order, the most urgent first. Engines that are too old for the current
// step come before the others, those of the model with the smallest usable part first. Of the
// engines that still serve the step only as many load as the next step needs at its start, so that
// a new version does not stop all of a model's engines at once.
func due(list []backends.Candidate, models []string, targets map[string]int64, stepSize func(string) int) []load {
	var loads []load
	for i, model := range models {
		loads = append(loads, dueForModel(share(list, model, i, len(models), stepSize(model)), model, targets[model])...)
	}
	slices.SortStableFunc(loads, func(a, b load) int {
		if a.stale != b.stale {
			if a.stale {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.usable, b.usable)
	})
	return loads
}

// share returns the engines that serve a model: twice an equal part of the list, because every
// second one takes each new version, but no more than its steps can use: each load costs an order and
// an engine's time. Engines with the newest version come first, so a share keeps its engines; among
// equals every model starts at another place of the list, so that the engines that are ready for the
// next step of one model rarely are for another.
func share(list []backends.Candidate, model string, index, models, stepSize int) []backends.Candidate {
	size := (partsPerShare*len(list) + models - 1) / models
	if stepSize > 0 {
		slots := 0
		for _, c := range list {
			slots += c.Slots
		}
		useful := stepsPerShare * stepSize * len(list) / max(1, slots)
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

func dueForModel(share []backends.Candidate, model string, target int64) []load {
	newest, usable := 0, 0
	for _, c := range share {
		if c.Versions[model] >= target {
			newest++
		}
		if c.Versions[model] >= target-1 {
			usable++
		}
	}
	part := float64(usable) / float64(max(1, len(share)))
	fresh := int(math.Ceil(freshPart * float64(len(share))))
	var stale, others []load
	for _, c := range share {
		version := c.Versions[model]
		if version >= target {
			continue
		}
		l := load{engine: c, model: model, version: target, usable: part, stale: version < target-1}
		if l.stale {
			stale = append(stale, l)
		} else {
			others = append(others, l)
		}
	}
	missing := max(0, fresh-newest-len(stale))
	return append(stale, others[:min(missing, len(others))]...)
}
