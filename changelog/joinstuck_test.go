package changelog_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
)

// Guards against a reader that joins a call just before it counts as stuck and then waits for it beyond its time, although a call
// of its own would succeed.
func TestSyncLeavesACallThatTurnsOutToBeStuck(t *testing.T) {
	const keys, clientTime = 3, 1300 * time.Millisecond
	for _, joinedAfter := range []time.Duration{0, 400 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			log := &stuckLog{pagedLog: newPagedLog(keys, 1), stuckCall: 1}
			replica := changelog.NewReplica(log, testPartition, &keyState{})
			first := make(chan error, 1)
			go func() { first <- replica.Sync(t.Context()) }()
			time.Sleep(joinedAfter)
			synctest.Wait()
			ctx, cancel := context.WithTimeout(t.Context(), clientTime)
			defer cancel()
			err := replica.Sync(ctx)
			<-first
			time.Sleep(stuckFor)
			is.NoErr(err)
		})
	}
}
