package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/flood"
	"github.com/cicadasill/cicadasill/gateway"
	"github.com/cicadasill/cicadasill/intake"
	"github.com/cicadasill/cicadasill/limit"
	"github.com/cicadasill/cicadasill/machine"
)

// Guards against a body that is refused for lack of memory without its code, its outcome or the time to return, and against bodies
// that keep their memory when their requests have ended.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	bodies := intake.New(intake.Options{Limits: flood.MemoryLimits{Large: 4 << 20, StallTime: time.Hour}})
	d := deploy(t, func(o *gateway.Options) { o.Bodies = bodies }, "a")
	holder := bodies.Open(0, func() {})
	is.NoErr(holder.Resize(4 << 20))
	body := strings.Repeat("x", 1<<20)
	for header, outcome := range map[string]gateway.Outcome{"1": gateway.NotRun, "2": gateway.Unknown} {
		r := d.post(context.Background(), "a", "line-desk/calls/book", body, gateway.HeaderKey, "k", gateway.HeaderAttempt, header)
		is.Equal(r.status, http.StatusServiceUnavailable)
		is.Equal(r.header.Get("Retry-After"), "1")
		is.Equal(r.header.Get(gateway.HeaderReason), string(gateway.BodiesFull))
		is.Equal(r.header.Get(gateway.HeaderOutcome), string(outcome))
	}
	is.Equal(d.runsOf("k", body), 0)
	holder.Release()
	r := d.post(context.Background(), "a", "line-desk/calls/book", body, gateway.HeaderKey, "k", gateway.HeaderAttempt, "3")
	is.Equal(r.status, http.StatusOK)
	is.Equal(bodies.Used(), int64(0))
}

// Every refusal must carry its error code, and none may state not_run for a key that an
// earlier attempt may have run.
func TestTypedRefusals(t *testing.T) {
	d := deploy(t, func(o *gateway.Options) { o.MaxBody = 100 }, "a")
	large := strings.Repeat("x", 101)
	for _, c := range []struct {
		path, body string
		header     []string
		status     int
		code       gateway.Code
		outcome    gateway.Outcome
	}{
		{"none/calls/read", "body", nil, 404, gateway.UnknownService, gateway.NotRun},
		{"none/calls/read", "body", []string{gateway.HeaderKey, "k"}, 404, gateway.UnknownService, gateway.Unknown},
		{"line-desk/calls/none", "body", []string{gateway.HeaderAttempt, "2"}, 404, gateway.UnknownCall, gateway.NotRun},
		{"line-desk/calls/read", large, nil, 413, gateway.BodyTooLarge, gateway.NotRun},
		{"line-desk/calls/book", large, []string{gateway.HeaderKey, "k"}, 413, gateway.BodyTooLarge, gateway.Unknown},
		{"line-desk/calls/book", large, []string{gateway.HeaderKey, "k", gateway.HeaderAttempt, "1"}, 413, gateway.BodyTooLarge, gateway.NotRun},
		{"line-desk/calls/book", "body", nil, 400, gateway.KeyRequired, gateway.NotRun},
		{"line-desk/calls/book", "body", []string{gateway.HeaderKey, large + large + large}, 400, gateway.InvalidHeader, gateway.Unknown},
		{"line-desk/calls/read", "body", []string{gateway.HeaderDeadline, "0"}, 400, gateway.InvalidHeader, gateway.NotRun},
		{"line-desk/calls/read", "body", []string{gateway.HeaderAttempt, "x"}, 400, gateway.InvalidHeader, gateway.NotRun},
		{"fry-lm/calls/generate", `{"prompt":"p"}`, nil, 400, gateway.InvalidBody, gateway.NotRun},
		{"fry-lm/calls/generate", `{"prompt":"p","max_tokens":1,"prefx_id":""}`, nil, 400, gateway.InvalidBody, gateway.NotRun},
		{"fry-lm/calls/generate", `{"prompt":"p","max_tokens":1}{}`, nil, 400, gateway.InvalidBody, gateway.NotRun},
	} {
		t.Run(fmt.Sprint(c.path, c.code, c.outcome), func(t *testing.T) {
			is := is.New(t)
			r := d.post(context.Background(), "a", c.path, c.body, c.header...)
			var e struct {
				Error struct {
					Code, Message string
					Outcome       gateway.Outcome
					RetryAfterMs  int64 `json:"retry_after_ms"`
				}
			}
			is.NoErr(json.Unmarshal([]byte(r.body), &e))
			is.Equal(r.status, c.status)
			is.Equal(e.Error.Code, string(c.code))
			is.Equal(r.reason, string(c.code))
			is.Equal(e.Error.Outcome, c.outcome)
			is.Equal(r.outcome, c.outcome)
		})
	}
	is.New(t).Equal(d.runsOf("k", large), 0)
}

