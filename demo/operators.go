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

// Intervals, limits and names used by the operators.
const (
	publishInterval      = 700 * time.Millisecond
	publishRetryInterval = 300 * time.Millisecond
	inForcePollInterval  = 100 * time.Millisecond
	inForceTarget        = 8 * time.Second
	raceDuration         = time.Second
	operatorCount        = 2
	menuPrefix           = "menu-"
)

// menuService returns a service that operators change all the time. Its queue limit is the number
// of the change, so that the services of an instance show which change it has applied.
func menuService(i int, value int, backend machine.Backend) contract.Service {
	name := fmt.Sprintf("%s%d", menuPrefix, i)
	backend.ID, backend.Service = name+"-1", name
	return contract.Service{
		Name: name, Kind: machine.Plain, QueueLimit: value, Backends: []machine.Backend{backend},
		Calls: []contract.Call{{Name: callList, Idempotent: true, Priority: contract.Staff}},
	}
}

// operators publishes release notes and checks on which instances they are in force.
type operators struct {
	cluster *cluster
	backend machine.Backend

	mu            sync.Mutex
	lastValue     int // number of the last change
	report        Notes
	inForceDelays *hdrhistogram.Histogram  // microseconds from acceptance until a note is in force everywhere
	revisions     map[string]map[int]int64 // by object and queue limit
	highestSeen   map[string]int64         // highest revision seen by instance, incarnation and object
	pending       []*acceptedNote
	// inForceEverywhere is the highest revision of each object that was in force on all running
	// instances.
	inForceEverywhere map[string]int64
	reported          map[string]bool // same keys as highestSeen; true if broken has an entry already
	broken            []string
	late              []string // notes that were in force later than inForceTarget
	// delayEnd returns the end of the last fault that may have delayed a note accepted at t.
	delayEnd func(t time.Time) time.Time
}

// acceptedNote is a note that has been accepted and is not yet in force everywhere.
type acceptedNote struct {
	id, object string
	revision   int64
	acceptedAt time.Time
}

func newOperators(c *cluster, delayEnd func(time.Time) time.Time) *operators {
	o := &operators{
		cluster: c, backend: c.standIns.backends[c.deployment.bookingService][0], lastValue: 1, inForceDelays: hdrhistogram.New(1, time.Hour.Microseconds(), 3),
		revisions: map[string]map[int]int64{}, highestSeen: map[string]int64{}, delayEnd: delayEnd,
		inForceEverywhere: map[string]int64{}, reported: map[string]bool{},
	}
	o.report.Refusals = map[string]int64{}
	for i := range menuServiceCount {
		o.revisions[fmt.Sprintf("%s%d", menuPrefix, i)] = map[int]int64{}
	}
	return o
}

// publishContracts publishes the first release note, with all contracts, and waits until it is in
// force everywhere.
func (o *operators) publishContracts(ctx context.Context) error {
	note := &release.Note{ID: "deployment", Author: "demo", Added: o.cluster.deployment.contracts(o.cluster.standIns.backends)}
	v, err := o.publish(ctx, rand.New(rand.NewPCG(o.cluster.opts.Seed, 10)), note)
	if err != nil {
		return &StartError{Component: "first release note", Err: err}
	}
	if !v.Accepted {
		return &StartError{Component: "first release note", Err: fmt.Errorf("%s %s: %s", v.Code, v.Object, v.Message)}
	}
	for i := range menuServiceCount {
		o.revisions[fmt.Sprintf("%s%d", menuPrefix, i)][1] = v.Revision
	}
	ctx, cancel := context.WithTimeout(ctx, bootTimeout)
	defer cancel()
	everywhere := func() bool {
		for _, m := range o.cluster.members {
			if got, err := o.cluster.api.services(ctx, m.adminAddr); err != nil || len(got) < len(note.Added) {
				return false
			}
		}
		return true
	}
	if !waitUntil(ctx, inForcePollInterval, everywhere) {
		return &StartError{Component: "first release note", Err: fmt.Errorf("not in force everywhere within %s", bootTimeout)}
	}
	return nil
}

// run publishes release notes and checks where they are in force until ctx ends.
func (o *operators) run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for k := range operatorCount {
		rng := rand.New(rand.NewPCG(o.cluster.opts.Seed, uint64(20+k)))
		wg.Go(func() {
			for timing.Sleep(ctx, time.Duration((0.5+rng.Float64())*float64(publishInterval))) {
				o.change(ctx, rng, rng.IntN(menuServiceCount), -1)
			}
		})
	}
	wg.Go(func() {
		for timing.Sleep(ctx, inForcePollInterval) {
			o.checkInForce(ctx)
		}
	})
}

// change publishes a change of one menu service and reports whether it was accepted. If base is
// negative, the change is based on the catalog revision of a random instance.
func (o *operators) change(ctx context.Context, rng *rand.Rand, object int, base int64) bool {
	if base < 0 {
		m := o.cluster.pickMember(rng, nil)
		if m == nil {
			return false
		}
		st, err := o.cluster.api.status(ctx, m.adminAddr)
		if err != nil {
			return false
		}
		base = st.CatalogRevision
	}
	o.mu.Lock()
	o.lastValue++
	value := o.lastValue
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
		o.revisions[svc.Name][value] = v.Revision
		o.pending = append(o.pending, &acceptedNote{id: note.ID, object: svc.Name, revision: v.Revision, acceptedAt: time.Now()})
		return true
	default:
		o.report.Refusals[string(v.Code)]++
	}
	return false
}

