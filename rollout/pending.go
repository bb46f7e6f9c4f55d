package rollout

import "container/heap"

// pendingHeap orders samples that wait for an engine: resumed ones first, then long ones, and parked
// ones last.
type pendingHeap []pendingItem

type pendingItem struct {
	s       *sample
	started bool
	parked  bool
	length  float64
}

// Len implements heap.Interface.
func (h pendingHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h pendingHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.parked != b.parked {
		return b.parked
	}
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
	item := pendingItem{s: s, started: s.saved != nil, parked: s.parked}
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

// unparked counts the pending samples that are not parked. Called with mu held.
func (st *step) unparked() int {
	n := 0
	for _, item := range st.pending {
		if !item.parked {
			n++
		}
	}
	return n
}

// parkFactor is how far beyond its prediction a sample is taken for one of the long tail.
const parkFactor = 1.5

// parkLong parks samples that turn out far longer than predicted while others have not been started.
// The others show sooner which of them are long as well, and all long ones then run side by side
// instead of the last of them starting at the end of the step. Called with mu held.
func (st *step) parkLong() {
	o := st.srv.opts
	if o.FirstComeFirstServed || !o.Parking || st.srv.lengths.serviceMean(st.key.service) == 0 {
		return
	}
	free := st.unparked()
	for _, s := range st.samples {
		if free == 0 {
			return
		}
		if s.parked || len(s.live) != 1 || s.predicted == 0 || float64(len(s.live[0].progress.tokens)) < parkFactor*s.predicted {
			continue
		}
		s.parked = true
		s.live[0].parked = true
		s.live[0].cancel()
		free--
	}
}
