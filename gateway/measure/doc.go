// Package measure measures the gateway: the time and allocations that it adds to a call,
// its rates on one core, and an overload with callers who repeat their requests.
package measure

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/gateway"
	"github.com/cicadasill/cicadasill/health"
	"github.com/cicadasill/cicadasill/limit"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/routing"
	"github.com/cicadasill/cicadasill/zone"
)

var here = zone.Zone{Region: "here", DataCentre: "here-1"}

// Services of a measured gateway.
const (
	modelService = "model"
	plainService = "plain"
)

// readyTimeout bounds the first polls of the back ends.
const readyTimeout = 10 * time.Second

// instance is a gateway under measurement.
type instance struct {
	handler http.Handler
	cancel  context.CancelFunc
	wg      conc.WaitGroup
}

// stop ends the instance's goroutines.
func (i *instance) stop() {
	i.cancel()
	i.wg.Wait()
}

// Error says which part of a measurement failed.
type Error struct {
	Step string
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("measurement failed: %s: %v", e.Step, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// setup is what an instance is built from.
type setup struct {
	name        string
	engine      platformEngine
	plain       platformPlain
	backends    []machine.Backend
	queueLimit  int
	concurrency limit.ConcurrencyOptions
}

// platformEngine and platformPlain are the clients that an instance needs.
type platformEngine interface {
	gateway.Engine
	health.EngineLoad
}

type platformPlain interface {
	gateway.Plain
	health.PlainHealth
}

// start builds an instance and waits until its back ends are ready.
func start(s setup) (*instance, error) {
	services := map[string]*contract.Service{
		modelService: {Name: modelService, Kind: machine.Sampler, Calls: []contract.Call{{Name: "generate", Idempotent: true, Priority: contract.Staff}}},
		plainService: {Name: plainService, Kind: machine.Plain, QueueLimit: s.queueLimit,
			Calls: []contract.Call{{Name: "read", Idempotent: true, Priority: contract.Staff}}},
	}
	tracker := health.New(health.Options{Engine: s.engine, Plain: s.plain, Concurrency: s.concurrency})
	tracker.Update(s.backends)
	g := gateway.New(gateway.Options{
		Self: machine.Instance{ID: s.name, Zone: here}, Tracker: tracker, Engine: s.engine, Plain: s.plain,
		Router:  routing.New(routing.Options{Tracker: tracker, Zone: here}),
		Service: func(n string) (*contract.Service, bool) { found, ok := services[n]; return found, ok },
	})
	router := httprouter.New()
	g.Register(router)
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{handler: router, cancel: cancel}
	i.wg.Go(func() { _ = tracker.Run(ctx) })
	i.wg.Go(func() { _ = g.Run(ctx) })
	wait, done := context.WithTimeout(ctx, readyTimeout)
	defer done()
	for _, b := range s.backends {
		for !tracker.Ready(b.ID) {
			if wait.Err() != nil {
				i.stop()
				return nil, &Error{"back ends ready", wait.Err()}
			}
			time.Sleep(time.Millisecond)
		}
	}
	return i, nil
}
