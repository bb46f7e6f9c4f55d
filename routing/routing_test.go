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

// engines reports version 7 and the queue length set for each address.
type engines map[string]int

func (e engines) Load(_ context.Context, addr string) (platform.LoadReport, error) {
	return platform.LoadReport{Version: 7, Queued: e[addr], TokensPerS: 1000}, nil
}

func (e engines) CacheEvents(context.Context, string, int64) ([]platform.CacheEvent, error) {
	return nil, nil
}

// table routes to engine-0 and engine-1 nearby and engine-2 in the other region.
func table(t *testing.T, e engines, opts routing.Options, c limit.ConcurrencyOptions) (*routing.Table, *health.Tracker) {
	t.Helper()
	tracker := health.New(health.Options{Engine: e, Concurrency: c})
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

func pickN(t *testing.T, r *routing.Table, req routing.Request, n int) map[string]int {
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

// Guards against traffic over the narrow link while nearby engines are free, and against
// never using the far engines when the near ones are overloaded.
func TestLinkIsACost(t *testing.T) {
	is := is.New(t)
	r, _ := table(t, engines{}, routing.Options{}, limit.ConcurrencyOptions{})
	is.True(pickN(t, r, routing.Request{Bytes: 1e6}, 300)["engine-2"] < 60) // both draws far: 1 in 9
	r, _ = table(t, engines{"engine-0": 1, "engine-1": 1}, routing.Options{}, limit.ConcurrencyOptions{})
	is.True(pickN(t, r, routing.Request{Bytes: 1e7}, 300)["engine-2"] < 30) // 10 MB cost more than one queued request
	// The far engine is one of the two candidates in a third of the choices and must win each.
	const seed = 1
	t.Log("seed", seed)
	rng := rand.New(rand.NewPCG(seed, seed))
	r, _ = table(t, engines{"engine-0": 50, "engine-1": 50}, routing.Options{IntN: rng.IntN}, limit.ConcurrencyOptions{})
	is.True(pickN(t, r, routing.Request{Bytes: 1e6}, 3000)["engine-2"] > 900)
}

// Guards against losing a cached prefix, and against following a hint of another version
// or one that was removed.
func TestPrefixHints(t *testing.T) {
	is := is.New(t)
	r, tracker := table(t, engines{}, routing.Options{}, limit.ConcurrencyOptions{})
	req := routing.Request{PrefixID: "p", PromptTokens: 8000}
	r.Hints().Add("fry-lm", "p", "engine-1", 7)
	is.Equal(pickN(t, r, req, 50)["engine-1"], 50)
	r.Hints().Add("fry-lm", "p", "engine-1", 6)
	is.True(pickN(t, r, req, 100)["engine-1"] < 90)
	old, _ := table(t, engines{}, routing.Options{HintHalfLife: time.Nanosecond}, limit.ConcurrencyOptions{})
	old.Hints().Add("fry-lm", "p", "engine-1", 7)
	is.True(pickN(t, old, req, 100)["engine-1"] < 90)
	b, _ := tracker.Backend("engine-0")
	r.Hints().Events(b, []platform.CacheEvent{{Seq: 9, PrefixID: "p", Added: true}}, true)
	is.Equal(pickN(t, r, req, 50)["engine-0"], 50)
	r.Hints().Events(b, []platform.CacheEvent{{Seq: 10, PrefixID: "p"}}, false)
	is.True(pickN(t, r, req, 100)["engine-0"] < 90)
}

// Guards against untyped or untrue refusals: each cause has its reason, and a retry never
// goes to a back end already tried.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	r, _ := table(t, engines{}, routing.Options{}, limit.ConcurrencyOptions{Initial: 1, Min: 1})
	refused := func(req routing.Request) routing.Reason {
		_, err := r.Pick(req)
		var none *routing.NoBackend
		is.True(errors.As(err, &none))
		is.True(none.RetryAfter > 0)
		return none.Reason
	}
	is.Equal(refused(routing.Request{Service: &contract.Service{Name: "other"}}), routing.NoneConfigured)
	is.Equal(refused(routing.Request{Service: fryLM, MinVersion: 8}), routing.NoVersion)
	is.Equal(refused(routing.Request{Service: fryLM, Exclude: []string{"engine-0", "engine-1", "engine-2"}}), routing.AllTried)
	is.Equal(pickN(t, r, routing.Request{Exclude: []string{"engine-0", "engine-2"}}, 20)["engine-1"], 20)
	for range 3 {
		_, err := r.Pick(routing.Request{Service: fryLM})
		is.NoErr(err)
	}
	is.Equal(refused(routing.Request{Service: fryLM}), routing.AtLimit)
}

// Guards against a policy that sends to back ends that are leaving.
func TestNoPolicyPicksALeavingBackend(t *testing.T) {
	for _, policy := range routing.Policies {
		r, tracker := table(t, engines{}, routing.Options{Policy: policy}, limit.ConcurrencyOptions{})
		tracker.ObserveLeaving("engine-1")
		if n := pickN(t, r, routing.Request{}, 100)["engine-1"]; n != 0 {
			t.Fatalf("%s picked a leaving back end %d times", policy, n)
		}
	}
}
