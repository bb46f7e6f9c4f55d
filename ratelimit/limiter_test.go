package ratelimit

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/telemetry"
)

// peers is a fake of the other instances: they answer with handle, and owner owns all buckets.
type peers struct {
	owner  machine.Instance
	count  int
	handle func(payload []byte) ([]byte, error)
	calls  int
}

func (p *peers) Owner(string, string) machine.Instance { return p.owner }
func (p *peers) Count() int                            { return p.count }

func (p *peers) Call(_ context.Context, _ machine.Instance, _ link.Cause, _ string, payload []byte) ([]byte, error) {
	p.calls++
	return p.handle(payload)
}

// limited returns a back end that has stated a limit.
func limited(t *testing.T, perSecond float64) *backends.Backend {
	t.Helper()
	directory := backends.New()
	directory.Put(backends.Entry{ID: "b", Service: "desk", StartedUnixMs: 7})
	b, _ := directory.Backend("b")
	if _, changed := b.RecordRateLimit(perSecond, time.Now()); !changed {
		t.Fatal("the limit was not recorded")
	}
	return b
}

func newTestLimiter(p *peers) *Limiter {
	return New(Options{Self: machine.Ref{ID: "self"}, Caller: p, Instances: p, Logger: telemetry.Discard()})
}

// Guards against a call for each request to a back end without a limit, and against calls for requests that are known to be
// refused.
func TestOwnerIsAskedOnlyWhenNeeded(t *testing.T) {
	is := is.New(t)
	p := &peers{owner: machine.Instance{ID: "other"}, count: 9, handle: func([]byte) ([]byte, error) {
		return cbor.Marshal(&response{Delay: time.Minute})
	}}
	l := newTestLimiter(p)
	directory := backends.New()
	directory.Put(backends.Entry{ID: "free"})
	free, _ := directory.Backend("free")
	is.NoErr(l.Acquire(t.Context(), free, 0))
	is.Equal(p.calls, 0)
	b := limited(t, 2)
	for range 5 {
		err := l.Acquire(t.Context(), b, time.Second)
		var exceeded *ExceededError
		is.True(errors.As(err, &exceeded))
		is.True(exceeded.RetryAfter > 50*time.Second)
	}
	is.Equal(p.calls, 1)
}

// Guards against instances that send without bound, or wait for the owner at each request, while it does not answer.
func TestSilentOwnerLeavesAShare(t *testing.T) {
	is := is.New(t)
	p := &peers{owner: machine.Instance{ID: "other"}, count: 9, handle: func([]byte) ([]byte, error) {
		return nil, context.DeadlineExceeded
	}}
	l := newTestLimiter(p)
	b := limited(t, 90) // a share of ten a second
	sent := 0
	for start := time.Now(); time.Since(start) < 300*time.Millisecond; time.Sleep(time.Millisecond) {
		if l.Acquire(t.Context(), b, 0) == nil {
			sent++
		}
	}
	is.True(sent <= 4)
	is.True(p.calls <= 2)
}

// Guards against an instance that is starved by one late answer of an owner: a share of a low limit among many instances
// permits the next request only after a minute.
func TestLateOwnerIsAskedAgain(t *testing.T) {
	is := is.New(t)
	p := &peers{owner: machine.Instance{ID: "other"}, count: 58}
	p.handle = func([]byte) ([]byte, error) {
		if p.calls == 1 {
			return nil, context.DeadlineExceeded
		}
		return cbor.Marshal(&response{Granted: true})
	}
	l := newTestLimiter(p)
	b := limited(t, 1)
	var exceeded *ExceededError
	is.True(errors.As(l.Acquire(t.Context(), b, 0), &exceeded))
	is.True(exceeded.RetryAfter <= ownerBackoff)
	time.Sleep(ownerBackoff + 10*time.Millisecond)
	is.NoErr(l.Acquire(t.Context(), b, 0))
	is.Equal(p.calls, 2)
}

// Guards against a token of an owner that is used although the limit has ended, and against waiting for it then.
func TestEndedLimitPermitsAtOnce(t *testing.T) {
	is := is.New(t)
	p := &peers{owner: machine.Instance{ID: "other"}, count: 9, handle: func([]byte) ([]byte, error) {
		return cbor.Marshal(&response{Delay: time.Minute})
	}}
	l := newTestLimiter(p)
	b := limited(t, 2)
	is.True(l.Acquire(t.Context(), b, 0) != nil)
	time.Sleep(time.Millisecond)
	_, changed := b.RecordRateLimit(0, time.Now())
	is.True(changed)
	is.NoErr(l.Acquire(t.Context(), b, 0))
}

// Guards against an answer that ends a limit although it belongs to a request sent before the limit was stated.
func TestOvertakenAnswerDoesNotEndALimit(t *testing.T) {
	is := is.New(t)
	b := limited(t, 2)
	_, changed := b.RecordRateLimit(0, time.Now().Add(-time.Second))
	is.True(!changed)
	is.Equal(b.RateLimit(), 2.0)
}

// Guards against the limit of an earlier run, or of a back end that has left, which applies to its successor.
func TestLimitEndsWithTheRunOfTheBackEnd(t *testing.T) {
	is := is.New(t)
	directory := backends.New()
	directory.SetRateLimit("b", 7, 2) // published before this instance has read the entry
	directory.Put(backends.Entry{ID: "b", StartedUnixMs: 7})
	b, _ := directory.Backend("b")
	is.Equal(b.RateLimit(), 2.0)
	directory.Put(backends.Entry{ID: "b", StartedUnixMs: 8})
	b, _ = directory.Backend("b")
	is.Equal(b.RateLimit(), 0.0)
	_, changed := b.RecordRateLimit(3, time.Now())
	is.True(changed)
	directory.SetRateLimit("b", 7, 1) // a late record of the run before
	is.Equal(b.RateLimit(), 3.0)
	directory.Remove("b")
	directory.Put(backends.Entry{ID: "b", StartedUnixMs: 8, Seq: 1}) // its next heartbeat
	b, _ = directory.Backend("b")
	is.Equal(b.RateLimit(), 0.0)
}
