package job

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
)

// directoryOf returns a directory with engines of a service "llm" in the data centre "a".
func directoryOf(n, slots int, version int64) *backends.Directory {
	dir := backends.New()
	for i := range n {
		dir.Put(backends.Entry{
			ID: fmt.Sprintf("e%d", i), Service: "llm", Addr: fmt.Sprintf("127.0.0.1:%d", 1000+i), Zone: "a",
			Slots: slots, Versions: map[string]int64{"m": version},
		})
	}
	return dir
}

func wantFor(order int64) *want {
	return &want{order: order, service: "llm", model: "m", minVersion: 1}
}

// Guards against sending more items to an engine than it runs at once while others are free.
func TestBurstFillsAllEnginesToTheirSlots(t *testing.T) {
	is := is.New(t)
	dir := directoryOf(3, 4, 1)
	p := newPlacer(dir, "a", 1)
	perEngine := map[string]int{}
	for i := range 12 {
		b, err := p.acquire(context.Background(), wantFor(int64(i)))
		is.NoErr(err)
		perEngine[b.ID]++
	}
	is.Equal(perEngine, map[string]int{"e0": 4, "e1": 4, "e2": 4})
}

// Guards against a new step's items that overtake those of the step before while slots are short.
func TestOlderStepIsServedFirst(t *testing.T) {
	is := is.New(t)
	dir := directoryOf(1, 1, 1)
	p := newPlacer(dir, "a", 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	busy, err := p.acquire(ctx, wantFor(0))
	is.NoErr(err)
	placed := make(chan int64, 2)
	for n, order := range []int64{9, 5} { // the younger one waits first
		go func() {
			b, err := p.acquire(ctx, wantFor(order))
			if err == nil {
				placed <- order
				b.End()
				p.pump()
			}
		}()
		waitFor(t, func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.waiting) == n+1
		})
	}
	busy.End()
	p.pump()
	is.Equal(<-placed, int64(5))
	is.Equal(<-placed, int64(9))
}

// Guards against samples that are older than their bound.
func TestEngineWithOldWeightsGetsNoItem(t *testing.T) {
	is := is.New(t)
	dir := directoryOf(2, 4, 3)
	w := wantFor(0)
	w.minVersion = 4
	is.Equal(choose(dir.Candidates("llm", "m"), w, nil, "a", 1), -1)
}

// Guards against reading the prompt of a group at several engines.
func TestItemsOfAGroupStayTogether(t *testing.T) {
	is := is.New(t)
	dir := directoryOf(3, 8, 1)
	p := newPlacer(dir, "a", 1)
	ids := map[string]bool{}
	for i := range 4 {
		w := wantFor(int64(i))
		w.group = "g"
		b, err := p.acquire(context.Background(), w)
		is.NoErr(err)
		ids[b.ID] = true
	}
	is.True(len(ids) <= 2)
}

// Guards against slots of a slow engine that hold back whole groups.
func TestSlowEngineGetsFewItems(t *testing.T) {
	is := is.New(t)
	dir := directoryOf(4, 8, 1)
	for i := range 4 {
		b, _ := dir.Backend(fmt.Sprintf("e%d", i))
		pace := 40 * time.Millisecond
		if i == 0 {
			pace *= 4
		}
		b.Paced(pace)
	}
	p := newPlacer(dir, "a", 1)
	perEngine := map[string]int{}
	for i := range 24 {
		b, err := p.acquire(context.Background(), wantFor(int64(i)))
		is.NoErr(err)
		perEngine[b.ID]++
	}
	is.True(perEngine["e0"] <= 2)
}

// placeOf returns the place of a text of four seconds that has just begun at an engine.
func placeOf(p *placer, dir *backends.Directory, id string) *place {
	b, _ := dir.Backend(id)
	return &place{
		placer: p, backend: b, template: want{service: "llm", model: "m", minVersion: 1, expected: 4 * time.Second},
		submitted: time.Now(), longest: func() time.Duration { return 4 * time.Second },
	}
}

// nextOf returns the engine to which a text moves after its event n.
func nextOf(p *place, n int) *backends.Backend {
	b, _ := p.next(n, textOf(int64(n)))
	return b
}

// textOf returns a text of a number of events under version 1.
func textOf(events int64) *text { return &text{last: events, versions: []int64{1}} }

// Guards against a text that must have one version and moves to an engine with another one, where it would
// begin again.
func TestTextOfOneVersionMovesWithinItsVersion(t *testing.T) {
	is := is.New(t)
	dir := directoryOf(3, 1, 1)
	for i, pace := range []time.Duration{62, 48, 47} {
		b, _ := dir.Backend(fmt.Sprintf("e%d", i))
		b.Paced(pace * time.Millisecond)
	}
	newer, _ := dir.Backend("e2")
	newer.Loaded("m", 2)
	same, _ := dir.Backend("e1")
	slow, _ := dir.Backend("e0")
	slow.Begin()
	same.Begin()
	p := newPlacer(dir, "a", 1)
	text := placeOf(p, dir, "e0")
	text.single = true
	is.Equal(nextOf(text, moveEvery), nil)
	is.Equal(nextOf(text, moveEvery+1), nil) // the engine with the newer version is free
	same.End()
	p.pump()
	is.Equal(nextOf(text, moveEvery+2), same)
}

