package timing_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/timing"
)

// Guards against a measurement that records no lateness, or that records the interval of the timer
// instead of its lateness.
func TestLagIsMeasured(t *testing.T) {
	is := is.New(t)
	l := timing.NewLagMeter()
	is.Equal(l.Percentile(100), time.Duration(0))
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	l.Run(ctx)
	is.True(l.Percentile(100) > 0)
	is.True(l.Percentile(0) <= l.Percentile(100))
}
