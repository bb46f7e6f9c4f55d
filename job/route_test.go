package job

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/routes"
)

// Guards against items that are given up because their driver has an older configuration than the instance that accepted the
// job, and against items that stay when the route is gone.
func TestItemWaitsForTheConfigurationOfItsJob(t *testing.T) {
	for name, tc := range map[string]struct {
		arrives int64 // version that arrives after a while
		hasIt   bool
		state   State
	}{
		"route is new":        {7, true, Complete},
		"newer than the job":  {9, true, Complete},
		"route is gone again": {9, false, Errored},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newMoveFixture()
				f.fast.End()
				with := *f.config.Load()
				f.config.Store(&routes.Config{Version: 5})
				f.job.ConfigVersion = 7
				start := time.Now()
				time.AfterFunc(3*time.Second, func() {
					with.Version = tc.arrives
					if !tc.hasIt {
						with.Routes = nil
					}
					with.BuildIndex()
					f.config.Store(&with)
				})
				result, done := f.driver.runItem(t.Context(), f.job, 0)
				is.True(done)
				is.Equal(result.State, tc.state)
				is.True(time.Since(start) >= 3*time.Second)
			})
		})
	}
}

// Guards against thousands of items that each look for their route twenty times a second while this instance has no configuration with it.
func TestItemsLookForTheirRouteLessAndLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const wait = 20 * time.Second
		f := newMoveFixture()
		f.job.ConfigVersion = 7
		var lookups atomic.Int64
		f.driver.opts.Config = func() *routes.Config {
			lookups.Add(1)
			return &routes.Config{Version: 5}
		}
		ctx, cancel := context.WithTimeout(t.Context(), wait)
		defer cancel()
		_, found := f.driver.waitForRoute(ctx, f.job, &f.job.items[0])
		is.True(!found)
		t.Logf("%d lookups", lookups.Load())
		is.True(lookups.Load() <= 2*int64(wait/maxConfigPollInterval))
	})
}
