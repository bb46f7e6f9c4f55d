package link

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// A yamux frame header has 12 bytes: version 1, type 1, flags 2, stream id 4, length 4. Only data
// frames (type 0) have a body, of length bytes.
const (
	frameHeaderSize = 12
	frameTypeData   = 0
	flagSYN         = 1
	flagACK         = 2
	flagFIN         = 4
	flagRST         = 8
)

// streamBytes counts the bytes of one stream. sent and received hold the bytes counted before the
// stream's cause is known and counter is set.
type streamBytes struct {
	counter              *counter
	sent, received       int64
	openedLocally        bool
	acked                bool
	finSent, finReceived bool
}

// meter is a connection that counts every byte under the cause of its stream, by parsing the
// yamux frames in both directions. Bytes that belong to no stream are counted as overhead.
type meter struct {
	net.Conn
	lastRead atomic.Int64 // unix nanoseconds

	mu       sync.Mutex
	overhead *counter
	onClose  func() // called before the connection is closed
	streams  map[uint32]*streamBytes
	refused  map[uint32]struct{} // streams that the peer reset before it accepted them
	out, in  frameParser
}

func newMeter(conn net.Conn, overhead *counter, onClose func()) *meter {
	m := &meter{Conn: conn, overhead: overhead, onClose: onClose, streams: map[uint32]*streamBytes{}, refused: map[uint32]struct{}{}}
	m.lastRead.Store(time.Now().UnixNano())
	return m
}

// Close implements net.Conn. yamux closes the connection of a session that it has shut down by itself.
func (m *meter) Close() error {
	m.onClose()
	return m.Conn.Close()
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

// sinceLastRead returns the time since the last received byte.
func (m *meter) sinceLastRead() time.Duration {
	return time.Duration(time.Now().UnixNano() - m.lastRead.Load())
}

func (m *meter) addSent(id uint32, flags uint16, n int) {
	sb := m.stream(id, flags, true)
	if sb == nil {
		m.overhead.add(int64(n), 0)
		return
	}
	if sb.counter != nil {
		sb.counter.add(int64(n), 0)
	} else {
		sb.sent += int64(n)
	}
	sb.finSent = sb.finSent || flags&flagFIN != 0
	m.removeIfClosed(id, sb, flags)
}

func (m *meter) addReceived(id uint32, flags uint16, n int) {
	sb := m.stream(id, flags, false)
	if sb == nil {
		m.overhead.add(0, int64(n))
		return
	}
	if sb.counter != nil {
		sb.counter.add(0, int64(n))
	} else {
		sb.received += int64(n)
	}
	sb.acked = sb.acked || flags&flagACK != 0
	sb.finReceived = sb.finReceived || flags&flagFIN != 0
	if flags&flagRST != 0 && sb.openedLocally && !sb.acked {
		m.refused[id] = struct{}{}
	}
	m.removeIfClosed(id, sb, flags)
}

// stream returns the entry of a stream and creates it at the SYN frame. It returns nil for frames
// of the session (stream 0) and of a stream without an entry.
func (m *meter) stream(id uint32, flags uint16, openedLocally bool) *streamBytes {
	sb := m.streams[id]
	if sb == nil && flags&flagSYN != 0 && id != 0 {
		sb = &streamBytes{openedLocally: openedLocally}
		m.streams[id] = sb
	}
	return sb
}

// removeIfClosed removes the entry of a stream that is reset or closed in both directions. The
// bytes of a stream whose cause never became known are counted as overhead.
func (m *meter) removeIfClosed(id uint32, sb *streamBytes, flags uint16) {
	if flags&flagRST != 0 || (sb.finReceived && sb.finSent) {
		if sb.counter == nil {
			m.overhead.add(sb.sent, sb.received)
		}
		delete(m.streams, id)
	}
}

// assignCounter sets the counter of a stream, once its cause is known.
func (m *meter) assignCounter(id uint32, c *counter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sb := m.streams[id]
	if sb == nil || sb.counter != nil {
		return
	}
	sb.counter = c
	c.add(sb.sent, sb.received)
}

// popRefused reports whether the peer reset the stream before it accepted it, which proves that
// no handler received the request. It removes the stream from the refused ones.
func (m *meter) popRefused(id uint32) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.refused[id]
	delete(m.refused, id)
	return ok
}

// frameParser splits one direction of a connection into yamux frames.
type frameParser struct {
	hdr      [frameHeaderSize]byte
	hdrLen   int
	bodyLeft int
	streamID uint32
}

func (p *frameParser) parse(b []byte, add func(id uint32, flags uint16, n int)) {
	for len(b) > 0 {
		if p.bodyLeft > 0 {
			n := min(p.bodyLeft, len(b))
			p.bodyLeft -= n
			add(p.streamID, 0, n)
			b = b[n:]
			continue
		}
		n := copy(p.hdr[p.hdrLen:], b)
		p.hdrLen += n
		b = b[n:]
		if p.hdrLen < frameHeaderSize {
			return
		}
		p.hdrLen = 0
		p.streamID = binary.BigEndian.Uint32(p.hdr[4:8])
		if p.hdr[1] == frameTypeData {
			p.bodyLeft = int(binary.BigEndian.Uint32(p.hdr[8:12]))
		}
		add(p.streamID, binary.BigEndian.Uint16(p.hdr[2:4]), frameHeaderSize)
	}
}
