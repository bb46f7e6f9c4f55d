// Package versions moves model engines to the versions of the weights that trainers name.
//
// One instance at a time gives the orders. Each model has a share of a service's engines, so that
// a new version is loaded only where the model is served; an engine that once took a version of a
// model stays in the model's share.
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

// Mode tells what becomes of an engine's runs when it loads a version.
type Mode int

// Modes of loading.
const (
	// Continue lets the runs go on under the new version.
	Continue Mode = iota
	// Finish lets the runs end first.
	Finish
)

// Order tells an engine to load a version.
type Order struct {
	Model   string
	Version int64
	Mode    Mode
	Fence   int64
	// Expect is the number of orders that the engine has accepted so far. The engine drops an
	// order with another number, so an order that arrives late changes nothing.
	Expect int64
}

// Report is an engine's answer about itself.
type Report struct {
	// Accepted is the number of orders accepted since the engine's start.
	Accepted int64
	Busy     bool
	Versions map[string]int64
}

// Answers to an order that were no success.
var (
	// ErrAlreadyHeld answers an order for the version that the engine runs.
	ErrAlreadyHeld = errors.New("the engine runs this version already")
	// ErrOutOfDate answers an order while another one is carried out or whose Expect is wrong.
	ErrOutOfDate = errors.New("another order is being carried out or has been accepted since")
	// ErrFenced answers an order with a lower fencing token than the engine has seen.
	ErrFenced = errors.New("the engine has seen a higher fencing token")
	// ErrMoved answers an order at an address where another back end runs now.
	ErrMoved = errors.New("another back end runs at the address")
	// ErrRejected answers an order that the engine does not know.
	ErrRejected = errors.New("the engine does not know the order")
)

// Engine gives orders to engines. An error that is none of the above leaves the outcome open.
type Engine interface {
	Order(ctx context.Context, b *backends.Backend, o Order) error
	Report(ctx context.Context, b *backends.Backend) (Report, error)
}

// Duty is the right to give orders.
type Duty interface {
	Fence() (int64, error)
	Refused(fence int64)
}

// Limits of the mover.
const (
	tick = 60 * time.Millisecond
	// callTimeout bounds an order or a report. Engines answer both at once.
	callTimeout = 700 * time.Millisecond
	// confirmAfter is how long the mover waits for an engine's entry to show an accepted order
	// before it asks the engine; a load takes about a second.
	confirmAfter = 2500 * time.Millisecond
	// retryAfter spaces the orders to an engine that did not accept one.
	retryAfter = 400 * time.Millisecond
	// loadsPart is the part of a service's engines that load at once: more slow one another.
	loadsPart  = 0.2
	leastLoads = 2
	// loadTime is about how long an engine takes no requests for a model that it loads.
	loadTime = 900 * time.Millisecond
	// freshPart is the part of a model's engines that take each new version. The others take
	// every second one: a trainer's step accepts the version before the one that it is named by.
	freshPart = 0.5
	// partsPerShare keeps the loads of a version at an equal part of the engines for each model.
	partsPerShare = 2
	// stepsPerShare is how many steps' items a model's engines can run at once, if there are as many
	// engines. Two steps of a trainer overlap, and some slots run items of other models.
	stepsPerShare = 3
)

// Options configure a Mover.
type Options struct {
	Backends *backends.Directory
	Engine   Engine
	Duty     Duty
	Config   func() *routes.Config
	// Targets returns the newest version of each model that a trainer has named.
	Targets func() map[string]int64
	// StepSize returns the number of items of a model's newest step; 0 if it is not known.
	StepSize func(model string) int
	Logger   *log.Logger
}

// Mover gives the orders while this instance holds the duty.
type Mover struct {
	opts    Options
	log     *log.Logger
	engines map[*backends.Backend]*engine
	results chan func()
}

// engine is what the mover knows of one engine.
type engine struct {
	known    bool // accepted is valid
	accepted int64
	calling  bool
	model    string // of the order that is carried out; empty if none
	version  int64
	since    time.Time
	waitTill time.Time
}

// New returns a mover.
func New(opts Options) *Mover {
	return &Mover{
		opts: opts, log: opts.Logger,
		engines: map[*backends.Backend]*engine{}, results: make(chan func(), 16),
	}
}

// Run gives orders until ctx ends.
func (m *Mover) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case apply := <-m.results:
			apply()
		case <-ticker.C:
		}
		fence, err := m.opts.Duty.Fence()
		if err != nil {
			clear(m.engines)
			continue
		}
		m.step(ctx, fence)
	}
}