// Guards P4: events that belong to another request, repeat tokens or end too early must neither
// reach the caller nor complete the answer.
func TestCrossedAndTruncatedEvents(t *testing.T) {
	for _, streamed := range []bool{true, false} {
		for name, corrupt := range map[string]func(*attemptConn){
			"crossed": func(c *attemptConn) { c.crossed = true }, "truncated": func(c *attemptConn) { c.truncated = true },
			"repeated": func(c *attemptConn) { c.repeated = true },
		} {
			t.Run(fmt.Sprint(name, streamed), func(t *testing.T) {
				is := is.New(t)
				d := deploy(t, nil, "a")
				var once atomic.Bool
				d.onStep = func(_, step string, _ *backend, c *attemptConn) {
					if step == stepStream && once.CompareAndSwap(false, true) {
						corrupt(c)
					}
				}
				r := d.post(context.Background(), "a", "fry-lm/calls/generate", fmt.Sprintf(generateBody, streamed))
				is.Equal(r.outcome, gateway.Answered)
				if streamed {
					is.NoErr(checkTokens(r.body))
					return
				}
				var whole struct {
					Tokens   []int64
					Versions []struct{ Version, From, To int64 }
					Total    int
				}
				is.NoErr(json.Unmarshal([]byte(r.body), &whole))
				is.Equal(len(whole.Tokens), 20)
				is.Equal(whole.Total, 20)
				is.Equal(fmt.Sprint(whole.Versions), "[{3 0 20}]") // one version, although two engines took part
			})
		}
	}
}

// A generation must be cancelled at its engine when the caller disconnects.
func TestCallerGoneCancelsAtEngine(t *testing.T) {
	d := deploy(t, nil, "a")
	ctx, cancelCaller := context.WithCancel(context.Background())
	d.onStep = func(_, step string, _ *backend, c *attemptConn) {
		if step == stepStream {
			cancelCaller()
			c.silent = true
		}
	}
	d.post(ctx, "a", "fry-lm/calls/generate", fmt.Sprintf(generateBody, true))
	d.awaitCancel()
}

// awaitCancel waits until a generation has been cancelled at an engine. The gateway cancels
// it in the background, after the request has ended.
func (d *deployment) awaitCancel() {
	d.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		d.mu.Lock()
		n := d.cancels
		d.mu.Unlock()
		if n > 0 {
			return
		}
		if time.Now().After(end) {
			d.t.Fatal("no generation was cancelled within 10 s")
		}
	}
}

// Guards P6: a key must run only once when its caller disconnects during the run and repeats
// the key at another instance. A key that is reused with another body must be refused.
func TestSameKeyAtAnotherInstance(t *testing.T) {
	is := is.New(t)
	d := deploy(t, nil, "a", "b")
	ctx, cancelCaller := context.WithCancel(context.Background())
	d.onStep = func(inst, step string, b *backend, _ *attemptConn) {
		if inst == "a" && step == stepFirstByte {
			cancelCaller()
			b.slow = slowDelay
		}
	}
	is.Equal(d.send(ctx, "a", kindBook, "1").outcome, gateway.Outcome(""))
	r := d.send(context.Background(), "b", kindBook, "2")
	is.Equal(r.outcome, gateway.Answered)
	is.Equal(r.reason, "replayed")
	is.Equal(d.runsOf("key", "body"), 1)
	r = d.post(context.Background(), "b", "line-desk/calls/book", "other", gateway.HeaderKey, "key")
	is.Equal(r.status, http.StatusUnprocessableEntity)
	is.Equal(d.runsOf("key", "other"), 0)
}

// If the contract allows asking by key, a lost answer must not lead to an unknown outcome, and
// a log outage must not stop the call. Guards P6 for other calls during the outage.
func TestAskByKey(t *testing.T) {
	is := is.New(t)
	d := deploy(t, nil, "a")
	order := func(key string) reply {
		return d.post(context.Background(), "a", "line-desk/calls/order", "body", gateway.HeaderKey, key)
	}
	d.onStep = func(_, step string, _ *backend, c *attemptConn) { resetIf(c, step == stepEnd) }
	is.Equal(order("k1").outcome, gateway.Answered)
	is.Equal(d.runsOf("k1", "body"), 1)
	d.mu.Lock()
	d.onStep, d.logDown = nil, true
	d.mu.Unlock()
	is.Equal(order("k2").outcome, gateway.Answered) // without a claim, at the back end for the key
	r := d.post(context.Background(), "a", "line-desk/calls/book", "body", gateway.HeaderKey, "k3")
	is.Equal(r.outcome, gateway.Unknown) // without an attempt number an earlier attempt may have run
	is.Equal(r.reason, "log_unavailable")
}

