package changelog

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a copy that counts as fresh although records that were there when its last successful read began are missing: the
// read returned a part of them, and the next one failed.
func TestPartOfTheRecordsIsNoReadOfThePresent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &scriptedLog{read: func(from int64, _ time.Duration) (Batch, error) { return Batch{End: from}, nil }}
		r := NewReplica(log, Partition{Topic: "t"}, noState{})
		is.NoErr(r.Sync(t.Context()))
		time.Sleep(time.Minute)
		first := int64(2)
		log.read = func(from int64, _ time.Duration) (Batch, error) {
			if from > first {
				return Batch{}, errors.New("store down")
			}
			return Batch{Records: []Record{{Key: "a", Offset: first}}, End: first + 2}, nil
		}
		is.True(r.catchUp(t.Context(), 0, nil) != nil)
		is.Equal(r.Age(), time.Minute)
		is.True(r.ReadThrough(t.Context(), log) != nil)
		is.Equal(r.Age(), time.Minute)
	})
}
