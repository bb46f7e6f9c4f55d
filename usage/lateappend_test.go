package usage

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/changelog/logtest"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/telemetry"
)

// Guards against counts that a holder of the duty does not get, because an append of an older record was carried out after that of the
// newest one: a holder that begins reads only the newest record of each key.
func TestLateAppendHidesNoCounts(t *testing.T) {
	is := is.New(t)
	store := logtest.New(1)
	store.EndFaults()
	partition := changelog.Partition{Topic: countsTopic}
	key := countsKey(7, machine.Ref{ID: "a"})
	for _, n := range []int64{5, 2} { // the append of 2 was lost, and is carried out late
		data, err := cbor.Marshal(counts{Total: n, ByAccount: map[string]int64{"x": n}})
		is.NoErr(err)
		_, err = store.Append(t.Context(), partition, []changelog.Record{{Key: key, Value: data}}, changelog.Unconditional)
		is.NoErr(err)
	}
	ledger := &sharedLedger{log: telemetry.Discard(), ledger: newLedger()}
	is.NoErr(changelog.NewReplica(store, partition, countsState{ledger}).Sync(t.Context()))
	is.Equal(ledger.sum(7), map[string]int64{"x": 5})
}
