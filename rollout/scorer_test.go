package rollout_test

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/rollout"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// flakyScorer loses its first answers, then scores a sample with its length.
type flakyScorer struct {
	mu       sync.Mutex
	failures int
}

// Score implements rollout.Scorer.
func (f *flakyScorer) Score(_ context.Context, _ *contract.Service, req rollout.ScoreRequest) (float64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 {
		f.failures--
		return 0, &platform.Error{Code: platform.OutcomeUnknown, Op: "score"}
	}
	return float64(len(req.Tokens)), nil
}

func (f *flakyScorer) left() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures
}

// hookScorer runs a hook once before it scores, and may lose one answer.
type hookScorer struct {
	mu   sync.Mutex
	hook func()
	lose atomic.Bool
}

func (h *hookScorer) set(hook func()) {
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
	if h.lose.CompareAndSwap(true, false) {
		return 0, &platform.Error{Code: platform.OutcomeUnknown, Op: "score"}
	}
	return 1, nil
}
