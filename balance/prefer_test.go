package balance

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// busiestToMean returns the ratio of the busiest back end's requests to the mean when each chooser takes the back end that it
// prefers, all others being equal.
func busiestToMean(choosers, backends int, prefers func(chooser, a, b string) bool) float64 {
	counts := make([]int, backends)
	for c := range choosers {
		chooser, best := fmt.Sprintf("instance-%d", c), 0
		for b := 1; b < backends; b++ {
			if prefers(chooser, fmt.Sprintf("server-%d", b), fmt.Sprintf("server-%d", best)) {
				best = b
			}
		}
		counts[best]++
	}
	busiest := 0
	for _, n := range counts {
		busiest = max(busiest, n)
	}
	return float64(busiest) * float64(backends) / float64(choosers)
}

// Guards against many instances that choose one of several equal back ends at the same moment and all take the same.
func TestChoosersPreferDifferentBackEnds(t *testing.T) {
	is := is.New(t)
	for _, choosers := range []int{10, 82, 124, 331} {
		const backends = 6
		inOneOrder := busiestToMean(choosers, backends, func(_, a, b string) bool { return a < b })
		ranked := busiestToMean(choosers, backends, Prefers)
		t.Logf("%d choosers: busiest to mean %.2f in one order, %.2f ranked", choosers, inOneOrder, ranked)
		is.Equal(inOneOrder, float64(backends))
		is.True(ranked <= 2.5)
	}
}

// Guards against a preference that changes for back ends which have not changed.
func TestPreferenceOutlivesOtherBackEnds(t *testing.T) {
	is := is.New(t)
	is.Equal(Compare("i", "a", "b"), -Compare("i", "b", "a"))
	is.Equal(Compare("i", "a", "a"), 0)
	is.True(Prefers("i", "a", "b") != Prefers("i", "b", "a"))
}
