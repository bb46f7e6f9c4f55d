package job

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/balance"
	"github.com/cicadasill/cicadasill/timing"
)

// Weights of the cost by which an engine is chosen, where 1 is the cost of an engine whose slots are all
// taken, and thresholds of the choice.
const (
	// groupBonus keeps the items of a group at one engine, so that it reads their shared prompt once.
	groupBonus = 0.25
	// idleConnBonus favours an engine with an idle connection over one that needs a new connection.
	idleConnBonus = 0.5
	// remotePenalty is the cost of an engine in another data centre.
	remotePenalty = 0.05
	// delayPenaltyPerSecond is the cost of each second that the item is expected to run longer than at a
	// fast engine.
	delayPenaltyPerSecond = 0.5
	// slowRatio is the ratio of an engine's event interval to the median above which the engine gets
	// fewer items than it has slots.
	slowRatio = 1.8
	// minSlowDifference is the minimum difference between a slow engine's event interval and the median.
	// Smaller differences are noise.
	minSlowDifference = 10 * time.Millisecond
	// dispatchInterval bounds the time until an engine that is no longer avoided gets waiting items.
	dispatchInterval = 50 * time.Millisecond
	// dispatchDelay is the delay of a dispatch after a change of the engines.
	dispatchDelay = 5 * time.Millisecond
)

// engineRequest is an item's request for an engine, with its requirements.
type engineRequest struct {
	order      int64 // lower is served first
	service    string
	model      string
	group      string
	minVersion int64
	// exactVersion requires an engine with this weight version; 0 accepts all from minVersion on.
	exactVersion int64
	// resumes states that the item goes on with an output, which only engines with this software can do.
	resumes  bool
	software string
	// expected is the item's expected duration at a typical engine.
	expected time.Duration
	// excluded is an engine that must not be chosen unless no other candidate has the item's version: the one of the
	// last failed attempt, or the one that the item leaves.
	excluded *backends.Backend
	// idleConnUntil is the time until which the item accepts only an engine to which a connection is idle.
	idleConnUntil time.Time
	// eventIntervalBelow requires an engine with a known, shorter event interval; 0 accepts every engine.
	eventIntervalBelow time.Duration
	placed             chan *backends.Backend // receives the chosen engine
}

// acceptsAnyEngine reports whether r accepts every engine that serves its model from minVersion on.
func (r *engineRequest) acceptsAnyEngine() bool {
	return r.excluded == nil && r.eventIntervalBelow == 0 && r.exactVersion == 0 && !r.resumes
}

// accepts reports whether an engine can run the item, whatever its load.
func (r *engineRequest) accepts(c *backends.Candidate) bool {
	return r.acceptsVersion(c.Versions[r.model]) && (!r.resumes || c.Software == r.software)
}

// acceptsVersion reports whether an engine with the given version of the model's weights can run the item.
func (r *engineRequest) acceptsVersion(version int64) bool {
	return version >= r.minVersion && (r.exactVersion == 0 || version == r.exactVersion)
}

// requirement is what decides whether an engine suits a request, beside the engine's state.
type requirement struct {
	minVersion, exactVersion int64
	resumes                  bool
	software                 string
	excluded                 *backends.Backend
	eventIntervalBelow       time.Duration
	needsIdleConn            bool
}

// placer assigns engines to waiting items in their queue order. It gives an engine no more items
// at once than this instance's share of the engine's slots, which is at least one slot.
type placer struct {
	dir  *backends.Directory
	zone string
	// self is the id of this instance, by which it prefers one of equal engines; empty if it decides by their ids.
	self string
	// slotShare is the fraction of an engine's slots that this instance may use.
	slotShare float64

	mu       sync.Mutex                   // guards the fields below
	waiting  []*engineRequest             // sorted by order
	groups   map[string]*backends.Backend // last engine of each group
	searches int                          // of all engines for one request, counted for tests
	spells   map[string]*slowSpells       // by service

	// movesSpared counts the checks of an item at a slow engine that was expected to be fast again soon.
	movesSpared atomic.Int64
}

