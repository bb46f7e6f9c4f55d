package link

import (
	"net"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/flood"
)

// Values of the label reason of cicadasill_link_refused_connections_total.
const (
	refusedNoRoom  = "no_room"
	refusedEvicted = "evicted"
)

// acceptedConns bounds the accepted connections. Those whose handshake is incomplete make room for newcomers, so that a crowd
// that is no instance does not keep the instances out.
type acceptedConns struct {
	refused *prometheus.CounterVec

	mu    sync.Mutex // guards table
	table *flood.Table
}

func newAcceptedConns(limit int, registerer prometheus.Registerer) *acceptedConns {
	a := &acceptedConns{
		table: flood.NewTable(flood.Limits{Conns: limit}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadasill_link_refused_connections_total", Help: "Connections of peers closed for lack of room.",
		}, []string{"reason"}),
	}
	if registerer != nil {
		registerer.MustRegister(a.refused)
	}
	return a
}

// admit adds a connection. It returns nil after closing it if there is no room.
func (a *acceptedConns) admit(conn net.Conn) *acceptedConn {
	c := &acceptedConn{Conn: conn, all: a}
	a.mu.Lock()
	entry, victim, ok := a.table.Open("", func() { _ = conn.Close() })
	c.entry = entry
	a.mu.Unlock()
	if !ok {
		_ = conn.Close()
		a.refused.WithLabelValues(refusedNoRoom).Inc()
		return nil
	}
	if victim != nil {
		victim.Close()
		a.refused.WithLabelValues(refusedEvicted).Inc()
	}
	return c
}

// acceptedConn is an accepted connection of a peer.
type acceptedConn struct {
	net.Conn
	all   *acceptedConns
	entry *flood.Conn
}

// establish records that the handshake is complete.
func (c *acceptedConn) establish() {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.all.table.SetState(c.entry, flood.Busy)
}

// Close implements net.Conn.
func (c *acceptedConn) Close() error {
	c.all.mu.Lock()
	c.all.table.Remove(c.entry)
	c.all.mu.Unlock()
	return c.Conn.Close()
}
