package provision

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against orders beyond the platform's limit of calls in the first second: those that it refuses for that count as unanswered, and
// their pools get no further order for the boot time.
func TestFirstOrdersKeepTheLimitOfCalls(t *testing.T) {
	is := is.New(t)
	const callsPerS = 10
	s := New(Options{CallsPerS: callsPerS})
	calls := 0
	for now := time.Second; now < 2*time.Second; now += planInterval {
		for s.mayCall(now) {
			calls++
		}
	}
	is.True(calls <= callsPerS)
}
