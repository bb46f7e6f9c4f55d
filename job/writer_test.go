package job

import (
	"context"
	"io"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
)

// newWriterFixture returns a moveFixture with engines of one slot each, by id with the version of their software. No one is busy.
func newWriterFixture(software map[string]string) *moveFixture {
	f := newMoveFixture()
	f.fast.End()
	f.dir.RemoveAllBut(nil)
	clear(f.engine.eventInterval)
	for id, version := range software {
		f.dir.Put(backends.Entry{
			ID: id, Service: "llm", Addr: "127.0.0.1:1", Zone: "a", Slots: 1, Versions: map[string]int64{"m": 1}, StartedUnixMs: 1, Software: version,
		})
		f.engine.eventInterval[id] = fastInterval
		f.engineOf(id).RecordEventInterval(fastInterval)
	}
	return f
}

func (f *moveFixture) engineOf(id string) *backends.Backend {
	b, _ := f.dir.Backend(id)
	return b
}

// storedText returns a checkpoint after events, written by the given service and software.
func storedText(events int64, service, software string) Checkpoint {
	c := Checkpoint{LastEvent: events, Versions: []int64{1}, Service: service, Software: software}
	for n := range events {
		c.Data = append(c.Data, strconv.AppendInt(nil, n+1, 10))
	}
	return c
}

// Guards against a text that is joined from two software versions of its engines, or of two services: an instance takes a job over and
// goes on after a checkpoint; and against a text that waits longer for an engine of its version than it takes to start over.
func TestTextIsNotJoinedFromTwoSoftwareVersions(t *testing.T) {
	const regenerated = 20 * fastInterval
	for name, tc := range map[string]struct {
		engines map[string]string
		stored  Checkpoint
		failed  string        // an engine that has just failed, so that it is avoided
		busy    string        // an engine without a free slot
		free    time.Duration // until it has one; 0 for never
		want    string        // the run: engine and first event
	}{
		"its version is there":      {engines: map[string]string{"e1": "v1", "e2": "v2"}, stored: storedText(20, "llm", "v2"), want: "e2:21"},
		"its version has left":      {engines: map[string]string{"e1": "v1"}, stored: storedText(20, "llm", "v2"), want: "e1:1"},
		"its version is full":       {engines: map[string]string{"e1": "v1", "e2": "v2"}, stored: storedText(20, "llm", "v2"), busy: "e2", want: "e1:1"},
		"its version is free soon":  {engines: map[string]string{"e1": "v1", "e2": "v2"}, stored: storedText(20, "llm", "v2"), busy: "e2", free: regenerated / 2, want: "e2:21"},
		"its only engine failed":    {engines: map[string]string{"e2": "v2"}, stored: storedText(20, "llm", "v2"), failed: "e2", want: "e2:21"},
		"of another service":        {engines: map[string]string{"e1": "v1"}, stored: storedText(20, "other", "v1"), want: "e1:1"},
		"of an earlier release":     {engines: map[string]string{"e1": "v1"}, stored: storedText(20, "", ""), want: "e1:1"},
		"versions are not known":    {engines: map[string]string{"e1": ""}, stored: storedText(20, "llm", ""), want: "e1:21"},
		"only its version is known": {engines: map[string]string{"e1": ""}, stored: storedText(20, "llm", "v1"), want: "e1:1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newWriterFixture(tc.engines)
				f.job.checkpoints = map[string]Checkpoint{"i": tc.stored}
				if tc.failed != "" {
					f.engineOf(tc.failed).RecordFailure()
					time.AfterFunc(regenerated+regenerated/2, f.driver.placer.dispatch) // the engine is no longer avoided
				}
				if tc.busy != "" {
					f.engineOf(tc.busy).Begin()
				}
				if tc.free > 0 {
					time.AfterFunc(tc.free, func() {
						f.engineOf(tc.busy).End()
						f.driver.placer.dispatch()
					})
				}
				start := time.Now()
				result, done := f.driver.runItem(t.Context(), f.job, 0)
				is.True(done)
				is.Equal(result.State, Complete)
				is.Equal(f.engine.runs, []string{tc.want})
				is.True(time.Since(start) <= regenerated+40*fastInterval)
				want := ""
				for n := range f.engine.events {
					want += strconv.FormatInt(n+1, 10) + "\n"
				}
				is.Equal(string(result.Output)+"\n", want)
			})
		})
	}
}

// Guards against a text that moves to a faster engine of another software version, and against one that goes on there when its engine
// breaks it off.
func TestTextDoesNotMoveToAnotherSoftwareVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newWriterFixture(map[string]string{"e0": "v1", "e1": "v2"})
		f.engine.eventInterval["e0"] = slowInterval
		f.engineOf("e1").Begin()
		for range 20 {
			f.engineOf("e0").RecordEventInterval(slowInterval)
		}
		time.AfterFunc(5*slowInterval, func() {
			f.engineOf("e1").End()
			f.driver.placer.dispatch()
		})
		result, done := f.driver.runItem(t.Context(), f.job, 0)
		is.True(done)
		is.Equal(result.State, Complete)
		is.Equal(f.engine.runs, []string{"e0:1"})
		is.Equal(f.waiting(), 0)
	})
}

// Replays a driver that is out of step during a release: its entries are old, or an engine that broke a text off has started again under its id
// with other software. Guards against a text that goes on at the version of before.
func TestTextOfDoubtfulSoftwareStartsOver(t *testing.T) {
	for name, tc := range map[string]struct {
		breaks func(f *moveFixture, age *time.Duration)
		want   []string
	}{
		"in step":         {func(*moveFixture, *time.Duration) {}, []string{"e1:1", "e2:11"}},
		"entries are old": {func(_ *moveFixture, age *time.Duration) { *age = 3 * time.Second }, []string{"e1:1", "e2:1"}},
		"other software in its place": {func(f *moveFixture, _ *time.Duration) {
			f.dir.Put(backends.Entry{ID: "e1", Service: "llm", Addr: "127.0.0.1:1", Zone: "a", Slots: 1, StartedUnixMs: 2, Software: "v2"})
		}, []string{"e1:1", "e2:1"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newWriterFixture(map[string]string{"e1": "v1", "e2": "v1"})
				var age time.Duration
				f.driver.opts.EntriesAge = func() time.Duration { return age }
				f.driver.opts.Engine = &breakingEngine{fixedIntervalEngine: f.engine, after: 10, onBreak: func() { tc.breaks(f, &age) }}
				f.engineOf("e2").Begin() // takes its slot
				stop := f.runWaits(t.Context())
				defer stop()
				time.AfterFunc(5*fastInterval, func() { f.engineOf("e2").End() })
				result, done := f.driver.runItem(t.Context(), f.job, 0)
				is.True(done)
				is.Equal(result.State, Complete)
				is.Equal(f.engine.runs, tc.want)
			})
		})
	}
}

// breakingEngine is an Engine whose first run breaks off after a number of events.
type breakingEngine struct {
	*fixedIntervalEngine
	after   int64
	onBreak func()
	broken  bool
}

func (e *breakingEngine) Generate(ctx context.Context, b *backends.Backend, call Call, to Receiver) error {
	if e.broken {
		return e.fixedIntervalEngine.Generate(ctx, b, call, to)
	}
	e.broken = true
	whole := e.events
	e.events = e.after
	err := e.fixedIntervalEngine.Generate(ctx, b, call, to)
	e.events = whole
	if err != nil {
		return err
	}
	e.onBreak()
	return &BrokenError{Err: io.ErrUnexpectedEOF}
}
