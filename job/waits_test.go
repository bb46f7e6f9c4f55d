package job

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/forward"
	"github.com/cicadasill/cicadasill/reward"
	"github.com/cicadasill/cicadasill/routes"
)

// runWaits ends the waits of the fixture's driver, and places its items, until the returned function is called.
func (f *moveFixture) runWaits(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	tasks.Go(func() { f.driver.placer.run(ctx) })
	tasks.Go(func() { f.driver.runWaits(ctx) })
	return func() {
		cancel()
		tasks.Wait()
	}
}

// change puts a copy of the configuration in force after it was changed.
func (f *moveFixture) change(change func(route *routes.Route, config *routes.Config)) {
	next := routes.Config{Version: f.config.Load().Version + 1, Routes: append([]routes.Route(nil), f.config.Load().Routes...)}
	change(&next.Routes[0], &next)
	next.BuildIndex()
	f.config.Store(&next)
}

// Replays a step whose items wait for engines of a service that their route leaves, after which the engines are retired. Guards against
// items that wait for good for a service which the configuration does not name any more, while engines of the new one are idle.
func TestWaitingItemFollowsItsRoute(t *testing.T) {
	for name, tc := range map[string]struct {
		retire bool // the engines of the old service leave
		begun  bool // a part of the text is generated before
	}{
		"old engines are busy":         {},
		"old engines are gone":         {retire: true},
		"begun text, engines are gone": {retire: true, begun: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newMoveFixture()
				f.engine.eventInterval["new"] = fastInterval
				slow, _ := f.dir.Backend("e0")
				slow.Begin() // takes its slot
				f.dir.Put(backends.Entry{ID: "new", Service: "other", Addr: "127.0.0.1:2000", Zone: "a", Slots: 1, Versions: map[string]int64{"m": 1}})
				if tc.begun {
					f.job.checkpoints = map[string]Checkpoint{"i": {LastEvent: 2, Data: [][]byte{[]byte("1"), []byte("2")}, Versions: []int64{1}, Service: "llm"}}
				}
				stop := f.runWaits(t.Context())
				defer stop()
				start := time.Now()
				time.AfterFunc(time.Second, func() {
					f.change(func(r *routes.Route, _ *routes.Config) { r.Shares = []routes.Share{{Service: "other", Weight: 1}} })
					if tc.retire {
						f.dir.Remove("e0")
						f.dir.Remove("e1")
					}
				})
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				result, done := f.driver.runItem(ctx, f.job, 0)
				is.True(done)
				is.Equal(result.State, Complete)
				is.Equal(f.engine.runs, []string{"new:1"})
				is.True(time.Since(start) < 2*time.Second)
				is.Equal(f.waiting(), 0)
			})
		})
	}
}

// Guards against items whose route is removed, or which may be given up, while they wait for an engine, and which are never listed.
func TestWaitingItemIsGivenUp(t *testing.T) {
	const giveUpAfter = 10 * time.Second
	for name, tc := range map[string]struct {
		change func(*routes.Route, *routes.Config)
		ends   time.Duration
	}{
		"route is removed":           {func(_ *routes.Route, c *routes.Config) { c.Routes = nil }, time.Second},
		"too old":                    {func(*routes.Route, *routes.Config) {}, giveUpAfter},
		"by a new, shorter age":      {func(r *routes.Route, _ *routes.Config) { r.GiveUpAfter = 3 * time.Second }, 3 * time.Second},
		"not by the age that was":    {func(r *routes.Route, _ *routes.Config) { r.GiveUpAfter = 20 * time.Second }, 20 * time.Second},
		"by an age that is new":      {func(r *routes.Route, _ *routes.Config) { r.GiveUpAfter = time.Millisecond }, time.Second},
		"its service has no engines": {func(r *routes.Route, _ *routes.Config) { r.Shares[0].Service = "none" }, giveUpAfter},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newMoveFixture()
				f.change(func(r *routes.Route, _ *routes.Config) {
					r.GiveUpAfter, r.Shares = giveUpAfter, []routes.Share{{Service: "llm", Weight: 1}}
				})
				slow, _ := f.dir.Backend("e0")
				slow.Begin() // takes its slot
				stop := f.runWaits(t.Context())
				defer stop()
				start := time.Now()
				time.AfterFunc(time.Second, func() { f.change(tc.change) })
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				result, done := f.driver.runItem(ctx, f.job, 0)
				is.True(done)
				is.Equal(result.State, Errored)
				late := time.Since(start) - tc.ends
				is.True(late >= 0 && late < time.Second)
				is.Equal(f.waiting(), 0)
			})
		})
	}
}

// requestsTo is a Requests that records the services of the calls and answers them.
type requestsTo struct{ services []string }

func (r *requestsTo) Forward(_ context.Context, route *routes.Route, request *forward.Request) (*forward.Response, error) {
	r.services = append(r.services, route.ServiceFor(request.ID))
	return &forward.Response{Status: 200, Signature: "s"}, nil
}

// Guards against complete texts whose reward calls wait for a turn at a service that their route has left.
func TestWaitingRewardCallFollowsItsRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMoveFixture()
		calls := &requestsTo{}
		f.driver.opts.Requests = calls
		f.change(func(_ *routes.Route, c *routes.Config) {
			c.Routes = append(c.Routes, routes.Route{Host: "h", Prefix: "/reward/", Attempts: 1, Shares: []routes.Share{{Service: "judge", Weight: 1}}})
		})
		f.job.items[0].Reward = &RewardCall{ID: "r", Host: "h", Path: "/reward/1"}
		f.job.pending = newGroupCounter()
		is.NoErr(f.driver.rewards.Acquire(t.Context(), "judge", func() reward.Waiting { return reward.Waiting{} })) // a call that gets no answer
		stop := f.runWaits(t.Context())
		defer stop()
		start := time.Now()
		const moved = 10 * time.Second
		time.AfterFunc(moved, func() {
			f.change(func(_ *routes.Route, c *routes.Config) {
				c.Routes[1].Shares = []routes.Share{{Service: "jury", Weight: 1}}
			})
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		result, done := f.driver.runItem(ctx, f.job, 0)
		is.True(done)
		is.Equal(fmt.Sprint(result.State, result.Score), "completes")
		is.Equal(calls.services, []string{"jury"})
		is.True(time.Since(start) < moved+time.Second)
	})
}
