package lease_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/lease"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

const ttl = 10 * time.Second

// fakeClock is the clock of all instances in a test. Only the test advances it.
type fakeClock struct{ ns atomic.Int64 }

func (c *fakeClock) now() time.Time          { return time.Unix(0, c.ns.Load()) }
func (c *fakeClock) advance(d time.Duration) { c.ns.Add(int64(d)) }

// memoryLog is an in-memory log of lease entries.
type memoryLog struct {
	mu      sync.Mutex
	entries []lease.Entry
}

func (l *memoryLog) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// fakeFeed is one instance's view of a memoryLog. It applies entries up to the limit.
type fakeFeed struct {
	log *memoryLog
	// injectFault, if set, is called for each append. If it returns an error, the append fails with
	// that error, and stored tells whether the entry reaches the log nevertheless.
	injectFault func(e lease.Entry) (stored bool, err error)

	mu      sync.Mutex
	applied int
	limit   int // -1: no limit
	table   lease.Table
	changed chan struct{}
}

func newFakeFeed(log *memoryLog) *fakeFeed {
	return &fakeFeed{log: log, limit: -1, changed: make(chan struct{})}
}

// catchUp applies the entries of the log up to the limit, or all of them.
func (f *fakeFeed) catchUp(all bool) {
	f.log.mu.Lock()
	entries := f.log.entries
	f.log.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.applied < len(entries) && (all || f.limit < 0 || f.applied < f.limit) {
		e, offset := entries[f.applied], int64(f.applied)
		switch {
		case e.Acquire != nil:
			f.table, _ = f.table.Acquire(*e.Acquire, offset)
		case e.Renewal != nil:
			f.table, _ = f.table.Renew(*e.Renewal, offset)
		case e.Release != nil:
			f.table, _ = f.table.Release(*e.Release)
		}
		f.applied++
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

func (f *fakeFeed) Leases() lease.Table {
	f.catchUp(false)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table
}

func (f *fakeFeed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeFeed) WaitOffset(context.Context, int64) error { f.catchUp(true); return nil }
func (f *fakeFeed) Sync(context.Context) error              { f.catchUp(true); return nil }

func (f *fakeFeed) setLimit(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limit = n
}

func (f *fakeFeed) AppendLease(_ context.Context, e lease.Entry) (int64, error) {
	if f.injectFault != nil {
		if stored, err := f.injectFault(e); err != nil {
			if stored {
				f.store(e)
			}
			return 0, err
		}
	}
	return f.store(e), nil
}

func (f *fakeFeed) store(e lease.Entry) int64 {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	f.log.entries = append(f.log.entries, e)
	return int64(len(f.log.entries) - 1)
}

func outcomeUnknown() error { return &platform.Error{Code: platform.OutcomeUnknown, Op: "append"} }

func instance(i int) machine.Instance {
	return machine.Instance{ID: fmt.Sprint("i", i), Incarnation: 1}
}

func newManager(i int, f *fakeFeed, c *fakeClock) *lease.Manager {
	return lease.NewManager(instance(i), f, lease.Options{TTL: ttl, Now: c.now, PollInterval: time.Millisecond})
}

// startCampaign campaigns in the background and returns a channel that receives the lease.
func startCampaign(ctx context.Context, m *lease.Manager, duty string) <-chan *lease.Held {
	held := make(chan *lease.Held, 1)
	go func() {
		if h, err := m.Campaign(ctx, duty); err == nil {
			held <- h
		}
	}()
	return held
}

func mustAcquire(t *testing.T, m *lease.Manager, duty string) *lease.Held {
	t.Helper()
	h, err := m.Campaign(t.Context(), duty)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// advanceUntilAcquired advances the clock in small steps, calling step after each, until a lease is
// received from held. It returns the lease and the time that passed on the clock.
func advanceUntilAcquired(t *testing.T, c *fakeClock, held <-chan *lease.Held, step func()) (*lease.Held, time.Duration) {
	t.Helper()
	start := c.now()
	for c.now().Sub(start) < 10*ttl {
		select {
		case h := <-held:
			return h, c.now().Sub(start)
		case <-time.After(5 * time.Millisecond):
			c.advance(100 * time.Millisecond)
			step()
		}
	}
	t.Fatal("no lease acquired within ten times the TTL")
	return nil, 0
}

// Guards against two valid holders of an orders duty after its holder was paused. The lease of the
// paused holder must be invalid before the takeover, and the successor must then wait for the
// longest order life, since engines may ignore fencing tokens.
func TestPausedHolderAndSuccessorWait(t *testing.T) {
	is := is.New(t)
	c, log := &fakeClock{}, &memoryLog{}
	a, b := newManager(1, newFakeFeed(log), c), newManager(2, newFakeFeed(log), c)
	predecessor := mustAcquire(t, a, "orders/fry-lm")
	is.True(predecessor.Valid(ttl - time.Second))
	is.True(!predecessor.Valid(ttl))
	var invalidSince time.Time
	successor, took := advanceUntilAcquired(t, c, startCampaign(t.Context(), b, "orders/fry-lm"), func() {
		if !predecessor.Valid(0) && invalidSince.IsZero() {
			invalidSince = c.now()
		}
	})
	is.True(took >= ttl+lease.MaxOrderLife)
	is.True(c.now().Sub(invalidSince) >= lease.MaxOrderLife)
	is.True(successor.Fence() > predecessor.Fence())
	is.True(!predecessor.Valid(0))
	<-predecessor.Lost()
	is.NoErr(b.Renew(t.Context()))
	is.True(successor.Valid(0))
}

// Guards against a holder that acts while orders of the holder before its predecessor may still
// start. This happens if a candidate that gives up during the successor's wait releases the lease,
// since the next holder then acts without a wait.
func TestGivingUpDuringTheWaitIsNoRelease(t *testing.T) {
	is := is.New(t)
	c, log := &fakeClock{}, &memoryLog{}
	mustAcquire(t, newManager(1, newFakeFeed(log), c), "orders/x")
	candidateFeed := newFakeFeed(log)
	ctx, stop := context.WithCancel(t.Context())
	candidate := newManager(2, candidateFeed, c)
	acquired := startCampaign(ctx, candidate, "orders/x")
	for l, _ := candidateFeed.Leases().Get("orders/x"); l.Holder.ID != "i2"; l, _ = candidateFeed.Leases().Get("orders/x") {
		c.advance(100 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	takeover := c.now()
	is.NoErr(candidate.ReleaseAll(t.Context())) // as on a planned stop
	stop()
	for _, e := range log.entries {
		is.True(e.Release == nil)
	}
	advanceUntilAcquired(t, c, startCampaign(t.Context(), newManager(3, newFakeFeed(log), c), "orders/x"), func() {})
	is.True(c.now().Sub(takeover) >= lease.MaxOrderLife)
	is.Equal(len(acquired), 0)
}

// Guards against a successor that waits although the lease was released, and against a lease that
// stays valid after its release.
func TestReleaseHandsOverAtOnce(t *testing.T) {
	is := is.New(t)
	c, log := &fakeClock{}, &memoryLog{}
	a, b := newManager(1, newFakeFeed(log), c), newManager(2, newFakeFeed(log), c)
	h := mustAcquire(t, a, "orders/x")
	is.NoErr(h.Release(t.Context()))
	is.True(!h.Valid(0))
	<-h.Lost()
	is.True(mustAcquire(t, b, "orders/x").Valid(0)) // acquired without a wait: the clock was not advanced
	_, err := b.Campaign(t.Context(), "orders/x")
	var typed *lease.Error
	is.True(errors.As(err, &typed))
	is.Equal(typed.Code, lease.AlreadyHeld)
}

// Guards against a campaign that acquires a duty twice, or does not detect that it holds the duty,
// after the answer to its append was lost.
func TestLostAnswers(t *testing.T) {
	is := is.New(t)
	c, log := &fakeClock{}, &memoryLog{}
	f := newFakeFeed(log)
	f.injectFault = func(lease.Entry) (bool, error) { return true, outcomeUnknown() }
	m := newManager(1, f, c)
	h := mustAcquire(t, m, "snapshot")
	is.Equal(len(log.entries), 1)
	c.advance(4 * time.Second)
	err := m.Renew(t.Context())
	var typed *lease.Error
	is.True(errors.As(err, &typed))
	is.Equal(typed.Code, lease.RenewalFailed)
	is.True(h.Valid(9 * time.Second)) // the renewal is in the log although its answer was lost
	f.injectFault = func(lease.Entry) (bool, error) { return false, outcomeUnknown() }
	c.advance(9 * time.Second)
	is.True(m.Renew(t.Context()) != nil)
	is.True(h.Valid(900 * time.Millisecond))
	is.True(!h.Valid(time.Second)) // a renewal that was not stored does not extend the validity
}

// Guards against an instance that does not detect that it holds a duty because its acquire record
// reached the log only after a later attempt had failed.
func TestLateAcquire(t *testing.T) {
	is := is.New(t)
	c, log := &fakeClock{}, &memoryLog{}
	f := newFakeFeed(log)
	attempts := make(chan lease.Entry, 100)
	f.injectFault = func(e lease.Entry) (bool, error) { attempts <- e; return false, outcomeUnknown() }
	held := startCampaign(t.Context(), newManager(1, f, c), "snapshot")
	first := <-attempts
	for later := 0; later < 2; {
		select {
		case <-attempts:
			later++
		case <-time.After(time.Millisecond):
			c.advance(time.Millisecond)
		}
	}
	f.store(first)
	h := <-held
	is.Equal(h.Fence(), int64(0))
	remaining := ttl - c.now().Sub(time.Unix(0, 0)) // counted from the sending of the stored record
	is.True(h.Valid(remaining - 1))
	is.True(!h.Valid(remaining))
}

// Guards against a holder that acts after a pause on the state from before the pause.
func TestPauseReportNeedsTheLog(t *testing.T) {
	is := is.New(t)
	c, log := &fakeClock{}, &memoryLog{}
	pausedFeed := newFakeFeed(log)
	a := newManager(1, pausedFeed, c)
	h := mustAcquire(t, a, "snapshot")
	pausedFeed.setLimit(1) // the paused instance receives no further entries
	otherFeed := newFakeFeed(log)
	otherFeed.store(lease.Entry{Acquire: &lease.Acquire{Duty: "snapshot", Holder: instance(2).Ref()}})
	is.True(h.Valid(0)) // the clock stopped during the pause, so the lease still looks valid
	a.ReportPause()
	is.True(!h.Valid(0))
	is.NoErr(a.Reread(t.Context()))
	is.True(!h.Valid(0))
	<-h.Lost()
}

// Guards against a separate renewal record for each lease, since the append rate of the log is
// limited.
func TestRenewalIsBatched(t *testing.T) {
	is := is.New(t)
	c, log := &fakeClock{}, &memoryLog{}
	m := newManager(1, newFakeFeed(log), c)
	var all []*lease.Held
	for i := range 3 {
		all = append(all, mustAcquire(t, m, fmt.Sprint("duty", i)))
	}
	c.advance(ttl - 1)
	is.NoErr(m.Renew(t.Context()))
	is.Equal(len(log.entries), 4)
	for _, h := range all {
		is.True(h.Valid(ttl - 1))
	}
	is.NoErr(m.ReleaseAll(t.Context()))
	is.NoErr(m.Renew(t.Context()))
	is.Equal(len(log.entries), 7)
}

// Guards against two valid holders under lagging views, lost appends, lost answers and holders
// that do not renew. The orders sent while a lease was valid must have expired before the next
// holder's lease is valid.
func TestAtMostOneValidHolder(t *testing.T) {
	seed, err := strconv.ParseInt(os.Getenv("CICADASILL_SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	t.Logf("seed %d", seed)
	r := rand.New(rand.NewSource(seed))
	c, log := &fakeClock{}, &memoryLog{}
	const instances = 3
	var managers [instances]*lease.Manager
	var feeds [instances]*fakeFeed
	var held [instances]*lease.Held
	var campaigns [instances]<-chan *lease.Held
	var faultMode [instances]atomic.Int32
	for i := range managers {
		feeds[i] = newFakeFeed(log)
		feeds[i].injectFault = func(lease.Entry) (bool, error) {
			return [...]bool{true, true, false, false}[faultMode[i].Load()],
				[...]error{nil, outcomeUnknown(), outcomeUnknown(), &platform.Error{Code: platform.Unavailable}}[faultMode[i].Load()]
		}
		managers[i] = newManager(i, feeds[i], c)
		campaigns[i] = startCampaign(t.Context(), managers[i], "orders/x")
	}
	var lastOrderAt [instances]time.Time
	takeovers := 0
	for step := 0; takeovers < 40; step++ {
		if step == 500_000 {
			t.Fatalf("only %d takeovers before the step limit", takeovers)
		}
		i := r.Intn(instances)
		switch r.Intn(6) {
		case 0:
			faultMode[i].Store(int32(r.Intn(4)))
		case 1:
			feeds[i].setLimit(r.Intn(2*log.size()+2) - 1)
		case 2, 3:
			_ = managers[i].Renew(t.Context())
		case 4:
			c.advance(time.Duration(r.Intn(2000)) * time.Millisecond)
		case 5:
			time.Sleep(100 * time.Microsecond) // lets campaigns run; no check depends on it
		}
		for j := range managers {
			select {
			case held[j] = <-campaigns[j]:
				takeovers++
			default:
			}
			if held[j] == nil {
				continue
			}
			if held[j].Valid(0) {
				lastOrderAt[j] = c.now()
				for k := range managers {
					if k != j && !lastOrderAt[k].IsZero() && c.now().Before(lastOrderAt[k].Add(lease.MaxOrderLife)) {
						t.Fatalf("instance %d has a valid lease at %v, instance %d could order at %v", j, c.now(), k, lastOrderAt[k])
					}
				}
			}
			select {
			case <-held[j].Lost():
				held[j] = nil
				campaigns[j] = startCampaign(t.Context(), managers[j], "orders/x")
			default:
			}
		}
	}
}
