package ratelimit

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/timing"
)

// topic holds the stated limits by back end.
const topic = "rate-limits"

const (
	// readWait is how long a read of the limits waits for a change.
	readWait = 10 * time.Second
	// publishTimeout bounds the publication of a limit. A limit that is not published is learned from the back end's
	// own answers.
	publishTimeout = 3 * time.Second
	// maxPublications bounds the publications that wait to be written.
	maxPublications = 256
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
	// ReadPause returns the pause between reads.
	ReadPause func() time.Duration
}

// Replica shares the stated limits of the back ends with the other instances through the store.
type Replica struct {
	opts     ReplicaOptions
	replica  *changelog.Replica
	publish  chan publication
	received map[string]receivedRecord // by back end; the changelog replica guards it
}

// publication is a limit that waits to be written.
type publication struct {
	backend string
	record
}

// receivedRecord is a record of the store with the time at which this instance has read it.
type receivedRecord struct {
	record
	at time.Time
}

// NewReplica returns a Replica that has not read the store yet.
func NewReplica(opts ReplicaOptions) *Replica {
	r := &Replica{opts: opts, publish: make(chan publication, maxPublications), received: map[string]receivedRecord{}}
	r.replica = changelog.NewReplica(opts.Log, changelog.Partition{Topic: topic}, r)
	return r
}

// Reset implements changelog.State.
func (r *Replica) Reset() { clear(r.received) }

// Apply implements changelog.State.
func (r *Replica) Apply(rec changelog.Record) {
	if rec.Value == nil {
		if old, ok := r.received[rec.Key]; ok {
			r.opts.Backends.SetRateLimit(rec.Key, old.StartedUnixMs, 0)
		}
		delete(r.received, rec.Key)
		return
	}
	var next record
	if err := cbor.Unmarshal(rec.Value, &next); err != nil {
		r.opts.Logger.Error("rate limit record not readable", "backend", rec.Key, "offset", rec.Offset, "err", err)
		return
	}
	r.received[rec.Key] = receivedRecord{record: next, at: time.Now()}
	r.opts.Backends.SetRateLimit(rec.Key, next.StartedUnixMs, next.PerSecond)
}

// Publish tells the other instances that b has stated a limit, or with 0 that it states none. It does not block.
func (r *Replica) Publish(b *backends.Backend, perSecond float64) {
	select {
	case r.publish <- publication{backend: b.ID, record: record{StartedUnixMs: b.StartedUnixMs, PerSecond: perSecond}}:
	default:
		r.opts.Logger.Warn("rate limit not published", "backend", b.ID, "reason", "too many publications wait")
	}
}

// Run follows the limits and publishes those that this instance learns until ctx ends.
func (r *Replica) Run(ctx context.Context, onRead func(error)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.replica.Follow(ctx, readWait, r.opts.ReadPause, onRead)
	}()
	cleanup := time.NewTicker(cleanupInterval)
	defer cleanup.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case p := <-r.publish:
			r.write(ctx, p)
		case <-cleanup.C:
			r.deleteUnused(ctx)
		}
	}
	<-done
}

// write stores a limit unless the store holds the same one.
func (r *Replica) write(ctx context.Context, p publication) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	_, err := r.replica.Commit(ctx, func() []changelog.Record {
		old, known := r.received[p.backend]
		switch {
		case known && old.record == p.record:
			return nil
		case p.PerSecond == 0 && !known:
			return nil
		case p.PerSecond == 0:
			return []changelog.Record{{Key: p.backend}}
		}
		data, err := cbor.Marshal(p.record)
		if err != nil {
			r.opts.Logger.Error("rate limit not encoded", "backend", p.backend, "err", err)
			return nil
		}
		return []changelog.Record{{Key: p.backend, Value: data}}
	})
	if err != nil && ctx.Err() == nil {
		r.opts.Logger.Warn("rate limit not published", "backend", p.backend, "err", err)
	}
}

// deleteUnused deletes the limits of back ends that are gone, as far as this instance is responsible for them.
func (r *Replica) deleteUnused(ctx context.Context) {
	var unused []string
	r.replica.View(func() {
		for id, rec := range r.received {
			if _, listed := r.opts.Backends.Backend(id); !listed && time.Since(rec.at) > cleanupAge && r.opts.Rank(id) == 0 {
				unused = append(unused, id)
			}
		}
	})
	for _, id := range unused {
		r.write(ctx, publication{backend: id})
		if !timing.Sleep(ctx, 0) {
			return
		}
	}
}
