package changelog

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a commit that waits without limit behind another one whose appends the store refuses: the request that needs it
// would get no answer in its time.
func TestCommitWaitsForNoOtherBeyondItsTime(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{fault: func() appendFault { return notApplied }}
	state := mapState{}
	r := NewReplica(log, testPartition, state)
	long, cancel := context.WithCancel(t.Context())
	first := make(chan error, 1)
	go func() {
		_, err := claim(long, r, state, "a", "1")
		first <- err
	}()
	time.Sleep(5 * time.Millisecond)
	ctx, cancelShort := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancelShort()
	second := make(chan error, 1)
	go func() {
		_, err := claim(ctx, r, state, "b", "2")
		second <- err
	}()
	select {
	case err := <-second:
		var notDone *NotDoneError
		is.True(errors.As(err, &notDone))
	case <-time.After(5 * time.Second):
		t.Error("the second commit still waits")
	}
	cancel()
	is.True(<-first != nil)
}

// lateAppend is a case of TestNothingWrittenIsFinal.
type lateAppend struct {
	faults []appendFault
	// otherWrites states that another instance writes after the first append.
	otherWrites bool
	// appends is the number of records in the log after the commit, late ones excluded.
	appends int
}

// Guards against a batch job that runs although it was refused (REFUSED): the append that accepts it has no answer, the next attempt
// finds that there is nothing to write, and the store executes the first append later.
func TestNothingWrittenIsFinal(t *testing.T) {
	for name, c := range map[string]lateAppend{
		"late":                   {faults: []appendFault{appliedLate}, appends: 1},
		"late, others write":     {faults: []appendFault{appliedLate}, otherWrites: true, appends: 1},
		"late twice":             {faults: []appendFault{appliedLate, appliedLate}, appends: 1},
		"late, then refused":     {faults: []appendFault{appliedLate, notApplied}, appends: 1},
		"late, then reply lost":  {faults: []appendFault{appliedLate, appliedReplyLost}, appends: 1},
		"refused":                {faults: []appendFault{notApplied}},
		"refused, others write":  {faults: []appendFault{notApplied}, otherWrites: true, appends: 1},
		"late, refused and late": {faults: []appendFault{appliedLate, notApplied, appliedLate}, appends: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := &memoryLog{fault: faultSequence(c.faults...)}
			state := mapState{}
			r := NewReplica(log, testPartition, state)
			attempts := 0
			end, err := r.Commit(t.Context(), func() []Record {
				if attempts++; attempts > 1 { // there is room no more
					return nil
				}
				if c.otherWrites {
					defer func() {
						log.mu.Lock()
						defer log.mu.Unlock()
						log.records = append(log.records, Record{Key: "other", Value: []byte("x"), Offset: int64(len(log.records))})
					}()
				}
				return []Record{{Key: "job", Value: []byte("accepted")}}
			})
			is.NoErr(err)
			is.Equal(end, int64(0))
			is.Equal(len(log.records), c.appends)
			log.runDelayed()
			is.NoErr(r.Sync(t.Context()))
			_, accepted := state["job"]
			is.True(!accepted)
			fresh := mapState{}
			is.NoErr(NewReplica(log, testPartition, fresh).Sync(t.Context()))
			is.Equal(fresh, state) // also of an instance that starts now
		})
	}
}

// Guards against an answer that promises too much: without a later record the outcome stays unknown.
func TestCommitWithoutALaterRecordIsUnknown(t *testing.T) {
	is := is.New(t)
	first := true
	log := &memoryLog{fault: func() appendFault {
		if first {
			first = false
			return appliedLate
		}
		return notApplied
	}}
	r := NewReplica(log, testPartition, mapState{})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	attempts := 0
	_, err := r.Commit(ctx, func() []Record {
		if attempts++; attempts > 1 {
			return nil
		}
		return []Record{{Key: "job", Value: []byte("accepted")}}
	})
	var unknown *UnknownError
	is.True(errors.As(err, &unknown))
}
