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

// attempt is one generation of a sample on one engine. Fields below mu are guarded by the step's mutex.
type attempt struct {
	id     string
	s      *sample
	pick   Pick
	cancel context.CancelFunc
	// start is the sample's start that this attempt belongs to.
	start int
	// generated is the number of tokens that the attempt added to those it resumed from.
	generated int
	// replaces is the attempt whose place this one takes.
	replaces          *attempt
	kvFrom, kvRequest string
	noPrefix          bool
	silent            atomic.Bool

	// Guarded by the step's mutex.
	progress  *progress
	version   int64
	startedAt time.Time
	lastEvent time.Time
	// gap is the longest time between two events so far.
	gap   time.Duration
	dead  bool
	cause WasteCause
	// parked states that the attempt was ended to run the sample later.
	parked bool
	// poisoned states that the stream contradicted itself, so its tokens are not resumed from.
	poisoned bool
}

// kill ends the attempt; tokens that it still receives count as wasted by cause. Called with mu held.
func (a *attempt) kill(cause WasteCause) {
	if a.dead {
		return
	}
	a.dead, a.cause = true, cause
	a.cancel()
}

// lastProgress returns the time of the last event, or of the start before the first one.
func (a *attempt) lastProgress() time.Time {
	if a.lastEvent.IsZero() {
		return a.startedAt
	}
	return a.lastEvent
}

func (st *step) request(a *attempt) platform.GenerateRequest {
	g := a.s.group
	req := platform.GenerateRequest{
		RequestID: a.id, Prompt: g.Prompt, PrefixID: g.PrefixID, MaxTokens: g.MaxTokens, Seed: a.s.seed,
		Priority: st.srv.opts.RolloutPriority, ResumeTokens: append([]int64(nil), a.progress.tokens...),
		KVFrom: a.kvFrom, KVRequest: a.kvRequest,
	}
	if a.noPrefix {
		req.PrefixID = ""
	}
	return req
}

// stream reads the engine's events until the sequence is whole. A watchdog ends a silent stream.
func (st *step) stream(ctx context.Context, a *attempt) error {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "rollout.attempt")
	defer span.End()
	span.SetAttributes(attribute.String("engine", a.pick.Backend.ID), attribute.String("request_id", a.id))
	watchdog := time.AfterFunc(st.srv.opts.FirstTokenTimeout, func() {
		a.silent.Store(true)
		a.cancel()
	})
	defer watchdog.Stop()
	err := st.events(ctx, a, watchdog)
	if err != nil && a.silent.Load() {
		return &attemptError{Code: attemptSilent, Detail: a.pick.Backend.ID}
	}
	return err
}

func (st *step) events(ctx context.Context, a *attempt, watchdog *time.Timer) error {
	stream, err := st.srv.opts.Engine.Generate(ctx, a.pick.Backend.Addr, st.request(a))
	if err != nil {
		return err
	}
	// Close cancels at the engine; its error changes nothing for the sample.
	defer func() { _ = stream.Close() }()
	for {
		ev, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return &attemptError{Code: attemptEnded, Detail: a.pick.Backend.ID}
		}
		if err != nil {
			return err
		}
		watchdog.Reset(st.srv.opts.ProgressTimeout)
		if ev.RequestID != a.id {
			return &attemptError{Code: attemptWrongEcho, Detail: ev.RequestID}
		}
		if err := st.apply(a, ev); err != nil {
			return err
		}
		if ev.Done {
			return nil
		}
	}
}

// apply adds one event to the attempt's progress.
func (st *step) apply(a *attempt, ev platform.GenerateEvent) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := st.srv.now()
	if a.dead || a.s.attempt != a.start {
		st.srv.metrics.waste(st.key.service, a.wasteCause(), len(ev.Tokens))
		return &attemptError{Code: attemptSuperseded, Detail: a.id}
	}
	if a.lastEvent.IsZero() {
		if err := st.firstEvent(a, ev); err != nil {
			return err
		}
	}
	if len(ev.Tokens) > 0 {
		if ev.Index != len(a.progress.tokens) {
			return &attemptError{Code: attemptWrongIndex, Detail: a.pick.Backend.ID}
		}
		a.progress.add(ev.Version, ev.Tokens)
		a.version = ev.Version
		a.generated += len(ev.Tokens)
		a.s.spent += len(ev.Tokens)
		a.s.failures = 0
	}
	var elapsed time.Duration
	if !a.lastEvent.IsZero() {
		elapsed = now.Sub(a.lastEvent)
		a.gap = max(a.gap, elapsed)
	}
	st.srv.speeds.observe(st.key.service, a.pick.Backend.ID, len(ev.Tokens), elapsed, ev.Version, now)
	a.lastEvent = now
	return st.checkLength(a, ev)
}

