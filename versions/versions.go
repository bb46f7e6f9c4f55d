// Package versions loads the versions of the weights that trainers name into model engines.
//
// One instance at a time, the holder of a duty, sends the orders; each order carries the fencing
// token of the duty. Each model has a share of a service's engines, so that a new version is loaded
// only where the model is served. An engine that has loaded a version of a model stays in the
// model's share.
package versions

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/routes"
)

// Mode selects what an engine does with its current runs when it loads a version.
type Mode int

// Modes of loading.
const (
	// Continue lets the runs continue with the new version.
	Continue Mode = iota
	// Finish lets the runs end before the load.
	Finish
)

// Order tells an engine to load a version.
type Order struct {
	Model   string
	Version int64
	Mode    Mode
	// Fence is the fencing token of the duty.
	Fence int64
	// Expect is the number of orders that the engine has accepted since its start. The engine
	// rejects an order with another number, so a delayed order has no effect.
	Expect int64
}

// Report is the state that an engine reports about itself.
type Report struct {
	// Accepted is the number of orders accepted since the engine's start.
	Accepted int64
	// Busy states that the engine is carrying out an order.
	Busy bool
	// Versions holds the loaded version of each model.
	Versions map[string]int64
}

// Outcomes of an order that the engine did not accept.
var (
	// ErrAlreadyHeld means that the engine runs the ordered version already.
	ErrAlreadyHeld = errors.New("the engine runs this version already")
	// ErrOutOfDate means that the engine is carrying out another order, or that Expect is wrong.
	ErrOutOfDate = errors.New("another order is being carried out or has been accepted since")
	// ErrFenced means that the engine has seen a higher fencing token.
	ErrFenced = errors.New("the engine has seen a higher fencing token")
	// ErrMoved means that another back end runs at the address now.
	ErrMoved = errors.New("another back end runs at the address")
	// ErrRejected means that the engine does not recognise the order.
	ErrRejected = errors.New("the engine does not recognise the order")
)

// Engine sends calls to model engines. After an error of Order that is none of the above, it is unknown
// whether the engine has accepted the order.
type Engine interface {
	Order(ctx context.Context, b *backends.Backend, o Order) error
	Report(ctx context.Context, b *backends.Backend) (Report, error)
}

// Duty is the exclusive right to send orders.
type Duty interface {
	// Fence returns the fencing token, or an error if this instance does not hold the duty.
	Fence() (int64, error)
	// Invalidate ends this instance's hold of the duty under the fencing token fence, which an
	// engine has rejected because it has seen a higher one.
	Invalidate(fence int64)
}

// RateLimits permits requests to engines that have stated a rate limit.
type RateLimits interface {
	// Acquire returns nil when a request may be sent to b. It waits for maxWait at most.
	Acquire(ctx context.Context, b *backends.Backend, maxWait time.Duration) error
}

// Limits of a LoadScheduler.
const (
	// maxPermitWait is how long a call waits for an engine's rate limit. Items do not queue for a permit, so the call
	// gets the next one.
	maxPermitWait     = 1200 * time.Millisecond
	reconcileInterval = 60 * time.Millisecond
	// callTimeout bounds an order or a report. Engines answer both immediately.
	callTimeout = 700 * time.Millisecond
	// confirmTimeout is how long the LoadScheduler waits for an engine's entry to show the version of an
	// accepted order before it requests a report; a load takes about a second.
	confirmTimeout = 2500 * time.Millisecond
	// retryDelay is the delay before the next call to an engine that failed to answer, rejected an
	// order or is busy.
	retryDelay = 400 * time.Millisecond
	// concurrentLoadsFraction is the fraction of a service's engines that load at the same time.
	// More concurrent loads slow each other down.
	concurrentLoadsFraction = 0.2
	// minConcurrentLoads is the lower bound of the concurrent loads in a small service.
	minConcurrentLoads = 2
	// loadTime is the approximate time for which an engine takes no requests for a model that it loads.
	loadTime = 900 * time.Millisecond
	// newestFraction is the fraction of a model's engines that load each new version. The others load
	// every second version: a trainer's step also accepts the version before its own.
	newestFraction = 0.5
	// equalPartsPerShare is the size of a model's share in units of the engines divided by the models.
	// Together with newestFraction it makes each version load on one such unit.
	equalPartsPerShare = 2
	// maxStepsPerShare limits a model's share to the engines that run the items of this many steps at
	// once. Two steps of a trainer overlap, and some slots run items of other models.
	maxStepsPerShare = 3
)

