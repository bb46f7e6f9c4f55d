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

// waitTimeout bounds how long a test waits for a condition.
const waitTimeout = 20 * time.Second

// fakePeers ranks every instance first and reports none as ended.
type fakePeers struct{}

func (fakePeers) Ended(machine.Ref) bool { return false }
func (fakePeers) Rank(string) int        { return 0 }

// silentPeers takes every other instance for dead, because their heartbeats are missing. That proves no end.
type silentPeers struct{ fakePeers }

func (silentPeers) Dead(machine.Ref) bool { return true }

func newDuty(store *hostedtest.Store, id string) *Duty { return newDutyAt(store.Addr(), id) }

// newDutyAt is newDuty with the address of the store.
func newDutyAt(addr, id string) *Duty {
	client := hosted.NewStore(hosted.StoreOptions{Addr: addr, WritesPerS: 1000, ReadsPerS: 1000})
	return New("orders", machine.Ref{ID: id, Incarnation: 1}, client, fakePeers{}, telemetry.Discard())
}

// startDuty runs d and returns a function that stops it and waits for its end.
func startDuty(t *testing.T, d *Duty) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx)
	}()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

// waitHeld waits until d is held and returns the fencing token.
func waitHeld(t *testing.T, d *Duty) int64 {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		if fence, err := d.Fence(); err == nil {
			return fence
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the duty was not taken in time")
	return 0
}

// Guards against two holders at once and against a successor that uses its predecessor's fencing token.
func TestSuccessorHasAHigherToken(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a := newDuty(store, "a")
	stopA := startDuty(t, a)
	first := waitHeld(t, a)
	b := newDuty(store, "b")
	startDuty(t, b)
	_, err := b.Fence()
	is.True(err != nil) // a holds the duty
	stopA()
	second := waitHeld(t, b)
	is.True(second > first)
	_, err = a.Fence()
	is.True(err != nil) // a's hold ends before b takes the duty
}

// Guards against a holder that is paused, loses the duty meanwhile and then acts beside its successor.
func TestHolderWithoutRenewalStopsActing(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	d := newDuty(store, "a")
	stop := startDuty(t, d)
	waitHeld(t, d)
	stop()
	d.mu.Lock()
	d.renewedAt = timing.SinceBoot() - leaseTTL - time.Millisecond
	d.mu.Unlock()
	_, err := d.Fence()
	is.True(err != nil)
}

// Guards against a successor that acts beside a holder whose renewals succeed while its heartbeats fail, as after
// a time in which the store was slow.
func TestSilentHolderKeepsTheDuty(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a, b := newDuty(store, "a"), newDuty(store, "b")
	a.peers, b.peers = silentPeers{}, silentPeers{}
	stopA := startDuty(t, a)
	first := waitHeld(t, a)
	startDuty(t, b)
	for until := time.Now().Add(3 * renewInterval); time.Now().Before(until); time.Sleep(time.Millisecond) {
		_, err := b.Fence()
		is.True(err != nil) // a renews the duty
	}
	stopA()
	stopped := time.Now()
	is.Equal(waitHeld(t, b), first+1)
	is.True(time.Since(stopped) > leaseTTL-renewInterval) // the last renewal began at most renewInterval before
}

// Guards against a duty without a holder for takeoverWait after a planned stop.
func TestReleasedDutyIsTakenAtOnce(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a, b := newDuty(store, "a"), newDuty(store, "b")
	startDuty(t, a)
	waitHeld(t, a)
	startDuty(t, b)
	a.Release(context.Background())
	released := time.Now()
	waitHeld(t, b)
	is.True(time.Since(released) < takeoverWait)
	_, err := a.Fence()
	is.True(err != nil)
}

// Guards against further orders with a fencing token that an engine has rejected.
func TestFencedTokenIsInvalidated(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	d := newDuty(store, "a")
	stop := startDuty(t, d)
	fence := waitHeld(t, d)
	stop()
	d.Invalidate(fence)
	_, err := d.Fence()
	is.True(err != nil)
}

// Guards against a duty that its holder stops performing, because a renewal that the store has carried out went unanswered.
func TestHoldOutlastsSilentRenewal(t *testing.T) {
	const rounds = 3
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	proxy := hostedtest.NewProxy(store.Addr())
	t.Cleanup(proxy.Close)
	d := newDutyAt(proxy.Addr(), "a")
	startDuty(t, d)
	fence := waitHeld(t, d)
	for range rounds {
		proxy.Silence(hostedtest.EveryConn, hostedtest.FromServer)
		for start := time.Now(); time.Since(start) < 2*leaseTTL; time.Sleep(time.Millisecond) {
			held, err := d.Fence()
			is.NoErr(err)
			is.Equal(held, fence)
		}
	}
}
