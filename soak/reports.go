package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// Figures of the settings in settingsTemplate.
const (
	usageWindow = time.Second
	// minTurn is the time within which two instances may not call the platform's API in turns.
	minTurn = 3 * time.Second
)

// injectAPIFaults makes the platform's API fail in drawn ways until stop is closed.
func injectAPIFaults(f *fleet, seed uint64, stop <-chan struct{}) {
	faults := []hostedtest.APIFault{
		hostedtest.APINone, hostedtest.APITooMany, hostedtest.APISlow, hostedtest.APISilent, hostedtest.APIReset, hostedtest.APILoseAnswer, hostedtest.APIDelay,
	}
	rng := rand.New(rand.NewPCG(seed, 6))
	f.api.SetLateness(faultDuration)
	every(stop, faultDuration, func() {
		fault := faults[rng.IntN(len(faults))]
		f.api.SetFault(func(*http.Request) hostedtest.APIFault { return fault })
		f.api.RunDelayed()
	})
	f.api.SetFault(nil)
	f.api.RunDelayed()
}

// checkReports waits until the usage windows up to now are reported, as long as one is reported within each settleTimeout. It notes
// those that are not, and what the API has to say about the reports, tokens and holders that it has seen.
func (o *observations) checkReports(f *fleet) {
	last := time.Now().UnixNano() / int64(usageWindow)
	count, progressAt := 0, time.Now()
	for time.Since(progressAt) < settleTimeout {
		reported := f.api.Counts()
		if _, done := reported[last]; done {
			break
		}
		if len(reported) > count {
			count, progressAt = len(reported), time.Now()
		}
		time.Sleep(50 * time.Millisecond)
	}
	reported := f.api.Counts()
	first := last
	for window := range reported {
		first = min(first, window)
	}
	for window := first; window <= last; window++ {
		if _, ok := reported[window]; !ok {
			o.addViolation("usage window %d is not reported (first %d, last %d)", window, first, last)
		}
	}
	for _, violation := range f.api.Violations(minTurn) {
		o.addViolation("platform's API: %s", violation)
	}
}