// Options configure a LoadScheduler.
type Options struct {
	Backends *backends.Directory
	Engine   Engine
	// RateLimits permits the calls to the engines.
	RateLimits RateLimits
	Duty       Duty
	Config     func() *routes.Config
	// Targets returns, for each model, the newest version that a trainer has named.
	Targets func() map[string]int64
	// StepSize returns the number of items in a model's newest step, or 0 if it is unknown.
	StepSize func(model string) int
	Logger   *log.Logger
}

// LoadScheduler sends load orders to the engines while this instance holds the duty.
type LoadScheduler struct {
	opts        Options
	log         *log.Logger
	engines     map[*backends.Backend]*engineState
	completions chan func()
}

// engineState is what the LoadScheduler knows about one engine.
type engineState struct {
	acceptedKnown  bool // whether accepted is current
	accepted       int64
	callInFlight   bool
	loadingModel   string // model of the order being carried out; empty if none
	loadingVersion int64
	orderedAt      time.Time
	retryAt        time.Time
}

// New returns a LoadScheduler that sends no orders until Run is called.
func New(opts Options) *LoadScheduler {
	return &LoadScheduler{
		opts: opts, log: opts.Logger,
		engines: map[*backends.Backend]*engineState{}, completions: make(chan func(), 16),
	}
}

// Run sends orders until ctx ends.
func (s *LoadScheduler) Run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case complete := <-s.completions:
			complete()
		case <-ticker.C:
		}
		fence, err := s.opts.Duty.Fence()
		if err != nil {
			clear(s.engines)
			continue
		}
		s.reconcile(ctx, fence)
	}
}

// reconcile sends the orders that are due in all services.
func (s *LoadScheduler) reconcile(ctx context.Context, fence int64) {
	config, targets := s.opts.Config(), s.opts.Targets()
	if config == nil {
		return
	}
	for name, service := range config.Services {
		if len(service.Models) == 0 {
			continue
		}
		s.reconcileService(ctx, config, name, targets, fence)
	}
}

// reconcileService sends the orders that are due in one service, within its load budget.
func (s *LoadScheduler) reconcileService(ctx context.Context, config *routes.Config, service string, targets map[string]int64, fence int64) {
	list := s.opts.Backends.Candidates(service, "")
	slices.SortFunc(list, func(a, b backends.Candidate) int { return cmp.Compare(a.ID, b.ID) })
	var loadAges []time.Duration
	for i, c := range list {
		e := s.engine(c.Backend)
		s.checkLoad(c, e)
		switch {
		case e.callInFlight:
			loadAges = append(loadAges, 0)
		case e.loadingModel != "":
			loadAges = append(loadAges, time.Since(e.orderedAt))
			list[i].Versions = maps.Clone(c.Versions) // the plan counts the load as completed
			list[i].Versions[e.loadingModel] = e.loadingVersion
		}
	}
	budget := loadBudget(len(list), loadAges)
	mode := Continue
	if config.RequiresSingleVersion(service) {
		mode = Finish
	}
	models := slices.Sorted(slices.Values(config.Services[service].Models))
	for _, l := range dueLoads(list, models, targets, s.opts.StepSize) {
		if budget <= 0 {
			return
		}
		e := s.engine(l.engine.Backend)
		if e.callInFlight || e.loadingModel != "" || time.Now().Before(e.retryAt) {
			continue
		}
		budget--
		s.sendOrder(ctx, l.engine.Backend, e, Order{Model: l.model, Version: l.version, Mode: mode, Fence: fence})
	}
}

// engine returns the state of an engine and creates it if needed.
func (s *LoadScheduler) engine(b *backends.Backend) *engineState {
	e := s.engines[b]
	if e == nil {
		e = &engineState{}
		s.engines[b] = e
	}
	return e
}

