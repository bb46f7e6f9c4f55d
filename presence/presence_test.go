package presence

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/platform/hosted"
	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
	"github.com/cicadasill/cicadasill/telemetry"
	"github.com/cicadasill/cicadasill/zone"
)

// patience bounds how long a test waits for something that must come to hold.
const patience = 20 * time.Second

func newTable(t *testing.T, store *hostedtest.Store, id, dataCentre string, incarnation uint64) (*Table, context.CancelFunc) {
	client := hosted.NewStore(hosted.StoreOptions{Addr: store.Addr(), WritesPerS: 1000, ReadsPerS: 1000})
	self := machine.Instance{
		ID: id, Incarnation: incarnation, PeerAddr: id + ":1", Zone: zone.Zone{Region: "r", DataCentre: dataCentre},
	}
	table := New(self, client, telemetry.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		table.Run(ctx)
	}()
	end := func() { cancel(); <-done }
	t.Cleanup(end)
	return table, end
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !f() {
		if time.Now().After(deadline) {
			t.Fatalf("does not come to hold: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against jobs of a dead instance that nobody takes over, and against takeovers from a
// living one.
func TestSilentInstanceIsDead(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a, _ := newTable(t, store, "a", "x", 1)
	b, endB := newTable(t, store, "b", "x", 1)
	ref := machine.Ref{ID: "b", Incarnation: 1}
	eventually(t, "b is seen", func() bool { return a.Near(ref) })
	is.True(!a.Dead(ref))
	is.Equal(a.Peer("any"), ref)
	is.True(b.Rank("k") != a.Rank("k"))
	endB()
	eventually(t, "b counts as dead", func() bool { return a.Dead(ref) })
	is.Equal(a.Peer("any"), a.self)
	is.True(!a.Dead(a.self))
}

// Guards against the wait for a silence when the instance has already started again.
func TestRestartedInstanceIsDead(t *testing.T) {
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a, _ := newTable(t, store, "a", "x", 1)
	_, endB := newTable(t, store, "b", "x", 1)
	eventually(t, "b is seen", func() bool { return a.Near(machine.Ref{ID: "b", Incarnation: 1}) })
	endB()
	newTable(t, store, "b", "x", 2)
	eventually(t, "the earlier b counts as dead", func() bool { return a.Dead(machine.Ref{ID: "b", Incarnation: 1}) })
}

// Guards against jobs that an instance gives, right after its start, to one that ended long ago and
// whose last record the store still holds.
func TestStartingInstanceGivesNoWorkToTheDead(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	first, endFirst := newTable(t, store, "a", "x", 1)
	_, endB := newTable(t, store, "b", "x", 1)
	ref := machine.Ref{ID: "b", Incarnation: 1}
	eventually(t, "b is seen", func() bool { return first.Near(ref) })
	endB()
	endFirst()
	a, _ := newTable(t, store, "a", "x", 2)
	eventually(t, "b's last record is read", func() bool {
		is.True(!a.Near(ref))
		is.Equal(a.Peer("any"), a.self)
		a.mu.Lock()
		defer a.mu.Unlock()
		_, known := a.byID["b"]
		return known
	})
	is.True(!a.Near(ref))
	is.Equal(a.Peer("any"), a.self)
	newTable(t, store, "b", "x", 2)
	eventually(t, "b is back", func() bool { return a.Near(machine.Ref{ID: "b", Incarnation: 2}) })
}

// Guards against takeovers from everyone while the store does not answer.
func TestOutageKillsNobody(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a, _ := newTable(t, store, "a", "x", 1)
	newTable(t, store, "b", "x", 1)
	ref := machine.Ref{ID: "b", Incarnation: 1}
	eventually(t, "b is seen", func() bool { return a.Near(ref) })
	store.SetFault(hostedtest.AllBusy)
	eventually(t, "b is silent for long", func() bool {
		is.True(!a.Dead(ref))
		a.mu.Lock()
		defer a.mu.Unlock()
		s := a.byID["b"]
		return s.silentFor(2 * deadPeriods)
	})
	is.True(!a.Dead(ref))
}

// Guards against work for an instance that stops, and for one in another data centre.
func TestStoppingAndFarInstancesGetNoWork(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a, _ := newTable(t, store, "a", "x", 1)
	b, _ := newTable(t, store, "b", "x", 1)
	newTable(t, store, "c", "y", 1)
	eventually(t, "peers are seen", func() bool { return len(a.Peers()) == 2 })
	is.Equal(a.Peers()[0].ID, "b") // the nearest first
	is.True(!a.Near(machine.Ref{ID: "c", Incarnation: 1}))
	b.Stopping(context.Background())
	eventually(t, "b is known to stop", func() bool { return !a.Near(machine.Ref{ID: "b", Incarnation: 1}) })
	is.True(!a.Dead(machine.Ref{ID: "b", Incarnation: 1}))
	b.Leave(context.Background())
	eventually(t, "b has left", func() bool { return a.Dead(machine.Ref{ID: "b", Incarnation: 1}) })
}
