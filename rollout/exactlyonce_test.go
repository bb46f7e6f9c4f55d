package rollout_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/rollout"
)

// Guards against invalid opens, takes and acknowledgements that are not refused with the right code.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), func(o *rollout.Options) { o.MaxReservedTokens = 1000 })
	b.trainer.SetStep(1, openRequest(1, 2, 10))
	_, err := b.trainer.Take(b.ctx, 0, 0, false)
	is.Equal(errorCode(err), rollout.CodeStepNotOpen)
	is.NoErr(b.trainer.Reopen(b.ctx))
	is.NoErr(b.trainer.Reopen(b.ctx)) // same body
	is.Equal(errorCode(b.trainer.Open(b.ctx, 1, openRequest(1, 3, 10))), rollout.CodeStepConflict)
	is.Equal(errorCode(b.trainer.Open(b.ctx, 2, openRequest(1, 101, 10))), rollout.CodeStepTooLarge)
	is.Equal(errorCode(b.trainer.Open(b.ctx, 2, openRequest(1, 100, 10))), rollout.CodeBusy)
	is.Equal(errorCode(b.trainer.Open(b.ctx, 2, openRequest(0, 1, 10))), rollout.CodeBadRequest)
	other := *b.trainer
	other.Name = "stranger"
	is.Equal(errorCode(other.Open(b.ctx, 1, openRequest(1, 2, 10))), rollout.CodeNotATrainer)
	other.Service = "nothing"
	is.Equal(errorCode(other.Open(b.ctx, 1, openRequest(1, 2, 10))), rollout.CodeUnknownService)
	b.completeStep(is, 2)
	is.NoErr(b.trainer.Ack(b.ctx))
	is.NoErr(b.trainer.Ack(b.ctx)) // repeated
	_, err = b.trainer.Take(b.ctx, 0, 0, false)
	is.Equal(errorCode(err), rollout.CodeStepNotOpen)
}

// Guards against prompts of open steps that take ever more memory, against a step that is refused although it is alone, and against
// prompts that are counted after their step has ended.
func TestPromptsOfOpenStepsAreBounded(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), func(o *rollout.Options) { o.MaxPromptBytes = 1000 })
	withPrompt := func(bytes int) rollout.OpenRequest {
		r := openRequest(1, 1, 10)
		r.Groups[0].Prompt = strings.Repeat("p", bytes)
		return r
	}
	is.NoErr(b.trainer.Open(b.ctx, 1, withPrompt(2000)))
	is.Equal(errorCode(b.trainer.Open(b.ctx, 2, withPrompt(10))), rollout.CodeBusy)
	b.trainer.SetStep(1, withPrompt(2000))
	b.completeStep(is, 1)
	is.NoErr(b.trainer.Ack(b.ctx))
	b.waitFor(is, func() bool { return b.trainer.Open(b.ctx, 2, withPrompt(600)) == nil })
	is.NoErr(b.trainer.Open(b.ctx, 3, withPrompt(400)))
	is.Equal(errorCode(b.trainer.Open(b.ctx, 4, withPrompt(1))), rollout.CodeBusy)
}

// Guards against samples that are lost with the response of a take.
func TestLostTakeAnswers(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), nil)
	b.openStep(is, 1, openRequest(4, 4, 40))
	for range 5 {
		_, err := b.trainer.Take(b.ctx, testTimeout, 3, true)
		is.NoErr(err)
	}
	b.completeStep(is, 16)
	is.Equal(b.trainer.Ledger().Delivered, 16)
}

// Guards against a trainer that restarts from an older checkpoint and never receives again the samples
// that it lost.
func TestTrainerRestartsWithOlderBitmap(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), nil)
	b.openStep(is, 1, openRequest(4, 4, 40))
	_, err := b.trainer.Take(b.ctx, testTimeout, 3, false)
	is.NoErr(err)
	old := b.trainer.Checkpoint()
	b.completeStep(is, 16)
	b.trainer.Restore(old)
	b.completeStep(is, 16)
	is.NoErr(b.trainer.Reopen(b.ctx)) // the restarted trainer may open the step again
	b.completeStep(is, 16)
}

