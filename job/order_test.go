package job

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Simulated load: a step of 19 groups of 8 items is submitted every 4 s, the first two at once, as after a
// power failure. Most items are short and one in twelve is five times as long. The clients' estimates are
// off by a factor of about 1.6.
const (
	replaySteps         = 8
	replayGroups        = 19
	replayGroupSize     = 8
	replayPeriod        = 4.0   // seconds
	replayEventSeconds  = 0.052 // time per event at a fully loaded engine
	replayEventTokens   = 74    // tokens per event
	replaySlots         = 45
	replayGroupFraction = 0.9 // fraction of the groups for which the trainer waits
)

type replayItem struct {
	step, group, index int
	submitted          float64
	seconds            float64 // duration
	estimate           int     // tokens
}

func randomSteps(rng *rand.Rand) []replayItem {
	var items []replayItem
	for step := range replaySteps {
		for index := range replayGroups * replayGroupSize {
			events := 9.5 * math.Exp(0.75*rng.NormFloat64())
			if rng.Float64() < 0.08 {
				events *= 5
			}
			events = math.Ceil(min(98, max(1, events)))
			items = append(items, replayItem{
				step: step, group: index / replayGroupSize, index: index,
				submitted: replayPeriod * float64(max(0, step-1)), seconds: events * replayEventSeconds,
				estimate: int(events * replayEventTokens * math.Exp(0.45*rng.NormFloat64())),
			})
		}
	}
	return items
}

// freeTimes is a heap of the times at which slots become free.
type freeTimes []float64

func (f freeTimes) Len() int           { return len(f) }
func (f freeTimes) Less(i, j int) bool { return f[i] < f[j] }
func (f freeTimes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *freeTimes) Push(x any)        { *f = append(*f, x.(float64)) }
func (f *freeTimes) Pop() any {
	old := *f
	x := old[len(old)-1]
	*f = old[:len(old)-1]
	return x
}

// replay runs items in a queue order and returns each step's time until enough of its groups are complete.
func replay(items []replayItem, order func(*replayItem) int64) []float64 {
	waiting := slices.Clone(items)
	free := freeTimes(make([]float64, replaySlots))
	ends := map[[2]int]float64{}
	for len(waiting) > 0 {
		now := heap.Pop(&free).(float64)
		next := slices.MinFunc(waiting, func(a, b replayItem) int { return cmp.Compare(a.submitted, b.submitted) })
		now = max(now, next.submitted)
		best := -1
		for i := range waiting {
			if waiting[i].submitted <= now && (best < 0 || order(&waiting[i]) < order(&waiting[best])) {
				best = i
			}
		}
		item := waiting[best]
		waiting = slices.Delete(waiting, best, best+1)
		end := now + item.seconds
		heap.Push(&free, end)
		key := [2]int{item.step, item.group}
		ends[key] = max(ends[key], end)
	}
	return stepTimes(items, func(step, group int) float64 { return ends[[2]int{step, group}] })
}

func stepTimes(items []replayItem, end func(step, group int) float64) []float64 {
	submitted := map[int]float64{}
	for _, item := range items {
		submitted[item.step] = item.submitted
	}
	var times []float64
	for step := range replaySteps {
		var groups []float64
		for group := range replayGroups {
			groups = append(groups, end(step, group)-submitted[step])
		}
		slices.Sort(groups)
		times = append(times, groups[int(math.Ceil(replayGroupFraction*replayGroups))-1])
	}
	return times
}

