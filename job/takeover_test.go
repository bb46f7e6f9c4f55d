package job

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/ratelimit"
	"github.com/cicadasill/cicadasill/routes"
	"github.com/cicadasill/cicadasill/telemetry"
)

// goneDriver is the dead driver of the jobs in these tests.
var goneDriver = machine.Ref{ID: "gone", Incarnation: 1}

// goneFirst is a Peers in which goneDriver is dead and this instance has a fixed rank.
type goneFirst struct{ rank int }

func (goneFirst) Dead(ref machine.Ref) bool { return ref == goneDriver }
func (p goneFirst) Rank(string) int         { return p.rank }

// submitTo accepts a job with a driver.
func submitTo(t *testing.T, log *countingLog, driver machine.Ref, id string, bytes int) {
	t.Helper()
	g := testRegistry(log)
	g.opts.Drivers = func(string) []machine.Ref { return []machine.Ref{driver} }
	if err := g.Submit(t.Context(), jobOf(id, -1, bytes)); err != nil {
		t.Fatal(err)
	}
}

// rankedRef returns the instance of a rank.
func rankedRef(rank int) machine.Ref {
	return machine.Ref{ID: fmt.Sprint("rank-", rank), Incarnation: 1}
}

// runDrivers runs instances of the ranks below n, each with roomLimit, until the returned function is called.
func runDrivers(t *testing.T, log *countingLog, n int) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for rank := range n {
		g := NewRegistry(RegistryOptions{
			Self: rankedRef(rank), Log: log, Partitions: 2, Logger: telemetry.Discard(), Peers: goneFirst{rank}, MaxItemBytes: roomLimit,
			IndexPause: func() time.Duration { return 20 * time.Millisecond }, IndexRead: func(error) {},
		})
		d := NewDriver(DriverOptions{
			Self: rankedRef(rank), Registry: g, Backends: backends.New(), RateLimits: ratelimit.New(ratelimit.Options{}), Peers: goneFirst{rank},
			Config: func() *routes.Config { return nil }, SlotShare: 1, Logger: telemetry.Discard(),
		})
		running.Go(func() { g.Run(ctx) })
		running.Go(func() { d.Run(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// drivenBy returns the number of jobs that each instance drives.
func drivenBy(t *testing.T, log *countingLog) map[machine.Ref]int {
	g := testRegistry(log)
	if err := g.indexReplica.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	count := map[machine.Ref]int{}
	for _, s := range g.index.jobs {
		count[s.Driver]++
	}
	return count
}

// Guards against a takeover that exceeds the new driver's memory although another instance has room.
func TestInstanceWithRoomTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newCountingLog()
		submitTo(t, log, rankedRef(0), "own", 900)
		submitTo(t, log, goneDriver, "orphan", 600)
		stop := runDrivers(t, log, maxRank+1)
		time.Sleep(10 * time.Second)
		is.Equal(drivenBy(t, log), map[machine.Ref]int{rankedRef(0): 1, rankedRef(1): 1})
		stop()
	})
}

// Guards against an instance that takes over, at the same time, jobs that each fit its memory and together don't.
func TestJobsTakenOverAtOnceShareMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newCountingLog()
		for i := range 3 {
			submitTo(t, log, goneDriver, fmt.Sprint("orphan-", i), 600)
		}
		stop := runDrivers(t, log, 3)
		time.Sleep(10 * time.Second)
		is.Equal(drivenBy(t, log), map[machine.Ref]int{rankedRef(0): 1, rankedRef(1): 1, rankedRef(2): 1})
		stop()
	})
}

// openBytes returns the size of the items of the open jobs of each driver.
func openBytes(t *testing.T, log *countingLog) map[machine.Ref]int64 {
	g := testRegistry(log)
	if err := g.indexReplica.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	bytes := map[machine.Ref]int64{}
	for driver, open := range g.openItems() {
		bytes[driver] = open.bytes
	}
	return bytes
}

// Replays the loss of all instances but one, which has a large job itself. Guards against jobs that stay without a driver because no instance
// has room, and against an instance that takes over more than fits into its memory: it ended again and again.
func TestFullInstanceTakesJobsOverAsOthersEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const orphans = 3
		log := newCountingLog()
		submitTo(t, log, rankedRef(0), "own", 900)
		for i := range orphans {
			submitTo(t, log, goneDriver, fmt.Sprint("orphan-", i), 600)
		}
		stop := runDrivers(t, log, 1)
		defer stop()
		client := testRegistry(log)
		ended := map[string]bool{}
		for range 1 + orphans {
			time.Sleep(5 * time.Second)
			is.True(openBytes(t, log)[rankedRef(0)] <= roomLimit)
			is.NoErr(client.indexReplica.Sync(t.Context()))
			var open []ID
			for id, s := range client.index.jobs {
				if s.Driver == rankedRef(0) && s.Open() {
					open = append(open, id)
				}
			}
			is.Equal(len(open), 1) // the bound allows no more
			for _, id := range open {
				ended[string(id)] = true
				is.NoErr(client.End(t.Context(), id))
			}
		}
		is.Equal(len(ended), 1+orphans)
	})
}

