package presence

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/timing"
	"github.com/cicadasill/cicadasill/truetime"
)

// writtenRecord returns the newest heartbeat of a table, as stored.
func writtenRecord(t *testing.T, table *Table) []byte {
	t.Helper()
	is := is.New(t)
	page, err := table.store.Newest(context.Background(), changelog.Partition{Topic: topic}, "")
	is.NoErr(err)
	is.Equal(len(page.Records), 1)
	return page.Records[0].Value
}

// Guards against heartbeats of deployments without usage reports that grow by the readings, and against readings that are missing.
func TestHeartbeatsCarryReadingsOnDemand(t *testing.T) {
	is := is.New(t)
	table := newTableAmong(t, 0, func() int { return 0 })
	table.writeHeartbeat(context.Background())
	var fields map[int]any
	is.NoErr(cbor.Unmarshal(writtenRecord(t, table), &fields))
	is.Equal(len(fields), 8)

	table.SetClock(truetime.NewClock("self"))
	before := truetime.Read()
	table.writeHeartbeat(context.Background())
	var written record
	is.NoErr(cbor.Unmarshal(writtenRecord(t, table), &written))
	is.True(written.WallMs >= before.Wall.Milliseconds())
	is.True(written.BootMs >= before.Boot.Milliseconds())
}

// Guards against true time that follows the first record of an instance, which may have ended long ago.
func TestOnlyFreshReadingsCount(t *testing.T) {
	is := is.New(t)
	table := newTableAmong(t, 0, func() int { return 0 })
	clock := truetime.NewClock("self")
	table.SetClock(clock)
	reading := func(sequence uint64, ahead time.Duration) {
		now := truetime.Read()
		table.Apply(heartbeatOf(t, "other", record{Incarnation: 1, Sequence: sequence,
			WallMs: (now.Wall + ahead).Milliseconds(), BootMs: timing.SinceBoot().Milliseconds()}))
	}
	reading(1, time.Hour)
	is.True(clock.OwnError().Abs() < time.Minute)
	reading(2, time.Hour)
	is.True(clock.OwnError() < -time.Minute) // the mean of two opinions
}
