package job

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
)

// staleOnceLog returns an older copy of the data partitions to the first load.
type staleOnceLog struct {
	*faultyLog
	pages int
}

// Newest implements changelog.Log.
func (l *staleOnceLog) Newest(ctx context.Context, p changelog.Partition, after string) (changelog.Page, error) {
	page, err := l.faultyLog.Newest(ctx, p, after)
	if p.Topic == indexTopic || err != nil {
		return page, err
	}
	if l.pages++; l.pages == 1 {
		kept := page.Records[:0:0]
		for _, record := range page.Records {
			if record.Key[:2] != resultsPrefix {
				kept = append(kept, record)
			}
		}
		page.Records = kept
	}
	return page, err
}

// Guards against a copy that lacks the last results of a listed job for as long as the process lives: no load repairs it, so
// that each read is refused unless another instance answers.
func TestIncompleteCopyIsLoadedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newReadFixture(t)
		writer := testRegistry(f.log)
		is.NoErr(writer.indexReplica.Sync(t.Context()))
		s, _ := writer.Summary(fixtureJob)
		writer.queueResult(&s, Result{Item: "b", State: Complete, Output: []byte("more")})
		writer.flushes.Wait()
		is.NoErr(writer.markListed(t.Context(), &s))
		g := testRegistry(&staleOnceLog{faultyLog: f.log})
		var err error
		for range 10 {
			if _, err = g.Results(t.Context(), fixtureJob, 0, 0); err == nil {
				return
			}
			time.Sleep(gapRepairInterval)
		}
		is.NoErr(err) // ten reads in five minutes
	})
}
