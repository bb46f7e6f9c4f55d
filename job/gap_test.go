package job

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/changelog/logtest"
)

// lossyLog is a log that may leave the record of one key out of a page, or return it with a value that can't be read.
type lossyLog struct {
	*logtest.Log
	mu           sync.Mutex // guards the fields below
	key          string
	omit, garble int // number of times
	pages        atomic.Int64
}

// Newest implements changelog.Log.
func (l *lossyLog) Newest(ctx context.Context, p changelog.Partition, after string) (changelog.Page, error) {
	l.pages.Add(1)
	page, err := l.Log.Newest(ctx, p, after)
	l.mu.Lock()
	defer l.mu.Unlock()
	n := slices.IndexFunc(page.Records, func(r changelog.Record) bool { return r.Key == l.key })
	switch {
	case n < 0 || l.omit == 0:
		return page, err
	case n == len(page.Records)-1 && page.More: // the next page begins after the record
		var next changelog.Page
		next, err = l.Log.Newest(ctx, p, l.key)
		page.Records, page.More = append(page.Records[:n], next.Records...), next.More
	default:
		page.Records = slices.Delete(page.Records, n, n+1)
	}
	l.omit--
	return page, err
}

// Read implements changelog.Log.
func (l *lossyLog) Read(ctx context.Context, p changelog.Partition, from int64, wait time.Duration) (changelog.Batch, error) {
	batch, err := l.Log.Read(ctx, p, from, wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range batch.Records {
		if batch.Records[i].Key == l.key && l.garble > 0 {
			l.garble--
			batch.Records[i].Value = []byte{0xff}
		}
	}
	return batch, err
}

// gapRun is a job with results in a log, and an instance that reads them.
type gapRun struct {
	log      *lossyLog
	registry *Registry
	job      Summary
	lines    bytes.Buffer
	listed   int
}

// newGapRun returns a run whose log loses the given record.
func newGapRun(t *testing.T, lost int) *gapRun {
	t.Helper()
	r := &gapRun{log: &lossyLog{Log: logtest.New(1)}}
	r.log.EndFaults()
	r.registry = NewRegistry(RegistryOptions{Log: r.log, Partitions: 1, Logger: log.New(&r.lines), Retention: time.Hour})
	r.job = Summary{ID: "job", Total: 100, Partition: 0}
	r.log.key = resultKey(r.job.ID, lost)
	r.append(t, &r.job, indexTopic)
	return r
}

// append appends the record of the job, or the results at the next positions.
func (r *gapRun) append(t *testing.T, s *Summary, topic string) {
	t.Helper()
	record, err := s.record()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.log.Append(t.Context(), changelog.Partition{Topic: topic}, []changelog.Record{record}, changelog.Unconditional); err != nil {
		t.Fatal(err)
	}
}

// resultKey returns the key of the record with the results from a position on.
func resultKey(id ID, position int) string {
	return fmt.Sprintf("%s%s/%06d", resultsPrefix, id, position)
}

// list lists results, one in a record.
func (r *gapRun) list(t *testing.T, count int) {
	t.Helper()
	for range count {
		records, _, err := resultRecords(r.job.ID, r.listed, []Result{{Item: fmt.Sprint("i", r.listed), State: Complete}}, changelog.DefaultLimits)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := r.log.Append(t.Context(), r.registry.partitions[0].id, records, changelog.Unconditional); err != nil {
			t.Fatal(err)
		}
		r.listed++
	}
}

// read returns the number of results that the instance reads.
func (r *gapRun) read(t *testing.T) int {
	t.Helper()
	page, err := r.registry.Results(t.Context(), r.job.ID, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	return len(page.Results)
}

// gapLines returns the number of log lines that report a gap.
func (r *gapRun) gapLines() int { return strings.Count(r.lines.String(), "gap in results job=") }

// Guards against a copy that lacks a record and answers with a shorter job for as long as the process lives.
func TestGapInResultsIsRepaired(t *testing.T) {
	for name, lose := range map[string]func(*lossyLog){
		"first load": func(l *lossyLog) { l.omit = 1 },
		"later read": func(l *lossyLog) { l.garble = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newGapRun(t, 4)
				if lose(r.log); r.log.garble > 0 {
					is.Equal(r.read(t), 0) // the partition has been loaded
				}
				r.list(t, 9)
				is.Equal(r.read(t), 9)
				is.Equal(r.gapLines(), 1)
				for _, field := range []string{"key=" + resultKey("job", 5), "expected=4", "found=5", "offset=5"} {
					is.True(strings.Contains(r.lines.String(), field))
				}
				r.list(t, 3)
				is.Equal(r.read(t), 12)
				is.Equal(r.gapLines(), 1)
			})
		})
	}
}

// Guards against an instance that loads a partition again and again because the store itself lacks a record.
func TestGapInTheStoreIsServedUpToIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newGapRun(t, 4)
		r.log.omit, r.log.garble = 1<<30, 1<<30
		r.list(t, 9)
		start := time.Now()
		for time.Since(start) < 10*time.Second {
			is.Equal(r.read(t), 4)
			r.list(t, 1)
			time.Sleep(500 * time.Millisecond)
		}
		pages := r.log.pages.Load()
		t.Log("pages", pages)
		is.True(pages < 30) // of 1 to 3 records
		is.Equal(r.gapLines(), 1)
		r.log.omit, r.log.garble = 0, 0
		time.Sleep(gapRepairInterval)
		is.Equal(r.read(t), r.listed)
	})
}

// Guards against a gap that is seen where there is none: within a load the records come in the order of their offsets, which is
// not that of their positions if some were written again.
func TestOrderWithinALoadIsNoGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const id, chunks = ID("job"), 6
		var lines bytes.Buffer
		state := newPartitionState(log.New(&lines), newGapCounter(nil), &copyBudget{}, &copyBudget{})
		var records []changelog.Record
		position := 0
		for n := range chunks {
			results := make([]Result, rapid.IntRange(1, 3).Draw(t, "results"))
			for i := range results {
				results[i].Item = fmt.Sprint(n, "/", i)
			}
			data, err := cbor.Marshal(resultsRecord{Position: position, Results: results})
			if err != nil {
				t.Fatal(err)
			}
			records = append(records, changelog.Record{Key: resultKey(id, position), Value: data})
			position += len(results)
		}
		state.Reset()
		for _, r := range rapid.Permutation(records).Draw(t, "order") {
			state.Apply(r)
			if rapid.Bool().Draw(t, "again") {
				state.Apply(r)
			}
		}
		state.Loaded()
		j := state.jobs[id]
		if len(j.results) != position || len(j.records) != chunks || state.Incomplete() || lines.Len() > 0 {
			t.Fatalf("%d of %d results with %d keys, %s", len(j.results), position, len(j.records), lines.String())
		}
	})
}

// Guards against results that are listed at positions which others have, because the driver's copy lacks a record.
func TestResultsAreListedAfterAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newGapRun(t, 4)
		r.log.garble = 1
		is.Equal(r.read(t), 0) // the partition has been loaded
		r.list(t, 9)
		p := r.registry.partitions[0]
		is.NoErr(p.Sync(t.Context()))
		batch := map[ID][]Result{r.job.ID: {{Item: "next", State: Complete}}}
		_, err := p.Commit(t.Context(), func() []changelog.Record { return r.registry.newResultRecords(p, batch) })
		is.NoErr(err)
		values := r.log.ValuesBefore(p.id, r.log.End(p.id))
		is.Equal(len(values), 10)
		_, listed := values[resultKey(r.job.ID, 9)]
		is.True(listed)
	})
}
