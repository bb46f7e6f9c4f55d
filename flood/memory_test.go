package flood

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Sizes and times of the tests of a Memory.
const (
	mb    = 1 << 20
	stall = time.Second
)

var testLimits = MemoryLimits{Large: 10 * mb, Ordinary: mb, Small: 4 * SmallSize, StallTime: stall}

// at returns a time after the start of a test.
func at(d time.Duration) time.Time { return time.Unix(1, 0).Add(d) }

// mustResize sets the size of a share that fits without victims.
func mustResize(is *is.I, m *Memory, s *Share, size int64, now time.Time) {
	is.Helper()
	victims, ok := m.Resize(s, size, 0, now)
	is.True(ok)
	is.Equal(len(victims), 0)
}

// Guards against bodies that stall and keep others out, against a victim that has just made progress, and against more victims
// than are needed.
func TestStalledSharesGiveWay(t *testing.T) {
	is := is.New(t)
	m := NewMemory(testLimits)
	first, second, third := m.Open(0, at(0)), m.Open(0, at(0)), m.Open(0, at(0))
	for n, s := range []*Share{first, second, third} {
		mustResize(is, m, s, 3*mb, at(time.Duration(n)))
	}
	m.Progress(first, at(stall/2))
	newcomer := m.Open(0, at(stall-1))
	victims, ok := m.Resize(newcomer, 3*mb, 0, at(stall-1))
	is.True(!ok) // nobody has stalled yet
	is.Equal(len(victims), 0)
	is.Equal(newcomer.Size(), int64(0))
	victims, ok = m.Resize(newcomer, 3*mb, 0, at(stall+2))
	is.True(ok)
	is.Equal(victims, []*Share{second}) // first has made progress since
	is.Equal(m.Used(), int64(9*mb))
	victims, ok = m.Resize(newcomer, 10*mb, 0, at(stall+3))
	is.True(!ok) // third alone is not enough, and keeps its memory
	is.Equal(len(victims), 0)
	is.Equal(third.Size(), int64(3*mb))
	is.Equal(newcomer.Size(), int64(0)) // a refused share leaves its memory to those that grow
}

// Guards against a request that is being answered and gives way.
func TestSettledSharesStay(t *testing.T) {
	is := is.New(t)
	m := NewMemory(testLimits)
	settled := m.Open(0, at(0))
	mustResize(is, m, settled, 8*mb, at(0))
	m.Settle(settled)
	victims, ok := m.Resize(m.Open(0, at(time.Hour)), 8*mb, 0, at(time.Hour))
	is.True(!ok)
	is.Equal(len(victims), 0)
	m.Close(settled)
	is.Equal(m.Used(), int64(0))
}

// Guards against large bodies that keep ordinary and small ones out, and against small ones that have more than their part and
// keep it from the others.
func TestLargeSharesLeaveRoomForSmallerOnes(t *testing.T) {
	is := is.New(t)
	m := NewMemory(testLimits)
	mustResize(is, m, m.Open(0, at(0)), 10*mb, at(0))
	for range 2 {
		mustResize(is, m, m.Open(0, at(0)), OrdinarySize, at(0))
	}
	_, ok := m.Resize(m.Open(0, at(0)), OrdinarySize, 0, at(0))
	is.True(!ok)
	for range 4 {
		mustResize(is, m, m.Open(0, at(0)), SmallSize, at(0))
	}
	_, ok = m.Resize(m.Open(0, at(0)), SmallSize, 0, at(0))
	is.True(!ok)
}

// Guards against the largest body of the configuration that never fits, because it exceeds the limits of the machine or takes several
// times its bytes, and against other memory that is not counted.
func TestAllowedShareFitsAlone(t *testing.T) {
	is := is.New(t)
	m := NewMemory(testLimits)
	small := m.Open(0, at(0))
	mustResize(is, m, small, 2*SmallSize, at(0))
	s := m.Open(12*mb, at(0))
	mustResize(is, m, s, 36*mb, at(0))
	is.Equal(s.Size(), int64(12*mb))
	m.Close(s)
	_, ok := m.Resize(m.Open(0, at(0)), 6*mb, 5*mb, at(0))
	is.True(!ok)
}

// Guards against answers that nobody reads and that take ever more memory, and against one that is cut while there is room for it.
func TestHeldSharesGiveWayBeyondTheLimits(t *testing.T) {
	is := is.New(t)
	m := NewMemory(MemoryLimits{Large: 4 * mb, StallTime: stall})
	var open []*Share
	for n := range 5 {
		s := m.Open(0, at(0))
		is.Equal(len(m.Hold(s, mb, at(time.Duration(n)))), 0) // a quarter beyond the limit nobody gives way who has made progress
		open = append(open, s)
	}
	is.Equal(m.Hold(m.Open(0, at(9)), mb, at(9)), open[:1])
	victims := m.Hold(m.Open(0, at(stall+9)), mb, at(stall+9))
	is.Equal(victims, open[1:3]) // all have stalled, and as many give way as exceed the limit
	is.Equal(m.Used(), int64(4*mb))
}

// Guards against sums that drift, and against shares beyond the limits, in any order of calls.
func TestMemoryOfDrawnCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMemory(testLimits)
		open := map[*Share]bool{}
		shares := []*Share{}
		now := at(0)
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, int(stall)).Draw(t, "pause")))
			if len(shares) == 0 || rapid.Bool().Draw(t, "opens") {
				s := m.Open(0, now)
				shares, open[s] = append(shares, s), true
			}
			s := shares[rapid.IntRange(0, len(shares)-1).Draw(t, "share")]
			if !open[s] {
				continue
			}
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0, 1:
				victims, _ := m.Resize(s, rapid.Int64Range(0, 4*mb).Draw(t, "size"), 0, now)
				for _, victim := range victims {
					open[victim] = false
				}
			case 2:
				m.Settle(s)
			case 3:
				m.Close(s)
				open[s] = false
			}
			total := int64(0)
			for s, isOpen := range open {
				if !isOpen && s.Size() != 0 {
					t.Fatal("a closed share has a size")
				}
				total += s.Size()
			}
			if total != m.Used() || total > testLimits.Large+testLimits.Ordinary+testLimits.Small {
				t.Fatalf("%d bytes in shares, %d in use", total, m.Used())
			}
		}
	})
}
