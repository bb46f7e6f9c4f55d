package changelog

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// scriptedLog answers reads as read says. Its partition has no keys.
type scriptedLog struct {
	Log
	read func(from int64, wait time.Duration) (Batch, error)
}

func (l *scriptedLog) Newest(context.Context, Partition, string) (Page, error) {
	return Page{End: 2}, nil
}

func (l *scriptedLog) Read(_ context.Context, _ Partition, from int64, wait time.Duration) (Batch, error) {
	return l.read(from, wait)
}

// noState is a State without content.
type noState struct{}

func (noState) Apply(Record) {}
func (noState) Reset()       {}

// Guards against a copy that counts as younger than the begin of its last successful read: a read returns what was there when it
// began, however long it waits.
func TestAgeCountsFromTheBeginOfARead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &scriptedLog{read: func(from int64, wait time.Duration) (Batch, error) {
			time.Sleep(wait)
			return Batch{End: from}, nil
		}}
		r := NewReplica(log, Partition{Topic: "t"}, noState{})
		is.NoErr(r.Sync(t.Context()))
		is.NoErr(r.catchUp(t.Context(), time.Second, nil))
		is.Equal(r.Age(), time.Second)
		log.read = func(int64, time.Duration) (Batch, error) { return Batch{}, errors.New("store down") }
		time.Sleep(2 * time.Second)
		is.True(r.catchUp(t.Context(), 0, nil) != nil)
		is.Equal(r.Age(), 3*time.Second)
	})
}

// Guards against a suspension of the machine that does not make the copy older.
func TestAgeCountsSuspensions(t *testing.T) {
	is := is.New(t)
	r := NewReplica(&scriptedLog{read: func(from int64, _ time.Duration) (Batch, error) { return Batch{End: from}, nil }}, Partition{Topic: "t"}, noState{})
	is.NoErr(r.Sync(t.Context()))
	r.readAt.Suspended -= time.Hour // the machine is suspended for an hour after the read
	is.True(r.Age() >= time.Hour)
}

// Guards against a store that lost its newest records and whose answers count as reads of the present.
func TestRewoundPartitionIsNoReadOfThePresent(t *testing.T) {
	is := is.New(t)
	log := &scriptedLog{read: func(from int64, _ time.Duration) (Batch, error) { return Batch{End: from}, nil }}
	r := NewReplica(log, Partition{Topic: "t"}, noState{})
	is.NoErr(r.Sync(t.Context()))
	before := r.readAt
	log.read = func(from int64, _ time.Duration) (Batch, error) { return Batch{End: from - 1}, nil }
	var rewound *RewoundError
	is.True(errors.As(r.catchUp(t.Context(), 0, nil), &rewound))
	is.Equal(r.readAt, before)
}

// agedState records the ages that it is told, and how many records it had before.
type agedState struct {
	noState
	ages []time.Duration
}

func (s *agedState) Aged(age time.Duration) { s.ages = append(s.ages, age) }

// Guards against records whose greatest possible lateness is understated or told too late.
func TestStateLearnsItsAgeBeforeRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, state := &scriptedLog{read: func(from int64, _ time.Duration) (Batch, error) { return Batch{End: from}, nil }}, &agedState{}
		r := NewReplica(log, Partition{Topic: "t"}, state)
		is.NoErr(r.Sync(t.Context()))
		time.Sleep(2 * time.Second)
		log.read = func(from int64, _ time.Duration) (Batch, error) {
			time.Sleep(joinLimit / 2)
			return Batch{Records: []Record{{Offset: from, Key: "a"}, {Offset: from + 1, Key: "b"}}, End: from + 2}, nil
		}
		is.NoErr(r.Sync(t.Context()))
		is.Equal(state.ages, []time.Duration{2*time.Second + joinLimit/2}) // none for the first load
	})
}
