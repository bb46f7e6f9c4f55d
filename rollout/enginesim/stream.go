package enginesim

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin"
)

// idlePoll is how often a stream of a silent engine looks whether it may go on.
const idlePoll = 5 * time.Millisecond

// stream is one sequence on an engine.
type stream struct {
	e      *Engine
	ctx    context.Context
	life   chan struct{}
	req    platform.GenerateRequest
	next   int
	length int

	begun, done bool
	last        time.Time
	credit      float64
	once        sync.Once
}

// Next implements platform.GenerateStream.
func (s *stream) Next() (platform.GenerateEvent, error) {
	if s.done {
		return platform.GenerateEvent{}, io.EOF
	}
	first := !s.begun
	var kv int64
	var cached bool
	if first {
		var err error
		if kv, cached, err = s.begin(); err != nil {
			return platform.GenerateEvent{}, err
		}
	}
	for {
		if err := s.pause(s.e.opts.Chunk); err != nil {
			return platform.GenerateEvent{}, err
		}
		if ev, ok := s.produce(); ok {
			ev.KVVersion, ev.CachedPrompt = kv, cached
			if ev.Done {
				s.done = true
				_ = s.Close()
			}
			return s.e.distorted(ev), nil
		}
	}
}

// begin waits for a slot and the prefill.
func (s *stream) begin() (kv int64, cached bool, err error) {
	e := s.e
	e.mu.Lock()
	e.waiting++
	e.mu.Unlock()
	select {
	case e.slots <- struct{}{}:
	case <-s.ctx.Done():
		err = s.ctx.Err()
	case <-s.life:
		err = errCrashed
	}
	e.mu.Lock()
	e.waiting--
	if err != nil {
		e.mu.Unlock()
		return 0, false, &platform.Error{Code: platform.OutcomeUnknown, Op: "generate", Err: err}
	}
	s.begun = true
	e.running++
	kv, cached, prefill := s.prompt()
	e.kv[s.req.RequestID] = kv
	e.mu.Unlock()
	err = s.pause(time.Duration(float64(prefill) / e.opts.PrefillRate * float64(time.Second)))
	s.last = time.Now()
	return kv, cached, err
}

// prompt returns the version of the prompt's KV cache, whether it came from the prefix cache, and
// the tokens to prefill. Called with the engine's mutex held.
func (s *stream) prompt() (kv int64, cached bool, prefill int) {
	e := s.e
	if s.req.KVFrom != "" {
		if from := e.fleet.at(s.req.KVFrom); from != nil && from != e && from.mu.TryLock() {
			v, ok := from.kv[s.req.KVRequest]
			from.mu.Unlock()
			if ok && v == e.version {
				return v, false, 0
			}
		}
	}
	if e.staleKV != 0 && s.req.PrefixID != "" {
		return e.staleKV, true, len(s.req.ResumeTokens)
	}
	return e.version, false, standin.PromptTokens(s.req.Prompt) + len(s.req.ResumeTokens)
}

// pause waits for d, and as long as the engine is silent or swapping.
func (s *stream) pause(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return &platform.Error{Code: platform.OutcomeUnknown, Op: "generate", Err: s.ctx.Err()}
		case <-s.life:
			return &platform.Error{Code: platform.OutcomeUnknown, Op: "generate", Err: errCrashed}
		case <-timer.C:
		}
		s.e.mu.Lock()
		blocked := s.e.silent || s.e.swap
		s.e.mu.Unlock()
		if !blocked {
			return nil
		}
		s.last = time.Now()
		timer.Reset(idlePoll)
	}
}

// produce generates the tokens that the elapsed time allows.
func (s *stream) produce() (platform.GenerateEvent, bool) {
	e := s.e
	e.mu.Lock()
	now := time.Now()
	s.credit += e.opts.TokenRate * e.slow * now.Sub(s.last).Seconds()
	s.last = now
	n := min(int(s.credit), s.length-s.next)
	if n < 1 && s.next < s.length {
		e.mu.Unlock()
		return platform.GenerateEvent{}, false
	}
	s.credit -= float64(n)
	ev := platform.GenerateEvent{RequestID: s.req.RequestID, Index: s.next, Version: e.version}
	for i := range n {
		ev.Tokens = append(ev.Tokens, standin.Token(s.req.Prompt, s.req.Seed, s.next+i, e.version))
	}
	reached := s.reached(n)
	s.next += n
	e.tokens += int64(n)
	e.mu.Unlock()
	for _, f := range reached {
		f()
	}
	if s.next >= s.length {
		ev.Done, ev.Total = true, s.next
	}
	return ev, true
}

// reached takes the functions due at the n next tokens. Called with the engine's mutex held.
func (s *stream) reached(n int) []func() {
	var out []func()
	for i := s.next + 1; i <= s.next+n; i++ {
		out = append(out, s.e.at[i]...)
		delete(s.e.at, i)
	}
	return out
}

// Close implements platform.GenerateStream.
func (s *stream) Close() error {
	s.once.Do(func() {
		if !s.begun {
			return
		}
		<-s.e.slots
		s.e.mu.Lock()
		defer s.e.mu.Unlock()
		s.e.running--
		delete(s.e.kv, s.req.RequestID)
	})
	return nil
}
