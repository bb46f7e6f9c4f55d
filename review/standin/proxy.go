//go:build review

package standin

import (
	"net"
	"strings"
	"sync"
	"time"
)

// Proxy carries the connections of one machine to the store, so that they can be disturbed.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*proxyLink]bool
}

// proxyLink is a connection through a Proxy. A silent one carries nothing any more, and neither end is told.
type proxyLink struct {
	client, server net.Conn
	silent         bool
	// request is the first line of the newest request.
	request string
}

// NewProxy starts a proxy in front of target at a free port of ip.
func NewProxy(ip, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, links: map[*proxyLink]bool{}}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go p.carry(client)
		}
	}()
	return p, nil
}

// Addr returns the proxy's address.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		_ = l.client.Close()
		if l.server != nil {
			_ = l.server.Close()
		}
	}
}

// Silence makes the open connection on which the newest request contains text silent for good, and returns that request.
// All other connections and new ones work.
func (p *Proxy) Silence(text string) (request string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if !l.silent && strings.Contains(l.request, text) {
			l.silent = true
			return l.request, true
		}
	}
	return "", false
}

func (p *Proxy) carry(client net.Conn) {
	l := &proxyLink{client: client}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.links, l)
		p.mu.Unlock()
		_ = client.Close()
	}()
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer server.Close()
	p.mu.Lock()
	l.server = server
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(l, server, client); done <- struct{}{} }()
	go func() { p.copy(l, client, server); done <- struct{}{} }()
	<-done
}

// copy carries one direction. On a silent connection it reads and drops, so that the sender is not told.
func (p *Proxy) copy(l *proxyLink, to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		silent := l.silent
		if line, _, ok := strings.Cut(string(buffer[:n]), " HTTP/1.1\r\n"); ok && from == l.client {
			l.request = line
		}
		p.mu.Unlock()
		if n > 0 && !silent {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
