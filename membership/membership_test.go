package membership_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/membership"
)

// startThree starts the members a, b and c and waits until each sees the others.
func startThree(t *testing.T, f *fabric, opts membership.Options) (a, b, c *instance) {
	a, b, c = f.start(t, "a", 1, "", opts), f.start(t, "b", 1, "", opts), f.start(t, "c", 1, "", opts)
	for _, i := range []*instance{a, b, c} {
		eventually(t, i.Self().ID+" sees 3", i.hasLive(3))
	}
	return a, b, c
}

// Guards against a dead instance that remains in the view or returns to it because a stale instance
// list still contains it.
func TestDeathIsDetectedDespiteStaleList(t *testing.T) {
	is := is.New(t)
	f := newFabric()
	a, b, c := startThree(t, f, fastOptions())
	c.stop() // the instance list still contains c
	eventually(t, "a drops c", a.hasLive(2))
	eventually(t, "b drops c", b.hasLive(2))
	_, ok := a.Lookup(c.Self().Ref())
	is.True(!ok)
	f.mu.Lock()
	f.listFails = true
	f.mu.Unlock()
	probes := a.count("member_probes_total", "direct")
	eventually(t, "more probes", func() bool { return a.count("member_probes_total", "direct") > probes+20 })
	is.Equal(len(a.Live()), 2) // neither a stale nor a failing instance list changes the view
}

// Guards against a live instance being declared dead because probes to it were lost: a refutation
// must end the suspicion.
func TestFalseSuspicionIsRefuted(t *testing.T) {
	is := is.New(t)
	f := newFabric()
	opts := fastOptions()
	opts.SuspicionTimeout = time.Minute
	a, b, c := startThree(t, f, opts)
	f.Cut(func(_, y string) bool { return y == "c" })
	eventually(t, "a suspects c", func() bool { return a.count("member_transitions_total", "SUSPECT") > 0 })
	f.Heal()
	eventually(t, "c refutes", func() bool { return c.count("member_refutations_total", "") > 0 })
	_, ok := a.Lookup(c.Self().Ref())
	is.True(ok)
	is.Equal(a.count("member_transitions_total", "DEAD")+b.count("member_transitions_total", "DEAD"), 0.0)
}

// Guards against confusing a new run of an instance with the run it replaced, and against an old run
// that reappears in the view.
func TestReplacementAtTheSameAddress(t *testing.T) {
	is := is.New(t)
	f := newFabric()
	a, b, _ := startThree(t, f, fastOptions())
	b.stop()
	b2 := f.start(t, "b", 2, b.Self().PeerAddr, fastOptions())
	eventually(t, "a sees the new run", func() bool { _, ok := a.Lookup(b2.Self().Ref()); return ok })
	_, ok := a.Lookup(b.Self().Ref())
	is.True(!ok)
	old := f.start(t, "b", 1, "", fastOptions()) // the old run resumes at another address
	eventually(t, "the old run learns that it was replaced", func() bool {
		select {
		case <-old.Superseded():
			return true
		default:
			return false
		}
	})
	_, ok = a.Lookup(old.Self().Ref())
	is.True(!ok)
	_, ok = a.Lookup(b2.Self().Ref())
	is.True(ok)
}

// Guards against a replaced run that learns of its replacement only from an exchange of tables: if that
// call fails, no probe carried the update, because its subject is the receiver. The replaced run is at an
// address of its own, so that no peer answers it with WrongPeer.
func TestProbesTellReplacedRun(t *testing.T) {
	f := newFabric()
	a, b, _ := startThree(t, f, fastOptions())
	b.stop()
	b2 := f.start(t, "b", 2, b.Self().PeerAddr, fastOptions())
	eventually(t, "a sees the new run", func() bool { _, ok := a.Lookup(b2.Self().Ref()); return ok })
	opts := fastOptions()
	opts.IndirectTimeout = time.Nanosecond // no exchange of tables succeeds
	old := f.start(t, "b", 1, "", opts)
	eventually(t, "the old run learns that it was replaced", func() bool {
		select {
		case <-old.Superseded():
			return true
		default:
			return false
		}
	})
}

// Guards against a connection failure between two members that gets one of them declared dead
// although the third can reach it.
func TestIndirectProbesCoverCutBetweenTwoMembers(t *testing.T) {
	is := is.New(t)
	f := newFabric()
	a, b, c := startThree(t, f, fastOptions())
	f.Cut(func(x, y string) bool { return x == "a" && y == "b" })
	eventually(t, "indirect probes", func() bool { return a.count("member_probes_total", "indirect") >= 5 })
	for _, i := range []*instance{a, b, c} {
		is.Equal(i.count("member_transitions_total", "DEAD"), 0.0)
		is.Equal(len(i.Live()), 3)
	}
}

