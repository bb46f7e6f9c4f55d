package job

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/machine"
)

// clientWait is how long after the end of their wait clients give up a read.
const clientWait = 1500 * time.Millisecond

// askedHolders are instances that a readFixture may ask. Those without a registry do not answer.
type askedHolders struct {
	registries map[string]*Registry
	instances  []machine.Instance
	ended      <-chan struct{}

	mu    sync.Mutex // guards asked
	asked []string
}

// add adds an instance, which is nearer than those added before.
func (h *askedHolders) add(ref machine.Ref, g *Registry) {
	h.registries[ref.ID] = g
	h.instances = append([]machine.Instance{{ID: ref.ID, Incarnation: ref.Incarnation}}, h.instances...)
}

func (h *askedHolders) ask(ctx context.Context, to machine.Instance, request []byte) ([]byte, error) {
	h.mu.Lock()
	h.asked = append(h.asked, to.ID)
	h.mu.Unlock()
	if g := h.registries[to.ID]; g != nil {
		return g.HandleRead(ctx, request)
	}
	<-h.ended // beyond ctx, as a call on a connection that has gone silent may last
	return nil, errReleased
}

// calls returns the instances that were asked.
func (h *askedHolders) calls() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.asked
}

// newHoldersFixture returns an instance that has read the index only, and may ask the driver of the job, which holds a copy.
func newHoldersFixture(t *testing.T) (*readFixture, *askedHolders) {
	t.Helper()
	f, h := newStartedFixture(t)
	is.New(t).NoErr(f.indexReplica.Sync(t.Context()))
	return f, h
}

// newStartedFixture returns an instance that has read nothing, and may ask the driver of the job, which holds a copy.
func newStartedFixture(t *testing.T) (*readFixture, *askedHolders) {
	t.Helper()
	f := newReadFixture(t)
	h := &askedHolders{registries: map[string]*Registry{}, ended: t.Context().Done()}
	driver := testRegistry(f.log)
	_, err := driver.Results(t.Context(), fixtureJob, 0, 0)
	is.New(t).NoErr(err)
	h.add(driver.opts.Self, driver)
	f.opts.Holders = &Holders{Possible: func() []machine.Instance { return h.instances }, Ask: h.ask}
	return f, h
}

// Guards against a job that can't be read at an instance that cannot read its partition from the store, although the driver of
// the job holds it.
func TestReadIsAnsweredByAHolder(t *testing.T) {
	for name, fail := range map[string]func(*faultyLog){
		"store silent":  func(l *faultyLog) { l.silent = dataTopic },
		"store refuses": func(l *faultyLog) { l.refused = dataTopic },
	} {
		for others, add := range map[string]func(f *readFixture, h *askedHolders){
			"":                         func(*readFixture, *askedHolders) {},
			", nearer holder is empty": func(f *readFixture, h *askedHolders) { h.add(machine.Ref{ID: "empty"}, testRegistry(f.log)) },
			", nearer ones are silent": func(_ *readFixture, h *askedHolders) {
				h.add(machine.Ref{ID: "silent-1"}, nil)
				h.add(machine.Ref{ID: "silent-2"}, nil)
			},
		} {
			t.Run(name+others, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f, h := newHoldersFixture(t)
					add(f, h)
					fail(f.log)
					page, err := f.Results(t.Context(), fixtureJob, 0, 0)
					is.NoErr(err)
					is.Equal(page.Total, fixtureItems)
					is.Equal(len(page.Results), 1)
					is.Equal(page.Results[0].Item, "a")
					is.Equal(string(page.Results[0].Output), "text")
					body, err := f.Body(t.Context(), fixtureJob, "b")
					is.NoErr(err)
					is.Equal(string(body), "x")
					is.Equal(h.calls(), []string{"self", "self"}) // the driver alone
				})
			})
		}
	}
}

// Guards against results that only another holder than the driver of the job has, because the driver has just taken the job
// over or does not answer.
func TestReadIsAnsweredByAnotherHolderThanTheDriver(t *testing.T) {
	for name, registry := range map[string]func(f *readFixture) *Registry{
		"empty driver":  func(f *readFixture) *Registry { return testRegistry(f.log) },
		"silent driver": func(*readFixture) *Registry { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, h := newHoldersFixture(t)
				h.add(machine.Ref{ID: "other"}, h.registries["self"])
				h.registries["self"] = registry(f)
				f.log.silent = dataTopic
				start := time.Now()
				page, err := f.Results(t.Context(), fixtureJob, 0, 0)
				is.NoErr(err)
				is.Equal(len(page.Results), 1)
				is.True(time.Since(start) < clientWait)
				is.Equal(h.calls(), []string{"self", "other"})
			})
		})
	}
}

