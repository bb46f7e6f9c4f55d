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

// clock is the time of all instances of a test; only the test advances it.
type clock struct{ ns atomic.Int64 }

func (c *clock) now() time.Time          { return time.Unix(0, c.ns.Load()) }
func (c *clock) advance(d time.Duration) { c.ns.Add(int64(d)) }

// history is a log of lease entries.
type history struct {
	mu      sync.Mutex
	entries []lease.Entry
}

func (l *history) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// feed is one instance's view of a history. It sees entries up to the limit.
type feed struct {
	log *history
	// fail, when set, decides the fate of an append: stored or not, and the error.
	fail func(e lease.Entry) (stored bool, err error)

	mu      sync.Mutex
	applied int
	limit   int // -1: no limit
	table   lease.Table
	changed chan struct{}
}

func newFeed(log *history) *feed {
	return &feed{log: log, limit: -1, changed: make(chan struct{})}
}

func (f *feed) catchUp(all bool) {
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

func (f *feed) Leases() lease.Table {
	f.catchUp(false)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table
}

func (f *feed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *feed) WaitOffset(context.Context, int64) error { f.catchUp(true); return nil }
func (f *feed) Sync(context.Context) error              { f.catchUp(true); return nil }

func (f *feed) setLimit(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limit = n
}

func (f *feed) AppendLease(_ context.Context, e lease.Entry) (int64, error) {
	if f.fail != nil {
		if stored, err := f.fail(e); err != nil {
			if stored {
				f.store(e)
			}
			return 0, err
		}
	}
	return f.store(e), nil
}

func (f *feed) store(e lease.Entry) int64 {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	f.log.entries = append(f.log.entries, e)
	return int64(len(f.log.entries) - 1)
}

func unknown() error { return &platform.Error{Code: platform.OutcomeUnknown, Op: "append"} }

func instance(i int) machine.Instance {
	return machine.Instance{ID: fmt.Sprint("i", i), Incarnation: 1}
}

func manager(i int, f *feed, c *clock) *lease.Manager {
	return lease.NewManager(instance(i), f, lease.Options{TTL: ttl, Now: c.now, Poll: time.Millisecond})
}

// campaign campaigns in the background.
func campaign(ctx context.Context, m *lease.Manager, duty string) <-chan *lease.Held {
	held := make(chan *lease.Held, 1)
	go func() {
		if h, err := m.Campaign(ctx, duty); err == nil {
			held <- h
		}
	}()
	return held
}

func must(t *testing.T, m *lease.Manager, duty string) *lease.Held {
	t.Helper()
	h, err := m.Campaign(t.Context(), duty)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// advanceUntil advances the clock in small steps until a lease is acquired and returns the
// time that took.
func advanceUntil(t *testing.T, c *clock, held <-chan *lease.Held, step func()) (*lease.Held, time.Duration) {
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
	t.Fatal("no lease within ten times its TTL")
	return nil, 0
}

// Guards against two holders at once after the holder of an orders duty stands still: the old
// one must be invalid when the takeover is written, and the successor must wait out the
// longest order life, since the engines may ignore fencing numbers.
func TestPausedHolderAndSuccessorWait(t *testing.T) {
	is := is.New(t)
	c, log := &clock{}, &history{}
	a, b := manager(1, newFeed(log), c), manager(2, newFeed(log), c)
	old := must(t, a, "orders/fry-lm")
	is.True(old.Valid(ttl - time.Second))
	is.True(!old.Valid(ttl))
	var invalidSince time.Time
	next, took := advanceUntil(t, c, campaign(t.Context(), b, "orders/fry-lm"), func() {
		if !old.Valid(0) && invalidSince.IsZero() {
			invalidSince = c.now()
		}
	})
	is.True(took >= ttl+lease.LongestOrderLife)
	is.True(c.now().Sub(invalidSince) >= lease.LongestOrderLife)
	is.True(next.Fence() > old.Fence())
	is.True(!old.Valid(0))
	<-old.Lost()
	is.NoErr(b.Renew(t.Context()))
	is.True(next.Valid(0))
}

// Guards against a successor acting too early because the predecessor of its predecessor is
// still within its order life: giving up during the successor's wait must not count as a release.
func TestGivingUpDuringTheWaitIsNoRelease(t *testing.T) {
	is := is.New(t)
	c, log := &clock{}, &history{}
	must(t, manager(1, newFeed(log), c), "orders/x")
	fb := newFeed(log)
	ctx, stop := context.WithCancel(t.Context())
	waiting := manager(2, fb, c)
	done := campaign(ctx, waiting, "orders/x")
	for l, _ := fb.Leases().Get("orders/x"); l.Holder.ID != "i2"; l, _ = fb.Leases().Get("orders/x") {
		c.advance(100 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	takeover := c.now()
	is.NoErr(waiting.ReleaseAll(t.Context())) // as a planned stop does
	stop()
	for _, e := range log.entries {
		is.True(e.Release == nil)
	}
	advanceUntil(t, c, campaign(t.Context(), manager(3, newFeed(log), c), "orders/x"), func() {})
	is.True(c.now().Sub(takeover) >= lease.LongestOrderLife)
	is.Equal(len(done), 0)
}

// Guards against a wait after a released lease, and against a lease that is valid after its release.
func TestReleaseHandsOverAtOnce(t *testing.T) {
	is := is.New(t)
	c, log := &clock{}, &history{}
	a, b := manager(1, newFeed(log), c), manager(2, newFeed(log), c)
	h := must(t, a, "orders/x")
	is.NoErr(h.Release(t.Context()))
	is.True(!h.Valid(0))
	<-h.Lost()
	is.True(must(t, b, "orders/x").Valid(0)) // the clock has not moved
	_, err := b.Campaign(t.Context(), "orders/x")
	var typed *lease.Error
	is.True(errors.As(err, &typed))
	is.Equal(typed.Code, lease.AlreadyHeld)
}

// Guards against a campaign that acquires twice, or never learns that it holds the duty, after
// the answer to its append was lost.
func TestLostAnswers(t *testing.T) {
	is := is.New(t)
	c, log := &clock{}, &history{}
	f := newFeed(log)
	f.fail = func(lease.Entry) (bool, error) { return true, unknown() }
	m := manager(1, f, c)
	h := must(t, m, "snapshot")
	is.Equal(len(log.entries), 1)
	c.advance(4 * time.Second)
	err := m.Renew(t.Context())
	var typed *lease.Error
	is.True(errors.As(err, &typed))
	is.Equal(typed.Code, lease.RenewalFailed)
	is.True(h.Valid(9 * time.Second)) // the renewal is in the log although its answer was lost
	f.fail = func(lease.Entry) (bool, error) { return false, unknown() }
	c.advance(9 * time.Second)
	is.True(m.Renew(t.Context()) != nil)
	is.True(h.Valid(900 * time.Millisecond))
	is.True(!h.Valid(time.Second)) // the lost renewal does not extend the validity
}

// Guards against an instance that never learns that it holds a duty because its acquire record
// reached the log after a later attempt had failed.
func TestLateAcquire(t *testing.T) {
	is := is.New(t)
	c, log := &clock{}, &history{}
	f := newFeed(log)
	attempts := make(chan lease.Entry, 100)
	f.fail = func(e lease.Entry) (bool, error) { attempts <- e; return false, unknown() }
	held := campaign(t.Context(), manager(1, f, c), "snapshot")
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
	rest := ttl - c.now().Sub(time.Unix(0, 0)) // from the sending of the record that is in the log
	is.True(h.Valid(rest - 1))
	is.True(!h.Valid(rest))
}

// Guards against a holder that acts after a pause on what it knew before it.
func TestPauseReportNeedsTheLog(t *testing.T) {
	is := is.New(t)
	c, log := &clock{}, &history{}
	fa := newFeed(log)
	a := manager(1, fa, c)
	h := must(t, a, "snapshot")
	fa.setLimit(1) // the paused instance receives nothing
	other := newFeed(log)
	other.store(lease.Entry{Acquire: &lease.Acquire{Duty: "snapshot", Holder: instance(2).Ref()}})
	is.True(h.Valid(0)) // the clock stood still with the instance, so its lease looks valid
	a.ReportPause()
	is.True(!h.Valid(0))
	is.NoErr(a.Reread(t.Context()))
	is.True(!h.Valid(0))
	<-h.Lost()
}

// Guards against one renewal record for each lease: the log's append rate is limited.
func TestRenewalIsBatched(t *testing.T) {
	is := is.New(t)
	c, log := &clock{}, &history{}
	m := manager(1, newFeed(log), c)
	var all []*lease.Held
	for i := range 3 {
		all = append(all, must(t, m, fmt.Sprint("duty", i)))
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
// that do not renew. The orders given within a validity must die before the next holder starts.
func TestAtMostOneValidHolder(t *testing.T) {
	seed, err := strconv.ParseInt(os.Getenv("CICADASILL_SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	t.Logf("seed %d", seed)
	r := rand.New(rand.NewSource(seed))
	c, log := &clock{}, &history{}
	const instances = 3
	var managers [instances]*lease.Manager
	var feeds [instances]*feed
	var held [instances]*lease.Held
	var waits [instances]<-chan *lease.Held
	var mode [instances]atomic.Int32
	for i := range managers {
		feeds[i] = newFeed(log)
		feeds[i].fail = func(lease.Entry) (bool, error) {
			return [...]bool{true, true, false, false}[mode[i].Load()],
				[...]error{nil, unknown(), unknown(), &platform.Error{Code: platform.Unavailable}}[mode[i].Load()]
		}
		managers[i] = manager(i, feeds[i], c)
		waits[i] = campaign(t.Context(), managers[i], "orders/x")
	}
	var lastOrder [instances]time.Time
	takeovers := 0
	for step := 0; takeovers < 40; step++ {
		if step == 500_000 {
			t.Fatalf("only %d takeovers: the test shows little", takeovers)
		}
		i := r.Intn(instances)
		switch r.Intn(6) {
		case 0:
			mode[i].Store(int32(r.Intn(4)))
		case 1:
			feeds[i].setLimit(r.Intn(2*log.size()+2) - 1)
		case 2, 3:
			_ = managers[i].Renew(t.Context())
		case 4:
			c.advance(time.Duration(r.Intn(2000)) * time.Millisecond)
		case 5:
			time.Sleep(100 * time.Microsecond) // lets campaigns run; proves nothing
		}
		for j := range managers {
			select {
			case held[j] = <-waits[j]:
				takeovers++
			default:
			}
			if held[j] == nil {
				continue
			}
			if held[j].Valid(0) {
				lastOrder[j] = c.now()
				for k := range managers {
					if k != j && !lastOrder[k].IsZero() && c.now().Before(lastOrder[k].Add(lease.LongestOrderLife)) {
						t.Fatalf("%d valid at %v, %d gave an order at %v", j, c.now(), k, lastOrder[k])
					}
				}
			}
			select {
			case <-held[j].Lost():
				held[j] = nil
				waits[j] = campaign(t.Context(), managers[j], "orders/x")
			default:
			}
		}
	}
}