// publish sends the note, always under the same id, until there is a verdict, an instance rejects
// the request or ctx ends.
func (o *operators) publish(ctx context.Context, rng *rand.Rand, note *release.Note) (release.Verdict, error) {
	var last error = context.DeadlineExceeded
	for {
		if m := o.cluster.pickMember(rng, nil); m != nil {
			v, err := o.cluster.api.publish(ctx, m.adminAddr, note)
			if err == nil {
				return v, nil
			}
			last = err
			if refused, ok := err.(*apiError); ok && refused.Status < 500 {
				return v, err
			}
		}
		if !timing.Sleep(ctx, publishRetryInterval) {
			return release.Verdict{}, last
		}
	}
}

// race makes two operators change the same object from the same base at the same time. At most one
// of the changes may be accepted.
func (o *operators) race(ctx context.Context, seed uint64) {
	until := time.Now().Add(raceDuration)
	rng := rand.New(rand.NewPCG(seed, 30))
	for time.Now().Before(until) && ctx.Err() == nil {
		m := o.cluster.pickMember(rng, nil)
		if m == nil {
			return
		}
		st, err := o.cluster.api.status(ctx, m.adminAddr)
		if err != nil {
			continue
		}
		object := rng.IntN(menuServiceCount)
		var accepted [2]bool
		var wg conc.WaitGroup
		for k := range accepted {
			operatorRNG := rand.New(rand.NewPCG(rng.Uint64(), 31))
			wg.Go(func() { accepted[k] = o.change(ctx, operatorRNG, object, st.CatalogRevision) })
		}
		wg.Wait()
		if accepted[0] && accepted[1] {
			o.mu.Lock()
			o.broken = append(o.broken, fmt.Sprintf("two notes that change menu-%d from base %d were both accepted", object, st.CatalogRevision))
			o.mu.Unlock()
		}
	}
}

// checkInForce reads from every running instance which changes it has in force and compares them
// with earlier readings.
func (o *operators) checkInForce(ctx context.Context) {
	type view struct {
		m   *member
		key string
		got map[string]int
	}
	views := make([]view, len(o.cluster.members))
	var wg conc.WaitGroup
	for i, m := range o.cluster.members {
		wg.Go(func() {
			m.mu.Lock()
			key, up := fmt.Sprintf("%s#%d", m.id, m.incarnation), m.state == running && m.ready
			m.mu.Unlock()
			if !up {
				return
			}
			services, err := o.cluster.api.services(ctx, m.adminAddr)
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
	lowest, unresolved := map[string]int64{}, map[string]bool{}
	complete := true
	for i, v := range views {
		if v.m == nil {
			complete = complete && !o.cluster.members[i].hasState(running)
			continue
		}
		for object, revisions := range o.revisions {
			value, shown := v.got[object]
			rev, known := revisions[value]
			if shown && !known { // accepted, but the verdict has not arrived yet
				unresolved[object] = true
				continue
			}
			o.checkNotReverted(v.m.id, v.key, object, rev)
			if low, ok := lowest[object]; !ok || rev < low {
				lowest[object] = rev
			}
		}
	}
	if complete {
		for object := range unresolved {
			delete(lowest, object)
		}
		o.recordInForce(lowest)
	}
}

// checkNotReverted checks that an instance never shows a lower revision than it did before, and
// that a ready instance, also one that has just started, shows at least what was in force
// everywhere. Revision 0 stands for a missing object.
func (o *operators) checkNotReverted(id, key, object string, rev int64) {
	key += object
	required := max(o.highestSeen[key], o.inForceEverywhere[object])
	if rev < required {
		o.report.Reverted++
		if !o.reported[key] {
			o.reported[key] = true
			o.broken = append(o.broken, fmt.Sprintf("%s was ready and showed %s at revision %d after %d was in force", id, object, rev, required))
		}
	}
	o.highestSeen[key] = max(o.highestSeen[key], rev)
}

// recordInForce records the notes that are in force on every running instance. lowest is the lowest
// revision that any of them shows, by object.
func (o *operators) recordInForce(lowest map[string]int64) {
	for object, low := range lowest {
		o.inForceEverywhere[object] = max(o.inForceEverywhere[object], low)
	}
	kept := o.pending[:0]
	for _, n := range o.pending {
		low, ok := lowest[n.object]
		if !ok || low < n.revision {
			kept = append(kept, n)
			continue
		}
		_ = o.inForceDelays.RecordValue(time.Since(n.acceptedAt).Microseconds())
		o.checkInForceTarget(n, time.Now())
	}
	o.pending = kept
}

// checkInForceTarget checks that a note came into force within inForceTarget, counted from its
// acceptance or from the end of a fault that may have delayed it, whichever is later.
func (o *operators) checkInForceTarget(n *acceptedNote, at time.Time) {
	from := n.acceptedAt
	if end := o.delayEnd(n.acceptedAt); end.After(from) {
		from = end
	}
	if at.Sub(from) > inForceTarget {
		o.late = append(o.late, fmt.Sprintf("note %s was not in force everywhere %.1f s after its acceptance", n.id, at.Sub(n.acceptedAt).Seconds()))
	}
}

// result checks the notes that are still pending and returns the counts, the broken promises, and the notes
// that came into force late.
func (o *operators) result() (counts Notes, broken, late []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range o.pending {
		o.checkInForceTarget(n, time.Now())
	}
	out := o.report
	out.Pending = int64(len(o.pending))
	out.InForceP99S = float64(o.inForceDelays.ValueAtQuantile(99)) / 1e6
	return out, o.broken, o.late
}
