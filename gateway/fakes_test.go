package gateway_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	claims "github.com/cicadasill/cicadasill/claim"
	"github.com/cicadasill/cicadasill/gateway"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin"
)

// Steps of a request at which faults are injected, in the order of a run.
const (
	stepAccept, stepClaim, stepChoose, stepConnect, stepSend = "accept", "claim", "choose", "connect", "send"
	stepFirstByte, stepStream, stepEnd, stepAcknowledge      = "first byte", "stream", "end", "acknowledge"
)

const (
	silenceTimeout = 40 * time.Millisecond // after which the platform's client gives up on a silent connection
	slowDelay      = 30 * time.Millisecond
	pauseDuration  = 120 * time.Millisecond
)

// backend is one fake back end.
type backend struct {
	machine.Backend
	dead, leaving bool
	slow          time.Duration
}

// attemptConn is the connection of one attempt.
type attemptConn struct{ reset, silent, truncated, crossed, repeated bool }

// environment holds the fake back ends, the fake claim log and a record of what ran.
type environment struct {
	mu                sync.Mutex
	backends          map[string]*backend
	runs              map[string]int // by key or, without one, by body
	requests          map[string]bool
	cancels           int
	killed            map[string]bool
	paused            map[string]chan struct{}
	unreachableRegion string // back ends in this region cannot be reached
	claimLog          map[string]*claimRecord
	logDown           bool
	logSlow           time.Duration
	onStep            func(inst, step string, b *backend, c *attemptConn) // called with mu held
	closed            chan struct{}

	backendsByKey     map[string]map[string]bool // addresses of the back ends that ran each key
	askFirstTickets   bool                       // new tickets state that an earlier dispatch may have run
	expiredTickets    bool
	truncateForwarded bool // answers to forwarded requests are truncated
	endlessForwarded  *endlessBody
	forwardedStatus   int // replaces the status of answers to forwarded requests; 0 for none
}

// reachStep reports that a request at an instance reached a step. It waits out pauses and
// delays and returns the fault injected at this step.
func (w *environment) reachStep(ctx context.Context, inst, step string, b *backend, c *attemptConn) error {
	w.mu.Lock()
	if w.onStep != nil {
		w.onStep(inst, step, b, c)
	}
	paused, killed := w.paused[inst], w.killed[inst]
	var fault error
	var wait time.Duration
	if b != nil {
		wait = b.slow
		switch {
		case b.dead:
			fault = fmt.Errorf("back end crashed")
		case c.reset:
			fault = fmt.Errorf("connection reset")
		case w.unreachableRegion == b.Zone.Region:
			fault = fmt.Errorf("region unreachable")
		case c.silent:
			fault, wait = fmt.Errorf("no byte for %s", silenceTimeout), silenceTimeout
		}
	}
	w.mu.Unlock()
	if killed {
		<-w.closed
		return io.ErrClosedPipe
	}
	if paused != nil {
		<-paused
	}
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil && step != stepConnect {
		return ctx.Err()
	}
	return fault
}

// client is an instance's access to the environment. It implements the platform's interfaces
// and gateway.Claims.
type client struct {
	*environment
	inst string
}

func (c *client) backend(addr string) *backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.backends[addr]
}

// platformError returns an error as the platform's clients return it.
func platformError(code platform.Code, err error) error {
	return &platform.Error{Code: code, Op: "fake", Err: err}
}

