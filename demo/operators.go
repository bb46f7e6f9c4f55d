package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/release"
	"github.com/cicadasill/cicadasill/timing"
)

// Times of the operators.
const (
	publishEvery   = 700 * time.Millisecond
	publishRetry   = 300 * time.Millisecond
	inForceEvery   = 100 * time.Millisecond
	inForceTarget  = 8 * time.Second
	raceFor        = time.Second
	operatorsCount = 2
	menuPrefix     = "menu-"
)

// menuService is a service that operators change all the time; its queue limit is the value
// by which an instance shows which change it has applied.
func menuService(i int, value int, backend machine.Backend) contract.Service {
	name := fmt.Sprintf("%s%d", menuPrefix, i)
	backend.ID, backend.Service = name+"-1", name
	return contract.Service{
		Name: name, Kind: machine.Plain, QueueLimit: value, Backends: []machine.Backend{backend},
		Calls: []contract.Call{{Name: callList, Idempotent: true, Priority: contract.Staff}},
	}
}

// operators publish notes and watch on which instances they are in force.
type operators struct {
	c       *cluster
	backend machine.Backend

	mu       sync.Mutex
	next     int
	report   Notes
	hist     *hdrhistogram.Histogram // microseconds until a note is in force everywhere
	revision map[string]map[int]int64
	seen     map[string]int64 // highest revision seen by instance, incarnation and object
	pending  []*acceptedNote
	// everywhere is the revision of each object that was in force on all running instances.
	everywhere map[string]int64
	told       map[string]bool // instances and objects that are in broken already
	broken     []string
	// delayed returns the end of the last fault since t that may delay a note.
	delayed func(t time.Time) time.Time
}

type acceptedNote struct {
	id, object string
	revision   int64
	at         time.Time
}

func newOperators(c *cluster, delayed func(time.Time) time.Time) *operators {
	o := &operators{
		c: c, backend: c.st.backends[c.d.desk][0], next: 1, hist: hdrhistogram.New(1, time.Hour.Microseconds(), 3),
		revision: map[string]map[int]int64{}, seen: map[string]int64{}, delayed: delayed,
		everywhere: map[string]int64{}, told: map[string]bool{},
	}
	o.report.Refusals = map[string]int64{}
	for i := range menuServices {
		o.revision[fmt.Sprintf("%s%d", menuPrefix, i)] = map[int]int64{}
	}
	return o
}

// found publishes the first note with all contracts and waits until it is in force everywhere.
func (o *operators) found(ctx context.Context) error {
	note := &release.Note{ID: "deployment", Author: "demo", Added: o.c.d.contracts(o.c.st.backends)}
	v, err := o.publish(ctx, rand.New(rand.NewPCG(o.c.opts.Seed, 10)), note)
	if err != nil {
		return &StartError{What: "first release note", Err: err}
	}
	if !v.Accepted {
		return &StartError{What: "first release note", Err: fmt.Errorf("%s %s: %s", v.Code, v.Object, v.Message)}
	}
	for i := range menuServices {
		o.revision[fmt.Sprintf("%s%d", menuPrefix, i)][1] = v.Revision
	}
	ctx, cancel := context.WithTimeout(ctx, bootTimeout)
	defer cancel()
	everywhere := func() bool {
		for _, m := range o.c.members {
			if got, err := o.c.api.services(ctx, m.admin); err != nil || len(got) < len(note.Added) {
				return false
			}
		}
		return true
	}
	if !waitUntil(ctx, inForceEvery, everywhere) {
		return &StartError{What: "first release note", Err: fmt.Errorf("not in force everywhere within %s", bootTimeout)}
	}
	return nil
}

// run publishes notes until ctx ends.
func (o *operators) run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for k := range operatorsCount {
		rng := rand.New(rand.NewPCG(o.c.opts.Seed, uint64(20+k)))
		wg.Go(func() {
			for timing.Sleep(ctx, time.Duration((0.5+rng.Float64())*float64(publishEvery))) {
				o.change(ctx, rng, rng.IntN(menuServices), -1)
			}
		})
	}
	wg.Go(func() {
		for timing.Sleep(ctx, inForceEvery) {
			o.watch(ctx)
		}
	})
}

// change publishes a change of one menu service. base < 0 means the instance's revision.
func (o *operators) change(ctx context.Context, rng *rand.Rand, object int, base int64) bool {
	if base < 0 {
		m := o.c.pickMember(rng, nil)
		if m == nil {
			return false
		}
		st, err := o.c.api.status(ctx, m.admin)
		if err != nil {
			return false
		}
		base = st.CatalogRevision
	}
	o.mu.Lock()
	o.next++
	value := o.next
	o.report.Published++
	o.mu.Unlock()
	svc := menuService(object, value, o.backend)
	note := &release.Note{ID: fmt.Sprintf("demo-%d", value), Author: "demo", Base: base, Changed: []contract.Service{svc}}
	v, err := o.publish(ctx, rng, note)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err != nil:
		o.report.Refusals["no_verdict"]++
	case v.Accepted:
		o.report.Accepted++
		o.revision[svc.Name][value] = v.Revision
		o.pending = append(o.pending, &acceptedNote{id: note.ID, object: svc.Name, revision: v.Revision, at: time.Now()})
		return true
	default:
		o.report.Refusals[string(v.Code)]++
	}
	return false
}

