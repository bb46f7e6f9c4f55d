package changelog

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// loadableLog is a scriptedLog whose newest records a test chooses.
type loadableLog struct {
	scriptedLog
	newest func() Page
}

// Newest implements Log.
func (l *loadableLog) Newest(context.Context, Partition, string) (Page, error) {
	return l.newest(), nil
}

// keptKeys is a State that keeps the offsets of keys.
type keptKeys map[string]int64

func (k keptKeys) Apply(r Record) { k[r.Key] = r.Offset }
func (k keptKeys) Reset()         { clear(k) }

// Guards against a copy that counts as fresh for good although it lacks a record, such as a revocation: the store lost its newest
// records, and others took their offsets before this instance read again.
func TestRecordsAfterARewindAreNotMissed(t *testing.T) {
	is := is.New(t)
	records := []Record{{Key: "old", Offset: 0}, {Key: "old", Offset: 1}}
	log := &loadableLog{}
	log.newest = func() Page {
		newest := map[string]Record{}
		for _, r := range records {
			newest[r.Key] = r
		}
		return Page{Records: slices.Collect(maps.Values(newest)), End: int64(len(records))}
	}
	log.read = func(from int64, _ time.Duration) (Batch, error) {
		return Batch{Records: records[min(from, int64(len(records))):], End: int64(len(records))}, nil
	}
	state := keptKeys{}
	r := NewReplica(log, Partition{Topic: "t"}, state)
	is.NoErr(r.Sync(t.Context())) // reads to offset 2
	records = records[:1]
	is.True(r.catchUp(t.Context(), 0, nil) != nil) // rewound
	records = append(records, Record{Key: "revocation", Offset: 1}, Record{Key: "later", Offset: 2})
	is.NoErr(r.catchUp(t.Context(), 0, nil))
	_, known := state["revocation"]
	is.True(known) // a successful read to the end holds all records
}
