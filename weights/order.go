package weights

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/timing"
)

const tracerName = "github.com/cicadasill/cicadasill/weights"

// startOrder sends an order to s in a new goroutine. It is called with mu held.
func (sd *serviceDistributor) startOrder(ctx context.Context, s *sampler, version int64, source string) {
	s.swapping, s.source, s.orderedVersion, s.orderedAt = true, source, version, time.Now()
	sd.swapping++
	sd.orderCount++
	if src := sd.samplerByAddr(source); src != nil && src != s {
		src.activeTransfers++
	}
	id := fmt.Sprintf("%s/%d/%s/%d/%d", sd.service, version, s.backend.ID, sd.lease.Fence(), sd.orderCount)
	orderCtx, cancel := context.WithTimeout(ctx, sd.distributor.opts.OrderTimeout)
	s.cancelOrder = cancel
	backend := s.backend
	sd.wg.Go(func() {
		defer cancel()
		err := sd.sendOrder(ctx, orderCtx, backend, platform.Order{
			ID: id, Kind: platform.LoadVersion, Version: version, Source: source, Fence: sd.lease.Fence(),
		})
		sd.finishOrder(s, version, err)
	})
}

// sendOrder sends one order and waits for the answer until orderCtx ends. If no answer arrives, load
// reports decide whether the order took effect.
func (sd *serviceDistributor) sendOrder(ctx, orderCtx context.Context, b machine.Backend, o platform.Order) error {
	orderCtx, span := otel.Tracer(tracerName).Start(orderCtx, "weights.order")
	defer span.End()
	span.SetAttributes(attribute.String("sampler", b.ID), attribute.Int64("version", o.Version), attribute.String("source", o.Source))
	opts := sd.distributor.opts
	// The deadline is computed before the lease is checked: if the process paused between the two, a
	// deadline computed later would let the order start after the successor's wait.
	o.Deadline = time.Now().Add(opts.OrderLife)
	if err := sd.checkLeaseAndVersion(o.Version); err != nil {
		return err
	}
	err := opts.Engine.Order(orderCtx, b.Addr, o)
	if err == nil || platform.HadNoEffect(err) {
		return err
	}
	if sd.confirmLoaded(ctx, b, o) {
		return nil
	}
	return err
}

// checkLeaseAndVersion returns an error unless the lease is valid and version is still the newest. It is
// called immediately before an order is sent.
func (sd *serviceDistributor) checkLeaseAndVersion(version int64) error {
	directory := sd.distributor.opts.Directory
	if directory.Withdrawn(sd.service, version) || directory.Newest(sd.service) != version {
		return errorf(CodeObsolete, "version %d is no longer the newest", version)
	}
	if isLost(sd.lease) || !sd.lease.Valid(sd.distributor.opts.LeaseMargin) {
		return errorf(CodeLeaseLapsed, "lease %s is lost or about to expire", Duty(sd.service))
	}
	return nil
}

// confirmLoaded polls the load reports of a sampler to find out whether an unanswered order took effect.
// It polls until the order's deadline has passed, plus two report intervals because load reports lag.
func (sd *serviceDistributor) confirmLoaded(ctx context.Context, b machine.Backend, o platform.Order) bool {
	until := o.Deadline.Add(2 * sd.distributor.opts.ReportInterval)
	for {
		if rep, err := sd.distributor.loadReport(ctx, b); err == nil && rep.Version == o.Version {
			return true
		}
		if time.Now().After(until) || !timing.Sleep(ctx, sd.distributor.opts.ReportInterval) {
			return false
		}
	}
}

// finishOrder records the outcome of an order and wakes up waitForEvent.
func (sd *serviceDistributor) finishOrder(s *sampler, version int64, err error) {
	sd.mu.Lock()
	source := s.source
	s.swapping, s.source = false, ""
	sd.swapping--
	if src := sd.samplerByAddr(source); src != nil && src != s {
		src.activeTransfers--
	}
	if err == nil {
		sd.orderSucceeded(s, source, version)
	} else {
		sd.orderFailed(s, source, version, err)
	}
	sd.mu.Unlock()
	select {
	case sd.orderEnded <- struct{}{}:
	default:
	}
}

// orderSucceeded marks s as running version and resets its failures. It is called with mu held.
func (sd *serviceDistributor) orderSucceeded(s *sampler, source string, version int64) {
	sd.countOrder("loaded", s.backend.Addr, source)
	s.versionKnown, s.version = true, version
	s.heldVersions = append(s.heldVersions, version)
	s.failures, s.outsideFailures, s.retryAt, s.lastFailedSource, s.swappedAt = 0, 0, time.Time{}, "", time.Now()
	if s.unfit {
		s.unfit = false
		sd.distributor.opts.SetUnfit(s.backend.ID, false)
	}
}

// orderFailed delays the next order. A failed load from outside the region delays all such loads of the
// region; any other failure delays s alone and, after MaxFailures in a row, makes it unfit. It is called
// with mu held.
func (sd *serviceDistributor) orderFailed(s *sampler, source string, version int64, err error) {
	e, ok := err.(*Error)
	if ok && (e.Code == CodeObsolete || e.Code == CodeLeaseLapsed) {
		return // the order was not sent
	}
	sd.countOrder("failed", s.backend.Addr, source)
	s.versionKnown, s.lastFailedSource = false, source
	backoff := sd.regionBackoff(s.backend.Zone.Region)
	if source == StoreSource || sd.isInOtherRegion(s, source) {
		// The store may be down for all samplers, so this failure is not counted against s. After the
		// region's backoff another sampler of the region tries.
		backoff.failures++
		backoff.retryAt = time.Now().Add(sd.retryBackoff(backoff.failures))
		s.outsideFailures++
		sd.logFailure(s, source, version, backoff.failures, err)
		return
	}
	s.failures++
	s.retryAt = time.Now().Add(sd.retryBackoff(s.failures))
	sd.logFailure(s, source, version, s.failures, err)
	if s.failures >= sd.distributor.opts.MaxFailures && !s.unfit {
		s.unfit = true
		sd.distributor.opts.SetUnfit(s.backend.ID, true)
	}
}

func (sd *serviceDistributor) logFailure(s *sampler, source string, version int64, failures int, err error) {
	sd.distributor.log.Warn("swap failed", "service", sd.service, "sampler", s.backend.ID, "version", version,
		"source", source, "failures", failures, "err", err)
}

// retryBackoff returns the delay after a number of failures: MinRetryBackoff, doubled with each further
// failure, up to MaxRetryBackoff.
func (sd *serviceDistributor) retryBackoff(failures int) time.Duration {
	backoff := sd.distributor.opts.MinRetryBackoff
	for i := 1; i < failures && backoff < sd.distributor.opts.MaxRetryBackoff; i++ {
		backoff *= 2
	}
	return min(backoff, sd.distributor.opts.MaxRetryBackoff)
}

func (sd *serviceDistributor) countOrder(outcome, addr, source string) {
	kind := "peer"
	switch source {
	case StoreSource:
		kind = "store"
	case addr:
		kind = "own"
	}
	sd.distributor.metrics.orders.WithLabelValues(sd.service, kind, outcome).Inc()
}