// step gives the orders that are due.
func (m *Mover) step(ctx context.Context, fence int64) {
	config, targets := m.opts.Config(), m.opts.Targets()
	if config == nil {
		return
	}
	for name, service := range config.Services {
		if len(service.Models) == 0 {
			continue
		}
		m.moveService(ctx, config, name, targets, fence)
	}
}

func (m *Mover) moveService(ctx context.Context, config *routes.Config, service string, targets map[string]int64, fence int64) {
	list := m.opts.Backends.Candidates(service, "")
	slices.SortFunc(list, func(a, b backends.Candidate) int { return cmp.Compare(a.ID, b.ID) })
	var running []time.Duration
	for i, c := range list {
		e := m.engine(c.Backend)
		m.settle(c, e)
		switch {
		case e.calling:
			running = append(running, 0)
		case e.model != "":
			running = append(running, time.Since(e.since))
			list[i].Versions = maps.Clone(c.Versions) // the plan counts the load as done
			list[i].Versions[e.model] = e.version
		}
	}
	free := room(len(list), running)
	mode := Continue
	if config.SingleVersionService(service) {
		mode = Finish
	}
	models := slices.Sorted(slices.Values(config.Services[service].Models))
	for _, l := range due(list, models, targets, m.opts.StepSize) {
		if free <= 0 {
			return
		}
		e := m.engine(l.engine.Backend)
		if e.calling || e.model != "" || time.Now().Before(e.waitTill) {
			continue
		}
		free--
		m.send(ctx, l.engine.Backend, e, Order{Model: l.model, Version: l.version, Mode: mode, Fence: fence})
	}
}

func (m *Mover) engine(b *backends.Backend) *engine {
	e := m.engines[b]
	if e == nil {
		e = &engine{}
		m.engines[b] = e
	}
	return e
}

// settle ends an order that the engine's entry shows as carried out.
func (m *Mover) settle(c backends.Candidate, e *engine) {
	if e.model == "" {
		return
	}
	if c.Versions[e.model] >= e.version {
		m.log.Info("version loaded", "backend", c.ID, "model", e.model, "version", e.version, "took", time.Since(e.since))
		e.model = ""
		return
	}
	if time.Since(e.since) > confirmAfter {
		e.model, e.known = "", false // ask the engine
	}
}

// send gives an order, or first asks the engine how many orders it has accepted.
func (m *Mover) send(ctx context.Context, b *backends.Backend, e *engine, o Order) {
	e.calling = true
	known := e.known
	o.Expect = e.accepted
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var apply func()
		if known {
			err := m.opts.Engine.Order(callCtx, b, o)
			apply = func() { m.ordered(b, e, o, err) }
		} else {
			report, err := m.opts.Engine.Report(callCtx, b)
			apply = func() { m.reported(b, e, report, err) }
		}
		select {
		case m.results <- apply:
		case <-ctx.Done():
		}
	}()
}

func (m *Mover) reported(b *backends.Backend, e *engine, r Report, err error) {
	e.calling = false
	if err != nil {
		e.waitTill = time.Now().Add(retryAfter)
		m.log.Warn("engine did not report", "backend", b.ID, "err", err)
		return
	}
	for model, version := range r.Versions {
		b.Loaded(model, version)
	}
	e.known, e.accepted = !r.Busy, r.Accepted
	if r.Busy {
		e.waitTill = time.Now().Add(retryAfter)
	}
}

func (m *Mover) ordered(b *backends.Backend, e *engine, o Order, err error) {
	e.calling = false
	m.log.Info("order given", "backend", b.ID, "model", o.Model, "version", o.Version,
		"fence", o.Fence, "expect", o.Expect, "outcome", outcome(err))
	switch {
	case err == nil:
		e.accepted++
		e.model, e.version, e.since = o.Model, o.Version, time.Now()
		b.Loading(o.Model, loadTime)
	case errors.Is(err, ErrAlreadyHeld):
		b.Loaded(o.Model, o.Version)
	case errors.Is(err, ErrFenced):
		m.opts.Duty.Refused(o.Fence)
	default:
		// The order may have been accepted. The report tells.
		e.known = false
		e.waitTill = time.Now().Add(retryAfter)
	}
}

func outcome(err error) string {
	if err == nil {
		return "accepted"
	}
	return fmt.Sprint(err)
}