// checkLoad clears the current order of an engine once the engine's entry shows the version, or after
// confirmTimeout.
func (s *LoadScheduler) checkLoad(c backends.Candidate, e *engineState) {
	if e.loadingModel == "" {
		return
	}
	if c.Versions[e.loadingModel] >= e.loadingVersion {
		s.log.Info("version loaded", "backend", c.ID, "model", e.loadingModel, "version", e.loadingVersion, "took", time.Since(e.orderedAt))
		e.loadingModel = ""
		return
	}
	if time.Since(e.orderedAt) > confirmTimeout {
		e.loadingModel, e.acceptedKnown = "", false // request a report before the next order
	}
}

// sendOrder sends an order. If the number of accepted orders is not known, it requests a report instead
// and leaves the order to a later reconcile.
func (s *LoadScheduler) sendOrder(ctx context.Context, b *backends.Backend, e *engineState, o Order) {
	e.callInFlight = true
	known := e.acceptedKnown
	o.Expect = e.accepted
	go func() {
		var complete func()
		if err := s.awaitPermit(ctx, b, o.Fence); err != nil {
			complete = func() { s.handleNoPermit(b, e, err) }
		} else {
			complete = s.call(ctx, b, e, o, known)
		}
		select {
		case s.completions <- complete:
		case <-ctx.Done():
		}
	}()
}

// awaitPermit waits until the engine's rate limit allows a call. It fails if that takes too long, or if this instance no
// longer holds the duty with the given fencing token afterwards.
func (s *LoadScheduler) awaitPermit(ctx context.Context, b *backends.Backend, fence int64) error {
	if err := s.opts.RateLimits.Acquire(ctx, b, maxPermitWait); err != nil {
		return err
	}
	current, err := s.opts.Duty.Fence()
	if err == nil && current != fence {
		err = ErrFenced
	}
	return err
}

// handleNoPermit records that a call was not made.
func (s *LoadScheduler) handleNoPermit(b *backends.Backend, e *engineState, err error) {
	e.callInFlight = false
	e.retryAt = time.Now().Add(retryDelay)
	s.log.Info("call to an engine postponed", "backend", b.ID, "err", err)
}

// call sends the order, or the request for a report if the number of accepted orders is not known. It returns the
// function that records the outcome.
func (s *LoadScheduler) call(ctx context.Context, b *backends.Backend, e *engineState, o Order, acceptedKnown bool) func() {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if acceptedKnown {
		err := s.opts.Engine.Order(ctx, b, o)
		return func() { s.handleOrderResult(b, e, o, err) }
	}
	report, err := s.opts.Engine.Report(ctx, b)
	return func() { s.handleReport(b, e, report, err) }
}

// handleReport records the outcome of a report request.
func (s *LoadScheduler) handleReport(b *backends.Backend, e *engineState, r Report, err error) {
	e.callInFlight = false
	if err != nil {
		e.retryAt = time.Now().Add(retryDelay)
		s.log.Warn("engine did not report", "backend", b.ID, "err", err)
		return
	}
	for model, version := range r.Versions {
		b.RecordVersion(model, version)
	}
	e.acceptedKnown, e.accepted = !r.Busy, r.Accepted
	if r.Busy {
		e.retryAt = time.Now().Add(retryDelay)
	}
}

// handleOrderResult records the outcome of an order.
func (s *LoadScheduler) handleOrderResult(b *backends.Backend, e *engineState, o Order, err error) {
	e.callInFlight = false
	s.log.Info("order given", "backend", b.ID, "model", o.Model, "version", o.Version,
		"fence", o.Fence, "expect", o.Expect, "outcome", outcome(err))
	switch {
	case err == nil:
		e.accepted++
		e.loadingModel, e.loadingVersion, e.orderedAt = o.Model, o.Version, time.Now()
		b.RecordLoading(o.Model, loadTime)
	case errors.Is(err, ErrAlreadyHeld):
		e.acceptedKnown = false // the report tells the version; the answer to an order has no id that proves it is this one's
	case errors.Is(err, ErrFenced):
		s.opts.Duty.Invalidate(o.Fence)
	default:
		// The order may have been accepted; a report is needed to know.
		e.acceptedKnown = false
		e.retryAt = time.Now().Add(retryDelay)
	}
}

// outcome returns the logged outcome of an order.
func outcome(err error) string {
	if err == nil {
		return "accepted"
	}
	return fmt.Sprint(err)
}
