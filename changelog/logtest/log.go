// Package logtest provides a changelog.Log for tests that fails in the ways in which the platform's store does.
package logtest

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/changelog"
)

// errFault is the cause of the calls that a Log fails.
var errFault = errors.New("fault")

// Ratios and times of the faults.
const (
	maxDelay = 20 * time.Millisecond
	maxLate  = 500 * time.Millisecond
	// One call in refusedRatio is refused, one append in lostRatio is carried out without an answer, and as many are carried
	// out late.
	refusedRatio = 6
	lostRatio    = 8
	// After one append in forgottenRatio, the history is gone but for maxHistory records.
	forgottenRatio = 4
	maxHistory     = 3
	// maxPage is the largest number of records in a page of newest records.
	maxPage = 3
)

// Log is a log in memory whose calls are slow, refused, carried out without an answer or carried out late, and which forgets
// its history. Its pages of newest records are small and no snapshot. Its faults follow from a seed.
type Log struct {
	mu         sync.Mutex // guards the fields below
	rng        *rand.Rand
	partitions map[changelog.Partition]*partition
	calm       bool
}

// partition is the content of one partition.
type partition struct {
	records []changelog.Record
	first   int64 // first offset that is retained
}

// New returns an empty log.
func New(seed uint64) *Log {
	return &Log{rng: rand.New(rand.NewPCG(seed, 0)), partitions: map[changelog.Partition]*partition{}}
}

// EndFaults makes all later calls succeed. Appends that are under way may still be late.
func (l *Log) EndFaults() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calm = true
}

// ValuesBefore returns the newest value of each key among the records of a partition before an offset.
func (l *Log) ValuesBefore(p changelog.Partition, offset int64) map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	values := map[string]string{}
	for key, r := range newestOf(l.partition(p).records[:offset]) {
		values[key] = string(r.Value)
	}
	return values
}

// End returns the offset after the last record of a partition.
func (l *Log) End(p changelog.Partition) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.partition(p).records))
}

// partition returns a partition and creates it if needed. The caller holds l.mu.
func (l *Log) partition(p changelog.Partition) *partition {
	if l.partitions[p] == nil {
		l.partitions[p] = &partition{}
	}
	return l.partitions[p]
}

// oneIn reports true once in n calls on average, unless the faults have ended. The caller holds l.mu.
func (l *Log) oneIn(n int) bool { return l.rng.IntN(n) == 0 && !l.calm }

// pause lets other calls pass this one, and reports whether the call is refused.
func (l *Log) pause(ctx context.Context) bool {
	l.mu.Lock()
	delay, refused := time.Duration(l.rng.Int64N(int64(maxDelay))), l.oneIn(refusedRatio)
	l.mu.Unlock()
	select {
	case <-time.After(delay):
		return refused
	case <-ctx.Done():
		return true
	}
}

// append appends records if the partition ends at expectEnd.
func (l *Log) append(p changelog.Partition, records []changelog.Record, expectEnd int64) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	part := l.partition(p)
	if end := int64(len(part.records)); expectEnd != changelog.Unconditional && expectEnd != end {
		return 0, &changelog.ConflictError{Partition: p, End: end}
	}
	for _, r := range records {
		r.Offset = int64(len(part.records))
		part.records = append(part.records, r)
	}
	if l.oneIn(forgottenRatio) {
		part.first = max(part.first, int64(len(part.records)-l.rng.IntN(maxHistory+1)))
	}
	return int64(len(part.records)), nil
}

// Append implements changelog.Log.
func (l *Log) Append(ctx context.Context, p changelog.Partition, records []changelog.Record, expectEnd int64) (int64, error) {
	records = slices.Clone(records)
	if l.pause(ctx) {
		return 0, &changelog.NotDoneError{Call: "append", Err: errFault}
	}
	l.mu.Lock()
	lost, late := l.oneIn(lostRatio), l.oneIn(lostRatio)
	delay := time.Duration(l.rng.Int64N(int64(maxLate)))
	l.mu.Unlock()
	switch {
	case lost:
		_, _ = l.append(p, records, expectEnd)
	case late:
		time.AfterFunc(delay, func() { _, _ = l.append(p, records, expectEnd) })
	default:
		return l.append(p, records, expectEnd)
	}
	return 0, &changelog.UnknownError{Call: "append", Err: errFault}
}

// Read implements changelog.Log. It never waits for records.
func (l *Log) Read(ctx context.Context, p changelog.Partition, from int64, _ time.Duration) (changelog.Batch, error) {
	if l.pause(ctx) {
		return changelog.Batch{}, errFault
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	part := l.partition(p)
	if from < part.first {
		return changelog.Batch{}, &changelog.TrimmedError{Partition: p, First: part.first}
	}
	records := part.records[min(int(from), len(part.records)):]
	if len(records) > 1 {
		records = records[:1+l.rng.IntN(len(records))]
	}
	return changelog.Batch{Records: slices.Clone(records), End: int64(len(part.records)), First: part.first}, nil
}

// Newest implements changelog.Log.
func (l *Log) Newest(ctx context.Context, p changelog.Partition, after string) (changelog.Page, error) {
	if l.pause(ctx) {
		return changelog.Page{}, errFault
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	part := l.partition(p)
	newest := newestOf(part.records)
	page := changelog.Page{End: int64(len(part.records))}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if key > after {
			page.Records = append(page.Records, newest[key])
		}
	}
	if size := 1 + l.rng.IntN(maxPage); len(page.Records) > size {
		page.Records, page.More = page.Records[:size], true
	}
	return page, nil
}

// newestOf returns the newest record of each key that has a value.
func newestOf(records []changelog.Record) map[string]changelog.Record {
	newest := map[string]changelog.Record{}
	for _, r := range records {
		if r.Value == nil {
			delete(newest, r.Key)
		} else {
			newest[r.Key] = r
		}
	}
	return newest
}
