package duty

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/platform/hosted"
	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
	"github.com/cicadasill/cicadasill/telemetry"
)

// strict are the rules of receivers that check no fencing tokens.
var strict = Rules{MinTurn: 3 * time.Second, Unfenced: true}

// newStrictDuty returns a part in the election for a run of a machine, under the strict rules.
func newStrictDuty(store *hostedtest.Store, id string, incarnation uint64) *Duty {
	client := hosted.NewStore(hosted.StoreOptions{Addr: store.Addr(), WritesPerS: 1000, ReadsPerS: 1000})
	d := New("orders", machine.Ref{ID: id, Incarnation: incarnation}, client, fakePeers{}, telemetry.Discard())
	d.SetRules(strict)
	return d
}

// lateAppends makes appends late.
func lateAppends(r *http.Request) hostedtest.Fault {
	if r.URL.Path == "/api/log-append" {
		return hostedtest.Late
	}
	return hostedtest.None
}

// released reports whether Release has been called.
func released(d *Duty) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hasReleased
}

// drawnAct is a call that the holder of a drawn history may have made at the latest.
type drawnAct struct {
	machine string
	fence   int64
	at      time.Duration
}

// Guards against machines that hold a duty in the order A, B, A within the time of a turn, and against a token that two of them
// have, over drawn takeovers at once, after a release and by later runs of a machine. Each holder acts from its takeover up to
// the moment at which the next one writes its record.
func TestDrawnTakeoversKeepTurns(t *testing.T) {
	const seeds, steps = 200, 60
	is := is.New(t)
	taken := 0
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 0))
		machines := []string{"a", "b", "c"}
		incarnation := uint64(0)
		var (
			now, writtenAt time.Duration
			current        *record
			acts           []drawnAct
		)
		for range steps {
			now += time.Duration(r.Int64N(int64(900 * time.Millisecond)))
			incarnation++
			d := &Duty{name: "orders", self: machine.Ref{ID: machines[r.IntN(len(machines))], Incarnation: incarnation}, rules: strict}
			if current == nil {
				current = d.nextRecord(nil, now)
				writtenAt = now
				acts = append(acts, drawnAct{d.self.ID, current.Fence, now})
				continue
			}
			// The candidate has read the record some time after it was written.
			readAt := writtenAt + time.Duration(r.Int64N(int64(now-writtenAt)+1))
			if r.IntN(2) == 0 { // the holder renews
				d.self = current.Holder
			} else if !strict.mayTakeTurn(current, d.self.ID, now-readAt) {
				continue
			}
			acts = append(acts, drawnAct{current.Holder.ID, current.Fence, now})
			d.current, d.changedAt, d.highestFence = current, readAt, current.Fence
			current, writtenAt = d.nextRecord(current, now), now
			acts = append(acts, drawnAct{d.self.ID, current.Fence, now})
			taken++
		}
		owners := map[int64]machine.Ref{}
		for i, last := range acts {
			if owner, known := owners[last.fence]; known && owner.ID != last.machine {
				t.Fatalf("seed %d: token %d has two holders", seed, last.fence)
			}
			owners[last.fence] = machine.Ref{ID: last.machine}
			others := false
			for j := i - 1; j >= 0 && last.at-acts[j].at < strict.MinTurn; j-- {
				others = others || acts[j].machine != last.machine
				if others && acts[j].machine == last.machine {
					t.Fatalf("seed %d: %s acted at %v and at %v with another holder in between", seed, last.machine, acts[j].at, last.at)
				}
			}
		}
	}
	is.True(taken > seeds) // the draws exercise takeovers
}

