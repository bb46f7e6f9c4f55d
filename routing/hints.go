package routing

import (
	"math"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/health"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// maxHoldersPerPrefix is the largest number of back ends recorded for a prefix.
const maxHoldersPerPrefix = 3

// gapStrengthFactor multiplies the strength of a back end's older hints after cache events of it
// were missed, because some of the missed events may have been removals.
const gapStrengthFactor = 0.5

// evictionSampleSize is the number of prefixes that an eviction examines.
const evictionSampleSize = 8

// prefixKey identifies a prefix within a service.
type prefixKey struct{ service, prefix string }

// hint records that a back end probably has a prefix in its cache.
type hint struct {
	backend   string
	version   int64 // weight version that computed the cache entry
	updatedAt time.Time
}

// Hints records which back ends probably have which prefixes in their caches. The strength of a
// hint halves each half-life, so that a wrong hint loses its effect without a cache event.
type Hints struct {
	mu       sync.Mutex
	halfLife time.Duration
	max      int
	holders  map[prefixKey][]hint
	lastGap  map[string]time.Time // time of the last missed cache events, by back end
}

// NewHints returns an empty table for at most max prefixes.
func NewHints(halfLife time.Duration, max int) *Hints {
	return &Hints{halfLife: halfLife, max: max, holders: map[prefixKey][]hint{}, lastGap: map[string]time.Time{}}
}

// Add records that a back end holds a prefix computed by the given weight version. If the table or
// the prefix is full, an old entry is evicted.
func (h *Hints) Add(service, prefix, backend string, version int64) {
	k := prefixKey{service, prefix}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.holders[k]
	for i := range list {
		if list[i].backend == backend {
			list[i].updatedAt, list[i].version = now, version
			return
		}
	}
	if len(list) == 0 && len(h.holders) >= h.max {
		h.evict()
	}
	if len(list) < maxHoldersPerPrefix {
		h.holders[k] = append(list, hint{backend, version, now})
		return
	}
	oldest := 0
	for i := range list {
		if list[i].updatedAt.Before(list[oldest].updatedAt) {
			oldest = i
		}
	}
	list[oldest] = hint{backend, version, now}
}

// Remove records that a back end no longer holds a prefix.
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

// ApplyEvents applies an engine's cache events. If gap is set, events were missed, and the older hints of
// the engine become weaker.
func (h *Hints) ApplyEvents(b *health.Backend, events []platform.CacheEvent, gap bool) {
	if gap {
		h.mu.Lock()
		h.lastGap[b.ID] = time.Now()
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
	Version  int64   // weight version that computed the cache entry
	Strength float64 // between 0 and 1
}

// Holders returns the probable holders of a prefix in a fixed-size array, and their number.
func (h *Hints) Holders(service, prefix string) (found [maxHoldersPerPrefix]Holder, n int) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.holders[prefixKey{service, prefix}] {
		found[n] = Holder{e.backend, e.version, h.strength(e, now)}
		n++
	}
	return found, n
}

// strength returns the strength of a hint at now: 1 when new, halved each half-life, and reduced if
// cache events of the back end were missed since.
func (h *Hints) strength(e hint, now time.Time) float64 {
	s := math.Exp2(-float64(now.Sub(e.updatedAt)) / float64(h.halfLife))
	if h.lastGap[e.backend].After(e.updatedAt) {
		s *= gapStrengthFactor
	}
	return s
}

// evict examines up to evictionSampleSize arbitrary prefixes and removes the one whose first hint is
// oldest. The caller holds mu.
func (h *Hints) evict() {
	var oldestKey prefixKey
	var oldest time.Time
	n := 0
	for k, list := range h.holders {
		if n == 0 || list[0].updatedAt.Before(oldest) {
			oldestKey, oldest = k, list[0].updatedAt
		}
		if n++; n == evictionSampleSize {
			break
		}
	}
	delete(h.holders, oldestKey)
}
