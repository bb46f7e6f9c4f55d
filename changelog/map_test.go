package changelog

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/telemetry"
	"github.com/cicadasill/cicadasill/timing"
)

// observedMap is a Map with the values that it has reported.
type observedMap struct {
	*Map[int]
	mu     sync.Mutex
	values map[string]int
}

func newObservedMap(log Log) *observedMap {
	o := &observedMap{values: map[string]int{}}
	o.Map = NewMap(MapOptions[int]{
		Log: log, Topic: "numbers", Logger: telemetry.Discard(), ReadWait: ConstantWait(20 * time.Second),
		ReadPause: func() time.Duration { return time.Millisecond },
		OnChange: func(key string, value *int) {
			o.mu.Lock()
			defer o.mu.Unlock()
			if value == nil {
				delete(o.values, key)
				return
			}
			o.values[key] = *value
		},
	})
	return o
}

func (o *observedMap) get(key string) (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	value, ok := o.values[key]
	return value, ok
}

// start runs the map until the test ends.
func (o *observedMap) start(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.Run(ctx, func(error) {})
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// Guards against updates that are lost between instances, an instance that starts later and knows nothing, and a value that
// a reload drops for a moment.
func TestMapIsShared(t *testing.T) {
	is := is.New(t)
	store := &memoryLog{}
	first, second := newObservedMap(store), newObservedMap(store)
	first.start(t)
	second.start(t)
	for n, m := range []*observedMap{first, second, first} {
		m.Update("sum", func(old *int) (*int, bool) {
			next := n + 1
			if old != nil {
				next += *old
			}
			return &next, true
		})
	}
	waitFor(t, func() bool { a, _ := first.get("sum"); b, _ := second.get("sum"); return a == 6 && b == 6 })
	third := newObservedMap(store)
	third.start(t)
	waitFor(t, func() bool { c, _ := third.get("sum"); return c == 6 })
	third.replica.View(third.Reset)
	value, ok := third.get("sum")
	is.True(ok)
	is.Equal(value, 6)
	first.DeleteIf(func(key string, value int, _ time.Duration) bool { return value == 6 })
	waitFor(t, func() bool {
		_, a := first.get("sum")
		_, b := second.get("sum")
		return !a && !b
	})
}

// waitFor waits until condition holds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatal("timed out")
		}
	}
}

// deafLog is a log whose reads notice the first records at once; later ones end a read only when its wait is over.
type deafLog struct {
	*memoryLog
	deaf atomic.Bool
}

func (l *deafLog) Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Batch, error) {
	for end := time.Now().Add(wait); ; {
		batch, err := l.memoryLog.Read(ctx, p, from, 0)
		isOver := time.Now().After(end) || (!l.deaf.Load() && len(batch.Records) > 0)
		if err != nil || isOver {
			l.deaf.Store(l.deaf.Load() || len(batch.Records) > 0)
			return batch, err
		}
		if !timing.Sleep(ctx, 5*time.Millisecond) {
			return Batch{}, ctx.Err()
		}
	}
}

// Guards against a change that is missed for the time of a long read: the read began while the change was written, and
// the log does not answer it. Changes often follow one another.
func TestChangeAfterAChangeIsSeenSoon(t *testing.T) {
	is := is.New(t)
	log := &deafLog{memoryLog: &memoryLog{}}
	m := newObservedMap(log)
	m.start(t)
	for n := range 3 {
		key, value := fmt.Sprint("key ", n), n
		start := time.Now()
		m.Put(key, &value)
		for _, ok := m.get(key); !ok; _, ok = m.get(key) {
			if time.Since(start) > 2*time.Second {
				t.Fatalf("change %d is not seen", n)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	is.True(m.HasRead())
}
