package rollout_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/rollout"
)

// Guards against a sample that names only one of the versions that produced it after a swap in
// mid-sample and a resume on another engine.
func TestAttributionThroughSwapAndResume(t *testing.T) {
	is := is.New(t)
	b := newBed(t, service(), nil)
	for _, id := range []string{"s0", "s1", "s2"} {
		e := b.fleet.Engine(id)
		e.At(20, func() {
			for _, id := range []string{"s0", "s1", "s2"} {
				b.fleet.Engine(id).SetVersion(2)
			}
		})
	}
	for _, id := range []string{"s0", "s1", "s2"} {
		e := b.fleet.Engine(id)
		e.At(60, func() {
			if len(b.fleet.Starts()) == 1 {
				e.Crash()
			}
		})
	}
	b.begin(is, 1, groups(1, 1, 200))
	b.whole(is, 1)
	s := b.trainer.Samples()[0]
	is.True(len(s.Ranges) >= 2)
	is.Equal(s.Ranges[0].Version, int64(1))
	is.Equal(s.Ranges[1].Version, int64(2))
	is.Equal(s.PromptVersion, int64(1)) // the crashed engine's KV carried version 1
	starts := b.fleet.Starts()
	is.True(len(starts) >= 2)
	is.True(len(starts[1].ResumeTokens) >= 20)
	is.Equal(s.Attempt, 1)
}

// Guards against the reuse of a prefix cache entry that older weights computed.
func TestStaleCacheIsNotReused(t *testing.T) {
	is := is.New(t)
	b := newBed(t, service(), nil)
	b.trainer.Version = 3
	for _, id := range []string{"s0", "s1", "s2"} {
		b.fleet.Engine(id).SetVersion(3)
		b.fleet.Engine(id).SetStaleKV(1)
	}
	b.begin(is, 1, groups(1, 2, 20))
	b.whole(is, 2)
	for _, s := range b.trainer.Samples() {
		is.Equal(s.PromptVersion, int64(3))
	}
}

// Guards against a sample beyond the bound at hand-over, when the trainer moved on after it finished.
func TestAgeBoundAtHandOver(t *testing.T) {
	is := is.New(t)
	b := newBed(t, service(), nil)
	b.begin(is, 1, groups(2, 2, 20))
	_, err := b.trainer.Take(b.ctx, testTimeout, 1, true) // finished at version 1, answer lost
	is.NoErr(err)
	for _, id := range []string{"s0", "s1", "s2"} {
		b.fleet.Engine(id).SetVersion(3)
	}
	b.trainer.Version = 3
	b.whole(is, 4)
	for _, s := range b.trainer.Samples() {
		is.Equal(s.Ranges[0].Version, int64(3))
	}
	is.True(b.trainer.Ledger().Attempts > 4)
}

// Guards against engines that finish samples nobody may use: a running sample beyond the bound of
// the announced version stops at once.
func TestEarlyStop(t *testing.T) {
	is := is.New(t)
	b := newBed(t, service(), nil)
	for _, id := range []string{"s0", "s1", "s2"} {
		e := b.fleet.Engine(id)
		e.At(30, func() {
			for _, id := range []string{"s0", "s1", "s2"} {
				b.fleet.Engine(id).SetVersion(3)
			}
			b.Announce(3)
			b.trainer.Version = 3
		})
	}
	b.trainer.Begin(1, groups(1, 1, 400))
	is.NoErr(b.trainer.Reopen(b.ctx))
	b.until(is, func() bool { return len(b.fleet.Starts()) >= 2 })
	is.Equal(len(b.fleet.Starts()[1].ResumeTokens), 0) // from the first token
	b.whole(is, 1)
	is.Equal(b.trainer.Samples()[0].Attempt, 2)
	generated := int64(0)
	for _, id := range []string{"s0", "s1", "s2"} {
		generated += b.fleet.Engine(id).Tokens()
	}
	is.True(generated < 800) // the first start was not run to its end
}

// Guards against idle_weight 0 that keeps samples of an old version although a newer is loaded.
func TestIdleWeightZeroRestartsOnNewerVersion(t *testing.T) {
	for _, weight := range []float64{0, 1} {
		is := is.New(t)
		svc := service()
		svc.Rollout.IdleWeight = weight
		b := newBed(t, svc, nil)
		for _, id := range []string{"s0", "s1", "s2"} {
			e := b.fleet.Engine(id)
			e.At(30, func() { e.SetVersion(2); b.Announce(2) })
		}
		b.begin(is, 1, groups(1, 1, 400))
		b.whole(is, 1)
		want := 1
		if weight == 0 {
			want = 2
		}
		is.Equal(b.trainer.Samples()[0].Attempt, want)
	}
}

// Guards against idle_weight 0 that hands over samples of an old version which were finished while
// the trainer trained, and against a hold that never ends when no engine loads the new one.
func TestIdleWeightZeroAtHandOver(t *testing.T) {
	for _, loads := range []bool{true, false} {
		is := is.New(t)
		svc := service()
		svc.Rollout.IdleWeight = 0
		b := newBed(t, svc, func(o *rollout.Options) { o.SoftHold = 100 * time.Millisecond })
		b.begin(is, 1, groups(1, 2, 20))
		_, err := b.trainer.Take(b.ctx, testTimeout, 1, true)
		is.NoErr(err)
		b.trainer.Version = 2
		_, err = b.trainer.Take(b.ctx, 0, 0, false) // the engines still run version 1
		is.NoErr(err)
		is.Equal(b.trainer.Count(), 0)
		if loads {
			for _, id := range []string{"s0", "s1", "s2"} {
				b.fleet.Engine(id).SetVersion(2)
			}
			b.Announce(2)
		}
		b.whole(is, 2)
		for _, lag := range b.trainer.Ledger().Staleness {
			is.Equal(lag == 0, loads)
		}
	}
}

// Guards against a failing scorer that loses samples.
func TestFailingScorerDelays(t *testing.T) {
	is := is.New(t)
	svc := service()
	svc.Rollout.ScoringService = "judge"
	scorer := &flakyScorer{failures: 7}
	b := newBed(t, svc, func(o *rollout.Options) { o.Scorer = scorer })
	b.begin(is, 1, groups(2, 2, 20))
	b.whole(is, 4)
	for _, s := range b.trainer.Samples() {
		is.Equal(s.Score, float64(len(s.Tokens)))
	}
	is.Equal(scorer.left(), 0)
	_, err := b.trainer.Take(b.ctx, time.Second, 0, false)
	is.NoErr(err)
}
