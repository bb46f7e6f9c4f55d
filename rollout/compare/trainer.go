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

// Trainer is a trainer client that takes a step's samples and checks each of them against what the
// simulated engines must have generated. It is not safe for concurrent use.
type Trainer struct {
	Service, Name string
	// Do sends a request to an instance.
	Do func(req *http.Request) (*http.Response, error)
	// Version is the trainer's weight version.
	Version int64
	// MaxLag is the largest allowed age of a sample in versions.
	MaxLag int64
	// Length returns the expected number of tokens of a sample; nil means the max_tokens of its group.
	Length func(g rollout.Group, seed int64) int

	step        int64
	openReq     rollout.OpenRequest
	have        rollout.Bitmap
	samples     []rollout.Sample // of the current step, by position
	sampleCount int
	refs        []sampleRef
	ledger      Ledger
}

type sampleRef struct {
	group rollout.Group
	index int
}

// Ledger records what a trainer received over all its steps.
type Ledger struct {
	Delivered  int
	Staleness  []int64
	Violations []string // broken guarantees
	Attempts   int      // sum of the attempts of all samples
	// Reopened is the number of step_not_open refusals, after each of which the step was opened again.
	Reopened int
}

// Refusal is an error response that the trainer received.
type Refusal struct {
	Status  int          `json:"-"`
	Code    rollout.Code `json:"code"`
	Message string       `json:"message"`
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("status %d: %s", r.Status, r.Code) }

// Unwrap returns nil: a refusal has no cause.
func (r *Refusal) Unwrap() error { return nil }

// Ledger returns the trainer's ledger.
func (t *Trainer) Ledger() Ledger { return t.ledger }

// Samples returns the samples of the current step, by position.
func (t *Trainer) Samples() []rollout.Sample { return t.samples }

// SetStep makes step, opened with req, the current step. It sends no request.
func (t *Trainer) SetStep(step int64, req rollout.OpenRequest) {
	t.step, t.openReq, t.refs = step, req, nil
	for _, g := range req.Groups {
		for i := range g.Samples {
			t.refs = append(t.refs, sampleRef{group: g, index: i})
		}
	}
	t.sampleCount = len(t.refs)
	t.have = rollout.NewBitmap(t.sampleCount)
	t.samples = make([]rollout.Sample, t.sampleCount)
}

// Open sends a request that opens step, which may be ahead of the current one.
func (t *Trainer) Open(ctx context.Context, step int64, req rollout.OpenRequest) error {
	return t.send(ctx, http.MethodPut, t.path(step, ""), req, nil)
}

// Reopen opens the current step again.
func (t *Trainer) Reopen(ctx context.Context) error { return t.Open(ctx, t.step, t.openReq) }

// Ack acknowledges the current step.
func (t *Trainer) Ack(ctx context.Context) error {
	return t.send(ctx, http.MethodPost, t.path(t.step, "/ack"), struct{}{}, nil)
}

func (t *Trainer) path(step int64, suffix string) string {
	return fmt.Sprintf("/v1/services/%s/trainers/%s/steps/%d%s", t.Service, t.Name, step, suffix)
}

// Take requests samples of the current step, checks them and records them in the ledger. With
// loseResponse the response is discarded, as if it had been lost.
func (t *Trainer) Take(ctx context.Context, wait time.Duration, limit int, loseResponse bool) (rollout.TakeResponse, error) {
	var resp rollout.TakeResponse
	err := t.send(ctx, http.MethodPost, t.path(t.step, "/take"), rollout.TakeRequest{
		Version: t.Version, Have: t.have.Encode(), WaitMs: int(wait.Milliseconds()), Max: limit,
	}, &resp)
	if err != nil || loseResponse {
		return rollout.TakeResponse{}, err
	}
	for _, s := range resp.Samples {
		t.record(s)
	}
	return resp, nil
}

// Complete takes samples until the current step is complete. It opens the step again when needed.
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
	return fmt.Errorf("step %d of %s: %d of %d samples: %w", t.step, t.Name, t.Received(), t.sampleCount, ctx.Err())
}

