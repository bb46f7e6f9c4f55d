package provision

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/routes"
)

var testScaling = routes.Scaling{
	Min: 1, Max: 16, BootTime: 4 * time.Second, ReclaimablePrice: 0.18,
	Prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9, "e": 1, "f": 0.8},
}

const testSlots = 8

// plainCounts returns n plain back ends in each data centre of testScaling.
func plainCounts(n int) map[backends.Pool]int {
	counts := map[backends.Pool]int{}
	for dc := range testScaling.Prices {
		counts[backends.Pool{DataCentre: dc}] = n
	}
	return counts
}

func sum(counts map[backends.Pool]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

func knownNeed(slots int, counts map[backends.Pool]int) State {
	return State{Scaling: testScaling, SlotsPerBackend: testSlots, NeededSlots: slots, NeedKnown: true, Counts: counts}
}

// Guards against steps that wait for slots although more back ends can be had.
func TestPlanGrowsToTheNeed(t *testing.T) {
	is := is.New(t)
	wanted, reason := Plan(knownNeed(400, plainCounts(7)))
	is.Equal(reason, ReasonGrow)
	is.True(float64(sum(wanted)*testSlots)*targetUtilization >= 400)
	for pool, n := range plainCounts(7) {
		is.True(wanted[pool] >= n) // what is there stays
	}
}

// Guards against a service that loses what its work needs with the reclaimable back ends of one data centre, at any need.
func TestLossOfADataCentreLeavesWhatIsDue(t *testing.T) {
	for slots := 8; slots <= 500; slots += 7 {
		counts := plainCounts(1)
		for range 50 { // the plan is carried out each time
			wanted, _ := Plan(knownNeed(slots, counts))
			if maps.Equal(wanted, counts) {
				break
			}
			counts = wanted
		}
		for dc := range testScaling.Prices {
			left := sum(counts) - counts[backends.Pool{DataCentre: dc, Reclaimable: true}]
			if left*testSlots < slots {
				t.Fatalf("need %d: %d back ends are left without the reclaimable ones of %s", slots, left, dc)
			}
		}
	}
}

// Guards against orders beyond the bounds of a data centre.
func TestPlanKeepsBounds(t *testing.T) {
	is := is.New(t)
	for _, s := range []State{knownNeed(100000, plainCounts(7)), knownNeed(0, plainCounts(7))} {
		for range 50 {
			s.Counts, _ = Plan(s)
			for dc := range testScaling.Prices {
				n := s.Counts[backends.Pool{DataCentre: dc}] + s.Counts[backends.Pool{DataCentre: dc, Reclaimable: true}]
				is.True(n >= testScaling.Min && n <= testScaling.Max)
			}
		}
	}
}

// Guards against back ends that are ordered to and fro as the need moves within a quarter.
func TestSmallSwingsChangeNothing(t *testing.T) {
	is := is.New(t)
	counts, _ := Plan(knownNeed(200, plainCounts(1)))
	for _, slots := range []int{200, 190, 170, 165, 200} {
		wanted, reason := Plan(knownNeed(slots, counts))
		is.Equal(reason, ReasonNone)
		is.Equal(wanted, counts)
	}
}

// Guards against a service that is emptied or shrunk because nothing is known of its work yet.
func TestUnknownNeedKeepsWhatIsThere(t *testing.T) {
	is := is.New(t)
	s := State{Scaling: testScaling, SlotsPerBackend: testSlots, Assumed: 42, Counts: plainCounts(7)}
	for range 10 {
		s.Counts, _ = Plan(s)
		is.True(sum(s.Counts) >= 42)
	}
	_, reason := Plan(State{Scaling: testScaling, SlotsPerBackend: testSlots, Assumed: 42})
	is.Equal(reason, ReasonNone) // no back end is visible
}

// Guards against back ends that are ordered away while others that have been ordered are not there yet.
func TestNoShrinkingDuringAChange(t *testing.T) {
	is := is.New(t)
	s := knownNeed(100, plainCounts(7))
	s.IsChanging = true
	_, reason := Plan(s)
	is.Equal(reason, ReasonNone)
	s.IsChanging = false
	wanted, reason := Plan(s)
	is.Equal(reason, ReasonShrink)
	is.Equal(sum(wanted), 42-5)                         // an eighth at a time
	is.Equal(wanted[backends.Pool{DataCentre: "c"}], 2) // the dearest first
}

// Guards against new back ends where the platform has none.
func TestRefusalLeadsElsewhere(t *testing.T) {
	is := is.New(t)
	s := knownNeed(400, plainCounts(7))
	s.Refused = map[backends.Pool]bool{{DataCentre: "b"}: true, {DataCentre: "b", Reclaimable: true}: true, {DataCentre: "a", Reclaimable: true}: true}
	wanted, _ := Plan(s)
	is.Equal(wanted[backends.Pool{DataCentre: "b"}], 7)
	is.Equal(wanted[backends.Pool{DataCentre: "b", Reclaimable: true}], 0)
	is.True(wanted[backends.Pool{DataCentre: "a"}] > 7) // plain instead of reclaimable ones
	is.True(float64(sum(wanted)*testSlots)*targetUtilization >= 400)
}

// Guards against back ends that are ordered away between two steps of a trainer.
func TestNeedRemembersThePeakOfSteps(t *testing.T) {
	is := is.New(t)
	var n need
	for at := time.Second; at < 60*time.Second; at += 100 * time.Millisecond {
		slots := 0
		if at%(4*time.Second) < time.Second {
			slots = 120
		}
		n.observe(at, slots)
		if at > 4*time.Second {
			is.Equal(n.peak(), 120)
		}
	}
	is.True(n.isKnown(60 * time.Second))
	for at := 60 * time.Second; at < 81*time.Second; at += 100 * time.Millisecond {
		n.observe(at, 0)
	}
	is.Equal(n.peak(), 0)
}
