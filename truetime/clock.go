package truetime

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/timing"
)

// Clock tells the estimated true time.
type Clock struct{ *Estimator }

// NewClock returns the clock of the instance with the id self. It shows the own time of day until readings of others arrive.
func NewClock(self string) *Clock { return &Clock{NewEstimator(self)} }

// Now returns the estimated true time.
func (c *Clock) Now() time.Time { return c.At(timing.SinceBoot()) }

// At returns the estimated true time at a moment of this instance's clock since boot.
func (c *Clock) At(boot time.Duration) time.Time { return time.Unix(0, int64(c.Offset(Read())+boot)) }

// OwnError returns how far the own time of day is ahead of the estimated true time.
func (c *Clock) OwnError() time.Duration {
	r := Read()
	return r.Wall - r.Boot - c.Offset(r)
}

// Read reads the clocks of this machine.
func Read() Reading {
	return Reading{Wall: time.Duration(time.Now().UnixNano()), Boot: timing.SinceBoot()}
}

// RegisterMetrics registers the clock's metrics.
func (c *Clock) RegisterMetrics(registerer prometheus.Registerer) {
	registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cicadasill_clock_ahead_seconds",
		Help: "How far this machine's time of day is ahead of the estimated true time."}, func() float64 { return c.OwnError().Seconds() }))
}
