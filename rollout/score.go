package rollout

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/limit"
	"github.com/cicadasill/cicadasill/reward"
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
	score, ok := st.awaitScore(ctx, s, req)
	if !ok {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if s.unscored != p || st.closed {
		return
	}
	s.cancelScoring, s.unscored = nil, nil
	st.groupPending[s.group]--
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
func (st *step) awaitScore(ctx context.Context, s *sample, req ScoreRequest) (float64, bool) {
	policy := reward.Policy{MinDelay: st.srv.opts.MinRetryBackoff, MaxDelay: st.srv.opts.MaxRetryBackoff}
	for calls := 1; ; calls++ {
		svc, ok := st.service()
		if ok && svc.Rollout != nil && svc.Rollout.ScoringService == "" {
			return 0, true
		}
		err := error(&attemptError{Code: attemptNoScorer, Detail: st.key.service})
		if ok && svc.Rollout != nil && st.srv.opts.Scorer != nil {
			var score float64
			if score, err = st.callScorer(ctx, svc, s, req); err == nil {
				return score, true
			}
		}
		if ctx.Err() != nil {
			return 0, false
		}
		st.srv.metrics.attemptFailures.WithLabelValues(st.key.service, "score").Inc()
		st.srv.log.Debug("scoring failed", "service", st.key.service, "step", st.key.step, "err", err)
		delay, _ := policy.Next(time.Now(), calls, 0)
		if !timing.Sleep(ctx, delay) {
			return 0, false
		}
	}
}

// callScorer waits for its turn and makes one scoring call.
func (st *step) callScorer(ctx context.Context, svc *contract.Service, s *sample, req ScoreRequest) (float64, error) {
	name := svc.Rollout.ScoringService
	err := st.srv.rewards.Acquire(ctx, name, func() reward.Waiting {
		st.mu.Lock()
		defer st.mu.Unlock()
		return reward.Waiting{StepStart: st.openedAt, GroupPending: st.groupPending[s.group]}
	})
	if err != nil {
		return 0, err
	}
	score, err := st.srv.opts.Scorer.Score(ctx, svc, req)
	st.srv.rewards.Release(name, err != nil && ctx.Err() == nil)
	return score, err
}

// scoringLimit returns how many scoring calls this instance may have in flight at a service.
func (s *Server) scoringLimit(service string) int {
	svc, ok := s.opts.Directory.Service(service)
	if !ok {
		return reward.Share(0, 1)
	}
	return reward.Share(len(svc.Backends)*limit.DefaultInitialLimit, 1)
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
