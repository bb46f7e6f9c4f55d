package routing

import (
	"math"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/health"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// holdersPerPrefix bounds the back ends remembered for a prefix.
const holdersPerPrefix = 3

// gapFactor is what remains of a back end's older hints after cache events were missed:
// some of the missed events may have removed them.
const gapFactor = 0.5

// evictionSample is the number of prefixes from which the weakest is evicted.
const evictionSample = 8

type prefixKey struct{ service, prefix string }

// hint says that a back end probably has a prefix in its cache.
type hint struct {
	backend string
	version int64
	at      time.Time
}

// Hints remembers which back ends probably hold which prefixes. A hint loses half of its
// strength each half-life, so that wrong ones vanish without any event.
type Hints struct {
	mu       sync.Mutex
	halfLife time.Duration
	max      int
	holders  map[prefixKey][]hint
	gaps     map[string]time.Time // by back end
}

// NewHints returns an empty table of at most max prefixes.
func NewHints(halfLife time.Duration, max int) *Hints {
	return &Hints{halfLife: halfLife, max: max, holders: map[prefixKey][]hint{}, gaps: map[string]time.Time{}}
}

// Add records that the back end holds a prefix computed by version.
func (h *Hints) Add(service, prefix, backend string, version int64) {
	k := prefixKey{service, prefix}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.holders[k]
	for i := range list {
		if list[i].backend == backend {
			list[i].at, list[i].version = now, version
			return
		}
	}
	if len(list) == 0 && len(h.holders) >= h.max {
		h.evict()
	}
	if len(list) < holdersPerPrefix {
		h.holders[k] = append(list, hint{backend, version, now})
		return
	}
	oldest := 0
	for i := range list {
		if list[i].at.Before(list[oldest].at) {
			oldest = i
		}
	}
	list[oldest] = hint{backend, version, now}
}

// Remove records that the back end dropped a prefix.
func (h *Hints) Remove(service, prefix, backend string) {
	k := prefixKey{service, prefix}
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.holders[k]
	for i := range list {
		if list[i].backend == backend {
			list[i] = list[len(list)-1]
			h.holders[k] = list[:len(list)-1]
			break
		}
	}
	if len(h.holders[k]) == 0 {
		delete(h.holders, k)
	}
}

// Events applies an engine's cache events. Gaps weaken the older hints.
func (h *Hints) Events(b *health.Backend, events []platform.CacheEvent, gap bool) {
	if gap {
		h.mu.Lock()
		h.gaps[b.ID] = time.Now()
		h.mu.Unlock()
	}
	version := b.Version()
	for _, e := range events {
		if e.Added {
			h.Add(b.Service, e.PrefixID, b.ID, version)
		} else {
			h.Remove(b.Service, e.PrefixID, b.ID)
		}
	}
}

// Holder is a back end that probably holds a prefix.
type Holder struct {
	Backend  string
	Version  int64
	Strength float64
}

// Holders returns the probable holders of a prefix in a fixed array and their number.
func (h *Hints) Holders(service, prefix string) (found [holdersPerPrefix]Holder, n int) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.holders[prefixKey{service, prefix}] {
		found[n] = Holder{e.backend, e.version, h.strength(e, now)}
		n++
	}
	return found, n
}

func (h *Hints) strength(e hint, now time.Time) float64 {
	s := math.Exp2(-float64(now.Sub(e.at)) / float64(h.halfLife))
	if h.gaps[e.backend].After(e.at) {
		s *= gapFactor
	}
	return s
}

// evict drops the oldest of a few prefixes. The caller holds mu.
func (h *Hints) evict() {
	var victim prefixKey
	var oldest time.Time
	n := 0
	for k, list := range h.holders {
		if n == 0 || list[0].at.Before(oldest) {
			victim, oldest = k, list[0].at
		}
		if n++; n == evictionSample {
			break
		}
	}
	delete(h.holders, victim)
}
