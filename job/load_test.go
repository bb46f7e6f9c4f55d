package job

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
)

// Guards against a driver that reads the store and logs a line several times a second, for as long as it runs, for a job of which the
// store has lost items.
func TestJobWithoutItsItemsIsLoadedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newCountingLog()
		submitTo(t, log, rankedRef(0), "incomplete", 100)
		g := testRegistry(log)
		is.NoErr(g.indexReplica.Sync(t.Context()))
		s, _ := g.Summary("incomplete")
		_, err := log.Append(t.Context(), g.partitions[s.Partition].id, []changelog.Record{{Key: itemsPrefix + "incomplete/000000"}}, changelog.Unconditional)
		is.NoErr(err)
		stop := runDrivers(t, log, 1)
		const duration = time.Minute
		time.Sleep(duration)
		attempts := log.dataReads()
		is.True(attempts >= int(duration/maxLoadRetryDelay)) // it is not given up
		is.True(attempts <= 2*int(duration/maxLoadRetryDelay))
		stop()
	})
}
