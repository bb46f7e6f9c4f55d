// Package flood decides which client connections a process keeps when clients open more of them, or send larger heads of
// requests, than the machine has room for (Table), and whose bodies and answers keep their memory (Memory). It has no input,
// output or clock: its caller reports what the connections do, in order, and closes those that a call returns. Neither type is
// safe for concurrent use.
package flood

import "container/list"

// Limits bound the connections of a listener.
type Limits struct {
	// Conns bounds the connections in all, ConnsPerAddr those of one peer address.
	Conns, ConnsPerAddr int
	// HeadCost bounds the memory in bytes that large heads of requests take together, as Cost estimates it.
	HeadCost int64
}

// State is what a connection waits for.
type State int

// States of a connection.
const (
	// Unread connections wait for their client: for its first bytes, the rest of a head or of a body, or until it reads an answer.
	Unread State = iota
	// Busy connections have a request that is being answered. They are never chosen as victims.
	Busy
	// Idle connections wait for the next request.
	Idle
	// closed connections have left the table.
	closed
)

// Conn is a connection in a Table.
type Conn struct {
	// Close closes the connection. The table does not call it.
	Close func()

	addr  string
	state State
	cost  int64
	// waiting is the connection's place in the list of its state, large its place among the unread ones with a cost.
	waiting, large *list.Element
}

// State returns what the connection waits for.
func (c *Conn) State() State { return c.state }

// Closed reports whether the connection has left its table.
func (c *Conn) Closed() bool { return c.state == closed }

// Table holds the connections of a listener.
type Table struct {
	limits Limits
	open   int
	byAddr map[string]int
	cost   int64
	// unread and idle hold *Conn, the ones that wait longest first. large holds the unread ones with a cost in the order in
	// which their heads began to cost.
	unread, idle, large *list.List
}

// NewTable returns an empty table. Limits of 0 set no bound.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, byAddr: map[string]int{}, unread: list.New(), idle: list.New(), large: list.New()}
}

// Open adds a new connection, which is Unread. It returns the connection that makes room for it, if one has to, or false
// if there is no room.
func (t *Table) Open(addr string, closeConn func()) (c, victim *Conn, ok bool) {
	switch {
	case t.limits.ConnsPerAddr > 0 && t.byAddr[addr] >= t.limits.ConnsPerAddr:
		victim = t.longestWaiting(func(c *Conn) bool { return c.addr == addr })
	case t.limits.Conns > 0 && t.open >= t.limits.Conns:
		victim = t.longestWaiting(func(*Conn) bool { return true })
	default:
		return t.add(addr, closeConn), nil, true
	}
	if victim == nil {
		return nil, nil, false
	}
	t.Remove(victim)
	return t.add(addr, closeConn), victim, true
}

func (t *Table) add(addr string, closeConn func()) *Conn {
	c := &Conn{Close: closeConn, addr: addr}
	c.waiting = t.unread.PushBack(c)
	t.open++
	t.byAddr[addr]++
	return c
}

// longestWaiting returns the connection that has waited longest for bytes of its client, else the one that has been idle
// longest, among those that match; nil if there is none.
func (t *Table) longestWaiting(matches func(*Conn) bool) *Conn {
	for _, conns := range []*list.List{t.unread, t.idle} {
		for e := conns.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*Conn); matches(c) {
				return c
			}
		}
	}
	return nil
}

// SetState records that c has begun to wait for something else. An idle connection has no cost.
func (t *Table) SetState(c *Conn, state State) {
	if c.state == closed || c.state == state {
		return
	}
	t.unlist(c)
	c.state = state
	switch state {
	case Unread:
		c.waiting = t.unread.PushBack(c)
		if c.cost > 0 {
			c.large = t.large.PushBack(c)
		}
	case Idle:
		c.waiting = t.idle.PushBack(c)
		t.cost -= c.cost
		c.cost = 0
	case Busy, closed:
	}
}

// Progress records that bytes of the body of an Unread connection have arrived: it has begun to wait anew.
func (t *Table) Progress(c *Conn) {
	if c.state == Unread {
		t.unread.MoveToBack(c.waiting)
	}
}

// Charge sets the cost of the head of c. It returns the connections that must be closed to stay within the bound, the ones
// first whose heads were begun first. Busy connections are not among them, except that c itself is if nothing else is left: its
// request must be refused, and c stays in the table without a cost. A head always fits alone.
func (t *Table) Charge(c *Conn, cost int64) (victims []*Conn) {
	if c.state == closed || cost == c.cost {
		return nil
	}
	t.cost += cost - c.cost
	c.cost = cost
	if c.state == Unread && c.large == nil && cost > 0 {
		c.large = t.large.PushBack(c)
	}
	for t.limits.HeadCost > 0 && t.cost > t.limits.HeadCost && t.cost > c.cost {
		front := t.large.Front()
		if front == nil {
			if c.state == Busy {
				t.cost -= c.cost
				c.cost = 0
			} else {
				t.Remove(c)
			}
			return append(victims, c)
		}
		victim := front.Value.(*Conn)
		t.Remove(victim)
		victims = append(victims, victim)
		if victim == c {
			break
		}
	}
	return victims
}

// Remove takes a connection out of the table.
func (t *Table) Remove(c *Conn) {
	if c.state == closed {
		return
	}
	t.unlist(c)
	c.state = closed
	t.cost -= c.cost
	c.cost = 0
	t.open--
	if t.byAddr[c.addr]--; t.byAddr[c.addr] == 0 {
		delete(t.byAddr, c.addr)
	}
}

// unlist takes c out of the lists of its state.
func (t *Table) unlist(c *Conn) {
	if c.waiting != nil {
		if c.state == Unread {
			t.unread.Remove(c.waiting)
		} else {
			t.idle.Remove(c.waiting)
		}
		c.waiting = nil
	}
	if c.large != nil {
		t.large.Remove(c.large)
		c.large = nil
	}
}

// Usage returns the number of open connections and the cost of their heads.
func (t *Table) Usage() (open int, cost int64) { return t.open, t.cost }

// Estimates of the memory that a head takes.
const (
	// byteCost is the memory that a byte of a head takes: its buffer while it grows, its string, and a copy that is sent on.
	byteCost = 4
	// lineCost is the memory that a field takes besides its bytes in the headers of net/http and in the copies that are sent on.
	lineCost = 384
	// ordinaryHeadBytes and ordinaryHeadLines are the size up to which a head is part of the memory of its connection (ConnCost).
	ordinaryHeadBytes = 2 << 10
	ordinaryHeadLines = 48
)

// ConnCost is the memory that a connection takes with an ordinary head: the buffers and stacks of net/http.
const ConnCost = 24 << 10

// Cost returns the estimated memory of a head beyond that of its connection; 0 for an ordinary one.
func Cost(size, lines int) int64 {
	if size <= ordinaryHeadBytes && lines <= ordinaryHeadLines {
		return 0
	}
	return int64(size)*byteCost + int64(lines)*lineCost
}
