package callers

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadasill/cicadasill/standin"
	"github.com/cicadasill/cicadasill/standin/plain"
)

// maxAnswerBytes bounds the size of an answer.
const maxAnswerBytes = 8 << 20

// request is the content of a request, which is the same in every attempt.
type request struct {
	key    string
	body   []byte
	hash   string // of the body (plain) or the prompt (model)
	prompt string
	seed   int64
}

// attemptResult is the result of one attempt, or of all attempts of a request so far.
type attemptResult struct {
	outcome       outcome
	reason        string
	misattributed bool
}

// modelBody is the JSON body of a model call.
type modelBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	PrefixID  string `json:"prefix_id,omitempty"`
	Seed      int64  `json:"seed"`
}

// prefixCount is the number of prompt prefixes that a group of callers uses.
const prefixCount = 8

// newRequest returns the content of the request with this id.
func (c *Callers) newRequest(id string, rng *rand.Rand) *request {
	r := &request{}
	if c.opts.NonIdempotent {
		r.key = id
	}
	if c.opts.Kind == ModelCall {
		r.prompt, r.seed = "staff question "+id, rng.Int64N(1<<31)
		r.hash = hashOf([]byte(r.prompt))
		r.body, _ = json.Marshal(modelBody{
			Prompt: r.prompt, MaxTokens: c.opts.MaxTokens, Stream: c.opts.Stream, Seed: r.seed,
			PrefixID: c.opts.Name + "-" + strconv.Itoa(rng.IntN(prefixCount)),
		})
		return r
	}
	r.body, _ = json.Marshal(map[string]any{"booking": id, "litres": rng.IntN(40)})
	r.hash = hashOf(r.body)
	return r
}

// attempt sends r once, to the instance at addr. n is the number of the attempt.
func (c *Callers) attempt(addr string, r *request, n int) attemptResult {
	ctx, cancel := context.WithTimeout(context.Background(), c.opts.Deadline+deadlineGrace)
	defer cancel()
	began := time.Now()
	url := "http://" + addr + "/v1/services/" + c.opts.Service + "/calls/" + c.opts.Call
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.body))
	if err != nil {
		return attemptResult{outcome: lost, reason: "bad_request"}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Cicadasill-Deadline-Ms", strconv.FormatInt(c.opts.Deadline.Milliseconds(), 10))
	req.Header.Set("Cicadasill-Attempt", strconv.Itoa(n))
	if r.key != "" {
		req.Header.Set("Cicadasill-Key", r.key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.opts.Interrupted(addr, began, err)
		return attemptResult{outcome: lost, reason: "no_answer"}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		c.opts.Interrupted(addr, began, err)
		return attemptResult{outcome: lost, reason: "cut_answer"}
	}
	return c.classify(r, resp, data)
}

// classify determines the result of an attempt from its complete HTTP answer.
func (c *Callers) classify(r *request, resp *http.Response, data []byte) attemptResult {
	state, reason := resp.Header.Get("Cicadasill-Outcome"), resp.Header.Get("Cicadasill-Reason")
	if t := resp.Trailer.Get("Cicadasill-Outcome"); t != "" {
		state, reason = t, resp.Trailer.Get("Cicadasill-Reason")
	}
	switch state {
	case "not_run":
		return attemptResult{outcome: notRun, reason: reason}
	case "unknown":
		return attemptResult{outcome: unknown, reason: reason}
	}
	if resp.StatusCode != http.StatusOK {
		return attemptResult{outcome: unknown, reason: "status_" + strconv.Itoa(resp.StatusCode)}
	}
	if c.opts.Kind == ModelCall {
		return c.classifyModel(r, data)
	}
	var a plain.Answer
	if json.Unmarshal(data, &a) != nil || a.BodyHash != r.hash || (r.key != "" && a.Key != r.key) {
		return attemptResult{outcome: mixedUp, reason: "mixed_up"}
	}
	return attemptResult{outcome: answered}
}

// tokenRange states that Version generated the tokens from index From up to, but not including, To.
type tokenRange struct {
	Version int64 `json:"version"`
	From    int   `json:"from"`
	To      int   `json:"to"`
}

// classifyModel determines the result of a model call. It verifies every token and the stated
// version ranges.
func (c *Callers) classifyModel(r *request, data []byte) attemptResult {
	var tokens []int64
	var ranges []tokenRange
	complete := false
	if c.opts.Stream {
		tokens, ranges, complete = readStream(data)
		if !complete {
			return attemptResult{outcome: unknown, reason: "stream_not_whole"}
		}
	} else {
		var out struct {
			Tokens   []int64      `json:"tokens"`
			Versions []tokenRange `json:"versions"`
			Total    int          `json:"total"`
		}
		if json.Unmarshal(data, &out) != nil || out.Total != len(out.Tokens) {
			return attemptResult{outcome: mixedUp, reason: "mixed_up"}
		}
		tokens, ranges = out.Tokens, out.Versions
	}
	if len(tokens) != c.opts.MaxTokens {
		return attemptResult{outcome: mixedUp, reason: "wrong_length"}
	}
	for i, t := range tokens {
		if !standin.IsToken(t, r.prompt, r.seed, i) {
			return attemptResult{outcome: mixedUp, reason: "mixed_up"}
		}
	}
	return attemptResult{outcome: answered, misattributed: !attributed(tokens, ranges)}
}

// attributed reports whether the ranges state the right version for every token.
func attributed(tokens []int64, ranges []tokenRange) bool {
	next := 0
	for _, r := range ranges {
		if r.From != next || r.To > len(tokens) {
			return false
		}
		for ; next < r.To; next++ {
			if standin.VersionOf(tokens[next]) != r.Version {
				return false
			}
		}
	}
	return next == len(tokens)
}

// readStream decodes an NDJSON answer. complete reports that its final event arrived and states
// the right number of tokens.
func readStream(data []byte) (tokens []int64, ranges []tokenRange, complete bool) {
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, maxAnswerBytes)
	for lines.Scan() {
		var line struct {
			Index   int     `json:"index"`
			Tokens  []int64 `json:"tokens"`
			Version int64   `json:"version"`
			Done    bool    `json:"done"`
			Total   int     `json:"total"`
		}
		if len(lines.Bytes()) == 0 {
			continue
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			return tokens, ranges, false
		}
		if len(line.Tokens) > 0 {
			ranges = append(ranges, tokenRange{Version: line.Version, From: line.Index, To: line.Index + len(line.Tokens)})
			tokens = append(tokens, line.Tokens...)
		}
		if line.Done {
			return tokens, ranges, line.Total == len(tokens) && lines.Err() == nil
		}
	}
	return tokens, ranges, false
}
