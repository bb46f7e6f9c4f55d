package limit

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/contract"
)

// Defaults of QueueOptions.
const (
	DefaultQueueLimit = 1000
	// DefaultRolloutShare is the fraction of the dispatches that waiting rollouts get while
	// staff requests wait.
	DefaultRolloutShare = 0.10
	// DefaultStaffReserve is the fraction of the slots that rollouts leave free. Rollouts run
	// for minutes; without a reserve, a staff request would wait for one of them to end.
	DefaultStaffReserve = 0.10
)

// holdTimeSmoothing is the weight of the newest request in the estimate of how long a unit of
// cost holds a slot.
const holdTimeSmoothing = 0.05

// QueueOptions configures a Queue. Zero values mean the defaults.
type QueueOptions struct {
	// Capacity returns the number of requests that the back ends of the service can currently
	// take from this instance.
	Capacity func() int
	// Limit bounds the number of waiting requests.
	Limit        int
	RolloutShare float64
	StaffReserve float64
}

// Queue is the queue of one service at one instance. Staff requests go before rollouts, which
// still get RolloutShare of the dispatches; within a priority, the request with the earliest
// deadline goes first.
type Queue struct {
	mu            sync.Mutex
	opts          QueueOptions
	staff         class
	rollout       class
	inFlight      int
	holdSeconds   float64 // time that one unit of cost holds a slot
	rolloutCredit float64 // fraction of a dispatch that waiting rollouts have earned
}

// class holds the requests of one priority.
type class struct {
	waiters     waiters
	waitingCost float64 // total cost of the waiters
	inFlight    int
}

// NewQueue returns an empty queue.
func NewQueue(opts QueueOptions) *Queue {
	if opts.Limit == 0 {
		opts.Limit = DefaultQueueLimit
	}
	if opts.RolloutShare == 0 {
		opts.RolloutShare = DefaultRolloutShare
	}
	if opts.StaffReserve == 0 {
		opts.StaffReserve = DefaultStaffReserve
	}
	return &Queue{opts: opts}
}

// Admit waits for a slot. cost is the expected size of the request in any unit that is the
// same for all requests of the service. The returned function releases the slot and must be
// called once. The error is a *Refused, which means that the request was not dispatched.
func (q *Queue) Admit(ctx context.Context, p contract.Priority, deadline time.Time, cost float64) (func(), error) {
	q.mu.Lock()
	c := q.classOf(p)
	if len(c.waiters) == 0 && q.hasSlot(c) {
		q.takeSlot(c)
		q.mu.Unlock()
		return q.releaseFunc(c, cost), nil
	}
	if err := q.checkWait(c, deadline, cost); err != nil {
		q.mu.Unlock()
		return nil, err
	}
	w := &waiter{deadline: deadline, cost: cost, result: make(chan error, 1)}
	heap.Push(&c.waiters, w)
	c.waitingCost += cost
	q.mu.Unlock()
	return q.wait(ctx, c, w)
}

// Check returns the refusal that Admit would return now, or nil.
func (q *Queue) Check(p contract.Priority, deadline time.Time, cost float64) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.classOf(p)
	if len(c.waiters) == 0 && q.hasSlot(c) {
		return nil
	}
	return q.checkWait(c, deadline, cost)
}

// Wake dispatches waiting requests after the capacity has increased.
func (q *Queue) Wake() {
	q.mu.Lock()
	q.dispatch()
	q.mu.Unlock()
}

// Depth returns the number of waiting requests of a priority.
func (q *Queue) Depth(p contract.Priority) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.classOf(p).waiters)
}

func (q *Queue) classOf(p contract.Priority) *class {
	if p == contract.Staff {
		return &q.staff
	}
	return &q.rollout
}

// wait waits until w is dispatched or refused, its caller leaves or its deadline passes.
func (q *Queue) wait(ctx context.Context, c *class, w *waiter) (func(), error) {
	timer := time.NewTimer(time.Until(w.deadline))
	defer timer.Stop()
	select {
	case err := <-w.result:
		if err != nil {
			return nil, err
		}
		return q.releaseFunc(c, w.cost), nil
	case <-ctx.Done():
		return nil, q.abandon(c, w, CallerGone)
	case <-timer.C:
		return nil, q.abandon(c, w, DeadlineTooClose)
	}
}

