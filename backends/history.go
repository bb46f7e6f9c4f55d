package backends

// History derives from entries, in the order in which the store executed their writes, what a running instance would know of the back ends: which
// were removed, and which are certainly alive. It is no Directory because the writes may be old.
type History struct {
	newest  map[string]Run
	removed map[string]Run
	// beats counts the entries of each back end that followed a lower number of the same run.
	beats map[string]int
}

// NewHistory returns a history without entries.
func NewHistory() *History {
	return &History{newest: map[string]Run{}, removed: map[string]Run{}, beats: map[string]int{}}
}

// Put records that an entry was written. One that is no newer than the last one before its removal was written before that.
func (h *History) Put(e Entry) Effect {
	run := Run{StartedUnixMs: e.StartedUnixMs, Seq: e.Seq}
	known, seen := h.newest[e.ID]
	if run.StartedUnixMs != 0 && seen && !run.IsNewerThan(known) {
		return Outdated
	}
	if _, returns := h.removed[e.ID]; seen && !returns && known.StartedUnixMs == run.StartedUnixMs {
		h.beats[e.ID]++
	} else {
		delete(h.beats, e.ID)
	}
	h.newest[e.ID] = run
	delete(h.removed, e.ID)
	return Updated
}

// Remove records that the entry of a back end was removed.
func (h *History) Remove(id string) {
	delete(h.beats, id)
	if run, seen := h.newest[id]; seen && run.StartedUnixMs != 0 {
		h.removed[id] = run
	}
}

// RemoveAllBut does nothing: a history is no load.
func (h *History) RemoveAllBut(map[string]bool) {}

// Removed returns the removed back ends with their last entries.
func (h *History) Removed() map[string]Run { return h.removed }

// Alive returns the back ends that have written several entries since they were last removed. A write that is executed late comes once.
func (h *History) Alive() map[string]bool {
	alive := map[string]bool{}
	for id := range h.beats {
		alive[id] = true
	}
	return alive
}
