package changelog_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
)

// pagedLog is a log with one record a page. Its calls take callTime and fail at random, and its history is retained for a time
// only.
type pagedLog struct {
	callTime, retention time.Duration
	failureRate         float64

	mu      sync.Mutex // guards the fields below
	rng     *rand.Rand
	records []changelog.Record
	times   []time.Time // when the records were appended
	first   int64
	pages   int // pages of newest records that were returned
}

// newPagedLog returns a log with one record for each of a number of keys.
func newPagedLog(keys int, seed uint64) *pagedLog {
	l := &pagedLog{callTime: time.Millisecond, retention: time.Hour, rng: rand.New(rand.NewPCG(seed, 0))}
	for n := range keys {
		l.put(fmt.Sprintf("k%04d", n), "first")
	}
	return l
}

// put appends a record. An empty value deletes the key.
func (l *pagedLog) put(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := changelog.Record{Offset: int64(len(l.records)), Key: key}
	if value != "" {
		r.Value = []byte(value)
	}
	l.records, l.times = append(l.records, r), append(l.times, time.Now())
}

// forget drops the history.
func (l *pagedLog) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first = int64(len(l.records))
}

// calm makes all later calls succeed.
func (l *pagedLog) calm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failureRate = 0
}

// values returns the newest value of each key.
func (l *pagedLog) values() map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := keyState{values: map[string]string{}}
	for _, r := range l.records {
		state.Apply(r)
	}
	return state.values
}

// begin is called at the start of each call.
func (l *pagedLog) begin() error {
	time.Sleep(l.callTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.first < int64(len(l.times)) && time.Since(l.times[l.first]) > l.retention {
		l.first++
	}
	if l.rng.Float64() < l.failureRate {
		return context.DeadlineExceeded
	}
	return nil
}

// Append implements changelog.Log.
func (l *pagedLog) Append(_ context.Context, _ changelog.Partition, records []changelog.Record, _ int64) (int64, error) {
	for _, r := range records {
		l.put(r.Key, string(r.Value))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.records)), nil
}

// Read implements changelog.Log.
func (l *pagedLog) Read(_ context.Context, p changelog.Partition, from int64, _ time.Duration) (changelog.Batch, error) {
	if err := l.begin(); err != nil {
		return changelog.Batch{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < l.first {
		return changelog.Batch{}, &changelog.TrimmedError{Partition: p, First: l.first}
	}
	return changelog.Batch{Records: slices.Clone(l.records[from:]), End: int64(len(l.records)), First: l.first}, nil
}

// Newest implements changelog.Log.
func (l *pagedLog) Newest(_ context.Context, _ changelog.Partition, after string) (changelog.Page, error) {
	if err := l.begin(); err != nil {
		return changelog.Page{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pages++
	newest := map[string]changelog.Record{}
	for _, r := range l.records {
		newest[r.Key] = r
	}
	page := changelog.Page{End: int64(len(l.records))}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if key <= after || newest[key].Value == nil {
			continue
		}
		if len(page.Records) == 1 {
			page.More = true
			break
		}
		page.Records = append(page.Records, newest[key])
	}
	return page, nil
}

// Guards against a first load that starts over when one of its pages fails: with many pages and a store in trouble it never
// ends.
func TestLoadContinuesAfterAFailedPage(t *testing.T) {
	const pages, maxAttempts = 30, 1000
	for _, failureRate := range []float64{0.1, 0.3, 0.6} {
		t.Run(fmt.Sprint(failureRate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := newPagedLog(pages, 1)
				log.failureRate = failureRate
				state := &keyState{}
				replica := changelog.NewReplica(log, testPartition, state)
				attempts, start := 1, time.Now()
				for ; replica.Sync(t.Context()) != nil && attempts < maxAttempts; attempts++ {
					time.Sleep(500 * time.Millisecond) // until another read needs the partition
				}
				t.Log("attempts", attempts, "time", time.Since(start), "pages returned", log.pages, "loaded", replica.HasRead())
				is.True(replica.HasRead())
				is.Equal(state.values, log.values())
				is.Equal(log.pages, pages) // none is read twice
			})
		})
	}
}

// Guards against a load that never ends because the records that were appended meanwhile expire before it reads them.
func TestLoadLongerThanTheHistoryEnds(t *testing.T) {
	const pages, limit = 100, 10 * time.Minute
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newPagedLog(pages, 2)
		log.callTime, log.failureRate, log.retention = 300*time.Millisecond, 0.3, 20*time.Second
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		go func() {
			rng := rand.New(rand.NewPCG(2, 1))
			for n := 0; ctx.Err() == nil; n++ {
				time.Sleep(700 * time.Millisecond)
				value := fmt.Sprint(n)
				if n%4 == 0 {
					value = ""
				}
				log.put(fmt.Sprintf("k%04d", rng.IntN(pages+5)), value)
			}
		}()
		state := &keyState{}
		replica := changelog.NewReplica(log, testPartition, state)
		start := time.Now()
		for replica.Sync(ctx) != nil && ctx.Err() == nil {
			time.Sleep(200 * time.Millisecond)
		}
		loaded := replica.HasRead()
		t.Log("time", time.Since(start), "loaded", loaded)
		cancel()
		log.calm()
		time.Sleep(2 * time.Minute) // the writer and the last read have ended
		is.True(loaded)
		is.NoErr(replica.Sync(t.Context()))
		is.Equal(state.values, log.values())
	})
}

