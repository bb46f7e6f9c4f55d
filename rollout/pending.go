package rollout

import "container/heap"

// pendingHeap orders the samples that wait for an engine: resumed samples first, then the others by
// predicted length, longest first, and parked samples last.
type pendingHeap []pendingItem

type pendingItem struct {
	sample  *sample
	resumed bool
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
	if a.resumed != b.resumed {
		return a.resumed
	}
	if a.length != b.length {
		return a.length > b.length
	}
	return a.sample.position < b.sample.position
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

// pushPending adds s with its predicted length. Called with mu held.
func (st *step) pushPending(s *sample) {
	item := pendingItem{sample: s, resumed: s.resumeFrom != nil, parked: s.parked}
	if !st.srv.opts.FirstComeFirstServed {
		item.length = st.srv.lengths.predict(st.key.service, s.group, 0)
	}
	heap.Push(&st.pending, item)
}

// reorderPending recomputes the predicted lengths, which change as samples finish. Called with mu held.
func (st *step) reorderPending() {
	if st.srv.opts.FirstComeFirstServed {
		return
	}
	for i := range st.pending {
		st.pending[i].length = st.srv.lengths.predict(st.key.service, st.pending[i].sample.group, 0)
	}
	heap.Init(&st.pending)
}

// countUnparked counts the pending samples that are not parked. Called with mu held.
func (st *step) countUnparked() int {
	n := 0
	for _, item := range st.pending {
		if !item.parked {
			n++
		}
	}
	return n
}

// longTailFactor is the multiple of the predicted length above which a sample counts as part of the
// long tail.
const longTailFactor = 1.5

// parkLongSamples parks samples that grow far longer than predicted while other samples have not been
// started. Starting the others first shows sooner which of them are long as well. All long samples then
// run side by side, instead of the last of them starting at the end of the step. Called with mu held.
func (st *step) parkLongSamples() {
	opts := st.srv.opts
	if opts.FirstComeFirstServed || !opts.Parking || st.srv.lengths.serviceMean(st.key.service) == 0 {
		return
	}
	unparked := st.countUnparked()
	for _, s := range st.samples {
		if unparked == 0 {
			return
		}
		if s.parked || len(s.running) != 1 || s.predictedLength == 0 || float64(len(s.running[0].progress.tokens)) < longTailFactor*s.predictedLength {
			continue
		}
		s.parked = true
		s.running[0].parked = true
		s.running[0].cancel()
		unparked--
	}
}
