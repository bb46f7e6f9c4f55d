package entry

import (
	"context"
	"time"

	"github.com/cicadasill/cicadasill/timing"
)

// drainPollInterval is how often a planned stop checks whether requests are still in flight.
const drainPollInterval = 20 * time.Millisecond

// requestStop starts the planned stop and does not wait for it.
func (i *Instance) requestStop() {
	i.stopOnce.Do(func() {
		i.draining.Store(true)
		close(i.stopRequested)
	})
}

// Stop starts the planned stop and waits until Run has ended. The instance reports that it is not
// ready, releases its leases and tells its peers that it is leaving. It goes on serving for
// Config.BalancerDelay and then finishes the requests in flight. If ctx ends or the planned stop runs
// out of time first, Stop returns an *Error with code DrainIncomplete.
func (i *Instance) Stop(ctx context.Context) error {
	i.requestStop()
	select {
	case <-i.runEnded:
		return i.stopErr
	case <-ctx.Done():
		return &Error{Code: DrainIncomplete, Err: ctx.Err()}
	}
}

// handleStopRequest waits for the request to stop and carries out the planned stop.
func (i *Instance) handleStopRequest(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-i.stopRequested:
	}
	defer close(i.drainEnded)
	ctx, cancel := context.WithTimeout(ctx, i.config.BalancerDelay+i.config.DrainTimeout)
	defer cancel()
	i.log.Info("drain started", "in_flight", i.inFlight.Load())
	i.stopErr = i.drain(ctx)
	i.log.Info("drain ended", "in_flight", i.inFlight.Load(), "err", i.stopErr)
	return nil
}

// drain carries out the steps of the planned stop in order.
func (i *Instance) drain(ctx context.Context) error {
	// The duties end and the leases are released first, so that the next holders need not wait until
	// the leases lapse.
	i.cancelDuties()
	select {
	case <-i.dutiesEnded:
	case <-ctx.Done():
		return &Error{Code: DrainIncomplete, Err: ctx.Err()}
	}
	if err := i.leases.ReleaseAll(ctx); err != nil {
		i.log.Warn("leases not released", "err", err)
	}
	// Peers stop forwarding requests to this instance; requests already forwarded are finished below.
	if err := i.members.Leave(ctx); err != nil {
		i.log.Warn("leave not announced", "err", err)
	}
	if !timing.Sleep(ctx, i.config.BalancerDelay) {
		return &Error{Code: DrainIncomplete, Err: ctx.Err()}
	}
	// Trainers' requests that wait for samples are answered now, and the trainers ask another instance.
	i.rollouts.Drain()
	if err := i.gateway.Drain(ctx); err != nil {
		return &Error{Code: DrainIncomplete, Err: err}
	}
	if err := i.httpServer.Shutdown(ctx); err != nil {
		return &Error{Code: DrainIncomplete, Err: err}
	}
	return i.awaitIdle(ctx)
}

// awaitIdle waits until no request is in flight, including requests forwarded by peers.
func (i *Instance) awaitIdle(ctx context.Context) error {
	for i.inFlight.Load() > 0 {
		if !timing.Sleep(ctx, drainPollInterval) {
			return &Error{Code: DrainIncomplete, Err: ctx.Err()}
		}
	}
	return nil
}