// Guards against finished samples that are lost for good when their owner dies, and against generating
// again samples that the trainer already has.
func TestOwnerDiesWithFinishedSamples(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), nil)
	b.openStep(is, 1, openRequest(4, 4, 40))
	for b.trainer.Received() < 8 {
		_, err := b.trainer.Take(b.ctx, testTimeout, 8-b.trainer.Received(), false)
		is.NoErr(err)
	}
	got := b.trainer.Received()
	before := len(b.fleet.Requests())
	b.Kill(b.target)
	b.target = 1 - b.target
	b.completeStep(is, 16)
	is.Equal(b.trainer.Ledger().Reopened, 1)
	is.True(len(b.fleet.Requests())-before <= 16-got+1) // one hedge at most
}

// Guards against two owners of a step that both deliver the same sample.
func TestTwoOwners(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), nil)
	b.SetView(0, []int{0})
	b.SetView(1, []int{1})
	b.openStep(is, 1, openRequest(4, 4, 40))
	for b.ctx.Err() == nil {
		b.target = 1 - b.target
		resp, err := b.trainer.Take(b.ctx, testTimeout, 2, false)
		if errorCode(err) == rollout.CodeStepNotOpen {
			is.NoErr(b.trainer.Reopen(b.ctx))
			continue
		}
		is.NoErr(err)
		if resp.Complete {
			break
		}
	}
	b.completeStep(is, 16)
	is.Equal(b.trainer.Ledger().Delivered, 16)
}

// Guards against a request that two instances with different views forward to each other forever, and
// against refusing a trainer because the owner cannot be reached.
func TestForwardingLoopAndUnreachableOwner(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), nil)
	b.SetView(0, []int{1})
	b.SetView(1, []int{0})
	b.openStep(is, 1, openRequest(2, 2, 20))
	b.completeStep(is, 4)
	b.SetView(0, nil)
	b.SetView(1, nil)
	owner := b.OwnerOf("main")
	b.target = 1 - owner
	b.SetLinkCut(b.target, owner, true)
	b.openStep(is, 2, openRequest(2, 2, 20))
	b.completeStep(is, 4)
	b.openStep(is, 3, openRequest(2, 2, 20))
	b.SetLinkCut(b.target, owner, false) // the step is open at target only
	b.completeStep(is, 4)
	is.Equal(b.trainer.Ledger().Reopened, 0)
}

// Guards against a step that holds memory forever because its trainer never returns.
func TestStepExpires(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), func(o *rollout.Options) { o.StepExpiry, o.MaxReservedTokens = testTimeout/1000, 100 })
	is.NoErr(b.trainer.Open(b.ctx, 1, openRequest(1, 10, 10)))
	b.waitFor(is, func() bool { return b.trainer.Open(b.ctx, 2, openRequest(1, 10, 10)) == nil })
}

// Guards against a late copy of a PUT that makes engines generate an acknowledged step a second time.
func TestLatePutAfterAck(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), nil)
	b.openStep(is, 1, openRequest(1, 4, 10))
	b.completeStep(is, 4)
	is.NoErr(b.trainer.Ack(b.ctx))
	before := len(b.fleet.Requests())
	is.NoErr(b.trainer.Reopen(b.ctx))
	b.trainer.SetStep(2, openRequest(1, 4, 400)) // runs for several times OpenGrace
	b.completeStep(is, 4)
	is.Equal(len(b.fleet.Requests()), before+4)
}

// Guards against samples of a trainer's next step that occupy engines needed for the step that the
// trainer waits for.
func TestEarlierStepFirst(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), func(o *rollout.Options) { o.SlotsPerSampler = 1 })
	is.NoErr(b.trainer.Open(b.ctx, 1, openRequest(4, 2, 40)))
	is.NoErr(b.trainer.Open(b.ctx, 2, openRequest(1, 2, 399)))
	b.trainer.SetStep(1, openRequest(4, 2, 40))
	b.completeStep(is, 8)
	for _, r := range b.fleet.Requests()[:7] { // the eighth may start together with the next step's first
		is.Equal(r.MaxTokens, 40)
	}
}

