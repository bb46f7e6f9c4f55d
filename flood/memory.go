package flood

import (
	"container/list"
	"time"
)

// MemoryLimits bound the memory in bytes that clients make a process hold. Load: many bodies of legal size at once, most of which
// stop short of their end and stay open.
type MemoryLimits struct {
	// Large bounds the shares beyond OrdinarySize. Smaller ones may use it as well.
	Large int64
	// Ordinary is set aside for shares up to OrdinarySize, Small for those up to SmallSize, so that large ones do not keep them out.
	Ordinary, Small int64
	// StallTime is the time without progress after which a share gives way to one that needs its memory.
	StallTime time.Duration
}

// Sizes of shares.
const (
	// SmallSize fits the bodies of most requests.
	SmallSize = 32 << 10
	// OrdinarySize fits the largest bodies of requests that are no uploads.
	OrdinarySize = 512 << 10
)

// DefaultStallTime is longer than a packet that is lost and sent again delays a body.
const DefaultStallTime = time.Second

// class orders shares by size.
type class int

const (
	small class = iota
	ordinary
	large
	classes
)

func classOf(size int64) class {
	switch {
	case size <= SmallSize:
		return small
	case size <= OrdinarySize:
		return ordinary
	default:
		return large
	}
}

// Share is a part of a Memory.
type Share struct {
	size int64
	// allowed is the size of the largest share that fits alone, whatever the limits are.
	allowed int64
	// since is the time of the last progress, waiting the place among the shares that wait for their clients; nil for the others.
	since   time.Time
	waiting *list.Element
}

// Size returns the bytes that the share holds.
func (s *Share) Size() int64 { return s.size }

// Memory decides which shares of a process's memory clients keep. It has no input, output or clock: its caller gives the time and
// ends those that a call returns. It is not safe for concurrent use.
type Memory struct {
	limits MemoryLimits
	used   [classes]int64
	// waiting holds the *Share that wait for their clients, the ones without progress for longest first.
	waiting *list.List
}

// NewMemory returns a memory without shares.
func NewMemory(limits MemoryLimits) *Memory { return &Memory{limits: limits, waiting: list.New()} }

// Open adds an empty share that waits for its client. A share of up to allowed bytes fits if no other one beyond OrdinarySize
// is held.
func (m *Memory) Open(allowed int64, now time.Time) *Share {
	s := &Share{allowed: allowed, since: now}
	s.waiting = m.waiting.PushBack(s)
	return s
}

// Resize sets the size of a share, which counts as progress. elsewhere is memory in bytes that is held beside the shares and leaves
// less to large ones. If the share does not fit, those that have stalled give way, the ones without progress for longest first,
// but only as many as are needed, and none if that is not enough. Resize then returns false, and the share is empty: shares that
// grow at the same time would otherwise refuse one another.
func (m *Memory) Resize(s *Share, size, elsewhere int64, now time.Time) (victims []*Share, ok bool) {
	size = min(size, max(m.limits.Large, s.allowed))
	limit := max(m.limits.Large, size)
	m.set(s, size)
	m.Progress(s, now)
	fits := func() bool { return m.fits(classOf(size), limit, elsewhere) }
	sizes := map[*Share]int64{}
	for e := m.waiting.Front(); e != nil && !fits(); e = e.Next() {
		victim := e.Value.(*Share)
		if now.Sub(victim.since) < m.limits.StallTime {
			break
		}
		if victim != s && victim.size > 0 {
			victims, sizes[victim] = append(victims, victim), victim.size
			m.set(victim, 0)
		}
	}
	if !fits() {
		for _, victim := range victims {
			m.set(victim, sizes[victim])
		}
		m.set(s, 0)
		return nil, false
	}
	return m.removeNeeded(victims, sizes, fits), true
}

// removeNeeded gives memory back to the victims that need not give way, and removes the others.
func (m *Memory) removeNeeded(victims []*Share, sizes map[*Share]int64, fits func() bool) (needed []*Share) {
	for n := len(victims) - 1; n >= 0; n-- {
		victim := victims[n]
		if m.set(victim, sizes[victim]); fits() {
			continue
		}
		m.Close(victim)
		needed = append(needed, victim)
	}
	return needed
}

// burstDivisor gives the part of MemoryLimits.Large by which held shares may exceed it before Hold ends some that have made progress.
const burstDivisor = 4

// Hold sets the size of a share whose bytes are held already. Where the shares exceed the limit, the others that have stalled give
// way, the ones without progress for longest first; if they exceed it by more than a part of it, also those that have not.
func (m *Memory) Hold(s *Share, size int64, now time.Time) (victims []*Share) {
	m.set(s, size)
	m.Progress(s, now)
	limit := m.limits.Large
	for e := m.waiting.Front(); e != nil && !m.fits(classOf(size), limit, 0); {
		victim := e.Value.(*Share)
		e = e.Next()
		if now.Sub(victim.since) < m.limits.StallTime && m.fits(classOf(size), limit+limit/burstDivisor, 0) {
			break
		}
		if victim != s && victim.size > 0 {
			m.Close(victim)
			victims = append(victims, victim)
		}
	}
	return victims
}

// fits reports whether a share of class c is inside the limits. What exceeds the part that is set aside for smaller shares takes from
// the next larger ones.
func (m *Memory) fits(c class, limit, elsewhere int64) bool {
	reserves := [...]int64{small: m.limits.Small, ordinary: m.limits.Ordinary}
	excess := int64(0)
	for smaller, reserve := range reserves {
		excess = max(0, excess+m.used[smaller]-reserve)
		if c <= class(smaller) && excess == 0 {
			return true
		}
	}
	return excess+m.used[large]+elsewhere <= limit
}

// Progress records that bytes have arrived from the client of s, or that it has read some.
func (m *Memory) Progress(s *Share, now time.Time) {
	s.since = now
	if s.waiting != nil {
		m.waiting.MoveToBack(s.waiting)
	}
}

// Settle records that s no longer waits for its client. It gives way no more.
func (m *Memory) Settle(s *Share) {
	if s.waiting != nil {
		m.waiting.Remove(s.waiting)
		s.waiting = nil
	}
}

// Close empties and removes a share.
func (m *Memory) Close(s *Share) {
	m.Settle(s)
	m.set(s, 0)
}

func (m *Memory) set(s *Share, size int64) {
	m.used[classOf(s.size)] -= s.size
	s.size = size
	m.used[classOf(size)] += size
}

// Used returns the bytes of all shares.
func (m *Memory) Used() int64 {
	total := int64(0)
	for _, used := range m.used {
		total += used
	}
	return total
}
