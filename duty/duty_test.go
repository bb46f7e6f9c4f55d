package duty

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/platform/hosted"
	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
	"github.com/cicadasill/cicadasill/telemetry"
	"github.com/cicadasill/cicadasill/timing"
)

// patience bounds how long a test waits for something that must come to hold.
const patience = 20 * time.Second

// fakePeers ranks all instances first and knows none to be dead.
type fakePeers struct{}

func (fakePeers) Dead(machine.Ref) bool { return false }
func (fakePeers) Rank(string) int       { return 0 }

func newDuty(store *hostedtest.Store, id string) *Duty {
	client := hosted.NewStore(hosted.StoreOptions{Addr: store.Addr(), WritesPerS: 1000, ReadsPerS: 1000})
	return New("orders", machine.Ref{ID: id, Incarnation: 1}, client, fakePeers{}, telemetry.Discard())
}

func run(t *testing.T, d *Duty) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx)
	}()
	end := func() { cancel(); <-done }
	t.Cleanup(end)
	return end
}

// waitHeld returns the fencing token once the duty is held.
func waitHeld(t *testing.T, d *Duty) int64 {
	t.Helper()
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) {
		if fence, err := d.Fence(); err == nil {
			return fence
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the duty is not taken")
	return 0
}

// Guards against two holders at once, and against a successor with the token of its predecessor.
func TestSuccessorHasAHigherToken(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a := newDuty(store, "a")
	endA := run(t, a)
	first := waitHeld(t, a)
	b := newDuty(store, "b")
	run(t, b)
	_, err := b.Fence()
	is.True(err != nil) // a holds it
	endA()
	second := waitHeld(t, b)
	is.True(second > first)
	_, err = a.Fence()
	is.True(err != nil) // a's validity ends before b takes the duty
}

// Guards against a holder that stands still for a while and then acts beside its successor.
func TestHolderWithoutRenewalStopsActing(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	d := newDuty(store, "a")
	end := run(t, d)
	waitHeld(t, d)
	end()
	d.mu.Lock()
	d.heldAt = timing.SinceBoot() - validity - time.Millisecond
	d.mu.Unlock()
	_, err := d.Fence()
	is.True(err != nil)
}

// Guards against a duty that stands idle after its holder has stopped as planned.
func TestReleasedDutyIsTakenAtOnce(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a, b := newDuty(store, "a"), newDuty(store, "b")
	run(t, a)
	waitHeld(t, a)
	run(t, b)
	a.Release(context.Background())
	released := time.Now()
	waitHeld(t, b)
	is.True(time.Since(released) < takeAfter)
	_, err := a.Fence()
	is.True(err != nil)
}

// Guards against orders with a token that an engine has refused.
func TestRefusedTokenIsGivenUp(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	d := newDuty(store, "a")
	end := run(t, d)
	fence := waitHeld(t, d)
	end()
	d.Invalidate(fence)
	_, err := d.Fence()
	is.True(err != nil)
}
