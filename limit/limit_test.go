package limit_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/limit"
)

// Guards against a back end that slows down under load and is given ever more of it.
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
func TestRetryBudgetIsATenthOfSuccesses(t *testing.T) {
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

func queue(capacity int) *limit.Queue {
	return limit.NewQueue(limit.QueueOptions{Capacity: func() int { return capacity }, Limit: 500})
}

// Guards against rollouts starving behind a permanent staff queue, and against staff
// waiting behind rollouts: of 100 dispatches with both waiting, rollouts get 10.
func TestStaffBeforeRolloutsWithMinimumShare(t *testing.T) {
	is := is.New(t)
	q := queue(1)
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
	is.Equal(rollouts, 9) // the tenth is dispatched as the 100th or 101st because 0.1 is not exact in binary
}

// Guards against requests that wait for an answer that cannot come in time, and against
// refusals that callers repeat all at the same moment.
func TestEarlyRefusal(t *testing.T) {
	is := is.New(t)
	q := queue(1)
	ctx := context.Background()
	release, err := q.Admit(ctx, contract.Staff, time.Now().Add(time.Minute), 1)
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // makes the measured hold time at least 50 ms
	release()
	hold, err := q.Admit(ctx, contract.Staff, time.Now().Add(time.Minute), 1)
	is.NoErr(err)
	defer hold()
	_, err = q.Admit(ctx, contract.Staff, time.Now().Add(20*time.Millisecond), 1)
	var refused *limit.Refused
	is.True(errors.As(err, &refused))
	is.Equal(refused.Reason, limit.DeadlineTooClose)
	is.True(refused.RetryAfter > 0)
	gone, cancel := context.WithCancel(ctx)
	cancel()
	_, err = q.Admit(gone, contract.Staff, time.Now().Add(time.Minute), 1)
	is.True(errors.As(err, &refused))
	is.Equal(refused.Reason, limit.CallerGone)
	is.Equal(q.Depth(contract.Staff), 0)
}
