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

// Group, the bodies and Sample are the trainers' interface as docs/api.md states it. They are
// declared here so that the stand-in does not follow a change of the server by accident.
type group struct {
	ID        string `json:"id"`
	Prompt    string `json:"prompt"`
	PrefixID  string `json:"prefix_id,omitempty"`
	Samples   int    `json:"samples"`
	MaxTokens int    `json:"max_tokens"`
	Seed      int64  `json:"seed"`
}

type openBody struct {
	Version int64   `json:"version"`
	Groups  []group `json:"groups"`
}

type takeBody struct {
	Version int64  `json:"version"`
	Have    string `json:"have"`
	WaitMs  int64  `json:"wait_ms"`
	Max     int    `json:"max"`
}

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

// step is one training step and what the trainer holds of it.
type step struct {
	number     int64
	open       openBody
	groups     []int // group index of each position
	have       []bool
	checkpoint []bool
	takes      int
	pick       map[string]bool // instances that failed lately
}

func (t *Trainer) newStep(n int64) *step {
	s := &step{number: n, open: openBody{Version: t.Version()}, pick: map[string]bool{}}
	// A generator of its own makes the step independent of the number of requests before it.
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
			s.groups = append(s.groups, g)
		}
	}
	s.have = make([]bool, len(s.groups))
	s.checkpoint = slices.Clone(s.have)
	return s
}

// restore goes back to the last checkpoint, as a restarted process does.
func (s *step) restore() { s.have = slices.Clone(s.checkpoint) }

// lacking returns the lengths of the samples that the trainer does not hold.
func (s *step) lacking() []int {
	var out []int
	for p, g := range s.groups {
		if !s.have[p] {
			out = append(out, s.open.Groups[g].MaxTokens)
		}
	}
	return out
}

func (s *step) bitmap() string {
	b := make([]byte, (len(s.have)+7)/8)
	for i, h := range s.have {
		if h {
			b[i/8] |= 1 << (i % 8)
		}
	}
	return base64.StdEncoding.EncodeToString(b)
}

// collect opens the step, takes its samples and closes it. It reports false when ctx ended.
func (t *Trainer) collect(ctx context.Context, s *step) bool {
	path := t.base(fmt.Sprintf("/trainers/%s/steps/%d", t.opts.Name, s.number))
	if !t.do(ctx, s, http.MethodPut, path, s.open, nil) {
		return false
	}
	for {
		var answer takeAnswer
		body := takeBody{Version: s.open.Version, Have: s.bitmap(), WaitMs: t.opts.Wait.Milliseconds()}
		code, ok := t.try(ctx, s, http.MethodPost, path+"/take", body, &answer)
		switch {
		case ctx.Err() != nil:
			return false // an answer that came with the death is lost
		case code == "step_not_open":
			t.reopened()
			if !t.do(ctx, s, http.MethodPut, path, s.open, nil) {
				return false
			}
			continue
		case !ok:
			timing.Sleep(ctx, retryPause)
			continue
		}
		t.accept(s, answer)
		if answer.Complete {
			t.do(ctx, s, http.MethodPost, path+"/ack", nil, nil)
			return ctx.Err() == nil
		}
	}
}

// accept checks the samples of an answer and enters them in the ledger.
func (t *Trainer) accept(s *step, answer takeAnswer) {
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
		g := s.open.Groups[s.groups[sample.Position]]
		first := s.groups[sample.Position] * t.opts.Samples
		oldest, ok := check(g, int64(sample.Position-first), sample)
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

// check compares a sample with the truth that its tokens carry. It returns the oldest version
// that took part.
func check(g group, index int64, s Sample) (oldest int64, ok bool) {
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
	// The KV cache of the prompt is computed before the first token, by its version or an older one.
	return oldest, ok && s.PromptVersion >= 1 && s.PromptVersion <= standin.VersionOf(s.Tokens[0])
}

func (t *Trainer) reopened() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Reopened++
}
