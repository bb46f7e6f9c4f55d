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

// maxParallelCells bounds the cells that run concurrently. Cells wait for failure detection and lapsing
// leases most of the time, so more of them run than there are processors; too many would starve one
// another.
var maxParallelCells = 2 * runtime.GOMAXPROCS(0)

// stepNotePrefix is the beginning of the record of the note that publishStepNote publishes. It identifies
// the note in the traffic.
const stepNotePrefix = `{"kind":"note","note":{"id":"step-note"`

const (
	readControlRequest    = "GET /v1/streams/control/records"
	readSnapshotsRequest  = "GET /v1/streams/snapshots/records"
	appendSnapshotRequest = "POST /v1/streams/snapshots/records"
	probeMethod           = "m.probe"
	newService            = "fresh"
)

// step is a step of the control plane.
type step struct {
	name string
	// matches returns the traffic by which the step is recognised.
	matches func(c *cluster) []trafficMatch
	// run makes the step happen.
	run func(c *cluster)
	// prepare, if set, makes the step possible. Faults are not injected before it has returned.
	prepare func(c *cluster)
}

// fixedMatches returns a step's matches function for matches that do not depend on the cluster.
func fixedMatches(matches ...trafficMatch) func(*cluster) []trafficMatch {
	return func(*cluster) []trafficMatch { return matches }
}

// publishStepNote publishes the note that stepNotePrefix identifies.
func publishStepNote(c *cluster) { c.publishNote(c.newServiceNote("step-note")) }

var matrixSteps = []step{
	{"append", fixedMatches(trafficMatch{contains: stepNotePrefix, to: logEndpoint}), publishStepNote, nil},
	{"read back", func(c *cluster) []trafficMatch {
		return []trafficMatch{{contains: stepNotePrefix, from: "a", to: logEndpoint, onMatch: c.loseNextAppendAnswer}, {contains: readControlRequest, from: "a"}}
	}, publishStepNote, nil},
	{"apply", fixedMatches(trafficMatch{contains: base64Prefix(stepNotePrefix), from: logEndpoint}), publishStepNote, nil},
	{"spread", fixedMatches(trafficMatch{contains: stepNotePrefix, to: logEndpoint}, trafficMatch{contains: feed.PushMethod}), publishStepNote, nil},
	{"snapshot", fixedMatches(trafficMatch{contains: appendSnapshotRequest}), func(c *cluster) { c.stop(c.holder(feed.SnapshotDuty)) }, nil},
	{"expire", fixedMatches(trafficMatch{contains: readControlRequest, from: "d"}), func(c *cluster) {
		c.startMember("d", shymkent)
		publishStepNote(c)
	}, (*cluster).expireSnapshotted},
	{"boot", fixedMatches(trafficMatch{contains: readSnapshotsRequest, from: "d"}), func(c *cluster) { c.startMember("d", shymkent) }, nil},
	{"join", fixedMatches(trafficMatch{contains: probeMethod, from: "d"}), func(c *cluster) { c.startMember("d", shymkent) }, nil},
	{"leave", fixedMatches(trafficMatch{contains: probeMethod, from: "b"}), func(c *cluster) { c.stop("b") }, nil},
	{"claim lease", fixedMatches(trafficMatch{contains: `"duty":"` + lease.OrdersPrefix + newService, to: logEndpoint}), (*cluster).campaignForNewDuty, nil},
	{"renew", fixedMatches(trafficMatch{contains: string(control.KindLeaseRenewed), to: logEndpoint}), func(*cluster) {}, nil},
	{"lapse", fixedMatches(trafficMatch{contains: `"duty":"` + lease.OrdersPrefix + "checked", to: logEndpoint}), func(c *cluster) {
		c.kill(c.holder(lease.OrdersPrefix + "checked"))
	}, nil},
}

// base64Prefix returns how record data that begins with prefix begins in a page of the log, which holds
// data in base64. It leaves out the bytes after the last whole group of three.
func base64Prefix(prefix string) string {
	return base64.StdEncoding.EncodeToString([]byte(prefix[:len(prefix)/3*3]))
}

// campaignForNewDuty adds a sampler service and announces a version of it, which makes all instances
// campaign for the duty of its orders.
func (c *cluster) campaignForNewDuty() {
	c.publishNote(c.newNote("fresh", c.baseVerdict.Revision, func(n *release.Note) {
		s := c.samplerService("checked")
		s.Name, s.Backends = newService, []machine.Backend{}
		n.Added = []contract.Service{s}
	}))
	ctx, cancel := context.WithTimeout(c.t.Context(), testTimeout)
	defer cancel()
	for ctx.Err() == nil && !slices.ContainsFunc(c.live(), func(m *member) bool { return c.announceAt(m, newService, 2) }) {
		runtime.Gosched()
	}
}

// holder returns the id of the current or last holder of a duty according to the log.
func (c *cluster) holder(duty string) string {
	l, _ := c.logState().Leases.Get(duty)
	return l.Holder.ID
}

func (c *cluster) zoneOf(id string) zone.Zone {
	if id == "c" || id == "t" || id == "d" {
		return shymkent
	}
	return almaty
}

// stop starts the planned stop of an instance and does not wait for it.
func (c *cluster) stop(id string) {
	for _, m := range c.live() {
		if m.id != id {
			continue
		}
		c.mu.Lock()
		m.leaving = true
		c.mu.Unlock()
		c.running.Go(func() {
			// A stop that a fault interrupts is equivalent to a crash, so its error is ignored; the state
			// that it leaves is checked at the end of the cell.
			_ = m.instance.Stop(c.t.Context())
		})
	}
}

// expireSnapshotted waits for a snapshot and drops all records of the control stream that it covers.
func (c *cluster) expireSnapshotted() {
	c.t.Helper()
	c.waitUntil("a snapshot is written", func() bool { return c.logState().Marker.StateOffset > 0 })
	covered := c.logState().Marker.StateOffset
	all := c.controlRecords()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiredRecords = all[:covered]
	c.log.Truncate(control.Stream, covered)
}

// runCell injects the faults when the step is reached, removes them after their effect is visible, and
// checks the resulting state.
func runCell(t *testing.T, s step, faults ...fault) {
	c := newCluster(t)
	c.setUp()
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { c.monitorInvariants(ctx) })

	if s.prepare != nil {
		s.prepare(c)
	}
	reached := make(chan []string, 1)
	c.trigger.arm(s.matches(c), func(instance string) {
		victims := make([]string, len(faults))
		for n, f := range faults {
			victims[n] = f.inject(c, instance)
		}
		reached <- victims
	})
	var stepRun conc.WaitGroup
	stepRun.Go(func() { s.run(c) })
	var victims []string
	c.waitUntil("step "+s.name+" is reached", func() bool {
		select {
		case victims = <-reached:
			return true
		default:
			return false
		}
	})
	for n, f := range faults {
		f.awaitEffect(c, victims[n])
		f.remove(c, victims[n])
	}
	stepRun.Wait()
	c.checkFinalState()
	cancel()
	group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.errs {
		t.Error(e)
	}
}

// Guards against a control plane that, under any fault at any step, loses or reverts an accepted
// note, shows operators different states, or lets two holders of a lease act.
func TestControlMatrix(t *testing.T) {
	cells := pool.New().WithMaxGoroutines(maxParallelCells)
	run := 0
	for _, s := range matrixSteps {
		for _, f := range matrixFaults {
			if reason := notApplicable(s.name, f); reason != "" {
				t.Logf("%s, %s: %s", s.name, f.name, reason)
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
