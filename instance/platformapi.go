package instance

import "github.com/cicadasill/cicadasill/platform/hosted"

// platformAPI returns the client of the platform's API, which the holders of all duties share. It must not be called at the same time by several
// goroutines, nor without an address in the settings.
func (i *Instance) platformAPI() *hosted.PlatformAPI {
	if i.platform == nil {
		i.platform = hosted.NewPlatformAPI(i.settings.PlatformAPI.Addr, i.self.ID, i.log, i.registry)
		if i.settings.Duties.dutyRules().Unfenced {
			i.platform.CheckCalls(i.orders.Check)
		}
	}
	return i.platform
}
