package routing_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/health"
	"github.com/cicadasill/cicadasill/limit"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/routing"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/zone"
)

var (
	near = zone.Zone{Region: "almaty", DataCentre: "alm-north"}
	far  = zone.Zone{Region: "shymkent", DataCentre: "shym-east"}
)

// fakeEngines reports version 7 and the queue length that it holds for each address.
type fakeEngines map[string]int

func (e fakeEngines) Load(_ context.Context, addr string) (platform.LoadReport, error) {
	return platform.LoadReport{Version: 7, Queued: e[addr], TokensPerS: 1000}, nil
}

func (e fakeEngines) CacheEvents(context.Context, string, int64) ([]platform.CacheEvent, error) {
	return nil, nil
}

// startRouter returns a router over engine-0 and engine-1 in its own data centre and engine-2 in
// another region, once all of them are ready.
func startRouter(t *testing.T, engines fakeEngines, opts routing.Options, concurrency limit.ConcurrencyOptions) (*routing.BackendRouter, *health.Tracker) {
	t.Helper()
	tracker := health.New(health.Options{Engine: engines, Concurrency: concurrency})
	var list []machine.Backend
	for i, z := range []zone.Zone{near, near, far} {
		id := fmt.Sprintf("engine-%d", i)
		list = append(list, machine.Backend{ID: id, Kind: machine.Sampler, Service: "fry-lm", Addr: id, Zone: z})
	}
	tracker.Update(list)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- tracker.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	for end := time.Now().Add(10 * time.Second); !tracker.Ready("engine-0") || !tracker.Ready("engine-1") || !tracker.Ready("engine-2"); {
		if time.Now().After(end) {
			t.Fatal("the back ends are not ready after 10 s")
		}
		time.Sleep(time.Millisecond)
	}
	opts.Tracker, opts.Zone = tracker, near
	return routing.New(opts), tracker
}

var fryLM = &contract.Service{Name: "fry-lm", Kind: machine.Sampler}

// pickN picks n times, cancels each request and returns the number of picks by back end.
func pickN(t *testing.T, r *routing.BackendRouter, req routing.Request, n int) map[string]int {
	t.Helper()
	req.Service = fryLM
	count := map[string]int{}
	for range n {
		p, err := r.Pick(req)
		if err != nil {
			t.Fatal(err)
		}
		count[p.Backend.ID]++
		p.Done(0, 0, context.Canceled)
	}
	return count
}

// Guards against traffic over the low-bandwidth link between regions while engines of the region
// are free, and against never using the other region's engines when those of the region are
// overloaded.
func TestCrossRegionCost(t *testing.T) {
	is := is.New(t)
	r, _ := startRouter(t, fakeEngines{}, routing.Options{}, limit.ConcurrencyOptions{})
	is.True(pickN(t, r, routing.Request{Bytes: 1e6}, 300)["engine-2"] < 60) // with two draws from all regions, 1 in 9 pairs has no engine of the region
	r, _ = startRouter(t, fakeEngines{"engine-0": 1, "engine-1": 1}, routing.Options{}, limit.ConcurrencyOptions{})
	is.True(pickN(t, r, routing.Request{Bytes: 1e7}, 300)["engine-2"] < 30) // 10 MB cost more than a queued request
	// engine-2 is one of the two candidates in a third of the choices and must be chosen in each.
	const seed = 1
	t.Log("seed", seed)
	rng := rand.New(rand.NewPCG(seed, seed))
	r, _ = startRouter(t, fakeEngines{"engine-0": 50, "engine-1": 50}, routing.Options{IntN: rng.IntN}, limit.ConcurrencyOptions{})
	is.True(pickN(t, r, routing.Request{Bytes: 1e6}, 3000)["engine-2"] > 900)
}

// Guards against not using a cached prefix, and against using a hint that has expired, was removed or
// is of another weight version.
func TestPrefixHints(t *testing.T) {
	is := is.New(t)
	r, tracker := startRouter(t, fakeEngines{}, routing.Options{}, limit.ConcurrencyOptions{})
	req := routing.Request{PrefixID: "p", PromptTokens: 8000}
	r.Hints().Add("fry-lm", "p", "engine-1", 7)
	is.Equal(pickN(t, r, req, 50)["engine-1"], 50)
	r.Hints().Add("fry-lm", "p", "engine-1", 6)
	is.True(pickN(t, r, req, 100)["engine-1"] < 90)
	expired, _ := startRouter(t, fakeEngines{}, routing.Options{HintHalfLife: time.Nanosecond}, limit.ConcurrencyOptions{})
	expired.Hints().Add("fry-lm", "p", "engine-1", 7)
	is.True(pickN(t, expired, req, 100)["engine-1"] < 90)
	b, _ := tracker.Backend("engine-0")
	r.Hints().ApplyEvents(b, []platform.CacheEvent{{Seq: 9, PrefixID: "p", Added: true}}, true)
	is.Equal(pickN(t, r, req, 50)["engine-0"], 50)
	r.Hints().ApplyEvents(b, []platform.CacheEvent{{Seq: 10, PrefixID: "p"}}, false)
	is.True(pickN(t, r, req, 100)["engine-0"] < 90)
}

// Guards against refusals without a reason or with a wrong one, and against a retry that goes to a
// back end already tried.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	r, _ := startRouter(t, fakeEngines{}, routing.Options{}, limit.ConcurrencyOptions{Initial: 1, Min: 1})
	refusalReason := func(req routing.Request) routing.Reason {
		_, err := r.Pick(req)
		var noBackend *routing.NoBackend
		is.True(errors.As(err, &noBackend))
		is.True(noBackend.RetryAfter > 0)
		return noBackend.Reason
	}
	is.Equal(refusalReason(routing.Request{Service: &contract.Service{Name: "other"}}), routing.NoneConfigured)
	is.Equal(refusalReason(routing.Request{Service: fryLM, MinVersion: 8}), routing.NoVersion)
	is.Equal(refusalReason(routing.Request{Service: fryLM, Exclude: []string{"engine-0", "engine-1", "engine-2"}}), routing.AllTried)
	is.Equal(pickN(t, r, routing.Request{Exclude: []string{"engine-0", "engine-2"}}, 20)["engine-1"], 20)
	for range 3 {
		_, err := r.Pick(routing.Request{Service: fryLM})
		is.NoErr(err)
	}
	is.Equal(refusalReason(routing.Request{Service: fryLM}), routing.AtLimit)
}

// Guards against a policy that chooses back ends that are leaving.
func TestNoPolicyPicksALeavingBackend(t *testing.T) {
	for _, policy := range routing.Policies {
		r, tracker := startRouter(t, fakeEngines{}, routing.Options{Policy: policy}, limit.ConcurrencyOptions{})
		tracker.ObserveLeaving("engine-1")
		if n := pickN(t, r, routing.Request{}, 100)["engine-1"]; n != 0 {
			t.Fatalf("%s picked a leaving back end %d times", policy, n)
		}
	}
}
