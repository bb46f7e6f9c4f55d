package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a deployment that never reports a present window: an instance whose time of day was wrong until it read those of others
// counted a request years ago, and all windows since are reported first, one after the other.
func TestFirstWindowIsNotYearsAgo(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	now := windows.End(10_000_000)
	l.byInstance[7] = map[string]counts{"7/a": {Total: 1, ByAccount: map[string]int64{"x": 1}}}
	first, known := l.first(windows, now, time.Minute)
	is.True(known)
	is.True(first >= windows.At(now)-2*maxOpenWindows) // counters keep the counts of maxOpenWindows
}
