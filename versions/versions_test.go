package versions

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/routes"
	"github.com/cicadasill/cicadasill/telemetry"
)

// crossedEngine answers each order as if its version were loaded, and reports the version that it has.
type crossedEngine struct {
	version int64
	reports atomic.Int32
}

// Order implements Engine.
func (e *crossedEngine) Order(context.Context, *backends.Backend, Order) error {
	return ErrAlreadyHeld
}

// Report implements Engine.
func (e *crossedEngine) Report(context.Context, *backends.Backend) (Report, error) {
	e.reports.Add(1)
	return Report{Versions: map[string]int64{"m": e.version}}, nil
}

// heldDuty is a Duty that is always held.
type heldDuty struct{}

// Fence implements Duty.
func (heldDuty) Fence() (int64, error) { return 1, nil }

// Invalidate implements Duty.
func (heldDuty) Invalidate(int64) {}

// unlimited is a RateLimits that permits everything.
type unlimited struct{}

// Acquire implements RateLimits.
func (unlimited) Acquire(context.Context, *backends.Backend, time.Duration) error { return nil }

// Guards against an engine that counts as loaded because the late answer to another call was taken for the answer to its order.
func TestHeldVersionIsConfirmedByAReport(t *testing.T) {
	is := is.New(t)
	directory := backends.New()
	directory.Put(backends.Entry{ID: "e", Service: "llm", Slots: 4, Versions: map[string]int64{"m": 1}})
	engine := &crossedEngine{version: 1}
	s := New(Options{
		Backends: directory, Engine: engine, RateLimits: unlimited{}, Duty: heldDuty{}, Logger: telemetry.Discard(),
		Config: func() *routes.Config {
			return &routes.Config{Services: map[string]routes.Service{"llm": {Name: "llm", Models: []string{"m"}}}}
		},
		Targets:  func() map[string]int64 { return map[string]int64{"m": 2} },
		StepSize: func(string) int { return 4 },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	for deadline := time.Now().Add(10 * time.Second); engine.reports.Load() < 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	is.True(engine.reports.Load() >= 2) // one before the first order, one after its answer
	is.Equal(directory.Candidates("llm", "m")[0].Versions["m"], int64(1))
}
