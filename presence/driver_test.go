package presence

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/changelog/logtest"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/telemetry"
)

// newTableAmong returns a table that has read records of other instances. drivers is the hook of New.
func newTableAmong(t *testing.T, others int, drivers func() int) *Table {
	t.Helper()
	store := logtest.New(1)
	store.EndFaults()
	table := New(machine.Instance{ID: "self", Incarnation: 1}, store, drivers, telemetry.Discard())
	for i := range others {
		table.Apply(heartbeatOf(t, fmt.Sprintf("other-%d", i), record{Incarnation: 1, Interval: heartbeatInterval(others)}))
	}
	return table
}

func heartbeatOf(t *testing.T, id string, r record) changelog.Record {
	t.Helper()
	data, err := cbor.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return changelog.Record{Key: id, Value: data}
}

// Guards against a step that is late because a deployment of 195 instances notices the death of its driver only after
// seven seconds.
func TestDeathOfDriverIsNoticedWithinItsStep(t *testing.T) {
	const (
		instances = 195
		// noticed is less than half of the time in which a step is due.
		noticed = 3 * time.Second
	)
	is := is.New(t)
	driver := newTableAmong(t, instances, func() int { return 2 })
	reader := newTableAmong(t, instances, func() int { return 0 })
	driver.writeHeartbeat(context.Background())
	page, err := driver.store.Newest(context.Background(), changelog.Partition{Topic: topic}, "")
	is.NoErr(err)
	is.Equal(len(page.Records), 1)
	var written record
	is.NoErr(cbor.Unmarshal(page.Records[0].Value, &written))
	is.Equal(written.Interval, minHeartbeatInterval) // no append came before, which would lengthen it
	readPause := ReadPause(reader.Count())
	seen := observedRecord{record: written, hasChanged: true, receivedAt: time.Now().Add(-noticed)}
	is.True(seen.silentFor(deadIntervals, readPause))
	is.True(seen.silentFor(recentIntervals, readPause)) // it is given no new work either
	// Two reads may find no record that has been written in time.
	is.True(deadIntervals*written.Interval+readPause > 2*readPause)
}

// Guards against a partition of heartbeats that is overloaded because many instances drive jobs.
func TestHeartbeatsOfDriversAreBounded(t *testing.T) {
	const (
		instances = 195
		perSecond = 50
	)
	is := is.New(t)
	drivers := 0
	table := newTableAmong(t, instances, func() int { return drivers })
	all := heartbeatInterval(instances)
	is.Equal(table.heartbeatInterval(), all)
	for drivers = 1; drivers <= instances; drivers++ {
		interval := table.heartbeatInterval()
		is.True(interval >= minHeartbeatInterval && interval <= all)
		is.True(interval == all || time.Duration(drivers)*time.Second <= perSecond*interval)
	}
}

// Guards against the death of a new driver that is noticed late because its last record announces the next one in seconds.
func TestNewDriverWritesAtOnce(t *testing.T) {
	const instances = 10_000 // with heartbeats at intervals far above waitTimeout
	var drivers atomic.Int64
	table := newTableAmong(t, instances, func() int { return int(drivers.Load()) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	due := make(chan bool, 1)
	go func() { due <- table.awaitNextHeartbeat(ctx, heartbeatInterval(instances)) }()
	drivers.Store(1)
	select {
	case ok := <-due:
		if !ok {
			t.Fatal("the wait has ended without a heartbeat")
		}
	case <-time.After(waitTimeout):
		t.Fatal("no heartbeat is due although the instance drives jobs")
	}
}

// Guards against the first job after an outage of the store that is driven by the instance which accepts it, instead of the
// trainer's driver: the loss of that one instance then costs the client its connection and its job's progress.
func TestOutageOfStoreKeepsDriver(t *testing.T) {
	const (
		instances = 10_000 // with heartbeats that are missed after minutes, however slow the test is
		long      = 24 * time.Hour
	)
	is := is.New(t)
	table := newTableAmong(t, instances, func() int { return 0 })
	driver := machine.Ref{ID: "driver", Incarnation: 1}
	apply := func(id string, sequence uint64) {
		table.Apply(heartbeatOf(t, id, record{Incarnation: 1, Sequence: sequence, Interval: heartbeatInterval(instances)}))
	}
	age := func(id string) {
		seen := table.byID[id]
		seen.receivedAt = time.Now().Add(-long)
		table.byID[id] = seen
	}
	ids := []string{driver.ID, table.self.ID}
	for _, id := range ids {
		apply(id, 1)
		apply(id, 2)
	}
	owners := map[string]string{}
	for i := range 20 {
		key := fmt.Sprint("key-", i)
		owners[key] = table.Owner(key, "").ID
	}
	for _, id := range ids {
		age(id)
	}
	table.handleReadResult(errors.New("busy"))
	apply(table.self.ID, 3) // the store is back, and the driver's next record is not written yet
	is.True(table.AvailableInDataCentre(driver))
	is.Equal(table.Drivers("any")[0], driver)
	for key, owner := range owners {
		is.Equal(table.Owner(key, "").ID, owner)
	}

	table.readFailedAt = time.Now().Add(-long)
	is.True(!table.AvailableInDataCentre(driver)) // it was silent although the store answered
	is.Equal(table.Drivers("any")[0], table.self)
}
