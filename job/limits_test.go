package job

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cicadasill/cicadasill/changelog"
)

// limitedLog is a store that takes no record and no call above its limits.
type limitedLog struct {
	*countingLog
	limits   changelog.Limits
	rejected atomic.Int64 // calls
}

func newLimitedLog() *limitedLog {
	return &limitedLog{countingLog: newCountingLog(), limits: changelog.DefaultLimits}
}

func (l *limitedLog) Append(ctx context.Context, p changelog.Partition, records []changelog.Record, expectEnd int64) (int64, error) {
	if err := l.limits.Check(p, records); err != nil {
		l.rejected.Add(1)
		return 0, &changelog.NotDoneError{Call: "append", Err: err}
	}
	return l.countingLog.Append(ctx, p, records, expectEnd)
}

// submitItems accepts a job of n items whose ids have a number of bytes.
func submitItems(t *testing.T, g *Registry, id ID, n, idBytes int) Summary {
	t.Helper()
	spec := &Spec{ID: id, Host: "h", Path: "/p", Step: -1}
	for i := range n {
		spec.Items = append(spec.Items, Item{ID: itemID(i, idBytes), Path: "/p/1"})
	}
	if err := g.Submit(t.Context(), spec); err != nil {
		t.Fatal(err)
	}
	s, _ := g.Summary(id)
	return s
}

func itemID(n, idBytes int) string { return fmt.Sprintf("%0*d", idBytes, n) }

// Replays a large step whose items are given up at once, and one whose short texts wait while the store is down. Guards against a record of
// results that the store never takes and that keeps all others of the partition from being listed.
func TestManyResultsAtOnceAreListed(t *testing.T) {
	for name, tc := range map[string]struct {
		items, idBytes, outputBytes int
		versions                    []int64
	}{
		"given up":                  {items: 30000, idBytes: 53},
		"given up, short ids":       {items: 60000, idBytes: 16},
		"short texts":               {items: 16000, idBytes: 16, outputBytes: 40, versions: []int64{1, 2}},
		"many versions":             {items: 2000, idBytes: 16, outputBytes: 1, versions: make([]int64, 200)},
		"long ids, empty outputs":   {items: 300, idBytes: 20000},
		"texts as large as allowed": {items: 30, idBytes: 300, outputBytes: maxOutputBytes(changelog.DefaultLimits, "job", itemID(0, 300))},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := newLimitedLog()
				g := testRegistry(log)
				s := submitItems(t, g, "job", tc.items, tc.idBytes)
				state := Errored
				if tc.versions != nil || tc.outputBytes > 0 {
					state = Complete
				}
				for i := range tc.items {
					g.queueResult(&s, Result{Item: itemID(i, tc.idBytes), State: state, Output: []byte(strings.Repeat("x", tc.outputBytes)), Versions: tc.versions})
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				is.NoErr(g.AwaitResults(ctx))
				p := g.partitions[s.Partition]
				is.Equal(p.listed("job"), tc.items)
				complete := 0
				for _, r := range p.state.jobs["job"].results {
					if r.State == Complete {
						complete++
					}
				}
				is.Equal(complete == tc.items, state == Complete)
				is.Equal(log.rejected.Load(), int64(0))
			})
		})
	}
}

// Guards against one result that the store never takes, for whatever reason, and that keeps the others from being listed.
func TestRejectedResultFailsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newLimitedLog()
		g := testRegistry(log)
		log.limits.RecordBytes = 10000 // less than the registry assumes
		const items, large = 200, 77
		s := submitItems(t, g, "job", items, 8)
		for i := range items {
			r := Result{Item: itemID(i, 8), State: Complete, Output: []byte("text")}
			if i == large {
				r.Output = make([]byte, 20000)
			}
			g.queueResult(&s, r)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		is.NoErr(g.AwaitResults(ctx))
		results := g.partitions[s.Partition].state.jobs["job"].results
		is.Equal(len(results), items)
		for _, r := range results {
			is.Equal(r.State == Errored, r.Item == itemID(large, 8))
		}
	})
}

