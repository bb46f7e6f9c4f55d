package engine

import (
	"container/list"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// maxCacheEvents bounds the number of retained cache events.
const maxCacheEvents = 1024

// prefixCache is an LRU cache of prompt prefixes. An entry belongs to the weight version that
// computed it.
type prefixCache struct {
	limit        int
	entries      map[prefixKey]*list.Element
	recency      *list.List // front is the most recently used
	eventDelay   time.Duration
	lossInterval int
	seq          int64
	events       []timedEvent
}

type prefixKey struct {
	id      string
	version int64
}

// timedEvent is a cache event that readers see from visibleAt on.
type timedEvent struct {
	visibleAt time.Time
	event     platform.CacheEvent
}

func newPrefixCache(o Options) *prefixCache {
	return &prefixCache{
		limit: o.CacheEntries, entries: map[prefixKey]*list.Element{}, recency: list.New(),
		eventDelay: o.CacheEventDelay, lossInterval: o.CacheEventGap,
	}
}

// cacheKey returns the key of a request's cache entry: its prefix, or its whole prompt if it
// has no prefix.
func cacheKey(req platform.GenerateRequest, version int64) prefixKey {
	if req.PrefixID != "" {
		return prefixKey{id: req.PrefixID, version: version}
	}
	return prefixKey{id: "prompt:" + req.Prompt, version: version}
}

// has reports whether the prefix of req is cached for version, and marks it as recently used.
func (c *prefixCache) has(req platform.GenerateRequest, version int64) bool {
	e, ok := c.entries[cacheKey(req, version)]
	if ok {
		c.recency.MoveToFront(e)
	}
	return ok
}

// add caches the prefix of req for version and evicts the least recently used entry beyond the
// limit.
func (c *prefixCache) add(req platform.GenerateRequest, version int64) {
	key := cacheKey(req, version)
	if e, ok := c.entries[key]; ok {
		c.recency.MoveToFront(e)
		return
	}
	c.entries[key] = c.recency.PushFront(key)
	c.emit(key, true)
	if c.recency.Len() > c.limit {
		last := c.recency.Back()
		old := c.recency.Remove(last).(prefixKey)
		delete(c.entries, old)
		c.emit(old, false)
	}
}

// emit records an event. Every lossInterval-th event is lost, which leaves a gap in Seq.
func (c *prefixCache) emit(key prefixKey, added bool) {
	c.seq++
	if c.lossInterval > 1 && c.seq%int64(c.lossInterval) == 0 {
		return
	}
	c.events = append(c.events, timedEvent{
		visibleAt: time.Now().Add(c.eventDelay), event: platform.CacheEvent{Seq: c.seq, PrefixID: key.id, Added: added},
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// visibleEvents returns the retained events with a Seq greater than after whose delay has passed.
func (c *prefixCache) visibleEvents(after int64, now time.Time) []platform.CacheEvent {
	out := []platform.CacheEvent{}
	for _, e := range c.events {
		if e.event.Seq > after && !e.visibleAt.After(now) {
			out = append(out, e.event)
		}
	}
	return out
}
