package changelog_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
)

// Guards against a load that repeats a read without a pause while the answers are older than the first page.
func TestLoadDoesNotRepeatReadsBehindItsEndAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &staleReadLog{stubbornLog: stubbornLog{maxRepeats: 10000}}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_ = changelog.NewReplica(log, testPartition, &keyState{}).Sync(ctx)
		t.Log("calls", log.calls)
		is.True(log.calls <= 500)
		time.Sleep(time.Minute)
	})
}

// staleReadLog is a log whose later pages are newer than the records that it returns.
type staleReadLog struct{ stubbornLog }

// Newest implements changelog.Log.
func (l *staleReadLog) Newest(_ context.Context, _ changelog.Partition, after string) (changelog.Page, error) {
	if after == "" {
		return changelog.Page{End: 4, More: true, Records: []changelog.Record{{Key: "a", Offset: 1}}}, l.begin()
	}
	return changelog.Page{End: 9, Records: []changelog.Record{{Key: "b", Offset: 8}}}, l.begin()
}

// Read implements changelog.Log. Its answers end at the first page's end.
func (l *staleReadLog) Read(context.Context, changelog.Partition, int64, time.Duration) (changelog.Batch, error) {
	return changelog.Batch{End: 4}, l.begin()
}
