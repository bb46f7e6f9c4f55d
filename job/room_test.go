package job

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/machine"
)

// roomLimit is the limit of the items of a driver's open jobs in these tests.
const roomLimit = 1000

// jobOf returns a job with one item with a body of the given size.
func jobOf(id string, step int64, bytes int) *Spec {
	return &Spec{ID: ID(id), Host: "h", Model: "m", Step: step, Items: []Item{{ID: "a", Body: make([]byte, bytes)}}}
}

// driverOf returns the id of the instance that drives a job.
func driverOf(g *Registry, id string) string {
	s, _ := g.Summary(ID(id))
	return s.Driver.ID
}

// roomyRegistry returns a registry with roomLimit that prefers the given instances as drivers, in their order.
func roomyRegistry(log *countingLog, drivers ...string) *Registry {
	g := testRegistry(log)
	g.opts.MaxItemBytes = roomLimit
	g.opts.Drivers = func(string) []machine.Ref {
		var refs []machine.Ref
		for _, id := range drivers {
			refs = append(refs, machine.Ref{ID: id, Incarnation: 1})
		}
		return refs
	}
	return g
}

// Guards against refusing a job because one instance is full, although another one has room.
func TestJobBeyondRoomOfOneDriverGoesToAnother(t *testing.T) {
	is := is.New(t)
	g := roomyRegistry(newCountingLog(), "a", "b")
	is.NoErr(g.Submit(t.Context(), jobOf("1", -1, 600)))
	is.NoErr(g.Submit(t.Context(), jobOf("2", -1, 600)))
	is.Equal(driverOf(g, "1"), "a")
	is.Equal(driverOf(g, "2"), "b")
	is.NoErr(g.Submit(t.Context(), jobOf("3", -1, 100))) // fits beside the first
	is.Equal(driverOf(g, "3"), "a")
	var full *FullError
	is.True(errors.As(g.Submit(t.Context(), jobOf("4", -1, 600)), &full))
}

// Guards against steps that leave the driver with the trainer's connections while it has room, and against a trainer that goes back
// to it at each change of room.
func TestTrainerKeepsItsDriverWhileThatHasRoom(t *testing.T) {
	is := is.New(t)
	g := roomyRegistry(newCountingLog(), "a", "b")
	is.NoErr(g.Submit(t.Context(), jobOf("other", -1, 900)))
	is.NoErr(g.Submit(t.Context(), jobOf("step-1", 1, 300)))
	is.Equal(driverOf(g, "step-1"), "b")
	is.NoErr(g.End(t.Context(), "other"))
	is.NoErr(g.Submit(t.Context(), jobOf("step-2", 2, 300)))
	is.Equal(driverOf(g, "step-2"), "b")
	is.NoErr(g.Submit(t.Context(), jobOf("step-3", 3, 400)))
	is.Equal(driverOf(g, "step-3"), "a")
}

// Guards against a driver that is chosen by an old index: another instance has given it jobs meanwhile.
func TestDriverIsChosenByTheNewestIndex(t *testing.T) {
	is := is.New(t)
	log := newCountingLog()
	g, other := roomyRegistry(log, "a", "b"), roomyRegistry(log, "a", "b")
	is.NoErr(g.indexReplica.Sync(t.Context()))
	is.NoErr(other.Submit(t.Context(), jobOf("1", -1, 600)))
	is.NoErr(g.Submit(t.Context(), jobOf("2", -1, 600))) // has not read the index since
	is.Equal(driverOf(g, "2"), "b")
}
