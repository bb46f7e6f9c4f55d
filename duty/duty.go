// Package duty elects the instance that performs a duty, such as sending orders to the engines of a
// deployment.
//
// The newest record of a duty in the store names its holder. The holder renews the record under the
// condition that no other instance has written since, so it cannot renew after a successor has taken
// over. It acts for leaseTTL after the start of a renewal; a successor waits longer unless the
// holder has released the duty, has left or has restarted. The fencing token grows by one with each takeover.
package duty

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/timing"
)

const topic = "duties"

// Intervals and time limits of a duty.
const (
	// renewInterval is the pause between attempts to acquire or renew. It leaves time for two attempts
	// within leaseTTL, also if the first one is noticed to be silent only after the time limit of a call.
	renewInterval = 400 * time.Millisecond
	// leaseTTL is how long the holder acts after the start of a renewal.
	leaseTTL = 1500 * time.Millisecond
	// takeoverWait is how long a record must stay unchanged before another instance takes the duty.
	// It exceeds leaseTTL, which the holder measures from the start of its append, so the hold ends
	// first.
	takeoverWait = 2 * time.Second
	// rankDelay is the additional wait per rank before a candidate takes the duty, so that candidates
	// rarely conflict.
	rankDelay = 400 * time.Millisecond
	// maxRank bounds the rank in that wait. Instances with a rank below it are next in line.
	maxRank = 3
	// commitTimeout bounds one attempt to acquire or renew.
	commitTimeout = 1200 * time.Millisecond
	// minReadPause is the pause between reads of the holder and of the instances that are next in line.
	minReadPause = 300 * time.Millisecond
	// StandbyReadPause is the pause between reads of the other instances. It is below takeoverWait, because
	// an instance does not take the duty while its copy is older than that.
	StandbyReadPause = 1200 * time.Millisecond
)

// record is the stored state of a duty.
type record struct {
	Holder   machine.Ref `cbor:"1,keyasint"`
	Fence    int64       `cbor:"2,keyasint"`
	Renewals uint64      `cbor:"3,keyasint"`
	Released bool        `cbor:"4,keyasint"`
	// Attempt is the start of the attempt that wrote the record, since the boot of the holder's machine. It tells the
	// attempts of one holder apart.
	Attempt time.Duration `cbor:"5,keyasint"`
	// Past lists the machines that held the duty before and might act in turns with the holder, see Rules.MinTurn.
	Past []pastHold `cbor:"6,keyasint,omitempty"`
}

// equal reports whether two records are the same.
func (r *record) equal(other *record) bool {
	return r.Holder == other.Holder && r.Fence == other.Fence && r.Renewals == other.Renewals && r.Released == other.Released &&
		r.Attempt == other.Attempt && slices.Equal(r.Past, other.Past)
}

// NotHeldError reports that this instance does not hold the duty.
type NotHeldError struct{ Duty string }

// Error implements error.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("duty %s is not held by this instance", e.Duty)
}

// Peers provides the liveness of the instances and an order among them.
type Peers interface {
	// Ended reports whether an instance has left or restarted. It must not conclude that from missing
	// heartbeats, because a holder whose heartbeats fail may still renew its duty.
	Ended(machine.Ref) bool
	// Rank returns this instance's position among the live ones in an order that depends on key.
	Rank(key string) int
}

// Duty is this instance's part in the election for one duty.
type Duty struct {
	name    string
	self    machine.Ref
	peers   Peers
	log     *log.Logger
	replica *changelog.Replica
	rules   Rules

	mu           sync.Mutex // guards the fields below
	current      *record
	changedAt    time.Duration // when current arrived, since boot
	renewedAt    time.Duration // start of the last successful renewal, since boot; 0 if not held
	renewalTook  time.Duration // duration of that renewal
	fence        int64
	highestFence int64 // of all records read
	refusedFence int64 // set by Invalidate
	hasReleased  bool  // set by Release
}

// New returns a Duty that this instance does not hold.
func New(name string, self machine.Ref, store changelog.Log, peers Peers, logger *log.Logger) *Duty {
	d := &Duty{name: name, self: self, peers: peers, log: logger}
	d.replica = changelog.NewReplica(store, changelog.Partition{Topic: topic}, d)
	return d
}

// SetRules sets how the receivers of the calls judge them. It must be called before Run.
func (d *Duty) SetRules(rules Rules) { d.rules = rules }

// Reset implements changelog.State.
func (d *Duty) Reset() {}

