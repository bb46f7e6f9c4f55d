package limit

import "time"

// waiter is a request that waits in a Queue.
type waiter struct {
	deadline time.Time
	cost     float64
	// result receives nil when the request is dispatched, or the refusal.
	result chan error
	index  int // position in the heap; -1 once removed
}

// waiters is a heap of requests ordered by deadline.
type waiters []*waiter

// Len implements heap.Interface.
func (w waiters) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waiters) Less(i, j int) bool { return w[i].deadline.Before(w[j].deadline) }

// Swap implements heap.Interface.
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	e := x.(*waiter)
	e.index = len(*w)
	*w = append(*w, e)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	e.index = -1
	return e
}