// Guards against pages that are kept although records that replace theirs have been forgotten.
func TestLoadStartsOverAfterHistoryIsForgotten(t *testing.T) {
	const pages = 20
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			log := newPagedLog(pages, seed)
			log.failureRate = 0.2
			rng := rand.New(rand.NewPCG(seed, 1))
			state := &keyState{}
			replica := changelog.NewReplica(log, testPartition, state)
			for range 3 {
				for range rng.IntN(4) {
					log.put(fmt.Sprintf("k%04d", rng.IntN(pages)), []string{"", "next"}[rng.IntN(2)])
				}
				_ = replica.Sync(t.Context())
				for range rng.IntN(4) {
					log.put(fmt.Sprintf("k%04d", rng.IntN(pages)), []string{"", "last"}[rng.IntN(2)])
				}
				if rng.IntN(2) == 0 {
					log.forget()
				}
			}
			log.calm()
			if err := replica.Sync(t.Context()); err != nil || !maps.Equal(state.values, log.values()) {
				t.Errorf("seed %d: an instance reads %v, the log holds %v (%v)", seed, state.values, log.values(), err)
			}
		})
	}
}

// reversedLog returns the pages of newest records in the reverse order of the keys.
type reversedLog struct{ *pagedLog }

// Newest implements changelog.Log.
func (l reversedLog) Newest(context.Context, changelog.Partition, string) (changelog.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := len(l.records) - 1 - l.pages
	l.pages++
	return changelog.Page{Records: l.records[next : next+1], End: int64(len(l.records)), More: next > 0}, nil
}

// Guards against a load that takes a store's order of keys, other than the alphabetical one, for a lack of progress.
func TestLoadTakesPagesInTheOrderOfTheStore(t *testing.T) {
	is := is.New(t)
	log := reversedLog{newPagedLog(5, 1)}
	state := &keyState{}
	replica := changelog.NewReplica(log, testPartition, state)
	is.NoErr(replica.Sync(t.Context()))
	is.Equal(state.values, log.values())
}

// pairLog is a log in which two keys, the first and the last one, are replaced together after each page.
type pairLog struct {
	*pagedLog
	value int
}

// Newest implements changelog.Log.
func (l *pairLog) Newest(ctx context.Context, p changelog.Partition, after string) (changelog.Page, error) {
	page, err := l.pagedLog.Newest(ctx, p, after)
	l.value++
	l.put("a", fmt.Sprint(l.value))
	l.put("z", fmt.Sprint(l.value))
	return page, err
}

// pairState is a State that looks at the pair when a load is complete.
type pairState struct {
	keyState
	pairs [][2]string
}

// Loaded implements changelog.LoadObserver.
func (s *pairState) Loaded() { s.pairs = append(s.pairs, [2]string{s.values["a"], s.values["z"]}) }

// Guards against a load that shows records of a later time beside older ones, as if some in between were missing.
func TestLoadShowsOneOffset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &pairLog{pagedLog: newPagedLog(5, 1)}
		log.put("a", "0")
		log.put("z", "0")
		state := &pairState{}
		is.NoErr(changelog.NewReplica(log, testPartition, state).Sync(t.Context()))
		t.Log(state.pairs)
		is.Equal(len(state.pairs), 1)
		is.Equal(state.pairs[0][0], state.pairs[0][1])
	})
}
