package job

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/ratelimit"
	"github.com/cicadasill/cicadasill/routes"
	"github.com/cicadasill/cicadasill/telemetry"
)

// fixedIntervalEngine is an Engine that generates outputs of a fixed number of events, with a fixed interval
// between events at each engine.
type fixedIntervalEngine struct {
	events        int64
	eventInterval map[string]time.Duration
	runs          []string // engine and first event of each run
	onRun         func()
}

func (e *fixedIntervalEngine) Generate(ctx context.Context, b *backends.Backend, call Call, to Receiver) error {
	e.runs = append(e.runs, fmt.Sprintf("%s:%d", b.ID, call.After+1))
	if e.onRun != nil {
		e.onRun()
	}
	if err := to.Started(1); err != nil {
		return &BrokenError{Err: err}
	}
	for id := call.After + 1; id <= e.events; id++ {
		select {
		case <-time.After(e.eventInterval[b.ID]):
		case <-ctx.Done():
			return &BrokenError{Err: ctx.Err()}
		}
		if err := to.Event(Event{ID: id, Data: strconv.AppendInt(nil, id, 10), Version: 1}); err != nil {
			return err
		}
	}
	return nil
}

// moveFixture is a driver with one job of one item, and a slow and a fast engine of one slot each.
type moveFixture struct {
	dir    *backends.Directory
	engine *fixedIntervalEngine
	driver *Driver
	config atomic.Pointer[routes.Config]
	job    *activeJob
	fast   *backends.Backend
}

const slowInterval, fastInterval = 40 * time.Millisecond, 10 * time.Millisecond

func newMoveFixture() *moveFixture {
	f := &moveFixture{
		dir:    directoryOf(2, 1, 1),
		engine: &fixedIntervalEngine{events: 40, eventInterval: map[string]time.Duration{"e0": slowInterval, "e1": fastInterval}},
		job:    &activeJob{Summary: Summary{ID: "j", Host: "h", MinVersion: 1, read: newFirstRead(time.Now(), time.Now(), true)}},
	}
	f.job.items = []Item{{ID: "i", Path: "/p/1", Model: "m", LengthEstimate: 3000}}
	f.route("llm")
	f.driver = NewDriver(DriverOptions{
		RateLimits: ratelimit.New(ratelimit.Options{}),
		Registry:   NewRegistry(RegistryOptions{Log: newCountingLog(), Partitions: 1, Logger: telemetry.Discard()}),
		Backends:   f.dir, Engine: f.engine, DataCentre: "a", SlotShare: 1, Logger: telemetry.Discard(),
		Config: f.config.Load,
	})
	f.driver.indexState = func() (time.Duration, error) { return 0, nil }
	for id, interval := range f.engine.eventInterval {
		b, _ := f.dir.Backend(id)
		b.RecordEventInterval(interval)
	}
	f.fast, _ = f.dir.Backend("e1")
	f.fast.Begin() // takes its slot
	return f
}

func (f *moveFixture) route(service string) {
	config := &routes.Config{Version: 1, Routes: []routes.Route{{
		Host: "h", Prefix: "/p/", Kind: routes.BatchJob, Resumable: true, Attempts: 3,
		Shares: []routes.Share{{Service: service, Weight: 1}},
	}}}
	config.BuildIndex()
	f.config.Store(config)
}

func (f *moveFixture) inFlight() int {
	n := 0
	for _, c := range f.dir.Candidates("llm", "") {
		n += c.InFlight
	}
	return n
}

func (f *moveFixture) waiting() int {
	f.driver.placer.mu.Lock()
	defer f.driver.placer.mu.Unlock()
	return len(f.driver.placer.waiting)
}

