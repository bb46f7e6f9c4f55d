package link

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// yamux frame layout: version 1, type 1, flags 2, stream id 4, length 4. Only data frames
// (type 0) are followed by length bytes.
const (
	frameHeader = 12
	frameData   = 0
	flagSYN     = 1
	flagACK     = 2
	flagFIN     = 4
	flagRST     = 8
)

// streamBytes is the account of one stream. Bytes seen before the cause is known wait in it.
type streamBytes struct {
	count          *counter
	sent, received int64
	opened         bool
	acked          bool
	finOut, finIn  bool
}

// meter attributes every byte of one connection to the cause of its stream by following the
// yamux frames in both directions.
type meter struct {
	net.Conn
	lastRead atomic.Int64 // unix nanoseconds

	mu       sync.Mutex
	overhead *counter
	streams  map[uint32]*streamBytes
	refused  map[uint32]struct{}
	out, in  parser
}

func newMeter(conn net.Conn, overhead *counter) *meter {
	m := &meter{Conn: conn, overhead: overhead, streams: map[uint32]*streamBytes{}, refused: map[uint32]struct{}{}}
	m.lastRead.Store(time.Now().UnixNano())
	return m
}

// Read implements net.Conn.
func (m *meter) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	if n > 0 {
		m.lastRead.Store(time.Now().UnixNano())
		m.mu.Lock()
		m.in.parse(p[:n], m.addReceived)
		m.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (m *meter) Write(p []byte) (int, error) {
	m.mu.Lock()
	m.out.parse(p, m.addSent)
	m.mu.Unlock()
	return m.Conn.Write(p)
}

// quiet returns the time since the last received byte.
func (m *meter) quiet() time.Duration {
	return time.Duration(time.Now().UnixNano() - m.lastRead.Load())
}

func (m *meter) addSent(id uint32, flags uint16, n int) {
	sb := m.stream(id, flags, true)
	if sb == nil {
		m.overhead.add(int64(n), 0)
		return
	}
	if sb.count != nil {
		sb.count.add(int64(n), 0)
	} else {
		sb.sent += int64(n)
	}
	sb.finOut = sb.finOut || flags&flagFIN != 0
	m.forgetIfDone(id, sb, flags)
}

func (m *meter) addReceived(id uint32, flags uint16, n int) {
	sb := m.stream(id, flags, false)
	if sb == nil {
		m.overhead.add(0, int64(n))
		return
	}
	if sb.count != nil {
		sb.count.add(0, int64(n))
	} else {
		sb.received += int64(n)
	}
	sb.acked = sb.acked || flags&flagACK != 0
	sb.finIn = sb.finIn || flags&flagFIN != 0
	if flags&flagRST != 0 && sb.opened && !sb.acked {
		m.refused[id] = struct{}{}
	}
	m.forgetIfDone(id, sb, flags)
}

func (m *meter) stream(id uint32, flags uint16, opened bool) *streamBytes {
	sb := m.streams[id]
	if sb == nil && flags&flagSYN != 0 && id != 0 {
		sb = &streamBytes{opened: opened}
		m.streams[id] = sb
	}
	return sb
}

func (m *meter) forgetIfDone(id uint32, sb *streamBytes, flags uint16) {
	if flags&flagRST != 0 || (sb.finIn && sb.finOut) {
		if sb.count == nil {
			m.overhead.add(sb.sent, sb.received)
		}
		delete(m.streams, id)
	}
}

// bind names the cause of a stream.
func (m *meter) bind(id uint32, c *counter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sb := m.streams[id]
	if sb == nil || sb.count != nil {
		return
	}
	sb.count = c
	c.add(sb.sent, sb.received)
}

// takeRefused reports whether the peer reset the stream before it accepted it, which proves
// that no handler saw it. It forgets the stream's refusal.
func (m *meter) takeRefused(id uint32) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.refused[id]
	delete(m.refused, id)
	return ok
}

// parser splits one direction of a connection into yamux frames.
type parser struct {
	hdr  [frameHeader]byte
	have int
	body int
	id   uint32
}

func (p *parser) parse(b []byte, add func(id uint32, flags uint16, n int)) {
	for len(b) > 0 {
		if p.body > 0 {
			n := min(p.body, len(b))
			p.body -= n
			add(p.id, 0, n)
			b = b[n:]
			continue
		}
		n := copy(p.hdr[p.have:], b)
		p.have += n
		b = b[n:]
		if p.have < frameHeader {
			return
		}
		p.have = 0
		p.id = binary.BigEndian.Uint32(p.hdr[4:8])
		if p.hdr[1] == frameData {
			p.body = int(binary.BigEndian.Uint32(p.hdr[8:12]))
		}
		add(p.id, binary.BigEndian.Uint16(p.hdr[2:4]), frameHeader)
	}
}