// Guards against a long text that stays at a slow engine while a faster one is free, against moves
// without gain, and against slots of engines that are lost with a wait.
func TestTextMovesToAFasterEngineOnceOneIsFree(t *testing.T) {
	is := is.New(t)
	dir := directoryOf(4, 1, 1)
	for i, pace := range []time.Duration{60, 48, 47, 46} {
		b, _ := dir.Backend(fmt.Sprintf("e%d", i))
		b.Paced(pace * time.Millisecond)
		b.Begin()
	}
	p := newPlacer(dir, "a", 1)
	slow, quick := placeOf(p, dir, "e0"), placeOf(p, dir, "e1")
	is.Equal(nextOf(quick, moveEvery), nil)
	is.Equal(quick.waiting, nil) // nothing is worth a move
	is.Equal(nextOf(slow, moveEvery-1), nil)
	is.Equal(slow.waiting, nil) // not looked at yet
	is.Equal(nextOf(slow, moveEvery), nil)
	is.True(slow.waiting != nil) // no slot yet
	free, _ := dir.Backend("e2")
	free.End()
	p.pump()
	b, moved := slow.next(moveEvery+1, textOf(moveEvery+1))
	is.Equal(b, free)
	is.Equal(*moved, MovedError{To: "e2", Pace: 60 * time.Millisecond, Quick: 46 * time.Millisecond, Rest: 4*time.Second - 4*47*time.Millisecond})

	is.Equal(nextOf(slow, 2*moveEvery), nil)
	free.End()
	p.pump()
	slow.leave() // the text has ended: the engine that was placed is free again
	is.Equal(len(p.waiting), 0)
	list := dir.Candidates("llm", "m")
	for _, c := range list {
		is.True(c.Backend != free || c.InFlight == 0)
	}
}

// Guards against moves of texts that are nearly at their end or short, and against moves to an engine whose
// lead is within what its load changes.
func TestMovesAreWorthTheirTime(t *testing.T) {
	is := is.New(t)
	const ms = time.Millisecond
	is.True(isMoveWorth(3*time.Second, 62*ms, 48*ms, 48*ms))
	is.True(isMoveWorth(400*ms, 168*ms, 48*ms, 48*ms)) // several times slower: short texts move too
	is.True(!isMoveWorth(400*ms, 62*ms, 48*ms, 48*ms))
	is.True(!isMoveWorth(4*time.Second, 54*ms, 48*ms, 48*ms))
	is.True(!isMoveWorth(4*time.Second, 62*ms, 0, 0)) // no pace is known
	is.True(isAmongLast(time.Second, 4*time.Second, 5*time.Second))
	is.True(!isAmongLast(time.Second, time.Second, 5*time.Second)) // ends before the step's longest texts
	is.True(isAmongLast(0, time.Second, 0))                        // no text has ended yet
	const longest = 5 * time.Second
	is.Equal(remaining(4*time.Second, time.Second, longest), 3*time.Second)
	is.Equal(remaining(time.Second, 2*time.Second, longest), time.Second) // longer than estimated
	is.Equal(remaining(time.Second, longest-300*ms, longest), 300*ms)
	is.Equal(remaining(time.Second, 8*time.Second, longest), 4*time.Second) // longer than all others
}

// Guards against a step's longest time that is forgotten within the step, and one that is kept for good.
func TestLongestTimeFades(t *testing.T) {
	is := is.New(t)
	var l lengths
	l.observe(100, 4*time.Second)
	for range 50 {
		l.observe(100, time.Second)
	}
	is.True(l.longest() > 3*time.Second)
	for range 1000 {
		l.observe(100, time.Second)
	}
	is.Equal(l.longest(), time.Second)
}

// Guards against long texts that begin at slower engines while quick ones are free.
func TestLongTextsBeginAtQuickEngines(t *testing.T) {
	is := is.New(t)
	dir := directoryOf(3, 2, 1)
	for i, pace := range []time.Duration{62, 48, 62} {
		b, _ := dir.Backend(fmt.Sprintf("e%d", i))
		b.Paced(pace * time.Millisecond)
	}
	p := newPlacer(dir, "a", 1)
	for i := range 2 {
		w := wantFor(int64(i))
		w.expected = 4 * time.Second
		b, err := p.acquire(context.Background(), w)
		is.NoErr(err)
		is.Equal(b.ID, "e1")
	}
}

// Guards against new connections where one is free.
func TestFreeConnectionIsPreferred(t *testing.T) {
	is := is.New(t)
	dir := directoryOf(2, 8, 1)
	warm, _ := dir.Backend("e1")
	warm.Begin()
	warm.End()
	list := dir.Candidates("llm", "m")
	is.Equal(list[choose(list, wantFor(0), nil, "a", 1)].ID, "e1")
}

// waitFor fails the test unless f holds soon.
func waitFor(t *testing.T, f func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !f() {
		if time.Now().After(deadline) {
			t.Fatal("condition does not come to hold")
		}
		time.Sleep(time.Millisecond)
	}
}
