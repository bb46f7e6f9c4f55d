package changelog

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/telemetry"
)

// smallLog is an empty log that takes only what its limits allow.
type smallLog struct {
	limits Limits

	mu    sync.Mutex // guards the fields below
	keys  []string
	calls int
}

func (l *smallLog) Append(_ context.Context, p Partition, records []Record, expectEnd int64) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if err := l.limits.Check(p, records); err != nil {
		return 0, &NotDoneError{Call: "append", Err: err}
	}
	end := int64(len(l.keys))
	if expectEnd != Unconditional && expectEnd != end {
		return 0, &ConflictError{Partition: p, End: end}
	}
	for _, r := range records {
		l.keys = append(l.keys, r.Key)
	}
	return int64(len(l.keys)), nil
}

func (l *smallLog) Read(_ context.Context, _ Partition, _ int64, wait time.Duration) (Batch, error) {
	time.Sleep(wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	return Batch{End: int64(len(l.keys))}, nil
}

func (l *smallLog) Newest(context.Context, Partition, string) (Page, error) { return Page{}, nil }

func (l *smallLog) appended() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(slices.Values(l.keys))
}

// discardingState is a State that holds nothing.
type discardingState struct{}

func (discardingState) Apply(Record) {}
func (discardingState) Reset()       {}

// Guards against one record that the store never takes and that keeps the records beside it from being written.
func TestRejectedRecordFailsAlone(t *testing.T) {
	is := is.New(t)
	log := &smallLog{limits: Limits{RecordBytes: 100, CallBytes: 300}}
	var records []Record
	for n := range 20 {
		records = append(records, Record{Key: fmt.Sprintf("k%02d", n), Value: make([]byte, 50)})
	}
	is.NoErr(AppendWithRetry(t.Context(), log, Partition{Topic: "t"}, records))
	is.Equal(len(log.appended()), 20)
	log.keys = nil
	records[7].Value = make([]byte, 101)
	err := AppendWithRetry(t.Context(), log, Partition{Topic: "t"}, records)
	var rejected *RejectedError
	is.True(errors.As(err, &rejected))
	is.Equal(rejected.Key, "k07")
	is.Equal(len(log.appended()), 19)
}

// Guards against a commit that repeats records which the store never takes, while all other commits of the replica wait.
func TestRejectedCommitEndsAtOnce(t *testing.T) {
	is := is.New(t)
	log := &smallLog{limits: Limits{RecordBytes: 100, CallBytes: 300}}
	replica := NewReplica(log, Partition{Topic: "t"}, discardingState{})
	is.NoErr(replica.Sync(t.Context()))
	_, err := replica.Commit(t.Context(), func() []Record { return []Record{{Key: "large", Value: make([]byte, 200)}} })
	var (
		rejected *RejectedError
		notDone  *NotDoneError
	)
	is.True(errors.As(err, &rejected))
	is.True(errors.As(err, &notDone))
	is.Equal(log.calls, 1)
	_, err = replica.Commit(t.Context(), func() []Record { return []Record{{Key: "small", Value: []byte("v")}} })
	is.NoErr(err)
}

// Guards against a value of a Map that the store never takes and that keeps all later ones from being written.
func TestRejectedValueOfAMapFailsAlone(t *testing.T) {
	for name, write := range map[string]func(m *Map[[]byte], key string, value []byte){
		"put": func(m *Map[[]byte], key string, value []byte) { m.Put(key, &value) },
		"update": func(m *Map[[]byte], key string, value []byte) {
			m.Update(key, func(*[]byte) (*[]byte, bool) { return &value, true })
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := &smallLog{limits: Limits{RecordBytes: 100, CallBytes: 300}}
				m := NewMap(MapOptions[[]byte]{
					Log: log, Topic: "t", Logger: telemetry.Discard(), OnChange: func(string, *[]byte) {},
					ReadWait: func() time.Duration { return time.Second }, ReadPause: func() time.Duration { return time.Second },
				})
				write(m, "a", []byte("v"))
				write(m, "large", make([]byte, 200))
				write(m, "b", []byte("v"))
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				done := make(chan struct{})
				go func() {
					defer close(done)
					m.Run(ctx, func(error) {})
				}()
				time.Sleep(30 * time.Second)
				is.Equal(log.appended(), []string{"a", "b"})
				cancel()
				<-done
			})
		})
	}
}
