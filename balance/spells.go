package balance

import (
	"math"
	"slices"
	"time"
)

// Load pattern: engines turn several times slower again and again, each for about half a second, beside a few that stay slow
// for many seconds. An item that leaves an engine for each short spell pays for a connection and a second read of its prompt,
// and arrives when the spell would have been over. A spell seen last before an engine became idle would keep items away from it
// for good.
//
// How long a spell goes on is estimated from the spells that have ended: of those that lasted as long as this one has, the
// mean of what was left. As long as none has ended, a spell is expected to outlast every item.

const (
	// maxEndedSpells bounds the ended spells by which the duration of the next one is judged.
	maxEndedSpells = 128
	// unendedRest is the rest that is assumed of one further spell which has lasted as long as the present one and has not
	// ended: what the longest items, of about five seconds, still have to run when they leave an engine.
	unendedRest = 4 * time.Second
	// observationGap is the longest time between two observations of the same spell. Streams have an event every 50 to 100
	// ms; after a longer pause it is unknown whether the engine was slow all the time.
	observationGap = time.Second
	// SlowRatio is the ratio of an engine's event interval to that of a fast one from which the engine counts as slow. An
	// engine with all slots taken is up to 1.4 times slower than an equal one that is almost empty.
	SlowRatio = 1.6
)

// Observation is the speed of an engine when it was last seen.
type Observation[K comparable] struct {
	Engine K
	// Ratio is the engine's event interval in units of a fast engine's.
	Ratio float64
	// At is the time of the last event from the engine.
	At time.Time
}

// spell is a time in which an engine is slow.
type spell struct {
	began, seen time.Time
	ratio       float64
}

// Spells holds the slow spells of the engines of one service. The zero value is ready for use. It is not safe for concurrent use.
type Spells[K comparable] struct {
	open  map[K]spell
	ended []time.Duration // durations of the newest ended spells
	next  int             // index in ended that the next one replaces
}

// Observe takes the newest observations of all engines of the service. Engines that are missing are forgotten.
func (s *Spells[K]) Observe(observations []Observation[K]) {
	open := make(map[K]spell, len(s.open))
	for _, o := range observations {
		before, known := s.open[o.Engine]
		switch {
		case o.Ratio < SlowRatio:
			if known && o.At.Sub(before.seen) <= observationGap {
				s.end(o.At.Sub(before.began))
			}
		case !known || o.At.Sub(before.seen) > observationGap:
			open[o.Engine] = spell{began: o.At, seen: o.At, ratio: o.Ratio}
		default:
			open[o.Engine] = spell{began: before.began, seen: o.At, ratio: o.Ratio}
		}
	}
	s.open = open
}

func (s *Spells[K]) end(lasted time.Duration) {
	if len(s.ended) < maxEndedSpells {
		s.ended = append(s.ended, lasted)
		return
	}
	s.ended[s.next] = lasted
	s.next = (s.next + 1) % maxEndedSpells
}

// Rest returns how much longer an engine is expected to be slow, and how many times slower it is: 0 and 1 if it is not. rest is
// math.MaxInt64 if no spell has ended yet, so that nothing is known of their durations.
func (s *Spells[K]) Rest(engine K, now time.Time) (rest time.Duration, ratio float64) {
	sp, slow := s.open[engine]
	if !slow {
		return 0, 1
	}
	if len(s.ended) == 0 {
		return math.MaxInt64, sp.ratio
	}
	age := sp.seen.Sub(sp.began)
	sum, n := unendedRest, 1
	for _, lasted := range s.ended {
		if lasted > age {
			sum += lasted - age
			n++
		}
	}
	if rest = sum/time.Duration(n) - now.Sub(sp.seen); rest <= 0 {
		return 0, 1
	}
	return rest, sp.ratio
}

// Delay returns by how much an item ends later at an engine that is slow by ratio for rest, where remaining is the item's
// remaining time at a fast engine.
func Delay(remaining, rest time.Duration, ratio float64) time.Duration {
	whole := time.Duration(float64(remaining) * (ratio - 1))
	if spellDelay := time.Duration(float64(rest) * (1 - 1/ratio)); spellDelay < whole {
		return spellDelay
	}
	return whole
}

// Typical returns the median duration of the spells that have ended, 0 if none has.
func (s *Spells[K]) Typical() time.Duration {
	if len(s.ended) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.ended))
	return sorted[len(sorted)/2]
}