// firstEvent records the prompt's KV version and ends the attempt that this one replaces. An engine
// that reused a cache entry of other weights is asked again without the cache.
func (st *step) firstEvent(a *attempt, ev platform.GenerateEvent) error {
	kv := ev.KVVersion
	if kv == 0 {
		kv = ev.Version
	}
	if ev.CachedPrompt && kv != ev.Version && !a.noPrefix && a.kvRequest == "" {
		a.s.noPrefix = true
		a.poisoned = true
		return &attemptError{Code: attemptStaleCache, Detail: a.pick.Backend.ID}
	}
	if kv != 0 {
		a.progress.useKV(kv)
	}
	if r := a.replaces; r != nil {
		r.kill(WasteRestart)
		a.s.live = remove(a.s.live, r)
	}
	return nil
}

func (st *step) checkLength(a *attempt, ev platform.GenerateEvent) error {
	n := len(a.progress.tokens)
	if n > a.s.group.MaxTokens {
		a.poisoned = true
		return &attemptError{Code: attemptOverrun, Detail: a.pick.Backend.ID}
	}
	if ev.Done && ev.Total != n {
		a.poisoned = true
		return &attemptError{Code: attemptWrongTotal, Detail: a.pick.Backend.ID}
	}
	return nil
}

func (a *attempt) wasteCause() WasteCause {
	if a.cause != "" {
		return a.cause
	}
	return WasteRestart
}

// finish ends an attempt. It returns the whole sequence when this attempt is the first to have it.
func (st *step) finish(a *attempt, err error) *progress {
	st.mu.Lock()
	defer st.mu.Unlock()
	s := a.s
	s.live = remove(s.live, a)
	if a.dead || s.attempt != a.start || s.winner != nil || s.result != nil {
		return nil
	}
	if err == nil {
		return st.win(s, a)
	}
	st.fail(s, a, err)
	return nil
}

// win makes a's sequence the sample's; its competitors are cancelled. Called with mu held.
func (st *step) win(s *sample, a *attempt) *progress {
	for _, other := range s.live {
		other.kill(WasteHedgeLoser)
	}
	s.live, s.saved = nil, nil
	s.winner = a.progress
	st.srv.lengths.observe(st.key.service, s.group, len(a.progress.tokens))
	return a.progress
}

// fail keeps the progress of a failed attempt and queues the sample again. Called with mu held.
func (st *step) fail(s *sample, a *attempt, err error) {
	if !a.parked {
		st.srv.metrics.failures.WithLabelValues(st.key.service, "generate").Inc()
	}
	if !a.poisoned && len(a.progress.tokens) > 0 && (s.saved == nil || len(a.progress.tokens) > len(s.saved.tokens)) {
		s.saved = a.progress
	}
	if len(s.live) > 0 {
		return
	}
	if a.parked {
		st.enqueue(s)
		return
	}
	s.exclude = []string{a.pick.Backend.ID}
	var ae *attemptError
	if !errors.As(err, &ae) || ae.Code != attemptStaleCache {
		s.failures++
	}
	if s.failures > 1 {
		s.notBefore = st.srv.now().Add(backoff(st.srv.opts.RetryPause, st.srv.opts.MaxRetryPause, s.failures))
	}
	st.srv.log.Debug("attempt failed", "sample", s.position, "step", st.key.step, "engine", a.pick.Backend.ID, "err", err)
	st.enqueue(s)
}

// reportable is the error that the picker learns. An attempt that was ended here says nothing about
// the engine, which context.Canceled states; only a silent engine is ended for what it did.
func reportable(ctx context.Context, a *attempt, err error) error {
	if err == nil {
		return nil
	}
	var ae *attemptError
	ended := errors.As(err, &ae) && (ae.Code == attemptSuperseded || ae.Code == attemptStaleCache)
	if ended || (ctx.Err() != nil && !a.silent.Load()) {
		return context.Canceled
	}
	return err
}

func backoff(pause, limit time.Duration, failures int) time.Duration {
	for i := 2; i < failures && pause < limit; i++ {
		pause *= 2
	}
	return min(pause, limit)
}

func remove(list []*attempt, a *attempt) []*attempt {
	out := list[:0:0]
	for _, x := range list {
		if x != a {
			out = append(out, x)
		}
	}
	return out
}
