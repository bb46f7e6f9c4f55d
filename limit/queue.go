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
	// DefaultRolloutShare is the part of dispatches that waiting rollouts get while staff wait.
	DefaultRolloutShare = 0.10
	// DefaultStaffReserve is the part of the slots that rollouts leave free. Rollouts run for
	// minutes; without a reserve a staff request would wait for one of them to end.
	DefaultStaffReserve = 0.10
)

// holdSmoothing weighs the newest request in the estimate of the time that a unit of cost
// holds a slot.
const holdSmoothing = 0.05

// QueueOptions configure a Queue. Zero values mean the defaults.
type QueueOptions struct {
	// Capacity is the number of requests that the service's back ends take from this
	// instance now.
	Capacity func() int
	// Limit bounds the waiting requests.
	Limit        int
	RolloutShare float64
	StaffReserve float64
}

// Queue is the deadline queue of one service at one instance. Staff requests go before
// rollouts; within a priority the earliest deadline goes first.
type Queue struct {
	mu       sync.Mutex
	opts     QueueOptions
	staff    class
	rollout  class
	inFlight int
	hold     float64 // seconds that one unit of cost holds a slot
	credit   float64 // share of a dispatch that rollouts have earned
}

// class is the waiting requests of one priority.
type class struct {
	waiters  waiters
	cost     float64
	inFlight int
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

// Admit waits for a slot. The cost is the request's expected size in any unit that is the
// same for all requests of the service. The release function must be called once. The
// error is a *Refused: the request was not dispatched.
func (q *Queue) Admit(ctx context.Context, p contract.Priority, deadline time.Time, cost float64) (func(), error) {
	q.mu.Lock()
	c := q.class(p)
	if len(c.waiters) == 0 && q.hasSlot(c) {
		q.take(c)
		q.mu.Unlock()
		return q.releaser(c, cost), nil
	}
	if err := q.check(c, deadline, cost); err != nil {
		q.mu.Unlock()
		return nil, err
	}
	w := &waiter{deadline: deadline, cost: cost, result: make(chan error, 1)}
	heap.Push(&c.waiters, w)
	c.cost += cost
	q.mu.Unlock()
	return q.wait(ctx, c, w)
}

// Check returns the refusal that Admit would give now, or nil.
func (q *Queue) Check(p contract.Priority, deadline time.Time, cost float64) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.class(p)
	if len(c.waiters) == 0 && q.hasSlot(c) {
		return nil
	}
	return q.check(c, deadline, cost)
}

// Wake dispatches waiting requests after the capacity has grown.
func (q *Queue) Wake() {
	q.mu.Lock()
	q.dispatch()
	q.mu.Unlock()
}

// Depth returns the number of waiting requests of a priority.
func (q *Queue) Depth(p contract.Priority) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.class(p).waiters)
}

func (q *Queue) class(p contract.Priority) *class {
	if p == contract.Staff {
		return &q.staff
	}
	return &q.rollout
}

func (q *Queue) wait(ctx context.Context, c *class, w *waiter) (func(), error) {
	timer := time.NewTimer(time.Until(w.deadline))
	defer timer.Stop()
	select {
	case err := <-w.result:
		if err != nil {
			return nil, err
		}
		return q.releaser(c, w.cost), nil
	case <-ctx.Done():
		return nil, q.abandon(c, w, CallerGone)
	case <-timer.C:
		return nil, q.abandon(c, w, DeadlineTooClose)
	}
}

// abandon takes w out of the queue, or gives its slot back when it has just been dispatched.
func (q *Queue) abandon(c *class, w *waiter, reason Reason) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&c.waiters, w.index)
		c.cost -= w.cost
	} else if err := <-w.result; err == nil {
		q.inFlight--
		c.inFlight--
		q.dispatch()
	}
	return &Refused{Reason: reason, RetryAfter: RetryAfter(q.estimate(c))}
}

// releaser returns the function that gives a slot of c back.
func (q *Queue) releaser(c *class, cost float64) func() {
	start := time.Now()
	return func() {
		held := time.Since(start).Seconds() / max(cost, 1)
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.hold == 0 {
			q.hold = held
		}
		q.hold += holdSmoothing * (held - q.hold)
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

func (q *Queue) take(c *class) {
	q.inFlight++
	c.inFlight++
}

// check refuses a request that would have to wait longer than its deadline allows.
func (q *Queue) check(c *class, deadline time.Time, cost float64) error {
	wait := q.estimate(c)
	if len(q.staff.waiters)+len(q.rollout.waiters) >= q.opts.Limit {
		return &Refused{Reason: QueueFull, RetryAfter: RetryAfter(wait)}
	}
	if wait+q.service(cost) > time.Until(deadline) {
		return &Refused{Reason: DeadlineTooClose, RetryAfter: RetryAfter(wait)}
	}
	return nil
}

// estimate returns the expected wait of a request that joins c now.
func (q *Queue) estimate(c *class) time.Duration {
	capacity := float64(max(q.opts.Capacity(), 1))
	staffRate := capacity * (1 - q.opts.RolloutShare)
	if c == &q.staff {
		return q.service(q.staff.cost / staffRate)
	}
	behind := (q.staff.cost + q.rollout.cost) / capacity
	ownShare := q.rollout.cost / (capacity * q.opts.RolloutShare)
	return q.service(min(behind, ownShare))
}

func (q *Queue) service(cost float64) time.Duration {
	return time.Duration(q.hold * cost * float64(time.Second))
}

// dispatch hands out free slots. A request whose time left is below its expected run time
// is refused here: running it would take capacity from requests that can still be answered.
func (q *Queue) dispatch() {
	for {
		c := q.next()
		if c == nil {
			return
		}
		w := heap.Pop(&c.waiters).(*waiter)
		c.cost -= w.cost
		if len(c.waiters) == 0 {
			c.cost = 0
		}
		if q.service(w.cost) > time.Until(w.deadline) {
			w.result <- &Refused{Reason: DeadlineTooClose, RetryAfter: RetryAfter(q.estimate(c))}
			continue
		}
		q.take(c)
		w.result <- nil
	}
}

// next chooses the priority that gets the next slot.
func (q *Queue) next() *class {
	staff := len(q.staff.waiters) > 0 && q.hasSlot(&q.staff)
	rollout := len(q.rollout.waiters) > 0 && q.hasSlot(&q.rollout)
	switch {
	case staff && rollout:
		q.credit += q.opts.RolloutShare
		if q.credit < 1 {
			return &q.staff
		}
		q.credit--
		return &q.rollout
	case staff:
		return &q.staff
	case rollout:
		return &q.rollout
	default:
		return nil
	}
}
