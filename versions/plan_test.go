package versions

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
)

// unknownStepSize is the StepSize of a model that has had no step yet.
func unknownStepSize(string) int { return 0 }

// newCandidates returns engines of four slots with the given versions of the models a and b.
func newCandidates(versions ...[2]int64) []backends.Candidate {
	var list []backends.Candidate
	for i, v := range versions {
		list = append(list, backends.Candidate{
			Backend:  &backends.Backend{ID: fmt.Sprintf("e%02d", i)},
			Versions: map[string]int64{"a": v[0], "b": v[1]}, Slots: 4,
		})
	}
	return list
}

var modelsAB = []string{"a", "b"}

// Guards against ordering loads model by model, which left the steps of the last model without a usable
// engine.
func TestStaleModelComesFirst(t *testing.T) {
	is := is.New(t)
	// The engines can still serve the current step of model a, but not that of b.
	list := newCandidates([2]int64{6, 3}, [2]int64{6, 3}, [2]int64{6, 3}, [2]int64{6, 3})
	loads := dueLoads(list, modelsAB, map[string]int64{"a": 7, "b": 6}, unknownStepSize)
	is.True(len(loads) > 0)
	is.Equal(loads[0].model, "b")
	is.True(loads[0].stale)
}

// Guards against a new version that interrupts all engines of a model at once.
func TestHalfOfTheEnginesKeepTheServingVersion(t *testing.T) {
	is := is.New(t)
	list := newCandidates([2]int64{1, 1}, [2]int64{1, 1}, [2]int64{1, 1}, [2]int64{1, 1})
	loads := dueLoads(list, modelsAB, map[string]int64{"a": 2}, unknownStepSize)
	is.Equal(len(loads), 2)
	for _, l := range loads {
		is.True(!l.stale)
	}
}

// Guards against loading a version on more engines than an equal part per model.
func TestLoadsOfAVersionAreAnEqualPart(t *testing.T) {
	for _, size := range []int{9, 45} {
		for models := 1; models <= 4; models++ {
			t.Run(fmt.Sprintf("%d engines %d models", size, models), func(t *testing.T) {
				is := is.New(t)
				names := []string{"a", "b", "c", "d"}[:models]
				var list []backends.Candidate
				versions := make([]map[string]int64, size)
				for i := range size {
					versions[i] = map[string]int64{}
					for _, m := range names {
						versions[i][m] = 1
					}
					list = append(list, backends.Candidate{Backend: &backends.Backend{ID: fmt.Sprintf("e%02d", i)}, Versions: versions[i]})
				}
				for target := int64(2); target < 12; target++ {
					targets := map[string]int64{}
					for _, m := range names {
						targets[m] = target
					}
					perModel := map[string]int{}
					for _, l := range dueLoads(list, names, targets, unknownStepSize) {
						perModel[l.model]++
						l.engine.Versions[l.model] = target
					}
					for _, m := range names {
						is.True(perModel[m] <= (size+models-1)/models) // loads of the version
						usable := 0
						for _, v := range versions {
							if v[m] >= target-1 {
								usable++
							}
						}
						is.True(usable >= size/models) // engines that can serve the current step
					}
				}
			})
		}
	}
}

// Guards against choosing the same engines for the next steps of different models, which makes the steps
// compete for them.
func TestNextStepEnginesOfModelsDiffer(t *testing.T) {
	is := is.New(t)
	list := newCandidates([2]int64{1, 1}, [2]int64{1, 1}, [2]int64{1, 1}, [2]int64{1, 1})
	taken := map[string]string{}
	for _, l := range dueLoads(list, modelsAB, map[string]int64{"a": 2, "b": 2}, unknownStepSize) {
		is.Equal(taken[l.engine.ID], "")
		taken[l.engine.ID] = l.model
	}
	is.Equal(len(taken), 4)
}

// Guards against a batch of loads for one model that leaves the steps of the others without any engine.
// The test replays the state after an outage: the trainers of three models on 48 engines name two further
// versions at once, and ten engines load at a time.
func TestModelsThatCatchUpShareTheLoads(t *testing.T) {
	is := is.New(t)
	models := []string{"a", "b", "c"}
	targets := map[string]int64{"a": 10, "b": 10, "c": 10}
	var list []backends.Candidate
	for i := range 48 {
		list = append(list, backends.Candidate{
			Backend: &backends.Backend{ID: fmt.Sprintf("e%02d", i)}, Slots: 6,
			Versions: map[string]int64{"a": 8, "b": 8, "c": 8},
		})
	}
	usable := func(model string) int {
		n := 0
		for _, c := range list {
			if c.Versions[model] >= targets[model]-1 {
				n++
			}
		}
		return n
	}
	for round := 1; round <= 4; round++ {
		loads := dueLoads(list, models, targets, func(string) int { return 200 })
		loading := map[string]bool{}
		for _, l := range loads {
			if len(loading) < 10 && !loading[l.engine.ID] {
				loading[l.engine.ID] = true
				l.engine.Versions[l.model] = l.version
			}
		}
		for _, model := range models {
			is.True(usable(model) >= 3*round) // about a third of the ten loads in a round
		}
	}
}

// Guards against assigning loads in the order of the models' names instead of by the size of their steps.
func TestLargerStepsGetMoreEngines(t *testing.T) {
	is := is.New(t)
	var list []backends.Candidate
	for i := range 40 {
		list = append(list, backends.Candidate{
			Backend: &backends.Backend{ID: fmt.Sprintf("e%02d", i)}, Slots: 4, Versions: map[string]int64{"a": 1, "b": 1},
		})
	}
	sizes := map[string]int{"a": 40, "b": 120}
	loads := dueLoads(list, modelsAB, map[string]int64{"a": 3, "b": 3}, func(m string) int { return sizes[m] })
	count := map[string]int{}
	for _, l := range loads[:16] {
		count[l.model]++
	}
	is.Equal(count, map[string]int{"a": 4, "b": 12})
}

// Guards against stalled loading while the entries of engines that have completed their loads are still
// on their way.
func TestEndedLoadsMakeRoom(t *testing.T) {
	is := is.New(t)
	is.Equal(loadBudget(10, nil), 2)
	is.Equal(loadBudget(10, []time.Duration{0, loadTime - time.Millisecond}), 0)
	is.Equal(loadBudget(10, []time.Duration{0, loadTime}), 1)
	is.Equal(loadBudget(3, []time.Duration{loadTime, 2 * loadTime}), minConcurrentLoads)
}

// Guards against loads on engines that no step uses: in a large deployment a step's items need only a few
// of the engines.
func TestShareIsNoLargerThanStepsUse(t *testing.T) {
	is := is.New(t)
	versions := make([][2]int64, 300)
	for i := range versions {
		versions[i] = [2]int64{1, 1}
	}
	list := newCandidates(versions...) // 4 slots each
	stepSize := func(items int) func(string) int { return func(string) int { return items } }
	targets := map[string]int64{"a": 2}
	is.Equal(len(dueLoads(list, []string{"a"}, targets, unknownStepSize)), 150)
	is.Equal(len(dueLoads(list, []string{"a"}, targets, stepSize(40))), 15) // half of the engines that run three steps
	is.Equal(len(dueLoads(list, []string{"a"}, targets, stepSize(1))), minShare/2)
	is.Equal(len(dueLoads(list, []string{"a"}, targets, stepSize(100_000))), 150)
}
