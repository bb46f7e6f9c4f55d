package presence

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/machine"
)

// Guards against work for an instance that drains or has left, because the store executes one of its earlier heartbeats late.
func TestLateHeartbeatTakesNothingBack(t *testing.T) {
	for name, announce := range map[string]func(r *record){
		"draining": func(r *record) { r.Draining = true },
		"left":     func(r *record) { r.Left = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTableAmong(t, 0, func() int { return 0 })
			beat := func(sequence uint64, change func(r *record)) {
				r := record{Incarnation: 5, Sequence: sequence, Interval: minHeartbeatInterval}
				change(&r)
				table.Apply(heartbeatOf(t, "other", r))
			}
			plain := func(*record) {}
			ref := machine.Ref{ID: "other", Incarnation: 5}
			beat(7, plain)
			beat(8, plain)
			is.True(table.AvailableInDataCentre(ref))
			beat(10, announce)
			is.True(!table.AvailableInDataCentre(ref))
			beat(9, plain)
			is.True(!table.AvailableInDataCentre(ref))
			beat(11, plain) // newer
			is.True(table.AvailableInDataCentre(ref))
		})
	}
}

// Guards against jobs that are taken over from a live instance, because a heartbeat of its earlier run is executed after its restart.
func TestLateHeartbeatOfAnEarlierRunIsIgnored(t *testing.T) {
	for name, incarnation := range map[string]uint64{"clock goes on": 9, "clock was set back": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTableAmong(t, 0, func() int { return 0 })
			beat := func(incarnation, sequence uint64) {
				table.Apply(heartbeatOf(t, "other", record{Incarnation: incarnation, Sequence: sequence, Interval: minHeartbeatInterval}))
			}
			beat(5, 70)
			beat(incarnation, 1)
			beat(incarnation, 2)
			restarted := machine.Ref{ID: "other", Incarnation: incarnation}
			is.True(table.AvailableInDataCentre(restarted))
			beat(5, 71)
			is.True(table.AvailableInDataCentre(restarted))
			beat(12, 1) // restarted once more
			is.True(table.AvailableInDataCentre(machine.Ref{ID: "other", Incarnation: 12}))
		})
	}
}

// Guards against a live instance that counts as dead for good, and whose jobs are taken over again and again, at a table that knows only its
// present run when the store executes a heartbeat of the run before.
func TestLateHeartbeatOfAnUnknownEarlierRunLastsAMoment(t *testing.T) {
	is := is.New(t)
	table := newTableAmong(t, 0, func() int { return 0 })
	beat := func(incarnation, sequence uint64) {
		table.Apply(heartbeatOf(t, "other", record{Incarnation: incarnation, Sequence: sequence, Interval: minHeartbeatInterval}))
	}
	present := machine.Ref{ID: "other", Incarnation: 9}
	beat(9, 1)
	beat(9, 2)
	beat(5, 71) // late, of a run that this table has not seen
	beat(9, 2)  // read again
	beat(9, 3)
	beat(9, 4)
	is.True(table.AvailableInDataCentre(present))
	beat(5, 72) // late as well
	is.True(table.AvailableInDataCentre(present))
	beat(9, 5)
	is.True(table.AvailableInDataCentre(present))
}