// Guards against a take that the trainer gave up on but that keeps waiting and receives the samples of
// the newer take.
func TestNewerTakeEndsOlder(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), nil)
	for _, id := range []string{"s0", "s1", "s2"} {
		b.fleet.Engine(id).SetSpeedFactor(0)
	}
	b.openStep(is, 1, openRequest(1, 1, 10))
	older := make(chan error, 1)
	old := *b.trainer
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		_, err := old.Take(b.ctx, testTimeout, 0, false)
		older <- err
	})
	b.waitFor(is, func() bool { return len(older) == 1 || b.takeNow() == nil && len(older) == 1 })
	is.NoErr(<-older)
}

// Guards against a former owner that holds memory and engines for a step that another instance owns.
func TestFormerOwnerClosesStep(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), func(o *rollout.Options) {
		o.OwnershipGrace, o.MaxReservedTokens = testTimeout/1000, 100
	})
	b.openStep(is, 1, openRequest(1, 10, 10))
	owner := b.target
	b.SetView(owner, []int{1 - owner}) // the owner learns that it no longer owns the step
	b.SetLinkCut(owner, 1-owner, true) // and serves new steps itself, since it cannot forward them
	b.waitFor(is, func() bool { return b.trainer.Open(b.ctx, 2, openRequest(1, 10, 10)) == nil })
}

// Guards against a planned stop that waits until a long-polling take times out.
func TestDrainEndsWaitingTake(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), nil)
	for _, id := range []string{"s0", "s1", "s2"} {
		b.fleet.Engine(id).SetSpeedFactor(0)
	}
	b.openStep(is, 1, openRequest(1, 1, 10))
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(b.Drain)
	_, err := b.trainer.Take(b.ctx, 10*testTimeout, 0, false)
	is.NoErr(err) // the take ended before the context of the test
}

// Guards against samples generated so far ahead that they are too old for the idle weight when the
// trainer reaches them, and against a step abandoned without an acknowledgement that blocks later ones.
func TestStepsAheadFollowIdleWeight(t *testing.T) {
	is := is.New(t)
	svc := testService()
	svc.Rollout.MaxVersionLag, svc.Rollout.IdleWeight = 4, 0.5 // soft lag of 2
	b := newTestbed(t, svc, nil)
	b.openStep(is, 1, openRequest(1, 2, 10))
	for step := int64(2); step <= 4; step++ {
		is.NoErr(b.trainer.Open(b.ctx, step, openRequest(1, 2, int(10*step))))
	}
	b.completeStep(is, 2)
	b.waitFor(is, func() bool { return len(b.fleet.Requests()) >= 6 }) // steps 1 to 3
	_, err := b.trainer.Take(b.ctx, 0, 0, false)
	is.NoErr(err)
	for _, r := range b.fleet.Requests() {
		is.True(r.MaxTokens < 40)
	}
	b.trainer.SetStep(4, openRequest(1, 2, 40)) // the trainer skips steps
	b.completeStep(is, 2)
}

// Guards against steps that fill the memory bound because a restarted trainer never acknowledged them.
func TestAbandonedStepExpires(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), func(o *rollout.Options) { o.AbandonedStepExpiry, o.MaxReservedTokens = testTimeout/1000, 200 })
	b.openStep(is, 1, openRequest(1, 10, 10))
	is.NoErr(b.takeNow())
	b.openStep(is, 2, openRequest(1, 10, 10))
	b.completeStep(is, 10)
	b.waitFor(is, func() bool { return b.trainer.Open(b.ctx, 3, openRequest(1, 10, 10)) == nil })
	b.completeStep(is, 10) // the step that the trainer takes from stays open
	is.Equal(b.trainer.Ledger().Reopened, 0)
}
