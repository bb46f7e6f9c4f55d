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
	// slowRatio is the pace, relative to the median, from which an engine gets fewer items than
	// its slots, and from which its runs move to faster engines.
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
	// except is the engine at which the last attempt failed.
	except *backends.Backend
	placed chan *backends.Backend
}

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
	select {
	case b := <-w.placed:
		return b, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	p.waiting = slices.DeleteFunc(p.waiting, func(other *want) bool { return other == w })
	p.mu.Unlock()
	select {
	case b := <-w.placed:
		b.End()
	default:
	}
	return nil, ctx.Err()
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
			if w.except == nil {
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
	typical := typicalPace(list)
	best, bestCost := -1, 0.0
	for i, c := range list {
		if c.Avoid || c.Versions[w.model] < w.minVersion {
			continue
		}
		if c.Backend == w.except && len(list) > 1 {
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

// typicalPace returns the median of the known paces; 0 if there are fewer than two.
func typicalPace(list []backends.Candidate) time.Duration {
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
	return paces[(len(paces)-1)/2]
}

// isSlow reports whether a pace is far behind the median; nothing is slow while that is unknown.
func isSlow(pace, typical time.Duration) bool {
	return typical > 0 && pace > typical+slowLead && pace > time.Duration(slowRatio*float64(typical))
}

// slow reports whether an engine's pace is far behind the median of its service.
func (p *placer) slow(b *backends.Backend) bool {
	list := p.dir.Candidates(b.Service, "")
	typical := typicalPace(list)
	for _, c := range list {
		if c.Backend == b {
			return isSlow(c.Pace, typical)
		}
	}
	return false
}

// faster reports whether an engine with a normal pace has a free slot for the model.
func (p *placer) faster(service, model string, minVersion int64, than *backends.Backend) bool {
	list := p.dir.Candidates(service, model)
	typical := typicalPace(list)
	for _, c := range list {
		if c.Backend == than || c.Avoid || c.Versions[model] < minVersion || float64(c.InFlight) >= float64(c.Slots)*p.share {
			continue
		}
		if c.Pace > 0 && !isSlow(c.Pace, typical) {
			return true
		}
	}
	return false
}
