package changelog_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/changelog/logtest"
)

// testPartition is the partition of the tests in this file.
var testPartition = changelog.Partition{Topic: "t"}

// keyState is a State with the newest value of each key.
type keyState struct{ values map[string]string }

func (s *keyState) Apply(r changelog.Record) {
	if r.Value == nil {
		delete(s.values, r.Key)
		return
	}
	s.values[r.Key] = string(r.Value)
}

func (s *keyState) Reset() { s.values = map[string]string{} }

// follower is a replica of a log that is kept current until stop is called.
type follower struct {
	state   *keyState
	replica *changelog.Replica
	stop    context.CancelFunc
}

func follow(ctx context.Context, log changelog.Log) *follower {
	f := &follower{state: &keyState{values: map[string]string{}}}
	f.replica = changelog.NewReplica(log, testPartition, f.state)
	ctx, f.stop = context.WithCancel(ctx)
	go f.replica.Follow(ctx, changelog.ConstantWait(0), func() time.Duration { return 10 * time.Millisecond }, func(error) {})
	return f
}

// Guards against accepted records that an instance cannot read any more, or reads and then loses, whatever the log does to
// calls around an append, a deletion or a load: answers that are refused, lost or late, history that is gone, and pages of newest
// records between which records are replaced.
func TestAcceptedRecordsStayReadable(t *testing.T) {
	const instances, keys = 3, 12
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			log := logtest.New(seed)
			var (
				mu        sync.Mutex
				accepted  = map[string]bool{} // permanent keys of commits that have succeeded
				followers []*follower
				tasks     sync.WaitGroup
			)
			for i := range instances {
				rng := rand.New(rand.NewPCG(seed, uint64(100+i)))
				tasks.Go(func() {
					f := follow(t.Context(), log)
					defer func() {
						mu.Lock()
						defer mu.Unlock()
						followers = append(followers, f)
					}()
					seen := map[string]bool{}
					for n := range 12 {
						if rng.IntN(6) == 0 { // the instance is replaced
							f.stop()
							f = follow(t.Context(), log)
							seen = map[string]bool{}
						}
						commitCtx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
						permanent, replaced := fmt.Sprintf("k%02d/%d/%d", rng.IntN(keys), i, n), fmt.Sprintf("k%02d", rng.IntN(keys))
						deletes := rng.IntN(3) == 0
						_, err := f.replica.Commit(commitCtx, func() []changelog.Record {
							if _, stored := f.state.values[permanent]; stored {
								return nil
							}
							next := changelog.Record{Key: replaced, Value: []byte(permanent)}
							if deletes {
								next.Value = nil
							}
							return []changelog.Record{{Key: permanent, Value: []byte("x")}, next}
						})
						cancel()
						if err == nil {
							mu.Lock()
							accepted[permanent] = true
							mu.Unlock()
							seen[permanent] = true
						}
						f.replica.View(func() {
							for key := range seen {
								if _, ok := f.state.values[key]; !ok {
									t.Errorf("seed %d: instance %d read %s and has lost it", seed, i, key)
								}
							}
							for key := range f.state.values {
								if len(key) > len("k00") {
									seen[key] = true
								}
							}
						})
					}
				})
			}
			tasks.Wait()
			time.Sleep(time.Second) // late appends
			log.EndFaults()
			want := log.ValuesBefore(testPartition, log.End(testPartition))
			for _, f := range followers {
				if err := f.replica.Sync(t.Context()); err != nil || !maps.Equal(f.state.values, want) {
					t.Errorf("seed %d: an instance reads %v, the log holds %v (%v)", seed, f.state.values, want, err)
				}
				f.stop()
			}
			state := &keyState{}
			replica := changelog.NewReplica(log, testPartition, state)
			if err := replica.Sync(t.Context()); err != nil || !maps.Equal(state.values, want) {
				t.Errorf("seed %d: a new instance reads %v, the log holds %v (%v)", seed, state.values, want, err)
			}
			for key := range accepted {
				if _, ok := want[key]; !ok {
					t.Errorf("seed %d: accepted record %s is not in the log", seed, key)
				}
			}
		})
	}
}
