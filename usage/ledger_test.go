package usage

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/changelog/logtest"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/telemetry"
)

// fixedClock is a true time that stands still.
type fixedClock struct{ now time.Time }

func (c fixedClock) Now() time.Time                  { return c.now }
func (c fixedClock) At(boot time.Duration) time.Time { return time.Unix(0, int64(boot)) }

var windows = Windows{Length: 5 * time.Second, Due: 10 * time.Second}

// Guards against a window that is sealed before late records have arrived, so late that no time is left to send it, or without the
// counts of instances that were cut from the store as well.
func TestWhenAWindowIsSealed(t *testing.T) {
	const window = 7
	for _, tc := range []struct {
		afterEnd, steadyFor time.Duration
		want                bool
	}{
		{-time.Second, time.Hour, false},
		{3 * time.Second, time.Hour, false},
		{4 * time.Second, time.Hour, true},
		{4 * time.Second, time.Second, false},
		{8 * time.Second, time.Second, true}, // the last chance to be in time
		{11 * time.Second, time.Second, false},
		{11 * time.Second, settleTime, true},
		{41 * time.Second, 0, true},
	} {
		if got := windows.isSealable(window, windows.End(window).Add(tc.afterEnd), tc.steadyFor); got != tc.want {
			t.Errorf("%v after the end, reads steady for %v: %v", tc.afterEnd, tc.steadyFor, got)
		}
	}
}

// Guards against windows that are sealed out of order, skipped, or sealed again, after a time without a holder.
func TestBacklogIsSealedInOrder(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	l.begun, l.sentThrough = true, 100
	l.sealed[101] = Report{Window: 101}
	now := windows.End(103).Add(5 * time.Second)
	reports := l.toSeal(windows, now, time.Hour)
	is.Equal(len(reports), 2)
	is.Equal(reports[0].Window, int64(102))
	is.Equal(reports[1].Window, int64(103))
	is.True(reports[0].Counts != nil) // a window without requests is reported, too
	next, found := l.next(100)
	is.True(found)
	is.Equal(next.Window, int64(101))
	_, found = l.next(101)
	is.True(!found)
	is.Equal(len(l.toSeal(windows, windows.End(1000), time.Hour)), maxBacklog)
}

// Guards against requests that were counted before the first holder of a deployment began.
func TestReportsBeginWithTheFirstCounts(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	now := windows.End(50).Add(time.Second) // in window 51
	_, known := l.first(windows, now, settleTime-1)
	is.True(!known)
	before, known := l.first(windows, now, settleTime)
	is.True(known)
	is.Equal(before, int64(49))
	l.byInstance[48] = map[string]counts{"48/a#1": {Total: 1}}
	before, _ = l.first(windows, now, settleTime)
	is.Equal(before, int64(47))
}

// Guards against counts that go back because an append of an older record was carried out late, and against a sum without one of
// the instances.
func TestLateRecordsChangeNothing(t *testing.T) {
	is := is.New(t)
	shared := &sharedLedger{log: telemetry.Discard(), ledger: newLedger()}
	state := countsState{shared}
	apply := func(key string, c counts) {
		data, err := cbor.Marshal(c)
		is.NoErr(err)
		state.Apply(changelog.Record{Key: key, Value: data})
	}
	a, b := countsKey(3, machine.Ref{ID: "a", Incarnation: 1}), countsKey(3, machine.Ref{ID: "b/with/slashes", Incarnation: 1})
	apply(a, counts{5, map[string]int64{"x": 5}})
	apply(a, counts{2, map[string]int64{"x": 2}})
	apply(b, counts{4, map[string]int64{"x": 1, "y": 3}})
	is.Equal(shared.sum(3), map[string]int64{"x": 6, "y": 3})
	shared.sentThrough = 3
	is.Equal(len(shared.obsolete(10)), 2)
	state.Apply(changelog.Record{Key: a})
	is.Equal(shared.sum(3), map[string]int64{"x": 1, "y": 3})
}

// Guards against a report that is sent again after a reload, because the number of the last sent window went back.
func TestSentWindowsStaySent(t *testing.T) {
	is := is.New(t)
	shared := &sharedLedger{log: telemetry.Discard(), ledger: newLedger()}
	state := windowsState{shared}
	for _, window := range []int64{9, 7} {
		record, err := sentRecord(window)
		is.NoErr(err)
		state.Apply(record)
		state.Reset()
	}
	is.True(shared.begun)
	is.Equal(shared.sentThrough, int64(9))
	state.Apply(changelog.Record{Key: sealedKey(9), Value: []byte("no cbor")}) // logged and ignored
	state.Apply(changelog.Record{Key: "w/odd", Value: nil})
	is.Equal(len(shared.sealed), 0)
}

// Guards against the death of an instance that loses more than one flush interval of counts, and against counts that are lost because
// an append failed.
func TestCountsAreStoredWithinAFlush(t *testing.T) {
	is := is.New(t)
	store := logtest.New(1)
	store.EndFaults()
	c := NewCounter(CounterOptions{
		Self: machine.Ref{ID: "a", Incarnation: 1}, Windows: windows, Clock: fixedClock{time.Unix(101, 0)}, Log: store,
		Instances: func() int { return 1 }, Logger: telemetry.Discard(),
	})
	c.RequestBegan("x", 99*time.Second)
	c.RequestBegan("x", 101*time.Second)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	c.Flush(ended) // fails
	c.RequestBegan("y", 101*time.Second)
	c.Flush(t.Context())
	c.Flush(t.Context()) // nothing is left to append
	page, err := store.Newest(t.Context(), changelog.Partition{Topic: countsTopic}, "")
	is.NoErr(err)
	is.Equal(len(page.Records), 2)
	shared := &sharedLedger{log: telemetry.Discard(), ledger: newLedger()}
	for _, r := range page.Records {
		countsState{shared}.Apply(r)
	}
	is.Equal(shared.sum(19), map[string]int64{"x": 1})
	is.Equal(shared.sum(20), map[string]int64{"x": 1, "y": 1})
}

// Guards against a request that is counted long after it began and takes the place of the counts that were stored before.
func TestLateCountKeepsTheEarlierOnes(t *testing.T) {
	is := is.New(t)
	store := logtest.New(1)
	store.EndFaults()
	clock := &fixedClock{time.Unix(101, 0)}
	c := NewCounter(CounterOptions{
		Self: machine.Ref{ID: "a", Incarnation: 1}, Windows: windows, Clock: clock, Log: store,
		Instances: func() int { return 1 }, Logger: telemetry.Discard(),
	})
	for range 3 {
		c.RequestBegan("x", 101*time.Second)
		c.Flush(t.Context())
		clock.now = clock.now.Add(20 * time.Second)
	}
	page, err := store.Newest(t.Context(), changelog.Partition{Topic: countsTopic}, "")
	is.NoErr(err)
	shared := &sharedLedger{log: telemetry.Discard(), ledger: newLedger()}
	for _, r := range page.Records {
		countsState{shared}.Apply(r)
	}
	is.Equal(shared.sum(20), map[string]int64{"x": 3})
}

// Guards against more appends of a large deployment than its partition takes, 250 a second.
func TestCountsOfManyInstancesFitThePartition(t *testing.T) {
	for _, instances := range []int{1, 82, 331, 1000} {
		interval := max(minFlushInterval, time.Duration(instances)*flushIntervalPerInstance)
		if perSecond := float64(instances) / interval.Seconds(); perSecond > 200 {
			t.Errorf("%d instances append %.0f records a second", instances, perSecond)
		}
	}
}
