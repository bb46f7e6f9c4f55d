package rollout_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/rollout"
)

// Guards against requests that open, take or acknowledge the wrong thing without a typed refusal.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	b := newBed(t, service(), func(o *rollout.Options) { o.MaxHeldTokens = 1000 })
	b.trainer.Begin(1, groups(1, 2, 10))
	_, err := b.trainer.Take(b.ctx, 0, 0, false)
	is.Equal(code(err), rollout.CodeStepNotOpen)
	is.NoErr(b.trainer.Reopen(b.ctx))
	is.NoErr(b.trainer.Reopen(b.ctx)) // same body
	is.Equal(code(b.trainer.Open(b.ctx, 1, groups(1, 3, 10))), rollout.CodeStepConflict)
	is.Equal(code(b.trainer.Open(b.ctx, 2, groups(1, 101, 10))), rollout.CodeStepTooLarge)
	is.Equal(code(b.trainer.Open(b.ctx, 2, groups(1, 100, 10))), rollout.CodeBusy)
	is.Equal(code(b.trainer.Open(b.ctx, 2, groups(0, 1, 10))), rollout.CodeBadRequest)
	other := *b.trainer
	other.Name = "stranger"
	is.Equal(code(other.Open(b.ctx, 1, groups(1, 2, 10))), rollout.CodeNotATrainer)
	other.Service = "nothing"
	is.Equal(code(other.Open(b.ctx, 1, groups(1, 2, 10))), rollout.CodeUnknownService)
	b.whole(is, 2)
	is.NoErr(b.trainer.Ack(b.ctx))
	is.NoErr(b.trainer.Ack(b.ctx)) // repeated
	_, err = b.trainer.Take(b.ctx, 0, 0, false)
	is.Equal(code(err), rollout.CodeStepNotOpen)
}

// Guards against a lost take answer that loses its samples.
func TestLostTakeAnswers(t *testing.T) {
	is := is.New(t)
	b := newBed(t, service(), nil)
	b.begin(is, 1, groups(4, 4, 40))
	for range 5 {
		_, err := b.trainer.Take(b.ctx, testTimeout, 3, true)
		is.NoErr(err)
	}
	b.whole(is, 16)
	is.Equal(b.trainer.Ledger().Delivered, 16)
}

// Guards against a trainer that restarts from an older checkpoint and never gets again what it lost.
func TestTrainerRestartsWithOlderBitmap(t *testing.T) {
	is := is.New(t)
	b := newBed(t, service(), nil)
	b.begin(is, 1, groups(4, 4, 40))
	_, err := b.trainer.Take(b.ctx, testTimeout, 3, false)
	is.NoErr(err)
	old := b.trainer.Checkpoint()
	b.whole(is, 16)
	b.trainer.Restore(old)
	b.whole(is, 16)
	is.NoErr(b.trainer.Reopen(b.ctx)) // the restarted trainer may open the step again
	b.whole(is, 16)
}

// Guards against a dead owner whose finished samples are lost for good, and against generating
// again what the trainer has.
func TestOwnerDiesWithFinishedSamples(t *testing.T) {
	is := is.New(t)
	b := newBed(t, service(), nil)
	b.begin(is, 1, groups(4, 4, 40))
	for b.trainer.Count() < 8 {
		_, err := b.trainer.Take(b.ctx, testTimeout, 8-b.trainer.Count(), false)
		is.NoErr(err)
	}
	got := b.trainer.Count()
	before := len(b.fleet.Starts())
	b.Kill(b.via)
	b.via = 1 - b.via
	b.whole(is, 16)
	is.Equal(b.trainer.Ledger().Reopened, 1)
	is.True(len(b.fleet.Starts())-before <= 16-got+1) // one hedge at most
}

// Guards against two owners that each deliver the same sample.
func TestTwoOwners(t *testing.T) {
	is := is.New(t)
	b := newBed(t, service(), nil)
	b.SetView(0, []int{0})
	b.SetView(1, []int{1})
	b.begin(is, 1, groups(4, 4, 40))
	for b.ctx.Err() == nil {
		b.via = 1 - b.via
		resp, err := b.trainer.Take(b.ctx, testTimeout, 2, false)
		if code(err) == rollout.CodeStepNotOpen {
			is.NoErr(b.trainer.Reopen(b.ctx))
			continue
		}
		is.NoErr(err)
		if resp.Complete {
			break
		}
	}
	b.whole(is, 16)
	is.Equal(b.trainer.Ledger().Delivered, 16)
}

// Guards against a request that two instances with different views forward to each other for ever,
// and against a trainer that is refused because the owner cannot be reached.
func TestForwardingLoopAndUnreachableOwner(t *testing.T) {
	is := is.New(t)
	b := newBed(t, service(), nil)
	b.SetView(0, []int{1})
	b.SetView(1, []int{0})
	b.begin(is, 1, groups(2, 2, 20))
	b.whole(is, 4)
	b.SetView(0, nil)
	b.SetView(1, nil)
	owner := b.OwnerOf("main")
	b.via = 1 - owner
	b.Cut(b.via, owner, true)
	b.begin(is, 2, groups(2, 2, 20))
	b.whole(is, 4)
	b.begin(is, 3, groups(2, 2, 20))
	b.Cut(b.via, owner, false) // opened here, and the owner does not know it
	b.whole(is, 4)
	is.Equal(b.trainer.Ledger().Reopened, 0)
}

