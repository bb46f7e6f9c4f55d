package job

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/routes"
	"github.com/cicadasill/cicadasill/telemetry"
)

// wrongClocks are the errors of the clock of the instance that has accepted a job, against this instance's.
var wrongClocks = []time.Duration{-time.Hour, -150 * time.Second, -5 * time.Second, 0, 5 * time.Second, 150 * time.Second, time.Hour}

// acceptedElsewhere returns the index record of a job that an instance with a wrong clock accepts now.
func acceptedElsewhere(t *testing.T, s Summary, clockError time.Duration) changelog.Record {
	t.Helper()
	s.SubmittedMs = time.Now().Add(clockError).UnixMilli()
	record, err := s.record()
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// readElsewhere returns the summary as this instance reads it.
func readElsewhere(t *testing.T, s Summary, clockError time.Duration) Summary {
	t.Helper()
	x := newIndex(telemetry.Discard())
	x.Apply(acceptedElsewhere(t, s, clockError))
	return *x.jobs[s.ID]
}

// Guards against a job whose results are deleted before their time because the clock of the instance that accepted it, or the
// one of the instance that deletes it, was wrong.
func TestWrongClockDeletesNoJob(t *testing.T) {
	for _, clockError := range wrongClocks {
		for _, afterRestart := range []bool{false, true} {
			t.Run(fmt.Sprint(clockError, afterRestart), func(t *testing.T) {
				is := is.New(t)
				log := newCountingLog()
				g := testRegistry(log)
				g.opts.Retention = 2 * time.Minute
				g.opts.Peers = fixedPeers{dead: true}
				if !afterRestart {
					is.NoErr(g.indexReplica.Sync(t.Context()))
				}
				record := acceptedElsewhere(t, Summary{ID: "job-1", Ended: true, Listed: true}, clockError)
				_, err := log.Append(t.Context(), changelog.Partition{Topic: indexTopic}, []changelog.Record{record}, changelog.Unconditional)
				is.NoErr(err)
				is.NoErr(g.indexReplica.Sync(t.Context()))
				known := func() bool { _, ok := g.Summary("job-1"); return ok }
				g.deleteExpired(t.Context(), time.Now().Add(g.opts.Retention))
				is.True(known())
				g.deleteExpired(t.Context(), time.Now().Add(g.opts.Retention+deletionDelay+maxReadLag))
				is.True(!known())
			})
		}
	}
}

// Guards against an item that is given up, or does not start, because the clock of the instance that accepted its job was wrong.
func TestWrongClockHoldsUpNoItem(t *testing.T) {
	for _, clockError := range wrongClocks {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newMoveFixture()
			f.job.Summary = readElsewhere(t, Summary{ID: "j", Host: "h", MinVersion: 1}, clockError)
			f.job.longest = 4 * time.Second // the item waits for an idle connection for 2.4 s at most
			f.job.items[0].LengthEstimate = 1
			config := *f.config.Load()
			config.Routes = []routes.Route{config.Routes[0]}
			config.Routes[0].GiveUpAfter = 40 * time.Second
			config.BuildIndex()
			f.config.Store(&config)
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			go f.driver.placer.run(ctx)
			result, done := f.driver.runItem(ctx, f.job, 0)
			is.True(done)
			is.Equal(result.State, Complete)
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against a step that waits behind all later ones, or passes all earlier ones, because the clock of the instance that
// accepted it was wrong.
func TestWrongClockKeepsTheOrderOfJobs(t *testing.T) {
	for _, clockError := range wrongClocks {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			const between = 30 * time.Second
			var orders []int64
			for _, wrong := range []time.Duration{0, clockError, 0} {
				f := newMoveFixture()
				f.job.Summary = readElsewhere(t, Summary{ID: "j", Host: "h", MinVersion: 1}, wrong)
				f.fast.End()
				f.driver.placer.slotShare = 0.01
				ctx, cancel := context.WithCancel(t.Context())
				for _, c := range f.dir.Candidates("llm", "") {
					c.Begin() // no slot is free, so that the item stays in the queue
				}
				go f.driver.runItem(ctx, f.job, 0)
				synctest.Wait()
				orders = append(orders, f.driver.placer.waiting[0].order)
				cancel()
				synctest.Wait()
				time.Sleep(between)
			}
			is.True(orders[0] < orders[1] && orders[1] < orders[2])
		})
	}
}
