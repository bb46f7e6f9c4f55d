package compare

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cicadasill/cicadasill/rollout"
	"github.com/cicadasill/cicadasill/standin"
)

// Trainer takes a step's samples and checks each of them against the truth of the fake engines.
// It is used from one goroutine.
type Trainer struct {
	Service, Name string
	// Do sends a request to some instance.
	Do func(req *http.Request) (*http.Response, error)
	// Version is the trainer's weight version.
	Version int64
	// MaxLag is the age bound.
	MaxLag int64
	// Length is the true length of a sample; nil means max_tokens.
	Length func(g rollout.Group, seed int64) int

	step    int64
	open    rollout.OpenRequest
	have    rollout.Bitmap
	samples []rollout.Sample // of the open step, by position
	total   int
	refs    []sampleRef
	ledger  Ledger
}

type sampleRef struct {
	group rollout.Group
	index int
}

// Ledger is what a trainer saw over its life.
type Ledger struct {
	Delivered  int
	Staleness  []int64
	Violations []string
	Attempts   int
	// Reopened counts the step_not_open refusals.
	Reopened int
}

// Refusal is a typed refusal that the trainer received.
type Refusal struct {
	Status  int          `json:"-"`
	Code    rollout.Code `json:"code"`
	Message string       `json:"message"`
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("status %d: %s", r.Status, r.Code) }

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return nil }

// Ledger returns the trainer's ledger.
func (t *Trainer) Ledger() Ledger { return t.ledger }

// Samples returns the samples of the open step, by position.
func (t *Trainer) Samples() []rollout.Sample { return t.samples }

// Begin makes req the current step, without any request.
func (t *Trainer) Begin(step int64, req rollout.OpenRequest) {
	t.step, t.open, t.refs = step, req, nil
	for _, g := range req.Groups {
		for i := range g.Samples {
			t.refs = append(t.refs, sampleRef{group: g, index: i})
		}
	}
	t.total = len(t.refs)
	t.have = rollout.NewBitmap(t.total)
	t.samples = make([]rollout.Sample, t.total)
}

// Open opens the current step, or another one ahead of it.
func (t *Trainer) Open(ctx context.Context, step int64, req rollout.OpenRequest) error {
	return t.call(ctx, http.MethodPut, t.path(step, ""), req, nil)
}

// Reopen opens the current step again.
func (t *Trainer) Reopen(ctx context.Context) error { return t.Open(ctx, t.step, t.open) }

// Ack acknowledges the current step.
func (t *Trainer) Ack(ctx context.Context) error {
	return t.call(ctx, http.MethodPost, t.path(t.step, "/ack"), struct{}{}, nil)
}

func (t *Trainer) path(step int64, suffix string) string {
	return fmt.Sprintf("/v1/services/%s/trainers/%s/steps/%d%s", t.Service, t.Name, step, suffix)
}

// Take asks for samples and enters them in the ledger. With lose the response never arrives.
func (t *Trainer) Take(ctx context.Context, wait time.Duration, limit int, lose bool) (rollout.TakeResponse, error) {
	var resp rollout.TakeResponse
	err := t.call(ctx, http.MethodPost, t.path(t.step, "/take"), rollout.TakeRequest{
		Version: t.Version, Have: t.have.Encode(), WaitMs: int(wait.Milliseconds()), Max: limit,
	}, &resp)
	if err != nil || lose {
		return rollout.TakeResponse{}, err
	}
	for _, s := range resp.Samples {
		t.accept(s)
	}
	return resp, nil
}

// Complete takes until the step is whole, opening it again as needed.
func (t *Trainer) Complete(ctx context.Context, wait time.Duration) error {
	for ctx.Err() == nil {
		resp, err := t.Take(ctx, wait, 0, false)
		if err == nil && resp.Complete {
			return nil
		}
		if err != nil {
			t.recover(ctx, err)
		}
	}
	return fmt.Errorf("step %d of %s: %d of %d samples: %w", t.step, t.Name, t.Count(), t.total, ctx.Err())
}

// recover opens the step again when its owner does not know it, and waits a moment otherwise.
func (t *Trainer) recover(ctx context.Context, err error) {
	if r, ok := err.(*Refusal); ok && r.Code == rollout.CodeStepNotOpen {
		t.ledger.Reopened++
		_ = t.Reopen(ctx) // the next take tells whether it is open
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Millisecond):
	}
}

// Count returns the number of samples the trainer holds.
func (t *Trainer) Count() int {
	n := 0
	for i := range t.total {
		if t.have.Get(i) {
			n++
		}
	}
	return n
}

// Checkpoint returns what the trainer would restart from.
func (t *Trainer) Checkpoint() rollout.Bitmap { return slices.Clone(t.have) }

// Restore restarts the trainer from a checkpoint; samples received after it are lost.
func (t *Trainer) Restore(have rollout.Bitmap) {
	t.have = slices.Clone(have)
	for i := range t.samples {
		if !t.have.Get(i) {
			t.samples[i] = rollout.Sample{}
		}
	}
}

func (t *Trainer) accept(s rollout.Sample) {
	if s.Position < 0 || s.Position >= t.total {
		t.violate("position %d of %d", s.Position, t.total)
		return
	}
	if t.have.Get(s.Position) {
		t.violate("sample %d delivered twice", s.Position)
	}
	t.check(s)
	t.have.Set(s.Position)
	t.samples[s.Position] = s
	t.ledger.Delivered++
	t.ledger.Attempts += s.Attempt
}

// check compares a sample with the truth: its identity, length, tokens, ranges and age.
func (t *Trainer) check(s rollout.Sample) {
	ref := t.refs[s.Position]
	if s.ID.Group != ref.group.ID || s.ID.Index != ref.index || s.ID.Step != t.step || s.ID.Trainer != t.Name {
		t.violate("sample %d has id %+v", s.Position, s.ID)
	}
	seed := ref.group.Seed + int64(ref.index)
	want := ref.group.MaxTokens
	if t.Length != nil {
		want = t.Length(ref.group, seed)
	}
	if len(s.Tokens) != want {
		t.violate("sample %d has %d of %d tokens", s.Position, len(s.Tokens), want)
	}
	at, oldest := 0, s.PromptVersion
	for _, r := range s.Ranges {
		if r.From != at || r.To <= r.From || r.To > len(s.Tokens) {
			t.violate("sample %d: range %+v after token %d", s.Position, r, at)
			return
		}
		for i := r.From; i < r.To; i++ {
			if s.Tokens[i] != standin.Token(ref.group.Prompt, seed, i, r.Version) {
				t.violate("sample %d: token %d is not of version %d", s.Position, i, r.Version)
				return
			}
		}
		at, oldest = r.To, min(oldest, r.Version)
	}
	if at != len(s.Tokens) {
		t.violate("sample %d: ranges end at %d of %d", s.Position, at, len(s.Tokens))
	}
	if t.Version-oldest > t.MaxLag {
		t.violate("sample %d is %d versions old, bound %d", s.Position, t.Version-oldest, t.MaxLag)
	}
	t.ledger.Staleness = append(t.ledger.Staleness, t.Version-oldest)
}

func (t *Trainer) violate(format string, args ...any) {
	t.ledger.Violations = append(t.ledger.Violations, fmt.Sprintf(format, args...))
}

func (t *Trainer) call(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://entry"+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := t.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		r := &Refusal{Status: resp.StatusCode}
		_ = json.Unmarshal(data, r) // a refusal without a typed body keeps its status
		return r
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}