// resetIf resets the connection if reset holds. c is nil at steps without a connection.
func resetIf(c *attemptConn, reset bool) {
	if c != nil && reset {
		c.reset = true
	}
}

// Guards P5 when the owner's answer to a forwarded request is lost: the owner may still run the
// request, so the forwarding instance must not state not_run, even for a first attempt.
func TestLostForwardAnswerIsNeverNotRun(t *testing.T) {
	is := is.New(t)
	d := deploy(t, func(o *gateway.Options) { o.ForwardTimeout = slowDelay }, "a", "b")
	d.owner = "b"
	d.paused["b"] = make(chan struct{})
	d.logDown = true
	r := d.send(context.Background(), "a", kindBook, "1")
	is.Equal(r.outcome, gateway.Unknown)
	is.Equal(r.reason, "log_unavailable")
	d.mu.Lock()
	close(d.paused["b"])
	delete(d.paused, "b")
	d.mu.Unlock()
	d.quiesce()
}

// A request whose deadline cannot be met must be refused at once with not_run and a
// Retry-After header, instead of waiting in the queue until its deadline.
func TestDeadlineThatCannotBeMet(t *testing.T) {
	is := is.New(t)
	d := deploy(t, nil, "a")
	for _, b := range d.backends {
		b.slow = slowDelay
	}
	d.instances["a"].tracker.Update([]machine.Backend{d.backends["line-desk-0"].Backend})
	done := make(chan reply)
	for range 40 {
		go func() { done <- d.post(context.Background(), "a", "line-desk/calls/read", "body") }()
	}
	for range 40 {
		<-done
	}
	for range 60 {
		go func() { done <- d.post(context.Background(), "a", "line-desk/calls/read", "body") }()
	}
	var refused reply
	for refused.outcome == "" {
		r := d.post(context.Background(), "a", "line-desk/calls/read", "early", gateway.HeaderDeadline, "100")
		if r.outcome == gateway.NotRun {
			refused = r
		}
	}
	is.Equal(refused.reason, string(limit.DeadlineTooClose))
	is.True(refused.header.Get("Retry-After") != "")
	for range 60 {
		is.Equal((<-done).outcome, gateway.Answered)
	}
}

// Guards P8: a request in flight when the drain begins must be answered, and later requests
// must be refused with not_run. The refusal also closes the caller's connection, which is not
// checked here.
func TestDrain(t *testing.T) {
	is := is.New(t)
	d := deploy(t, nil, "a")
	reached, resume := make(chan struct{}), make(chan struct{})
	d.mu.Lock()
	d.onStep = func(_, step string, b *backend, _ *attemptConn) {
		if step == stepFirstByte {
			d.paused["a"] = resume
			close(reached)
			d.onStep = nil
		}
	}
	d.mu.Unlock()
	answered, drained := make(chan reply), make(chan error)
	go func() { answered <- d.send(context.Background(), "a", kindBook, "1") }()
	<-reached
	go func() { drained <- d.instances["a"].Drain(context.Background()) }()
	d.mu.Lock()
	delete(d.paused, "a")
	d.mu.Unlock()
	var r reply
	for r.reason != string(gateway.Draining) {
		r = d.post(context.Background(), "a", "line-desk/calls/read", "late")
	}
	is.Equal(r.outcome, gateway.NotRun)
	select {
	case <-drained:
		t.Fatal("drained with a request in flight")
	default:
	}
	close(resume)
	is.Equal((<-answered).outcome, gateway.Answered)
	is.NoErr(<-drained)
}

// Staff calls take precedence, but rollout calls keep 10% of the slots: a rollout call must be
// answered although staff calls wait all the time.
func TestRolloutIsServedUnderStaffLoad(t *testing.T) {
	d := deploy(t, nil, "a")
	s := d.services["line-desk"]
	s.Calls = append(s.Calls, contract.Call{Name: "score", Idempotent: true, Priority: contract.Rollout})
	d.mu.Lock()
	for _, b := range d.backends {
		b.slow = time.Millisecond
	}
	d.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for range 100 {
		go func() {
			for ctx.Err() == nil {
				d.post(ctx, "a", "line-desk/calls/read", "body")
			}
		}()
	}
	is.New(t).Equal(d.post(ctx, "a", "line-desk/calls/score", "body", gateway.HeaderDeadline, "20000").outcome, gateway.Answered)
}

