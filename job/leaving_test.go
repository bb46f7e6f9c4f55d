package job

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
)

// notice makes the slow engine of the fixture state that it leaves after left, once 300 ms have passed. An engine as slow with a free
// slot stays.
func (f *moveFixture) notice(left time.Duration) {
	f.dir.Put(backends.Entry{ID: "e2", Service: "llm", Addr: "127.0.0.1:1002", Zone: "b", Slots: 1, Versions: map[string]int64{"m": 1}})
	f.engine.eventInterval["e2"] = slowInterval
	other, _ := f.dir.Backend("e2")
	other.RecordEventInterval(slowInterval)
	time.AfterFunc(300*time.Millisecond, func() {
		f.dir.Put(backends.Entry{ID: "e0", Service: "llm", Addr: "127.0.0.1:1000", Zone: "a", Slots: 1, Versions: map[string]int64{"m": 1},
			Leaving: true, LeavesIn: left})
	})
}

// Guards against a text that is cut with its engine although another one has room, and against events that are lost or repeated on the way.
func TestItemMovesBeforeItsEngineLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMoveFixture()
		f.notice(time.Second)
		result, done := f.driver.runItem(t.Context(), f.job, 0)
		is.True(done)
		is.Equal(result.State, Complete)
		var want []string
		for id := range f.engine.events {
			want = append(want, strconv.FormatInt(id+1, 10))
		}
		is.Equal(string(result.Output), strings.Join(want, "\n"))
		is.Equal(f.engine.runs, []string{"e0:1", "e2:9"}) // at the first event after the notice
		f.fast.End()
		is.Equal(f.inFlight(), 0)
		is.Equal(f.waiting(), 0)
	})
}

// Guards against moves, each of which costs a connection, of texts that end before their engine leaves.
func TestItemThatEndsInTimeStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMoveFixture()
		f.notice(time.Minute)
		_, done := f.driver.runItem(t.Context(), f.job, 0)
		is.True(done)
		is.Equal(f.engine.runs, []string{"e0:1"})
	})
}

// Guards against a text that stays at an engine that leaves because it has moved to faster ones as often as it may.
func TestLeavingEngineEndsTheLimitOfMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMoveFixture()
		f.notice(time.Second)
		engine, _ := f.dir.Backend("e0")
		m := &mover{placer: f.driver.placer, backend: engine, request: engineRequest{service: "llm", model: "m", minVersion: 1, expected: time.Minute},
			submitted: time.Now(), longest: f.driver.durations.longest, leavesOnly: true}
		out := &partialOutput{lastEvent: moveCheckEvents}
		b, moved := m.poll(moveCheckEvents, out)
		is.True(b == nil && moved == nil && m.pending == nil) // faster engines are no reason any more
		time.Sleep(400 * time.Millisecond)
		b, moved = m.poll(moveCheckEvents, out)
		is.True(moved != nil && moved.Leaving)
		is.Equal(b.ID, "e2")
	})
}
