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

// Priorities in requests to engines; a higher one goes first.
const (
	rolloutPriority = 0
	staffPriority   = 10
)

// initialTokenCapacity is the initial capacity of a generation's token slice.
const initialTokenCapacity = 1024

// generation relays one generated sequence from one or more engines to the caller.
type generation struct {
	gateway *Gateway
	request *request
	sink    tokenSink
	tokens  []int64 // all tokens passed to the sink so far
}

// tokenSink receives the tokens of a generation in order.
type tokenSink interface {
	// writeTokens passes tokens to the caller. An error means that the caller is gone.
	writeTokens(index int, tokens []int64, version int64) error
	// started reports whether part of the response has been written.
	started() bool
	// writeEnd completes the response after the last token.
	writeEnd(total int)
	// writeError ends a response that has started with an error.
	writeError(e *Error)
}

// errCallerGone means that the response could not be written to the caller.
var errCallerGone = fmt.Errorf("response not written: %w", context.Canceled)

// answerError is the cause of a platform.BadAnswer that the gateway found in an engine's events.
type answerError string

// Error implements error.
func (e answerError) Error() string { return string(e) }

// Invalid events of an engine.
const (
	errWrongRequest  answerError = "event belongs to another request"
	errWrongIndex    answerError = "tokens do not continue the sequence"
	errTooManyTokens answerError = "more tokens than asked for"
	errWrongTotal    answerError = "total differs from the tokens received"
	errEarlyEnd      answerError = "stream ended before its last event"
)

// handleGenerate runs an engine call, streamed or not.
func (g *Gateway) handleGenerate(ctx context.Context, w http.ResponseWriter, r *request) *Error {
	release, e := g.admit(ctx, r)
	if e != nil {
		return e
	}
	defer release()
	gen := &generation{gateway: g, request: r, tokens: make([]int64, 0, min(r.generate.MaxTokens, initialTokenCapacity))}
	if r.generate.Stream {
		s := newStreamSink(w, r.deadline)
		defer s.close()
		gen.sink = s
	} else {
		gen.sink = &bufferedSink{w: w, gen: gen}
	}
	err := gen.run(ctx)
	g.metrics.tokens.WithLabelValues(r.service.Name).Add(float64(len(gen.tokens)))
	if err == nil {
		g.opts.RetryBudget.Deposit()
		gen.sink.writeEnd(len(gen.tokens))
		return nil
	}
	e = r.failureFor(err)
	if gen.sink.started() {
		gen.sink.writeError(e)
		g.metrics.requests.WithLabelValues(r.service.Name, r.call.Name, string(e.Outcome), string(e.Code)+"_after_start").Inc()
		return nil
	}
	return e
}

// run attempts the generation at one engine after another until it is complete. After an
// attempt that produced tokens the next engine resumes from them, which repeats no work and
// uses no retry budget. After an attempt without new tokens the next one is a retry and uses
// the budget.
func (gen *generation) run(ctx context.Context) error {
	g, r := gen.gateway, gen.request
	routingReq := r.routingRequest()
	var lastErr error
	for resumes := 0; ; resumes++ {
		p, err := g.pick(ctx, &routingReq)
		if err != nil {
			return r.recordAttemptError(lastErr, err)
		}
		before := len(gen.tokens)
		err = gen.attempt(ctx, p)
		if err == nil {
			return nil
		}
		lastErr = r.recordAttemptError(lastErr, err)
		if ctx.Err() != nil || errors.Is(err, errCallerGone) || resumes >= g.opts.MaxResumes {
			return lastErr
		}
		if len(gen.tokens) == before && !g.allowRetry(r, err) {
			return lastErr
		}
		if len(gen.tokens) > 0 {
			g.metrics.resumes.WithLabelValues(r.service.Name).Inc()
		}
		routingReq.Exclude = append(routingReq.Exclude, p.Backend.ID)
	}
}

// attempt continues the generation at one engine after the tokens passed on so far.
func (gen *generation) attempt(ctx context.Context, p routing.Pick) error {
	g, r := gen.gateway, gen.request
	id := r.newAttemptID()
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

// copy passes an engine's events to the sink. It does not read from the engine while
// the caller does not read, so the connection's flow control slows the engine down.
func (gen *generation) copy(stream platform.GenerateStream, id string) error {
	for {
		e, err := stream.Next()
		if err == io.EOF {
			return badAnswer(errEarlyEnd)
		}
		if err != nil {
			return err
		}
		if err := gen.checkEvent(&e, id); err != nil {
			return err
		}
		if len(e.Tokens) > 0 {
			gen.tokens = append(gen.tokens, e.Tokens...)
			if err := gen.sink.writeTokens(e.Index, e.Tokens, e.Version); err != nil {
				return errCallerGone
			}
		}
		if e.Done {
			return nil
		}
	}
}

// checkEvent rejects an event of another request, a gap, a repetition, and a sequence that is
// too long or too short. Such an event fails the attempt and none of its tokens are passed on
// (promise P4).
func (gen *generation) checkEvent(e *platform.GenerateEvent, id string) error {
	switch {
	case e.RequestID != id:
		return badAnswer(errWrongRequest)
	case len(e.Tokens) > 0 && e.Index != len(gen.tokens):
		return badAnswer(errWrongIndex)
	case len(gen.tokens)+len(e.Tokens) > gen.request.generate.MaxTokens:
		return badAnswer(errTooManyTokens)
	case e.Done && e.Total != len(gen.tokens)+len(e.Tokens):
		return badAnswer(errWrongTotal)
	}
	return nil
}

// badAnswer wraps err as a platform.BadAnswer of an engine.
func badAnswer(err error) error {
	return &platform.Error{Code: platform.BadAnswer, Op: "generate", Err: err}
}

// cancelAtEngine cancels a generation at an engine. Closing the stream cancels it too, but a
// silent connection does not carry the close to the engine.
func (g *Gateway) cancelAtEngine(addr, id string) {
	cancel := func() {
		ctx, cancel := context.WithTimeout(context.Background(), g.opts.CancelTimeout)
		defer cancel()
		if err := g.opts.Engine.Cancel(ctx, addr, id); err != nil {
			g.log.Debug("cancelling the generation at its engine failed", "addr", addr, "request", id, "err", err)
		}
	}
	if !g.runInBackground(cancel) {
		cancel()
	}
}

func enginePriority(p contract.Priority) int {
	if p == contract.Staff {
		return staffPriority
	}
	return rolloutPriority
}