// Guards against a full instance that leaves engines idle at the end of its job although others wait: items that have ended take no memory.
func TestItemsThatHaveEndedMakeRoom(t *testing.T) {
	is := is.New(t)
	log := newCountingLog()
	own := &Spec{ID: "own", Host: "h", Model: "m", Step: -1}
	for i := range 9 {
		own.Items = append(own.Items, Item{ID: fmt.Sprint("i", i), Path: "/p/1", Body: make([]byte, 60)})
	}
	client := testRegistry(log)
	client.opts.Drivers = func(string) []machine.Ref { return []machine.Ref{rankedRef(0)} }
	is.NoErr(client.Submit(t.Context(), own))
	submitTo(t, log, goneDriver, "orphan", 600)
	g := testRegistry(log)
	g.opts.MaxItemBytes = roomLimit
	d := NewDriver(DriverOptions{Self: rankedRef(0), Registry: g, Backends: backends.New(), Peers: goneFirst{}, Logger: telemetry.Discard()})
	is.NoErr(g.indexReplica.Sync(t.Context()))
	s, _ := g.Summary("own")
	is.True(s.ItemBytes > 450 && s.ItemBytes <= roomLimit)
	job, err := d.loadJob(t.Context(), &s)
	is.NoErr(err)
	d.active["own"] = job
	orphan, _ := g.Summary("orphan")
	d.takeOver(t.Context(), &orphan)
	is.Equal(drivenBy(t, log)[rankedRef(0)], 1)
	for i := range 8 {
		job.free(i)
	}
	d.takeOver(t.Context(), &orphan)
	is.Equal(drivenBy(t, log)[rankedRef(0)], 2)
	_, found := d.body("own", "i0")
	is.True(!found)
	body, err := g.Body(t.Context(), "own", "i0") // from the store, until the result is listed
	is.NoErr(err)
	is.Equal(len(body), 60)
	_, found = d.body("own", "i8")
	is.True(found)
}

// Guards against a job that is too large for every instance because each always has some small job open.
func TestLargestJobHasRoomBesideSmallOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newCountingLog()
		submitTo(t, log, rankedRef(0), "step", 50)
		submitTo(t, log, goneDriver, "largest", 2*roomLimit)
		stop := runDrivers(t, log, 1)
		defer stop()
		time.Sleep(5 * time.Second)
		is.Equal(drivenBy(t, log), map[machine.Ref]int{rankedRef(0): 2})
	})
}

// Guards against new large jobs that take all room while jobs that were accepted before wait for a driver.
func TestLargeJobsWaitForOrphans(t *testing.T) {
	is := is.New(t)
	log := newCountingLog()
	submitTo(t, log, goneDriver, "orphan", 600)
	g := roomyRegistry(log, "a", "b")
	g.opts.Peers = goneFirst{}
	var full *FullError
	is.True(errors.As(g.Submit(t.Context(), jobOf("large", -1, 600)), &full))
	is.NoErr(g.Submit(t.Context(), jobOf("small", -1, 50)))
	is.NoErr(g.End(t.Context(), "orphan"))
	is.NoErr(g.Submit(t.Context(), jobOf("large", -1, 600)))
}

// countingPeers is a Peers that counts the calls of Rank.
type countingPeers struct {
	goneFirst
	ranks int
}

func (p *countingPeers) Rank(key string) int {
	p.ranks++
	return p.goneFirst.Rank(key)
}

// Guards against a scan that ranks all instances for each job of a live driver: a scan follows each change of the index.
func TestScanRanksNoInstancesForLiveDrivers(t *testing.T) {
	is := is.New(t)
	log := newCountingLog()
	submitTo(t, log, rankedRef(1), "job", 100)
	g, peers := testRegistry(log), &countingPeers{}
	is.NoErr(g.indexReplica.Sync(t.Context()))
	d := NewDriver(DriverOptions{Self: rankedRef(0), Registry: g, Backends: backends.New(), Peers: peers, Logger: telemetry.Discard()})
	d.scan(t.Context())
	is.Equal(peers.ranks, 0)
}
