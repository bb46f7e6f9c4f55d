package rollout_test

import (
	"context"
	"sync"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/platform"
	"github.com/cicadasill/cicadasill/rollout"
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
