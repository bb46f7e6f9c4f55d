package engine

import (
	"container/list"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// maxCacheEvents bounds the cache events that can still be read.
const maxCacheEvents = 1024

// prefixCache is the prompt prefix cache: least recently used entries leave first, and an
// entry belongs to the version that computed it.
type prefixCache struct {
	limit   int
	entries map[prefix]*list.Element
	order   *list.List // front is the most recently used
	delay   time.Duration
	gap     int
	seq     int64
	events  []timedEvent
}

type prefix struct {
	id      string
	version int64
}

type timedEvent struct {
	at    time.Time
	event platform.CacheEvent
}

func newPrefixCache(o Options) *prefixCache {
	return &prefixCache{
		limit: o.CacheEntries, entries: map[prefix]*list.Element{}, order: list.New(),
		delay: o.CacheEventDelay, gap: o.CacheEventGap,
	}
}

// keyOf names the cache entry of a request: its prefix, or its whole prompt without one.
func keyOf(req platform.GenerateRequest, version int64) prefix {
	if req.PrefixID != "" {
		return prefix{id: req.PrefixID, version: version}
	}
	return prefix{id: "prompt:" + req.Prompt, version: version}
}

func (c *prefixCache) has(req platform.GenerateRequest, version int64) bool {
	e, ok := c.entries[keyOf(req, version)]
	if ok {
		c.order.MoveToFront(e)
	}
	return ok
}

func (c *prefixCache) add(req platform.GenerateRequest, version int64) {
	key := keyOf(req, version)
	if e, ok := c.entries[key]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.entries[key] = c.order.PushFront(key)
	c.emit(key, true)
	if c.order.Len() > c.limit {
		last := c.order.Back()
		old := c.order.Remove(last).(prefix)
		delete(c.entries, old)
		c.emit(old, false)
	}
}

// emit records an event; each gap-th one is lost, which leaves a gap in Seq.
func (c *prefixCache) emit(key prefix, added bool) {
	c.seq++
	if c.gap > 1 && c.seq%int64(c.gap) == 0 {
		return
	}
	c.events = append(c.events, timedEvent{
		at: time.Now().Add(c.delay), event: platform.CacheEvent{Seq: c.seq, PrefixID: key.id, Added: added},
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

func (c *prefixCache) visible(after int64, now time.Time) []platform.CacheEvent {
	out := []platform.CacheEvent{}
	for _, e := range c.events {
		if e.event.Seq > after && !e.at.After(now) {
			out = append(out, e.event)
		}
	}
	return out
}
