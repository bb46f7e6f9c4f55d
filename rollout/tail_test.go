package rollout_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/rollout"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// Guards against a step that waits forever for an engine that stops sending events on open streams.
func TestSilentEngine(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), func(o *rollout.Options) { o.NoHedging = true })
	e := b.fleet.Engine("s0")
	e.OnToken(20, func() { e.SetSilent(true) })
	b.openStep(is, 1, openRequest(3, 3, 100))
	b.completeStep(is, 9)
	is.Equal(b.trainer.Ledger().Attempts, 9) // resumed, not restarted
}

// Guards against a step whose last sample waits for a stalled engine although a hedge would finish it,
// and against hedges beyond the budget.
func TestHedgeWinsOverStalledEngine(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), func(o *rollout.Options) {
		o.EventTimeout, o.FirstEventTimeout = testTimeout, testTimeout
	})
	for _, id := range []string{"s0", "s1", "s2"} {
		e := b.fleet.Engine(id)
		e.OnToken(50, func() {
			if len(b.fleet.Requests()) == 1 {
				e.SetSilent(true)
			}
		})
	}
	b.openStep(is, 1, openRequest(1, 1, 100))
	b.completeStep(is, 1)
	is.Equal(len(b.fleet.Requests()), 2)
	is.Equal(b.counterSum("hedges_total", ""), 1.0)
}

// Guards against delivering both a hedge and its original when both finish, and against counting more
// tokens as wasted than the loser generated.
func TestHedgeAndOriginalBothFinish(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), func(o *rollout.Options) {
		o.EventTimeout, o.FirstEventTimeout = testTimeout, testTimeout
	})
	for _, id := range []string{"s0", "s1", "s2"} {
		e := b.fleet.Engine(id)
		e.OnToken(50, func() {
			if len(b.fleet.Requests()) == 1 {
				e.SetSilent(true)
			}
		})
		e.OnToken(90, func() { // the hedge is nearly done when the original continues
			for _, id := range []string{"s0", "s1", "s2"} {
				b.fleet.Engine(id).SetSilent(false)
			}
		})
	}
	b.openStep(is, 1, openRequest(1, 1, 100))
	b.completeStep(is, 1)
	_, err := b.trainer.Take(b.ctx, 0, 0, false)
	is.NoErr(err)
	is.Equal(b.trainer.Ledger().Delivered, 1)
	wasted := b.counterSum("wasted_tokens_total", "hedge_loser") // read first: the loser may still generate
	generated := int64(0)
	for _, id := range []string{"s0", "s1", "s2"} {
		generated += b.fleet.Engine(id).Tokens()
	}
	is.True(wasted <= float64(generated-100))
}

// Guards against a long sample that stays on an engine with a fraction of the others' speed.
func TestSampleMovesOffSlowEngine(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), func(o *rollout.Options) { o.NoHedging = true })
	for _, id := range []string{"s0", "s1", "s2"} {
		b.fleet.Engine(id).SetVersion(1)
	}
	b.fleet.Engine("s0").SetSpeedFactor(0.05)
	b.openStep(is, 1, openRequest(1, 3, 1000))
	b.completeStep(is, 3)
	is.True(b.counterSum("moves_total", "") >= 1)
	is.Equal(b.trainer.Ledger().Attempts, 3)
	imported := false
	for _, r := range b.fleet.Requests() {
		imported = imported || (r.KVFrom != "" && len(r.ResumeTokens) > 0)
	}
	is.True(imported) // the slow engine still held the KV cache of the same version
}

// Guards against short samples that occupy the engines while the long ones wait until the end of the
// step.
func TestLongGroupsFirst(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), func(o *rollout.Options) { o.SlotsPerSampler = 1 })
	req := openRequest(8, 1, 20)
	req.Groups[7].MaxTokens = 400
	b.openStep(is, 1, req)
	b.completeStep(is, 8) // the lengths are learned
	before := len(b.fleet.Requests())
	b.openStep(is, 2, req)
	b.completeStep(is, 8)
	first := b.fleet.Requests()[before : before+3]
	is.True(first[0].MaxTokens == 400 || first[1].MaxTokens == 400 || first[2].MaxTokens == 400)
}

