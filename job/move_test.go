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
	"github.com/cicadasill/cicadasill/routes"
	"github.com/cicadasill/cicadasill/telemetry"
)

// pacedEngine generates texts of a number of events, each engine at its own pace.
type pacedEngine struct {
	events int64
	pace   map[string]time.Duration
	runs   []string // engine and first event of each run
	onRun  func()
}

func (e *pacedEngine) Generate(ctx context.Context, b *backends.Backend, call Call, to Receiver) error {
	e.runs = append(e.runs, fmt.Sprintf("%s:%d", b.ID, call.After+1))
	if e.onRun != nil {
		e.onRun()
	}
	if err := to.Started(1); err != nil {
		return &BrokenError{Err: err}
	}
	for id := call.After + 1; id <= e.events; id++ {
		select {
		case <-time.After(e.pace[b.ID]):
		case <-ctx.Done():
			return &BrokenError{Err: ctx.Err()}
		}
		if err := to.Event(Event{ID: id, Data: strconv.AppendInt(nil, id, 10), Version: 1}); err != nil {
			return err
		}
	}
	return nil
}

// movingWorld is a driver before a slow and a quick engine of one slot each.
type movingWorld struct {
	dir    *backends.Directory
	engine *pacedEngine
	driver *Driver
	config atomic.Pointer[routes.Config]
	job    *driven
	quick  *backends.Backend
}

const slowPace, quickPace = 40 * time.Millisecond, 10 * time.Millisecond

func newMovingWorld() *movingWorld {
	w := &movingWorld{
		dir:    directoryOf(2, 1, 1),
		engine: &pacedEngine{events: 40, pace: map[string]time.Duration{"e0": slowPace, "e1": quickPace}},
		job:    &driven{Summary: Summary{ID: "j", Host: "h", MinVersion: 1, SubmittedMs: time.Now().UnixMilli()}},
	}
	w.job.items = []Item{{ID: "i", Path: "/p/1", Model: "m", LengthEstimate: 3000}}
	w.route("llm")
	w.driver = NewDriver(DriverOptions{
		Registry: NewRegistry(RegistryOptions{Log: newCountingLog(), Partitions: 1, Logger: telemetry.Discard()}),
		Backends: w.dir, Engine: w.engine, DataCentre: "a", SlotShare: 1, Logger: telemetry.Discard(),
		Config: w.config.Load,
	})
	for id, pace := range w.engine.pace {
		b, _ := w.dir.Backend(id)
		b.Paced(pace)
	}
	w.quick, _ = w.dir.Backend("e1")
	w.quick.Begin() // taken
	return w
}

func (w *movingWorld) route(service string) {
	config := &routes.Config{Version: 1, Routes: []routes.Route{{
		Host: "h", Prefix: "/p/", Kind: routes.BatchJob, Resumable: true, Attempts: 3,
		Shares: []routes.Share{{Service: service, Weight: 1}},
	}}}
	config.Build()
	w.config.Store(config)
}

func (w *movingWorld) inFlight() int {
	n := 0
	for _, c := range w.dir.Candidates("llm", "") {
		n += c.InFlight
	}
	return n
}

func (w *movingWorld) waiting() int {
	w.driver.placer.mu.Lock()
	defer w.driver.placer.mu.Unlock()
	return len(w.driver.placer.waiting)
}

// Guards against events that a move loses or doubles, and against slots that it does not give back.
func TestMovedTextIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newMovingWorld()
		time.AfterFunc(300*time.Millisecond, func() {
			w.quick.End()
			w.driver.placer.pump()
		})
		start := time.Now()
		result, done := w.driver.runItem(t.Context(), w.job, 0)
		is.True(done)
		is.Equal(result.State, Complete)
		var want []string
		for id := range w.engine.events {
			want = append(want, strconv.FormatInt(id+1, 10))
		}
		is.Equal(string(result.Output), strings.Join(want, "\n"))
		is.Equal(w.engine.runs, []string{"e0:1", "e1:9"}) // after the event that came when the slot was free
		is.Equal(time.Since(start), 8*slowPace+32*quickPace)
		is.Equal(w.inFlight(), 0)
	})
}

// Guards against a text that goes on at the service from which its route has moved meanwhile.
func TestTextDoesNotMoveWithinAServiceThatItsRouteHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newMovingWorld()
		w.dir.Put(backends.Entry{ID: "other", Service: "new", Addr: "127.0.0.1:9", Zone: "a", Slots: 1, Versions: map[string]int64{"m": 1}})
		w.engine.pace["other"] = quickPace
		time.AfterFunc(300*time.Millisecond, func() {
			w.route("new")
			w.quick.End()
			w.driver.placer.pump()
		})
		result, done := w.driver.runItem(t.Context(), w.job, 0)
		is.True(done)
		is.Equal(result.State, Complete)
		is.Equal(w.engine.runs, []string{"e0:1", "other:9"})
		is.Equal(w.inFlight(), 0)
	})
}

// Guards against a text that has ended at its slow engine and still takes the next free slot.
func TestEndedTextWaitsForNoEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newMovingWorld()
		result, done := w.driver.runItem(t.Context(), w.job, 0)
		is.True(done)
		is.Equal(result.State, Complete)
		is.Equal(w.engine.runs, []string{"e0:1"})
		w.quick.End()
		w.driver.placer.pump()
		is.Equal(w.inFlight(), 0)
		is.Equal(w.waiting(), 0)
	})
}

// Guards against a long text of which nothing is stored because it moves before each second is over.
func TestMoveDoesNotPutOffTheStoringOfAText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newMovingWorld()
		w.engine.events = 60
		time.AfterFunc(partPeriod-100*time.Millisecond, func() {
			w.quick.End()
			w.driver.placer.pump()
		})
		_, done := w.driver.runItem(t.Context(), w.job, 0)
		is.True(done)
		is.Equal(len(w.engine.runs), 2) // 0.9 s at the first engine and 0.4 s at the second
		is.Equal(len(w.driver.opts.Registry.partitions[0].parts), 1)
	})
}

// Guards against a slot that stays taken when a job ends while its text has just been given another engine.
func TestEndOfAJobGivesBackTheNextEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newMovingWorld()
		ctx, cancel := context.WithCancel(t.Context())
		w.engine.onRun = func() {
			if len(w.engine.runs) == 2 {
				cancel() // as the text arrives at the quick engine
			}
		}
		time.AfterFunc(300*time.Millisecond, func() {
			w.quick.End()
			w.driver.placer.pump()
		})
		_, done := w.driver.runItem(ctx, w.job, 0)
		is.True(!done)
		is.Equal(len(w.engine.runs), 2)
		is.Equal(w.inFlight(), 0)
		is.Equal(w.waiting(), 0)
	})
}
