package claim

import "time"

// holder is the claim that holds a key: the first one that was not released or expired.
type holder struct {
	id       claimID
	body     hash
	lifetime time.Duration
	ran      bool
	// time is the stream's clock at the claim's record; zero until the record was read back.
	time time.Time
}

// fold is the state of one claim stream. Records below timed were read; those from timed to
// next are this instance's own, applied when their append returned, whose times are unknown.
// All decisions that depend on time wait until the records are read.
type fold struct {
	timed, next int64
	clock       time.Time // highest record time below timed
	holders     map[hash]*holder
	released    map[claimID]time.Time
	swept       time.Time
	longest     time.Duration // longest lifetime seen
}

func newFold() *fold {
	return &fold{holders: map[hash]*holder{}, released: map[claimID]time.Time{}}
}

// current returns the holder of a key, or nil when the key is free.
func (f *fold) current(k hash) *holder {
	h := f.holders[k]
	if h == nil || f.expired(h) {
		return nil
	}
	return h
}

func (f *fold) expired(h *holder) bool {
	return !h.time.IsZero() && f.clock.Sub(h.time) > h.lifetime
}

// applyOwn applies the batch whose append returned offset, without its time. It reports false
// when the batch has to be read back: other records lie before it, or a key in it is held and
// time may decide whether it still is.
func (f *fold) applyOwn(offset int64, b *batch) bool {
	if offset < f.next {
		return true // a concurrent read has folded it
	}
	if offset > f.next {
		return false
	}
	ended := map[claimID]bool{}
	for _, e := range b.Ends {
		if e.Result == endReleased {
			ended[b.id(e.Seq)] = true
		}
	}
	for _, c := range b.Claims {
		if h := f.holders[c.Key]; h != nil && h.id != b.id(c.Seq) && !ended[h.id] {
			return false
		}
	}
	f.apply(b, time.Time{})
	f.next = offset + 1
	return true
}

// applyRead folds the record at f.timed.
func (f *fold) applyRead(b *batch, at time.Time) {
	if at.After(f.clock) {
		f.clock = at
	}
	if b != nil && f.timed < f.next {
		f.stamp(b)
	} else if b != nil {
		f.apply(b, f.clock)
	}
	f.timed++
	f.next = max(f.next, f.timed)
}

func (f *fold) apply(b *batch, at time.Time) {
	f.longest = max(f.longest, b.longest())
	for _, e := range b.Ends {
		h := f.holders[e.Key]
		mine := h != nil && h.id == b.id(e.Seq)
		switch {
		case e.Result == endReleased:
			f.released[b.id(e.Seq)] = at
			if mine {
				delete(f.holders, e.Key)
			}
		case mine:
			h.ran = true
		}
	}
	for _, c := range b.Claims {
		id := b.id(c.Seq)
		if _, gone := f.released[id]; gone || f.current(c.Key) != nil {
			continue
		}
		f.holders[c.Key] = &holder{id: id, body: c.Body, lifetime: time.Duration(c.LifetimeMs) * time.Millisecond, time: at}
	}
}

// stamp adds the time of a record that applyOwn applied.
func (f *fold) stamp(b *batch) {
	for _, c := range b.Claims {
		if h := f.holders[c.Key]; h != nil && h.id == b.id(c.Seq) && h.time.IsZero() {
			h.time = f.clock
		}
	}
	for _, e := range b.Ends {
		if at, ok := f.released[b.id(e.Seq)]; ok && at.IsZero() {
			f.released[b.id(e.Seq)] = f.clock
		}
	}
}

// jump continues at the first retained record after records were lost to retention.
func (f *fold) jump(first int64) {
	f.timed = first
	f.next = max(f.next, first)
}

// sweepEvery is the time on the stream's clock between two sweeps.
const sweepEvery = 10 * time.Second

// sweep drops what has expired, which bounds the memory to the retry windows.
func (f *fold) sweep() {
	if f.clock.Sub(f.swept) < sweepEvery {
		return
	}
	f.swept = f.clock
	for k, h := range f.holders {
		if f.expired(h) {
			delete(f.holders, k)
		}
	}
	for id, at := range f.released {
		if !at.IsZero() && f.clock.Sub(at) > releasedFor {
			delete(f.released, id)
		}
	}
}
