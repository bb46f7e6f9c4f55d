package daemon

import (
	"runtime/debug"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/telemetry"
)

// Guards against a setting that another source overrides, against GOMEMLIMIT that is not taken for the memory of the machine, and
// against a soft limit that leaves no room for the rest of the process.
func TestMemoryOfTheMachine(t *testing.T) {
	is := is.New(t)
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	debug.SetMemoryLimit(100 << 20) // as GOMEMLIMIT does
	is.Equal(limitMemory(0, telemetry.Discard()), int64(100<<20))
	is.Equal(debug.SetMemoryLimit(-1), int64(60<<20))
	is.Equal(limitMemory(500, telemetry.Discard()), int64(500<<20))
	debug.SetMemoryLimit(1 << 62) // more than any machine has
	is.True(limitMemory(0, telemetry.Discard()) < 1<<62)
}
