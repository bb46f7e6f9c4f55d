package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/routing"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// Engine priorities.
const (
	rolloutPriority = 0
	staffPriority   = 10
)

// initialTokens is the room for tokens that a generation starts with.
const initialTokens = 1024

// generation is one sequence on its way from engines to the caller.
type generation struct {
	gateway *Gateway
	request *request
	sink    sink
	tokens  []int64 // all tokens passed on so far
}

// sink receives the tokens of a generation in order.
type sink interface {
	// event passes on tokens; the error means that the caller is gone.
	event(index int, tokens []int64, version int64) error
	// started reports whether part of the response has been written.
	started() bool
	// end writes the end of the response.
	end(total int)
	// fail writes the end of a response that has started.
	fail(e *Error)
}

// errCallerGone means that the response could not be written.
var errCallerGone = fmt.Errorf("response not written: %w", context.Canceled)

// answerError is a BadAnswer found by the gateway's own check of an engine's events.
type answerError string

// Error implements error.
func (e answerError) Error() string { return string(e) }

// Faults of an engine's events.
const (
	errWrongRequest  answerError = "event belongs to another request"
	errWrongIndex    answerError = "tokens do not continue the sequence"
	errTooManyTokens answerError = "more tokens than asked for"
	errWrongTotal    answerError = "total differs from the tokens received"
	errEarlyEnd      answerError = "stream ended before its last event"
)

// handleGenerate runs an engine call.
func (g *Gateway) handleGenerate(ctx context.Context, w http.ResponseWriter, r *request) *Error {
	release, e := g.admit(ctx, r)
	if e != nil {
		return e
	}
	defer release()
	gen := &generation{gateway: g, request: r, tokens: make([]int64, 0, min(r.generate.MaxTokens, initialTokens))}
	if r.generate.Stream {
		s := newStreamSink(w, r.deadline)
		defer s.close()
		gen.sink = s
	} else {
		gen.sink = &wholeSink{w: w, gen: gen}
	}
	err := gen.run(ctx)
	g.metrics.tokens.WithLabelValues(r.service.Name).Add(float64(len(gen.tokens)))
	if err == nil {
		g.opts.Retries.Deposit()
		gen.sink.end(len(gen.tokens))
		return nil
	}
	e = r.failure(err)
	if gen.sink.started() {
		gen.sink.fail(e)
		g.metrics.requests.WithLabelValues(r.service.Name, r.call.Name, string(e.Outcome), string(e.Code)+"_after_start").Inc()
		return nil
	}
	return e
}

// run moves the generation from engine to engine until it is complete. An engine that
// fails after tokens were passed on is left by resume, which repeats no work and so needs
// no retry budget; one that fails before is a retry within the budget.
func (gen *generation) run(ctx context.Context) error {
	g, r := gen.gateway, gen.request
	q := r.routing()
	var last error
	for n := 0; ; n++ {
		p, err := g.pick(ctx, &q)
		if err != nil {
			return r.note(last, err)
		}
		before := len(gen.tokens)
		err = gen.attempt(ctx, p)
		if err == nil {
			return nil
		}
		last = r.note(last, err)
		if ctx.Err() != nil || errors.Is(err, errCallerGone) || n >= g.opts.MaxResumes {
			return last
		}
		if len(gen.tokens) == before && !g.mayRetry(r, err) {
			return last
		}
		if len(gen.tokens) > 0 {
			g.metrics.resumes.WithLabelValues(r.service.Name).Inc()
		}
		q.Exclude = append(q.Exclude, p.Backend.ID)
	}
}

// attempt generates at one engine from the tokens passed on so far.
func (gen *generation) attempt(ctx context.Context, p routing.Pick) error {
	g, r := gen.gateway, gen.request
	id := r.backendID()
	ctx, span := g.startAttempt(ctx, p, id)
	defer span.End()
	before, start := len(gen.tokens), time.Now()
	stream, err := g.opts.Engine.Generate(ctx, p.Backend.Addr, platform.GenerateRequest{
		RequestID: id, Prompt: r.generate.Prompt, PrefixID: r.generate.PrefixID, MaxTokens: r.generate.MaxTokens,
		Seed: r.generate.Seed, Priority: enginePriority(r.call.Priority), ResumeTokens: gen.tokens,
	})
	if err == nil {
		err = gen.copy(stream, id)
		_ = stream.Close()
		if err != nil {
			g.cancelAtEngine(p.Backend.Addr, id)
		}
	}
	if err != nil && ctx.Err() != nil && !platform.HadNoEffect(err) {
		err = &platform.Error{Code: platform.OutcomeUnknown, Op: "generate", Err: ctx.Err()}
	}
	if err != nil {
		span.RecordError(err)
	}
	p.Done(time.Since(start), len(gen.tokens)-before, err)
	return err
}

// copy passes an engine's events to the sink. Reading stops while the caller does not
// read, so the engine is slowed down by the connection's flow control.
func (gen *generation) copy(stream platform.GenerateStream, id string) error {
	for {
		e, err := stream.Next()
		if err == io.EOF {
			return bad(errEarlyEnd)
		}
		if err != nil {
			return err
		}
		if err := gen.check(&e, id); err != nil {
			return err
		}
		if len(e.Tokens) > 0 {
			gen.tokens = append(gen.tokens, e.Tokens...)
			if err := gen.sink.event(e.Index, e.Tokens, e.Version); err != nil {
				return errCallerGone
			}
		}
		if e.Done {
			return nil
		}
	}
}

// check guards P4: an event of another request, a gap, a repetition or a short sequence is
// a failed attempt, and none of its tokens are passed on.
func (gen *generation) check(e *platform.GenerateEvent, id string) error {
	switch {
	case e.RequestID != id:
		return bad(errWrongRequest)
	case len(e.Tokens) > 0 && e.Index != len(gen.tokens):
		return bad(errWrongIndex)
	case len(gen.tokens)+len(e.Tokens) > gen.request.generate.MaxTokens:
		return bad(errTooManyTokens)
	case e.Done && e.Total != len(gen.tokens)+len(e.Tokens):
		return bad(errWrongTotal)
	}
	return nil
}

func bad(err error) error {
	return &platform.Error{Code: platform.BadAnswer, Op: "generate", Err: err}
}

// cancelAtEngine tells an engine that nobody wants a generation. Closing the stream does
// so too, unless its connection is silent.
func (g *Gateway) cancelAtEngine(addr, id string) {
	cancel := func() {
		ctx, cancel := context.WithTimeout(context.Background(), g.opts.CancelTimeout)
		defer cancel()
		if err := g.opts.Engine.Cancel(ctx, addr, id); err != nil {
			g.log.Debug("generation not cancelled", "addr", addr, "request", id, "err", err)
		}
	}
	if !g.inBackground(cancel) {
		cancel()
	}
}

func enginePriority(p contract.Priority) int {
	if p == contract.Staff {
		return staffPriority
	}
	return rolloutPriority
}
