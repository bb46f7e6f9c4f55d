package rollout_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/rollout"
)

// Guards against a sample that lists only one of its weight versions after a swap in mid-sample and a
// resume on another engine.
func TestAttributionThroughSwapAndResume(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), nil)
	for _, id := range []string{"s0", "s1", "s2"} {
		e := b.fleet.Engine(id)
		e.OnToken(20, func() {
			for _, id := range []string{"s0", "s1", "s2"} {
				b.fleet.Engine(id).SetVersion(2)
			}
		})
	}
	for _, id := range []string{"s0", "s1", "s2"} {
		e := b.fleet.Engine(id)
		e.OnToken(60, func() {
			if len(b.fleet.Requests()) == 1 {
				e.Crash()
			}
		})
	}
	b.openStep(is, 1, openRequest(1, 1, 200))
	b.completeStep(is, 1)
	s := b.trainer.Samples()[0]
	is.True(len(s.Ranges) >= 2)
	is.Equal(s.Ranges[0].Version, int64(1))
	is.Equal(s.Ranges[1].Version, int64(2))
	is.Equal(s.PromptVersion, int64(1)) // the KV cache of the crashed engine had version 1
	starts := b.fleet.Requests()
	is.True(len(starts) >= 2)
	is.True(len(starts[1].ResumeTokens) >= 20)
	is.Equal(s.Attempt, 1)
}

// Guards against the reuse of a prefix cache entry that older weights computed.
func TestStaleCacheIsNotReused(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), nil)
	b.trainer.Version = 3
	for _, id := range []string{"s0", "s1", "s2"} {
		b.fleet.Engine(id).SetVersion(3)
		b.fleet.Engine(id).SetStaleKV(1)
	}
	b.openStep(is, 1, openRequest(1, 2, 20))
	b.completeStep(is, 2)
	for _, s := range b.trainer.Samples() {
		is.Equal(s.PromptVersion, int64(3))
	}
}

// Guards against handing over a sample beyond the age bound after the trainer advanced while the sample
// was finished but not taken.
func TestAgeBoundAtHandOver(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), nil)
	b.openStep(is, 1, openRequest(2, 2, 20))
	_, err := b.trainer.Take(b.ctx, testTimeout, 1, true) // finished at version 1, response lost
	is.NoErr(err)
	for _, id := range []string{"s0", "s1", "s2"} {
		b.fleet.Engine(id).SetVersion(3)
	}
	b.trainer.Version = 3
	b.completeStep(is, 4)
	for _, s := range b.trainer.Samples() {
		is.Equal(s.Ranges[0].Version, int64(3))
	}
	is.True(b.trainer.Ledger().Attempts > 4)
}

// Guards against engines that finish samples that can no longer be delivered: a running sample that the
// announced version puts beyond the age bound is restarted at once.
func TestEarlyStop(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, testService(), nil)
	for _, id := range []string{"s0", "s1", "s2"} {
		e := b.fleet.Engine(id)
		e.OnToken(30, func() {
			for _, id := range []string{"s0", "s1", "s2"} {
				b.fleet.Engine(id).SetVersion(3)
			}
			b.Announce(3)
			b.trainer.Version = 3
		})
	}
	b.trainer.SetStep(1, openRequest(1, 1, 400))
	is.NoErr(b.trainer.Reopen(b.ctx))
	b.waitFor(is, func() bool { return len(b.fleet.Requests()) >= 2 })
	is.Equal(len(b.fleet.Requests()[1].ResumeTokens), 0) // from the first token
	b.completeStep(is, 1)
	is.Equal(b.trainer.Samples()[0].Attempt, 2)
	generated := int64(0)
	for _, id := range []string{"s0", "s1", "s2"} {
		generated += b.fleet.Engine(id).Tokens()
	}
	is.True(generated < 800) // the first start was not run to its end
}

// Guards against keeping samples of an old version with idle_weight 0 although a newer version is
// loaded.
func TestIdleWeightZeroRestartsOnNewerVersion(t *testing.T) {
	for _, weight := range []float64{0, 1} {
		is := is.New(t)
		svc := testService()
		svc.Rollout.IdleWeight = weight
		b := newTestbed(t, svc, nil)
		for _, id := range []string{"s0", "s1", "s2"} {
			e := b.fleet.Engine(id)
			e.OnToken(30, func() { e.SetVersion(2); b.Announce(2) })
		}
		b.openStep(is, 1, openRequest(1, 1, 400))
		b.completeStep(is, 1)
		want := 1
		if weight == 0 {
			want = 2
		}
		is.Equal(b.trainer.Samples()[0].Attempt, want)
	}
}

// Guards against handing over, with idle_weight 0, samples of an old version that finished while the
// trainer trained, and against holding them back forever if no engine loads the new version.
func TestIdleWeightZeroAtHandOver(t *testing.T) {
	for _, loads := range []bool{true, false} {
		is := is.New(t)
		svc := testService()
		svc.Rollout.IdleWeight = 0
		b := newTestbed(t, svc, func(o *rollout.Options) { o.NewVersionWait = 100 * time.Millisecond })
		b.openStep(is, 1, openRequest(1, 2, 20))
		_, err := b.trainer.Take(b.ctx, testTimeout, 1, true)
		is.NoErr(err)
		b.trainer.Version = 2
		_, err = b.trainer.Take(b.ctx, 0, 0, false) // the engines still run version 1
		is.NoErr(err)
		is.Equal(b.trainer.Received(), 0)
		if loads {
			for _, id := range []string{"s0", "s1", "s2"} {
				b.fleet.Engine(id).SetVersion(2)
			}
			b.Announce(2)
		}
		b.completeStep(is, 2)
		for _, lag := range b.trainer.Ledger().Staleness {
			is.Equal(lag == 0, loads)
		}
	}
}

// Guards against samples that are lost when the scorer fails.
func TestFailingScorerOnlyDelaysSamples(t *testing.T) {
	is := is.New(t)
	svc := testService()
	svc.Rollout.ScoringService = "judge"
	scorer := &flakyScorer{failuresLeft: 7}
	b := newTestbed(t, svc, func(o *rollout.Options) { o.Scorer = scorer })
	b.openStep(is, 1, openRequest(2, 2, 20))
	b.completeStep(is, 4)
	for _, s := range b.trainer.Samples() {
		is.Equal(s.Score, float64(len(s.Tokens)))
	}
	is.Equal(scorer.remainingFailures(), 0)
	_, err := b.trainer.Take(b.ctx, time.Second, 0, false)
	is.NoErr(err)
}
