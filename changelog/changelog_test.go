package changelog

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testPartition = Partition{Topic: "test"}

// memoryLog is an in-memory Log whose appends can fail in the same ways as those of a real store.
type memoryLog struct {
	mu      sync.Mutex
	records []Record
	first   int64
	// fault returns the fault of the next append; nil means that no append fails.
	fault   func() appendFault
	delayed []func()
	reads   int
}

// appendFault is a way in which an append fails.
type appendFault int

const (
	noFault appendFault = iota
	notApplied
	appliedReplyLost
	appliedLate
)

func (l *memoryLog) Append(_ context.Context, p Partition, records []Record, expectEnd int64) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fault := noFault
	if l.fault != nil {
		fault = l.fault()
	}
	apply := func() (int64, error) {
		end := int64(len(l.records))
		if expectEnd != Unconditional && expectEnd != end {
			return 0, &ConflictError{Partition: p, End: end}
		}
		for _, r := range records {
			r.Offset = int64(len(l.records))
			l.records = append(l.records, r)
		}
		return int64(len(l.records)), nil
	}
	switch fault {
	case notApplied:
		return 0, &NotDoneError{Call: "append", Err: errors.New("busy")}
	case appliedReplyLost:
		_, _ = apply()
		return 0, &UnknownError{Call: "append", Err: errors.New("no answer")}
	case appliedLate:
		l.delayed = append(l.delayed, func() { _, _ = apply() })
		return 0, &UnknownError{Call: "append", Err: errors.New("no answer")}
	}
	return apply()
}

// faultSequence returns a function that returns the faults in order and then noFault.
func faultSequence(faults ...appendFault) func() appendFault {
	return func() appendFault {
		if len(faults) == 0 {
			return noFault
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
}

// runDelayed executes the delayed appends.
func (l *memoryLog) runDelayed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, apply := range l.delayed {
		apply()
	}
	l.delayed = nil
}

func (l *memoryLog) Read(_ context.Context, p Partition, from int64, _ time.Duration) (Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if from < l.first {
		return Batch{}, &TrimmedError{Partition: p, First: l.first}
	}
	return Batch{Records: append([]Record(nil), l.records[from:]...), End: int64(len(l.records)), First: l.first}, nil
}

func (l *memoryLog) Newest(_ context.Context, _ Partition, after string) (Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := map[string]Record{}
	for _, r := range l.records {
		newest[r.Key] = r
	}
	page := Page{End: int64(len(l.records))}
	next := Record{}
	for key, r := range newest {
		if key > after && r.Value != nil && (next.Key == "" || key < next.Key) {
			next = r
		}
	}
	if next.Key != "" {
		page.Records, page.More = []Record{next}, true
	}
	return page, nil
}

// mapState keeps the newest value of each key.
type mapState map[string]string

func (m mapState) Reset() { clear(m) }

func (m mapState) Apply(r Record) {
	if r.Value == nil {
		delete(m, r.Key)
		return
	}
	m[r.Key] = string(r.Value)
}

// claim commits key=value unless the key exists.
func claim(ctx context.Context, r *Replica, state mapState, key, value string) (int64, error) {
	return r.Commit(ctx, func() []Record {
		if _, taken := state[key]; taken {
			return nil
		}
		return []Record{{Key: key, Value: []byte(value)}}
	})
}

// Guards against two writers that both conclude that they have written a key first.
func TestOnlyOneOfTwoWritersWins(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	states := []mapState{{}, {}}
	replicas := []*Replica{NewReplica(log, testPartition, states[0]), NewReplica(log, testPartition, states[1])}
	ctx := context.Background()
	is.NoErr(replicas[0].Sync(ctx))
	is.NoErr(replicas[1].Sync(ctx))
	first, err := claim(ctx, replicas[0], states[0], "job", "a")
	is.NoErr(err)
	second, err := claim(ctx, replicas[1], states[1], "job", "b")
	is.NoErr(err)
	is.True(first > 0)
	is.Equal(second, int64(0)) // the second writer sees the first one's record
	is.Equal(states[1]["job"], "a")
}

// Guards against appending a record again after the answer to the first append was lost.
func TestLostAnswerCausesNoSecondAppend(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{fault: faultSequence(appliedReplyLost)}
	state := mapState{}
	r := NewReplica(log, testPartition, state)
	_, err := claim(context.Background(), r, state, "job", "a")
	is.NoErr(err)
	is.Equal(len(log.records), 1)
}

// Guards against the effect of a delayed append that is executed after its writer has retried.
func TestDelayedAppendHasNoEffect(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{fault: faultSequence(appliedLate)}
	state := mapState{}
	r := NewReplica(log, testPartition, state)
	_, err := claim(context.Background(), r, state, "job", "a")
	is.NoErr(err)
	log.runDelayed()
	is.NoErr(r.Sync(context.Background()))
	is.Equal(len(log.records), 1)
}

// Guards against NotDoneError for an append that may still be executed: the caller would report "not run".
func TestCommitReportsWhetherTheOutcomeIsKnown(t *testing.T) {
	for fault, unknown := range map[appendFault]bool{notApplied: false, appliedLate: true} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			is := is.New(t)
			log := &memoryLog{fault: func() appendFault { return fault }}
			state := mapState{}
			r := NewReplica(log, testPartition, state)
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, err := claim(ctx, r, state, "job", "a")
			var u *UnknownError
			is.Equal(errors.As(err, &u), unknown)
			var n *NotDoneError
			is.Equal(errors.As(err, &n), !unknown)
		})
	}
}

