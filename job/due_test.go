package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/routes"
)

// step is a trainer's step: most items take a second, one of twelve five.
func step(items int) (expected []time.Duration) {
	for i := range items {
		d := time.Second
		if i%12 == 0 {
			d = 5 * time.Second
		}
		expected = append(expected, d)
	}
	return expected
}

// Replays a step on as many slots as it needs, in the order of the queue. Guards against a number of slots with which it ends late, and
// against one that is a multiple of what it needs.
func TestStepEndsInTimeOnTheSlotsThatItNeeds(t *testing.T) {
	is := is.New(t)
	const objective = 7500 * time.Millisecond
	for _, items := range []int{1, 12, 64, 144, 152, 400} {
		expected := step(items)
		slots := slotsNeeded(expected, objective) // sorts them as the queue does
		free := make([]time.Duration, slots)      // when each slot gets free
		var end, total time.Duration
		for _, d := range expected {
			first := 0
			for s := range free {
				if free[s] < free[first] {
					first = s
				}
			}
			free[first] += d
			end, total = max(end, free[first]), total+d
		}
		is.True(end <= objective)
		is.True(time.Duration(slots-1)*objective < 2*total)
	}
}

// Guards against a job that falls behind while the need that it states stays as it was, and against one that needs more slots than it has
// items.
func TestJobThatFallsBehindNeedsMore(t *testing.T) {
	is := is.New(t)
	last := 0
	for left := 20 * time.Second; left > -time.Second; left -= 500 * time.Millisecond {
		slots := slotsNeeded(step(144), left)
		is.True(slots >= last && slots <= 144)
		last = slots
	}
	is.Equal(last, 144)
	is.Equal(slotsNeeded(nil, time.Second), 0)
}

// Guards against a need that does not fall as items run and end, and against one that is stated for services whose back ends can't be ordered.
func TestNeedFollowsTheJob(t *testing.T) {
	is := is.New(t)
	f := newMoveFixture()
	f.job.items = nil
	for i := range 40 {
		f.job.items = append(f.job.items, Item{ID: fmt.Sprintf("i%d", i), Path: "/p/1", Model: "m", LengthEstimate: 1500})
	}
	f.driver.active["j"] = f.job
	is.Equal(len(f.driver.SlotsDue()), 0)
	config := *f.config.Load()
	config.Routes[0].RunObjective = 7500 * time.Millisecond
	config.Services = map[string]routes.Service{"llm": {Name: "llm", Scaling: &routes.Scaling{Max: 9}}}
	config.BuildIndex()
	f.config.Store(&config)
	before := f.driver.SlotsDue()["llm"].Needed
	is.True(before > 0)
	for i := range 20 {
		f.job.progress.start(i, time.Now().Add(-500*time.Millisecond))
	}
	running := f.driver.SlotsDue()["llm"].Needed
	is.True(running < before)
	for i := range 40 {
		f.job.progress.end(i)
	}
	is.Equal(f.driver.SlotsDue()["llm"].Needed, 0)
}
