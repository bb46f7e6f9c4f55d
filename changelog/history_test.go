package changelog

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// trimmedLog is a log whose partition retains the records from first on, and lists the newest records of at most pageKeys keys.
type trimmedLog struct {
	records         []Record
	first, pageKeys int
	batch           int // records of one read
}

func (l *trimmedLog) Append(context.Context, Partition, []Record, int64) (int64, error) {
	return 0, nil
}

func (l *trimmedLog) Read(_ context.Context, p Partition, from int64, _ time.Duration) (Batch, error) {
	if from < int64(l.first) {
		return Batch{}, &TrimmedError{Partition: p, First: int64(l.first)}
	}
	end := min(len(l.records), int(from)+l.batch)
	return Batch{Records: l.records[from:end], End: int64(len(l.records)), First: int64(l.first)}, nil
}

func (l *trimmedLog) Newest(context.Context, Partition, string) (Page, error) {
	page := Page{End: int64(len(l.records))}
	seen := map[string]bool{}
	for n := len(l.records) - 1; n >= 0; n-- {
		if r := l.records[n]; !seen[r.Key] {
			if seen[r.Key] = true; len(page.Records) == l.pageKeys {
				page.More = true
				break
			}
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

// Guards against a history that is taken for complete although it reaches back less far than is needed, or for incomplete although it does, and against
// records that are left out or repeated.
func TestReplayReachesBackFarEnough(t *testing.T) {
	const keys = 10
	for name, tc := range map[string]struct {
		records, first, pageKeys int
		opts                     HistoryOptions
		from                     int
		complete                 bool
	}{
		"whole log":               {50, 0, 100, HistoryOptions{PerKey: 9, Min: 20, Max: 500}, 0, true},
		"long log":                {300, 0, 100, HistoryOptions{PerKey: 9, Min: 20, Max: 500}, 210, true},
		"more keys than a page":   {300, 0, 3, HistoryOptions{PerKey: 9, Min: 20, Max: 500}, 210, true},
		"many records of few":     {300, 0, 100, HistoryOptions{PerKey: 9, Min: 200, Max: 500}, 100, true},
		"deleted, enough is left": {300, 205, 100, HistoryOptions{PerKey: 9, Min: 200, Max: 500}, 205, true},
		"deleted":                 {300, 260, 100, HistoryOptions{PerKey: 9, Min: 20, Max: 500}, 260, false},
		"all deleted":             {300, 300, 100, HistoryOptions{PerKey: 9, Min: 20, Max: 500}, 300, false},
		"too many keys":           {300, 0, 100, HistoryOptions{PerKey: 9, Min: 20, Max: 60}, 240, false},
		"empty":                   {0, 0, 100, HistoryOptions{PerKey: 9, Min: 20, Max: 60}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := &trimmedLog{first: tc.first, pageKeys: tc.pageKeys, batch: 7}
			for n := range tc.records {
				log.records = append(log.records, Record{Offset: int64(n), Key: fmt.Sprint("k", n%keys), Value: []byte("v")})
			}
			h, err := Replay(t.Context(), log, Partition{Topic: "t"}, tc.opts)
			is.NoErr(err)
			is.Equal(h.Complete, tc.complete)
			is.Equal(len(h.Records), tc.records-tc.from)
			for n, r := range h.Records {
				is.Equal(r.Offset, int64(tc.from+n))
			}
		})
	}
}