// Replays the start of a step on equally fast engines: all slots of one are taken, another is almost empty.
// Guards against a move there, which costs a connection at both engines and saves no step time, and against
// staying at an engine that has become several times slower.
func TestLoadIsNoReasonToMove(t *testing.T) {
	is := is.New(t)
	const full, empty, median = 49 * time.Millisecond, 35 * time.Millisecond, 42 * time.Millisecond
	is.True(!isMoveWorthwhile(3*time.Second, full, empty, median))
	is.True(isMoveWorthwhile(3*time.Second, 3*empty, empty, median))
}

// Guards against moves that lose or repeat events, and against moves that leak a slot.
func TestMovedTextIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMoveFixture()
		time.AfterFunc(300*time.Millisecond, func() {
			f.fast.End()
			f.driver.placer.dispatch()
		})
		start := time.Now()
		result, done := f.driver.runItem(t.Context(), f.job, 0)
		is.True(done)
		is.Equal(result.State, Complete)
		var want []string
		for id := range f.engine.events {
			want = append(want, strconv.FormatInt(id+1, 10))
		}
		is.Equal(string(result.Output), strings.Join(want, "\n"))
		is.Equal(f.engine.runs, []string{"e0:1", "e1:9"}) // moves with the first event after the slot became free
		is.Equal(time.Since(start), 8*slowInterval+32*fastInterval)
		is.Equal(f.inFlight(), 0)
	})
}

// Guards against an item that resumes at its old service although its route has changed to another one
// while the item waited for a faster engine, and against a text that is joined from two services.
func TestTextDoesNotMoveWithinAServiceThatItsRouteHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMoveFixture()
		f.dir.Put(backends.Entry{ID: "other", Service: "new", Addr: "127.0.0.1:9", Zone: "a", Slots: 1, Versions: map[string]int64{"m": 1}})
		f.engine.eventInterval["other"] = fastInterval
		time.AfterFunc(300*time.Millisecond, func() {
			f.route("new")
			f.fast.End()
			f.driver.placer.dispatch()
		})
		result, done := f.driver.runItem(t.Context(), f.job, 0)
		is.True(done)
		is.Equal(result.State, Complete)
		is.Equal(f.engine.runs, []string{"e0:1", "other:1"})
		is.Equal(f.inFlight(), 0)
	})
}

// Guards against an item that still takes the next free slot after it has completed at its slow engine.
func TestCompletedItemWithdrawsItsMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMoveFixture()
		result, done := f.driver.runItem(t.Context(), f.job, 0)
		is.True(done)
		is.Equal(result.State, Complete)
		is.Equal(f.engine.runs, []string{"e0:1"})
		f.fast.End()
		f.driver.placer.dispatch()
		is.Equal(f.inFlight(), 0)
		is.Equal(f.waiting(), 0)
	})
}

// Guards against a long item that never gets a checkpoint because each move restarts the checkpoint interval.
func TestMoveDoesNotDelayCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMoveFixture()
		f.engine.events = 60
		time.AfterFunc(checkpointInterval-100*time.Millisecond, func() {
			f.fast.End()
			f.driver.placer.dispatch()
		})
		_, done := f.driver.runItem(t.Context(), f.job, 0)
		is.True(done)
		is.Equal(len(f.engine.runs), 2) // each attempt is shorter than checkpointInterval: 0.9 s and 0.4 s
		is.Equal(len(f.driver.opts.Registry.partitions[0].pendingCheckpoints), 1)
	})
}

// Guards against a leaked slot when a job is cancelled just after its item has got another engine.
func TestCancelReleasesNextEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMoveFixture()
		ctx, cancel := context.WithCancel(t.Context())
		f.engine.onRun = func() {
			if len(f.engine.runs) == 2 {
				cancel() // as the item starts at the fast engine
			}
		}
		time.AfterFunc(300*time.Millisecond, func() {
			f.fast.End()
			f.driver.placer.dispatch()
		})
		_, done := f.driver.runItem(ctx, f.job, 0)
		is.True(!done)
		is.Equal(len(f.engine.runs), 2)
		is.Equal(f.inFlight(), 0)
		is.Equal(f.waiting(), 0)
	})
}
