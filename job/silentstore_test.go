package job

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/telemetry"
)

// silentLog is a store that does not answer until it is released.
type silentLog struct {
	changelog.Log
	released chan struct{}
}

var errReleased = errors.New("the store was released")

func (l silentLog) Read(context.Context, changelog.Partition, int64, time.Duration) (changelog.Batch, error) {
	<-l.released
	return changelog.Batch{}, errReleased
}

func (l silentLog) Newest(context.Context, changelog.Partition, string) (changelog.Page, error) {
	<-l.released
	return changelog.Page{}, errReleased
}

// Guards against reads of a job that this instance does not know that wait for a silent store longer than clients do.
func TestReadsDoNotWaitForASilentStore(t *testing.T) {
	is := is.New(t)
	const clientWait = 1500 * time.Millisecond
	log := silentLog{released: make(chan struct{})}
	release := time.AfterFunc(2*clientWait, func() { close(log.released) })
	defer func() {
		if release.Stop() {
			close(log.released)
		}
	}()
	g := NewRegistry(RegistryOptions{Log: log, Partitions: 1, Logger: telemetry.Discard()})
	start := time.Now()
	_, err := g.Results(t.Context(), "j", 0, 0)
	var unavailable *UnavailableError
	is.True(errors.As(err, &unavailable))
	is.True(time.Since(start) < clientWait)
	start = time.Now()
	_, err = g.Body(t.Context(), "j", "i")
	is.True(errors.As(err, &unavailable))
	is.True(time.Since(start) < clientWait)
}

// Guards against a refused read behind the last item of a job, which no store is needed for.
func TestReadBehindTheLastItemNeedsNoStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, h := newHoldersFixture(t)
		f.log.silent = dataTopic
		for _, wait := range []time.Duration{0, time.Second} {
			start := time.Now()
			page, err := f.Results(t.Context(), fixtureJob, fixtureItems, wait)
			is.NoErr(err)
			is.Equal(page, Page{Total: fixtureItems})
			is.Equal(time.Since(start), time.Duration(0))
		}
		is.Equal(len(h.calls()), 0)
	})
}
