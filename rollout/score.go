package rollout

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/timing"
)

// ScoreRequest is the body of the scoring call.
type ScoreRequest struct {
	ID      SampleID `json:"id"`
	Attempt int      `json:"attempt"`
	Prompt  string   `json:"prompt"`
	Tokens  []int64  `json:"tokens"`
}

// scoreResponse is the response body of the scoring call.
type scoreResponse struct {
	Score *float64 `json:"score"`
}

// scoreSample scores a complete sequence and makes it deliverable. A failing scorer delays the sample:
// scoring is retried until it succeeds or the sample is no longer needed.
func (st *step) scoreSample(s *sample, p *progress) {
	ctx, cancel := context.WithCancel(st.srv.ctx)
	defer cancel()
	st.mu.Lock()
	if s.unscored != p || st.closed {
		st.mu.Unlock()
		return
	}
	s.cancelScoring = cancel
	req := ScoreRequest{ID: s.id, Attempt: s.startCount, Prompt: s.group.Prompt, Tokens: p.tokens}
	st.mu.Unlock()
	score, ok := st.awaitScore(ctx, req)
	if !ok {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if s.unscored != p || st.closed {
		return
	}
	s.cancelScoring, s.unscored = nil, nil
	s.result = &Sample{
		ID: s.id, Position: s.position, Tokens: p.tokens, Ranges: p.ranges,
		PromptVersion: p.promptVersion, Score: score, Attempt: s.startCount,
	}
	cause := WasteRestart
	if s.hedged {
		cause = WasteHedgeLoser
	}
	st.srv.metrics.countWaste(st.key.service, cause, s.generatedTokens-len(p.tokens))
	s.generatedTokens = len(p.tokens)
	st.notifyTake()
}

// awaitScore calls the scorer until it succeeds, and returns false if ctx ends first. The score is 0 if
// the service has no scoring service.
func (st *step) awaitScore(ctx context.Context, req ScoreRequest) (float64, bool) {
	for failures := 2; ; failures++ {
		svc, ok := st.service()
		if ok && svc.Rollout != nil && svc.Rollout.ScoringService == "" {
			return 0, true
		}
		err := error(&attemptError{Code: attemptNoScorer, Detail: st.key.service})
		if ok && svc.Rollout != nil && st.srv.opts.Scorer != nil {
			var score float64
			if score, err = st.srv.opts.Scorer.Score(ctx, svc, req); err == nil {
				return score, true
			}
		}
		if ctx.Err() != nil {
			return 0, false
		}
		st.srv.metrics.attemptFailures.WithLabelValues(st.key.service, "score").Inc()
		st.srv.log.Debug("scoring failed", "service", st.key.service, "step", st.key.step, "err", err)
		if !timing.Sleep(ctx, backoff(st.srv.opts.MinRetryBackoff, st.srv.opts.MaxRetryBackoff, failures)) {
			return 0, false
		}
	}
}

// DefaultScoreTimeout bounds one scoring call.
const DefaultScoreTimeout = 10 * time.Second

// PlainScorer scores samples by calls to the service's scoring service. A call without an answer is
// repeated on another connection, since scoring is idempotent.
type PlainScorer struct {
	Directory Directory
	Picker    Picker
	Plain     platform.PlainService
	Timeout   time.Duration
}

// Score implements Scorer.
func (p *PlainScorer) Score(ctx context.Context, svc *contract.Service, req ScoreRequest) (float64, error) {
	scoring, ok := p.Directory.Service(svc.Rollout.ScoringService)
	if !ok {
		return 0, &attemptError{Code: attemptNoScorer, Detail: svc.Rollout.ScoringService}
	}
	body, err := json.Marshal(req)
	if err != nil {
		return 0, err
	}
	pick, err := p.Picker.Pick(ctx, PickRequest{Service: scoring})
	if err != nil {
		return 0, err
	}
	timeout := p.Timeout
	timing.SetDefault(&timeout, DefaultScoreTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	resp, err := p.Plain.Do(ctx, pick.Backend.Addr, platform.PlainRequest{
		RequestID: uuid.NewString(), Call: svc.Rollout.ScoringCall, ContentType: "application/json", Body: body,
	})
	pick.Done(time.Since(began), 0, err)
	if err != nil {
		return 0, err
	}
	return parseScore(resp)
}

func parseScore(resp platform.PlainResponse) (float64, error) {
	if resp.Status != 200 {
		return 0, &attemptError{Code: attemptScoreStatus, Detail: string(resp.Body)}
	}
	var out scoreResponse
	if err := json.Unmarshal(resp.Body, &out); err != nil {
		return 0, &attemptError{Code: attemptBadScore, Detail: err.Error()}
	}
	if out.Score == nil {
		return 0, &attemptError{Code: attemptBadScore, Detail: "the response has no score"}
	}
	return *out.Score, nil
}