// Guards against a machine that takes the duty back within the time of a turn, after a restart that forgot its earlier hold.
func TestRestartedMachineWaitsItsTurn(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a := newStrictDuty(store, "a", 1)
	stopA := startDuty(t, a)
	waitHeld(t, a)
	a.Release(context.Background())
	lastAct := time.Now() // at the latest
	stopA()
	b := newStrictDuty(store, "b", 1)
	stopB := startDuty(t, b)
	second := waitHeld(t, b)
	b.Release(context.Background())
	stopB()
	again := newStrictDuty(store, "a", 2)
	startDuty(t, again)
	is.True(waitHeld(t, again) > second)
	is.True(time.Since(lastAct) >= strict.MinTurn-callMargin) // Release ends the hold callMargin before it returns
}

// Guards against a restart after which the duty stays without a holder, although no other machine has held it in between.
func TestRestartedHolderGoesOnWithAHigherToken(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a := newStrictDuty(store, "a", 1)
	stop := startDuty(t, a)
	first := waitHeld(t, a)
	a.Release(context.Background())
	stop()
	start := time.Now()
	again := newStrictDuty(store, "a", 2)
	startDuty(t, again)
	is.True(waitHeld(t, again) > first)
	is.True(time.Since(start) < strict.MinTurn)
}

// Guards against a successor that acts while a call of a stopping holder, permitted by its last check, is still on its way.
func TestReleaseLeavesTimeForTheLastCall(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a, b := newStrictDuty(store, "a", 1), newStrictDuty(store, "b", 1)
	startDuty(t, a)
	waitHeld(t, a)
	startDuty(t, b)
	lastCheck := time.Now()
	go a.Release(context.Background())
	waitHeld(t, b)
	is.True(time.Since(lastCheck) >= callMargin)
}

// Guards against a renewal in flight that gives a stopping holder its hold back.
func TestRenewalInFlightDoesNotOutliveRelease(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	store.SetLateness(300 * time.Millisecond)
	d := newStrictDuty(store, "a", 1)
	startDuty(t, d)
	waitHeld(t, d)
	store.SetFault(lateAppends)
	before := store.Calls("/api/log-append")
	for store.Calls("/api/log-append") == before {
		time.Sleep(time.Millisecond)
	}
	go d.Release(context.Background())
	for !released(d) {
		time.Sleep(time.Millisecond)
	}
	for until := time.Now().Add(callMargin + 500*time.Millisecond); time.Now().Before(until); time.Sleep(time.Millisecond) {
		_, err := d.Fence()
		is.True(err != nil)
	}
}

// Guards against a renewal in flight that brings a token back into use which a receiver has refused.
func TestRenewalInFlightDoesNotOutliveARefusal(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	store.SetLateness(300 * time.Millisecond)
	d := newStrictDuty(store, "a", 1)
	startDuty(t, d)
	fence := waitHeld(t, d)
	store.SetFault(lateAppends)
	before := store.Calls("/api/log-append")
	for store.Calls("/api/log-append") == before {
		time.Sleep(time.Millisecond)
	}
	d.Invalidate(fence)
	is.True(waitHeld(t, d) > fence)
}

// Guards against a hold that outlasts the margin for calls on a link on which a renewal, and so a call, takes long.
func TestSlowRenewalShortensTheHold(t *testing.T) {
	is := is.New(t)
	is.Equal(strict.holdTime(400*time.Millisecond), leaseTTL-400*time.Millisecond)
	is.Equal(Rules{}.holdTime(400*time.Millisecond), leaseTTL)
}

// Guards against a token that is given a second time because the store has lost the record.
func TestTokenIsAboveAllThatWereSeen(t *testing.T) {
	is := is.New(t)
	d := &Duty{name: "orders", self: machine.Ref{ID: "a", Incarnation: 1}, rules: strict}
	d.highestFence = 7
	is.Equal(d.nextRecord(nil, time.Second).Fence, int64(8))
}

// Guards against further calls under a token that a receiver has refused for a higher one.
func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	d := newStrictDuty(store, "a", 1)
	startDuty(t, d)
	fence := waitHeld(t, d)
	d.Invalidate(fence)
	is.True(d.Check(fence) != nil)
	is.True(waitHeld(t, d) > fence)
}
