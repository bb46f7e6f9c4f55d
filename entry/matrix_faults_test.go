package entry_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/operator"
	"github.com/cicadasill/cicadasill/release"
)

// logDelay is added to each operation on a slow log; it stays under the feed's timeout of 3 s.
const logDelay = 700 * time.Millisecond

// racePrefix begins the ids of the notes of racing operators.
const racePrefix = "race-"

// fault is struck when a step is reached at an instance, stands until hold returns, and then ends.
type fault struct {
	name string
	// strike must not block: the instance is in the middle of a write or a read. It returns the
	// instance that it hit, if it hit one.
	strike func(w *world, at string) string
	// hold returns when the fault has shown its effect.
	hold func(w *world, hit string)
	end  func(w *world, hit string)
}

func noStrike(*world, string) string { return "" }
func noEnd(*world, string)           {}

var matrixFaults = []fault{
	{
		name:   "log outage",
		strike: func(w *world, _ string) string { w.log.SetOutage(true); return "" },
		hold: func(w *world, _ string) {
			w.replaceAll()
			w.until("an operator sees the outage", w.someUnreachable)
			if w.ready() > 0 {
				w.until("instances boot from peers", func() bool { return w.ready() == len(w.live()) })
			}
		},
		end: func(w *world, _ string) { w.log.SetOutage(false) },
	},
	{
		name:   "answer lost",
		strike: func(w *world, _ string) string { w.loseAnswer(); return "" },
		hold: func(w *world, _ string) {
			before := w.log.Appends()
			w.until("the log has one more record", func() bool { return w.log.Appends() > before })
		},
		end: noEnd,
	},
	{
		name:   "log slow",
		strike: func(w *world, _ string) string { w.log.SetSlow(logDelay); return "" },
		hold:   func(w *world, _ string) { w.publishNote(w.addNote("while-slow")) },
		end:    func(w *world, _ string) { w.log.SetSlow(0) },
	},
	{
		name: "instance killed",
		strike: func(w *world, at string) string {
			at = w.liveOr(at)
			w.kill(at)
			return at
		},
		hold: func(w *world, hit string) {
			w.until("the dead instance is noticed", func() bool { return !w.seen(hit) })
		},
		end: func(w *world, hit string) { w.join(hit, w.zoneOf(hit)) },
	},
	{
		name: "instance paused",
		strike: func(w *world, at string) string {
			at = w.liveOr(at)
			w.cuts.pause(at, true)
			return at
		},
		hold: func(w *world, hit string) {
			w.until("the silent instance is noticed", func() bool { return !w.seen(hit) })
			w.until("its leases have gone to others", func() bool { return !w.holds(hit) })
		},
		end: func(w *world, hit string) { w.cuts.pause(hit, false) },
	},
	{
		name:   "region cut",
		strike: func(w *world, _ string) string { w.cuts.cutRegions(true); return "" },
		hold: func(w *world, _ string) {
			w.until("the regions do not see each other", func() bool { return !w.crossRegion() })
		},
		end: func(w *world, _ string) { w.cuts.cutRegions(false) },
	},
	{
		// The list shows a dead instance's address and not its replacement.
		name:   "stale list",
		strike: func(w *world, _ string) string { w.list.Freeze(true); return "" },
		hold: func(w *world, _ string) {
			victim := w.liveOr("b")
			w.kill(victim)
			w.join(victim, w.zoneOf(victim))
			w.awaitView()
		},
		end: func(w *world, _ string) { w.list.Freeze(false) },
	},
	{name: "racing operators", strike: noStrike, hold: func(w *world, _ string) { w.race() }, end: noEnd},
	{
		name: "all replaced",
		strike: func(w *world, _ string) string {
			for _, m := range w.live() {
				w.kill(m.id)
			}
			return ""
		},
		hold: func(w *world, _ string) {
			w.replaceAll()
			w.awaitView()
		},
		end: noEnd,
	},
	{
		name:   "silent connections",
		strike: func(w *world, _ string) string { w.net.Silence(); return "" },
		hold:   func(w *world, _ string) { w.publishNote(w.addNote("while-silent")) },
		end:    noEnd,
	},
}

// loseAnswer makes the log lose the answer of one more append.
func (w *world) loseAnswer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.losses++
	w.log.LoseAnswers(w.losses)
}

// replaceAll runs new instances if none is left.
func (w *world) replaceAll() {
	if len(w.live()) > 0 {
		return
	}
	w.join("r", almaty)
	w.join("s", almaty)
	w.join("t", shymkent)
}

// holds reports whether the log gives any duty to an instance.
func (w *world) holds(id string) bool {
	leases := w.truth().Leases
	return slices.ContainsFunc(leases.Duties(), func(duty string) bool {
		l, _ := leases.Get(duty)
		return l.Holder.ID == id && !l.Released
	})
}

// liveOr returns id if that instance runs, else a live one.
func (w *world) liveOr(id string) string {
	w.mu.Lock()
	runs := slices.ContainsFunc(w.members, func(m *member) bool { return m.id == id && !m.killed })
	w.mu.Unlock()
	if live := w.live(); !runs && len(live) > 0 {
		return live[0].id
	}
	return id
}

// someUnreachable reports whether an instance shows that it does without the log. One without a
// state must say what it waits for.
func (w *world) someUnreachable() bool {
	return slices.ContainsFunc(w.live(), func(m *member) bool {
		status, err := operator.NewClient(m.instance.AdminAddr()).Status(w.t.Context())
		if err == nil && !status.Ready && status.WaitingFor == "" {
			w.report("instance %s is not ready and does not say why", m.id)
		}
		return err == nil && (!status.LogReachable || !status.Ready)
	})
}

// ready returns the number of live instances that serve.
func (w *world) ready() int {
	return len(slices.DeleteFunc(w.live(), func(m *member) bool { return !w.status(m).Ready }))
}

// crossRegion reports whether any live instance lists one of the other region.
func (w *world) crossRegion() bool {
	for _, m := range w.live() {
		home := w.zoneOf(m.id)
		for _, peer := range m.instance.LiveInstances() {
			if peer.Zone != home {
				return true
			}
		}
	}
	return false
}

// race publishes conflicting notes at once, and one note twice; the log's order decides.
func (w *world) race() {
	base := w.truth().Catalog.Revision()
	results := make([]release.Verdict, 4)
	var group conc.WaitGroup
	for n := range results {
		group.Go(func() {
			desk := w.plain("desk")
			desk.QueueLimit = n + 1
			results[n] = w.publishNote(w.note(fmt.Sprintf("%s%d", racePrefix, n), base, func(r *release.Note) {
				r.Changed = []contract.Service{desk}
			}))
		})
	}
	var twice [2]release.Verdict
	for n := range twice {
		group.Go(func() { twice[n] = w.publishNote(w.addNote("twice")) })
	}
	group.Wait()
	if !twice[0].Accepted || twice[0] != twice[1] {
		w.report("one note published twice has the verdicts %+v", twice)
	}
	accepted := 0
	for _, v := range results {
		if v.Accepted {
			accepted++
		} else if v.Code != release.Conflict {
			w.report("a racing note was refused as %s, want %s", v.Code, release.Conflict)
		}
	}
	if accepted != 1 {
		w.report("%d of the racing notes were accepted, want 1", accepted)
	}
}

// impossible says why a fault cannot strike at a step; it is empty for cells that are run.
func impossible(step string, f fault) string {
	if f.name == "answer lost" && slices.Contains([]string{"apply", "spread", "expire", "boot", "join"}, step) {
		return "nothing is appended at this step, so there is no answer to lose; the steps that append lose theirs"
	}
	return ""
}
