package job

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/backends"
)

// Weights of the choice among engines, in units of a full engine.
const (
	// groupBonus keeps the items of a group together, so that their prompt is read once.
	groupBonus = 0.25
	// warmBonus prefers an engine to which a connection is free over a new connection.
	warmBonus = 0.5
	// farPenalty is the price of an engine in another data centre.
	farPenalty = 0.05
	// delayPenalty is the price of each second that an item is expected to take longer than at an
	// engine of quick pace.
	delayPenalty = 0.5
	// slowRatio is the pace, relative to the median, from which an engine gets fewer items than
	// its slots.
	slowRatio = 1.8
	// slowLead is the least difference of a slow engine's pace to the median: less is noise.
	slowLead = 10 * time.Millisecond
	// pumpPeriod bounds how long a waiting item misses the end of an engine's avoidance.
	pumpPeriod = 50 * time.Millisecond
)

// want is an item that waits for an engine.
type want struct {
	order      int64 // lower is served first
	service    string
	model      string
	group      string
	minVersion int64
	// version asks for an engine with exactly this version; 0 accepts all from minVersion on.
	version int64
	// expected is how long the item runs at a typical engine.
	expected time.Duration
	// except is the engine at which the last attempt failed.
	except *backends.Backend
	// paceBelow asks for an engine with a shorter known pace; 0 accepts every engine.
	paceBelow time.Duration
	placed    chan *backends.Backend
}

// anyEngine reports whether w takes every engine that serves its model.
func (w *want) anyEngine() bool { return w.except == nil && w.paceBelow == 0 && w.version == 0 }

// placer hands engines to items. It holds no engine above its slots and serves waiting items in
// their order.
type placer struct {
	dir  *backends.Directory
	zone string
	// share is the part of an engine's slots that this instance uses.
	share float64

	mu      sync.Mutex
	waiting []*want
	groups  map[string]*backends.Backend // last engine of a group
}

func newPlacer(dir *backends.Directory, zone string, share float64) *placer {
	return &placer{dir: dir, zone: zone, share: share, groups: map[string]*backends.Backend{}}
}

// run places waiting items until ctx ends.
func (p *placer) run(ctx context.Context) {
	ticker := time.NewTicker(pumpPeriod)
	defer ticker.Stop()
	for {
		changed := p.dir.Changed()
		p.pump()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// acquire waits for an engine. The caller must call End on it.
func (p *placer) acquire(ctx context.Context, w *want) (*backends.Backend, error) {
	p.enqueue(w)
	select {
	case b := <-w.placed:
		return b, nil
	case <-ctx.Done():
	}
	p.withdraw(w)
	return nil, ctx.Err()
}

// enqueue makes an item wait for an engine, which arrives in w.placed.
func (p *placer) enqueue(w *want) {
	w.placed = make(chan *backends.Backend, 1)
	p.mu.Lock()
	at, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b *want) int {
		if a.order <= b.order {
			return -1
		}
		return 1
	})
	p.waiting = slices.Insert(p.waiting, at, w)
	p.mu.Unlock()
	p.pump()
}

// withdraw ends an item's wait and gives back an engine that was placed meanwhile.
func (p *placer) withdraw(w *want) {
	p.mu.Lock()
	p.waiting = slices.DeleteFunc(p.waiting, func(other *want) bool { return other == w })
	p.mu.Unlock()
	select {
	case b := <-w.placed:
		b.End()
	default:
	}
}

// pump places as many waiting items as there are free slots.
func (p *placer) pump() {
	p.mu.Lock()
	defer p.mu.Unlock()
	type kind struct{ service, model string }
	candidates := map[kind][]backends.Candidate{}
	full := map[kind]int64{} // lowest version that found no slot
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		k := kind{w.service, w.model}
		if v, ok := full[k]; ok && v <= w.minVersion {
			kept = append(kept, w)
			continue
		}
		list, ok := candidates[k]
		if !ok {
			list = p.dir.Candidates(w.service, w.model)
			candidates[k] = list
		}
		best := choose(list, w, p.groups[w.group], p.zone, p.share)
		if best < 0 {
			if w.anyEngine() {
				full[k] = w.minVersion
			}
			kept = append(kept, w)
			continue
		}
		list[best].InFlight++
		list[best].Begin()
		if w.group != "" {
			p.groups[w.group] = list[best].Backend
		}
		w.placed <- list[best].Backend
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// forget drops what is remembered of a job's groups.
func (p *placer) forget(groups []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range groups {
		delete(p.groups, g)
	}
}

// choose returns the index of the engine for w, or -1 if none has a free slot.
func choose(list []backends.Candidate, w *want, mate *backends.Backend, zone string, share float64) int {
	typical, quick := paceAt(list, 0.5), paceAt(list, quickPart)
	best, bestCost := -1, 0.0
	for i, c := range list {
		version := c.Versions[w.model]
		if c.Avoid || version < w.minVersion || (w.version != 0 && version != w.version) {
			continue
		}
		if c.Backend == w.except && len(list) > 1 {
			continue
		}
		if w.paceBelow > 0 && (c.Pace == 0 || c.Pace >= w.paceBelow) {
			continue
		}
		slots := max(1, float64(c.Slots)*share)
		relative := 1.0
		if isSlow(c.Pace, typical) {
			relative = float64(c.Pace) / float64(typical)
		}
		if float64(c.InFlight)+1 > max(1, slots/relative) {
			continue
		}
		cost := relative * float64(c.InFlight+1) / slots
		if quick > 0 && c.Pace > quick {
			cost += delayPenalty * w.expected.Seconds() * (float64(c.Pace)/float64(quick) - 1)
		}
		if c.Zone != zone {
			cost += farPenalty
		}
		if c.InFlight < c.Warm {
			cost -= warmBonus
		}
		if c.Backend == mate {
			cost -= groupBonus
		}
		if best < 0 || cost < bestCost || (cost == bestCost && cmp.Less(c.ID, list[best].ID)) {
			best, bestCost = i, cost
		}
	}
	return best
}

// quickPart is the part of the engines whose pace counts as quick.
const quickPart = 0.25

// paceAt returns the pace that a part of the engines with a known pace do not exceed; 0 if fewer
// than two are known.
func paceAt(list []backends.Candidate, part float64) time.Duration {
	var paces []time.Duration
	for _, c := range list {
		if c.Pace > 0 {
			paces = append(paces, c.Pace)
		}
	}
	if len(paces) < 2 {
		return 0
	}
	slices.Sort(paces)
	return paces[int(float64(len(paces)-1)*part)]
}

// isSlow reports whether a pace is far behind the median; nothing is slow while that is unknown.
func isSlow(pace, typical time.Duration) bool {
	return typical > 0 && pace > typical+slowLead && pace > time.Duration(slowRatio*float64(typical))
}
