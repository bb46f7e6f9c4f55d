package job

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
)

// Guards against an engine that repeats an event without end and keeps its slot for good.
func TestEventsOfAnAttemptIncrease(t *testing.T) {
	is := is.New(t)
	directory := backends.New()
	directory.Put(backends.Entry{ID: "b"})
	b, _ := directory.Backend("b")
	a := &itemAttempt{
		output: &partialOutput{lastEvent: 2, checkpointedAt: time.Now()}, backend: b, silenceTimer: time.NewTimer(time.Hour),
	}
	for id := range int64(3) { // events 1 and 2 are repeated before the stream resumes
		is.NoErr(a.Event(Event{ID: id + 1}))
	}
	var broken *BrokenError
	is.True(errors.As(a.Event(Event{ID: 3}), &broken))
	is.True(errors.As(a.Event(Event{ID: 1}), &broken))
}
