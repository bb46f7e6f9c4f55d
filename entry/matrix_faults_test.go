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

// racePrefix is the prefix of the ids of notes that operators publish concurrently.
const racePrefix = "race-"

// fault is injected when an instance reaches a step, and removed after awaitEffect has returned.
type fault struct {
	name string
	// inject gets the instance that reached the step and returns the instance that the fault affects,
	// or an empty string if the fault does not concern one instance. It must not block, because the
	// instance is in the middle of a write or a read.
	inject func(c *cluster, id string) string
	// awaitEffect returns when the effect of the fault has become visible.
	awaitEffect func(c *cluster, victim string)
	remove      func(c *cluster, victim string)
}

func noInject(*cluster, string) string { return "" }
func noRemove(*cluster, string)        {}

var matrixFaults = []fault{
	{
		name:   "log outage",
		inject: func(c *cluster, _ string) string { c.log.SetOutage(true); return "" },
		awaitEffect: func(c *cluster, _ string) {
			c.startIfNoneLive()
			c.waitUntil("an operator sees the outage", c.outageVisible)
			if c.readyCount() > 0 {
				c.waitUntil("instances boot from peers", func() bool { return c.readyCount() == len(c.live()) })
			}
		},
		remove: func(c *cluster, _ string) { c.log.SetOutage(false) },
	},
	{
		name:   "answer lost",
		inject: func(c *cluster, _ string) string { c.loseNextAppendAnswer(); return "" },
		awaitEffect: func(c *cluster, _ string) {
			before := c.log.Appends()
			c.waitUntil("the log has one more record", func() bool { return c.log.Appends() > before })
		},
		remove: noRemove,
	},
	{
		name:        "log slow",
		inject:      func(c *cluster, _ string) string { c.log.SetExtraLatency(logDelay); return "" },
		awaitEffect: func(c *cluster, _ string) { c.publishNote(c.newServiceNote("while-slow")) },
		remove:      func(c *cluster, _ string) { c.log.SetExtraLatency(0) },
	},
	{
		name: "instance killed",
		inject: func(c *cluster, id string) string {
			id = c.liveOrOther(id)
			c.kill(id)
			return id
		},
		awaitEffect: func(c *cluster, victim string) {
			c.waitUntil("the killed instance is detected as dead", func() bool { return !c.isListed(victim) })
		},
		remove: func(c *cluster, victim string) { c.startMember(victim, c.zoneOf(victim)) },
	},
	{
		name: "instance paused",
		inject: func(c *cluster, id string) string {
			id = c.liveOrOther(id)
			c.netFaults.setPaused(id, true)
			return id
		},
		awaitEffect: func(c *cluster, victim string) {
			c.waitUntil("the paused instance is detected as dead", func() bool { return !c.isListed(victim) })
			c.waitUntil("its leases are held by other instances", func() bool { return !c.holdsDuty(victim) })
		},
		remove: func(c *cluster, victim string) { c.netFaults.setPaused(victim, false) },
	},
	{
		name:   "region cut",
		inject: func(c *cluster, _ string) string { c.netFaults.setRegionsCut(true); return "" },
		awaitEffect: func(c *cluster, _ string) {
			c.waitUntil("instances list none of the other region", func() bool { return !c.seesOtherRegion() })
		},
		remove: func(c *cluster, _ string) { c.netFaults.setRegionsCut(false) },
	},
	{
		// The instance list shows the address of a dead instance instead of that of its replacement.
		name:   "stale list",
		inject: func(c *cluster, _ string) string { c.list.Freeze(true); return "" },
		awaitEffect: func(c *cluster, _ string) {
			victim := c.liveOrOther("b")
			c.kill(victim)
			c.startMember(victim, c.zoneOf(victim))
			c.awaitMembership()
		},
		remove: func(c *cluster, _ string) { c.list.Freeze(false) },
	},
	{name: "racing operators", inject: noInject, awaitEffect: func(c *cluster, _ string) { c.publishRacingNotes() }, remove: noRemove},
	{
		name: "all replaced",
		inject: func(c *cluster, _ string) string {
			for _, m := range c.live() {
				c.kill(m.id)
			}
			return ""
		},
		awaitEffect: func(c *cluster, _ string) {
			c.startIfNoneLive()
			c.awaitMembership()
		},
		remove: noRemove,
	},
	{
		name:        "silent connections",
		inject:      func(c *cluster, _ string) string { c.net.Silence(); return "" },
		awaitEffect: func(c *cluster, _ string) { c.publishNote(c.newServiceNote("while-silent")) },
		remove:      noRemove,
	},
}

