package forward

import (
	"errors"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/quarantine"
)

// identityOf returns the fingerprints of a request.
func identityOf(r *Request) quarantine.Identity {
	return quarantine.IdentityOf(r.Host, r.Method, r.Target, r.Body)
}

// thresholdOf returns the number of crashes after which a request is quarantined.
func thresholdOf(r *Request) quarantine.Threshold {
	if r.Owed {
		return quarantine.OwedThreshold
	}
	return quarantine.CallerThreshold
}

// IsHeldBack reports whether a request has been refused on suspicion of crashes rather than for lack of room.
func IsHeldBack(err error) bool {
	var blocked *quarantine.BlockedError
	return errors.As(err, &blocked) || errors.Is(err, errLastBackend)
}

// errLastBackend is the cause of a refusal if a request is suspected of crashes and only one back end is left.
var errLastBackend = errors.New("a back end has crashed during this request, and only one other is left")

// mayRisk reports whether a request with the given verdict may be sent to one more back end of a service.
func (f *Forwarder) mayRisk(service string, v quarantine.Verdict) bool {
	if !v.IsSuspect() {
		return true // the usual case, without a look at the back ends
	}
	return v.MayRisk(len(f.opts.Backends.Candidates(service, "")), f.opts.Backends.Crashed(service))
}

// check returns the verdict on a request before it is sent.
func (f *Forwarder) check(r *Request) quarantine.Verdict {
	if f.opts.Quarantine.Len() == 0 {
		return quarantine.Verdict{}
	}
	return f.opts.Quarantine.Check(identityOf(r), thresholdOf(r))
}

// refusalByQuarantine returns the refusal of a quarantined request.
func refusalByQuarantine(r *Request, v quarantine.Verdict) *RefusedError {
	return &RefusedError{RetryAfter: v.BlockedFor, Err: &quarantine.BlockedError{Identity: identityOf(r), Crashes: v.Crashes}}
}

// recordCrash counts the crash that err reports, if any, and updates the verdict on further sends. It reports whether there
// was a crash.
func (f *Forwarder) recordCrash(r *Request, b *backends.Backend, err error, v *quarantine.Verdict) bool {
	var (
		unknown   *UnknownError
		truncated *TruncatedError
	)
	isCrash := (errors.As(err, &unknown) && unknown.Crashed) || (errors.As(err, &truncated) && truncated.Crashed)
	if !isCrash {
		return false
	}
	f.crashes.Inc()
	id := identityOf(r)
	*v = f.opts.Quarantine.RecordCrash(id, thresholdOf(r), b.ID, b.StartedUnixMs)
	f.opts.Logger.Warn("back end crashed during a request", "request", r.ID, "fingerprint", id.Request.String(),
		"endpoint", id.Endpoint.String(), "backend", b.ID, "started_ms", b.StartedUnixMs, "crashes", v.Crashes, "blocked_for", v.BlockedFor, "err", err)
	return true
}

// recordAnswer clears a request and its endpoint, after an answer.
func (f *Forwarder) recordAnswer(r *Request) {
	if f.opts.Quarantine.Len() > 0 {
		f.opts.Quarantine.RecordAnswer(identityOf(r))
	}
}
