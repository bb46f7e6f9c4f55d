package health_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/cicadasill/cicadasill/health"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// engines answers polls; a nil report makes them fail.
type engines struct {
	mu      sync.Mutex
	reports map[string]*platform.LoadReport
}

func (e *engines) set(addr string, r *platform.LoadReport) {
	e.mu.Lock()
	e.reports[addr] = r
	e.mu.Unlock()
}

func (e *engines) Load(_ context.Context, addr string) (platform.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.reports[addr]; r != nil {
		return *r, nil
	}
	return platform.LoadReport{}, &platform.Error{Code: platform.NotSent, Op: "load"}
}

func (e *engines) CacheEvents(context.Context, string, int64) ([]platform.CacheEvent, error) {
	return nil, nil
}

func backends(n int) (list []machine.Backend) {
	for i := range n {
		id := fmt.Sprintf("engine-%d", i)
		list = append(list, machine.Backend{ID: id, Kind: machine.Sampler, Service: "fry-lm", Addr: id})
	}
	return list
}

func start(t *testing.T, opts health.Options, n int) (*health.Tracker, *engines) {
	t.Helper()
	e := &engines{reports: map[string]*platform.LoadReport{}}
	for _, b := range backends(n) {
		e.set(b.Addr, &platform.LoadReport{TokensPerS: 1000})
	}
	opts.Engine, opts.PollPeriod = e, 5*time.Millisecond
	tracker := health.New(opts)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- tracker.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		goleak.VerifyNone(t)
	})
	tracker.Update(backends(n))
	for i := range n {
		eventually(t, func() bool { return tracker.Ready(fmt.Sprintf("engine-%d", i)) })
	}
	return tracker, e
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition did not hold within 10 s")
		}
	}
}

// Guards against requests to back ends that stopped answering or left the catalog, and
// against leaked polls of withdrawn back ends.
func TestUnreachableAndWithdrawn(t *testing.T) {
	tracker, e := start(t, health.Options{}, 2)
	e.set("engine-0", nil)
	eventually(t, func() bool { return !tracker.Ready("engine-0") })
	e.set("engine-0", &platform.LoadReport{})
	eventually(t, func() bool { return tracker.Ready("engine-0") })
	tracker.Update(backends(1))
	is.New(t).True(!tracker.Ready("engine-1"))
}

// listed is a constant instance list.
type listed []platform.Listed

func (l listed) List(context.Context) ([]platform.Listed, error) { return l, nil }

// Guards P7: each of the four sources alone must take a leaving back end out, and an own
// observation must reach the peers.
func TestLeavingSources(t *testing.T) {
	is := is.New(t)
	told := make(chan string, 10)
	var peers sync.Map
	tracker, e := start(t, health.Options{
		ReportLeaving: func(id string) { told <- id },
		List:          listed{{ID: "engine-3", State: platform.Leaving}},
		PeersLeaving: func() (ids []string) {
			peers.Range(func(k, _ any) bool { ids = append(ids, k.(string)); return true })
			return ids
		},
	}, 3)
	tracker.Update(backends(4))
	eventually(t, func() bool { b, _ := tracker.Backend("engine-3"); return tracker.StateOf(b) == health.Leaving })
	tracker.ObserveFailure("engine-0", &platform.Error{Code: platform.LeavingBackend})
	is.True(!tracker.Ready("engine-0"))
	is.Equal(<-told, "engine-0")
	e.set("engine-1", &platform.LoadReport{Leaving: true})
	eventually(t, func() bool { return !tracker.Ready("engine-1") })
	is.Equal(<-told, "engine-1")
	peers.Store("engine-2", true)
	eventually(t, func() bool { return !tracker.Ready("engine-2") })
}

// Guards against a failing back end that keeps its share, and against ejecting a whole
// service when the failures have another cause.
func TestEjectionAndGradualReturn(t *testing.T) {
	is := is.New(t)
	tracker, _ := start(t, health.Options{Ejection: 30 * time.Millisecond, Return: time.Hour}, 4)
	fail := func(id string) {
		for range 2 * health.DefaultFailures {
			tracker.ObserveFailure(id, &platform.Error{Code: platform.OutcomeUnknown})
		}
	}
	for i := range 4 {
		fail(fmt.Sprintf("engine-%d", i))
	}
	b, _ := tracker.Backend("engine-0")
	eventually(t, func() bool { return tracker.Ready("engine-0") })
	is.True(b.Share(time.Now()) < 0.2) // returned with a small share
	c, _ := tracker.Backend("engine-3")
	is.Equal(c.Share(time.Now()), 1.0) // never ejected: half of the service already was
}

// Guards against herding on a stale report: requests sent since the report count.
func TestLoadCorrection(t *testing.T) {
	is := is.New(t)
	tracker, e := start(t, health.Options{}, 1)
	e.set("engine-0", &platform.LoadReport{Running: 3, Queued: 2, TokensPerS: 1000, MeasuredAt: time.Now().Add(time.Hour)})
	eventually(t, func() bool { r, _ := tracker.Report("engine-0"); return r.Queued == 2 })
	b, _ := tracker.Backend("engine-0")
	before := b.Wait()
	e.set("engine-0", nil) // the report stays as it is from here on
	eventually(t, func() bool { return !tracker.Ready("engine-0") })
	for range 4 {
		b.Sent()
	}
	b.Finished(time.Second, 200)
	r, _ := tracker.Report("engine-0")
	is.Equal(r.Running, 6)
	is.True(b.Wait() > before)
}
