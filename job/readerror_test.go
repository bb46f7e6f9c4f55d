package job

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/telemetry"
)

// errRefused is a call that the store refuses.
var errRefused = errors.New("refused")

// faultyLog is a log that fails calls for the partitions of some topics: it refuses them, leaves them without an answer until the
// test ends, or carries them out after a delay.
type faultyLog struct {
	*countingLog
	refused, silent, slow string // prefixes of topics; empty for none
	delay                 time.Duration
	ended                 <-chan struct{}
}

func (l *faultyLog) fault(p changelog.Partition) error {
	switch {
	case l.refused != "" && strings.HasPrefix(p.Topic, l.refused):
		return &changelog.NotDoneError{Call: "call", Err: errRefused}
	case l.silent != "" && strings.HasPrefix(p.Topic, l.silent):
		<-l.ended
		return errReleased
	case l.slow != "" && strings.HasPrefix(p.Topic, l.slow):
		time.Sleep(l.delay / 2) // a load reads twice
	}
	return nil
}

func (l *faultyLog) Append(ctx context.Context, p changelog.Partition, records []changelog.Record, expectEnd int64) (int64, error) {
	if err := l.fault(p); err != nil {
		return 0, err
	}
	return l.countingLog.Append(ctx, p, records, expectEnd)
}

func (l *faultyLog) Read(ctx context.Context, p changelog.Partition, from int64, wait time.Duration) (changelog.Batch, error) {
	if err := l.fault(p); err != nil {
		return changelog.Batch{}, err
	}
	return l.countingLog.Read(ctx, p, from, wait)
}

func (l *faultyLog) Newest(ctx context.Context, p changelog.Partition, after string) (changelog.Page, error) {
	if err := l.fault(p); err != nil {
		return changelog.Page{}, err
	}
	return l.countingLog.Newest(ctx, p, after)
}

// readFixture is an instance that reads a job which another one has accepted and given a result.
type readFixture struct {
	*Registry
	log   *faultyLog
	lines bytes.Buffer
}

// fixtureJob is the job of a readFixture. It has fixtureItems items, of which "a" has a result.
const (
	fixtureJob   = ID("job-1")
	fixtureItems = 2
)

func newReadFixture(t *testing.T) *readFixture {
	t.Helper()
	is := is.New(t)
	f := &readFixture{log: &faultyLog{countingLog: newCountingLog(), ended: t.Context().Done()}}
	writer := testRegistry(f.log)
	is.NoErr(writer.Submit(t.Context(), &Spec{ID: fixtureJob, Items: []Item{{ID: "a"}, {ID: "b", Body: []byte("x")}}}))
	s, _ := writer.Summary(fixtureJob)
	writer.queueResult(&s, Result{Item: "a", State: Complete, Output: []byte("text")})
	writer.flushes.Wait()
	logger, err := telemetry.NewLogger(&f.lines, "info", "")
	is.NoErr(err)
	self := machine.Ref{ID: "reader", Incarnation: 1}
	f.Registry = NewRegistry(RegistryOptions{Self: self, Log: f.log, Partitions: 2, Logger: logger, Registerer: prometheus.NewRegistry()})
	return f
}

// readAll makes the copies of the index and the job's partition current.
func (f *readFixture) readAll(t *testing.T) {
	t.Helper()
	_, err := f.Results(t.Context(), fixtureJob, 0, 0)
	is.New(t).NoErr(err)
}

// refused returns how many calls of a kind have been refused because a step failed.
func (f *readFixture) refused(t *testing.T, call string, step ReadStep) int {
	t.Helper()
	var counter dto.Metric
	is.New(t).NoErr(f.refusals.refused.WithLabelValues(call, string(step)).Write(&counter))
	return int(counter.GetCounter().GetValue())
}

