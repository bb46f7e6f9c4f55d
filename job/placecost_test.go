package job

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
)

// Guards against a driver that uses its whole share of the processor while items wait that an engine has failed: each dispatch
// looked at all engines for each of them.
func TestItemsThatAnEngineFailedShareOneSearch(t *testing.T) {
	is := is.New(t)
	const engines, items = 4, 1000
	dir := directoryOf(engines, 1, 1)
	p := newPlacer(dir, "a", 1)
	for i := range engines {
		b, _ := dir.Backend(fmt.Sprint("e", i))
		b.Begin() // takes its slot
	}
	for i := range items {
		req := requestFor(int64(i))
		req.excluded, _ = dir.Backend(fmt.Sprint("e", i%2))
		req.placed = make(chan *backends.Backend, 1)
		p.waiting = append(p.waiting, req)
	}
	p.dispatch()
	is.Equal(len(p.waiting), items)
	is.Equal(p.searches, 2) // one for each engine that has failed items
}

// Guards against an item that stays without an engine because another one, which the same engine has failed, accepts fewer engines.
func TestItemsThatAnEngineFailedMayDifferInVersion(t *testing.T) {
	is := is.New(t)
	dir := directoryOf(2, 1, 1)
	dir.Put(backends.Entry{ID: "newest", Service: "llm", Addr: "127.0.0.1:2000", Zone: "a", Slots: 1, Versions: map[string]int64{"m": 2}})
	for i := range 2 {
		b, _ := dir.Backend(fmt.Sprint("e", i))
		b.Begin()
	}
	newest, _ := dir.Backend("newest")
	p := newPlacer(dir, "a", 1)
	waits, placed := requestFor(1), requestFor(2)
	waits.excluded, placed.excluded = newest, newest
	placed.minVersion = 2 // only the failed engine has it
	p.enqueue(waits)
	p.enqueue(placed)
	is.Equal(<-placed.placed, newest)
	is.Equal(p.waiting, []*engineRequest{waits})
}