// abandon removes w from the queue, or releases its slot if it has just been dispatched.
func (q *Queue) abandon(c *class, w *waiter, reason Reason) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&c.waiters, w.index)
		c.waitingCost -= w.cost
	} else if err := <-w.result; err == nil {
		q.inFlight--
		c.inFlight--
		q.dispatch()
	}
	return &Refused{Reason: reason, RetryAfter: RetryAfter(q.estimateWait(c))}
}

// releaseFunc returns the function that releases a slot of c.
func (q *Queue) releaseFunc(c *class, cost float64) func() {
	start := time.Now()
	return func() {
		held := time.Since(start).Seconds() / max(cost, 1)
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.holdSeconds == 0 {
			q.holdSeconds = held
		}
		q.holdSeconds += holdTimeSmoothing * (held - q.holdSeconds)
		q.inFlight--
		c.inFlight--
		q.dispatch()
	}
}

// hasSlot reports whether a request of c may be dispatched now.
func (q *Queue) hasSlot(c *class) bool {
	capacity := q.opts.Capacity()
	if q.inFlight >= capacity {
		return false
	}
	if c == &q.staff {
		return true
	}
	return c.inFlight == 0 || c.inFlight < capacity-max(1, int(float64(capacity)*q.opts.StaffReserve))
}

func (q *Queue) takeSlot(c *class) {
	q.inFlight++
	c.inFlight++
}

// checkWait refuses a request if the queue is full or if the request would wait longer than
// its deadline allows.
func (q *Queue) checkWait(c *class, deadline time.Time, cost float64) error {
	wait := q.estimateWait(c)
	if len(q.staff.waiters)+len(q.rollout.waiters) >= q.opts.Limit {
		return &Refused{Reason: QueueFull, RetryAfter: RetryAfter(wait)}
	}
	if wait+q.runTime(cost) > time.Until(deadline) {
		return &Refused{Reason: DeadlineTooClose, RetryAfter: RetryAfter(wait)}
	}
	return nil
}

// estimateWait returns the expected wait of a request that joins c now. A rollout waits for
// all waiting requests at full capacity or for the waiting rollouts at their share, whichever
// is shorter.
func (q *Queue) estimateWait(c *class) time.Duration {
	capacity := float64(max(q.opts.Capacity(), 1))
	staffRate := capacity * (1 - q.opts.RolloutShare)
	if c == &q.staff {
		return q.runTime(q.staff.waitingCost / staffRate)
	}
	costAtFullCapacity := (q.staff.waitingCost + q.rollout.waitingCost) / capacity
	costAtRolloutShare := q.rollout.waitingCost / (capacity * q.opts.RolloutShare)
	return q.runTime(min(costAtFullCapacity, costAtRolloutShare))
}

// runTime returns the expected time for which a request of this cost holds a slot.
func (q *Queue) runTime(cost float64) time.Duration {
	return time.Duration(q.holdSeconds * cost * float64(time.Second))
}

// dispatch gives free slots to waiting requests. It refuses a request whose time left is below
// its expected run time, because running it would take capacity from requests that can still
// be answered.
func (q *Queue) dispatch() {
	for {
		c := q.nextClass()
		if c == nil {
			return
		}
		w := heap.Pop(&c.waiters).(*waiter)
		c.waitingCost -= w.cost
		if len(c.waiters) == 0 {
			c.waitingCost = 0
		}
		if q.runTime(w.cost) > time.Until(w.deadline) {
			w.result <- &Refused{Reason: DeadlineTooClose, RetryAfter: RetryAfter(q.estimateWait(c))}
			continue
		}
		q.takeSlot(c)
		w.result <- nil
	}
}

// nextClass returns the priority that gets the next slot, or nil if no waiting request can
// have one.
func (q *Queue) nextClass() *class {
	staff := len(q.staff.waiters) > 0 && q.hasSlot(&q.staff)
	rollout := len(q.rollout.waiters) > 0 && q.hasSlot(&q.rollout)
	switch {
	case staff && rollout:
		q.rolloutCredit += q.opts.RolloutShare
		if q.rolloutCredit < 1 {
			return &q.staff
		}
		q.rolloutCredit--
		return &q.rollout
	case staff:
		return &q.staff
	case rollout:
		return &q.rollout
	default:
		return nil
	}
}
