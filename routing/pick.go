package routing

import (
	"context"
	"errors"
	"time"

	"github.com/cicadasill/cicadasill/health"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// prefillUnits is the fixed part of an engine request's work in tokens. It makes the
// latencies of short and long requests comparable.
const prefillUnits = 32

// Pick is a chosen back end with a slot of its concurrency limit.
type Pick struct {
	Backend machine.Backend
	// Wait is the expected wait at the back end.
	Wait time.Duration
	// PrefixHinted reports that the back end was hinted to hold the request's prefix.
	PrefixHinted bool

	state           *health.Backend
	table           *Table
	service, prefix string
}

// Done reports the result of the request and returns the slot. It must be called once.
// A caller's cancellation or deadline says nothing about the back end.
func (p Pick) Done(latency time.Duration, tokens int, err error) {
	t := p.table.opts.Tracker
	if err == nil {
		p.state.RecordFinished(latency, tokens)
		p.state.Limit.Release(perUnit(latency, p.Backend.Kind, tokens), true)
		t.ObserveSuccess(p.Backend.ID)
		if p.prefix != "" {
			p.table.hints.Add(p.service, p.prefix, p.Backend.ID, p.state.Version())
		}
		return
	}
	p.state.RecordFinished(0, 0)
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		p.state.Limit.Cancel()
		return
	}
	if platform.CodeOf(err) == platform.LeavingBackend {
		p.state.Limit.Cancel()
	} else {
		p.state.Limit.Release(0, false)
	}
	t.ObserveFailure(p.Backend.ID, err)
}

func perUnit(latency time.Duration, kind machine.Kind, tokens int) time.Duration {
	if kind == machine.Sampler {
		return latency / time.Duration(tokens+prefillUnits)
	}
	return latency
}
