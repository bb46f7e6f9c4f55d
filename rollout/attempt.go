package rollout

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// attempt is one generation of a sample on one engine.
type attempt struct {
	id     string
	sample *sample
	pick   Pick
	cancel context.CancelFunc
	// startCount is the value of the sample's startCount when the attempt started.
	startCount int
	// newTokens counts the tokens that the attempt generated, without those that it resumed from.
	newTokens int
	// replaces is the attempt that a move replaces; it is ended at the first event of this one.
	replaces *attempt
	// kvFrom and kvRequest name the engine and the request whose KV cache this attempt may import.
	kvFrom, kvRequest string
	skipPrefixCache   bool
	timedOut          atomic.Bool

	// Guarded by the step's mutex.
	progress    *progress
	version     int64
	startedAt   time.Time
	lastEventAt time.Time
	// longestGap is the longest time between two events of the stream so far.
	longestGap time.Duration
	aborted    bool
	abortCause WasteCause
	// parked is set if the attempt was ended so that its sample continues later.
	parked bool
	// unusable is set if the stream was inconsistent or used a stale cache; no later attempt resumes
	// from it.
	unusable bool
}

// abort ends the attempt. Tokens that it still receives are counted as wasted by cause. Called with the
// step's mutex held.
func (a *attempt) abort(cause WasteCause) {
	if a.aborted {
		return
	}
	a.aborted, a.abortCause = true, cause
	a.cancel()
}

// lastActivity returns the time of the last event, or the start time if there was none.
func (a *attempt) lastActivity() time.Time {
	if a.lastEventAt.IsZero() {
		return a.startedAt
	}
	return a.lastEventAt
}

func (st *step) generateRequest(a *attempt) platform.GenerateRequest {
	g := a.sample.group
	req := platform.GenerateRequest{
		RequestID: a.id, Prompt: g.Prompt, PrefixID: g.PrefixID, MaxTokens: g.MaxTokens, Seed: a.sample.seed,
		Priority: st.srv.opts.RolloutPriority, ResumeTokens: append([]int64(nil), a.progress.tokens...),
		KVFrom: a.kvFrom, KVRequest: a.kvRequest,
	}
	if a.skipPrefixCache {
		req.PrefixID = ""
	}
	return req
}

// streamWithTimeouts reads the engine's events until the sequence is complete. A timer ends a stream
// that sends no events.
func (st *step) streamWithTimeouts(ctx context.Context, a *attempt) error {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "rollout.attempt")
	defer span.End()
	span.SetAttributes(attribute.String("engine", a.pick.Backend.ID), attribute.String("request_id", a.id))
	silenceTimer := time.AfterFunc(st.srv.opts.FirstEventTimeout, func() {
		a.timedOut.Store(true)
		a.cancel()
	})
	defer silenceTimer.Stop()
	err := st.readEvents(ctx, a, silenceTimer)
	if err != nil && a.timedOut.Load() {
		return &attemptError{Code: attemptSilent, Detail: a.pick.Backend.ID}
	}
	return err
}

func (st *step) readEvents(ctx context.Context, a *attempt, silenceTimer *time.Timer) error {
	stream, err := st.srv.opts.Engine.Generate(ctx, a.pick.Backend.Addr, st.generateRequest(a))
	if err != nil {
		return err
	}
	// Close cancels the request at the engine; its error does not affect the sample.
	defer func() { _ = stream.Close() }()
	for {
		ev, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return &attemptError{Code: attemptEndedEarly, Detail: a.pick.Backend.ID}
		}
		if err != nil {
			return err
		}
		silenceTimer.Reset(st.srv.opts.EventTimeout)
		if ev.RequestID != a.id {
			return &attemptError{Code: attemptWrongEcho, Detail: ev.RequestID}
		}
		if err := st.applyEvent(a, ev); err != nil {
			return err
		}
		if ev.Done {
			return nil
		}
	}
}

// applyEvent validates an event and adds it to the attempt's progress.
func (st *step) applyEvent(a *attempt, ev platform.GenerateEvent) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := st.srv.now()
	if a.aborted || a.sample.startCount != a.startCount {
		st.srv.metrics.countWaste(st.key.service, a.lateTokenCause(), len(ev.Tokens))
		return &attemptError{Code: attemptSuperseded, Detail: a.id}
	}
	if a.lastEventAt.IsZero() {
		if err := st.applyFirstEvent(a, ev); err != nil {
			return err
		}
	}
	if len(ev.Tokens) > 0 {
		if ev.Index != len(a.progress.tokens) {
			return &attemptError{Code: attemptWrongIndex, Detail: a.pick.Backend.ID}
		}
		a.progress.add(ev.Version, ev.Tokens)
		a.version = ev.Version
		a.newTokens += len(ev.Tokens)
		a.sample.generatedTokens += len(ev.Tokens)
		a.sample.failures = 0
	}
	var elapsed time.Duration
	if !a.lastEventAt.IsZero() {
		elapsed = now.Sub(a.lastEventAt)
		a.longestGap = max(a.longestGap, elapsed)
	}
	st.srv.speeds.observe(st.key.service, a.pick.Backend.ID, len(ev.Tokens), elapsed, ev.Version, now)
	a.lastEventAt = now
	return st.checkLength(a, ev)
}

