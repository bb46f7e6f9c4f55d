package forward

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/balance"
)

// choose returns the best back end of a service that has not been tried, or nil. See chooseOf.
func (f *Forwarder) choose(service string, tried map[*backends.Backend]bool, spareRateLimited bool) *backends.Backend {
	return f.chooseOf(service, "", tried, spareRateLimited)
}

// chooseOf returns the best back end of a service that has not been tried and runs the given version of the software, "" for any, or
// nil: one with few requests of this instance in flight, preferably in the own data centre. A back end to be avoided is chosen only if
// there is no other, one whose rate limit allows no request now not at all.
func (f *Forwarder) chooseOf(service, software string, tried map[*backends.Backend]bool, spareRateLimited bool) *backends.Backend {
	var best *backends.Candidate
	list := f.opts.Backends.Candidates(service, "")
	now := time.Now()
	for i := range list {
		c := &list[i]
		if software != "" && c.Software != software {
			continue
		}
		if !tried[c.Backend] && !now.Before(c.ThrottledUntil) && (best == nil || f.compareCandidates(c, best, spareRateLimited) < 0) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.Backend
}

// firstPermitted returns the back end of a service whose rate limit is the first to allow a request, and the time until
// then. It returns nil if no back end of the service is throttled.
func (f *Forwarder) firstPermitted(service string) (*backends.Backend, time.Duration) {
	var first *backends.Candidate
	list := f.opts.Backends.Candidates(service, "")
	now := time.Now()
	for i := range list {
		c := &list[i]
		if now.Before(c.ThrottledUntil) && (first == nil || c.ThrottledUntil.Before(first.ThrottledUntil)) {
			first = c
		}
	}
	if first == nil {
		return nil, 0
	}
	return first.Backend, first.ThrottledUntil.Sub(now)
}

// compareCandidates returns a negative number if a is the better choice, a positive one if b is. spareRateLimited prefers back
// ends without a rate limit.
func (f *Forwarder) compareCandidates(a, b *backends.Candidate, spareRateLimited bool) int {
	return cmp.Or(
		compareBool(a.Avoid, b.Avoid),
		cmp.Compare(a.InFlight/loadBucketWidth, b.InFlight/loadBucketWidth),
		compareBool(spareRateLimited && a.RateLimited, spareRateLimited && b.RateLimited),
		compareBool(a.Zone != f.opts.DataCentre, b.Zone != f.opts.DataCentre),
		cmp.Compare(a.InFlight, b.InFlight),
		balance.Compare(f.opts.Self, a.ID, b.ID),
	)
}

// rateLimitRecheck is the ratio of all requests to those that treat back ends with a rate limit like the others. The end of a
// limit shows only in an answer, so that a back end without requests would keep its limit for good.
const rateLimitRecheck = 10

// sparesRateLimited reports whether the request with the given id avoids back ends with a rate limit while another one is
// free. Those back ends are in trouble, and a permit for them takes a call to another instance.
func sparesRateLimited(id string) bool { return xxhash.Sum64String(id)%rateLimitRecheck != 0 }

// loadBucketWidth is the number of requests in flight per load bucket. In the same bucket, a back end in
// the own data centre is preferred to one in another.
const loadBucketWidth = 4

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
