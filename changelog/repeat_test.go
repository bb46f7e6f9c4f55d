package changelog_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
)

// stubbornLog is a log whose calls return the same at once, again and again.
type stubbornLog struct {
	calls      int
	batch      changelog.Batch
	readErr    error
	page       changelog.Page
	appendErr  error
	maxRepeats int
}

var errTooManyCalls = errors.New("too many calls")

// begin counts a call. It fails after maxRepeats calls, so that a loop ends.
func (l *stubbornLog) begin() error {
	time.Sleep(time.Millisecond)
	if l.calls++; l.calls > l.maxRepeats {
		return errTooManyCalls
	}
	return nil
}

// Append implements changelog.Log.
func (l *stubbornLog) Append(context.Context, changelog.Partition, []changelog.Record, int64) (int64, error) {
	return 0, errors.Join(l.begin(), l.appendErr)
}

// Read implements changelog.Log.
func (l *stubbornLog) Read(context.Context, changelog.Partition, int64, time.Duration) (changelog.Batch, error) {
	if err := l.begin(); err != nil {
		return changelog.Batch{}, err
	}
	return l.batch, l.readErr
}

// Newest implements changelog.Log.
func (l *stubbornLog) Newest(context.Context, changelog.Partition, string) (changelog.Page, error) {
	return l.page, l.begin()
}

// Guards against calls that are repeated without a pause for as long as the log gives the same answer.
func TestUnchangedAnswersAreNotAskedForAtOnce(t *testing.T) {
	const limit, most = 10 * time.Second, 10000
	commit := func(ctx context.Context, r *changelog.Replica) {
		_, _ = r.Commit(ctx, func() []changelog.Record { return []changelog.Record{{Key: "k"}} })
	}
	sync := func(ctx context.Context, r *changelog.Replica) {
		for ctx.Err() == nil {
			_ = r.Sync(ctx)
			time.Sleep(time.Second)
		}
	}
	for name, tc := range map[string]struct {
		log stubbornLog
		use func(context.Context, *changelog.Replica)
	}{
		"records that expire during each load": {stubbornLog{readErr: &changelog.TrimmedError{First: 9}}, sync},
		"a page without records":               {stubbornLog{page: changelog.Page{More: true}}, sync},
		"a page that does not advance":         {stubbornLog{page: changelog.Page{More: true, Records: []changelog.Record{{Key: "k"}}}}, sync},
		"appends of unknown outcome":           {stubbornLog{appendErr: &changelog.UnknownError{Call: "append", Err: context.Canceled}}, commit},
		"conflicts without a cause":            {stubbornLog{appendErr: &changelog.ConflictError{End: 9}}, commit},
		"reads that do not wait": {stubbornLog{}, func(ctx context.Context, r *changelog.Replica) {
			r.Follow(ctx, changelog.ConstantWait(time.Minute), func() time.Duration { return 0 }, func(error) {})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := &tc.log
				log.maxRepeats = most
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				tc.use(ctx, changelog.NewReplica(log, testPartition, &keyState{}))
				t.Log("calls", log.calls)
				is.True(log.calls <= 500) // one every 20 ms
				time.Sleep(time.Minute)
			})
		})
	}
}

// incompleteState is a State that no load completes.
type incompleteState struct{ keyState }

// Incomplete implements changelog.IntegrityChecker.
func (*incompleteState) Incomplete() bool { return true }

// Guards against a replica that loads its partition without a pause because the state stays incomplete.
func TestIncompleteStateIsNotLoadedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &stubbornLog{maxRepeats: 10000}
		replica := changelog.NewReplica(log, testPartition, &incompleteState{})
		is.True(replica.Sync(t.Context()) != nil)
		is.True(log.calls <= 20)
	})
}