// open connects and sends. If it returns nil, the back end has received the request.
func (c *client) open(ctx context.Context, b *backend, k *attemptConn, id string) error {
	if err := c.reachStep(ctx, c.inst, stepConnect, b, k); err != nil {
		return platformError(platform.NotSent, err)
	}
	if err := c.reachStep(ctx, c.inst, stepSend, b, k); err != nil {
		return platformError(platform.OutcomeUnknown, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests[id] {
		panic("request id used twice: " + id)
	}
	c.requests[id] = true
	if b.leaving {
		return platformError(platform.LeavingBackend, nil)
	}
	return nil
}

// expectedBody returns the answer of a plain back end.
func expectedBody(key string, body []byte) string { return key + ":" + standin.BodyHash(body) }

func (c *client) Do(ctx context.Context, addr string, req platform.PlainRequest) (platform.PlainResponse, error) {
	b, k := c.backend(addr), &attemptConn{}
	if err := c.open(ctx, b, k, req.RequestID); err != nil {
		return platform.PlainResponse{}, err
	}
	c.mu.Lock()
	c.runs[req.Key+string(req.Body)]++
	if c.backendsByKey[req.Key] == nil {
		c.backendsByKey[req.Key] = map[string]bool{}
	}
	c.backendsByKey[req.Key][addr] = true
	c.mu.Unlock()
	for _, step := range []string{stepFirstByte, stepStream, stepEnd} {
		if err := c.reachStep(ctx, c.inst, step, b, k); err != nil {
			return platform.PlainResponse{}, platformError(platform.OutcomeUnknown, err)
		}
	}
	return platform.PlainResponse{Status: 200, ContentType: "text/plain", Body: []byte(expectedBody(req.Key, req.Body))}, nil
}

func (c *client) AskByKey(_ context.Context, addr, key string) (platform.KeyStatus, error) {
	b := c.backend(addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.dead {
		return platform.KeyStatus{}, platformError(platform.NotSent, nil)
	}
	return platform.KeyStatus{Ran: c.runs[key+"body"] > 0, Response: platform.PlainResponse{Status: 200, Body: []byte(expectedBody(key, []byte("body")))}}, nil
}

func (c *client) Health(_ context.Context, addr string) (bool, error) {
	r, err := c.Load(context.Background(), addr)
	return r.Leaving, err
}

func (c *client) Load(_ context.Context, addr string) (platform.LoadReport, error) {
	b := c.backend(addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.dead || c.unreachableRegion == b.Zone.Region {
		return platform.LoadReport{}, platformError(platform.NotSent, nil)
	}
	return platform.LoadReport{Leaving: b.leaving, Version: 3, TokensPerS: 1000}, nil
}

func (c *client) CacheEvents(context.Context, string, int64) ([]platform.CacheEvent, error) {
	return nil, nil
}

func (c *client) Cancel(context.Context, string, string) error {
	c.mu.Lock()
	c.cancels++
	c.mu.Unlock()
	return nil
}

const chunkTokens = 4 // tokens per event

// engineStream is the event stream of one generation at a fake engine.
type engineStream struct {
	c    *client
	ctx  context.Context
	b    *backend
	k    *attemptConn
	req  platform.GenerateRequest
	next int
}

func (c *client) Generate(ctx context.Context, addr string, req platform.GenerateRequest) (platform.GenerateStream, error) {
	b, k := c.backend(addr), &attemptConn{}
	if err := c.open(ctx, b, k, req.RequestID); err != nil {
		return nil, err
	}
	return &engineStream{c: c, ctx: ctx, b: b, k: k, req: req, next: len(req.ResumeTokens)}, nil
}

func (s *engineStream) Next() (platform.GenerateEvent, error) {
	step := stepStream
	switch {
	case s.next == 0:
		step = stepFirstByte
	case s.next+chunkTokens >= s.req.MaxTokens:
		step = stepEnd
	}
	if err := s.c.reachStep(s.ctx, s.c.inst, step, s.b, s.k); err != nil {
		return platform.GenerateEvent{}, platformError(platform.OutcomeUnknown, err)
	}
	e := platform.GenerateEvent{RequestID: s.req.RequestID, Index: s.next, Version: 3}
	for len(e.Tokens) < chunkTokens && s.next < s.req.MaxTokens {
		e.Tokens = append(e.Tokens, standin.Token(s.req.Prompt, s.req.Seed, s.next, 3))
		s.next++
	}
	e.Done, e.Total = s.next == s.req.MaxTokens, s.next
	switch {
	case s.k.crossed:
		e.RequestID, e.Tokens[0] = "of-another-request", 1
	case s.k.repeated:
		e.Index -= chunkTokens
	case s.k.truncated:
		e.Done, e.Total = true, s.req.MaxTokens
	}
	return e, nil
}

func (s *engineStream) Close() error { return nil }

// claimRecord is the state of a key in the fake claim log.
type claimRecord struct {
	claimer  string
	body     string
	done     chan struct{}
	answer   *claims.Answer
	released bool
}

// ticket implements gateway.Ticket.
type ticket struct {
	c       *client
	key     string
	rec     *claimRecord
	outcome claims.Outcome
}

// settle records the end of the claim and wakes requests that wait for it.
func (t *ticket) settle(answer *claims.Answer, released bool) {
	_ = t.c.reachStep(context.Background(), t.c.inst, stepAcknowledge, nil, nil)
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	t.rec.answer, t.rec.released = answer, released
	close(t.rec.done)
	if released && t.c.claimLog[t.key] == t.rec {
		delete(t.c.claimLog, t.key)
	}
}

func (t *ticket) Finish(a claims.Answer) { t.settle(&a, false) }
func (t *ticket) Release()               { t.settle(nil, true) }
func (t *ticket) MarkUnknown()           { t.settle(nil, false) }
func (t *ticket) AskFirst() bool         { return t.c.askFirstTickets }
func (t *ticket) Deadline() time.Time {
	if t.c.expiredTickets {
		return time.Now().Add(-time.Second)
	}
	return time.Now().Add(time.Hour)
}
func (t *ticket) ReleaseOutcome() claims.Outcome { return t.outcome }

// Begin decides as the real claim package does: the first claim of a key wins, and later ones
// wait for it and replay its answer.
func (c *client) Begin(ctx context.Context, key claims.Key, body []byte, r claims.Terms) (gateway.Ticket, *claims.Answer, error) {
	outcome := claims.Unknown
	if r.Attempt == 1 {
		outcome = claims.NotRun
	}
	if err := c.reachStep(ctx, c.inst, stepClaim, nil, nil); err != nil {
		return nil, nil, err
	}
	c.mu.Lock()
	down, slow := c.logDown, c.logSlow
	c.mu.Unlock()
	if down && r.AskByKey {
		return &ticket{c, key.ID, &claimRecord{done: make(chan struct{})}, outcome}, nil, nil
	}
	if down {
		return nil, nil, &claims.Error{Outcome: outcome, Reason: claims.LogUnavailable}
	}
	time.Sleep(slow)
	for {
		c.mu.Lock()
		rec := c.claimLog[key.ID]
		if rec == nil {
			rec = &claimRecord{claimer: c.inst, body: string(body), done: make(chan struct{})}
			c.claimLog[key.ID] = rec
			c.mu.Unlock()
			return &ticket{c, key.ID, rec, claims.NotRun}, nil, nil
		}
		dead := c.killed[rec.claimer]
		c.mu.Unlock()
		switch {
		case rec.body != string(body):
			return nil, nil, &claims.Error{Outcome: claims.Unknown, Reason: claims.KeyConflict}
		case dead:
			return nil, nil, &claims.Error{Outcome: claims.Unknown, Reason: claims.ClaimerLost}
		}
		select {
		case <-rec.done:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
		if rec.answer != nil {
			return nil, rec.answer, nil
		}
		if !rec.released {
			return nil, nil, &claims.Error{Outcome: claims.Unknown, Reason: claims.OutcomeUnknown}
		}
	}
}

// endlessBody is a body without end that counts what is read of it.
type endlessBody struct{ read atomic.Int64 }

// Read implements io.Reader.
func (b *endlessBody) Read(p []byte) (int, error) {
	const runaway = 256 << 20
	if b.read.Add(int64(len(p))) > runaway {
		return 0, io.ErrUnexpectedEOF
	}
	clear(p)
	return len(p), nil
}

// Close implements io.Closer.
func (b *endlessBody) Close() error { return nil }
