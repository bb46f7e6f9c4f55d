// Package intake reads what clients send, and writes what they are to read, under one bound of the memory that both take. Package
// flood decides who gives way: a body whose client sends nothing for a while leaves its memory to one that arrives.
package intake

import (
	"errors"
	"io"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadasill/cicadasill/flood"
)

// ErrFull reports that others take the memory that a body needs, or that a body without progress has left its memory to others.
// Nothing of the request has been passed on.
var ErrFull = errors.New("the bodies of other requests take too much memory")

// ErrTooLarge reports a body that exceeds its limit.
var ErrTooLarge = errors.New("the body is too large")

// Fractions of a machine's memory that Limits and PeerLimits set for the classes of flood.MemoryLimits. docs/design/client-floods.md
// has the sum of all bounds.
const (
	largeFraction    = 0.2
	ordinaryFraction = 0.04
	smallFraction    = 0.04
	// peerFraction is the fraction that PeerLimits sets for large messages.
	peerFraction = 0.15
)

// PeerLimits returns the limits of the messages of other instances, on a machine with memory bytes.
func PeerLimits(memory float64) flood.MemoryLimits {
	limits := Limits(memory)
	limits.Large = int64(peerFraction * memory)
	return limits
}

// Limits returns the limits of a machine with memory bytes.
func Limits(memory float64) flood.MemoryLimits {
	return flood.MemoryLimits{
		Large: int64(largeFraction * memory), Ordinary: int64(ordinaryFraction * memory), Small: int64(smallFraction * memory),
		StallTime: flood.DefaultStallTime,
	}
}

const (
	// firstBytes is the size of the first buffer of a body without a stated length.
	firstBytes = 512
	// progressBytes is how much of a body counts as progress. A client that sends single bytes makes none.
	progressBytes = 16 << 10
	// elsewhereDivisor is the part of the limit from which on the memory held elsewhere counts.
	elsewhereDivisor = 4
)

// Options configure a Memory.
type Options struct {
	// Name is the label of the memory in metrics.
	Name   string
	Limits flood.MemoryLimits
	// Elsewhere returns memory in bytes that is held beside the shares and leaves less to large ones; nil means none.
	Elsewhere func() int64
	// Spare is how much of Elsewhere does not count.
	Spare int64
	// Metrics may be nil.
	Metrics *Metrics
}

// Memory is the memory that clients make a process hold. It is safe for concurrent use.
type Memory struct {
	opts Options

	mu     sync.Mutex // guards the fields below
	table  *flood.Memory
	shares map[*flood.Share]*Share
}

// New returns an unused memory.
func New(opts Options) *Memory {
	m := &Memory{opts: opts, table: flood.NewMemory(opts.Limits), shares: map[*flood.Share]*Share{}}
	if opts.Metrics != nil {
		opts.Metrics.observe(m)
	}
	return m
}

// Unbounded returns a memory that refuses nothing.
func Unbounded() *Memory { return New(Options{Limits: flood.MemoryLimits{Large: math.MaxInt64}}) }

// Used returns the bytes in use.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Used()
}

// Share is the memory of one body, or of one answer.
type Share struct {
	memory    *Memory
	entry     *flood.Share
	interrupt func()
	gaveWay   atomic.Bool
}

// Open returns an empty share, which must be released. A share of up to allowed bytes fits if no other large one is held. interrupt
// ends the read or write that the share waits in once it gives way; it must not block, and is not called after Release.
func (m *Memory) Open(allowed int64, interrupt func()) *Share {
	s := &Share{memory: m, interrupt: interrupt}
	m.mu.Lock()
	defer m.mu.Unlock()
	s.entry = m.table.Open(allowed, time.Now())
	m.shares[s.entry] = s
	return s
}

// Release returns the memory.
func (s *Share) Release() {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.memory.table.Close(s.entry)
	delete(s.memory.shares, s.entry)
}

// GaveWay reports whether the share has left its memory to others.
func (s *Share) GaveWay() bool { return s.gaveWay.Load() }

// Resize sets the size of the share. It fails with ErrFull if others take the memory; the share is empty then.
func (s *Share) Resize(size int64) error {
	m := s.memory
	elsewhere := int64(0)
	if m.opts.Elsewhere != nil && size > flood.OrdinarySize {
		if held := m.opts.Elsewhere(); held >= m.opts.Limits.Large/elsewhereDivisor {
			elsewhere = max(0, held-m.opts.Spare)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.gaveWay.Load() {
		return ErrFull
	}
	victims, ok := m.table.Resize(s.entry, size, elsewhere, time.Now())
	m.interruptAll(victims)
	if !ok {
		m.opts.Metrics.refused(m.opts.Name, reasonFull)
		return ErrFull
	}
	return nil
}

// Hold sets the size of a share whose bytes are held already. Others give way where they have to.
func (s *Share) Hold(size int64) {
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if !s.gaveWay.Load() {
		m.interruptAll(m.table.Hold(s.entry, size, time.Now()))
	}
}

// interruptAll ends the waits of shares that have given way. The caller holds mu.
func (m *Memory) interruptAll(victims []*flood.Share) {
	for _, victim := range victims {
		s := m.shares[victim]
		s.gaveWay.Store(true)
		s.interrupt()
		m.opts.Metrics.refused(m.opts.Name, reasonGaveWay)
	}
}

// Progress records that the client has sent or read bytes.
func (s *Share) Progress() {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.memory.table.Progress(s.entry, time.Now())
}

// Settle records that the share does not wait for a client, such as one for an answer of a back end. It gives way no more.
func (s *Share) Settle() {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.memory.table.Settle(s.entry)
}

// complete records that the client has sent everything. It fails with ErrFull if the share gave way before.
func (s *Share) complete() error {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	if s.gaveWay.Load() {
		return ErrFull
	}
	s.memory.table.Settle(s.entry)
	return nil
}

// Body describes a body that is read.
type Body struct {
	// Length is the stated length in bytes, negative if none is stated.
	Length int64
	// Limit is the largest length in bytes.
	Limit int64
	// Factor is the memory that the body takes for each of its bytes, with what is decoded from it. 0 means 1.
	Factor int64
}

// ReadAll reads a body to its end and makes the share as large as the body takes. It fails with ErrTooLarge beyond the limit, with
// ErrFull if others need the memory more, and with the errors of r.
func (s *Share) ReadAll(r io.Reader, b Body) ([]byte, error) {
	if b.Length > b.Limit {
		return nil, ErrTooLarge
	}
	factor, size := max(1, b.Factor), b.Length
	if size < 0 {
		size = firstBytes
	}
	if err := s.Resize(factor * size); err != nil {
		return nil, err
	}
	body, marked := make([]byte, 0, size), 0
	for int64(len(body)) != b.Length {
		if len(body) == cap(body) {
			size = min(2*size, b.Limit+1) // one byte more shows that the body is too large
			if err := s.Resize(factor * size); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		if s.GaveWay() {
			return nil, ErrFull
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > b.Limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF) && int64(len(body)) < b.Length:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return body, s.complete()
		case err != nil && s.GaveWay():
			return nil, ErrFull
		case err != nil:
			return nil, err
		}
		if len(body)-marked >= progressBytes {
			marked = len(body)
			s.Progress()
		}
	}
	return body, s.complete()
}
