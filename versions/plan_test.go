package versions

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
)

// unknownSteps is the size of steps before the first.
func unknownSteps(string) int { return 0 }

// engines returns candidates with the given versions of the models a and b.
func engines(versions ...[2]int64) []backends.Candidate {
	var list []backends.Candidate
	for i, v := range versions {
		list = append(list, backends.Candidate{
			Backend:  &backends.Backend{ID: fmt.Sprintf("e%02d", i)},
			Versions: map[string]int64{"a": v[0], "b": v[1]}, Slots: 4,
		})
	}
	return list
}

var both = []string{"a", "b"}

// Guards against a model that gets no loads because another one's come first, which left steps
// without a usable engine.
func TestStaleModelComesFirst(t *testing.T) {
	is := is.New(t)
	// Model a is due on engines that still serve; those of b serve no longer.
	list := engines([2]int64{6, 3}, [2]int64{6, 3}, [2]int64{6, 3}, [2]int64{6, 3})
	loads := due(list, both, map[string]int64{"a": 7, "b": 6}, unknownSteps)
	is.True(len(loads) > 0)
	is.Equal(loads[0].model, "b")
	is.True(loads[0].stale)
}

// Guards against a new version that stops all engines of a model at once.
func TestHalfOfTheEnginesKeepTheServingVersion(t *testing.T) {
	is := is.New(t)
	list := engines([2]int64{1, 1}, [2]int64{1, 1}, [2]int64{1, 1}, [2]int64{1, 1})
	loads := due(list, both, map[string]int64{"a": 2}, unknownSteps)
	is.Equal(len(loads), 2)
	for _, l := range loads {
		is.True(!l.stale)
	}
}

// Guards against more loads for a version than an equal part of the engines.
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
					for _, l := range due(list, names, targets, unknownSteps) {
						perModel[l.model]++
						l.engine.Versions[l.model] = target
					}
					for _, m := range names {
						is.True(perModel[m] <= (size+models-1)/models) // free loads of the version
						usable := 0
						for _, v := range versions {
							if v[m] >= target-1 {
								usable++
							}
						}
						is.True(usable >= size/models) // engines for the step that the version allows
					}
				}
			})
		}
	}
}

// Guards against models whose engines for the next step are the same, so that their steps compete.
func TestFreshEnginesOfModelsDiffer(t *testing.T) {
	is := is.New(t)
	list := engines([2]int64{1, 1}, [2]int64{1, 1}, [2]int64{1, 1}, [2]int64{1, 1})
	taken := map[string]string{}
	for _, l := range due(list, both, map[string]int64{"a": 2, "b": 2}, unknownSteps) {
		is.Equal(taken[l.engine.ID], "")
		taken[l.engine.ID] = l.model
	}
	is.Equal(len(taken), 4)
}

// Guards against a batch of loads for one model that leaves the steps of others without any engine. The
// replayed load: after an outage the trainers of three models on 48 engines name two versions more at
// once, and ten engines load at a time.
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
		loads := due(list, models, targets, func(string) int { return 200 })
		loading := map[string]bool{}
		for _, l := range loads {
			if len(loading) < 10 && !loading[l.engine.ID] {
				loading[l.engine.ID] = true
				l.engine.Versions[l.model] = l.version
			}
		}
		for _, model := range models {
			is.True(usable(model) >= 3*round) // of ten loads a round, a third or a little less
		}
	}
}

// Guards against loads that follow the order in which models are named instead of the size of their steps.
func TestLargerStepsGetMoreEngines(t *testing.T) {
	is := is.New(t)
	var list []backends.Candidate
	for i := range 40 {
		list = append(list, backends.Candidate{
			Backend: &backends.Backend{ID: fmt.Sprintf("e%02d", i)}, Slots: 4, Versions: map[string]int64{"a": 1, "b": 1},
		})
	}
	sizes := map[string]int{"a": 40, "b": 120}
	loads := due(list, both, map[string]int64{"a": 3, "b": 3}, func(m string) int { return sizes[m] })
	count := map[string]int{}
	for _, l := range loads[:16] {
		count[l.model]++
	}
	is.Equal(count, map[string]int{"a": 4, "b": 12})
}

// Guards against a loader that stands still while it waits for the entries of engines that have ended
// their loads.
func TestEndedLoadsMakeRoom(t *testing.T) {
	is := is.New(t)
	is.Equal(room(10, nil), 2)
	is.Equal(room(10, []time.Duration{0, loadTime - time.Millisecond}), 0)
	is.Equal(room(10, []time.Duration{0, loadTime}), 1)
	is.Equal(room(3, []time.Duration{loadTime, 2 * loadTime}), leastLoads)
}

// Guards against loads, and orders, of which no step has a use: in a large deployment a step's items
// need few of the engines.
func TestShareIsNoLargerThanStepsUse(t *testing.T) {
	is := is.New(t)
	versions := make([][2]int64, 300)
	for i := range versions {
		versions[i] = [2]int64{1, 1}
	}
	list := engines(versions...) // of 4 slots
	step := func(items int) func(string) int { return func(string) int { return items } }
	targets := map[string]int64{"a": 2}
	is.Equal(len(due(list, []string{"a"}, targets, unknownSteps)), 150)
	is.Equal(len(due(list, []string{"a"}, targets, step(40))), 15) // half of the engines that run three steps
	is.Equal(len(due(list, []string{"a"}, targets, step(1))), leastShare/2)
	is.Equal(len(due(list, []string{"a"}, targets, step(100_000))), 150)
}
