package job

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
)

// teachSpells lets a placer see engine id turn slow n times for half a second, and leaves it slow. It takes time.
func teachSpells(p *placer, dir *backends.Directory, id string, n int) {
	b, _ := dir.Backend(id)
	see := func(interval time.Duration, events int) {
		for range events {
			time.Sleep(50 * time.Millisecond)
			for range 20 { // until the smoothed interval follows
				b.RecordEventInterval(interval)
			}
			candidates := dir.Candidates("llm", "m")
			p.slowFor(b, candidates, eventIntervalQuantile(candidates, fastQuantile))
		}
	}
	for range n {
		see(slowInterval, 10)
		see(fastInterval, 10)
	}
	see(slowInterval, 1)
}

// Guards against an item that leaves an engine which is slow for half a second every few seconds: the spell would have been over
// before the move has saved what it costs.
func TestItemWaitsOutAShortSpell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMoveFixture()
		f.fast.End() // has a free slot
		other, _ := f.dir.Backend("e0")
		f.engine.eventInterval["e0"] = fastInterval // fast again with the first event
		teachSpells(f.driver.placer, f.dir, "e0", 20)
		other.RecordEventInterval(slowInterval)
		candidates := f.dir.Candidates("llm", "m")
		m := &mover{
			placer: f.driver.placer, backend: other, submitted: time.Now(), longest: func() time.Duration { return time.Second },
			request: engineRequest{service: "llm", model: "m", minVersion: 1, expected: 4 * time.Second},
		}
		is.True(isMoveWorthwhile(4*time.Second, other.EventInterval(), eventIntervalQuantile(candidates, fastQuantile), eventIntervalQuantile(candidates, 0.5)))
		m.considerMove(&partialOutput{})
		is.Equal(m.pending, nil)
		is.Equal(f.driver.placer.movesSpared.Load(), int64(1))
	})
}

// Guards against an engine that idles because it was slow when it last ran an item.
func TestEngineWhoseSpellIsOverGetsItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dir := directoryOf(4, 4, 1)
		for _, id := range []string{"e1", "e2", "e3"} {
			b, _ := dir.Backend(id)
			b.RecordEventInterval(fastInterval)
		}
		p := newPlacer(dir, "a", 1)
		teachSpells(p, dir, "e0", 20)
		// place returns how many of n items at once e0 gets.
		place := func(n int) (got int) {
			var chosen []*backends.Backend
			for i := range n {
				req := requestFor(int64(i))
				req.expected = 2 * time.Second
				b, err := p.acquire(t.Context(), req)
				is.NoErr(err)
				chosen = append(chosen, b)
			}
			for _, b := range chosen {
				if b.ID == "e0" {
					got++
				}
				b.EndClosed()
			}
			return got
		}
		is.Equal(place(3), 0)
		time.Sleep(10 * time.Second)
		is.Equal(place(4), 1)
	})
}