// Guards against a copy without a job, a result or an item that passes for proof that there is none, and against a read that
// waits for other instances longer than its client.
func TestHolderWithoutTheJobProvesNothing(t *testing.T) {
	for name, empty := range map[string]bool{"empty": true, "silent": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, h := newHoldersFixture(t)
				h.registries["self"] = nil
				if empty {
					h.registries["self"] = testRegistry(f.log)
				}
				f.log.silent = dataTopic
				for _, read := range []func() error{
					func() error { _, err := f.Results(t.Context(), fixtureJob, 0, 0); return err },
					func() error { _, err := f.Body(t.Context(), fixtureJob, "b"); return err },
				} {
					start := time.Now()
					err := read()
					var (
						unavailable *UnavailableError
						failed      *ReadError
					)
					is.True(errors.As(err, &unavailable))
					is.True(time.Since(start) < clientWait)
					is.True(errors.As(err, &failed))
					is.Equal(failed.Step, StepLoad)
					is.Equal(failed.Asked, 1)
					is.Equal(failed.PeerErr == nil, empty)
				}
				is.True(strings.Contains(f.lines.String(), "asked=1"))
			})
		})
	}
}

// Guards against calls to other instances while the store answers, also for a client that waits for results.
func TestHoldersAreNotAskedWhileTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, h := newHoldersFixture(t)
		_, err := f.Results(t.Context(), fixtureJob, 0, 0)
		is.NoErr(err)
		page, err := f.Results(t.Context(), fixtureJob, 1, time.Second)
		is.NoErr(err)
		is.Equal(len(page.Results), 0)
		_, err = f.Body(t.Context(), fixtureJob, "c")
		var notFound *NotFoundError
		is.True(errors.As(err, &notFound))
		is.Equal(len(h.calls()), 0)
	})
}

// Guards against a client that waits the whole time limit of a store that does not answer, although this instance holds the
// results it asks for.
func TestOwnResultsDoNotWaitForASilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newReadFixture(t)
		f.readAll(t)
		f.log.silent = dataTopic
		start := time.Now()
		page, err := f.Results(t.Context(), fixtureJob, 0, 0)
		is.NoErr(err)
		is.Equal(len(page.Results), 1)
		is.Equal(time.Since(start), ownReadTime)
	})
}

// Guards against an instance that fails, or reads the store, for another one's request.
func TestHandledReadIsCheckedAndReadsNoStore(t *testing.T) {
	is := is.New(t)
	f := newReadFixture(t)
	reads := f.log.dataReads()
	for _, request := range []copyRequest{
		{Job: fixtureJob, Partition: -1}, {Job: fixtureJob, Partition: len(f.partitions)}, {Job: fixtureJob, After: -1},
	} {
		_, err := f.HandleRead(t.Context(), encodeRequest(t, &request))
		var invalid *copyRequestError
		is.True(errors.As(err, &invalid))
	}
	_, err := f.HandleRead(t.Context(), []byte("no request"))
	is.True(err != nil)
	_, err = f.HandleRead(t.Context(), encodeRequest(t, &copyRequest{Job: fixtureJob, Partition: f.partitionOf(fixtureJob)}))
	is.NoErr(err)
	is.Equal(f.log.dataReads(), reads)
}

func encodeRequest(t *testing.T, request *copyRequest) []byte {
	t.Helper()
	data, err := cbor.Marshal(request)
	is.New(t).NoErr(err)
	return data
}

// Guards against a job that can't be read at an instance that has just started and cannot read the job index, although another
// instance holds the answer.
func TestReadIsAnsweredByAHolderWithoutTheIndex(t *testing.T) {
	for name, fail := range map[string]func(*faultyLog){
		"index silent":  func(l *faultyLog) { l.silent = indexTopic },
		"index refused": func(l *faultyLog) { l.refused = indexTopic },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, _ := newStartedFixture(t)
				fail(f.log)
				page, err := f.Results(t.Context(), fixtureJob, 0, 0)
				is.NoErr(err)
				is.Equal(page.Total, fixtureItems)
				is.Equal(len(page.Results), 1)
				body, err := f.Body(t.Context(), fixtureJob, "b")
				is.NoErr(err)
				is.Equal(string(body), "x")
				_, err = f.Results(t.Context(), "other", 0, 0)
				var unavailable *UnavailableError
				is.True(errors.As(err, &unavailable)) // no copy proves that there is no such job
			})
		})
	}
}

// Guards against a read that spends its time on the index and then waits for a silent partition until the end without asking
// another instance.
func TestHolderIsAskedAfterASlowIndex(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Second} {
		t.Run(wait.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, h := newStartedFixture(t)
				f.log.slow, f.log.delay = indexTopic, ownReadTime+100*time.Millisecond
				f.log.silent = dataTopic
				start := time.Now()
				f.opts.Holders.Possible = func() []machine.Instance {
					if time.Since(start) < f.log.delay {
						return nil
					}
					return h.instances
				}
				page, err := f.Results(t.Context(), fixtureJob, 0, wait)
				is.NoErr(err)
				is.Equal(len(page.Results), 1)
			})
		})
	}
}
