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

// fakeEngines answers polls with the report set for each address; for a nil report a poll fails.
type fakeEngines struct {
	mu      sync.Mutex
	reports map[string]*platform.LoadReport
	// onLoad, if set, runs during each poll.
	onLoad func(addr string)
}

func (e *fakeEngines) set(addr string, r *platform.LoadReport) {
	e.mu.Lock()
	e.reports[addr] = r
	e.mu.Unlock()
}

func (e *fakeEngines) Load(_ context.Context, addr string) (platform.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.onLoad != nil {
		e.onLoad(addr)
	}
	if r := e.reports[addr]; r != nil {
		return *r, nil
	}
	return platform.LoadReport{}, &platform.Error{Code: platform.NotSent, Op: "load"}
}

func (e *fakeEngines) CacheEvents(context.Context, string, int64) ([]platform.CacheEvent, error) {
	return nil, nil
}

func backends(n int) (list []machine.Backend) {
	for i := range n {
		id := fmt.Sprintf("engine-%d", i)
		list = append(list, machine.Backend{ID: id, Kind: machine.Sampler, Service: "fry-lm", Addr: id})
	}
	return list
}

func startTracker(t *testing.T, opts health.Options, n int) (*health.Tracker, *fakeEngines) {
	t.Helper()
	e := &fakeEngines{reports: map[string]*platform.LoadReport{}}
	for _, b := range backends(n) {
		e.set(b.Addr, &platform.LoadReport{TokensPerS: 1000})
	}
	opts.Engine, opts.PollInterval = e, 5*time.Millisecond
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

// Guards against requests to back ends that stopped answering or left the catalog, and against poll
// loops that continue after a back end was withdrawn.
func TestUnreachableAndWithdrawn(t *testing.T) {
	tracker, e := startTracker(t, health.Options{}, 2)
	e.set("engine-0", nil)
	eventually(t, func() bool { return !tracker.Ready("engine-0") })
	e.set("engine-0", &platform.LoadReport{})
	eventually(t, func() bool { return tracker.Ready("engine-0") })
	tracker.Update(backends(1))
	is.New(t).True(!tracker.Ready("engine-1"))
}

// staticList is an instance list that never changes.
type staticList []platform.Listed

func (l staticList) List(context.Context) ([]platform.Listed, error) { return l, nil }

// Guards P7: each of the four sources alone must stop requests to a leaving back end, and what this
// instance observed itself must be reported to the peers.
func TestLeavingSources(t *testing.T) {
	is := is.New(t)
	reported := make(chan string, 10)
	var peers sync.Map
	tracker, e := startTracker(t, health.Options{
		ReportLeaving: func(id string) { reported <- id },
		List:          staticList{{ID: "engine-3", State: platform.Leaving}},
		PeersLeaving: func() (ids []string) {
			peers.Range(func(k, _ any) bool { ids = append(ids, k.(string)); return true })
			return ids
		},
	}, 3)
	tracker.Update(backends(4))
	eventually(t, func() bool { b, _ := tracker.Backend("engine-3"); return tracker.StateOf(b) == health.Leaving })
	tracker.ObserveFailure("engine-0", &platform.Error{Code: platform.LeavingBackend})
	is.True(!tracker.Ready("engine-0"))
	is.Equal(<-reported, "engine-0")
	e.set("engine-1", &platform.LoadReport{Leaving: true})
	eventually(t, func() bool { return !tracker.Ready("engine-1") })
	is.Equal(<-reported, "engine-1")
	peers.Store("engine-2", true)
	eventually(t, func() bool { return !tracker.Ready("engine-2") })
}

// Guards against a poll that reports to the peers, as seen by this instance, what another source said
// while the poll was in flight: reports that instances echo to one another never lapse.
func TestPollReportsOnlyWhatItSaw(t *testing.T) {
	is := is.New(t)
	reported := make(chan string, 10)
	tracker, e := startTracker(t, health.Options{ReportLeaving: func(id string) { reported <- id }}, 1)
	polled := make(chan struct{})
	var once sync.Once
	e.mu.Lock()
	e.onLoad = func(id string) {
		once.Do(func() {
			tracker.ObserveLeaving(id)
			close(polled)
		})
	}
	e.mu.Unlock()
	<-polled
	is.Equal(<-reported, "engine-0") // the response itself
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(reported), 0)
}

// Guards against a failing back end that keeps its share of requests, and against the ejection of
// all back ends of a service when the failures have another cause.
func TestEjectionAndGradualReturn(t *testing.T) {
	is := is.New(t)
	tracker, _ := startTracker(t, health.Options{BaseEjection: 30 * time.Millisecond, RampUp: time.Hour}, 4)
	fail := func(id string) {
		for range 2 * health.DefaultEjectionThreshold {
			tracker.ObserveFailure(id, &platform.Error{Code: platform.OutcomeUnknown})
		}
	}
	for i := range 4 {
		fail(fmt.Sprintf("engine-%d", i))
	}
	b, _ := tracker.Backend("engine-0")
	eventually(t, func() bool { return tracker.Ready("engine-0") })
	is.True(b.Share(time.Now()) < 0.2) // a back end returns with a small share
	c, _ := tracker.Backend("engine-3")
	is.Equal(c.Share(time.Now()), 1.0) // not ejected, since half of the service already was
}

// Guards against all requests going to one back end whose stale report shows a low load: requests
// sent since the report must count.
func TestLoadCorrection(t *testing.T) {
	is := is.New(t)
	tracker, e := startTracker(t, health.Options{}, 1)
	e.set("engine-0", &platform.LoadReport{Running: 3, Queued: 2, TokensPerS: 1000, MeasuredAt: time.Now().Add(time.Hour)})
	eventually(t, func() bool { r, _ := tracker.Report("engine-0"); return r.Queued == 2 })
	b, _ := tracker.Backend("engine-0")
	before := b.ExpectedWait()
	e.set("engine-0", nil) // no newer report from here on
	eventually(t, func() bool { return !tracker.Ready("engine-0") })
	for range 4 {
		b.RecordSent()
	}
	b.RecordFinished(time.Second, 200)
	r, _ := tracker.Report("engine-0")
	is.Equal(r.Running, 6)
	is.True(b.ExpectedWait() > before)
}
