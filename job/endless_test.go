package job

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
)

// Guards against an engine that repeats an event without end and keeps its slot for good.
func TestEventsOfAnAttemptIncrease(t *testing.T) {
	is := is.New(t)
	directory := backends.New()
	directory.Put(backends.Entry{ID: "b"})
	b, _ := directory.Backend("b")
	a := &itemAttempt{
		output: &partialOutput{lastEvent: 2, checkpointedAt: time.Now()}, backend: b, silenceTimer: time.NewTimer(time.Hour), maxOutput: 100,
	}
	for id := range int64(3) { // events 1 and 2 are repeated before the stream resumes
		is.NoErr(a.Event(Event{ID: id + 1}))
	}
	var broken *BrokenError
	is.True(errors.As(a.Event(Event{ID: 3}), &broken))
	is.True(errors.As(a.Event(Event{ID: 1}), &broken))
}

// Guards against an engine that sends an event now and then without end and keeps its slot and its item for good.
func TestStreamWithoutEndIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMoveFixture()
		f.engine.events = 1 << 20
		f.engine.eventInterval["e0"] = eventTimeout - time.Millisecond
		config := *f.config.Load()
		config.Routes[0].GiveUpAfter = time.Minute
		f.config.Store(&config)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
		defer synctest.Wait()
		defer cancel()
		go f.driver.placer.run(ctx)
		start := time.Now()
		state, done := f.driver.generate(ctx, f.job, 0, &partialOutput{})
		is.True(done)
		is.Equal(state, Errored)
		is.True(time.Since(start) < time.Minute+eventTimeout)
	})
}

// failingEngine is an Engine whose answers end with an error.
type failingEngine struct {
	err  error
	runs int
}

// Generate implements Engine.
func (e *failingEngine) Generate(context.Context, *backends.Backend, Call, Receiver) error {
	e.runs++
	return e.err
}

// runsAtFailingEngine returns the number of runs of an item that is given up after a time, at two engines that always answer in the same way,
// and whether one of the engines is avoided then.
func runsAtFailingEngine(t *testing.T, err error, giveUpAfter time.Duration) (runs int, avoided bool) {
	is := is.New(t)
	f, engine := newMoveFixture(), &failingEngine{err: err}
	f.driver.opts.Engine = engine
	f.fast.End()
	f.config.Load().Routes[0].GiveUpAfter = giveUpAfter
	ctx, cancel := context.WithTimeout(t.Context(), 2*giveUpAfter)
	defer synctest.Wait()
	defer cancel()
	go f.driver.placer.run(ctx)
	state, done := f.driver.generate(ctx, f.job, 0, &partialOutput{})
	is.True(done)
	is.Equal(state, Errored)
	for _, c := range f.dir.Candidates("llm", "m") {
		avoided = avoided || c.Avoid
	}
	return engine.runs, avoided
}

// Guards against items that run again and again, dozens of times a second, at engines that skip an event.
func TestItemsWhoseEventsAreMissingRunRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const giveUpAfter = 10 * time.Second
		runs, _ := runsAtFailingEngine(t, &missingEventsError{want: 1, got: 2}, giveUpAfter)
		t.Logf("%d runs", runs)
		is.True(runs >= int(giveUpAfter/maxRetryDelay))
		is.True(runs <= 2*int(giveUpAfter/maxRetryDelay))
	})
}

// Guards against sound engines that are avoided because this instance has no memory for the texts of its items.
func TestLackOfMemoryIsNotHeldAgainstEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const giveUpAfter = 10 * time.Second
		runs, avoided := runsAtFailingEngine(t, &BrokenError{Err: ErrNoMemory}, giveUpAfter)
		t.Logf("%d runs", runs)
		is.True(!avoided)
		is.True(runs >= int(giveUpAfter/maxRetryDelay)) // it runs as soon as there is memory
		is.True(runs <= 2*int(giveUpAfter/maxRetryDelay))
	})
}