// Guards against a checkpoint of many short events, which is larger than its text, that keeps all others of the instance from being stored.
func TestCheckpointsFitIntoTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newLimitedLog()
		g := testRegistry(log)
		const items = 9000
		s := submitItems(t, g, "job", items, 200)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			g.flushCheckpoints(ctx)
		}()
		many := Checkpoint{LastEvent: 1}
		for range 150_000 {
			many.Data = append(many.Data, []byte("x"))
		}
		g.queueCheckpoint(&s, itemID(0, 200), many)
		for i := 1; i < items; i++ {
			g.queueCheckpoint(&s, itemID(i, 200), Checkpoint{LastEvent: 1, Data: [][]byte{[]byte("x")}})
		}
		time.Sleep(time.Minute)
		cancel()
		<-done
		is.Equal(len(g.partitions[s.Partition].state.jobs["job"].checkpoints), items-1)
		is.Equal(log.rejected.Load(), int64(0))
	})
}

// Guards against the records of a large job that are never deleted because their deletions exceed a call, and against results that are left
// with a gap when a deletion ends halfway.
func TestLargeJobIsDeletedInSeveralCalls(t *testing.T) {
	is := is.New(t)
	log := newLimitedLog()
	g := testRegistry(log)
	const items = 9000
	s := submitItems(t, g, "job", items, 200)
	p := g.partitions[s.Partition]
	checkpoints, results := map[itemRef]Checkpoint{}, make([]Result, items)
	for i := range items {
		checkpoints[itemRef{"job", itemID(i, 200)}] = Checkpoint{LastEvent: 1}
		results[i] = Result{Item: itemID(i, 200), State: Complete, Output: make([]byte, 100)}
	}
	is.NoErr(p.Sync(t.Context()))
	for _, r := range g.newCheckpointRecords(p, checkpoints) {
		_, err := log.Append(t.Context(), p.id, []changelog.Record{r}, changelog.Unconditional)
		is.NoErr(err)
	}
	records, tooLarge, err := resultRecords("job", 0, results, changelog.DefaultLimits)
	is.NoErr(err)
	is.Equal(len(tooLarge), 0)
	is.True(len(records) > 5)
	for _, r := range records {
		_, err := log.Append(t.Context(), p.id, []changelog.Record{r}, changelog.Unconditional)
		is.NoErr(err)
	}
	is.NoErr(p.Sync(t.Context()))
	is.Equal(p.listed("job"), items)
	half := p.state.jobs["job"].deletions("job")
	half = half[:len(half)-3] // all but the first three records of results
	for _, r := range half {
		_, err := log.Append(t.Context(), p.id, []changelog.Record{r}, changelog.Unconditional)
		is.NoErr(err)
	}
	is.NoErr(p.Sync(t.Context()))
	is.Equal(p.state.jobs["job"].gap(), nil)
	is.True(p.listed("job") > 0)
	is.NoErr(g.delete(t.Context(), &s))
	is.Equal(len(p.state.jobs), 0)
	is.Equal(log.rejected.Load(), int64(0))
	left := map[string]bool{}
	for _, r := range log.records[p.id] {
		if left[r.Key] = true; r.Value == nil {
			delete(left, r.Key)
		}
	}
	is.Equal(len(left), 0)
}

// Guards against a job that is refused as too large where the store takes smaller records than usual, although each of its items fits.
func TestItemsFitIntoSmallerRecords(t *testing.T) {
	is := is.New(t)
	log := newLimitedLog()
	log.limits = changelog.Limits{RecordBytes: 20_000, CallBytes: 100_000}
	g := testRegistry(log)
	g.opts.Limits = log.limits
	spec := &Spec{ID: "job", Host: "h", Step: -1}
	for i := range 100 {
		item := Item{ID: itemID(i, 8), Path: "/p/1", Body: make([]byte, 5000)}
		is.NoErr(item.Pack())
		spec.Items = append(spec.Items, item)
	}
	is.NoErr(g.Submit(t.Context(), spec))
	is.Equal(log.rejected.Load(), int64(0))
	body, err := g.Body(t.Context(), "job", itemID(99, 8))
	is.NoErr(err)
	is.Equal(len(body), 5000)
}

