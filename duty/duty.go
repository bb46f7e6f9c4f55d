// Package duty elects the instance that performs a duty, such as giving orders to the engines
// of a deployment. The holder is the one that the store's newest record names. It renews the
// record under the condition that nobody else has written since, so it cannot renew after a
// successor has taken over, and it acts only for a time after a renewal that is shorter than a
// successor waits. The number of takeovers is the fencing token.
package duty

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/timing"
)

const topic = "duties"

// Periods of a duty.
const (
	// renewPeriod leaves two attempts within the validity.
	renewPeriod = 500 * time.Millisecond
	// validity is how long after the start of a renewal the holder acts.
	validity = 1500 * time.Millisecond
	// takeAfter is how long a record must stay unchanged before another instance takes the duty.
	// It exceeds validity, because the holder counts from the start of its append.
	takeAfter = 2 * time.Second
	// rankDelay spaces the candidates, so that they rarely conflict.
	rankDelay = 400 * time.Millisecond
	maxRank   = 3
	// commitTimeout bounds one attempt to renew or take.
	commitTimeout = 1200 * time.Millisecond
	readPeriod    = 300 * time.Millisecond
	// FarPeriod spaces the reads of instances that are not next in line: below takeAfter, so that
	// they can still take the duty.
	FarPeriod = 1200 * time.Millisecond
)

// record names the holder.
type record struct {
	Holder   machine.Ref `cbor:"1,keyasint"`
	Fence    int64       `cbor:"2,keyasint"`
	Renewals uint64      `cbor:"3,keyasint"`
	Released bool        `cbor:"4,keyasint"`
}

// LostError reports that this instance does not hold the duty.
type LostError struct{ Duty string }

// Error implements error.
func (e *LostError) Error() string { return fmt.Sprintf("duty %s is not held here", e.Duty) }

// Peers tells which instances live.
type Peers interface {
	Dead(machine.Ref) bool
	Rank(key string) int
}

// Duty is this instance's part in the election for one duty.
type Duty struct {
	name    string
	self    machine.Ref
	peers   Peers
	log     *log.Logger
	replica *changelog.Replica

	mu      sync.Mutex // guards the fields below
	current *record
	seenAt  time.Duration // since boot, when current arrived
	heldAt  time.Duration // since boot, start of the last successful renewal; 0 if not held
	fence   int64
	retired bool
}

// New returns a duty that is not held.
func New(name string, self machine.Ref, store changelog.Log, peers Peers, logger *log.Logger) *Duty {
	d := &Duty{name: name, self: self, peers: peers, log: logger}
	d.replica = changelog.NewReplica(store, changelog.Partition{Topic: topic}, d)
	return d
}

// Reset implements changelog.State.
func (d *Duty) Reset() {}

// Apply implements changelog.State.
func (d *Duty) Apply(r changelog.Record) {
	if r.Key != d.name || r.Value == nil {
		return
	}
	var next record
	if err := cbor.Unmarshal(r.Value, &next); err != nil {
		d.log.Error("duty record not readable", "duty", r.Key, "err", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil && *d.current == next {
		return
	}
	if d.current == nil || d.current.Fence != next.Fence {
		d.log.Info("duty holder changed", "duty", d.name, "holder", next.Holder.String(), "fence", next.Fence)
	}
	if next.Holder != d.self || next.Released {
		d.heldAt = 0
	}
	d.current, d.seenAt = &next, timing.SinceBoot()
}

// Fence returns the fencing token while this instance holds the duty. Call it right before each order.
func (d *Duty) Fence() (int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.heldAt == 0 || timing.SinceBoot()-d.heldAt > validity {
		return 0, &LostError{Duty: d.name}
	}
	return d.fence, nil
}

// Invalidate ends the hold under the token fence, because a higher token has been used.
func (d *Duty) Invalidate(fence int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fence == fence {
		d.heldAt = 0
		d.fence = 0
	}
}

// Run takes part in the election until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.replica.Follow(ctx, 0, d.readPause, func(error) {})
	}()
	for timing.Sleep(ctx, renewPeriod) {
		if d.wanted() {
			d.renew(ctx)
		}
	}
	<-done
}

// readPause spaces this instance's reads. Only those that are next in line need to see at once that
// the holder has gone.
func (d *Duty) readPause() time.Duration {
	if _, err := d.Fence(); err == nil || d.peers.Rank(d.name) < maxRank {
		return readPeriod
	}
	return FarPeriod
}

// wanted reports whether this instance should renew or take the duty now.
func (d *Duty) wanted() bool {
	if d.replica.Age() > takeAfter {
		return false // nothing can be told from an old copy
	}
	rank := time.Duration(min(d.peers.Rank(d.name), maxRank)) * rankDelay
	d.mu.Lock()
	current, silent := d.current, timing.SinceBoot()-d.seenAt
	retired := d.retired
	d.mu.Unlock()
	switch {
	case retired:
		return false
	case current == nil || current.Released:
		return rank == 0 || silent > rank
	case current.Holder == d.self:
		return true
	case d.peers.Dead(current.Holder):
		return silent > rank
	default:
		return silent > takeAfter+rank
	}
}

// renew writes a record that names this instance.
func (d *Duty) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	start := timing.SinceBoot()
	d.mu.Lock()
	basis := d.current
	d.mu.Unlock()
	end, err := d.replica.Commit(ctx, func() []changelog.Record {
		next := d.successor(basis)
		if next == nil {
			return nil
		}
		data, err := cbor.Marshal(next)
		if err != nil {
			d.log.Error("duty record not encoded", "err", err)
			return nil
		}
		return []changelog.Record{{Key: d.name, Value: data}}
	})
	if err != nil {
		d.log.Warn("duty not renewed", "duty", d.name, "err", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if end == 0 || d.current == nil || d.current.Holder != d.self || d.current.Released {
		return // only an append of its own shows that nobody else has taken the duty since start
	}
	if d.fence != d.current.Fence {
		d.log.Info("duty taken", "duty", d.name, "fence", d.current.Fence)
	}
	d.fence, d.heldAt = d.current.Fence, start
}

// successor returns the record to write, or nil if another instance has written since basis or
// an earlier attempt of this one has succeeded after all.
func (d *Duty) successor(basis *record) *record {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != basis {
		return nil
	}
	next := &record{Holder: d.self, Fence: 1}
	if d.current != nil {
		next.Fence, next.Renewals = d.current.Fence, d.current.Renewals+1
		if d.current.Holder != d.self || d.current.Released {
			next.Fence++
		}
	}
	return next
}

// Release gives the duty up, so that another instance takes it at once, and stands for it no more.
func (d *Duty) Release(ctx context.Context) {
	d.mu.Lock()
	d.retired = true
	held := d.current != nil && d.current.Holder == d.self && !d.current.Released
	d.heldAt = 0
	d.mu.Unlock()
	if !held {
		return
	}
	_, err := d.replica.Commit(ctx, func() []changelog.Record {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.current == nil || d.current.Holder != d.self || d.current.Released {
			return nil
		}
		next := *d.current
		next.Released = true
		data, err := cbor.Marshal(&next)
		if err != nil {
			d.log.Error("duty record not encoded", "err", err)
			return nil
		}
		return []changelog.Record{{Key: d.name, Value: data}}
	})
	if err != nil {
		d.log.Warn("duty not released", "duty", d.name, "err", err)
	}
}
