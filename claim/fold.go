package claim

import "time"

// holder is the claim that holds a key: the first one that was neither released nor expired.
type holder struct {
	id       claimID
	body     hash
	lifetime time.Duration
	ran      bool // an end record states that the request ran
	// time is the stream's clock at the claim's record; zero until the record has been read
	// back.
	time time.Time
}

// streamState is the state that results from the records of one claim stream. Records below
// nextRead were read from the log. Records from nextRead to nextApply are this instance's own;
// they were applied when their append returned, and their record times are unknown. Every
// decision that depends on time waits until the records are read.
type streamState struct {
	nextRead, nextApply int64     // offsets
	clock               time.Time // highest record time below nextRead
	holders             map[hash]*holder
	released            map[claimID]time.Time // release times, zero until read back
	lastSweep           time.Time             // clock at the last sweep by removeExpired
	maxLifetime         time.Duration         // longest claim lifetime seen
}

func newStreamState() *streamState {
	return &streamState{holders: map[hash]*holder{}, released: map[claimID]time.Time{}}
}

// holderOf returns the holder of a key, or nil if the key is free.
func (st *streamState) holderOf(k hash) *holder {
	h := st.holders[k]
	if h == nil || st.expired(h) {
		return nil
	}
	return h
}

// expired reports whether the lifetime of h has passed on the stream's clock.
func (st *streamState) expired(h *holder) bool {
	return !h.time.IsZero() && st.clock.Sub(h.time) > h.lifetime
}

// applyAppended applies the batch whose append returned offset, without its record time. It
// returns false if the batch has to be read back: either other records precede it, or a key in
// it is held and only record times tell whether that claim has expired.
func (st *streamState) applyAppended(offset int64, b *batch) bool {
	if offset < st.nextApply {
		return true // a concurrent read has applied it
	}
	if offset > st.nextApply {
		return false
	}
	released := map[claimID]bool{}
	for _, e := range b.Ends {
		if e.Result == endReleased {
			released[b.claimID(e.Seq)] = true
		}
	}
	for _, c := range b.Claims {
		if h := st.holders[c.Key]; h != nil && h.id != b.claimID(c.Seq) && !released[h.id] {
			return false
		}
	}
	st.apply(b, time.Time{})
	st.nextApply = offset + 1
	return true
}

// applyRead applies the record at nextRead, with record time at. b is nil for a record of
// another kind.
func (st *streamState) applyRead(b *batch, at time.Time) {
	if at.After(st.clock) {
		st.clock = at
	}
	if b != nil && st.nextRead < st.nextApply {
		st.setTimes(b)
	} else if b != nil {
		st.apply(b, st.clock)
	}
	st.nextRead++
	st.nextApply = max(st.nextApply, st.nextRead)
}

// apply applies the ends and then the claims of a batch with record time at, which is zero if
// unknown.
func (st *streamState) apply(b *batch, at time.Time) {
	st.maxLifetime = max(st.maxLifetime, b.maxLifetime())
	for _, e := range b.Ends {
		h := st.holders[e.Key]
		holdsKey := h != nil && h.id == b.claimID(e.Seq)
		switch {
		case e.Result == endReleased:
			st.released[b.claimID(e.Seq)] = at
			if holdsKey {
				delete(st.holders, e.Key)
			}
		case holdsKey:
			h.ran = true
		}
	}
	for _, c := range b.Claims {
		id := b.claimID(c.Seq)
		if _, isReleased := st.released[id]; isReleased || st.holderOf(c.Key) != nil {
			continue
		}
		st.holders[c.Key] = &holder{id: id, body: c.Body, lifetime: time.Duration(c.LifetimeMs) * time.Millisecond, time: at}
	}
}

// setTimes sets the time of a record that applyAppended applied.
func (st *streamState) setTimes(b *batch) {
	for _, c := range b.Claims {
		if h := st.holders[c.Key]; h != nil && h.id == b.claimID(c.Seq) && h.time.IsZero() {
			h.time = st.clock
		}
	}
	for _, e := range b.Ends {
		if at, ok := st.released[b.claimID(e.Seq)]; ok && at.IsZero() {
			st.released[b.claimID(e.Seq)] = st.clock
		}
	}
}

// skipTo continues at offset first, when earlier records have expired or can no longer affect
// a decision.
func (st *streamState) skipTo(first int64) {
	st.nextRead = first
	st.nextApply = max(st.nextApply, first)
}

// sweepInterval is the time on the stream's clock between two sweeps by removeExpired.
const sweepInterval = 10 * time.Second

// removeExpired removes expired holders and releases, which bounds the memory to the retry
// windows.
func (st *streamState) removeExpired() {
	if st.clock.Sub(st.lastSweep) < sweepInterval {
		return
	}
	st.lastSweep = st.clock
	for k, h := range st.holders {
		if st.expired(h) {
			delete(st.holders, k)
		}
	}
	for id, at := range st.released {
		if !at.IsZero() && st.clock.Sub(at) > releasedRetention {
			delete(st.released, id)
		}
	}
}