// Guards against a step of a trainer that never comes back holding memory for ever.
func TestStepExpires(t *testing.T) {
	is := is.New(t)
	b := newBed(t, service(), func(o *rollout.Options) { o.StepExpiry, o.MaxHeldTokens = testTimeout/1000, 100 })
	is.NoErr(b.trainer.Open(b.ctx, 1, groups(1, 10, 10)))
	b.until(is, func() bool { return b.trainer.Open(b.ctx, 2, groups(1, 10, 10)) == nil })
}

// Guards against a late copy of a PUT that makes engines generate an acknowledged step again.
func TestLatePutAfterAck(t *testing.T) {
	is := is.New(t)
	b := newBed(t, service(), nil)
	b.begin(is, 1, groups(1, 4, 10))
	b.whole(is, 4)
	is.NoErr(b.trainer.Ack(b.ctx))
	before := len(b.fleet.Starts())
	is.NoErr(b.trainer.Reopen(b.ctx))
	b.trainer.Begin(2, groups(1, 4, 400)) // takes several times the open grace
	b.whole(is, 4)
	is.Equal(len(b.fleet.Starts()), before+4)
}

// Guards against the samples of a trainer's next step that take engines from the step it waits for.
func TestEarlierStepFirst(t *testing.T) {
	is := is.New(t)
	b := newBed(t, service(), func(o *rollout.Options) { o.SlotsPerSampler = 1 })
	is.NoErr(b.trainer.Open(b.ctx, 1, groups(4, 2, 40)))
	is.NoErr(b.trainer.Open(b.ctx, 2, groups(1, 2, 399)))
	b.trainer.Begin(1, groups(4, 2, 40))
	b.whole(is, 8)
	for _, r := range b.fleet.Starts()[:7] { // the eighth may start together with the next step's first
		is.Equal(r.MaxTokens, 40)
	}
}

// Guards against a take that the trainer gave up on and that takes the samples of the next one's wait.
func TestNewerTakeEndsOlder(t *testing.T) {
	is := is.New(t)
	b := newBed(t, service(), nil)
	for _, id := range []string{"s0", "s1", "s2"} {
		b.fleet.Engine(id).SetSlow(0)
	}
	b.begin(is, 1, groups(1, 1, 10))
	older := make(chan error, 1)
	old := *b.trainer
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		_, err := old.Take(b.ctx, testTimeout, 0, false)
		older <- err
	})
	b.until(is, func() bool { return len(older) == 1 || b.takeNow() == nil && len(older) == 1 })
	is.NoErr(<-older)
}

// Guards against a former owner that holds memory and engines for a step that another instance owns.
func TestFormerOwnerLetsGo(t *testing.T) {
	is := is.New(t)
	b := newBed(t, service(), func(o *rollout.Options) {
		o.OwnershipGrace, o.MaxHeldTokens = testTimeout/1000, 100
	})
	b.begin(is, 1, groups(1, 10, 10))
	owner := b.via
	b.SetView(owner, []int{1 - owner}) // the owner learns that it is none any more
	b.Cut(owner, 1-owner, true)        // and serves new steps locally
	b.until(is, func() bool { return b.trainer.Open(b.ctx, 2, groups(1, 10, 10)) == nil })
}

// Guards against a planned stop that waits for a take's long poll.
func TestDrainEndsWaitingTake(t *testing.T) {
	is := is.New(t)
	b := newBed(t, service(), nil)
	for _, id := range []string{"s0", "s1", "s2"} {
		b.fleet.Engine(id).SetSlow(0)
	}
	b.begin(is, 1, groups(1, 1, 10))
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(b.Drain)
	_, err := b.trainer.Take(b.ctx, 10*testTimeout, 0, false)
	is.NoErr(err) // and not the end of the test's time
}

// Guards against samples generated so far ahead that they are too old for the idle weight when the
// trainer comes to them, and against a step given up without acknowledgement that blocks later ones.
func TestStepsAheadFollowIdleWeight(t *testing.T) {
	is := is.New(t)
	svc := service()
	svc.Rollout.MaxVersionLag, svc.Rollout.IdleWeight = 4, 0.5 // tolerates a lag of 2
	b := newBed(t, svc, nil)
	b.begin(is, 1, groups(1, 2, 10))
	for step := int64(2); step <= 4; step++ {
		is.NoErr(b.trainer.Open(b.ctx, step, groups(1, 2, int(10*step))))
	}
	b.whole(is, 2)
	b.until(is, func() bool { return len(b.fleet.Starts()) >= 6 }) // steps 1 to 3
	_, err := b.trainer.Take(b.ctx, 0, 0, false)
	is.NoErr(err)
	for _, r := range b.fleet.Starts() {
		is.True(r.MaxTokens < 40)
	}
	b.trainer.Begin(4, groups(1, 2, 40)) // the trainer skips steps
	b.whole(is, 2)
}

// Guards against steps that a restarted trainer never acknowledged filling the memory bound.
func TestGivenUpStepLetsGo(t *testing.T) {
	is := is.New(t)
	b := newBed(t, service(), func(o *rollout.Options) { o.GivenUpExpiry, o.MaxHeldTokens = testTimeout/1000, 200 })
	b.begin(is, 1, groups(1, 10, 10))
	is.NoErr(b.takeNow())
	b.begin(is, 2, groups(1, 10, 10))
	b.whole(is, 10)
	b.until(is, func() bool { return b.trainer.Open(b.ctx, 3, groups(1, 10, 10)) == nil })
	b.whole(is, 10) // the step that it takes from stays
	is.Equal(b.trainer.Ledger().Reopened, 0)
}
