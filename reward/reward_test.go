package reward

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Replays the end of a step: the texts of 14 groups complete together in random order, and three calls of
// 30 ms run at once. The trainer waits for nine tenths of the groups. Guards against calls in the order of
// arrival, with which nearly all groups wait for the last calls.
func TestGroupsNearestToCompletionGoFirst(t *testing.T) {
	is := is.New(t)
	const groups, texts, wanted, atOnce = 14, 4, 13, 3
	rounds := func(groupsFirst bool) int {
		rng := rand.New(rand.NewPCG(1, 1))
		pending := [groups]int{}
		var waiting []int // groups of the waiting texts, in the order of arrival
		for g := range groups {
			pending[g] = texts
			for range texts {
				waiting = append(waiting, g)
			}
		}
		rng.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
		for round, whole := 1, 0; ; round++ {
			var sent []int
			for range min(atOnce, len(waiting)) {
				best := 0
				for i := range waiting {
					if groupsFirst && (Waiting{GroupPending: pending[waiting[i]]}).Before(Waiting{GroupPending: pending[waiting[best]]}) {
						best = i
					}
				}
				sent = append(sent, waiting[best])
				waiting = append(waiting[:best], waiting[best+1:]...)
			}
			for _, g := range sent {
				if pending[g]--; pending[g] == 0 {
					whole++
				}
			}
			if whole >= wanted {
				return round
			}
		}
	}
	arrival, groupsFirst := rounds(false), rounds(true)
	t.Logf("rounds until %d of %d groups are whole: %d by arrival, %d by group", wanted, groups, arrival, groupsFirst)
	is.True(groupsFirst < arrival)
	is.True(groupsFirst <= (wanted*texts+atOnce-1)/atOnce+1) // no more than the calls of the wanted groups need
}

// Guards against a newer step that overtakes an older one, which is due earlier.
func TestOlderStepGoesFirst(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	older, newer := Waiting{StepStart: now, GroupPending: 9}, Waiting{StepStart: now.Add(time.Second), GroupPending: 1}
	is.True(older.Before(newer))
	is.True(!newer.Before(older))
}

// Guards against calls of all instances together that take the slots which people's requests need.
func TestShareLeavesHalfOfTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, instances := rapid.IntRange(2, 500).Draw(t, "slots"), rapid.IntRange(1, 40).Draw(t, "instances")
		share := Share(slots, instances)
		if share < 1 || (share > 1 && share*instances*2 > slots) {
			t.Fatalf("share %d", share)
		}
	})
}

// Replays a service that refuses everything for a time. Guards against a full window of calls that keep a
// refusing service busy, and against a window that stays closed when the service is back.
func TestWindowFollowsTheService(t *testing.T) {
	is := is.New(t)
	window := 9
	for range 4 {
		window = nextWindow(window, 9, true)
	}
	is.Equal(window, 1)
	for range 8 {
		window = nextWindow(window, 9, false)
	}
	is.Equal(window, 9)
	is.Equal(nextWindow(9, 9, false), 9)
	is.Equal(nextWindow(9, 4, false), 4) // the limit has fallen
}

// Guards against a deadline that the step cannot use, and against calls that cannot be answered in time.
func TestDeadline(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	due, giveUp := now.Add(5*time.Second), now.Add(30*time.Second)
	is.Equal(Deadline(now, due, giveUp, 200*time.Millisecond, time.Second), now.Add(time.Second))
	is.Equal(Deadline(due.Add(-500*time.Millisecond), due, giveUp, 200*time.Millisecond, time.Second), due)
	late := due.Add(-50 * time.Millisecond) // too late for the step: the text is worth having all the same
	is.Equal(Deadline(late, due, giveUp, 200*time.Millisecond, time.Second), late.Add(time.Second))
	is.Equal(Deadline(giveUp.Add(-time.Second), due, giveUp, 200*time.Millisecond, 2*time.Second), giveUp)
	is.Equal(Deadline(now, due, giveUp, 200*time.Millisecond, 0), due)
	is.Equal(Deadline(now, time.Time{}, time.Time{}, 0, 0), time.Time{})
}

// Guards against giving a text up after refusals or timeouts, and against calls without end for a text
// whose call always fails.
func TestPolicy(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := Policy{MinDelay: 50 * time.Millisecond, MaxDelay: time.Second, Failures: 3, GiveUp: now.Add(time.Minute)}
	delay, again := p.Next(now, 1, 0)
	is.True(again)
	is.Equal(delay, 50*time.Millisecond)
	delay, again = p.Next(now, 100, 2) // refusals and timeouts are no failures
	is.True(again)
	is.Equal(delay, time.Second)
	_, again = p.Next(now, 1, 3)
	is.True(!again)
	_, again = p.Next(now.Add(time.Minute), 1, 0)
	is.True(!again)
	_, again = Policy{}.Next(now, 1000, 1000)
	is.True(again)
}

// Guards against more calls in flight than the limit, calls that are lost while they wait, and a place that
// a cancelled call keeps.
func TestGate(t *testing.T) {
	is := is.New(t)
	g := NewGate(func(string) int { return 2 })
	describe := func(pending int) func() Waiting { return func() Waiting { return Waiting{GroupPending: pending} } }
	is.NoErr(g.Acquire(t.Context(), "desk", describe(4)))
	is.NoErr(g.Acquire(t.Context(), "desk", describe(4)))
	admitted := make(chan int)
	for pending := 3; pending >= 1; pending-- {
		go func() {
			if g.Acquire(t.Context(), "desk", describe(pending)) == nil {
				admitted <- pending
			}
		}()
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancelled := make(chan error)
	go func() { cancelled <- g.Acquire(ctx, "desk", describe(0)) }()
	for g.Waiting() < 4 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(g.Acquire(t.Context(), "other", describe(9))) // services don't wait for one another
	g.Release("other", false)
	cancel()
	is.Equal(<-cancelled, context.Canceled)
	for pending := 1; pending <= 3; pending++ {
		g.Release("desk", false)
		is.Equal(<-admitted, pending)
	}
	g.Release("desk", true)
	g.Release("desk", false)
	is.Equal(g.InFlight(), 0)
	is.Equal(g.Waiting(), 0)
}
