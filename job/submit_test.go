package job

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/telemetry"
)

// countingLog is an in-memory Log that counts the reads of each topic.
type countingLog struct {
	mu      sync.Mutex
	records map[changelog.Partition][]changelog.Record
	reads   map[string]int
	largest int // bytes of the largest append
}

func newCountingLog() *countingLog {
	return &countingLog{records: map[changelog.Partition][]changelog.Record{}, reads: map[string]int{}}
}

func (l *countingLog) Append(_ context.Context, p changelog.Partition, records []changelog.Record, expectEnd int64) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := int64(len(l.records[p]))
	if expectEnd != changelog.Unconditional && expectEnd != end {
		return 0, &changelog.ConflictError{Partition: p, End: end}
	}
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	l.largest = max(l.largest, size)
	for _, r := range records {
		r.Offset = int64(len(l.records[p]))
		l.records[p] = append(l.records[p], r)
	}
	return int64(len(l.records[p])), nil
}

func (l *countingLog) Read(_ context.Context, p changelog.Partition, from int64, _ time.Duration) (changelog.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads[p.Topic]++
	records := l.records[p]
	return changelog.Batch{Records: append([]changelog.Record(nil), records[from:]...), End: int64(len(records))}, nil
}

func (l *countingLog) Newest(_ context.Context, p changelog.Partition, _ string) (changelog.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads[p.Topic]++
	records := l.records[p]
	return changelog.Page{Records: append([]changelog.Record(nil), records...), End: int64(len(records))}, nil
}

// dataReads returns the number of reads of data partitions.
func (l *countingLog) dataReads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for topic, reads := range l.reads {
		if strings.HasPrefix(topic, dataTopic) {
			n += reads
		}
	}
	return n
}

func testRegistry(log changelog.Log) *Registry {
	self := machine.Ref{ID: "self", Incarnation: 1}
	return NewRegistry(RegistryOptions{
		Self: self, Log: log, Partitions: 2, Logger: telemetry.Discard(),
		AvailableInDataCentre: func(machine.Ref) bool { return true }, Drivers: func(string) []machine.Ref { return []machine.Ref{self} },
	})
}

// Guards against an acceptance that first reads the results of earlier jobs: after a restart of all
// instances, each of them would read megabytes before it accepts a job.
func TestAcceptanceReadsNoResults(t *testing.T) {
	is := is.New(t)
	log := newCountingLog()
	g := testRegistry(log)
	spec := &Spec{ID: "job-1", Host: "h", Path: "/p", Model: "m", Items: []Item{{ID: "a", Body: []byte("x")}, {ID: "b"}}}
	is.NoErr(g.Submit(context.Background(), spec))
	is.Equal(log.dataReads(), 0)
	body, err := testRegistry(log).Body(context.Background(), "job-1", "a") // another instance reads the items from the log
	is.NoErr(err)
	is.Equal(string(body), "x")
}

// Guards against refusing a job because its items do not fit into one call to the store.
func TestLargeJobIsStoredInSeveralCalls(t *testing.T) {
	is := is.New(t)
	const items, callLimit = 50, 2_000_000
	log := newCountingLog()
	spec := &Spec{ID: "job-1", Host: "h", Step: -1}
	for i := range items {
		spec.Items = append(spec.Items, Item{ID: fmt.Sprint(i), Body: make([]byte, 100_000)})
	}
	is.NoErr(testRegistry(log).Submit(context.Background(), spec))
	is.True(log.largest < callLimit)
	other := testRegistry(log)
	for i := range items {
		body, err := other.Body(context.Background(), "job-1", fmt.Sprint(i))
		is.NoErr(err)
		is.Equal(len(body), 100_000)
	}
}

// Guards against retrying, until the client's deadline, a job that no store can hold.
func TestTooLargeItemIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	log := newCountingLog()
	err := testRegistry(log).Submit(context.Background(), &Spec{ID: "job-1", Items: []Item{{ID: "a", Body: make([]byte, 300_000)}}})
	var tooLarge *TooLargeError
	is.True(errors.As(err, &tooLarge))
	is.Equal(log.largest, 0)
}

// fixedPeers is a Peers with a fixed rank in which either all instances are dead or none.
type fixedPeers struct {
	dead bool
	rank int
}

func (p fixedPeers) Dead(machine.Ref) bool { return p.dead }
func (p fixedPeers) Rank(string) int       { return p.rank }

