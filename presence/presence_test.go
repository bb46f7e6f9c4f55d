package presence

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/platform/hosted"
	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
	"github.com/cicadasill/cicadasill/telemetry"
	"github.com/cicadasill/cicadasill/zone"
)

// waitTimeout bounds how long a test waits for a condition.
const waitTimeout = 20 * time.Second

// startTable runs a table and returns it with a function that stops it and waits for its end.
func startTable(t *testing.T, store *hostedtest.Store, id, dataCentre string, incarnation uint64) (*Table, context.CancelFunc) {
	return startTableAt(t, store.Addr(), id, dataCentre, incarnation)
}

// startTableAt is startTable with the address of the store.
func startTableAt(t *testing.T, addr, id, dataCentre string, incarnation uint64) (*Table, context.CancelFunc) {
	client := hosted.NewStore(hosted.StoreOptions{Addr: addr, WritesPerS: 1000, ReadsPerS: 1000})
	self := machine.Instance{
		ID: id, Incarnation: incarnation, PeerAddr: id + ":1", Zone: zone.Zone{Region: "r", DataCentre: dataCentre},
	}
	table := New(self, client, func() int { return 0 }, telemetry.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		table.Run(ctx)
	}()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return table, stop
}

// eventually waits until holds returns true.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met in time: %s", condition)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against jobs of a dead instance that no other instance takes over, and against takeovers from a live
// one.
func TestSilentInstanceIsDead(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a, _ := startTable(t, store, "a", "x", 1)
	b, stopB := startTable(t, store, "b", "x", 1)
	ref := machine.Ref{ID: "b", Incarnation: 1}
	eventually(t, "b is seen", func() bool { return a.AvailableInDataCentre(ref) })
	is.True(!a.Dead(ref))
	is.Equal(a.Drivers("any"), []machine.Ref{ref, a.self})
	is.True(b.Rank("k") != a.Rank("k"))
	stopB()
	eventually(t, "b counts as dead", func() bool { return a.Dead(ref) })
	is.Equal(a.Drivers("any"), []machine.Ref{a.self})
	is.True(!a.Dead(a.self))
}

// Guards against waiting for the silence of an instance that has already restarted.
func TestRestartedInstanceIsDead(t *testing.T) {
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a, _ := startTable(t, store, "a", "x", 1)
	_, stopB := startTable(t, store, "b", "x", 1)
	eventually(t, "b is seen", func() bool { return a.AvailableInDataCentre(machine.Ref{ID: "b", Incarnation: 1}) })
	stopB()
	startTable(t, store, "b", "x", 2)
	eventually(t, "the earlier b counts as dead", func() bool { return a.Dead(machine.Ref{ID: "b", Incarnation: 1}) })
}

// Guards against an instance that, right after its start, assigns jobs to one that ended long ago and whose last
// record the store still holds.
func TestStartingInstanceGivesNoWorkToTheDead(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	first, stopFirst := startTable(t, store, "a", "x", 1)
	_, stopB := startTable(t, store, "b", "x", 1)
	ref := machine.Ref{ID: "b", Incarnation: 1}
	eventually(t, "b is seen", func() bool { return first.AvailableInDataCentre(ref) })
	stopB()
	stopFirst()
	a, _ := startTable(t, store, "a", "x", 2)
	eventually(t, "b's last record is read", func() bool {
		is.True(!a.AvailableInDataCentre(ref))
		is.Equal(a.Drivers("any"), []machine.Ref{a.self})
		a.mu.Lock()
		defer a.mu.Unlock()
		_, known := a.byID["b"]
		return known
	})
	is.True(!a.AvailableInDataCentre(ref))
	is.Equal(a.Drivers("any"), []machine.Ref{a.self})
	startTable(t, store, "b", "x", 2)
	eventually(t, "b is back", func() bool { return a.AvailableInDataCentre(machine.Ref{ID: "b", Incarnation: 2}) })
}

// Guards against takeovers from live instances while the store does not answer.
func TestInstancesAreNotDeadDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a, _ := startTable(t, store, "a", "x", 1)
	startTable(t, store, "b", "x", 1)
	ref := machine.Ref{ID: "b", Incarnation: 1}
	eventually(t, "b is seen", func() bool { return a.AvailableInDataCentre(ref) })
	store.SetFault(hostedtest.AllBusy)
	eventually(t, "b is silent for long", func() bool {
		is.True(!a.Dead(ref))
		a.mu.Lock()
		defer a.mu.Unlock()
		s := a.byID["b"]
		return s.silentFor(2*deadIntervals, minReadPause)
	})
	is.True(!a.Dead(ref))
}

