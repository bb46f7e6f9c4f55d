package job

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
)

// onceLog refuses the first call for data partitions.
type onceLog struct {
	*faultyLog
	refused bool
}

// Newest implements changelog.Log.
func (l *onceLog) Newest(ctx context.Context, p changelog.Partition, after string) (changelog.Page, error) {
	if p.Topic != indexTopic && !l.refused {
		l.refused = true
		return changelog.Page{}, &changelog.NotDoneError{Call: "newest", Err: errRefused}
	}
	return l.faultyLog.Newest(ctx, p, after)
}

// Guards against a read that is refused with 503 for one failed call to the store, although most of its time is left.
func TestReadSurvivesOneFailedCallToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newReadFixture(t)
		g := testRegistry(&onceLog{faultyLog: f.log})
		start := time.Now()
		page, err := g.Results(t.Context(), fixtureJob, 0, 0)
		t.Log("took", time.Since(start))
		is.NoErr(err)
		is.Equal(len(page.Results), 1)
	})
}