// Guards P6 for keys that only their back end remembers. In a log outage all instances must
// send a key to the same back end. A back end must be asked about an earlier dispatch before
// the next one, and a request with an expired ticket must not be dispatched.
func TestKeysWithoutClaims(t *testing.T) {
	is := is.New(t)
	d := deploy(t, nil, "a", "b")
	d.logDown = true
	order := func(inst, key string) reply {
		return d.post(context.Background(), inst, "line-desk/calls/order", "body", gateway.HeaderKey, key)
	}
	for i := range 8 {
		key := fmt.Sprint("key-", i)
		for _, inst := range []string{"a", "b", "a", "b"} {
			is.Equal(order(inst, key).outcome, gateway.Answered)
		}
		is.Equal(len(d.backendsByKey[key]), 1)
	}
	d.askFirstTickets = true
	before := d.runsOf("key-0", "body")
	is.Equal(order("a", "key-0").outcome, gateway.Answered)
	is.Equal(d.runsOf("key-0", "body"), before)
	d.askFirstTickets, d.logDown, d.expiredTickets = false, false, true
	is.Equal(d.send(context.Background(), "a", kindBook, "1").outcome, gateway.NotRun)
	is.Equal(d.runsOf("key", "body"), 0)
}

// A forwarded request must be answered and run once when instances disagree on the owner, when
// the owner is stopping, and when the owner's answer is truncated, has no end or no valid status.
func TestForwarding(t *testing.T) {
	for name, prepare := range map[string]func(*deployment){
		"each takes the other for the owner": func(d *deployment) { d.owner = eachOther },
		"owner is stopping":                  func(d *deployment) { _ = d.instances["b"].Drain(context.Background()) },
		"answer is cut":                      func(d *deployment) { d.truncateForwarded = true },
		"answer has no end":                  func(d *deployment) { d.endlessForwarded = &endlessBody{} },
		"answer has a status below 100":      func(d *deployment) { d.forwardedStatus = 99 },
		"answer has the status 101":          func(d *deployment) { d.forwardedStatus = http.StatusSwitchingProtocols },
		"answer has the status 600":          func(d *deployment) { d.forwardedStatus = 600 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, nil, "a", "b")
			d.owner = "b"
			prepare(d)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			r := d.send(ctx, "a", kindBook, "1")
			is.Equal(r.outcome, gateway.Answered)
			is.Equal(r.status, http.StatusOK)
			is.Equal(r.body, expectedBody("key", []byte("body")))
			is.Equal(d.runsOf("key", "body"), 1)
			is.Equal(d.forwards, 1)
			if d.endlessForwarded != nil {
				is.True(d.endlessForwarded.read.Load() <= 2*gateway.DefaultMaxAnswer)
			}
		})
	}
}

// A back end that does not answer must not delay an idempotent call until its timeout. The
// budget allows no retry, so only a hedge can answer after the first connection went silent.
func TestHedge(t *testing.T) {
	d := deploy(t, func(o *gateway.Options) {
		o.MinHedgeDelay, o.MaxHedgeDelay = time.Millisecond, time.Millisecond
		o.RetryBudget = limit.NewRetryBudget(0.1, 0.5, -1)
	}, "a")
	var once atomic.Bool
	d.onStep = func(_, step string, _ *backend, c *attemptConn) {
		if step == stepFirstByte && once.CompareAndSwap(false, true) {
			c.silent = true
		}
	}
	is.New(t).Equal(d.send(context.Background(), "a", kindRead, "1").outcome, gateway.Answered)
}

// A caller that never reads must not hold an engine and a slot for ever: its stream must end at
// the deadline and the generation must be cancelled at the engine.
func TestCallerThatNeverReads(t *testing.T) {
	is := is.New(t)
	d := deploy(t, nil, "a")
	c, err := net.Dial("tcp", d.instances["a"].server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	body := `{"prompt":"p","max_tokens":1000000,"stream":true}`
	_, err = fmt.Fprintf(c, "POST /v1/services/fry-lm/calls/generate HTTP/1.1\r\nHost: a\r\n%s: 2000\r\nContent-Length: %d\r\n\r\n%s",
		gateway.HeaderDeadline, len(body), body)
	is.NoErr(err)
	var first [1]byte
	_, err = c.Read(first[:]) // the stream has begun
	is.NoErr(err)
	d.quiesce()
	d.awaitCancel()
}
