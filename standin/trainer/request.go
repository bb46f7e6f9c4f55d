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

// maxAnswerBytes bounds the size of an answer.
const maxAnswerBytes = 128 << 20

// do sends a request until it succeeds or ctx is done. It avoids the instance that gave no
// answer to the attempt before.
func (t *Trainer) do(ctx context.Context, s *step, method, path string, body, out any) bool {
	for ctx.Err() == nil {
		if _, ok := t.attempt(ctx, s, method, path, body, out); ok {
			return true
		}
		timing.Sleep(ctx, retryPause)
	}
	return false
}

// attempt sends a request once, to an instance that Pick selects. code says why it failed.
func (t *Trainer) attempt(ctx context.Context, s *step, method, path string, body, out any) (code string, ok bool) {
	addr := t.opts.Pick(t.rng, s.exclude)
	clear(s.exclude)
	if addr == "" {
		t.countFailure("no_instance")
		return "", false
	}
	code, ok = t.send(ctx, addr, method, path, body, out)
	if !ok && ctx.Err() == nil {
		s.exclude[addr] = code == "no_answer"
		if code != "step_not_open" {
			t.countFailure(code)
		}
	}
	return code, ok
}

// send sends a request to the instance at addr and decodes the answer into out.
func (t *Trainer) send(ctx context.Context, addr, method, path string, body, out any) (code string, ok bool) {
	callerCtx := ctx
	ctx, cancel := context.WithTimeout(callerCtx, t.opts.Wait+requestMargin)
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
		if callerCtx.Err() == nil {
			t.opts.Interrupted(addr, began, err)
		}
		return "no_answer", false
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errorCode(resp, data), false
	}
	if out != nil && json.Unmarshal(data, out) != nil {
		return "bad_answer", false
	}
	return "", true
}

// errorCode returns the error code of a refusal, or its status if the body has no code.
func errorCode(resp *http.Response, data []byte) string {
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

// announcer announces weight versions in the background, so that a log outage does not stop
// training.
type announcer struct {
	t  *Trainer
	wg conc.WaitGroup

	mu      sync.Mutex
	pending []announcement
	wake    chan struct{} // receives a value after pending has grown
}

type announcement struct {
	version int64
	at      time.Time
}

func (t *Trainer) startAnnouncer(ctx context.Context) *announcer {
	a := &announcer{t: t, wake: make(chan struct{}, 1)}
	rng := rand.New(rand.NewPCG(t.opts.Seed, 4))
	a.wg.Go(func() { a.run(ctx, rng) })
	return a
}

func (a *announcer) announce(version int64) {
	a.mu.Lock()
	a.pending = append(a.pending, announcement{version: version, at: time.Now()})
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run sends the pending announcements in order and repeats each until it is accepted.
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
			case <-a.wake:
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
	code, ok := a.t.send(ctx, addr, http.MethodPost, a.t.servicePath("/versions"), body, nil)
	if !ok && ctx.Err() == nil {
		a.t.countFailure("announce_" + code)
	}
	return ok
}

func (a *announcer) wait() { a.wg.Wait() }
