package job

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against a job that can't be read at an instance that cannot read the index from the store, although its driver holds
// the job.
func TestReadWithoutIndexIsAnsweredByAHolder(t *testing.T) {
	for name, fail := range map[string]func(*faultyLog){
		"store silent":  func(l *faultyLog) { l.silent = indexTopic },
		"store refuses": func(l *faultyLog) { l.refused = indexTopic },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, _ := newHoldersFixture(t)
				restarted := testRegistry(f.log)
				restarted.opts.Holders = f.opts.Holders
				fail(f.log)
				page, err := restarted.Results(t.Context(), fixtureJob, 0, 0)
				is.NoErr(err)
				is.Equal(len(page.Results), 1)
			})
		})
	}
}
