// Package measure measures the gateway for its benchmarks and for the commands cicadasill
// measure speed and measure wakeup: the time and allocations that the gateway adds to a call,
// its rates on one core, and a load spike with callers that repeat refused requests.
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

var localZone = zone.Zone{Region: "here", DataCentre: "here-1"}

// Services that a measured gateway offers.
const (
	samplerService = "model"
	plainService   = "plain"
)

// readyTimeout limits how long an instance waits until its back ends are ready.
const readyTimeout = 10 * time.Second

// instance is a gateway under measurement with its health tracker.
type instance struct {
	handler http.Handler
	cancel  context.CancelFunc
	wg      conc.WaitGroup
}

// stop ends the instance's goroutines and waits for them.
func (i *instance) stop() {
	i.cancel()
	i.wg.Wait()
}

// Error is a failure of a measurement, with the step that failed.
type Error struct {
	Step string
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("measurement failed: %s: %v", e.Step, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// instanceConfig holds the parameters of an instance.
type instanceConfig struct {
	name        string
	engine      engineClient
	plain       plainClient
	backends    []machine.Backend
	queueLimit  int
	concurrency limit.ConcurrencyOptions
}

// engineClient is the client that the gateway and the health tracker use for engines.
type engineClient interface {
	gateway.Engine
	health.EngineLoad
}

// plainClient is the client that the gateway and the health tracker use for plain back ends.
type plainClient interface {
	gateway.Plain
	health.PlainHealth
}

// startInstance starts an instance and waits until its back ends are ready.
func startInstance(s instanceConfig) (*instance, error) {
	services := map[string]*contract.Service{
		samplerService: {Name: samplerService, Kind: machine.Sampler, Calls: []contract.Call{{Name: "generate", Idempotent: true, Priority: contract.Staff}}},
		plainService: {Name: plainService, Kind: machine.Plain, QueueLimit: s.queueLimit,
			Calls: []contract.Call{{Name: "read", Idempotent: true, Priority: contract.Staff}}},
	}
	tracker := health.New(health.Options{Engine: s.engine, Plain: s.plain, Concurrency: s.concurrency})
	tracker.Update(s.backends)
	g := gateway.New(gateway.Options{
		Self: machine.Instance{ID: s.name, Zone: localZone}, Tracker: tracker, Engine: s.engine, Plain: s.plain,
		Router:  routing.New(routing.Options{Tracker: tracker, Zone: localZone}),
		Service: func(n string) (*contract.Service, bool) { found, ok := services[n]; return found, ok },
	})
	router := httprouter.New()
	g.Register(router)
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{handler: router, cancel: cancel}
	i.wg.Go(func() { _ = tracker.Run(ctx) })
	i.wg.Go(func() { _ = g.Run(ctx) })
	readyCtx, cancelReady := context.WithTimeout(ctx, readyTimeout)
	defer cancelReady()
	for _, b := range s.backends {
		for !tracker.Ready(b.ID) {
			if readyCtx.Err() != nil {
				i.stop()
				return nil, &Error{"back ends ready", readyCtx.Err()}
			}
			time.Sleep(time.Millisecond)
		}
	}
	return i, nil
}
