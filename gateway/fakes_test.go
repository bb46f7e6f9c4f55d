package gateway_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	claims "github.com/cicadasill/cicadasill/claim"
	"github.com/cicadasill/cicadasill/gateway"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin"
)

// Steps of a request at which faults are injected, in order.
const (
	accept, claim, choose, connect, send = "accept", "claim", "choose", "connect", "send"
	firstByte, stream, end, acknowledge  = "first byte", "stream", "end", "acknowledge"
)

const (
	silence   = 40 * time.Millisecond // after which the platform's client gives up a silent connection
	slowness  = 30 * time.Millisecond
	pauseTime = 120 * time.Millisecond
)

// backend is one fake back end.
type backend struct {
	machine.Backend
	dead, leaving bool
	slow          time.Duration
}

// conn is the connection of one attempt.
type conn struct{ reset, silent, truncated, crossed, repeated bool }

// world holds the back ends, the claims' log and what really happened.
type world struct {
	mu       sync.Mutex
	backends map[string]*backend
	runs     map[string]int // by key or, without one, by body
	requests map[string]bool
	cancels  int
	killed   map[string]bool
	paused   map[string]chan struct{}
	cut      string // region that cannot be reached
	claims   map[string]*claimRecord
	logDown  bool
	logSlow  time.Duration
	hook     func(inst, step string, b *backend, c *conn) // called with mu held
	closed   chan struct{}

	places    map[string]map[string]bool // back ends that each key reached
	askFirst  bool                       // state of the tickets that are given out
	expired   bool
	cutAnswer bool // forwarded answers lose their end
}

// pass brings a request of an instance to a step and returns the fault that it meets there.
func (w *world) pass(ctx context.Context, inst, step string, b *backend, c *conn) error {
	w.mu.Lock()
	if w.hook != nil {
		w.hook(inst, step, b, c)
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
		case w.cut == b.Zone.Region:
			fault = fmt.Errorf("region unreachable")
		case c.silent:
			fault, wait = fmt.Errorf("no byte for %s", silence), silence
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
	if ctx.Err() != nil && step != connect {
		return ctx.Err()
	}
	return fault
}

// client is an instance's view of the world. It implements the platform's interfaces.
type client struct {
	*world
	inst string
}

func (c *client) backend(addr string) *backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.backends[addr]
}

func failed(code platform.Code, err error) error {
	return &platform.Error{Code: code, Op: "fake", Err: err}
}

