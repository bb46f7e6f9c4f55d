package changelog_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
)

// stuckLog is a log one of whose calls gets no answer for a time.
type stuckLog struct {
	*pagedLog
	stuckCall int64 // number of the call, counted from 1
	calls     atomic.Int64
}

// stuckFor is how long a call may be stuck: directly, and then through peers.
const stuckFor = 5 * time.Second

// begin waits if the call is the one that is stuck.
func (l *stuckLog) begin() error {
	if l.calls.Add(1) != l.stuckCall {
		return nil
	}
	time.Sleep(stuckFor)
	return context.DeadlineExceeded
}

// Read implements changelog.Log.
func (l *stuckLog) Read(ctx context.Context, p changelog.Partition, from int64, wait time.Duration) (changelog.Batch, error) {
	if err := l.begin(); err != nil {
		return changelog.Batch{}, err
	}
	return l.pagedLog.Read(ctx, p, from, wait)
}

// Newest implements changelog.Log.
func (l *stuckLog) Newest(ctx context.Context, p changelog.Partition, after string) (changelog.Page, error) {
	if err := l.begin(); err != nil {
		return changelog.Page{}, err
	}
	return l.pagedLog.Newest(ctx, p, after)
}

// Guards against a reader that has to wait for the stuck call of an earlier one, although a call of its own would succeed.
func TestSyncIsNotHeldUpByAStuckCall(t *testing.T) {
	const keys, clientTime = 3, 1300 * time.Millisecond
	for stuckCall := range int64(keys + 1) { // the pages of a load and the read after it
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			log := &stuckLog{pagedLog: newPagedLog(keys, 1), stuckCall: stuckCall + 1}
			state := &keyState{}
			replica := changelog.NewReplica(log, testPartition, state)
			first := make(chan error, 1)
			go func() { first <- replica.Sync(t.Context()) }()
			time.Sleep(time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), clientTime)
			defer cancel()
			err := replica.Sync(ctx)
			<-first
			time.Sleep(stuckFor)
			is.NoErr(err)
			is.Equal(state.values, log.values())
		})
	}
}

// Guards against calls to a slow log for each reader that waits.
func TestWaitingReadersShareCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const readers, pages = 100, 5
		log := newPagedLog(pages, 1)
		log.callTime = 2 * time.Second
		replica := changelog.NewReplica(log, testPartition, &keyState{})
		errs := make(chan error, readers)
		for range readers {
			go func() { errs <- replica.Sync(t.Context()) }()
			time.Sleep(100 * time.Millisecond)
		}
		for range readers {
			is.NoErr(<-errs)
		}
		t.Log("pages returned", log.pages)
		is.True(log.pages <= 2*pages)
		time.Sleep(time.Minute)
	})
}