// Guards against a partition that persists after the network has healed because each side considers
// the other dead.
func TestPartitionHeals(t *testing.T) {
	f := newFabric()
	a, b, c := startThree(t, f, fastOptions())
	d := f.start(t, "d", 1, "", fastOptions())
	eventually(t, "a sees 4", a.hasLive(4))
	f.Cut(func(x, y string) bool { return (x == "a" || x == "b") && (y == "c" || y == "d") })
	for _, i := range []*instance{a, b, c, d} {
		eventually(t, i.Self().ID+" sees only its own side", i.hasLive(2))
	}
	f.Heal()
	for _, i := range []*instance{a, b, c, d} {
		eventually(t, i.Self().ID+" sees all again", i.hasLive(4))
	}
}

// Guards against a planned stop that peers detect only through missed probes, and against reports of
// leaving back ends that do not reach other instances.
func TestLeaveAndLeavingBackends(t *testing.T) {
	is := is.New(t)
	opts := fastOptions()
	opts.SuspicionTimeout = time.Minute
	f := newFabric()
	a, b, c := startThree(t, f, opts)
	b.ReportLeaving("fry-1")
	eventually(t, "a knows of the back end", func() bool { return len(a.LeavingBackends()) == 1 && len(c.LeavingBackends()) == 1 })
	changed := a.Changed()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	is.NoErr(b.Leave(ctx))
	<-changed
	is.Equal(len(a.Live()), 2)
	is.Equal(len(c.Live()), 2)
	is.Equal(a.count("member_transitions_total", "SUSPECT"), 0.0)
}

// Guards against a process pause that is not reported to every subscriber. The pause limit is so short
// that every tick exceeds it.
func TestPauseIsReportedToEverySubscriber(t *testing.T) {
	opts := fastOptions()
	opts.PauseLimit = time.Microsecond
	a := newFabric().start(t, "a", 1, "", opts)
	for _, ch := range []<-chan time.Duration{a.Paused(), a.Paused()} {
		if gap := <-ch; gap < opts.PauseLimit {
			t.Fatalf("reported a pause of %s", gap)
		}
	}
}

// Guards against keys that move between surviving members when another member dies.
func TestOwnerMovesOnlyKeysOfDeadMember(t *testing.T) {
	is := is.New(t)
	f := newFabric()
	a, _, c := startThree(t, f, fastOptions())
	before := a.Live()
	c.stop()
	eventually(t, "a drops c", a.hasLive(2))
	counts := map[string]int{}
	for k := range 300 {
		key := fmt.Sprint("key-", k)
		previous := membership.Owner(key, before).ID
		counts[previous]++
		if previous != "c" {
			is.Equal(membership.Owner(key, a.Live()).ID, previous)
		}
	}
	is.Equal(len(counts), 3)
}

// BenchmarkBytesPerNode measures the bytes sent per second and instance, and how long a leaving
// back end and a death take to reach all members.
func BenchmarkBytesPerNode(b *testing.B) {
	for _, n := range []int{3, 9, 27} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFabric()
			var all []*instance
			for i := range n {
				all = append(all, f.start(b, fmt.Sprintf("m%02d", i), 1, "", membership.Options{Seed: testSeed}))
			}
			for _, i := range all {
				eventually(b, "all joined", i.hasLive(n))
			}
			const seconds = 20
			time.Sleep(seconds * time.Second) // until the updates about the joins have been propagated
			before := bytesSent(all)
			for range b.N {
				time.Sleep(seconds * time.Second)
			}
			b.ReportMetric(float64(bytesSent(all)-before)/float64(n*seconds*b.N), "B_sent/s/node")
			start := time.Now()
			all[0].ReportLeaving("fry-1")
			for _, i := range all {
				eventually(b, "all know", func() bool { return len(i.LeavingBackends()) == 1 })
			}
			b.ReportMetric(time.Since(start).Seconds(), "s_leaving_known")
			start = time.Now()
			all[0].stop()
			for _, i := range all[1:] {
				eventually(b, "all drop the dead", i.hasLive(n-1))
			}
			b.ReportMetric(time.Since(start).Seconds(), "s_death_known")
		})
	}
}

func bytesSent(all []*instance) (total int64) {
	for _, i := range all {
		for _, l := range i.node.Bytes() {
			total += l.Sent
		}
	}
	return total
}