// Apply implements changelog.State.
func (d *Duty) Apply(r changelog.Record) {
	if r.Key != d.name || r.Value == nil {
		return
	}
	var next record
	if err := cbor.Unmarshal(r.Value, &next); err != nil {
		d.log.Error("cannot decode duty record", "duty", r.Key, "err", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil && d.current.equal(&next) {
		return
	}
	if d.current == nil || d.current.Fence != next.Fence {
		d.log.Info("duty holder changed", "duty", d.name, "holder", next.Holder.String(), "fence", next.Fence)
	}
	if next.Holder != d.self || next.Released {
		d.renewedAt = 0
	}
	d.current, d.changedAt = &next, timing.SinceBoot()
	d.highestFence = max(d.highestFence, next.Fence)
}

// Fence returns the fencing token if this instance holds the duty, else a *NotHeldError. Callers must call it
// right before each order.
func (d *Duty) Fence() (int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.renewedAt == 0 || timing.SinceBoot()-d.renewedAt > d.rules.holdTime(d.renewalTook) {
		return 0, &NotHeldError{Duty: d.name}
	}
	return d.fence, nil
}

// Check returns nil if this instance holds the duty under the fencing token fence, else a *NotHeldError. A call under that token
// must not be sent after an error.
func (d *Duty) Check(fence int64) error {
	held, err := d.Fence()
	if err == nil && held != fence {
		err = &NotHeldError{Duty: d.name}
	}
	return err
}

// Invalidate ends the hold under the fencing token fence, because a higher one has been used. A later
// renewal can establish a hold again, under a higher token.
func (d *Duty) Invalidate(fence int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fence == fence {
		d.renewedAt = 0
		d.fence = 0
		d.refusedFence = fence
	}
}

// Run takes part in the election until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.replica.Follow(ctx, changelog.ConstantWait(0), d.readPause, func(error) {})
	}()
	for timing.Sleep(ctx, renewInterval) {
		if d.shouldAcquireOrRenew() {
			d.acquireOrRenew(ctx)
		}
	}
	<-done
}

// readPause returns the pause between this instance's reads. Only the holder and the instances that are next
// in line need to notice quickly that the record changes or stops changing.
func (d *Duty) readPause() time.Duration {
	if _, err := d.Fence(); err == nil || d.peers.Rank(d.name) < maxRank {
		return minReadPause
	}
	return StandbyReadPause
}

// shouldAcquireOrRenew reports whether this instance should take or renew the duty now.
func (d *Duty) shouldAcquireOrRenew() bool {
	if d.replica.Age() > takeoverWait {
		return false // an outdated copy does not show who holds the duty
	}
	delay := time.Duration(min(d.peers.Rank(d.name), maxRank)) * rankDelay
	d.mu.Lock()
	current, unchangedFor := d.current, timing.SinceBoot()-d.changedAt
	hasReleased := d.hasReleased
	d.mu.Unlock()
	switch {
	case hasReleased:
		return false
	case current == nil:
		return delay == 0 || unchangedFor > delay
	case current.Released:
		return d.rules.mayTakeTurn(current, d.self.ID, unchangedFor) && (delay == 0 || unchangedFor > delay)
	case current.Holder == d.self:
		return true
	case !d.rules.mayTakeTurn(current, d.self.ID, unchangedFor):
		return false
	case d.peers.Ended(current.Holder):
		return unchangedFor > delay
	default:
		return unchangedFor > takeoverWait+delay
	}
}

// acquireOrRenew writes a record that names this instance. On success the hold counts from the start of the
// attempt.
func (d *Duty) acquireOrRenew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	start := timing.SinceBoot()
	d.mu.Lock()
	expected := d.current
	d.mu.Unlock()
	end, err := d.replica.Commit(ctx, func() []changelog.Record {
		next := d.nextRecord(expected, start)
		if next == nil {
			return nil
		}
		data, err := cbor.Marshal(next)
		if err != nil {
			d.log.Error("cannot encode duty record", "err", err)
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
	if d.hasReleased || d.current == nil || d.current.Holder != d.self || d.current.Released || (end == 0 && d.current.Attempt != start) {
		return // only an append of this attempt proves that no other instance has taken the duty since start
	}
	if d.current.Fence == d.refusedFence {
		return // the attempt began before Invalidate
	}
	if d.fence != d.current.Fence {
		d.log.Info("duty taken", "duty", d.name, "fence", d.current.Fence)
	}
	d.fence, d.renewedAt, d.renewalTook = d.current.Fence, start, timing.SinceBoot()-start
}

// nextRecord returns the record to write, or nil if the current record is no longer the expected one: another
// instance has written, or an append of this one of unknown outcome has succeeded after all. start is the start of the
// attempt.
func (d *Duty) nextRecord(expected *record, start time.Duration) *record {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != expected {
		return nil
	}
	next := &record{Holder: d.self, Fence: d.highestFence + 1, Attempt: start}
	if d.current == nil {
		return next
	}
	next.Renewals = d.current.Renewals + 1
	if d.current.Holder == d.self && !d.current.Released && d.current.Fence != d.refusedFence {
		next.Fence = d.current.Fence
	}
	next.Past = d.rules.pastHolds(d.current, max(0, start-d.changedAt), d.current.Holder.ID != d.self.ID)
	return next
}

// Release gives up the duty, so that another instance can take it at once, and ends this instance's part in the
// election.
func (d *Duty) Release(ctx context.Context) {
	d.mu.Lock()
	d.hasReleased = true
	held := d.current != nil && d.current.Holder == d.self && !d.current.Released
	d.renewedAt = 0
	d.mu.Unlock()
	if !held {
		return
	}
	if d.rules.Unfenced { // a call that the last check permitted has to arrive before a successor's
		timing.Sleep(ctx, callMargin)
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
			d.log.Error("cannot encode duty record", "err", err)
			return nil
		}
		return []changelog.Record{{Key: d.name, Value: data}}
	})
	if err != nil {
		d.log.Warn("duty not released", "duty", d.name, "err", err)
	}
}
