// Package soak runs real instances as processes on one machine, injects faults into their connections,
// back ends and store, stops, pauses and restarts them, and checks the guarantees of the service by what
// clients and back ends observe.
package soak

import (
	"bytes"
	"errors"
	"net"
	"slices"
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
	// replaced is replaced by replacement, which has the same length, in what is sent to the server.
	replaced, replacement []byte

	mu    sync.Mutex // guards the fields below
	conns map[net.Conn]bool
	links []*proxyLink // in the order in which they were opened
	// silentUntil is when new connections are no longer silent from their start.
	silentUntil time.Time
}

// proxyLink is a connection through a proxy. A silent direction drops all bytes for good and does not pass on its end.
type proxyLink struct{ toServerSilent, fromServerSilent atomic.Bool }

// silence selects the connections that a proxy makes silent for good.
type silence struct {
	// everySecond spares every other connection.
	everySecond          bool
	toServer, fromServer bool
	// newAfter is how long new connections are silent too.
	newAfter time.Duration
}

// silence makes open connections silent for good.
func (p *proxy) silence(s silence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, link := range p.links {
		if s.everySecond && n%2 == 1 {
			continue
		}
		link.toServerSilent.Store(link.toServerSilent.Load() || s.toServer)
		link.fromServerSilent.Store(link.fromServerSilent.Load() || s.fromServer)
	}
	p.silentUntil = time.Now().Add(s.newAfter)
}

func newProxy(target string) (*proxy, error) { return newProxyAt("127.0.0.1:0", target) }

func newProxyAt(addr, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", addr)
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
	link := &proxyLink{}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.links = append(p.links, link)
	silent := time.Now().Before(p.silentUntil)
	p.mu.Unlock()
	link.toServerSilent.Store(silent)
	link.fromServerSilent.Store(silent)
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(server, client, DropToServer, &link.toServerSilent) })
	wg.Go(func() { p.copy(client, server, DropFromServer, &link.fromServerSilent) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.links = slices.DeleteFunc(p.links, func(l *proxyLink) bool { return l == link })
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// copy forwards data in one direction. It discards the data while the mode is dropMode or DropAll, or silent is set.
func (p *proxy) copy(to, from net.Conn, dropMode Mode, silent *atomic.Bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		mode := Mode(p.mode.Load())
		if mode == Delay {
			time.Sleep(delayDuration)
		}
		if dropMode == DropToServer && len(p.replaced) > 0 {
			copy(buffer, bytes.ReplaceAll(buffer[:n], p.replaced, p.replacement))
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
