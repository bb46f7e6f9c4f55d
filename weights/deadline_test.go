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

// pausingLease is a lease whose holder pauses inside each validity check.
type pausingLease struct {
	*compare.Lease
	pause time.Duration

	mu      sync.Mutex
	checked []time.Time
}

// Valid implements weights.Held.
func (l *pausingLease) Valid(margin time.Duration) bool {
	l.mu.Lock()
	l.checked = append(l.checked, time.Now())
	l.mu.Unlock()
	time.Sleep(l.pause) // the fault: the process stands still after the lease was found valid
	return l.Lease.Valid(margin)
}

// lastCheck returns when the newest check began.
func (l *pausingLease) lastCheck() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.checked[len(l.checked)-1]
}

// watchedEngine compares each order's deadline with the check of the lease that precedes it.
type watchedEngine struct {
	platform.Engine
	lease *pausingLease
	late  chan time.Duration
}

// Order implements platform.Engine.
func (e *watchedEngine) Order(ctx context.Context, addr string, o platform.Order) error {
	select {
	case e.late <- o.Deadline.Sub(e.lease.lastCheck().Add(testOrderLife)):
	default: // only the first order counts
	}
	return e.Engine.Order(ctx, addr, o)
}

// Guards against an order that outlives the successor's wait because its holder paused between
// the check of its lease and the sending (mutation DEADLINE_AFTER_CHECK of spec/lease.pml).
func TestOrderDeadlineCountsFromBeforeTheCheck(t *testing.T) {
	is := is.New(t)
	b := newSizedBed(t, false, 1, time.Millisecond, time.Millisecond)
	lease := &pausingLease{Lease: compare.NewLease(1), pause: 50 * time.Millisecond}
	engine := &watchedEngine{Engine: b.fleet, lease: lease, late: make(chan time.Duration, 1)}
	d := weights.New(weights.Options{
		Directory: b, Announcer: b, Engine: engine, OrderLife: testOrderLife,
		Campaign: func(context.Context, string) (weights.Held, error) { return lease, nil },
		Unfit:    func(string, bool) {},
	})
	ctx, cancel := context.WithCancel(b.ctx)
	var group conc.WaitGroup
	group.Go(func() { _ = d.Run(ctx) })
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 2, "main"))
	is.True(<-engine.late <= 0) // the order's life does not include the pause
	cancel()
	group.Wait()
}
