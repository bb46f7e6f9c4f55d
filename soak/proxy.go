// Package soak runs real instances as processes on one machine, injects faults into their connections,
// back ends and store, stops, pauses and restarts them, and checks the guarantees of the service by what
// clients and back ends observe.
package soak

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode selects what a proxy does with the data of its connections.
type Mode int32

// Modes of a proxy.
const (
	Pass Mode = iota
	// Delay forwards each chunk after delayDuration.
	Delay
	// DropToServer discards data to the server, DropFromServer data from it, DropAll both.
	DropToServer
	DropFromServer
	DropAll
	modeCount
)

// delayDuration is how long Delay holds back a chunk.
const delayDuration = 60 * time.Millisecond

// bufferBytes is the maximum size of a chunk that a proxy forwards.
const bufferBytes = 16 << 10

// proxy forwards connections to a server on this machine.
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
		go p.handle(client)
	}
}

// handle connects a client to the server and returns when both directions have ended.
func (p *proxy) handle(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(server, client, DropToServer) })
	wg.Go(func() { p.copy(client, server, DropFromServer) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// copy forwards data in one direction. It discards the data while the mode is dropMode or DropAll.
func (p *proxy) copy(to, from net.Conn, dropMode Mode) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		mode := Mode(p.mode.Load())
		if mode == Delay {
			time.Sleep(delayDuration)
		}
		if n > 0 && mode != dropMode && mode != DropAll {
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

// reset closes a connection with a TCP reset.
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
