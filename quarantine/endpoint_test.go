package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Replays calls with bodies of their own that crash the back ends of one endpoint: nine instances make one each 200 ms for a
// minute. Guards against probes of all instances at once, which take several back ends away.
func TestCrashingEndpointReachesFewBackEnds(t *testing.T) {
	is := is.New(t)
	now, h, crashes := time.Now(), History{}, 0
	for at := time.Duration(0); at < time.Minute; at += 200 * time.Millisecond {
		for rank := range 9 {
			if t := now.Add(at); h.isQuarantinedEndpoint(t) && h.probeAfter(t, rank) > 0 {
				continue
			}
			crashes++
			h, _ = h.with(crashAt(crashes, now.Add(at+time.Duration(rank)*commonCauseWindow)))
		}
	}
	is.True(crashes <= endpointThreshold+3)
}

// Guards against an endpoint that nobody probes because the first instance in turn has no requests to it, and against a
// quarantine without end.
func TestEndpointIsProbedByTheNextInstance(t *testing.T) {
	is := is.New(t)
	now, h := time.Now(), History{}
	for n := range endpointThreshold {
		is.True(!h.isQuarantinedEndpoint(now))
		h, _ = h.with(crashAt(n, now.Add(time.Duration(n)*commonCauseWindow)))
	}
	is.True(h.isQuarantinedEndpoint(now.Add(time.Second)))
	is.True(h.probeAfter(now.Add(time.Second), 0) > 0)
	is.Equal(h.probeAfter(now.Add(firstEndpointHold+time.Second), 0), time.Duration(0))
	is.True(h.probeAfter(now.Add(firstEndpointHold+time.Second), 1) > 0)
	is.Equal(h.probeAfter(now.Add(2*firstEndpointHold+time.Second), 1), time.Duration(0))
	for n := range maxCrashes {
		h, _ = h.with(crashAt(10+n, now.Add(time.Duration(n)*time.Second)))
	}
	is.True(h.probeAfter(now.Add(time.Minute), 0) <= maxEndpointHold)
	is.True(!h.isQuarantinedEndpoint(now.Add(2 * maxHold)))
}

// Guards against endpoints that are held for one another, and against a request whose fingerprint is that of an endpoint.
func TestEndpointFingerprint(t *testing.T) {
	is := is.New(t)
	is.Equal(EndpointOf("host", "POST", "/a"), IdentityOf("host", "POST", "/a", []byte("body")).Endpoint)
	is.True(EndpointOf("host", "POST", "/a") != EndpointOf("host", "POST", "/a?x=1"))
	is.True(EndpointOf("host", "POST", "/a") != FingerprintOf("host", "POST", "/a", nil))
}