// open connects and sends; afterwards the back end has the request.
func (c *client) open(ctx context.Context, b *backend, k *conn, id string) error {
	if err := c.pass(ctx, c.inst, connect, b, k); err != nil {
		return failed(platform.NotSent, err)
	}
	if err := c.pass(ctx, c.inst, send, b, k); err != nil {
		return failed(platform.OutcomeUnknown, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests[id] {
		panic("request id used twice: " + id)
	}
	c.requests[id] = true
	if b.leaving {
		return failed(platform.LeavingBackend, nil)
	}
	return nil
}

func answer(key string, body []byte) string { return key + ":" + standin.BodyHash(body) }

func (c *client) Do(ctx context.Context, addr string, req platform.PlainRequest) (platform.PlainResponse, error) {
	b, k := c.backend(addr), &conn{}
	if err := c.open(ctx, b, k, req.RequestID); err != nil {
		return platform.PlainResponse{}, err
	}
	c.mu.Lock()
	c.runs[req.Key+string(req.Body)]++
	if c.places[req.Key] == nil {
		c.places[req.Key] = map[string]bool{}
	}
	c.places[req.Key][addr] = true
	c.mu.Unlock()
	for _, step := range []string{firstByte, stream, end} {
		if err := c.pass(ctx, c.inst, step, b, k); err != nil {
			return platform.PlainResponse{}, failed(platform.OutcomeUnknown, err)
		}
	}
	return platform.PlainResponse{Status: 200, ContentType: "text/plain", Body: []byte(answer(req.Key, req.Body))}, nil
}

func (c *client) AskByKey(_ context.Context, addr, key string) (platform.KeyStatus, error) {
	b := c.backend(addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.dead {
		return platform.KeyStatus{}, failed(platform.NotSent, nil)
	}
	return platform.KeyStatus{Ran: c.runs[key+"body"] > 0, Response: platform.PlainResponse{Status: 200, Body: []byte(answer(key, []byte("body")))}}, nil
}

func (c *client) Health(_ context.Context, addr string) (bool, error) {
	r, err := c.Load(context.Background(), addr)
	return r.Leaving, err
}

func (c *client) Load(_ context.Context, addr string) (platform.LoadReport, error) {
	b := c.backend(addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.dead || c.cut == b.Zone.Region {
		return platform.LoadReport{}, failed(platform.NotSent, nil)
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

const chunk = 4 // tokens of an event

// sequence is a fake engine's stream.
type sequence struct {
	c    *client
	ctx  context.Context
	b    *backend
	k    *conn
	req  platform.GenerateRequest
	next int
}

func (c *client) Generate(ctx context.Context, addr string, req platform.GenerateRequest) (platform.GenerateStream, error) {
	b, k := c.backend(addr), &conn{}
	if err := c.open(ctx, b, k, req.RequestID); err != nil {
		return nil, err
	}
	return &sequence{c: c, ctx: ctx, b: b, k: k, req: req, next: len(req.ResumeTokens)}, nil
}

func (s *sequence) Next() (platform.GenerateEvent, error) {
	step := stream
	switch {
	case s.next == 0:
		step = firstByte
	case s.next+chunk >= s.req.MaxTokens:
		step = end
	}
	if err := s.c.pass(s.ctx, s.c.inst, step, s.b, s.k); err != nil {
		return platform.GenerateEvent{}, failed(platform.OutcomeUnknown, err)
	}
	e := platform.GenerateEvent{RequestID: s.req.RequestID, Index: s.next, Version: 3}
	for len(e.Tokens) < chunk && s.next < s.req.MaxTokens {
		e.Tokens = append(e.Tokens, standin.Token(s.req.Prompt, s.req.Seed, s.next, 3))
		s.next++
	}
	e.Done, e.Total = s.next == s.req.MaxTokens, s.next
	switch {
	case s.k.crossed:
		e.RequestID, e.Tokens[0] = "of-another-request", 1
	case s.k.repeated:
		e.Index -= chunk
	case s.k.truncated:
		e.Done, e.Total = true, s.req.MaxTokens
	}
	return e, nil
}

func (s *sequence) Close() error { return nil }

// claimRecord is a key's state in the fake log.
type claimRecord struct {
	claimer string
	body    string
	done    chan struct{}
	answer  *claims.Answer
	freed   bool
}

// ticket implements gateway.Ticket.
type ticket struct {
	c       *client
	key     string
	rec     *claimRecord
	outcome claims.Outcome
}

func (t *ticket) settle(answer *claims.Answer, freed bool) {
	_ = t.c.pass(context.Background(), t.c.inst, acknowledge, nil, nil)
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	t.rec.answer, t.rec.freed = answer, freed
	close(t.rec.done)
	if freed && t.c.claims[t.key] == t.rec {
		delete(t.c.claims, t.key)
	}
}

func (t *ticket) Finish(a claims.Answer) { t.settle(&a, false) }
func (t *ticket) Release()               { t.settle(nil, true) }
func (t *ticket) Unknown()               { t.settle(nil, false) }
func (t *ticket) AskFirst() bool         { return t.c.askFirst }
func (t *ticket) Deadline() time.Time {
	if t.c.expired {
		return time.Now().Add(-time.Second)
	}
	return time.Now().Add(time.Hour)
}
func (t *ticket) ReleaseOutcome() claims.Outcome { return t.outcome }

// Begin follows the design page: the first claim of a key wins, others join or replay.
func (c *client) Begin(ctx context.Context, key claims.Key, body []byte, r claims.Terms) (gateway.Ticket, *claims.Answer, error) {
	outcome := claims.Unknown
	if r.Attempt == 1 {
		outcome = claims.NotRun
	}
	if err := c.pass(ctx, c.inst, claim, nil, nil); err != nil {
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
		rec := c.claims[key.ID]
		if rec == nil {
			rec = &claimRecord{claimer: c.inst, body: string(body), done: make(chan struct{})}
			c.claims[key.ID] = rec
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
		if !rec.freed {
			return nil, nil, &claims.Error{Outcome: claims.Unknown, Reason: claims.OutcomeUnknown}
		}
	}
}
