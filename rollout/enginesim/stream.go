package enginesim

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin"
)

// blockedPollInterval is how often a stream checks whether its engine is still silent or swapping.
const blockedPollInterval = 5 * time.Millisecond

// stream generates one sequence on an engine.
type stream struct {
	e      *Engine
	ctx    context.Context
	reset  chan struct{}
	req    platform.GenerateRequest
	next   int
	length int

	started, done bool
	lastGenerated time.Time
	tokenCredit   float64
	closeOnce     sync.Once
}

// Next implements platform.GenerateStream.
func (s *stream) Next() (platform.GenerateEvent, error) {
	if s.done {
		return platform.GenerateEvent{}, io.EOF
	}
	first := !s.started
	var kv int64
	var cached bool
	if first {
		var err error
		if kv, cached, err = s.start(); err != nil {
			return platform.GenerateEvent{}, err
		}
	}
	for {
		if err := s.sleep(s.e.opts.EventInterval); err != nil {
			return platform.GenerateEvent{}, err
		}
		if ev, ok := s.generate(); ok {
			ev.KVVersion, ev.CachedPrompt = kv, cached
			if ev.Done {
				s.done = true
				_ = s.Close()
			}
			return s.e.altered(ev), nil
		}
	}
}

// start waits for a free slot and for the prefill. It returns the version of the prompt's KV cache and
// whether the prompt came from the prefix cache.
func (s *stream) start() (kv int64, cached bool, err error) {
	e := s.e
	e.mu.Lock()
	e.waiting++
	e.mu.Unlock()
	select {
	case e.slots <- struct{}{}:
	case <-s.ctx.Done():
		err = s.ctx.Err()
	case <-s.reset:
		err = errCrashed
	}
	e.mu.Lock()
	e.waiting--
	if err != nil {
		e.mu.Unlock()
		return 0, false, &platform.Error{Code: platform.OutcomeUnknown, Op: "generate", Err: err}
	}
	s.started = true
	e.running++
	kv, cached, prefill := s.promptCache()
	e.kvVersions[s.req.RequestID] = kv
	e.mu.Unlock()
	err = s.sleep(time.Duration(float64(prefill) / e.opts.PrefillRate * float64(time.Second)))
	s.lastGenerated = time.Now()
	return kv, cached, err
}

// promptCache returns the version of the prompt's KV cache, whether it came from the prefix cache, and
// the number of tokens to prefill. The caller holds the engine's mutex.
func (s *stream) promptCache() (kv int64, cached bool, prefill int) {
	e := s.e
	if s.req.KVFrom != "" {
		if from := e.fleet.engineAt(s.req.KVFrom); from != nil && from != e && from.mu.TryLock() {
			v, ok := from.kvVersions[s.req.KVRequest]
			from.mu.Unlock()
			if ok && v == e.version {
				return v, false, 0
			}
		}
	}
	if e.staleKVVersion != 0 && s.req.PrefixID != "" {
		return e.staleKVVersion, true, len(s.req.ResumeTokens)
	}
	return e.version, false, standin.PromptTokens(s.req.Prompt) + len(s.req.ResumeTokens)
}

// sleep waits for d, and then for as long as the engine is silent or swapping.
func (s *stream) sleep(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return &platform.Error{Code: platform.OutcomeUnknown, Op: "generate", Err: s.ctx.Err()}
		case <-s.reset:
			return &platform.Error{Code: platform.OutcomeUnknown, Op: "generate", Err: errCrashed}
		case <-timer.C:
		}
		s.e.mu.Lock()
		blocked := s.e.silent || s.e.swapping
		s.e.mu.Unlock()
		if !blocked {
			return nil
		}
		s.lastGenerated = time.Now()
		timer.Reset(blockedPollInterval)
	}
}

// generate returns an event with the tokens that the time since the last one allows, and false if
// there are none yet.
func (s *stream) generate() (platform.GenerateEvent, bool) {
	e := s.e
	e.mu.Lock()
	now := time.Now()
	s.tokenCredit += e.opts.TokenRate * e.speedFactor * now.Sub(s.lastGenerated).Seconds()
	s.lastGenerated = now
	n := min(int(s.tokenCredit), s.length-s.next)
	if n < 1 && s.next < s.length {
		e.mu.Unlock()
		return platform.GenerateEvent{}, false
	}
	s.tokenCredit -= float64(n)
	ev := platform.GenerateEvent{RequestID: s.req.RequestID, Index: s.next, Version: e.version}
	for i := range n {
		ev.Tokens = append(ev.Tokens, standin.Token(s.req.Prompt, s.req.Seed, s.next+i, e.version))
	}
	hooks := s.takeTokenHooks(n)
	s.next += n
	e.tokens += int64(n)
	e.mu.Unlock()
	for _, f := range hooks {
		f()
	}
	if s.next >= s.length {
		ev.Done, ev.Total = true, s.next
	}
	return ev, true
}

// takeTokenHooks removes and returns the hooks of the next n tokens. The caller holds the engine's mutex.
func (s *stream) takeTokenHooks(n int) []func() {
	var out []func()
	for i := s.next + 1; i <= s.next+n; i++ {
		out = append(out, s.e.tokenHooks[i]...)
		delete(s.e.tokenHooks, i)
	}
	return out
}

// Close implements platform.GenerateStream.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		if !s.started {
			return
		}
		<-s.e.slots
		s.e.mu.Lock()
		defer s.e.mu.Unlock()
		s.e.running--
		delete(s.e.kvVersions, s.req.RequestID)
	})
	return nil
}