// Guards against assigning work to an instance that is draining or is in another data centre.
func TestDrainingAndRemoteInstancesGetNoWork(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a, _ := startTable(t, store, "a", "x", 1)
	b, _ := startTable(t, store, "b", "x", 1)
	startTable(t, store, "c", "y", 1)
	eventually(t, "peers are seen", func() bool { return len(a.Peers()) == 2 })
	is.Equal(a.Peers()[0].ID, "b") // the nearest first
	is.True(!a.AvailableInDataCentre(machine.Ref{ID: "c", Incarnation: 1}))
	eventually(t, "peers take work", func() bool { return len(a.Drivers("any")) == 3 })
	is.Equal(a.Drivers("any"), []machine.Ref{b.self, a.self, {ID: "c", Incarnation: 1}})
	b.AnnounceDraining(context.Background())
	eventually(t, "b is known to stop", func() bool { return !a.AvailableInDataCentre(machine.Ref{ID: "b", Incarnation: 1}) })
	is.True(!a.Dead(machine.Ref{ID: "b", Incarnation: 1}))
	is.Equal(a.Drivers("any"), []machine.Ref{a.self, {ID: "c", Incarnation: 1}})
	is.Equal(b.Drivers("any")[len(b.Drivers("any"))-1], b.self) // it takes no new work if another can
	b.Leave(context.Background())
	eventually(t, "b has left", func() bool { return a.Dead(machine.Ref{ID: "b", Incarnation: 1}) })
}

// Guards against an instance that counts as ended because its heartbeats are missing, or because the store
// still holds the record of its earlier run.
func TestEndedNeedsARecord(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a, _ := startTable(t, store, "a", "x", 1)
	b, stopB := startTable(t, store, "b", "x", 5)
	eventually(t, "a knows b", func() bool { return len(a.Peers()) == 1 })
	stopB()
	eventually(t, "b is silent", func() bool { return a.Dead(b.self) })
	is.True(!a.Ended(b.self))
	is.True(!a.Ended(machine.Ref{ID: "b", Incarnation: 6})) // a later run, whose record has not been read
	is.True(a.Ended(machine.Ref{ID: "b", Incarnation: 4}))
	b.Leave(context.Background())
	eventually(t, "b has left", func() bool { return a.Ended(b.self) })
}

// Guards against a live instance that counts as dead, because one of its heartbeats went out on a silent connection.
func TestSilentHeartbeatIsRepeatedInTime(t *testing.T) {
	const rounds = 4
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	proxy := hostedtest.NewProxy(store.Addr())
	t.Cleanup(proxy.Close)
	a, _ := startTable(t, store, "a", "x", 1)
	b, _ := startTableAt(t, proxy.Addr(), "b", "x", 1)
	ref := machine.Ref{ID: "b", Incarnation: 1}
	eventually(t, "b is seen", func() bool { return a.AvailableInDataCentre(ref) })
	lastHeartbeat := func() time.Time {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.heartbeatAt
	}
	for range rounds {
		before := lastHeartbeat()
		eventually(t, "b has written a heartbeat", func() bool { return lastHeartbeat() != before })
		proxy.Silence(hostedtest.EveryConn, hostedtest.BothDirections)
		before = lastHeartbeat()
		eventually(t, "b writes the next heartbeat", func() bool {
			if a.Dead(ref) {
				t.Fatal("b counts as dead")
			}
			return lastHeartbeat() != before
		})
	}
}

// Guards against calls to no other instance while the store does not answer, and to instances that have ended.
func TestInstancesMayBeLiveDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a, _ := startTable(t, store, "a", "x", 1)
	b, _ := startTable(t, store, "b", "x", 1)
	startTable(t, store, "c", "y", 1)
	_, stop := startTable(t, store, "d", "x", 1)
	possible := func() []string {
		var ids []string
		for _, i := range a.PossiblyLive() {
			ids = append(ids, i.ID)
		}
		return ids
	}
	eventually(t, "others are seen", func() bool { return len(a.Peers()) == 3 })
	b.Leave(context.Background())
	stop()
	eventually(t, "b has left and d is dead", func() bool { return slices.Equal(possible(), []string{"c"}) })
	store.SetFault(hostedtest.AllBusy)
	eventually(t, "all are silent", func() bool { return len(a.Peers()) == 0 })
	is.True(slices.Contains(possible(), "c"))
	is.True(!slices.Contains(possible(), "b"))
}
