package origin

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/telemetry"
)

// memoryLog is a changelog.Log with one partition, which can be down.
type memoryLog struct {
	mu      sync.Mutex
	records []changelog.Record
	down    bool
}

var errDown = errors.New("store down")

func (l *memoryLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *memoryLog) Append(_ context.Context, _ changelog.Partition, records []changelog.Record, _ int64) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, &changelog.NotDoneError{Call: "append", Err: errDown}
	}
	for _, r := range records {
		r.Offset = int64(len(l.records))
		l.records = append(l.records, r)
	}
	return int64(len(l.records)), nil
}

func (l *memoryLog) Read(ctx context.Context, _ changelog.Partition, from int64, wait time.Duration) (changelog.Batch, error) {
	for deadline := time.Now().Add(wait); ; {
		l.mu.Lock()
		end, down := int64(len(l.records)), l.down
		records := append([]changelog.Record{}, l.records[from:]...)
		l.mu.Unlock()
		if down {
			return changelog.Batch{}, errDown
		}
		if len(records) > 0 || !time.Now().Before(deadline) || ctx.Err() != nil {
			return changelog.Batch{Records: records, End: end}, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *memoryLog) Newest(context.Context, changelog.Partition, string) (changelog.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return changelog.Page{}, errDown
	}
	return changelog.Page{Records: append([]changelog.Record{}, l.records...), End: int64(len(l.records))}, nil
}

// held returns the number of keys with a value.
func (l *memoryLog) held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := map[string]bool{}
	for _, r := range l.records {
		newest[r.Key] = r.Value != nil
	}
	n := 0
	for _, has := range newest {
		if has {
			n++
		}
	}
	return n
}

// startTable runs a Table with a rank until the test ends.
func startTable(t *testing.T, log changelog.Log, rank int) *Table {
	table := New(Options{
		Log: log, Logger: telemetry.Discard(), Rank: func(string) int { return rank },
		ReadWait: func() time.Duration { return time.Second }, ReadPause: func() time.Duration { return 500 * time.Millisecond },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		table.Run(ctx, func(error) {})
	}()
	t.Cleanup(func() { cancel(); <-done })
	return table
}

// Guards against a stream that is unknown to another instance right after it began, to one that has just started, or to the one that
// began it while the store is down; against an unknown one that passes for known; and against the stream of another account.
func TestOriginIsFoundAtEveryInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &memoryLog{}
		first, second := startTable(t, log, 0), startTable(t, log, 1)
		find := func(table *Table, account, attempt string) (string, error) {
			o, _, err := table.Find(t.Context(), account, attempt)
			return o.Software, err
		}
		expect := func(table *Table, account, attempt, want string) {
			t.Helper()
			software, err := find(table, account, attempt)
			is.NoErr(err)
			is.Equal(software, want)
		}
		first.Record("x", "a", Origin{Service: "s", Software: "v1"})
		synctest.Wait() // the append, not the reads
		expect(first, "x", "a", "v1")
		expect(second, "x", "a", "v1")
		expect(second, "y", "a", "")
		expect(second, "x", "b", "")
		expect(startTable(t, log, 2), "x", "a", "v1")

		log.setDown(true)
		first.Record("x", "c", Origin{Service: "s", Software: "v2"})
		time.Sleep(5 * time.Second)
		expect(first, "x", "c", "v2")
		_, err := find(second, "x", "c")
		is.True(err != nil) // it cannot know
		expect(second, "x", "a", "v1")
		log.setDown(false)
		time.Sleep(time.Second)
		expect(second, "x", "c", "v2")
	})
}

// Guards against records that are kept for good, or deleted while a client may still take the stream up.
func TestOriginsAreKeptForATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &memoryLog{}
		first, second := startTable(t, log, 0), startTable(t, log, 1)
		second.Record("", "short", Origin{Service: "s", Software: "v1"})
		for n := range 2000 { // more than one append takes
			second.Record("", fmt.Sprint("many-", n), Origin{Service: "s", Software: "v1"})
			if n%100 == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		second.Record("", "long", Origin{Service: "s", Software: "v1", Keep: 10 * time.Minute})
		held := func() (n int) {
			for _, attempt := range []string{"short", "long"} {
				if _, found, err := first.Find(t.Context(), "", attempt); err == nil && found {
					n++
				}
			}
			return n
		}
		time.Sleep(KeepMargin - time.Second)
		is.Equal(held(), 2)
		time.Sleep(10 * time.Second)
		is.Equal(held(), 1)
		is.Equal(log.held(), 1)
		time.Sleep(10 * time.Minute)
		is.Equal(held(), 0)
		_, found, err := second.Find(t.Context(), "", "long")
		is.NoErr(err)
		is.True(!found)
	})
}
