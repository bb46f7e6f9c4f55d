package backends

import "time"

// rateLimit is the rate limit that a back end has stated.
type rateLimit struct {
	startedUnixMs int64
	perSecond     float64
	since         time.Time // when this instance learned of it
}

// RateLimitChange describes a change of a back end's rate limit.
type RateLimitChange struct {
	// From is the limit before, in requests a second; 0 means none.
	From float64
	// Lasted is the time for which this instance knew that limit; 0 if there was none.
	Lasted time.Duration
	// Sends is the number of requests that this instance has sent to the back end since the change before.
	Sends int
}

// RecordSend counts a request of any kind that is sent to b.
func (b *Backend) RecordSend() {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	b.sends++
}

// RateLimit returns the number of requests a second that b takes from all instances together, or 0 if it has stated no
// limit.
func (b *Backend) RateLimit() float64 {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	return b.rateLimit()
}

// rateLimit returns the rate limit of b, or 0. The caller holds dir.mu.
func (b *Backend) rateLimit() float64 {
	limit := b.dir.limits[b.ID]
	if limit.startedUnixMs != b.StartedUnixMs {
		return 0
	}
	return limit.perSecond
}

// Throttle records that the rate limit of b allows no request of this instance before until.
func (b *Backend) Throttle(until time.Time) {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	b.throttled = until
}

// ThrottledUntil returns the end of the time in which the rate limit of b allows no request of this instance.
func (b *Backend) ThrottledUntil() time.Time {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	return b.throttled
}

// RecordRateLimit records the rate limit that b stated in the response to a request sent at sentAt; 0 means none. A
// response to a request sent before the known limit was learned is ignored, because responses overtake each other.
// RecordRateLimit reports whether the limit has changed.
func (b *Backend) RecordRateLimit(perSecond float64, sentAt time.Time) (RateLimitChange, bool) {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	old := b.dir.limits[b.ID]
	if old.startedUnixMs != b.StartedUnixMs {
		old = rateLimit{}
	}
	if old.perSecond == perSecond || sentAt.Before(old.since) {
		return RateLimitChange{}, false
	}
	change := RateLimitChange{From: old.perSecond, Sends: b.sends}
	if old.perSecond > 0 {
		change.Lasted = time.Since(old.since)
	}
	b.dir.setRateLimit(b.ID, rateLimit{startedUnixMs: b.StartedUnixMs, perSecond: perSecond, since: time.Now()})
	return change, true
}

// SetRateLimit sets the rate limit that another instance has learned of. The limit applies to the run of the
// back end that started at startedUnixMs, also if its entry has not been read yet.
func (d *Directory) SetRateLimit(id string, startedUnixMs int64, perSecond float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.limits[id]
	if old.startedUnixMs > startedUnixMs || (old.startedUnixMs == startedUnixMs && old.perSecond == perSecond) {
		return
	}
	d.setRateLimit(id, rateLimit{startedUnixMs: startedUnixMs, perSecond: perSecond, since: time.Now()})
}

// EndRateLimit ends the rate limit of a back end, as another instance has found out.
func (d *Directory) EndRateLimit(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, known := d.limits[id]; known {
		d.setRateLimit(id, rateLimit{startedUnixMs: old.startedUnixMs})
	}
}

// setRateLimit replaces the rate limit of a back end. The caller holds d.mu.
func (d *Directory) setRateLimit(id string, limit rateLimit) {
	if limit.perSecond > 0 {
		d.limits[id] = limit
	} else {
		delete(d.limits, id)
	}
	if b := d.byID[id]; b != nil {
		b.sends, b.throttled = 0, time.Time{}
	}
	d.notify()
}
