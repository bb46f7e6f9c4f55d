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

// judge is a directory and picker with one scoring back end.
type judge struct{ svc contract.Service }

func (j *judge) Service(name string) (*contract.Service, bool) { return &j.svc, name == j.svc.Name }
func (j *judge) NewestVersion(string) int64                    { return 0 }
func (j *judge) Pick(context.Context, rollout.PickRequest) (rollout.Pick, error) {
	return rollout.Pick{Backend: j.svc.Backends[0], Done: func(time.Duration, int, error) {}}, nil
}

// Guards against a score that belongs to another sample, and against a failed call that passes as a score.
func TestPlainScorerOverHTTP(t *testing.T) {
	is := is.New(t)
	srv, err := plain.Start(plain.Options{ID: "judge-0", Addr: "127.0.0.1:0"})
	is.NoErr(err)
	defer srv.Close()
	j := &judge{svc: contract.Service{Name: "judge", Backends: []machine.Backend{{ID: "judge-0", Addr: srv.Addr()}}}}
	client := httpplatform.NewPlainService(httpplatform.Options{})
	defer client.Close()
	s := &rollout.PlainScorer{Directory: j, Picker: j, Plain: client}
	fry := service()
	fry.Rollout.ScoringService, fry.Rollout.ScoringCall = "judge", "score"
	req := rollout.ScoreRequest{ID: rollout.SampleID{Service: "fry-lm", Group: "g0"}, Attempt: 1, Prompt: "p", Tokens: []int64{1, 2}}
	body, err := json.Marshal(req)
	is.NoErr(err)
	score, err := s.Score(context.Background(), &fry, req)
	is.NoErr(err)
	is.Equal(score, plain.Score(body))
	srv.SetLeaving(true)
	_, err = s.Score(context.Background(), &fry, req)
	is.True(err != nil)
	fry.Rollout.ScoringService = "none"
	_, err = s.Score(context.Background(), &fry, req)
	is.True(err != nil)
}
