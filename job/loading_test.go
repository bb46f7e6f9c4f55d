package job

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
)

// loadingEngine is an Engine that refuses items until it has loaded a version.
type loadingEngine struct {
	fixedIntervalEngine
	loadedAt time.Time
	refused  int
}

func (e *loadingEngine) Generate(ctx context.Context, b *backends.Backend, call Call, to Receiver) error {
	if time.Now().Before(e.loadedAt) {
		e.refused++
		return &NotRunError{Status: 503}
	}
	return e.fixedIntervalEngine.Generate(ctx, b, call, to)
}

// Replays an engine that loads weights for the time of one load and writes its entry a quarter of a second later. Guards against items
// that are sent to it and refused again and again, and against an engine that idles after its entry tells of the load's end.
func TestLoadingEngineIsAskedOnce(t *testing.T) {
	const (
		load      = 900 * time.Millisecond
		entryLate = 250 * time.Millisecond
		begun     = 400 * time.Millisecond // of the load, when the item is sent
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMoveFixture()
		f.dir.Remove("e1")
		engine := &loadingEngine{loadedAt: time.Now().Add(load - begun), fixedIntervalEngine: fixedIntervalEngine{
			events: 40, eventInterval: map[string]time.Duration{"e0": fastInterval},
		}}
		f.driver.opts.Engine = engine
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.driver.placer.run(ctx)
		}()
		time.AfterFunc(load-begun+entryLate, func() {
			f.dir.Put(backends.Entry{
				ID: "e0", Service: "llm", Addr: "127.0.0.1:1000", Zone: "a", Slots: 1, Versions: map[string]int64{"m": 2},
			})
		})
		start := time.Now()
		result, ok := f.driver.runItem(ctx, f.job, 0)
		is.True(ok)
		is.Equal(result.State, Complete)
		is.Equal(engine.refused, 1)
		run := time.Duration(engine.events) * fastInterval
		is.True(time.Since(start) <= load-begun+entryLate+run+dispatchInterval+dispatchDelay)
		cancel()
		<-done
	})
}
