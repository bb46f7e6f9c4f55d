package trainer

import (
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/cicadasill/cicadasill/standin"
	"github.com/cicadasill/cicadasill/timing"
)

// The following types are the messages of the trainers' API in docs/api.md. They are declared
// here, and not taken from the server, so that the stand-in does not follow an unintended change
// of the server.

// group is one group of samples of a step.
type group struct {
	ID        string `json:"id"`
	Prompt    string `json:"prompt"`
	PrefixID  string `json:"prefix_id,omitempty"`
	Samples   int    `json:"samples"`
	MaxTokens int    `json:"max_tokens"`
	Seed      int64  `json:"seed"`
}

// openBody is the request body that opens a step.
type openBody struct {
	Version int64   `json:"version"`
	Groups  []group `json:"groups"`
}

// takeBody is the request body of a take. Have is the bitmap of the positions that the trainer has.
type takeBody struct {
	Version int64  `json:"version"`
	Have    string `json:"have"`
	WaitMs  int64  `json:"wait_ms"`
	Max     int    `json:"max"`
}

// takeAnswer is the answer to a take.
type takeAnswer struct {
	Samples   []Sample `json:"samples"`
	Complete  bool     `json:"complete"`
	Remaining int      `json:"remaining"`
}

// Sample is one delivered sample.
type Sample struct {
	ID struct {
		Service string `json:"service"`
		Trainer string `json:"trainer"`
		Step    int64  `json:"step"`
		Group   string `json:"group"`
		Index   int    `json:"index"`
	} `json:"id"`
	Position int     `json:"position"`
	Tokens   []int64 `json:"tokens"`
	Ranges   []struct {
		Version int64 `json:"version"`
		From    int   `json:"from"`
		To      int   `json:"to"`
	} `json:"ranges"`
	PromptVersion int64   `json:"prompt_version"`
	Score         float64 `json:"score"`
	Attempt       int     `json:"attempt"`
}

// step is one training step and the samples of it that the trainer has.
type step struct {
	number     int64
	open       openBody
	groupOf    []int           // group index of each position
	have       []bool          // by position
	checkpoint []bool          // have at the last checkpoint
	takes      int             // answers of /take so far
	exclude    map[string]bool // instance of the last failed request; true if it gave no answer
}

func (t *Trainer) newStep(n int64) *step {
	s := &step{number: n, open: openBody{Version: t.Version()}, exclude: map[string]bool{}}
	// Each step has its own generator, so that its groups don't depend on the number of earlier requests.
	rng := rand.New(rand.NewPCG(t.opts.Seed, uint64(n)<<8))
	for g := range t.opts.Groups {
		length := t.opts.MaxTokens/2 + rng.IntN(t.opts.MaxTokens)
		if rng.Float64() < t.opts.LongFraction {
			length = t.opts.MaxTokens * t.opts.LongFactor
		}
		id := fmt.Sprintf("%s-%d-%d", t.opts.Name, n, g)
		s.open.Groups = append(s.open.Groups, group{
			ID: id, Prompt: "record " + id, Samples: t.opts.Samples, MaxTokens: length, Seed: rng.Int64N(1 << 40),
		})
		for range t.opts.Samples {
			s.groupOf = append(s.groupOf, g)
		}
	}
	s.have = make([]bool, len(s.groupOf))
	s.checkpoint = slices.Clone(s.have)
	return s
}

// restoreCheckpoint resets the step to its last checkpoint, as a restarted process would.
func (s *step) restoreCheckpoint() { s.have = slices.Clone(s.checkpoint) }

// missingLengths returns the lengths of the samples that the trainer does not have yet.
func (s *step) missingLengths() []int {
	var out []int
	for p, g := range s.groupOf {
		if !s.have[p] {
			out = append(out, s.open.Groups[g].MaxTokens)
		}
	}
	return out
}

