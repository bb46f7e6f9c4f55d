// Package ratelimit keeps the requests that all instances together send to a back end within the rate that the back
// end states.
//
// One instance owns the token bucket of a back end; the others ask it for each request. A limit of a few requests a
// second cannot be divided among hundreds of instances: callers come to few of them, so that most of the shares would stay
// unused, and each share would still permit a first request. The stated limits are replicated through the store, so
// that an instance knows of a limit before the back end has answered it.
//
// Load pattern: several back ends of a service state limits far below their usual load, while callers and the items of a
// step arrive at a few of many instances.
package ratelimit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstTime is the time over which unused tokens accumulate, and minBurst the lowest number that accumulates. The
	// items of a step arrive together, after seconds without any.
	burstTime = 2 * time.Second
	minBurst  = 4
	// ownerOverlap is the longest time for which instances ask two owners of a bucket: the time between two of their
	// reads of the heartbeats, in a deployment of hundreds.
	ownerOverlap = 1500 * time.Millisecond
	// bucketIdleTime is the time without requests after which a bucket is dropped.
	bucketIdleTime = time.Minute
	// shareIdleTime is the time without requests after which the tokens of a share are lost.
	shareIdleTime = time.Second
	// maxBuckets bounds the buckets that an instance keeps.
	maxBuckets = 4096
)

// Key identifies one run of a back end. A back end that has restarted states its limit anew.
type Key struct {
	Backend       string `cbor:"1,keyasint"`
	StartedUnixMs int64  `cbor:"2,keyasint"`
}

// Buckets holds token buckets by back end. It is safe for concurrent use.
type Buckets struct {
	// burstTime and minBurst determine the number of tokens that accumulate, maxIdle the time without requests after
	// which they are lost; 0 keeps them.
	burstTime time.Duration
	minBurst  int
	maxIdle   time.Duration

	mu    sync.Mutex
	byKey map[Key]*bucket
}

type bucket struct {
	tokens *rate.Limiter
	usedAt time.Time
}

// NewBuckets returns the buckets that an instance owns, of which there are none yet.
func NewBuckets() *Buckets {
	return &Buckets{byKey: map[Key]*bucket{}, burstTime: burstTime, minBurst: minBurst}
}

// NewShares returns the buckets of an instance's shares of rate limits, of which there are none yet. They keep no unused
// tokens: shares are used while an owner is silent, and all instances would spend theirs at once.
func NewShares() *Buckets {
	return &Buckets{byKey: map[Key]*bucket{}, minBurst: 1, maxIdle: shareIdleTime}
}

// Reserve takes a token for one request at the given rate. The request may be sent after the returned delay if
// granted is true. Otherwise a token would take longer than maxWait, namely delay, and none is taken.
func (b *Buckets) Reserve(now time.Time, key Key, perSecond float64, maxWait time.Duration) (delay time.Duration, granted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.bucket(now, key, perSecond)
	r := tokens.ReserveN(now, 1)
	delay = r.DelayFrom(now)
	if delay > maxWait {
		r.CancelAt(now)
		return delay, false
	}
	return delay, true
}

// bucket returns the bucket of a back end, with its rate set to perSecond. A new bucket is empty, because another
// instance may just have given out the tokens of the last second. The caller holds b.mu.
func (b *Buckets) bucket(now time.Time, key Key, perSecond float64) *rate.Limiter {
	found := b.byKey[key]
	burst := b.burst(perSecond)
	if found == nil || (b.maxIdle > 0 && now.Sub(found.usedAt) > b.maxIdle) {
		if len(b.byKey) >= maxBuckets {
			b.drop(now)
		}
		found = &bucket{tokens: rate.NewLimiter(rate.Limit(perSecond), burst)}
		found.tokens.AllowN(now, burst)
		b.byKey[key] = found
	}
	found.usedAt = now
	if found.tokens.Limit() != rate.Limit(perSecond) {
		found.tokens.SetLimitAt(now, rate.Limit(perSecond))
		found.tokens.SetBurstAt(now, burst)
	}
	return found.tokens
}

// burst returns the number of tokens that accumulate at a rate. At a high rate it leaves room for what a second owner gives
// out during ownerOverlap.
func (b *Buckets) burst(perSecond float64) int {
	overlapFree := max(0, b.burstTime-ownerOverlap)
	return max(b.minBurst, min(int(perSecond*b.burstTime.Seconds()), b.minBurst+int(perSecond*overlapFree.Seconds())))
}

// drop removes the buckets that have not been used for bucketIdleTime, or all if there are none. The caller holds b.mu.
func (b *Buckets) drop(now time.Time) {
	for key, found := range b.byKey {
		if now.Sub(found.usedAt) > bucketIdleTime {
			delete(b.byKey, key)
		}
	}
	if len(b.byKey) >= maxBuckets {
		clear(b.byKey)
	}
}

// MaxWait returns how long a caller's request waits for a token: no longer than it can and still be answered within the
// latency objective, and not so long that half of the remaining time is gone. A longer queue would make all callers
// late, and serve no more of them.
func MaxWait(objective, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		remaining = math.MaxInt64
	}
	return max(0, min(objective/2, remaining/2))
}