func newPlacer(dir *backends.Directory, zone string, slotShare float64) *placer {
	return &placer{dir: dir, zone: zone, slotShare: slotShare, groups: map[string]*backends.Backend{}, spells: map[string]*slowSpells{}}
}

// run dispatches waiting requests until ctx ends.
func (p *placer) run(ctx context.Context) {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		changed := p.dir.Changed()
		p.dispatch()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			// Several items of a step end at about the same time, and a dispatch reads all engines.
			timing.Sleep(ctx, dispatchDelay)
		case <-ticker.C:
		}
	}
}

// acquire waits until an engine has a free slot for the request. The caller must call End on the engine.
func (p *placer) acquire(ctx context.Context, req *engineRequest) (*backends.Backend, error) {
	p.enqueue(req)
	select {
	case b := <-req.placed:
		return b, nil
	case <-ctx.Done():
	}
	p.withdraw(req)
	return nil, ctx.Err()
}

// enqueue queues a request. The chosen engine is sent to req.placed.
func (p *placer) enqueue(req *engineRequest) {
	req.placed = make(chan *backends.Backend, 1)
	p.mu.Lock()
	i, _ := slices.BinarySearchFunc(p.waiting, req, func(a, b *engineRequest) int {
		if a.order <= b.order {
			return -1
		}
		return 1
	})
	p.waiting = slices.Insert(p.waiting, i, req)
	p.mu.Unlock()
	p.dispatch()
}

// withdraw removes a request from the queue and releases the engine if one was already assigned.
func (p *placer) withdraw(req *engineRequest) {
	p.mu.Lock()
	p.waiting = slices.DeleteFunc(p.waiting, func(other *engineRequest) bool { return other == req })
	p.mu.Unlock()
	select {
	case b := <-req.placed:
		b.End()
	default:
	}
}

// pool holds the engines of one service for one model while waiting requests are dispatched.
type pool struct {
	candidates []backends.Candidate
	// medianInterval and fastInterval are quantiles of the engines' event intervals.
	medianInterval, fastInterval time.Duration
	// full is the lowest minVersion for which no slot was free, noIdleConn the lowest one for which none was
	// free at an engine with an idle connection.
	full, noIdleConn int64
	// unmet holds the requirements for which no slot was free, because many requests share one that full does not tell about:
	// all those that the same engine has failed.
	unmet map[requirement]bool
	// spells tells how long slow engines are expected to stay slow.
	spells *slowSpells
	// self is the id of this instance.
	self string
}

func newPool(candidates []backends.Candidate) *pool {
	e := &pool{
		candidates: candidates, full: math.MaxInt64, noIdleConn: math.MaxInt64, unmet: map[requirement]bool{},
		medianInterval: eventIntervalQuantile(candidates, 0.5), fastInterval: eventIntervalQuantile(candidates, fastQuantile),
	}
	e.track(&slowSpells{})
	return e
}

// dispatch assigns engines with free slots to waiting requests, in queue order.
func (p *placer) dispatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	type key struct{ service, model string }
	pools := map[key]*pool{}
	now := time.Now()
	unplaced := p.waiting[:0]
	for _, req := range p.waiting {
		k := key{req.service, req.model}
		engines := pools[k]
		if engines == nil {
			engines = newPool(p.dir.Candidates(req.service, req.model))
			engines.self = p.self
			engines.track(p.spellsOf(req.service))
			pools[k] = engines
		}
		needsIdleConn := now.Before(req.idleConnUntil)
		if engines.full <= req.minVersion || (needsIdleConn && engines.noIdleConn <= req.minVersion) {
			unplaced = append(unplaced, req)
			continue
		}
		required := requirement{req.minVersion, req.exactVersion, req.resumes, req.software, req.excluded, req.eventIntervalBelow, needsIdleConn}
		if !req.acceptsAnyEngine() && engines.unmet[required] {
			unplaced = append(unplaced, req)
			continue
		}
		p.searches++
		best := engines.choose(req, p.groups[req.group], p.zone, p.slotShare, needsIdleConn)
		if best < 0 {
			switch {
			case !req.acceptsAnyEngine():
				engines.unmet[required] = true
			case needsIdleConn:
				engines.noIdleConn = req.minVersion
			default:
				engines.full = req.minVersion
			}
			unplaced = append(unplaced, req)
			continue
		}
		chosen := &engines.candidates[best]
		chosen.InFlight++
		chosen.Begin()
		if req.group != "" {
			p.groups[req.group] = chosen.Backend
		}
		req.placed <- chosen.Backend
	}
	clear(p.waiting[len(unplaced):])
	p.waiting = unplaced
}