// recover opens the step again if err says that it is not open, and pauses before the next take
// otherwise.
func (t *Trainer) recover(ctx context.Context, err error) {
	if r, ok := err.(*Refusal); ok && r.Code == rollout.CodeStepNotOpen {
		t.ledger.Reopened++
		_ = t.Reopen(ctx) // if this fails, the next take is refused again
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Millisecond):
	}
}

// Received returns the number of samples of the current step that the trainer holds.
func (t *Trainer) Received() int {
	n := 0
	for i := range t.sampleCount {
		if t.have.Get(i) {
			n++
		}
	}
	return n
}

// Checkpoint returns the bitmap of the samples that the trainer holds, for Restore.
func (t *Trainer) Checkpoint() rollout.Bitmap { return slices.Clone(t.have) }

// Restore resets the trainer to a checkpoint, as a restart does. Samples received after it are discarded.
func (t *Trainer) Restore(have rollout.Bitmap) {
	t.have = slices.Clone(have)
	for i := range t.samples {
		if !t.have.Get(i) {
			t.samples[i] = rollout.Sample{}
		}
	}
}

// record checks a received sample and adds it to the current step and the ledger.
func (t *Trainer) record(s rollout.Sample) {
	if s.Position < 0 || s.Position >= t.sampleCount {
		t.recordViolation("position %d of %d", s.Position, t.sampleCount)
		return
	}
	if t.have.Get(s.Position) {
		t.recordViolation("sample %d delivered twice", s.Position)
	}
	t.check(s)
	t.have.Set(s.Position)
	t.samples[s.Position] = s
	t.ledger.Delivered++
	t.ledger.Attempts += s.Attempt
}

// check records a violation for each of identity, length, version ranges, tokens and age of a sample
// that is not as the simulated engines must have generated it.
func (t *Trainer) check(s rollout.Sample) {
	ref := t.refs[s.Position]
	if s.ID.Group != ref.group.ID || s.ID.Index != ref.index || s.ID.Step != t.step || s.ID.Trainer != t.Name {
		t.recordViolation("sample %d has id %+v", s.Position, s.ID)
	}
	seed := ref.group.Seed + int64(ref.index)
	wantLength := ref.group.MaxTokens
	if t.Length != nil {
		wantLength = t.Length(ref.group, seed)
	}
	if len(s.Tokens) != wantLength {
		t.recordViolation("sample %d has %d of %d tokens", s.Position, len(s.Tokens), wantLength)
	}
	covered, oldestVersion := 0, s.PromptVersion
	for _, r := range s.Ranges {
		if r.From != covered || r.To <= r.From || r.To > len(s.Tokens) {
			t.recordViolation("sample %d: range %+v after token %d", s.Position, r, covered)
			return
		}
		for i := r.From; i < r.To; i++ {
			if s.Tokens[i] != standin.Token(ref.group.Prompt, seed, i, r.Version) {
				t.recordViolation("sample %d: token %d is not of version %d", s.Position, i, r.Version)
				return
			}
		}
		covered, oldestVersion = r.To, min(oldestVersion, r.Version)
	}
	if covered != len(s.Tokens) {
		t.recordViolation("sample %d: ranges end at %d of %d", s.Position, covered, len(s.Tokens))
	}
	if t.Version-oldestVersion > t.MaxLag {
		t.recordViolation("sample %d is %d versions old, bound %d", s.Position, t.Version-oldestVersion, t.MaxLag)
	}
	t.ledger.Staleness = append(t.ledger.Staleness, t.Version-oldestVersion)
}

func (t *Trainer) recordViolation(format string, args ...any) {
	t.ledger.Violations = append(t.ledger.Violations, fmt.Sprintf(format, args...))
}

// send sends in as JSON and decodes the response into out unless that is nil. It returns a *Refusal for
// a status other than 200.
func (t *Trainer) send(ctx context.Context, method, path string, in, out any) error {
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
		_ = json.Unmarshal(data, r) // without a JSON body the refusal has only a status
		return r
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}