// Guards against a refused read of a job whose line does not tell the step that failed, what this instance had read before, or
// the cause.
func TestRefusedReadNamesItsStep(t *testing.T) {
	results := func(ctx context.Context, f *readFixture, after int) error {
		_, err := f.Results(ctx, fixtureJob, after, 0)
		return err
	}
	first := func(ctx context.Context, f *readFixture) error { return results(ctx, f, 0) }
	next := func(ctx context.Context, f *readFixture) error { return results(ctx, f, 1) }
	const between = 3 * time.Second // from the read of all to the refused one
	// A read that fails at once repeats its calls until repeatTime has passed.
	const repeated = 4 * resultPollInterval
	for name, tc := range map[string]struct {
		prepare func(ctx context.Context, f *readFixture) // nil: the instance has read everything
		refused string
		silent  string
		call    func(ctx context.Context, f *readFixture) error
		want    ReadError
		counted string
		line    string
	}{
		"index never read": {
			prepare: func(context.Context, *readFixture) {}, refused: indexTopic, call: first,
			want: ReadError{Step: StepIndex, LastRead: errRefused, Err: errRefused}, counted: "results",
			line: "step=index partition=jobs/0 loaded=false age=0s after=0 listed=0 total=0",
		},
		"index silent": {
			prepare: func(context.Context, *readFixture) {}, silent: indexTopic, call: first,
			want: ReadError{Step: StepIndex, Err: context.DeadlineExceeded}, counted: "results",
			line: `took=1.3s err="the store is unavailable: context deadline exceeded" last_read_err=null`,
		},
		"index not read again": {
			refused: indexTopic, call: func(ctx context.Context, f *readFixture) error {
				_, err := f.Body(ctx, "other", "b")
				return err
			},
			want: ReadError{Step: StepIndex, Loaded: true, Age: between + repeated, LastRead: errRefused, Err: errRefused}, counted: "body",
			line: "call=body job=other item=b step=index",
		},
		"partition never read": {
			prepare: func(ctx context.Context, f *readFixture) { _ = f.indexReplica.Sync(ctx) }, refused: dataTopic, call: first,
			want: ReadError{Step: StepLoad, Total: fixtureItems, LastRead: errRefused, Err: errRefused}, counted: "results",
			line: "step=partition_load partition=job-data-",
		},
		"partition silent after a refusal": {
			prepare: func(ctx context.Context, f *readFixture) {
				f.log.refused = dataTopic
				_ = first(ctx, f)
				f.log.refused = ""
				f.lines.Reset()
			}, silent: dataTopic, call: first,
			want:    ReadError{Step: StepLoad, Total: fixtureItems, LastRead: errRefused, Err: context.DeadlineExceeded},
			counted: "results",
			line:    `took=1.3s err="the store is unavailable: context deadline exceeded" last_read_err="call was not executed: refused"`,
		},
		"partition not read again": {
			refused: dataTopic, call: next,
			want: ReadError{
				Step: StepRead, Loaded: true, Age: between + repeated, After: 1, Listed: 1, Total: fixtureItems, LastRead: errRefused, Err: errRefused,
			},
			counted: "results", line: "loaded=true age=3.6s after=1 listed=1 total=2 took=600ms",
		},
		"client gone": {
			call: func(ctx context.Context, f *readFixture) error {
				ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
				defer cancel()
				_, err := f.Results(ctx, fixtureJob, 1, time.Second)
				return err
			},
			want:    ReadError{Step: StepWait, Loaded: true, Age: time.Millisecond, After: 1, Listed: 1, Total: fixtureItems, Err: context.DeadlineExceeded},
			counted: "results", line: "step=wait",
		},
		"no such job": {
			call: func(ctx context.Context, f *readFixture) error {
				_, err := f.Results(ctx, "other", 0, 0)
				return err
			},
			want: ReadError{Step: StepNotFound, Loaded: true}, counted: "results", line: `err="batch job other does not exist"`,
		},
		"no such item": {
			call: func(ctx context.Context, f *readFixture) error {
				_, err := f.Body(ctx, fixtureJob, "c")
				return err
			},
			want:    ReadError{Step: StepItemNotFound, Loaded: true, Listed: 1, Total: fixtureItems},
			counted: "body", line: "item=c step=item_not_found",
		},
		"end not written": {
			refused: indexTopic, call: func(ctx context.Context, f *readFixture) error {
				ctx, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				return f.End(ctx, fixtureJob)
			},
			want:    ReadError{Step: StepWrite, Loaded: true, Age: between + time.Second, Total: fixtureItems, LastRead: errRefused, Err: errRefused},
			counted: "end", line: "call=end job=job-1 step=index_write",
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newReadFixture(t)
				if tc.prepare != nil {
					tc.prepare(t.Context(), f)
				} else {
					f.readAll(t)
				}
				time.Sleep(between)
				f.log.refused, f.log.silent = tc.refused, tc.silent
				err := tc.call(t.Context(), f)
				t.Log(f.lines.String())
				var got *ReadError
				is.True(errors.As(err, &got))
				is.Equal(got.Step, tc.want.Step)
				is.Equal(got.Loaded, tc.want.Loaded)
				is.Equal(got.Age, tc.want.Age)
				is.Equal([]int{got.After, got.Listed, got.Total}, []int{tc.want.After, tc.want.Listed, tc.want.Total})
				is.True(errors.Is(got.LastRead, tc.want.LastRead))
				is.True(tc.want.Err == nil || errors.Is(err, tc.want.Err))
				is.True(strings.Contains(f.lines.String(), tc.line)) // one structured line
				is.Equal(strings.Count(f.lines.String(), `msg="read of a job refused"`), 1)
				is.True(f.refused(t, tc.counted, tc.want.Step) > 0)
			})
		})
	}
}

// Guards against refused reads that fill the log, as when all clients read while the store is away.
func TestRefusedReadsWriteFewLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newReadFixture(t)
		f.readAll(t)
		const reads = 200
		for range reads {
			_, err := f.Results(t.Context(), "other", 0, 0)
			is.True(err != nil)
		}
		is.Equal(strings.Count(f.lines.String(), "read of a job refused"), refusalLogRate)
		is.Equal(f.refused(t, "results", StepNotFound), reads)
		_, err := f.Body(t.Context(), fixtureJob, "c") // another step
		is.True(err != nil)
		is.True(strings.Contains(f.lines.String(), fmt.Sprintf("step=%s", StepItemNotFound)))
	})
}
