package instance

import (
	"context"

	"github.com/cicadasill/cicadasill/platform/hosted"
	"github.com/cicadasill/cicadasill/provision"
)

// newCapacityScheduler returns the task that orders back ends, or nil if the platform does not offer it. It makes the heartbeats state
// the slots that the work of this instance needs.
func (i *Instance) newCapacityScheduler() func(context.Context) {
	s := i.settings
	if i.platformAPI == nil || !hosted.ParseAPIDuties(s.PlatformAPI.Duties).Capacity {
		return nil
	}
	i.presence.StateNeed(i.slotsNeeded)
	scheduler := provision.New(provision.Options{
		Holder: i.self.ID, Directory: i.directory, Duty: i.orders, Config: i.config.Load, Need: i.presence.Need,
		Sender:        i.platformAPI,
		IsViewCurrent: func() bool { return i.entries.Age() < maxStoreSilence },
		CallsPerS:     s.PlatformAPI.CallsPerS.Or(0), Logger: i.log, Metrics: provision.NewMetrics(i.registry),
	})
	return scheduler.Run
}

// slotsNeeded returns, by service whose back ends can be ordered, the slots that the work of this instance needs: those of its open jobs, and
// those that its other requests take now.
func (i *Instance) slotsNeeded() map[string]int {
	config := i.config.Load()
	if config == nil || !config.HasScaling() {
		return nil
	}
	need := map[string]int{}
	due := i.driver.SlotsDue()
	for name, service := range config.Services {
		if service.Scaling == nil {
			continue
		}
		if slots := due[name].Needed + max(0, i.directory.InFlight(name)-due[name].Started); slots > 0 {
			need[name] = slots
		}
	}
	return need
}