// unboundedStepTimes returns the step times with a slot for each item, which are a lower bound for every
// queue order.
func unboundedStepTimes(items []replayItem) []float64 {
	longest := map[[2]int]float64{}
	for _, item := range items {
		key := [2]int{item.step, item.group}
		longest[key] = max(longest[key], item.submitted+item.seconds)
	}
	return stepTimes(items, func(step, group int) float64 { return longest[[2]int{step, group}] })
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// Guards against long items that start last and delay their whole step.
func TestLongTextsBeginFirst(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var byAge, bySlack, bound []float64
	for range 20 {
		items := randomSteps(rng)
		var e durationEstimator
		byAge = append(byAge, replay(items, func(r *replayItem) int64 { return queueOrder(int64(1e3*r.submitted), 0, r.index) })...)
		bySlack = append(bySlack, replay(items, func(r *replayItem) int64 {
			return queueOrder(int64(1e3*r.submitted), e.expectedRun(r.estimate), r.index)
		})...)
		bound = append(bound, unboundedStepTimes(items)...)
	}
	t.Logf("mean time of a step: by age %.2f s, by slack %.2f s, without waiting %.2f s", mean(byAge), mean(bySlack), mean(bound))
	is.True(mean(bySlack) < mean(byAge))
	excess := func(v []float64) float64 { return mean(v) - mean(bound) }
	is.True(excess(bySlack) < excess(byAge)/2) // avoids at least half of the avoidable wait
}

// Guards against starvation: the long items of new jobs must not overtake the short items of an old job
// forever.
func TestOvertakingIsBounded(t *testing.T) {
	is := is.New(t)
	var e durationEstimator
	old := queueOrder(1_000, e.expectedRun(1), 0)
	is.True(queueOrder(1_000+maxOvertake.Milliseconds()+1, e.expectedRun(1<<30), 0) > old)
}

// Guards against expected durations that ignore the observed speed of the engines.
func TestExpectedRunFollowsObservations(t *testing.T) {
	is := is.New(t)
	var e durationEstimator
	for range 1000 {
		e.observe(100, time.Second)
		e.observe(300, 3*time.Second)
	}
	near := func(got, want time.Duration) bool { return math.Abs(float64(got-want)) < 0.1*float64(want) }
	is.True(near(e.expectedRun(200), 2*time.Second))
	is.True(near(e.expectedRun(0), 2*time.Second)) // no estimate: an average item
	is.Equal(e.expectedRun(1_000_000), maxOvertake)
}

// Replays steps of 264 items of which one in twelve runs five times as long as the others, on engines with
// more slots than items. Guards against a connection for each item at the start of a step, and against waits
// that make the step longer.
func TestShortItemsWaitForIdleConnections(t *testing.T) {
	is := is.New(t)
	const items, tick = 264, 10 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 1))
	durations := make([]time.Duration, items)
	var longest time.Duration
	for i := range durations {
		durations[i] = time.Duration(float64(600*time.Millisecond) * math.Exp(0.5*rng.NormFloat64()))
		if i%12 == 0 {
			durations[i] *= 5
		}
		durations[i] = min(durations[i], maxOvertake)
		longest = max(longest, durations[i])
	}
	slices.SortFunc(durations, func(a, b time.Duration) int { return int(b - a) }) // the queue order
	step := func(wait func(expected time.Duration) time.Duration) (conns int, end time.Duration) {
		waiting, idle := slices.Clone(durations), 0
		var ends []time.Duration
		for now := time.Duration(0); len(waiting) > 0 || len(ends) > 0; now += tick {
			ends = slices.DeleteFunc(ends, func(at time.Duration) bool {
				if at <= now {
					idle++
				}
				return at <= now
			})
			waiting = slices.DeleteFunc(waiting, func(d time.Duration) bool {
				switch {
				case idle > 0:
					idle--
				case now >= wait(d):
					conns++
				default:
					return false
				}
				ends = append(ends, now+d)
				end = max(end, now+d)
				return true
			})
		}
		return conns, end
	}
	connsAtOnce, endAtOnce := step(func(time.Duration) time.Duration { return 0 })
	conns, end := step(func(expected time.Duration) time.Duration { return connWait(expected, longest) })
	t.Logf("at once: %d connections, %v; with waits: %d connections, %v", connsAtOnce, endAtOnce, conns, end)
	is.Equal(connsAtOnce, items)
	// Prices under 0.08, the target of altyn-fry-large, leave 0.56 of the connections that cost 0.085 before.
	is.True(float64(conns) <= 0.56*items)
	is.Equal(end, endAtOnce)
}