// publish repeats the note under its id until there is a verdict or ctx ends.
func (o *operators) publish(ctx context.Context, rng *rand.Rand, note *release.Note) (release.Verdict, error) {
	var last error = context.DeadlineExceeded
	for {
		if m := o.c.pickMember(rng, nil); m != nil {
			v, err := o.c.api.publish(ctx, m.admin, note)
			if err == nil {
				return v, nil
			}
			last = err
			if refused, ok := err.(*apiError); ok && refused.Status < 500 {
				return v, err
			}
		}
		if !timing.Sleep(ctx, publishRetry) {
			return release.Verdict{}, last
		}
	}
}

// race lets two operators change the same object from the same base at the same time. At most
// one of them may be accepted.
func (o *operators) race(ctx context.Context, seed uint64) {
	until := time.Now().Add(raceFor)
	rng := rand.New(rand.NewPCG(seed, 30))
	for time.Now().Before(until) && ctx.Err() == nil {
		m := o.c.pickMember(rng, nil)
		if m == nil {
			return
		}
		st, err := o.c.api.status(ctx, m.admin)
		if err != nil {
			continue
		}
		object := rng.IntN(menuServices)
		var accepted [2]bool
		var wg conc.WaitGroup
		for k := range accepted {
			own := rand.New(rand.NewPCG(rng.Uint64(), 31))
			wg.Go(func() { accepted[k] = o.change(ctx, own, object, st.CatalogRevision) })
		}
		wg.Wait()
		if accepted[0] && accepted[1] {
			o.mu.Lock()
			o.broken = append(o.broken, fmt.Sprintf("two notes that change menu-%d from base %d were both accepted", object, st.CatalogRevision))
			o.mu.Unlock()
		}
	}
}

// watch asks every running instance what it has in force.
func (o *operators) watch(ctx context.Context) {
	type view struct {
		m   *member
		key string
		got map[string]int
	}
	views := make([]view, len(o.c.members))
	var wg conc.WaitGroup
	for i, m := range o.c.members {
		wg.Go(func() {
			m.mu.Lock()
			key, up := fmt.Sprintf("%s#%d", m.id, m.incarnation), m.state == running && m.ready
			m.mu.Unlock()
			if !up {
				return
			}
			services, err := o.c.api.services(ctx, m.admin)
			if err != nil {
				return
			}
			got := map[string]int{}
			for _, s := range services {
				if strings.HasPrefix(s.Name, menuPrefix) {
					got[s.Name] = s.QueueLimit
				}
			}
			views[i] = view{m: m, key: key, got: got}
		})
	}
	wg.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	lowest, skip := map[string]int64{}, map[string]bool{}
	complete := true
	for i, v := range views {
		if v.m == nil {
			complete = complete && !o.c.members[i].is(running)
			continue
		}
		for object, revisions := range o.revision {
			value, shown := v.got[object]
			rev, known := revisions[value]
			if shown && !known { // accepted, but the verdict has not been read yet
				skip[object] = true
				continue
			}
			o.compare(v.m.id, v.key, object, rev)
			if low, ok := lowest[object]; !ok || rev < low {
				lowest[object] = rev
			}
		}
	}
	if complete {
		for object := range skip {
			delete(lowest, object)
		}
		o.settle(lowest)
	}
}

// compare checks that an instance never shows less than it did before, and that a ready
// instance, also one that has just started, shows what was in force everywhere. Revision 0
// stands for an object that is missing.
func (o *operators) compare(id, key, object string, rev int64) {
	key += object
	before := max(o.seen[key], o.everywhere[object])
	if rev < before {
		o.report.Reverted++
		if !o.told[key] {
			o.told[key] = true
			o.broken = append(o.broken, fmt.Sprintf("%s was ready and showed %s at revision %d after %d was in force", id, object, rev, before))
		}
	}
	o.seen[key] = max(o.seen[key], rev)
}

// settle records the notes that are in force on every running instance.
func (o *operators) settle(lowest map[string]int64) {
	for object, low := range lowest {
		o.everywhere[object] = max(o.everywhere[object], low)
	}
	kept := o.pending[:0]
	for _, n := range o.pending {
		low, ok := lowest[n.object]
		if !ok || low < n.revision {
			kept = append(kept, n)
			continue
		}
		_ = o.hist.RecordValue(time.Since(n.at).Microseconds())
		o.judge(n, time.Now())
	}
	o.pending = kept
}

// judge checks the target, counted from the end of a fault that may have delayed the note.
func (o *operators) judge(n *acceptedNote, at time.Time) {
	from := n.at
	if end := o.delayed(n.at); end.After(from) {
		from = end
	}
	if at.Sub(from) > inForceTarget {
		o.broken = append(o.broken, fmt.Sprintf("note %s was not in force everywhere %.1f s after its acceptance", n.id, at.Sub(n.at).Seconds()))
	}
}

// result returns the report and the broken promises.
func (o *operators) result() (Notes, []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range o.pending {
		o.judge(n, time.Now())
	}
	out := o.report
	out.Pending = int64(len(o.pending))
	out.InForceP99S = float64(o.hist.ValueAtQuantile(99)) / 1e6
	return out, o.broken
}
