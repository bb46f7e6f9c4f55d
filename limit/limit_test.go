package limit_test

import (
	"context"
	"errors"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/limit"
)

// Guards against a back end that slows down under load and still gets more requests.
func TestLimitFallsOnCongestionAndRisesAgain(t *testing.T) {
	is := is.New(t)
	c := limit.NewConcurrency(limit.ConcurrencyOptions{Initial: 8})
	is.True(c.TryAcquire())
	c.Release(10*time.Millisecond, true)
	is.True(c.TryAcquire())
	c.Release(time.Second, true) // smoothed latency is now about 109 ms, over twice the minimum
	is.True(c.Limit() < 8)
	low := c.Limit()
	for range 400 {
		n := 0
		for c.TryAcquire() {
			n++
		}
		for range n {
			c.Release(10*time.Millisecond, true)
		}
	}
	is.True(c.Limit() > low)
}

// Guards against retries that multiply the load of failing back ends.
func TestRetryBudgetFollowsSuccesses(t *testing.T) {
	is := is.New(t)
	b := limit.NewRetryBudget(0.1, 5, -1)
	for b.Withdraw() {
	}
	for range 30 {
		b.Deposit()
	}
	n := 0
	for b.Withdraw() {
		n++
	}
	is.True(n == 2 || n == 3) // 30 additions of 0.1 may round to just under 3
}

func newQueue(capacity int) *limit.Queue {
	return limit.NewQueue(limit.QueueOptions{Capacity: func() int { return capacity }, Limit: 500})
}

// Guards against rollouts that starve behind a permanent staff queue, and against staff
// requests that wait behind rollouts. Of 100 dispatches with both waiting, rollouts get 10.
func TestStaffBeforeRolloutsWithMinimumShare(t *testing.T) {
	is := is.New(t)
	q := newQueue(1)
	ctx := context.Background()
	far := time.Now().Add(time.Hour)
	release, err := q.Admit(ctx, contract.Staff, far, 1)
	is.NoErr(err)
	order := make(chan contract.Priority)
	admit := func(p contract.Priority) {
		done, err := q.Admit(ctx, p, far, 1)
		if err == nil {
			order <- p
			done()
		}
	}
	for range 200 {
		go admit(contract.Staff)
		go admit(contract.Rollout)
	}
	for q.Depth(contract.Staff)+q.Depth(contract.Rollout) < 400 {
		time.Sleep(time.Millisecond)
	}
	release()
	rollouts := 0
	for i := range 400 {
		if <-order == contract.Rollout && i < 100 {
			rollouts++
		}
	}
	is.Equal(rollouts, 9) // 0.1 is not exact in binary, so the tenth is dispatched as the 100th or 101st
}

// Guards against requests that wait for an answer that cannot come in time, and against
// refused callers that all retry at the same time.
func TestEarlyRefusal(t *testing.T) {
	is := is.New(t)
	q := newQueue(1)
	ctx := context.Background()
	release, err := q.Admit(ctx, contract.Staff, time.Now().Add(time.Minute), 1)
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // makes the measured hold time at least 50 ms
	release()
	releaseHeld, err := q.Admit(ctx, contract.Staff, time.Now().Add(time.Minute), 1)
	is.NoErr(err)
	defer releaseHeld()
	_, err = q.Admit(ctx, contract.Staff, time.Now().Add(20*time.Millisecond), 1)
	var refused *limit.Refused
	is.True(errors.As(err, &refused))
	is.Equal(refused.Reason, limit.DeadlineTooClose)
	is.True(refused.RetryAfter > 0)
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_, err = q.Admit(cancelled, contract.Staff, time.Now().Add(time.Minute), 1)
	is.True(errors.As(err, &refused))
	is.Equal(refused.Reason, limit.CallerGone)
	is.Equal(q.Depth(contract.Staff), 0)
}

// admitInBackground admits a request in the background and returns once it waits or is
// refused. order receives its deadline when it is dispatched, or the zero time if it is
// refused.
func admitInBackground(q *limit.Queue, p contract.Priority, deadline time.Time, order chan<- time.Time) {
	before := q.Depth(p)
	go func() {
		release, err := q.Admit(context.Background(), p, deadline, 1)
		if err != nil {
			order <- time.Time{}
			return
		}
		order <- deadline
		release()
	}()
	for q.Depth(p) == before && len(order) == 0 { // a refusal on arrival also ends the loop
		time.Sleep(time.Millisecond)
	}
}

// Guards against staff requests that wait because rollouts hold every slot, an unbounded
// queue, and a request with a late deadline that goes before one with an early deadline.
func TestStaffReserveQueueLimitAndDeadlineOrder(t *testing.T) {
	is := is.New(t)
	q := limit.NewQueue(limit.QueueOptions{Capacity: func() int { return 10 }, Limit: 3})
	now := time.Now()
	order := make(chan time.Time, 3)
	var release []func()
	for range 9 {
		r, err := q.Admit(context.Background(), contract.Rollout, now.Add(time.Hour), 1)
		is.NoErr(err)
		release = append(release, r)
	}
	admitInBackground(q, contract.Rollout, now.Add(3*time.Hour), order)
	staff, err := q.Admit(context.Background(), contract.Staff, now.Add(time.Hour), 1)
	is.NoErr(err)
	admitInBackground(q, contract.Rollout, now.Add(1*time.Hour), order)
	admitInBackground(q, contract.Rollout, now.Add(2*time.Hour), order)
	var refused *limit.Refused
	is.True(errors.As(q.Check(contract.Rollout, now.Add(time.Hour), 1), &refused))
	is.Equal(refused.Reason, limit.QueueFull)
	staff()
	release[0]()
	for i := range 3 {
		is.Equal((<-order).Sub(now), time.Duration(i+1)*time.Hour)
	}
}

// Guards against capacity spent on answers that come too late, slots lost when a caller leaves
// at the moment of its dispatch, and a concurrency limit that ignores failures.
func TestLateDispatchAndLostSlots(t *testing.T) {
	is := is.New(t)
	q := newQueue(1)
	release, err := q.Admit(context.Background(), contract.Staff, time.Now().Add(time.Minute), 1)
	is.NoErr(err)
	time.Sleep(200 * time.Millisecond) // makes the measured hold time at least 200 ms
	release()
	release, err = q.Admit(context.Background(), contract.Staff, time.Now().Add(time.Minute), 1)
	is.NoErr(err)
	is.True(q.Check(contract.Staff, time.Now().Add(50*time.Millisecond), 1) != nil)
	order := make(chan time.Time, 1)
	late := time.Now().Add(500 * time.Millisecond)
	admitInBackground(q, contract.Staff, late, order)
	time.Sleep(time.Until(late.Add(-100 * time.Millisecond))) // less time is left than the hold time
	release()
	is.Equal(<-order, time.Time{})
	for range 300 {
		release, err := q.Admit(context.Background(), contract.Staff, time.Now().Add(time.Minute), 1)
		is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			if r, err := q.Admit(ctx, contract.Staff, time.Now().Add(time.Minute), 1); err == nil {
				r()
			}
			close(done)
		}()
		for q.Depth(contract.Staff) == 0 {
			runtime.Gosched()
		}
		cancel()
		release() // dispatches the request before its goroutine has seen the cancellation
		<-done
	}
	is.NoErr(q.Check(contract.Staff, time.Now().Add(time.Nanosecond), 1)) // the slot is free
	c := limit.NewConcurrency(limit.ConcurrencyOptions{Initial: 16})
	is.True(c.TryAcquire())
	c.Release(0, false)
	is.True(c.Limit() < 16)
}
