// Package faultnet dials connections between named ends whose faults a test controls: cut pairs
// and connections that go silent for good while new ones work.
package faultnet

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// ErrCut is the error of a dial between ends that are cut.
var ErrCut = errors.New("faultnet: the two ends are cut")

// Network holds the faults between the ends.
type Network struct {
	mu    sync.Mutex
	names map[string]string
	cut   func(from, to string) bool
	open  []*conn
	dials atomic.Int64
}

// New returns a network without faults.
func New() *Network {
	return &Network{names: map[string]string{}, cut: func(string, string) bool { return false }}
}

// Name gives the end at addr a name for Cut.
func (n *Network) Name(addr, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[addr] = name
}

// Cut sets which pairs are cut, in either direction. A connection that carries anything while
// its pair is cut stays silent for good.
func (n *Network) Cut(cut func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// Heal ends all cuts.
func (n *Network) Heal() { n.Cut(func(string, string) bool { return false }) }

// Silence makes all open connections silent; their ends notice nothing else.
func (n *Network) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.open {
		c.silent.Store(true)
	}
	n.open = nil
}

// Dials returns the number of dials so far.
func (n *Network) Dials() int64 { return n.dials.Load() }

// Dialer returns the DialContext function of the end named from.
func (n *Network) Dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		n.dials.Add(1)
		n.mu.Lock()
		to := n.names[addr]
		n.mu.Unlock()
		if n.isCut(from, to) {
			return nil, ErrCut
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		fc := &conn{Conn: c, cut: func() bool { return n.isCut(from, to) }}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.open = append(n.open, fc)
		return fc, nil
	}
}

func (n *Network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut(a, b) || n.cut(b, a)
}

// conn loses everything in both directions once it is silent.
type conn struct {
	net.Conn
	cut    func() bool
	silent atomic.Bool
}

func (c *conn) isSilent() bool {
	if c.cut() {
		c.silent.Store(true)
	}
	return c.silent.Load()
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}