// Guards against jobs whose ids or summaries the store cannot hold: such an id was cut, and the records of such a summary were repeated until
// the client's deadline, while all other jobs of the instance waited.
func TestJobThatTheStoreCannotHoldIsRefusedAtOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		spec  Spec
		taken bool
	}{
		"longest id":       {Spec{ID: ID(strings.Repeat("i", maxJobIDBytes))}, true},
		"id too long":      {Spec{ID: ID(strings.Repeat("i", maxJobIDBytes+1))}, false},
		"long model":       {Spec{ID: "job", Model: strings.Repeat("m", 300_000)}, false},
		"long path, model": {Spec{ID: "job", Path: strings.Repeat("p", 131_000), Model: strings.Repeat("m", 131_000)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := newLimitedLog()
			tc.spec.Step = -1
			tc.spec.Items = []Item{{ID: "a"}}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			err := testRegistry(log).Submit(ctx, &tc.spec)
			var tooLarge *TooLargeError
			is.Equal(errors.As(err, &tooLarge), !tc.taken)
			is.Equal(err == nil, tc.taken)
			is.Equal(log.rejected.Load(), int64(0))
		})
	}
}

// Draws ids, versions, outputs and limits. Guards against records of results above the limits, and against results that are left out,
// listed twice or at another position.
func TestResultRecordsKeepTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := changelog.Limits{RecordBytes: rapid.IntRange(2000, 1<<18).Draw(t, "record bytes")}.OrDefault()
		id := ID(strings.Repeat("j", rapid.IntRange(1, maxJobIDBytes).Draw(t, "job id")))
		idBytes := rapid.IntRange(0, 1000).Draw(t, "item id")
		results := make([]Result, rapid.IntRange(0, 60).Draw(t, "results"))
		for n := range results {
			results[n] = Result{
				Item: itemID(n, idBytes), State: Complete, Score: strings.Repeat("s", rapid.IntRange(0, 80).Draw(t, "score")),
				Output:   make([]byte, rapid.OneOf(rapid.IntRange(0, 50), rapid.IntRange(0, 50), rapid.IntRange(0, 50), rapid.IntRange(0, 1<<18)).Draw(t, "output")),
				Versions: rapid.SliceOfN(rapid.Int64(), 0, 20).Draw(t, "versions"),
			}
		}
		position := rapid.IntRange(0, 1<<30).Draw(t, "position")
		records, tooLarge, err := resultRecords(id, position, results, limits)
		if err != nil {
			t.Fatal(err)
		}
		next := 0
		for _, r := range records {
			if r.Size() > limits.RecordBytes || len(r.Key) > changelog.MaxKeyBytes {
				t.Fatalf("record of %d bytes, key of %d bytes; limit %d", r.Size(), len(r.Key), limits.RecordBytes)
			}
			var decoded resultsRecord
			if err := cbor.Unmarshal(r.Value, &decoded); err != nil {
				t.Fatal(err)
			}
			if decoded.Position != position+next {
				t.Fatalf("record at %d, %d expected", decoded.Position, position+next)
			}
			for _, got := range decoded.Results {
				if want := results[next]; got.Item != want.Item || (got.State == Complete && len(got.Output) != len(want.Output)) {
					t.Fatalf("result %d is of %q", next, got.Item)
				}
				if size, _ := cbor.Marshal(&got); got.State == Complete && len(size) > results[next].encodedSize() {
					t.Fatalf("encoded in %d bytes, %d estimated", len(size), results[next].encodedSize())
				}
				if got.State == Errored {
					tooLarge = tooLarge[1:]
				}
				next++
			}
		}
		if next != len(results) || len(tooLarge) != 0 {
			t.Fatalf("%d of %d results, %d more too large", next, len(results), len(tooLarge))
		}
	})
}