// applyFirstEvent records the version of the prompt's KV cache and ends the attempt that this one
// replaces. If the engine reused a prefix cache entry of other weights, the attempt fails and the next
// one skips the cache.
func (st *step) applyFirstEvent(a *attempt, ev platform.GenerateEvent) error {
	kv := ev.KVVersion
	if kv == 0 {
		kv = ev.Version
	}
	if ev.CachedPrompt && kv != ev.Version && !a.skipPrefixCache && a.kvRequest == "" {
		a.sample.skipPrefixCache = true
		a.unusable = true
		return &attemptError{Code: attemptStaleCache, Detail: a.pick.Backend.ID}
	}
	if kv != 0 {
		a.progress.recordPromptVersion(kv)
	}
	if r := a.replaces; r != nil {
		r.abort(WasteRestart)
		a.sample.running = withoutAttempt(a.sample.running, r)
	}
	return nil
}

// checkLength checks the number of generated tokens against the group's maximum and the reported total.
func (st *step) checkLength(a *attempt, ev platform.GenerateEvent) error {
	n := len(a.progress.tokens)
	if n > a.sample.group.MaxTokens {
		a.unusable = true
		return &attemptError{Code: attemptOverrun, Detail: a.pick.Backend.ID}
	}
	if ev.Done && ev.Total != n {
		a.unusable = true
		return &attemptError{Code: attemptWrongTotal, Detail: a.pick.Backend.ID}
	}
	return nil
}

// lateTokenCause returns the waste cause of tokens that arrive after the attempt became obsolete.
func (a *attempt) lateTokenCause() WasteCause {
	if a.abortCause != "" {
		return a.abortCause
	}
	return WasteRestart
}

// finishAttempt handles the end of an attempt. It returns the complete sequence if this attempt is the
// first to finish it, else nil.
func (st *step) finishAttempt(a *attempt, err error) *progress {
	st.mu.Lock()
	defer st.mu.Unlock()
	s := a.sample
	s.running = withoutAttempt(s.running, a)
	if a.aborted || s.startCount != a.startCount || s.unscored != nil || s.result != nil {
		return nil
	}
	if err == nil {
		return st.completeSample(s, a)
	}
	st.handleFailure(s, a, err)
	return nil
}

// completeSample takes a's sequence as the result of s and aborts the other attempts of s. Called with
// mu held.
func (st *step) completeSample(s *sample, a *attempt) *progress {
	for _, other := range s.running {
		other.abort(WasteHedgeLoser)
	}
	s.running, s.resumeFrom = nil, nil
	s.unscored = a.progress
	st.srv.lengths.observe(st.key.service, s.group, len(a.progress.tokens))
	return a.progress
}

// handleFailure keeps the progress of a failed or parked attempt and queues the sample again, with a
// backoff after repeated failures. Called with mu held.
func (st *step) handleFailure(s *sample, a *attempt, err error) {
	if !a.parked {
		st.srv.metrics.attemptFailures.WithLabelValues(st.key.service, "generate").Inc()
	}
	if !a.unusable && len(a.progress.tokens) > 0 && (s.resumeFrom == nil || len(a.progress.tokens) > len(s.resumeFrom.tokens)) {
		s.resumeFrom = a.progress
	}
	if len(s.running) > 0 {
		return
	}
	if a.parked {
		st.enqueue(s)
		return
	}
	s.excludedEngines = []string{a.pick.Backend.ID}
	var ae *attemptError
	if !errors.As(err, &ae) || ae.Code != attemptStaleCache {
		s.failures++
	}
	if s.failures > 1 {
		s.retryAt = st.srv.now().Add(backoff(st.srv.opts.MinRetryBackoff, st.srv.opts.MaxRetryBackoff, s.failures))
	}
	st.srv.log.Debug("attempt failed", "sample", s.position, "step", st.key.step, "engine", a.pick.Backend.ID, "err", err)
	st.enqueue(s)
}

// pickerError returns the error that is reported to the picker. An attempt that this instance ended
// says nothing about the engine and is reported as context.Canceled, unless it was ended because the
// engine sent no events.
func pickerError(ctx context.Context, a *attempt, err error) error {
	if err == nil {
		return nil
	}
	var ae *attemptError
	endedHere := errors.As(err, &ae) && (ae.Code == attemptSuperseded || ae.Code == attemptStaleCache)
	if endedHere || (ctx.Err() != nil && !a.timedOut.Load()) {
		return context.Canceled
	}
	return err
}

// backoff returns delay, doubled for each failure after the second, up to maxBackoff.
func backoff(delay, maxBackoff time.Duration, failures int) time.Duration {
	for i := 2; i < failures && delay < maxBackoff; i++ {
		delay *= 2
	}
	return min(delay, maxBackoff)
}

// withoutAttempt returns a copy of list without a.
func withoutAttempt(list []*attempt, a *attempt) []*attempt {
	out := list[:0:0]
	for _, x := range list {
		if x != a {
			out = append(out, x)
		}
	}
	return out
}
