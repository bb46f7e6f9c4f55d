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
func (dr *driver) startOrder(ctx context.Context, s *sampler, version int64, source string) {
	s.swapping, s.source, s.orderedVersion, s.orderedAt = true, source, version, time.Now()
	dr.swapping++
	dr.orderCount++
	if src := dr.samplerByAddr(source); src != nil && src != s {
		src.activeTransfers++
	}
	id := fmt.Sprintf("%s/%d/%s/%d/%d", dr.service, version, s.backend.ID, dr.lease.Fence(), dr.orderCount)
	orderCtx, cancel := context.WithTimeout(ctx, dr.distributor.opts.OrderTimeout)
	s.cancelOrder = cancel
	backend := s.backend
	dr.wg.Go(func() {
		defer cancel()
		err := dr.sendOrder(ctx, orderCtx, backend, platform.Order{
			ID: id, Kind: platform.LoadVersion, Version: version, Source: source, Fence: dr.lease.Fence(),
		})
		dr.finishOrder(s, version, err)
	})
}

// sendOrder sends one order and waits for the answer until orderCtx ends. If no answer arrives, load
// reports decide whether the order took effect.
func (dr *driver) sendOrder(ctx, orderCtx context.Context, b machine.Backend, o platform.Order) error {
	orderCtx, span := otel.Tracer(tracerName).Start(orderCtx, "weights.order")
	defer span.End()
	span.SetAttributes(attribute.String("sampler", b.ID), attribute.Int64("version", o.Version), attribute.String("source", o.Source))
	opts := dr.distributor.opts
	// The deadline is computed before the lease is checked: if the process paused between the two, a
	// deadline computed later would let the order start after the successor's wait.
	o.Deadline = time.Now().Add(opts.OrderLife)
	if err := dr.checkLeaseAndVersion(o.Version); err != nil {
		return err
	}
	err := opts.Engine.Order(orderCtx, b.Addr, o)
	if err == nil || platform.HadNoEffect(err) {
		return err
	}
	if dr.confirmLoaded(ctx, b, o) {
		return nil
	}
	return err
}

// checkLeaseAndVersion returns an error unless the lease is valid and version is still the newest. It is
// called immediately before an order is sent.
func (dr *driver) checkLeaseAndVersion(version int64) error {
	directory := dr.distributor.opts.Directory
	if directory.Withdrawn(dr.service, version) || directory.Newest(dr.service) != version {
		return errorf(CodeObsolete, "version %d is no longer the newest", version)
	}
	if isLost(dr.lease) || !dr.lease.Valid(dr.distributor.opts.LeaseMargin) {
		return errorf(CodeLeaseLapsed, "lease %s is lost or about to expire", Duty(dr.service))
	}
	return nil
}

// confirmLoaded polls the load reports of a sampler to find out whether an unanswered order took effect.
// It polls until the order's deadline has passed, plus two report intervals because load reports lag.
func (dr *driver) confirmLoaded(ctx context.Context, b machine.Backend, o platform.Order) bool {
	until := o.Deadline.Add(2 * dr.distributor.opts.ReportInterval)
	for {
		if rep, err := dr.distributor.loadReport(ctx, b); err == nil && rep.Version == o.Version {
			return true
		}
		if time.Now().After(until) || !timing.Sleep(ctx, dr.distributor.opts.ReportInterval) {
			return false
		}
	}
}

// finishOrder records the outcome of an order and wakes up waitForEvent.
func (dr *driver) finishOrder(s *sampler, version int64, err error) {
	dr.mu.Lock()
	source := s.source
	s.swapping, s.source = false, ""
	dr.swapping--
	if src := dr.samplerByAddr(source); src != nil && src != s {
		src.activeTransfers--
	}
	if err == nil {
		dr.orderSucceeded(s, source, version)
	} else {
		dr.orderFailed(s, source, version, err)
	}
	dr.mu.Unlock()
	select {
	case dr.orderEnded <- struct{}{}:
	default:
	}
}

// orderSucceeded marks s as running version and resets its failures. It is called with mu held.
func (dr *driver) orderSucceeded(s *sampler, source string, version int64) {
	dr.countOrder("loaded", s.backend.Addr, source)
	s.versionKnown, s.version = true, version
	s.heldVersions = append(s.heldVersions, version)
	s.failures, s.outsideFailures, s.retryAt, s.lastFailedSource, s.swappedAt = 0, 0, time.Time{}, "", time.Now()
	if s.unfit {
		s.unfit = false
		dr.distributor.opts.SetUnfit(s.backend.ID, false)
	}
}

// orderFailed delays the next order. A failed load from outside the region delays all such loads of the
// region; any other failure delays s alone and, after MaxFailures in a row, makes it unfit. It is called
// with mu held.
func (dr *driver) orderFailed(s *sampler, source string, version int64, err error) {
	e, ok := err.(*Error)
	if ok && (e.Code == CodeObsolete || e.Code == CodeLeaseLapsed) {
		return // the order was not sent
	}
	dr.countOrder("failed", s.backend.Addr, source)
	s.versionKnown, s.lastFailedSource = false, source
	backoff := dr.regionBackoff(s.backend.Zone.Region)
	if source == StoreSource || dr.isInOtherRegion(s, source) {
		// The store may be down for all samplers, so this failure is not counted against s. After the
		// region's backoff another sampler of the region tries.
		backoff.failures++
		backoff.retryAt = time.Now().Add(dr.retryDelay(backoff.failures))
		s.outsideFailures++
		dr.logFailure(s, source, version, backoff.failures, err)
		return
	}
	s.failures++
	s.retryAt = time.Now().Add(dr.retryDelay(s.failures))
	dr.logFailure(s, source, version, s.failures, err)
	if s.failures >= dr.distributor.opts.MaxFailures && !s.unfit {
		s.unfit = true
		dr.distributor.opts.SetUnfit(s.backend.ID, true)
	}
}

func (dr *driver) logFailure(s *sampler, source string, version int64, failures int, err error) {
	dr.distributor.log.Warn("swap failed", "service", dr.service, "sampler", s.backend.ID, "version", version,
		"source", source, "failures", failures, "err", err)
}

// retryDelay returns the delay after a number of failures: RetryPause, doubled with each further failure,
// up to MaxRetryPause.
func (dr *driver) retryDelay(failures int) time.Duration {
	delay := dr.distributor.opts.RetryPause
	for i := 1; i < failures && delay < dr.distributor.opts.MaxRetryPause; i++ {
		delay *= 2
	}
	return min(delay, dr.distributor.opts.MaxRetryPause)
}

func (dr *driver) countOrder(outcome, addr, source string) {
	kind := "peer"
	switch source {
	case StoreSource:
		kind = "store"
	case addr:
		kind = "own"
	}
	dr.distributor.metrics.orders.WithLabelValues(dr.service, kind, outcome).Inc()
}
