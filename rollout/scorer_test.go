package rollout_test

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/rollout"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// flakyScorer fails its first calls with an unknown outcome, then returns the length of the sample as
// its score.
type flakyScorer struct {
	mu           sync.Mutex
	failuresLeft int
}

// Score implements rollout.Scorer.
func (f *flakyScorer) Score(_ context.Context, _ *contract.Service, req rollout.ScoreRequest) (float64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failuresLeft > 0 {
		f.failuresLeft--
		return 0, &platform.Error{Code: platform.OutcomeUnknown, Op: "score"}
	}
	return float64(len(req.Tokens)), nil
}

func (f *flakyScorer) remainingFailures() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failuresLeft
}

// hookScorer runs a hook once before it scores, and loses one response if loseResponse is set.
type hookScorer struct {
	mu           sync.Mutex
	hook         func()
	loseResponse atomic.Bool
}

func (h *hookScorer) setHook(hook func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hook = hook
}

// Score implements rollout.Scorer.
func (h *hookScorer) Score(context.Context, *contract.Service, rollout.ScoreRequest) (float64, error) {
	h.mu.Lock()
	hook := h.hook
	h.hook = nil
	h.mu.Unlock()
	if hook != nil {
		hook()
	}
	if h.loseResponse.CompareAndSwap(true, false) {
		return 0, &platform.Error{Code: platform.OutcomeUnknown, Op: "score"}
	}
	return 1, nil
}