// Guards against results that are deleted although the client has not ended its job and may come back for them.
func TestJobThatNobodyHasEndedIsKept(t *testing.T) {
	is := is.New(t)
	g := testRegistry(newCountingLog())
	g.opts.Peers = fixedPeers{dead: true}
	g.opts.Retention = 2 * time.Minute
	is.NoErr(g.Submit(t.Context(), &Spec{ID: "job-1", Host: "h", Step: -1, Items: []Item{{ID: "a"}}}))
	s, _ := g.Summary("job-1")
	is.NoErr(g.markListed(t.Context(), &s))
	known := func() bool { _, ok := g.Summary("job-1"); return ok }
	g.deleteExpired(t.Context(), time.Now().Add(time.Hour))
	is.True(known())
	is.NoErr(g.End(t.Context(), "job-1"))
	g.deleteExpired(t.Context(), time.Now().Add(time.Hour))
	is.True(!known())
}

// Guards against jobs that stay in the store for good because their clients never end them.
func TestAbandonedJobIsDeleted(t *testing.T) {
	is := is.New(t)
	g := testRegistry(newCountingLog())
	g.opts.Peers = fixedPeers{dead: true}
	is.NoErr(g.Submit(t.Context(), &Spec{ID: "job-1", Host: "h", Step: -1, Items: []Item{{ID: "a"}}}))
	s, _ := g.Summary("job-1")
	is.NoErr(g.markListed(t.Context(), &s))
	g.deleteExpired(t.Context(), time.Now().Add(abandonedAfter+time.Minute))
	_, known := g.Summary("job-1")
	is.True(!known)
}

// Guards against records that are never deleted because the job's driver is dead.
func TestOldJobOfADeadDriverIsDeleted(t *testing.T) {
	for name, tc := range map[string]struct {
		peers fixedPeers
		left  bool
	}{
		"driver lives":       {fixedPeers{dead: false}, true},
		"another deletes it": {fixedPeers{dead: true, rank: 1}, true},
		"driver is dead":     {fixedPeers{dead: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			g := testRegistry(newCountingLog())
			g.opts.Peers = tc.peers
			g.opts.Drivers = func(string) []machine.Ref { return []machine.Ref{{ID: "other", Incarnation: 1}} }
			is.NoErr(g.Submit(ctx, &Spec{ID: "job-1", Host: "h", Step: -1, Items: []Item{{ID: "a"}}}))
			is.NoErr(g.End(ctx, "job-1"))
			g.deleteExpired(ctx, time.Now().Add(deletionDelay+time.Second))
			_, left := g.Summary("job-1")
			is.Equal(left, tc.left)
		})
	}
}

// Guards against jobs that together exceed the memory of the instance that runs them, and against a large job that no instance
// ever accepts.
func TestJobsBeyondMemoryOfDriverAreRefused(t *testing.T) {
	is := is.New(t)
	log := newCountingLog()
	g := testRegistry(log)
	g.opts.MaxItemBytes = 1000
	submit := func(id string, bytes int) error {
		return g.Submit(t.Context(), &Spec{ID: ID(id), Host: "h", Step: -1, Items: []Item{{ID: "a", Body: make([]byte, bytes)}}})
	}
	is.NoErr(submit("large", 2000)) // alone
	stored := log.largest
	var full *FullError
	is.True(errors.As(submit("other", 3000), &full))
	is.Equal(log.largest, stored)   // nothing is stored of a refused job
	is.NoErr(submit("large", 2000)) // once more
	is.NoErr(g.End(t.Context(), "large"))
	is.NoErr(submit("other", 500))
	is.NoErr(submit("small", 100))
	is.True(errors.As(submit("last", 500), &full))
}

// Guards against jobs that are accepted at the same time and together exceed the memory of their driver.
func TestJobsAcceptedAtOnceShareMemoryOfDriver(t *testing.T) {
	is := is.New(t)
	log := newCountingLog()
	outcomes := make(chan error, 2)
	for n := range 2 {
		g := testRegistry(log)
		g.opts.MaxItemBytes = 1000
		go func() {
			outcomes <- g.Submit(t.Context(), &Spec{ID: ID(fmt.Sprint("job-", n)), Host: "h", Step: -1, Items: []Item{{ID: "a", Body: make([]byte, 800)}}})
		}()
	}
	first, second := <-outcomes, <-outcomes
	var full *FullError
	is.True((first == nil) != (second == nil))
	is.True(errors.As(errors.Join(first, second), &full))
}

// Guards against a refusal of a job that another instance has accepted: a refusal promises that the job never runs.
func TestAcceptedJobIsNotRefused(t *testing.T) {
	is := is.New(t)
	log := newCountingLog()
	accepting, other := testRegistry(log), testRegistry(log)
	other.opts.MaxItemBytes = 1000
	spec := func(id string) *Spec {
		return &Spec{ID: ID(id), Host: "h", Step: -1, Items: []Item{{ID: "a", Body: make([]byte, 800)}}}
	}
	is.NoErr(other.Submit(t.Context(), spec("first")))
	is.NoErr(accepting.Submit(t.Context(), spec("second")))
	is.NoErr(other.Submit(t.Context(), spec("second"))) // has not read the index since
}
