package job

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against an accepted job that passes for one without further results, or without an item, because this instance's copy of
// its partition lacks records.
func TestIncompleteCopyIsNoAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		lose func(t *testing.T, f *readFixture)
		read func(t *testing.T, f *readFixture) error
	}{
		"results": {
			lose: func(t *testing.T, f *readFixture) { // only one of two results is there
				is.New(t).NoErr(testRegistry(f.log).markListed(t.Context(), &Summary{ID: fixtureJob}))
			},
			read: func(t *testing.T, f *readFixture) error {
				_, err := f.Results(t.Context(), fixtureJob, 1, 0)
				return err
			},
		},
		"items": {
			lose: func(t *testing.T, f *readFixture) {
				g := testRegistry(f.log)
				is.New(t).NoErr(g.indexReplica.Sync(t.Context()))
				s, _ := g.Summary(fixtureJob)
				is.New(t).NoErr(g.deleteItems(t.Context(), &s))
			},
			read: func(t *testing.T, f *readFixture) error {
				_, err := f.Body(t.Context(), fixtureJob, "b")
				return err
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newReadFixture(t)
				tc.lose(t, f)
				err := tc.read(t, f)
				var (
					failed      *ReadError
					unavailable *UnavailableError
				)
				is.True(errors.As(err, &failed))
				is.True(errors.As(err, &unavailable))
				is.Equal(failed.Step, StepIncomplete)
			})
		})
	}
}

// Guards against an item of an ended job that is refused instead of not found, because this instance's copy of the index is older
// than the deletion of the items.
func TestItemOfAnEndedJobIsNotFound(t *testing.T) {
	is := is.New(t)
	f := newReadFixture(t)
	f.readAll(t)
	other := testRegistry(f.log)
	is.NoErr(other.End(t.Context(), fixtureJob))
	s, _ := other.Summary(fixtureJob)
	is.NoErr(other.deleteItems(t.Context(), &s))
	is.NoErr(f.partitions[s.Partition].Sync(t.Context()))
	_, err := f.Body(t.Context(), fixtureJob, "b")
	var notFound *NotFoundError
	is.True(errors.As(err, &notFound))
}

// Guards against a job that can't be read because the copies of this instance lack records that another instance holds.
func TestIncompleteCopyIsCompletedByAHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, h := newHoldersFixture(t)
		driver := h.registries["self"]
		s, _ := driver.Summary(fixtureJob)
		p := driver.partitions[s.Partition]
		p.View(func() {
			j := p.state.jobs[fixtureJob]
			j.results = append(j.results, Result{Item: "b", State: Complete, Output: []byte("more")})
		})
		is.NoErr(driver.markListed(t.Context(), &s))
		is.NoErr(f.indexReplica.Sync(t.Context()))
		start := time.Now()
		page, err := f.Results(t.Context(), fixtureJob, 1, 0)
		is.NoErr(err)
		is.Equal(page.Total, fixtureItems)
		is.Equal(len(page.Results), 1)
		is.Equal(page.Results[0].Item, "b")
		is.True(time.Since(start) < clientWait)
	})
}
