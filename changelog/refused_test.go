package changelog_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/changelog/logtest"
)

// Guards against work that takes effect after its caller was told that it was not written (REFUSED): over drawn histories of instances whose
// reason to write ends between two attempts, on a log that refuses calls, loses answers and executes appends late.
func TestRefusedCommitsNeverTakeEffect(t *testing.T) {
	const instances, commits = 3, 10
	refusals, broken := 0, map[uint64]string{} // broken holds a refused key by seed
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			log := logtest.New(seed)
			var (
				mu      sync.Mutex
				refused = map[string]bool{}
				tasks   sync.WaitGroup
			)
			for i := range instances {
				rng := rand.New(rand.NewPCG(seed, uint64(200+i)))
				tasks.Go(func() {
					f := follow(t.Context(), log)
					defer f.stop()
					for n := range commits {
						key, attemptsWithRoom := fmt.Sprintf("%d/%d", i, n), 1+rng.IntN(3)
						ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
						attempt, stored := 0, false
						end, err := f.replica.Commit(ctx, func() []changelog.Record {
							attempt++
							if _, stored = f.state.values[key]; stored || attempt > attemptsWithRoom {
								return nil
							}
							return []changelog.Record{{Key: key, Value: []byte("x")}}
						})
						cancel()
						if err == nil && end == 0 && !stored {
							mu.Lock()
							refused[key] = true
							mu.Unlock()
						}
						time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
					}
				})
			}
			tasks.Wait()
			time.Sleep(time.Second) // late appends
			log.EndFaults()
			refusals += len(refused)
			for key := range log.ValuesBefore(testPartition, log.End(testPartition)) {
				if refused[key] {
					broken[seed] = key
				}
			}
		})
	}
	if len(broken) > 0 {
		t.Errorf("in %d histories a commit was refused and is in the log; keys by seed: %v", len(broken), broken)
	}
	if refusals < 300 {
		t.Errorf("only %d commits were refused", refusals)
	}
	t.Logf("%d commits were refused", refusals)
}
