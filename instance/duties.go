package instance

import (
	"time"

	"github.com/cicadasill/cicadasill/duty"
	"github.com/cicadasill/cicadasill/platform/hosted"
)

// defaultLease is the time within which holders may not act in turns if the receivers check no fencing tokens and the settings
// do not tell.
const defaultLease = 3 * time.Second

// dutyRules returns how the receivers of a holder's calls judge them.
func (s DutySettings) dutyRules() duty.Rules {
	rules := duty.Rules{Unfenced: s.FencesEnforced.Set && !s.FencesEnforced.Value}
	switch {
	case s.LeaseMs.Set:
		rules.MinTurn = time.Duration(s.LeaseMs.Value * float64(time.Millisecond))
	case rules.Unfenced:
		rules.MinTurn = defaultLease
	}
	return rules
}

// newPlatformAPI returns the client of the platform's API, or nil if the deployment has none.
func (i *Instance) newPlatformAPI() *hosted.PlatformAPI {
	if i.settings.PlatformAPI.Addr == "" {
		return nil
	}
	return hosted.NewPlatformAPI(i.settings.PlatformAPI.Addr, i.settings.Instance.ID, i.log, i.registry)
}

// protectOrders sets the rules of the duty, and makes each order under it be checked right before it is sent where only the
// holders can keep their calls in order.
func (i *Instance) protectOrders(engines *hosted.Backends) {
	rules := i.settings.Duties.dutyRules()
	i.orders.SetRules(rules)
	if !rules.Unfenced {
		return
	}
	engines.CheckOrders(i.orders.Check)
	if i.platformAPI != nil {
		i.platformAPI.CheckCalls(i.orders.Check)
	}
}
