// Package faultnet dials connections between named endpoints and lets a test inject faults: it cuts
// pairs of endpoints from each other, and silences open connections for good while new ones work.
package faultnet

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// ErrCut is the error of a dial between two endpoints that are cut from each other.
var ErrCut = errors.New("faultnet: the two endpoints are cut from each other")

// Network holds the endpoint names, the open connections and the faults between them.
type Network struct {
	mu     sync.Mutex
	names  map[string]string // endpoint names by address
	areCut func(from, to string) bool
	conns  []*conn
	dials  atomic.Int64
}

// New returns a network without faults.
func New() *Network {
	return &Network{names: map[string]string{}, areCut: func(string, string) bool { return false }}
}

// SetName sets the name of the endpoint at addr, by which Cut knows it.
func (n *Network) SetName(addr, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[addr] = name
}

// Cut sets the function that reports whether two endpoints are cut from each other; either order
// of the names cuts both directions. A connection that is used while its endpoints are cut stays
// silent for good.
func (n *Network) Cut(cut func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.areCut = cut
}

// Heal ends all cuts.
func (n *Network) Heal() { n.Cut(func(string, string) bool { return false }) }

// Silence makes all open connections silent for good. Their endpoints get no other sign of it.
func (n *Network) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.silent.Store(true)
	}
	n.conns = nil
}

// Dials returns the number of dials so far, failed ones included.
func (n *Network) Dials() int64 { return n.dials.Load() }

// Dialer returns the DialContext function of the endpoint named from.
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
		fc := &conn{Conn: c, isCut: func() bool { return n.isCut(from, to) }}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns = append(n.conns, fc)
		return fc, nil
	}
}

// isCut reports whether two endpoints are cut from each other, whichever way round they are named.
func (n *Network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.areCut(a, b) || n.areCut(b, a)
}

// conn drops all data in both directions once it is silent.
type conn struct {
	net.Conn
	isCut  func() bool
	silent atomic.Bool
}

// isSilent reports whether the connection is silent. A cut makes it silent for good.
func (c *conn) isSilent() bool {
	if c.isCut() {
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