// Guards against losing keys whose records are no longer retained and against keeping deleted keys.
func TestReloadAfterExpiry(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	ctx := context.Background()
	state := mapState{}
	r := NewReplica(log, testPartition, state)
	for _, key := range []string{"a", "b", "c"} {
		_, err := claim(ctx, r, state, key, key)
		is.NoErr(err)
	}
	laggingState := mapState{}
	lagging := NewReplica(log, testPartition, laggingState)
	is.NoErr(lagging.Sync(ctx))
	_, err := log.Append(ctx, testPartition, []Record{{Key: "b"}, {Key: "d", Value: []byte("d")}}, Unconditional)
	is.NoErr(err)
	log.first = int64(len(log.records))
	is.NoErr(lagging.Sync(ctx))
	is.Equal(laggingState, mapState{"a": "a", "c": "c", "d": "d"})
}

// Guards against sequences of faults after which two instances disagree on which of them claimed a key.
func TestClaimsAgreeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &memoryLog{}
		faults := rapid.SliceOfN(rapid.SampledFrom([]appendFault{noFault, notApplied, appliedReplyLost, appliedLate}), 0, 12).Draw(t, "faults")
		log.fault = faultSequence(faults...)
		states := []mapState{{}, {}, {}}
		var replicas []*Replica
		for _, s := range states {
			replicas = append(replicas, NewReplica(log, testPartition, s))
		}
		winners := map[string]int{}
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			writer := rapid.IntRange(0, 2).Draw(t, "who")
			key := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key")
			if rapid.Bool().Draw(t, "late appends run") {
				log.runDelayed()
			}
			end, err := claim(context.Background(), replicas[writer], states[writer], key, fmt.Sprint(writer))
			if err != nil {
				t.Fatalf("claim: %v", err)
			}
			if end > 0 {
				winners[key]++
			}
		}
		log.runDelayed()
		for i, r := range replicas {
			if err := r.Sync(context.Background()); err != nil {
				t.Fatal(err)
			}
			if fmt.Sprint(states[i]) != fmt.Sprint(states[0]) {
				t.Fatalf("instances disagree: %v and %v", states[i], states[0])
			}
		}
		for key, n := range winners {
			if n > 1 {
				t.Fatalf("%d instances claimed %s", n, key)
			}
		}
	})
}

// silentLog is a Log that states a later end than it returns records for.
type silentLog struct {
	memoryLog
	calls int
}

// Read implements Log.
func (l *silentLog) Read(context.Context, Partition, int64, time.Duration) (Batch, error) {
	l.calls++
	return Batch{End: 5}, nil
}

// Guards against a replica that reads without a pause because the log returns no records although it states that there are more.
func TestReadWithoutProgressFails(t *testing.T) {
	is := is.New(t)
	log := &silentLog{}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	err := NewReplica(log, testPartition, mapState{}).Sync(ctx)
	is.True(errors.Is(err, errNoProgress))
	is.Equal(log.calls, 1)
}