// loseNextAppendAnswer makes the log drop the answer to one more append.
func (c *cluster) loseNextAppendAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostAppendAnswers++
	c.log.LoseAnswers(c.lostAppendAnswers)
}

// startIfNoneLive starts three new instances if none is live.
func (c *cluster) startIfNoneLive() {
	if len(c.live()) > 0 {
		return
	}
	c.startMember("r", almaty)
	c.startMember("s", almaty)
	c.startMember("t", shymkent)
}

// holdsDuty reports whether, according to the log, an instance holds the lease of any duty.
func (c *cluster) holdsDuty(id string) bool {
	leases := c.logState().Leases
	return slices.ContainsFunc(leases.Duties(), func(duty string) bool {
		l, _ := leases.Get(duty)
		return l.Holder.ID == id && !l.Released
	})
}

// liveOrOther returns id if that instance runs, else the id of a live one if there is one.
func (c *cluster) liveOrOther(id string) string {
	c.mu.Lock()
	isRunning := slices.ContainsFunc(c.members, func(m *member) bool { return m.id == id && !m.killed })
	c.mu.Unlock()
	if live := c.live(); !isRunning && len(live) > 0 {
		return live[0].id
	}
	return id
}

// outageVisible reports whether the status of any live instance shows that the log is unreachable or
// that the instance is not ready. An instance that is not ready must state what it waits for.
func (c *cluster) outageVisible() bool {
	return slices.ContainsFunc(c.live(), func(m *member) bool {
		status, err := operator.NewClient(m.instance.AdminAddr()).Status(c.t.Context())
		if err == nil && !status.Ready && status.WaitingFor == "" {
			c.report("instance %s is not ready and does not state what it waits for", m.id)
		}
		return err == nil && (!status.LogReachable || !status.Ready)
	})
}

// readyCount returns the number of live instances that are ready.
func (c *cluster) readyCount() int {
	return len(slices.DeleteFunc(c.live(), func(m *member) bool { return !c.status(m).Ready }))
}

// seesOtherRegion reports whether any live instance lists an instance of the other region.
func (c *cluster) seesOtherRegion() bool {
	for _, m := range c.live() {
		home := c.zoneOf(m.id)
		for _, peer := range m.instance.LiveInstances() {
			if peer.Zone != home {
				return true
			}
		}
	}
	return false
}

// publishRacingNotes publishes conflicting notes concurrently and, beside them, one note twice. Exactly
// one of the conflicting notes, the first in the log, must be accepted.
func (c *cluster) publishRacingNotes() {
	base := c.logState().Catalog.Revision()
	results := make([]release.Verdict, 4)
	var group conc.WaitGroup
	for n := range results {
		group.Go(func() {
			desk := c.plainService("desk")
			desk.QueueLimit = n + 1
			results[n] = c.publishNote(c.newNote(fmt.Sprintf("%s%d", racePrefix, n), base, func(r *release.Note) {
				r.Changed = []contract.Service{desk}
			}))
		})
	}
	var twice [2]release.Verdict
	for n := range twice {
		group.Go(func() { twice[n] = c.publishNote(c.newServiceNote("twice")) })
	}
	group.Wait()
	if !twice[0].Accepted || twice[0] != twice[1] {
		c.report("one note published twice has the verdicts %+v", twice)
	}
	accepted := 0
	for _, v := range results {
		if v.Accepted {
			accepted++
		} else if v.Code != release.Conflict {
			c.report("a racing note was refused as %s, want %s", v.Code, release.Conflict)
		}
	}
	if accepted != 1 {
		c.report("%d of the racing notes were accepted, want 1", accepted)
	}
}

// notApplicable returns why a fault cannot occur at a step, or an empty string if it can.
func notApplicable(step string, f fault) string {
	if f.name == "answer lost" && slices.Contains([]string{"apply", "spread", "expire", "boot", "join"}, step) {
		return "nothing is appended at this step, so there is no answer to lose; the steps that append lose theirs"
	}
	return ""
}
