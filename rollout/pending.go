package rollout

import "container/heap"

// pendingHeap orders samples that wait for an engine: resumed ones first, then long ones.
type pendingHeap []pendingItem

type pendingItem struct {
	s       *sample
	started bool
	length  float64
}

// Len implements heap.Interface.
func (h pendingHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h pendingHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.started != b.started {
		return a.started
	}
	if a.length != b.length {
		return a.length > b.length
	}
	return a.s.position < b.s.position
}

// Swap implements heap.Interface.
func (h pendingHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *pendingHeap) Push(x any) { *h = append(*h, x.(pendingItem)) }

// Pop implements heap.Interface.
func (h *pendingHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	*h = old[:len(old)-1]
	return item
}

// push adds s with its predicted length. Called with mu held.
func (st *step) push(s *sample) {
	item := pendingItem{s: s, started: s.saved != nil}
	if !st.srv.opts.FirstComeFirstServed {
		item.length = st.srv.lengths.predict(st.key.service, s.group, 0)
	}
	heap.Push(&st.pending, item)
}

// reorder recomputes predicted lengths, which change as samples finish. Called with mu held.
func (st *step) reorder() {
	if st.srv.opts.FirstComeFirstServed {
		return
	}
	for i := range st.pending {
		st.pending[i].length = st.srv.lengths.predict(st.key.service, st.pending[i].s.group, 0)
	}
	heap.Init(&st.pending)
}
