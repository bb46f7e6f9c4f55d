package ratelimit

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/timing"
)

// topic holds the stated limits by back end.
const topic = "rate-limits"

const (
	// cleanupInterval is the time between two deletions of the limits of back ends that are gone, cleanupAge the time
	// for which such a limit is kept: the entry of a back end may be missing for a while.
	cleanupInterval = 30 * time.Second
	cleanupAge      = 2 * time.Minute
)

// record is the stored limit of a back end.
type record struct {
	StartedUnixMs int64   `cbor:"1,keyasint"`
	PerSecond     float64 `cbor:"2,keyasint"`
}

// ReplicaOptions configure a Replica.
type ReplicaOptions struct {
	Log      changelog.Log
	Backends *backends.Directory
	// Rank returns this instance's position among the live ones, in an order that depends on key.
	Rank   func(key string) int
	Logger *log.Logger
	// ReadWait returns how long a read waits for a change, and ReadPause the pause between reads.
	ReadWait, ReadPause func() time.Duration
}

// Replica shares the stated limits of the back ends with the other instances through the store.
type Replica struct {
	opts   ReplicaOptions
	limits *changelog.Map[record]
}

// NewReplica returns a Replica that has not read the store yet.
func NewReplica(opts ReplicaOptions) *Replica {
	r := &Replica{opts: opts}
	r.limits = changelog.NewMap(changelog.MapOptions[record]{
		Log: opts.Log, Topic: topic, Logger: opts.Logger, ReadWait: opts.ReadWait, ReadPause: opts.ReadPause, OnChange: r.apply,
	})
	return r
}

// HasRead reports whether the limits that other instances have learned have been read.
func (r *Replica) HasRead() bool { return r.limits.HasRead() }

// apply passes a limit that was read to the directory.
func (r *Replica) apply(backend string, limit *record) {
	if limit == nil {
		r.opts.Backends.EndRateLimit(backend)
		return
	}
	r.opts.Backends.SetRateLimit(backend, limit.StartedUnixMs, limit.PerSecond)
}

// Publish tells the other instances the rate limit of b. It does not block.
func (r *Replica) Publish(b *backends.Backend) {
	r.limits.Update(b.ID, func(old *record) (*record, bool) {
		perSecond := b.RateLimit()
		if perSecond == 0 {
			return nil, old != nil && old.StartedUnixMs <= b.StartedUnixMs
		}
		next := record{StartedUnixMs: b.StartedUnixMs, PerSecond: perSecond}
		return &next, old == nil || (*old != next && old.StartedUnixMs <= next.StartedUnixMs)
	})
}

// Run follows the limits and publishes those that this instance learns until ctx ends.
func (r *Replica) Run(ctx context.Context, onRead func(error)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.limits.Run(ctx, onRead)
	}()
	for timing.Sleep(ctx, cleanupInterval) {
		r.limits.DeleteIf(func(id string, _ record, age time.Duration) bool {
			_, listed := r.opts.Backends.Backend(id)
			return !listed && age > cleanupAge && r.opts.Rank(id) == 0
		})
	}
	<-done
}
