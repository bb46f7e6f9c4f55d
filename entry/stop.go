package entry

import (
	"context"
	"time"

	"github.com/cicadasill/cicadasill/timing"
)

// drainPoll is how often a planned stop looks whether requests are still in flight.
const drainPoll = 20 * time.Millisecond

// requestStop starts the planned stop without waiting for it.
func (i *Instance) requestStop() {
	i.stopOnce.Do(func() {
		i.draining.Store(true)
		close(i.stopAsk)
	})
}

// Stop is the planned stop. Readiness falls and the peers learn that the instance leaves; it
// goes on serving for the balancer's delay, finishes what is in flight, releases its leases
// and ends. An *Error with code DrainIncomplete reports requests that outlived ctx.
func (i *Instance) Stop(ctx context.Context) error {
	i.requestStop()
	select {
	case <-i.ended:
		return i.stopErr
	case <-ctx.Done():
		return &Error{Code: DrainIncomplete, Err: ctx.Err()}
	}
}

// followStopRequests carries out the planned stop once it has been asked for.
func (i *Instance) followStopRequests(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-i.stopAsk:
	}
	defer close(i.stopped)
	ctx, cancel := context.WithTimeout(ctx, i.config.BalancerDelay+i.config.DrainTimeout)
	defer cancel()
	i.log.Info("drain started", "in_flight", i.inFlight.Load())
	i.stopErr = i.drain(ctx)
	i.log.Info("drain ended", "in_flight", i.inFlight.Load(), "err", i.stopErr)
	return nil
}

// drain runs the steps of the planned stop in order.
func (i *Instance) drain(ctx context.Context) error {
	// Duties end and leases go first, so that their successors need not wait for the time to live.
	i.endDuties()
	select {
	case <-i.dutiesEnded:
	case <-ctx.Done():
		return &Error{Code: DrainIncomplete, Err: ctx.Err()}
	}
	if err := i.leases.ReleaseAll(ctx); err != nil {
		i.log.Warn("leases not released", "err", err)
	}
	// Peers stop forwarding to this instance; what they have forwarded is finished below.
	if err := i.members.Leave(ctx); err != nil {
		i.log.Warn("leave not told", "err", err)
	}
	if !timing.Sleep(ctx, i.config.BalancerDelay) {
		return &Error{Code: DrainIncomplete, Err: ctx.Err()}
	}
	// A take that waits for samples is answered now; its trainer asks another instance.
	i.rollouts.Drain()
	if err := i.gateway.Drain(ctx); err != nil {
		return &Error{Code: DrainIncomplete, Err: err}
	}
	if err := i.httpServer.Shutdown(ctx); err != nil {
		return &Error{Code: DrainIncomplete, Err: err}
	}
	return i.awaitIdle(ctx)
}

// awaitIdle waits until no request is in flight, forwarded ones included.
func (i *Instance) awaitIdle(ctx context.Context) error {
	for i.inFlight.Load() > 0 {
		if !timing.Sleep(ctx, drainPoll) {
			return &Error{Code: DrainIncomplete, Err: ctx.Err()}
		}
	}
	return nil
}