// forgetGroups removes the last engine of each of the groups.
func (p *placer) forgetGroups(groups []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range groups {
		delete(p.groups, g)
	}
}

// choose returns the index of the candidate with the lowest cost for req, or -1 if no suitable engine has a
// free slot. groupEngine is the last engine of the request's group. needsIdleConn requires an engine to which
// a connection is idle.
func (e *pool) choose(req *engineRequest, groupEngine *backends.Backend, zone string, slotShare float64, needsIdleConn bool) int {
	candidates, medianInterval, fastInterval := e.candidates, e.medianInterval, e.fastInterval
	best, bestCost := -1, 0.0
	now := time.Now()
	hasOther := req.excluded != nil && slices.ContainsFunc(candidates, func(c backends.Candidate) bool {
		return c.Backend != req.excluded && req.accepts(&c)
	})
	for i, c := range candidates {
		if now.Before(c.ThrottledUntil) {
			continue
		}
		if c.RateLimited && req.eventIntervalBelow > 0 {
			continue // a move would use up a request that a waiting item needs
		}
		if c.Avoid || !req.accepts(&c) {
			continue
		}
		if (c.Backend == req.excluded && hasOther) || (needsIdleConn && c.InFlight >= c.OpenConns) {
			continue
		}
		if req.eventIntervalBelow > 0 && (c.EventInterval == 0 || c.EventInterval >= req.eventIntervalBelow) {
			continue
		}
		slots := max(1, float64(c.Slots)*slotShare)
		speed := e.speedOf(&c, now)
		slowdown := 1.0
		if speed.rest >= req.expected && isSlow(speed.interval, medianInterval) {
			slowdown = float64(speed.interval) / float64(medianInterval)
		}
		if float64(c.InFlight)+1 > max(1, slots/slowdown) {
			continue
		}
		cost := slowdown * float64(c.InFlight+1) / slots
		if fastInterval > 0 && speed.interval > fastInterval {
			cost += delayPenaltyPerSecond * balance.Delay(req.expected, speed.rest, float64(speed.interval)/float64(fastInterval)).Seconds()
		}
		if c.Zone != zone {
			cost += remotePenalty
		}
		if c.InFlight < c.OpenConns {
			cost -= idleConnBonus
		}
		if c.Backend == groupEngine {
			cost -= groupBonus
		}
		if best < 0 || cost < bestCost || (cost == bestCost && balance.Prefers(e.self, c.ID, candidates[best].ID)) {
			best, bestCost = i, cost
		}
	}
	return best
}

// fastQuantile is the quantile of the engines' event intervals that counts as fast.
const fastQuantile = 0.25

// eventIntervalQuantile returns a quantile of the known event intervals, or 0 if fewer than two are known. A
// shorter interval is faster.
func eventIntervalQuantile(candidates []backends.Candidate, quantile float64) time.Duration {
	var intervals []time.Duration
	for _, c := range candidates {
		if c.EventInterval > 0 {
			intervals = append(intervals, c.EventInterval)
		}
	}
	if len(intervals) < 2 {
		return 0
	}
	slices.Sort(intervals)
	return intervals[int(float64(len(intervals)-1)*quantile)]
}

// isSlow reports whether an event interval is much longer than the median. It returns false if the median is
// unknown.
func isSlow(interval, medianInterval time.Duration) bool {
	return medianInterval > 0 && interval > medianInterval+minSlowDifference && interval > time.Duration(slowRatio*float64(medianInterval))
}
