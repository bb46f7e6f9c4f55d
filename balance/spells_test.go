package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// replayedEngines are engines that turn slow by ratio for one window of time in seven, as engines with noisy neighbours do.
type replayedEngines struct {
	random *rand.Rand
	slow   []bool
}

const (
	replayWindow = 600 * time.Millisecond
	replayStep   = 50 * time.Millisecond // a stream's event interval
	replayRatio  = 2.5
)

func newReplayedEngines(n int) *replayedEngines {
	return &replayedEngines{random: rand.New(rand.NewPCG(1, 2)), slow: make([]bool, n)}
}

func (r *replayedEngines) nextWindow() {
	for i := range r.slow {
		r.slow[i] = r.random.Float64() < 0.15
	}
}

func (r *replayedEngines) observations(now time.Time) []Observation[int] {
	list := make([]Observation[int], len(r.slow))
	for i, slow := range r.slow {
		list[i] = Observation[int]{Engine: i, Ratio: 1, At: now}
		if slow {
			list[i].Ratio = replayRatio
		}
	}
	return list
}

// Guards against items that leave an engine at each of its half-second slow spells, and pay for a connection and a second read of
// their prompt to arrive when the spell is over; and against items that stay at an engine which is slow for many seconds.
func TestShortSpellsAreWaitedOut(t *testing.T) {
	const (
		engines    = 48
		sick       = 0 // slow from sickFrom on
		sickFrom   = 20 * time.Second
		end        = 28 * time.Second
		remaining  = 4 * time.Second
		worthwhile = 500 * time.Millisecond // clients read twice a second
		maxLeave   = 2 * time.Second
	)
	is := is.New(t)
	var spells Spells[int]
	r := newReplayedEngines(engines)
	start := time.Unix(1000, 0)
	var slowWindows, left, leftInFirst int
	slowBefore := make([]bool, engines) // in the window before
	leftSickAfter := time.Duration(math.MaxInt64)
	isLeft := make([]bool, engines) // in this window
	for at := time.Duration(0); at < end; at += replayStep {
		if at%replayWindow == 0 {
			copy(slowBefore, r.slow)
			r.nextWindow()
			clear(isLeft)
		}
		r.slow[sick] = at >= sickFrom
		now := start.Add(at)
		spells.Observe(r.observations(now))
		if at < end/4 {
			continue // the first spells teach how long they last
		}
		for engine, slow := range r.slow {
			rest, ratio := spells.Rest(engine, now)
			if at%replayWindow == 0 && slow && engine != sick {
				slowWindows++
			}
			if Delay(remaining, rest, ratio) < worthwhile {
				continue
			}
			switch {
			case engine == sick:
				leftSickAfter = min(leftSickAfter, at-sickFrom)
			case !isLeft[engine]:
				isLeft[engine] = true
				left++
				if !slowBefore[engine] {
					leftInFirst++
				}
			}
		}
	}
	t.Logf("%d slow windows, %d times left, sick engine left after %v, median spell %v", slowWindows, left, leftSickAfter, spells.Typical())
	is.True(slowWindows > 200)
	is.Equal(leftInFirst, 0)       // a spell that lasts for one window is waited out
	is.True(left*5 <= slowWindows) // one in seven is followed by another at once
	is.True(leftSickAfter <= maxLeave)
}

// Guards against a change for services whose engines are slow for long: without a spell that has ended, a slow engine is
// expected to stay slow.
func TestUnknownSpellsAreExpectedToLast(t *testing.T) {
	is := is.New(t)
	var spells Spells[string]
	now := time.Unix(1000, 0)
	spells.Observe([]Observation[string]{{Engine: "a", Ratio: 3, At: now}})
	rest, ratio := spells.Rest("a", now.Add(time.Minute))
	is.Equal(ratio, 3.0)
	is.Equal(Delay(2*time.Second, rest, ratio), 4*time.Second)
}

// Guards against an engine that gets no work for good because it was slow when it last had some.
func TestSpellOfAnIdleEngineFades(t *testing.T) {
	is := is.New(t)
	var spells Spells[string]
	now := time.Unix(1000, 0)
	slowFor := func(d time.Duration) {
		for ; d >= 0; d -= replayStep {
			spells.Observe([]Observation[string]{{Engine: "a", Ratio: 3, At: now}})
			now = now.Add(replayStep)
		}
	}
	for range maxEndedSpells + 1 {
		slowFor(replayWindow)
		spells.Observe([]Observation[string]{{Engine: "a", Ratio: 1, At: now}})
		now = now.Add(replayWindow)
	}
	is.True(spells.Typical() >= replayWindow)
	slowFor(replayWindow / 2)
	rest, _ := spells.Rest("a", now)
	is.True(rest > 0)
	rest, ratio := spells.Rest("a", now.Add(rest))
	is.Equal(rest, time.Duration(0))
	is.Equal(ratio, 1.0)
	// Nothing was seen of the end of this spell, so that it teaches nothing.
	ended := len(spells.ended)
	spells.Observe([]Observation[string]{{Engine: "a", Ratio: 1, At: now.Add(time.Minute)}})
	is.Equal(len(spells.ended), ended)
}

// Guards against a memory that grows with each engine that a service has ever had.
func TestEnginesThatAreGoneAreForgotten(t *testing.T) {
	is := is.New(t)
	var spells Spells[int]
	now := time.Unix(1000, 0)
	for i := range 1000 {
		now = now.Add(replayStep)
		spells.Observe([]Observation[int]{{Engine: i, Ratio: 3, At: now}})
	}
	is.Equal(len(spells.open), 1)
}
