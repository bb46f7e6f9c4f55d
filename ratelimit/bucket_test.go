package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const window = 4 * time.Second

// mostWithin returns the highest number of times within window.
func mostWithin(times []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for i, t := range times {
		for t-times[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against more requests than the rate allows, whatever the requests' times and waits.
func TestBucketKeepsTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.2, 40).Draw(t, "per_second")
		buckets, key := NewBuckets(), Key{Backend: "b"}
		start := time.Now()
		var sent []time.Duration
		at := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			at += time.Duration(rapid.IntRange(0, 400).Draw(t, "gap_ms")) * time.Millisecond
			maxWait := time.Duration(rapid.IntRange(0, 500).Draw(t, "max_wait_ms")) * time.Millisecond
			delay, granted := buckets.Reserve(start.Add(at), key, perSecond, maxWait)
			if granted != (delay <= maxWait) {
				t.Fatalf("granted %v after %v of at most %v", granted, delay, maxWait)
			}
			if granted {
				sent = append(sent, at+delay)
			}
		}
		allowed := int(1.5*perSecond*window.Seconds()) + 5
		if most := mostWithin(sent, window); most > allowed {
			t.Fatalf("%d requests within %v at %v a second", most, window, perSecond)
		}
	})
}

// Guards against more requests than the rate allows around a change of owner, when instances ask both owners for as long as
// their heartbeats differ.
func TestTwoOwnersKeepTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.2, 100).Draw(t, "per_second")
		before, after, key := NewBuckets(), NewBuckets(), Key{Backend: "b"}
		start := time.Now()
		before.Reserve(start, key, perSecond, 0)
		var sent []time.Duration
		take := func(owner *Buckets, at time.Duration) {
			for {
				if _, granted := owner.Reserve(start.Add(at), key, perSecond, 0); !granted {
					return
				}
				sent = append(sent, at)
			}
		}
		change := time.Duration(rapid.IntRange(0, 5000).Draw(t, "change_ms")) * time.Millisecond
		for at := change; at < change+window+ownerOverlap; at += 10 * time.Millisecond {
			if at < change+ownerOverlap {
				take(before, at)
			}
			take(after, at)
		}
		allowed := int(1.5*perSecond*window.Seconds()) + 5
		if most := mostWithin(sent, window); most > allowed {
			t.Fatalf("%d requests within %v at %v a second, %d allowed", most, window, perSecond, allowed)
		}
	})
}

// Replays callers that come to a few of 195 instances, each of which knows of a limit of four requests a second. Guards
// against equal shares of the limit, which starve the instances to which the callers come.
func TestOneBucketServesFewBusyInstances(t *testing.T) {
	is := is.New(t)
	const instances, perSecond, seconds = 195, 4.0, 60
	served := func(shared bool) int {
		rng := rand.New(rand.NewPCG(1, 1))
		buckets, start := NewBuckets(), time.Now()
		n := 0
		for at := time.Duration(0); at < seconds*time.Second; at += time.Second / 10 {
			busy := min(rng.IntN(instances), rng.IntN(instances), rng.IntN(instances), rng.IntN(instances)) // skewed
			key, limit := Key{Backend: "b"}, perSecond
			if !shared {
				key.Backend, limit = fmt.Sprint("b at ", busy), perSecond/instances
			}
			if _, granted := buckets.Reserve(start.Add(at), key, limit, 0); granted {
				n++
			}
		}
		return n
	}
	one, shares := served(true), served(false)
	t.Logf("of %v requests that the limit allows: %d with one bucket, %d with shares", perSecond*seconds, one, shares)
	is.True(float64(one) > 0.95*perSecond*seconds)
	is.True(shares < one/2)
}

// Guards against an owner that gives out, right after it has taken a bucket over, the tokens that the owner before has
// given out as well.
func TestNewBucketIsEmpty(t *testing.T) {
	is := is.New(t)
	_, granted := NewBuckets().Reserve(time.Now(), Key{Backend: "b"}, 5, 0)
	is.True(!granted)
}

// Guards against shares that pile up while the owner answers: when it falls silent, all instances would spend theirs at once.
func TestUnusedSharesDoNotPileUp(t *testing.T) {
	is := is.New(t)
	shares, key, now := NewShares(), Key{Backend: "b"}, time.Now()
	shares.Reserve(now, key, 0.25, 0)
	now = now.Add(time.Minute)
	for range 3 {
		_, granted := shares.Reserve(now, key, 0.25, 0)
		is.True(!granted)
	}
	granted := 0
	for range 80 { // 40 s of steady demand
		now = now.Add(500 * time.Millisecond)
		if _, ok := shares.Reserve(now, key, 0.25, 0); ok {
			granted++
		}
	}
	is.True(granted >= 9 && granted <= 11)
}

// Guards against tokens of an earlier, higher limit, and of an earlier run of the back end.
func TestBucketFollowsTheLimit(t *testing.T) {
	is := is.New(t)
	buckets, now := NewBuckets(), time.Now()
	key := Key{Backend: "b", StartedUnixMs: 1}
	buckets.Reserve(now, key, 100, 0)
	now = now.Add(time.Second)
	granted := 0
	for range 100 {
		if _, ok := buckets.Reserve(now, key, 2, 0); ok {
			granted++
		}
	}
	is.True(granted <= minBurst)
	_, ok := buckets.Reserve(now.Add(time.Second), Key{Backend: "b", StartedUnixMs: 2}, 2, 0)
	is.True(!ok) // the bucket of the new run is empty
}

// Guards against memory that grows with each back end that ever had a limit.
func TestBucketsAreBounded(t *testing.T) {
	is := is.New(t)
	buckets, now := NewBuckets(), time.Now()
	for i := range 3 * maxBuckets {
		buckets.Reserve(now, Key{Backend: fmt.Sprint(i)}, 1, 0)
		now = now.Add(100 * time.Millisecond)
	}
	is.True(len(buckets.byKey) <= maxBuckets)
}

// Guards against a queue in which every request waits until it is too late.
func TestMaxWait(t *testing.T) {
	is := is.New(t)
	is.Equal(MaxWait(150*time.Millisecond, time.Second), 75*time.Millisecond)
	is.Equal(MaxWait(150*time.Millisecond, 60*time.Millisecond), 30*time.Millisecond)
	is.Equal(MaxWait(150*time.Millisecond, 0), 75*time.Millisecond) // no deadline
	is.Equal(MaxWait(0, time.Second), time.Duration(0))
}
