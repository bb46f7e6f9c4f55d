package presence

// StateNeed makes the heartbeats state what need returns: by service, the back end slots that this instance's part of the work needs.
func (t *Table) StateNeed(need func() map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.need = need
}

// ownNeed returns what this instance states; nil if that is nothing.
func (t *Table) ownNeed() map[string]int {
	t.mu.Lock()
	need := t.need
	t.mu.Unlock()
	if need == nil {
		return nil
	}
	return need()
}

// Need returns, by service, the slots that the newest records of all live instances state.
func (t *Table) Need() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := map[string]int{}
	for _, s := range t.byID {
		if s.Left || t.isSilent(&s, deadIntervals) {
			continue
		}
		for service, slots := range s.Need {
			sum[service] += max(0, slots)
		}
	}
	return sum
}
