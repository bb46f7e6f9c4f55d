package weights_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/rollout/compare"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/weights"
)

// pausingLease is a lease whose holder is paused during each validity check.
type pausingLease struct {
	*compare.Lease
	pause time.Duration

	mu         sync.Mutex
	checkTimes []time.Time
}

// Valid implements weights.Lease.
func (l *pausingLease) Valid(margin time.Duration) bool {
	l.mu.Lock()
	l.checkTimes = append(l.checkTimes, time.Now())
	l.mu.Unlock()
	time.Sleep(l.pause) // simulates a process that is paused between the check and the order
	return l.Lease.Valid(margin)
}

// lastCheck returns the time at which the latest check began.
func (l *pausingLease) lastCheck() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.checkTimes[len(l.checkTimes)-1]
}

// recordingEngine records by how much the deadline of the first order exceeds the order life, counted
// from the start of the preceding lease check.
type recordingEngine struct {
	platform.Engine
	lease  *pausingLease
	excess chan time.Duration
}

// Order implements platform.Engine.
func (e *recordingEngine) Order(ctx context.Context, addr string, o platform.Order) error {
	select {
	case e.excess <- o.Deadline.Sub(e.lease.lastCheck().Add(testOrderLife)):
	default: // only the first order is recorded
	}
	return e.Engine.Order(ctx, addr, o)
}

// Guards against an order that can start after the successor's wait because its holder was paused
// between the lease check and the sending of the order (mutation DEADLINE_AFTER_CHECK of
// spec/lease.pml).
func TestOrderDeadlineIsSetBeforeLeaseCheck(t *testing.T) {
	is := is.New(t)
	b := newSizedTestbed(t, false, 1, time.Millisecond, time.Millisecond)
	lease := &pausingLease{Lease: compare.NewLease(1), pause: 50 * time.Millisecond}
	engine := &recordingEngine{Engine: b.fleet, lease: lease, excess: make(chan time.Duration, 1)}
	d := weights.New(weights.Options{
		Directory: b, Announcer: b, Engine: engine, OrderLife: testOrderLife,
		Campaign: func(context.Context, string) (weights.Lease, error) { return lease, nil },
		SetUnfit: func(string, bool) {},
	})
	ctx, cancel := context.WithCancel(b.ctx)
	var group conc.WaitGroup
	group.Go(func() { _ = d.Run(ctx) })
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 2, "main"))
	is.True(<-engine.excess <= 0) // the order's life does not include the pause
	cancel()
	group.Wait()
}
