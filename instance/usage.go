package instance

import (
	"context"
	"time"

	"github.com/cicadasill/cicadasill/platform/hosted"
	"github.com/cicadasill/cicadasill/truetime"
	"github.com/cicadasill/cicadasill/usage"
)

// defaultAPICallsPerS is the rate of calls of the platform's API if the settings do not tell.
const defaultAPICallsPerS = 10

// usageReports are the parts of an instance that count and report usage.
type usageReports struct {
	counter  *usage.Counter
	reporter *usage.Reporter
}

// reportsUsage reports whether the deployment's platform expects usage reports.
func (s *Settings) reportsUsage() bool {
	return s.PlatformAPI.Addr != "" && hosted.ParseAPIDuties(s.PlatformAPI.Duties).Usage && s.Usage.WindowS.Value > 0 && s.Usage.DueS.Value > 0
}

// buildUsage creates the parts that count and report usage; nil if the deployment has no usage reports.
func (i *Instance) buildUsage() *usageReports {
	s := i.settings
	if !s.reportsUsage() {
		return nil
	}
	clock := truetime.NewClock(i.self.ID)
	clock.RegisterMetrics(i.registry)
	i.presence.SetClock(clock)
	windows := usage.Windows{Length: seconds(s.Usage.WindowS.Value), Due: seconds(s.Usage.DueS.Value)}
	return &usageReports{
		counter: usage.NewCounter(usage.CounterOptions{
			Self: i.self, Windows: windows, Clock: clock, Log: i.store, Instances: i.presence.Count, Logger: i.log, Registerer: i.registry,
		}),
		reporter: usage.NewReporter(usage.ReporterOptions{
			Self: i.self, Windows: windows, Clock: clock, Log: i.store, Duty: i.orders, Platform: i.platformAPI,
			CallsPerS: s.PlatformAPI.CallsPerS.Or(defaultAPICallsPerS), Logger: i.log, Registerer: i.registry,
		}),
	}
}

// observer returns the function that counts a request of an account, or nil if nobody counts them.
func (u *usageReports) observer() func(account string, at time.Duration) {
	if u == nil {
		return nil
	}
	return u.counter.RequestBegan
}

// run counts and reports usage until ctx ends.
func (u *usageReports) run(ctx context.Context) {
	if u == nil {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		u.counter.Run(ctx)
	}()
	u.reporter.Run(ctx)
	<-done
}

// flush stores the counts of an instance that has answered its last request.
func (u *usageReports) flush(ctx context.Context) {
	if u != nil {
		u.counter.Flush(ctx)
	}
}
