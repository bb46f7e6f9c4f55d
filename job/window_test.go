package job

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// windowRun records the items of a job that runItems starts. They end when release is closed.
type windowRun struct {
	fixture *moveFixture
	release chan struct{}

	mu      sync.Mutex // guards the fields below
	started []int
	running int
	most    int // items that ran at once
}

// newWindowRun returns a run of a job of n items of the model "m", of which engines have version 1.
func newWindowRun(n int) *windowRun {
	r := &windowRun{fixture: newMoveFixture(), release: make(chan struct{})}
	r.fixture.job.items = make([]Item, n)
	for i := range n {
		r.fixture.job.items[i] = Item{ID: fmt.Sprint("i", i), Path: "/p/1", Model: "m"}
	}
	return r
}

func (r *windowRun) start(ctx context.Context) (done chan struct{}) {
	done = make(chan struct{})
	go func() {
		defer close(done)
		r.fixture.driver.runItems(ctx, r.fixture.job, func(i int) {
			r.mu.Lock()
			r.started = append(r.started, i)
			r.running++
			r.most = max(r.most, r.running)
			r.mu.Unlock()
			select {
			case <-r.release:
			case <-ctx.Done():
			}
			r.mu.Lock()
			r.running--
			r.mu.Unlock()
		})
	}()
	return done
}

// startedItems returns the items that have started, in their order in the job.
func (r *windowRun) startedItems() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(slices.Values(r.started))
}

// Guards against a driver whose memory and goroutines grow with the size of a job, and against items of a large job that
// never start.
func TestLargeJobStartsItemsAsOthersEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const items = 3 * maxStartedItems
		r := newWindowRun(items)
		longest := items - 1
		r.fixture.job.items[longest].LengthEstimate = 5000
		done := r.start(t.Context())
		synctest.Wait()
		started := r.startedItems()
		is.Equal(len(started), maxStartedItems)
		is.Equal(started[len(started)-1], longest) // the longest item is among the first
		is.Equal(started[:len(started)-1], sequence(maxStartedItems-1))
		close(r.release)
		<-done
		is.Equal(r.startedItems(), sequence(items))
		is.True(r.most <= maxStartedItems)
		is.Equal(r.fixture.driver.started.total, 0)
	})
}

// Guards against a change of the order of starts for jobs of usual sizes, whose items all wait in the placer's queue.
func TestItemsOfUsualJobsStartAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newWindowRun(maxStartedItems)
		r.fixture.job.items[0].Model = "unknown"
		done := r.start(t.Context())
		synctest.Wait()
		is.Equal(r.startedItems(), sequence(maxStartedItems))
		close(r.release)
		<-done
	})
}

// Guards against items without an engine that keep the rest of a large job from running.
func TestItemsWithoutEngineLeaveRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const blocked = 2 * maxStartedItems
		r := newWindowRun(blocked + 2*minStartedPerKind)
		for i := range blocked {
			r.fixture.job.items[i].Model = fmt.Sprint("unknown", i)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := r.start(ctx)
		synctest.Wait()
		is.Equal(r.startedItems(), sequence(blocked + 2*minStartedPerKind)[blocked:])
		cancel()
		<-done
		is.Equal(r.fixture.driver.started.total, 0)
	})
}

// Guards against items whose engines refuse them, or whose reward calls have no back end, that keep the rest of a large job
// from running.
func TestItemsThatWaitLeaveRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const waiting = 2 * maxStartedItems
		r := newWindowRun(waiting + 2*minStartedPerKind)
		for i := range waiting {
			r.fixture.job.items[i].Reward = &RewardCall{ID: "r", Host: "h", Path: "/p/r"}
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := r.start(ctx)
		synctest.Wait()
		started := r.startedItems()
		is.Equal(started[:maxStartedItems], sequence(maxStartedItems))
		is.Equal(len(started)-maxStartedItems, minStartedPerKind) // of the others
		cancel()
		<-done
	})
}

// Guards against items of a large job without a route or an engine that are never listed.
func TestItemsOfLargeJobAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const items, giveUpAfter = 2 * maxStartedItems, 10 * time.Second
		r := newWindowRun(items)
		for i := range items {
			r.fixture.job.items[i].Model = "unknown"
		}
		r.fixture.job.items[1].Path = "/gone/1"
		r.fixture.config.Load().Routes[0].GiveUpAfter = giveUpAfter
		close(r.release)
		done := r.start(t.Context())
		synctest.Wait()
		is.Equal(r.startedItems(), []int{1})
		time.Sleep(giveUpAfter + time.Second)
		<-done
		is.Equal(r.startedItems(), sequence(items))
	})
}

// Guards against items of a large job that stay without an engine after it has come.
func TestItemsStartWhenTheirEngineComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newWindowRun(2 * maxStartedItems)
		r.fixture.route("later")
		close(r.release)
		done := r.start(t.Context())
		synctest.Wait()
		is.Equal(len(r.startedItems()), 0)
		r.fixture.route("llm")
		<-done
		is.Equal(r.startedItems(), sequence(2*maxStartedItems))
	})
}

// sequence returns the numbers below n.
func sequence(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// Guards against more started items than a small machine has memory for, and against a small machine that starts none.
func TestStartedItemsFitIntoTheMemory(t *testing.T) {
	is := is.New(t)
	is.Equal(startedLimit(0), maxStartedItems)
	is.Equal(startedLimit(1<<40), maxStartedItems)
	is.Equal(startedLimit(1<<10), minStartedPerKind)
	s := startedItems{limit: startedLimit(1000 * startedItemBytes)}
	is.True(s.add(1000, false))
	is.True(!s.add(1, false))
	is.True(s.add(1, true))
}
