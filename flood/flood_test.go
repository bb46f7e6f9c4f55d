package flood

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func open(t *Table, addr string) *Conn {
	c, victim, ok := t.Open(addr, func() {})
	if !ok || victim != nil {
		panic("no room")
	}
	return c
}

// Guards against a crowd that holds all places: a newcomer must find one, at the cost of whoever has waited longest for its
// client's bytes, and never of a request that is being answered.
func TestNewcomerReplacesWhoWaitsLongest(t *testing.T) {
	is := is.New(t)
	table := NewTable(Limits{Conns: 4})
	busy, idle, first, second := open(table, "a"), open(table, "a"), open(table, "a"), open(table, "a")
	table.SetState(busy, Busy)
	table.SetState(idle, Idle)
	for _, want := range []*Conn{first, second} {
		c, victim, ok := table.Open("b", func() {})
		is.True(ok)
		is.Equal(victim, want)
		table.SetState(c, Busy)
	}
	_, victim, ok := table.Open("b", func() {})
	is.True(ok)
	is.Equal(victim, idle) // nobody is left whose bytes are awaited
	is.True(idle.Closed())
	is.True(!busy.Closed())
}

// Guards against a newcomer that cuts a request which is being answered.
func TestBusyConnectionsAreNotReplaced(t *testing.T) {
	is := is.New(t)
	table := NewTable(Limits{Conns: 2})
	table.SetState(open(table, "a"), Busy)
	table.SetState(open(table, "a"), Busy)
	_, _, ok := table.Open("b", func() {})
	is.True(!ok)
}

// Guards against a body that makes progress and is taken for one whose client has gone.
func TestProgressKeepsABody(t *testing.T) {
	is := is.New(t)
	table := NewTable(Limits{Conns: 2})
	body, head := open(table, "a"), open(table, "a")
	table.Progress(body)
	_, victim, ok := table.Open("b", func() {})
	is.True(ok)
	is.Equal(victim, head)
}

// Guards against one peer address that takes the places of others, where a bound by address is set.
func TestOneAddressTakesNoMoreThanItsPart(t *testing.T) {
	is := is.New(t)
	table := NewTable(Limits{Conns: 10, ConnsPerAddr: 2})
	other, first := open(table, "b"), open(table, "a")
	open(table, "a")
	_, victim, ok := table.Open("a", func() {})
	is.True(ok)
	is.Equal(victim, first)
	is.True(!other.Closed())
	table.Remove(other)
	usage, _ := table.Usage()
	is.Equal(usage, 2)
}

// Guards against unfinished heads that together take more memory than their share, and against a large head inside the limits
// that finds no room on a calm machine.
func TestUnfinishedHeadsMakeRoom(t *testing.T) {
	is := is.New(t)
	table := NewTable(Limits{HeadCost: 100})
	old, newer := open(table, "a"), open(table, "a")
	is.Equal(len(table.Charge(old, 60)), 0)
	is.Equal(table.Charge(newer, 60), []*Conn{old})
	is.True(old.Closed())
	table.Remove(newer)
	alone := open(table, "a")
	is.Equal(len(table.Charge(alone, 500)), 0) // the largest one fits alone
	late := open(table, "a")
	table.SetState(alone, Busy)
	is.Equal(table.Charge(late, 1), []*Conn{late}) // a request that is being answered is not cut for another head
	is.True(!alone.Closed())
	table.SetState(alone, Idle)
	_, cost := table.Usage()
	is.Equal(cost, int64(0))
}

// Guards against a finished head that is cut instead of refused: its request may get an answer.
func TestFinishedHeadWithoutRoomIsRefused(t *testing.T) {
	is := is.New(t)
	table := NewTable(Limits{HeadCost: 100})
	first, second := open(table, "a"), open(table, "a")
	table.SetState(first, Busy)
	table.SetState(second, Busy)
	is.Equal(len(table.Charge(first, 80)), 0)
	is.Equal(table.Charge(second, 80), []*Conn{second})
	is.True(!second.Closed())
	_, cost := table.Usage()
	is.Equal(cost, int64(80))
}

// Guards against ordinary heads that are refused while others fill the memory for large ones.
func TestOrdinaryHeadsCostNothing(t *testing.T) {
	is := is.New(t)
	is.Equal(Cost(900, 14), int64(0))
	is.True(Cost(16<<10, 10) > 0)
	is.True(Cost(2000, 300) > 0)
}

// Guards against an account of connections and costs that drifts from what is open, under any order of events.
func TestAccountFollowsTheConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Conns: rapid.IntRange(1, 6).Draw(t, "conns"), ConnsPerAddr: rapid.IntRange(0, 3).Draw(t, "per address"), HeadCost: 100}
		table := NewTable(limits)
		var conns []*Conn
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(conns) == 0 || rapid.IntRange(0, 2).Draw(t, "step") == 0 {
				if c, _, ok := table.Open(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "addr")), func() {}); ok {
					conns = append(conns, c)
				}
			} else {
				c := conns[rapid.IntRange(0, len(conns)-1).Draw(t, "conn")]
				switch rapid.IntRange(0, 4).Draw(t, "event") {
				case 0:
					table.SetState(c, State(rapid.IntRange(int(Unread), int(Idle)).Draw(t, "state")))
				case 1, 2:
					if c.State() != Idle {
						table.Charge(c, int64(rapid.IntRange(0, 150).Draw(t, "cost")))
					}
				case 3:
					table.Progress(c)
				case 4:
					table.Remove(c)
				}
			}
			count, cost, largest, byAddr := 0, int64(0), int64(0), map[string]int{}
			for _, c := range conns {
				if !c.Closed() {
					count++
					cost += c.cost
					largest = max(largest, c.cost)
					byAddr[c.addr]++
				}
			}
			open, charged := table.Usage()
			if open != count || charged != cost {
				t.Fatalf("%d open, %d counted; cost %d, counted %d", count, open, cost, charged)
			}
			if count > limits.Conns || (cost > limits.HeadCost && cost > largest) {
				t.Fatalf("%d connections of cost %d, the largest %d", count, cost, largest)
			}
			for addr, n := range byAddr {
				if limits.ConnsPerAddr > 0 && n > limits.ConnsPerAddr {
					t.Fatalf("%d connections of %s", n, addr)
				}
			}
			if t.Failed() {
				return
			}
		}
	})
}
