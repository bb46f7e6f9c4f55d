package quarantine

import "time"

// Limits of the quarantine of an endpoint.
const (
	// endpointThreshold is the number of crashes without an answer in between after which an endpoint is quarantined.
	endpointThreshold = 3
	// firstEndpointHold is the time of the first quarantine, which doubles with each further crash up to
	// maxEndpointHold. It is shorter than that of a request, because an endpoint may have many callers.
	firstEndpointHold = 10 * time.Second
	maxEndpointHold   = 10 * time.Minute
	// probeTime is the time that an instance gives one request to tell whether back ends survive it.
	probeTime = 2 * time.Second
)

// EndpointOf returns the fingerprint of all requests with the same host, method and target, whatever their bodies.
//
// Load pattern: calls at one endpoint, each with a body of its own, crash the back ends that run them. No request comes again,
// so that counting crashes by request never stops them. Endpoints whose other requests are answered are not affected.
func EndpointOf(host, method, target string) Fingerprint {
	return fingerprintOf([]byte(host), []byte(method), []byte(target))
}

// Identity holds the fingerprints under which the crashes of a request are counted.
type Identity struct{ Request, Endpoint Fingerprint }

// IdentityOf returns the fingerprints of a request.
func IdentityOf(host, method, target string, body []byte) Identity {
	return Identity{Request: FingerprintOf(host, method, target, body), Endpoint: EndpointOf(host, method, target)}
}

// isQuarantinedEndpoint reports whether the crashes at an endpoint quarantine it, also while probes are allowed.
func (h History) isQuarantinedEndpoint(now time.Time) bool {
	return h.count() >= endpointThreshold && !h.isForgotten(now)
}

// probeAfter returns the time until the instance with the given rank may send one request to a quarantined endpoint, or 0.
// The instances take turns, the first in rank first, since any of their requests may crash one more back end.
func (h History) probeAfter(now time.Time, rank int) time.Duration {
	hold := firstEndpointHold
	for range h.count() - endpointThreshold {
		if hold *= 2; hold >= maxEndpointHold {
			hold = maxEndpointHold
			break
		}
	}
	return max(0, h.lastAt().Add(hold*time.Duration(1+rank)).Sub(now))
}

// checkEndpoint returns how long requests to an endpoint are blocked here, and whether the endpoint is quarantined. If it is
// and requests are not blocked, the caller is to send one; others are blocked for probeTime. The caller holds t.mu.
func (t *Table) checkEndpoint(now time.Time, endpoint Fingerprint) (blockedFor time.Duration, quarantined bool) {
	h := t.known[endpoint]
	if !h.isQuarantinedEndpoint(now) {
		delete(t.probes, endpoint)
		return 0, false
	}
	if wait := h.probeAfter(now, t.opts.Rank(endpoint.String())); wait > 0 {
		return wait, true
	}
	if wait := t.probes[endpoint].Add(probeTime).Sub(now); wait > 0 {
		return wait, true
	}
	t.probes[endpoint] = now
	return 0, true
}
