package routing

import (
	"context"
	"errors"
	"time"

	"github.com/cicadasill/cicadasill/health"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// fixedWorkTokens is the fixed part of an engine request's work, expressed in tokens. It makes the
// latencies per token of short and long requests comparable.
const fixedWorkTokens = 32

// Pick is a chosen back end with a reserved slot of its concurrency limit.
type Pick struct {
	Backend machine.Backend
	// Wait is the expected wait at the back end when it was chosen.
	Wait time.Duration
	// PrefixHinted reports whether a hint says that the back end holds the request's prefix.
	PrefixHinted bool

	tracked         *health.Backend
	router          *BackendRouter
	service, prefix string
}

// Done records the result of the request and releases the slot. It must be called once. An err
// caused by the caller's cancellation or deadline does not count as a failure of the back end.
func (p Pick) Done(latency time.Duration, tokens int, err error) {
	tracker := p.router.opts.Tracker
	if err == nil {
		p.tracked.RecordFinished(latency, tokens)
		p.tracked.Limit.Release(normalisedLatency(latency, p.Backend.Kind, tokens), true)
		tracker.ObserveSuccess(p.Backend.ID)
		if p.prefix != "" {
			p.router.hints.Add(p.service, p.prefix, p.Backend.ID, p.tracked.Version())
		}
		return
	}
	p.tracked.RecordFinished(0, 0)
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		p.tracked.Limit.Cancel()
		return
	}
	if platform.CodeOf(err) == platform.LeavingBackend {
		p.tracked.Limit.Cancel()
	} else {
		p.tracked.Limit.Release(0, false)
	}
	tracker.ObserveFailure(p.Backend.ID, err)
}

// normalisedLatency returns the latency per token of work for a sampler, so that requests of
// different lengths can be compared, and the whole latency for a plain service.
func normalisedLatency(latency time.Duration, kind machine.Kind, tokens int) time.Duration {
	if kind == machine.Sampler {
		return latency / time.Duration(tokens+fixedWorkTokens)
	}
	return latency
}
