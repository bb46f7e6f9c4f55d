package membership_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/membership"
)

func three(t *testing.T, f *fabric, opts membership.Options) (a, b, c *instance) {
	a, b, c = f.start(t, "a", 1, "", opts), f.start(t, "b", 1, "", opts), f.start(t, "c", 1, "", opts)
	for _, i := range []*instance{a, b, c} {
		eventually(t, i.Self().ID+" sees 3", i.sees(3))
	}
	return a, b, c
}

// Guards against a dead instance that stays in the view, and against a stale list that brings it back.
func TestDeathIsDetectedAgainstAStaleList(t *testing.T) {
	is := is.New(t)
	f := newFabric()
	a, b, c := three(t, f, fast())
	c.stop() // the list names it still
	eventually(t, "a drops c", a.sees(2))
	eventually(t, "b drops c", b.sees(2))
	_, ok := a.Lookup(c.Self().Ref())
	is.True(!ok)
	f.mu.Lock()
	f.fail = true
	f.mu.Unlock()
	probes := a.count("member_probes_total", "direct")
	eventually(t, "more probes", func() bool { return a.count("member_probes_total", "direct") > probes+20 })
	is.Equal(len(a.Live()), 2) // neither the stale nor the failing list changes the view
}

// Guards against a live instance declared dead because some probes to it were lost.
func TestFalseSuspicionIsRefuted(t *testing.T) {
	is := is.New(t)
	f := newFabric()
	opts := fast()
	opts.Suspicion = time.Minute
	a, b, c := three(t, f, opts)
	f.Cut(func(_, y string) bool { return y == "c" })
	eventually(t, "a suspects c", func() bool { return a.count("member_transitions_total", "SUSPECT") > 0 })
	f.Heal()
	eventually(t, "c refutes", func() bool { return c.count("member_refutations_total", "") > 0 })
	_, ok := a.Lookup(c.Self().Ref())
	is.True(ok)
	is.Equal(a.count("member_transitions_total", "DEAD")+b.count("member_transitions_total", "DEAD"), 0.0)
}

// Guards against a replacement taken for the run it replaced, and an old run that returns.
func TestReplacementAtTheSameAddress(t *testing.T) {
	is := is.New(t)
	f := newFabric()
	a, b, _ := three(t, f, fast())
	b.stop()
	b2 := f.start(t, "b", 2, b.Self().PeerAddr, fast())
	eventually(t, "a sees the new run", func() bool { _, ok := a.Lookup(b2.Self().Ref()); return ok })
	_, ok := a.Lookup(b.Self().Ref())
	is.True(!ok)
	old := f.start(t, "b", 1, "", fast()) // the old run wakes up at another address
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

// Guards against a cut between two members that makes one of them dead for all.
func TestCutBetweenTwoIsCoveredByIndirectProbes(t *testing.T) {
	is := is.New(t)
	f := newFabric()
	a, b, c := three(t, f, fast())
	f.Cut(func(x, y string) bool { return x == "a" && y == "b" })
	eventually(t, "indirect probes", func() bool { return a.count("member_probes_total", "indirect") >= 5 })
	for _, i := range []*instance{a, b, c} {
		is.Equal(i.count("member_transitions_total", "DEAD"), 0.0)
		is.Equal(len(i.Live()), 3)
	}
}

// Guards against sides that stay apart after a partition because each holds the other for dead.
func TestPartitionHeals(t *testing.T) {
	f := newFabric()
	a, b, c := three(t, f, fast())
	d := f.start(t, "d", 1, "", fast())
	eventually(t, "a sees 4", a.sees(4))
	f.Cut(func(x, y string) bool { return (x == "a" || x == "b") && (y == "c" || y == "d") })
	for _, i := range []*instance{a, b, c, d} {
		eventually(t, i.Self().ID+" is on a side of 2", i.sees(2))
	}
	f.Heal()
	for _, i := range []*instance{a, b, c, d} {
		eventually(t, i.Self().ID+" sees all again", i.sees(4))
	}
}

// Guards against a planned stop that peers find out only by missed probes, and leaving back ends
// that stay unknown elsewhere.
func TestLeaveAndLeavingBackends(t *testing.T) {
	is := is.New(t)
	opts := fast()
	opts.Suspicion = time.Minute
	f := newFabric()
	a, b, c := three(t, f, opts)
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

// Guards against a pause that nobody in the process learns of. Every tick exceeds the limit here.
func TestPauseIsReportedToEverySubscriber(t *testing.T) {
	opts := fast()
	opts.PauseLimit = time.Microsecond
	a := newFabric().start(t, "a", 1, "", opts)
	for _, ch := range []<-chan time.Duration{a.Paused(), a.Paused()} {
		if gap := <-ch; gap < opts.PauseLimit {
			t.Fatalf("reported a pause of %s", gap)
		}
	}
}

// Guards against keys that move between unaffected members when one of them dies.
func TestOwnerMovesOnlyTheKeysOfTheDead(t *testing.T) {
	is := is.New(t)
	f := newFabric()
	a, _, c := three(t, f, fast())
	before := a.Live()
	c.stop()
	eventually(t, "a drops c", a.sees(2))
	counts := map[string]int{}
	for k := range 300 {
		key := fmt.Sprint("key-", k)
		was := membership.Owner(key, before).ID
		counts[was]++
		if was != "c" {
			is.Equal(membership.Owner(key, a.Live()).ID, was)
		}
	}
	is.Equal(len(counts), 3)
}

func BenchmarkBytesPerNode(b *testing.B) {
	for _, n := range []int{3, 9, 27} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFabric()
			var all []*instance
			for i := range n {
				all = append(all, f.start(b, fmt.Sprintf("m%02d", i), 1, "", membership.Options{Seed: testSeed}))
			}
			for _, i := range all {
				eventually(b, "all joined", i.sees(n))
			}
			const seconds = 20
			time.Sleep(seconds * time.Second) // until the statements about the joins are spread
			before := sent(all)
			for range b.N {
				time.Sleep(seconds * time.Second)
			}
			b.ReportMetric(float64(sent(all)-before)/float64(n*seconds*b.N), "B_sent/s/node")
			start := time.Now()
			all[0].ReportLeaving("fry-1")
			for _, i := range all {
				eventually(b, "all know", func() bool { return len(i.LeavingBackends()) == 1 })
			}
			b.ReportMetric(time.Since(start).Seconds(), "s_leaving_known")
			start = time.Now()
			all[0].stop()
			for _, i := range all[1:] {
				eventually(b, "all drop the dead", i.sees(n-1))
			}
			b.ReportMetric(time.Since(start).Seconds(), "s_death_known")
		})
	}
}

func sent(all []*instance) (total int64) {
	for _, i := range all {
		for _, l := range i.node.Bytes() {
			total += l.Sent
		}
	}
	return total
}
