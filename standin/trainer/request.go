package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/timing"
)

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 128 << 20

// do repeats a request, at other instances, until it succeeds or ctx ends.
func (t *Trainer) do(ctx context.Context, s *step, method, path string, body, out any) bool {
	for ctx.Err() == nil {
		if _, ok := t.try(ctx, s, method, path, body, out); ok {
			return true
		}
		timing.Sleep(ctx, retryPause)
	}
	return false
}

// try sends a request once to some instance. code is the type of a refusal.
func (t *Trainer) try(ctx context.Context, s *step, method, path string, body, out any) (code string, ok bool) {
	addr := t.opts.Pick(t.rng, s.pick)
	clear(s.pick)
	if addr == "" {
		t.failed("no_instance")
		return "", false
	}
	code, ok = t.send(ctx, addr, method, path, body, out)
	if !ok && ctx.Err() == nil {
		s.pick[addr] = code == "no_answer"
		if code != "step_not_open" {
			t.failed(code)
		}
	}
	return code, ok
}

func (t *Trainer) send(ctx context.Context, addr, method, path string, body, out any) (code string, ok bool) {
	life := ctx
	ctx, cancel := context.WithTimeout(life, t.opts.Wait+requestMargin)
	defer cancel()
	began := time.Now()
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return "bad_request", false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.client.Do(req)
	if err == nil {
		data, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		_ = resp.Body.Close()
	}
	if err != nil {
		if life.Err() == nil {
			t.opts.Interrupted(addr, began, err)
		}
		return "no_answer", false
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return refusalCode(resp, data), false
	}
	if out != nil && json.Unmarshal(data, out) != nil {
		return "bad_answer", false
	}
	return "", true
}

func refusalCode(resp *http.Response, data []byte) string {
	var body struct {
		Code  string `json:"code"`
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(data, &body)
	switch {
	case body.Error.Code != "":
		return body.Error.Code
	case body.Code != "":
		return body.Code
	default:
		return "status_" + strconv.Itoa(resp.StatusCode)
	}
}

// announcer announces versions in the background, so that a log outage does not stop training.
type announcer struct {
	t  *Trainer
	wg conc.WaitGroup

	mu      sync.Mutex
	pending []announcement
	kick    chan struct{}
}

type announcement struct {
	version int64
	at      time.Time
}

func (t *Trainer) startAnnouncer(ctx context.Context) *announcer {
	a := &announcer{t: t, kick: make(chan struct{}, 1)}
	rng := rand.New(rand.NewPCG(t.opts.Seed, 4))
	a.wg.Go(func() { a.run(ctx, rng) })
	return a
}

func (a *announcer) announce(version int64) {
	a.mu.Lock()
	a.pending = append(a.pending, announcement{version: version, at: time.Now()})
	a.mu.Unlock()
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

func (a *announcer) run(ctx context.Context, rng *rand.Rand) {
	for {
		a.mu.Lock()
		var next announcement
		if len(a.pending) > 0 {
			next = a.pending[0]
		}
		a.mu.Unlock()
		if next.version == 0 {
			select {
			case <-ctx.Done():
				return
			case <-a.kick:
			}
			continue
		}
		if !a.send(ctx, rng, next) {
			if !timing.Sleep(ctx, retryPause) {
				return
			}
			continue
		}
		a.t.opts.Announced(next.version, next.at)
		a.mu.Lock()
		a.pending = a.pending[1:]
		a.mu.Unlock()
	}
}

func (a *announcer) send(ctx context.Context, rng *rand.Rand, next announcement) bool {
	addr := a.t.opts.Pick(rng, nil)
	if addr == "" {
		return false
	}
	body := map[string]any{"version": next.version, "trainer": a.t.opts.Name}
	code, ok := a.t.send(ctx, addr, http.MethodPost, a.t.base("/versions"), body, nil)
	if !ok && ctx.Err() == nil {
		a.t.failed("announce_" + code)
	}
	return ok
}

func (a *announcer) wait() { a.wg.Wait() }