// Guards against a trainer that gets far more or less than its share while another trainer is active.
func TestShares(t *testing.T) {
	is := is.New(t)
	svc := testService()
	svc.Trainers[0].Share = 0.9
	svc.Trainers = append(svc.Trainers, testService().Trainers[0])
	svc.Trainers[1].Name, svc.Trainers[1].Share = "second", 0.1
	b := newTestbed(t, svc, func(o *rollout.Options) { o.SlotsPerSampler, o.Owner = 4, nil })
	large, small := b.trainer, *b.trainer
	small.Name = "second"
	b.openStep(is, 1, openRequest(100, 4, 40))
	b.waitFor(is, func() bool { return len(b.fleet.Requests()) >= 12 })
	small.SetStep(1, openRequest(20, 1, 40))
	is.NoErr(small.Reopen(b.ctx))
	is.NoErr(small.Complete(b.ctx, testTimeout))
	started := len(b.fleet.Requests())
	is.True(started < 400 && started >= 80) // 20 of the small trainer, and at least 3 of the large one for each of them
	b.completeStep(is, 400)
	is.Equal(large.Ledger().Delivered, 400)
}

// Guards against accepting an engine's stream that belongs to another request, skips an index, or has
// the wrong length.
func TestInvalidEngineStreams(t *testing.T) {
	corruptions := map[string]func(*platform.GenerateEvent){
		"crossed": func(ev *platform.GenerateEvent) { ev.RequestID = "another" },
		"shifted": func(ev *platform.GenerateEvent) { ev.Index++ },
		"short":   func(ev *platform.GenerateEvent) { ev.Done, ev.Total = true, ev.Index+len(ev.Tokens)+7 },
		"overrun": func(ev *platform.GenerateEvent) { ev.Tokens = append(ev.Tokens, make([]int64, 100)...) },
	}
	for name, corrupt := range corruptions {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(t, testService(), nil)
			for _, id := range []string{"s0", "s1", "s2"} {
				b.fleet.Engine(id).AlterNextEvent(corrupt)
			}
			b.openStep(is, 1, openRequest(2, 3, 60))
			b.completeStep(is, 6)
			is.True(b.counterSum("attempt_failures_total", "generate") >= 1)
		})
	}
}

// Guards against a parked sample that loses its tokens or never continues.
func TestParkedSampleResumes(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), func(o *rollout.Options) { o.Parking, o.SlotsPerSampler = true, 1 })
	b.openStep(is, 1, openRequest(6, 2, 40))
	b.completeStep(is, 12) // the groups are learned to be short
	is.NoErr(b.trainer.Ack(b.ctx))
	b.trainer.SetStep(2, openRequest(6, 2, 400))
	before := len(b.fleet.Requests())
	is.NoErr(b.trainer.Reopen(b.ctx))
	b.completeStep(is, 12)
	is.True(len(b.fleet.Requests()) > before+12) // some were resumed after they were parked
	is.Equal(b.trainer.Ledger().Attempts, 24)
}

// Guards against a move to an engine with older weights, which would lower the sample's oldest version.
func TestMoveKeepsWeightVersion(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), func(o *rollout.Options) { o.NoHedging = true })
	b.trainer.Version = 2
	b.fleet.Engine("s0").SetVersion(2)
	b.fleet.Engine("s0").SetSpeedFactor(0.05)
	b.fleet.Engine("s2").SetVersion(2) // s1 keeps version 1, which the bound allows
	b.openStep(is, 1, openRequest(1, 3, 1000))
	b.completeStep(is, 3)
	is.True(b.counterSum("moves_total", "") >= 1)
	for _, s := range b.trainer.Samples() {
		is.True(s.Ranges[0].Version == 1 || s.PromptVersion == 2)
	}
}
