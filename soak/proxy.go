// Package soak runs real instances as processes on one machine, injects faults from outside them
// and checks the promises from what clients and back ends see.
package soak

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is what a proxy does with the bytes of its connections.
type Mode int32

// Modes of a proxy.
const (
	Pass Mode = iota
	// Delay holds every piece back for delayTime.
	Delay
	// DropUp loses what goes to the server, DropDown what comes from it, Silence both.
	DropUp
	DropDown
	Silence
	modes
)

// delayTime is how long a piece is held back.
const delayTime = 60 * time.Millisecond

// pieceBytes is the size of the pieces in which a proxy passes bytes on.
const pieceBytes = 16 << 10

// proxy passes connections on to a server on this machine.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex // guards conns
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go p.pass(client)
	}
}

func (p *proxy) pass(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(server, client, DropUp) })
	wg.Go(func() { p.copy(client, server, DropDown) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

func (p *proxy) copy(to, from net.Conn, dropped Mode) {
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		mode := Mode(p.mode.Load())
		if mode == Delay {
			time.Sleep(delayTime)
		}
		if n > 0 && mode != dropped && mode != Silence {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		}
	}
}

// resetAll resets every open connection.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}
