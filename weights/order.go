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

// start gives an order to s in a goroutine of its own. Called with mu held.
func (dr *driver) start(ctx context.Context, s *sampler, version int64, source string) {
	s.swapping, s.source, s.ordered, s.orderedAt = true, source, version, time.Now()
	dr.swapping++
	dr.orders++
	if src := dr.byAddr(source); src != nil && src != s {
		src.serving++
	}
	id := fmt.Sprintf("%s/%d/%s/%d/%d", dr.service, version, s.backend.ID, dr.lease.Fence(), dr.orders)
	octx, cancel := context.WithTimeout(ctx, dr.d.opts.OrderTimeout)
	s.abandon = cancel
	backend := s.backend
	dr.wg.Go(func() {
		defer cancel()
		err := dr.order(ctx, octx, backend, platform.Order{
			ID: id, Kind: platform.LoadVersion, Version: version, Source: source, Fence: dr.lease.Fence(),
		})
		dr.finish(s, version, err)
	})
}

// order sends one order, whose answer is awaited until octx ends. Without an answer, load reports decide.
func (dr *driver) order(ctx, octx context.Context, b machine.Backend, o platform.Order) error {
	octx, span := otel.Tracer(tracerName).Start(octx, "weights.order")
	defer span.End()
	span.SetAttributes(attribute.String("sampler", b.ID), attribute.Int64("version", o.Version), attribute.String("source", o.Source))
	opts := dr.d.opts
	// Computed before the lease is checked: after a pause between the two, a deadline computed
	// later would let the order start after the successor's wait.
	o.Deadline = time.Now().Add(opts.OrderLife)
	if err := dr.mayOrder(o.Version); err != nil {
		return err
	}
	err := opts.Engine.Order(octx, b.Addr, o)
	if err == nil || platform.HadNoEffect(err) {
		return err
	}
	if dr.verify(ctx, b, o) {
		return nil
	}
	return err
}

// mayOrder checks the lease and the version just before an order is sent.
func (dr *driver) mayOrder(version int64) error {
	dir := dr.d.opts.Directory
	if dir.Withdrawn(dr.service, version) || dir.Newest(dr.service) != version {
		return refuse(CodeObsolete, "version %d is not the newest any more", version)
	}
	if lost(dr.lease) || !dr.lease.Valid(dr.d.opts.LeaseMargin) {
		return refuse(CodeLeaseLapsed, "lease %s", Duty(dr.service))
	}
	return nil
}

// verify asks the sampler whether an order without an answer took effect. It asks until the order
// may not be started any more, plus the lag of a report.
func (dr *driver) verify(ctx context.Context, b machine.Backend, o platform.Order) bool {
	until := o.Deadline.Add(2 * dr.d.opts.ReportPeriod)
	for {
		if rep, err := dr.d.report(ctx, b); err == nil && rep.Version == o.Version {
			return true
		}
		if time.Now().After(until) || !timing.Sleep(ctx, dr.d.opts.ReportPeriod) {
			return false
		}
	}
}

// finish records the outcome of an order.
func (dr *driver) finish(s *sampler, version int64, err error) {
	dr.mu.Lock()
	source := s.source
	s.swapping, s.source = false, ""
	dr.swapping--
	if src := dr.byAddr(source); src != nil && src != s {
		src.serving--
	}
	if err == nil {
		dr.succeeded(s, source, version)
	} else {
		dr.failed(s, source, version, err)
	}
	dr.mu.Unlock()
	select {
	case dr.ended <- struct{}{}:
	default:
	}
}

func (dr *driver) succeeded(s *sampler, source string, version int64) {
	dr.count("loaded", s.backend.Addr, source)
	s.reported, s.version = true, version
	s.held = append(s.held, version)
	s.failures, s.storeFailures, s.nextTry, s.failedSource, s.swappedAt = 0, 0, time.Time{}, "", time.Now()
	if s.unfit {
		s.unfit = false
		dr.d.opts.Unfit(s.backend.ID, false)
	}
}

// failed delays the next order to s. After MaxFailures the sampler is taken out of routing.
func (dr *driver) failed(s *sampler, source string, version int64, err error) {
	e, own := err.(*Error)
	if own && (e.Code == CodeObsolete || e.Code == CodeLeaseLapsed) {
		return // not sent
	}
	dr.count("failed", s.backend.Addr, source)
	s.reported, s.failedSource = false, source
	region := dr.region(s.backend.Zone.Region)
	if source == StoreSource || dr.isForeign(s, source) {
		// The store may be down for all, which says nothing about this sampler. The region waits, and
		// its next sampler tries.
		region.failures++
		region.nextTry = time.Now().Add(dr.pause(region.failures))
		s.storeFailures++
		dr.logFailure(s, source, version, region.failures, err)
		return
	}
	s.failures++
	s.nextTry = time.Now().Add(dr.pause(s.failures))
	dr.logFailure(s, source, version, s.failures, err)
	if s.failures >= dr.d.opts.MaxFailures && !s.unfit {
		s.unfit = true
		dr.d.opts.Unfit(s.backend.ID, true)
	}
}

func (dr *driver) logFailure(s *sampler, source string, version int64, failures int, err error) {
	dr.d.log.Warn("swap failed", "service", dr.service, "sampler", s.backend.ID, "version", version,
		"source", source, "failures", failures, "err", err)
}

func (dr *driver) pause(failures int) time.Duration {
	pause := dr.d.opts.RetryPause
	for i := 1; i < failures && pause < dr.d.opts.MaxRetryPause; i++ {
		pause *= 2
	}
	return min(pause, dr.d.opts.MaxRetryPause)
}

func (dr *driver) count(outcome, addr, source string) {
	kind := "peer"
	switch source {
	case StoreSource:
		kind = "store"
	case addr:
		kind = "own"
	}
	dr.d.metrics.orders.WithLabelValues(dr.service, kind, outcome).Inc()
}
