package main

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// cutLink is the network between one instance and one back end. While it is cut, nothing arrives. What was sent on connections
// that were open before arrives some time after the cut has healed, when TCP sends it once more; new connections carry nothing.
type cutLink struct {
	listener net.Listener
	target   string
	passed   atomic.Int64 // requests that were passed on

	mu      sync.Mutex // guards the fields below
	isCut   bool
	healed  chan struct{} // closed when the cut has healed and its bytes are sent once more
	holding func([]byte)  // called with bytes that are held up
}

// newCutLink starts a link to a target.
func newCutLink(target string) (*cutLink, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &cutLink{listener: listener, target: target}
	go l.accept()
	return l, nil
}

func (l *cutLink) addr() string { return l.listener.Addr().String() }

func (l *cutLink) close() { _ = l.listener.Close() }

// cut cuts the link. holding is called with each piece that is held up.
func (l *cutLink) cut(holding func([]byte)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut, l.healed, l.holding = true, make(chan struct{}), holding
}

// heal ends the cut. What was held up arrives after resend.
func (l *cutLink) heal(resend time.Duration) {
	l.mu.Lock()
	l.isCut = false
	healed := l.healed
	l.mu.Unlock()
	time.Sleep(resend)
	close(healed)
}

func (l *cutLink) state() (isCut bool, healed chan struct{}, holding func([]byte)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCut, l.healed, l.holding
}

func (l *cutLink) accept() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return // closed
		}
		if isCut, _, _ := l.state(); isCut { // its handshake would not have been answered
			go func() {
				buffer := make([]byte, 4096)
				for {
					if _, err := from.Read(buffer); err != nil {
						_ = from.Close()
						return
					}
				}
			}()
			continue
		}
		to, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		go l.pass(from, to, true)
		go l.pass(to, from, false)
	}
}

// pass passes bytes and the end of a connection on, in one direction. toTarget states that they go to the target.
func (l *cutLink) pass(from, to net.Conn, toTarget bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		data := bytes.Clone(buffer[:n])
		if isCut, healed, holding := l.state(); isCut {
			if toTarget && n > 0 {
				holding(data)
			}
			<-healed
		}
		if toTarget {
			l.passed.Add(int64(bytes.Count(data, []byte("X-Request-Id:"))))
		}
		if n > 0 {
			if _, writeErr := to.Write(data); writeErr != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // an error means that it is closed
			}
			return
		}
	}
}
