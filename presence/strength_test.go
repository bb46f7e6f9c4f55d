package presence

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/machine"
)

// addInstance makes a table read two records of another live instance, since the first one proves nothing.
func addInstance(t *testing.T, table *Table, id, dataCentre string, processors float64) {
	t.Helper()
	for sequence := range uint64(2) {
		table.Apply(heartbeatOf(t, id, record{Incarnation: 1, Sequence: sequence + 1, Interval: minHeartbeatInterval, DataCentre: dataCentre, Processors: processors}))
	}
}

// Replays data centres of ten instances, of which most have a quarter of the processor time of the others. Guards against jobs,
// reads for others and takeovers that go to an instance which has no time for them, while one that has is there.
func TestWeakInstancesComeLast(t *testing.T) {
	is := is.New(t)
	table := newTableAmong(t, 0, func() int { return 0 })
	table.dataCentre = "a"
	table.StateProcessors(0.2)
	table.writeHeartbeat(context.Background())
	strong := map[string]bool{}
	for _, dataCentre := range []string{"a", "b"} {
		for n := range 10 {
			id, processors := fmt.Sprint(dataCentre, n), 0.2
			if n < 3 {
				processors, strong[id] = 0.8, true
			}
			addInstance(t, table, id, dataCentre, processors)
		}
	}
	for n := range 50 {
		key := fmt.Sprint("key", n)
		drivers := table.Drivers(key)
		for i, driver := range drivers[:3] {
			is.True(strong[driver.ID])          // the strong ones first
			is.Equal(driver.ID[:1], "a")        // of this data centre
			is.True(drivers[i+3].ID[:1] == "a") // then its weak ones
		}
		is.True(strong[table.Owner(key, "b").ID])
		is.Equal(table.Owner(key, "b").ID[:1], "b")
		is.True(table.Rank(key) >= len(strong)) // this instance is weak
	}
}

// Guards against another order where all instances are equal or do not state what they have.
func TestEqualInstancesKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	order := func(processors float64) (drivers [][]machine.Ref, ranks []int) {
		table := newTableAmong(t, 0, func() int { return 0 })
		table.dataCentre = "a"
		table.StateProcessors(processors)
		for n := range 6 {
			addInstance(t, table, fmt.Sprint("a", n), "a", processors)
		}
		for n := range 20 {
			drivers, ranks = append(drivers, table.Drivers(fmt.Sprint(n))), append(ranks, table.Rank(fmt.Sprint(n)))
		}
		return drivers, ranks
	}
	unknownDrivers, unknownRanks := order(0)
	equalDrivers, equalRanks := order(0.8)
	is.Equal(unknownDrivers, equalDrivers)
	is.Equal(unknownRanks, equalRanks)
}
