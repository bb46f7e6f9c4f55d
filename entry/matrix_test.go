package entry_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/feed"
	"github.com/cicadasill/cicadasill/lease"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/release"
	"github.com/cicadasill/cicadasill/zone"
)

// cellsAtOnce bounds the worlds that run at once. Cells wait for failure detection and lapsing
// leases most of the time, so they are more than the processors; too many starve one another.
var cellsAtOnce = 2 * runtime.GOMAXPROCS(0)

// stepNote is the note whose way the steps of notes follow.
const stepNote = `{"kind":"note","note":{"id":"step-note"`

const (
	readsControl   = "GET /v1/streams/control/records"
	readsSnapshots = "GET /v1/streams/snapshots/records"
	snapshotAppend = "POST /v1/streams/snapshots/records"
	probe          = "m.probe"
	newService     = "fresh"
)

// step is one step of the control plane: its points in the traffic, and what makes it happen.
type step struct {
	name   string
	points func(w *world) []point
	act    func(w *world)
	// before makes the step possible; the faults cannot strike yet.
	before func(w *world)
}

func at(points ...point) func(*world) []point { return func(*world) []point { return points } }

func publishStep(w *world) { w.publishNote(w.addNote("step-note")) }

var matrixSteps = []step{
	{"append", at(point{bytes: stepNote, to: logEnd}), publishStep, nil},
	{"read back", func(w *world) []point {
		return []point{{bytes: stepNote, from: "a", to: logEnd, pass: w.loseAnswer}, {bytes: readsControl, from: "a"}}
	}, publishStep, nil},
	{"apply", at(point{bytes: encoded(stepNote), from: logEnd}), publishStep, nil},
	{"spread", at(point{bytes: stepNote, to: logEnd}, point{bytes: feed.PushMethod}), publishStep, nil},
	{"snapshot", at(point{bytes: snapshotAppend}), func(w *world) { w.stop(w.holder(feed.SnapshotDuty)) }, nil},
	{"expire", at(point{bytes: readsControl, from: "d"}), func(w *world) {
		w.join("d", shymkent)
		publishStep(w)
	}, (*world).expire},
	{"boot", at(point{bytes: readsSnapshots, from: "d"}), func(w *world) { w.join("d", shymkent) }, nil},
	{"join", at(point{bytes: probe, from: "d"}), func(w *world) { w.join("d", shymkent) }, nil},
	{"leave", at(point{bytes: probe, from: "b"}), func(w *world) { w.stop("b") }, nil},
	{"claim lease", at(point{bytes: `"duty":"` + lease.OrdersPrefix + newService, to: logEnd}), (*world).claimDuty, nil},
	{"renew", at(point{bytes: string(control.KindLeaseRenewed), to: logEnd}), func(*world) {}, nil},
	{"lapse", at(point{bytes: `"duty":"` + lease.OrdersPrefix + "checked", to: logEnd}), func(w *world) {
		w.kill(w.holder(lease.OrdersPrefix + "checked"))
	}, nil},
}

// encoded returns the bytes by which data that begins with prefix begins in a page of the log.
func encoded(prefix string) string {
	return base64.StdEncoding.EncodeToString([]byte(prefix[:len(prefix)/3*3]))
}

// claimDuty adds a sampler service and announces a version of it, which makes all instances
// campaign for the duty of its orders.
func (w *world) claimDuty() {
	w.publishNote(w.note("fresh", w.base.Revision, func(n *release.Note) {
		s := w.sampler("checked")
		s.Name, s.Backends = newService, []machine.Backend{}
		n.Added = []contract.Service{s}
	}))
	ctx, cancel := context.WithTimeout(w.t.Context(), testLimit)
	defer cancel()
	for ctx.Err() == nil && !slices.ContainsFunc(w.live(), func(m *member) bool { return w.announceAt(m, newService, 2) }) {
		runtime.Gosched()
	}
}

// holder returns the instance that holds a duty according to the log.
func (w *world) holder(duty string) string {
	l, _ := w.truth().Leases.Get(duty)
	return l.Holder.ID
}

func (w *world) zoneOf(id string) zone.Zone {
	if id == "c" || id == "t" || id == "d" {
		return shymkent
	}
	return almaty
}

// stop makes an instance leave by the planned stop.
func (w *world) stop(id string) {
	for _, m := range w.live() {
		if m.id != id {
			continue
		}
		w.mu.Lock()
		m.leaving = true
		w.mu.Unlock()
		w.tasks.Go(func() {
			// A stop that a fault cuts short is as good as a crash; what it left is checked below.
			_ = m.instance.Stop(w.t.Context())
		})
	}
}

// expire drops all records of the control stream that a snapshot covers.
func (w *world) expire() {
	w.t.Helper()
	w.until("a snapshot is written", func() bool { return w.truth().Marker.StateOffset > 0 })
	covered := w.truth().Marker.StateOffset
	all := w.records()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kept = all[:covered]
	w.log.Truncate(control.Stream, covered)
}

// runCell strikes the faults when the step is reached and checks the world that results.
func runCell(t *testing.T, s step, faults ...fault) {
	w := newWorld(t)
	w.begin()
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { w.watch(ctx) })

	if s.before != nil {
		s.before(w)
	}
	reached := make(chan []string, 1)
	w.trigger.arm(s.points(w), func(instance string) {
		hits := make([]string, len(faults))
		for n, f := range faults {
			hits[n] = f.strike(w, instance)
		}
		reached <- hits
	})
	var act conc.WaitGroup
	act.Go(func() { s.act(w) })
	var hits []string
	w.until("step "+s.name+" is reached", func() bool {
		select {
		case hits = <-reached:
			return true
		default:
			return false
		}
	})
	for n, f := range faults {
		f.hold(w, hits[n])
		f.end(w, hits[n])
	}
	act.Wait()
	w.settle()
	cancel()
	group.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.errs {
		t.Error(e)
	}
}

// Guards against a control plane that, under any fault at any step, forgets or reverts an
// accepted note, shows operators different states, or lets two holders of a lease act.
func TestControlMatrix(t *testing.T) {
	cells := pool.New().WithMaxGoroutines(cellsAtOnce)
	run := 0
	for _, s := range matrixSteps {
		for _, f := range matrixFaults {
			if why := impossible(s.name, f); why != "" {
				t.Logf("%s, %s: %s", s.name, f.name, why)
				continue
			}
			run++
			name := strings.ReplaceAll(fmt.Sprintf("%s/%s", s.name, f.name), " ", "-")
			cells.Go(func() { t.Run(name, func(t *testing.T) { runCell(t, s, f) }) })
		}
	}
	for _, p := range matrixPairs {
		run++
		cells.Go(func() { t.Run(p.name(), func(t *testing.T) { runCell(t, p.step(), p.faults()...) }) })
	}
	cells.Wait()
	t.Logf("%d cells run", run)
}