// bitmap returns the positions of the samples that the trainer has, for takeBody.Have.
func (s *step) bitmap() string {
	b := make([]byte, (len(s.have)+7)/8)
	for i, h := range s.have {
		if h {
			b[i/8] |= 1 << (i % 8)
		}
	}
	return base64.StdEncoding.EncodeToString(b)
}

// collect opens the step, takes all samples and acknowledges the step. It reports false if ctx
// was done first.
func (t *Trainer) collect(ctx context.Context, s *step) bool {
	path := t.servicePath(fmt.Sprintf("/trainers/%s/steps/%d", t.opts.Name, s.number))
	if !t.do(ctx, s, http.MethodPut, path, s.open, nil) {
		return false
	}
	for {
		var answer takeAnswer
		body := takeBody{Version: s.open.Version, Have: s.bitmap(), WaitMs: t.opts.Wait.Milliseconds()}
		code, ok := t.attempt(ctx, s, http.MethodPost, path+"/take", body, &answer)
		switch {
		case ctx.Err() != nil:
			return false // a crashed trainer loses the answer that it was receiving
		case code == "step_not_open":
			t.countReopened()
			if !t.do(ctx, s, http.MethodPut, path, s.open, nil) {
				return false
			}
			continue
		case !ok:
			timing.Sleep(ctx, retryPause)
			continue
		}
		t.acceptSamples(s, answer)
		if answer.Complete {
			t.do(ctx, s, http.MethodPost, path+"/ack", nil, nil)
			return ctx.Err() == nil
		}
	}
}

// acceptSamples verifies the samples of an answer and counts the results in the ledger.
func (t *Trainer) acceptSamples(s *step, answer takeAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, sample := range answer.Samples {
		if sample.Position < 0 || sample.Position >= len(s.have) || sample.ID.Step != s.number || sample.ID.Trainer != t.opts.Name {
			t.ledger.Misattributed++
			continue
		}
		if s.have[sample.Position] {
			t.ledger.Duplicate++
			continue
		}
		s.have[sample.Position] = true
		t.ledger.Delivered++
		g := s.open.Groups[s.groupOf[sample.Position]]
		first := s.groupOf[sample.Position] * t.opts.Samples
		oldest, ok := checkSample(g, int64(sample.Position-first), sample)
		if !ok || !t.opts.UsedKV(standin.BodyHash([]byte(g.Prompt)), sample.PromptVersion) {
			t.ledger.Misattributed++
		}
		stale := s.open.Version - oldest
		_ = t.staleness.RecordValue(max(0, stale))
		if stale > t.opts.MaxVersionLag {
			t.ledger.OverAge++
		}
	}
	if answer.Complete {
		for _, h := range s.have {
			if !h {
				t.ledger.Missing++
			}
		}
	}
	if s.takes++; s.takes%checkpointEvery == 0 {
		s.checkpoint = slices.Clone(s.have)
	}
}

// checkSample verifies the length, the identity and the version ranges of a sample with the versions
// that are encoded in its tokens. It returns the oldest version that contributed to the sample.
func checkSample(g group, index int64, s Sample) (oldest int64, ok bool) {
	oldest, ok = s.PromptVersion, len(s.Tokens) == g.MaxTokens && s.ID.Group == g.ID && int64(s.ID.Index) == index
	next := 0
	for _, r := range s.Ranges {
		if r.From != next || r.To > len(s.Tokens) {
			return oldest, false
		}
		for ; next < r.To; next++ {
			v := standin.VersionOf(s.Tokens[next])
			oldest = min(oldest, v)
			ok = ok && v == r.Version && standin.IsToken(s.Tokens[next], g.Prompt, g.Seed+index, next)
		}
	}
	if next != len(s.Tokens) || len(s.Tokens) == 0 {
		return oldest, false
	}
	// The prompt's KV cache is computed before the first token, by the same or an older version.
	return oldest, ok && s.PromptVersion >= 1 && s.PromptVersion <= standin.VersionOf(s.Tokens[0])
}

func (t *Trainer) countReopened() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Reopened++
}
