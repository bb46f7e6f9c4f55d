package rollout_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/rollout"
	"github.com/cicadasill/cicadasill/standalone/httpplatform"
	"github.com/cicadasill/cicadasill/standin/plain"
)

// scoringStub implements rollout.Directory and rollout.Picker with one scoring back end.
type scoringStub struct{ svc contract.Service }

func (s *scoringStub) Service(name string) (*contract.Service, bool) {
	return &s.svc, name == s.svc.Name
}
func (s *scoringStub) NewestVersion(string) int64 { return 0 }
func (s *scoringStub) Pick(context.Context, rollout.PickRequest) (rollout.Pick, error) {
	return rollout.Pick{Backend: s.svc.Backends[0], Done: func(time.Duration, int, error) {}}, nil
}

// Guards against a score that belongs to another sample, and against a failed call that is taken for a
// score.
func TestPlainScorerOverHTTP(t *testing.T) {
	is := is.New(t)
	srv, err := plain.Start(plain.Options{ID: "judge-0", Addr: "127.0.0.1:0"})
	is.NoErr(err)
	defer srv.Close()
	stub := &scoringStub{svc: contract.Service{Name: "judge", Backends: []machine.Backend{{ID: "judge-0", Addr: srv.Addr()}}}}
	client := httpplatform.NewPlainService(httpplatform.Options{})
	defer client.Close()
	s := &rollout.PlainScorer{Directory: stub, Picker: stub, Plain: client}
	svc := testService()
	svc.Rollout.ScoringService, svc.Rollout.ScoringCall = "judge", "score"
	req := rollout.ScoreRequest{ID: rollout.SampleID{Service: "fry-lm", Group: "g0"}, Attempt: 1, Prompt: "p", Tokens: []int64{1, 2}}
	body, err := json.Marshal(req)
	is.NoErr(err)
	score, err := s.Score(context.Background(), &svc, req)
	is.NoErr(err)
	is.Equal(score, plain.Score(body))
	srv.SetLeaving(true)
	_, err = s.Score(context.Background(), &svc, req)
	is.True(err != nil)
	svc.Rollout.ScoringService = "none"
	_, err = s.Score(context.Background(), &svc, req)
	is.True(err != nil)
}
