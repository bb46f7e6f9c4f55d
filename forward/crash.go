package forward

import (
	"errors"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/quarantine"
)

// fingerprintOf returns the fingerprint of a request.
func fingerprintOf(r *Request) quarantine.Fingerprint {
	return quarantine.FingerprintOf(r.Host, r.Method, r.Target, r.Body)
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
	return f.opts.Quarantine.Check(fingerprintOf(r), thresholdOf(r))
}

// refusalByQuarantine returns the refusal of a quarantined request.
func refusalByQuarantine(r *Request, v quarantine.Verdict) *RefusedError {
	return &RefusedError{RetryAfter: v.BlockedFor, Err: &quarantine.BlockedError{Fingerprint: fingerprintOf(r), Crashes: v.Crashes}}
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
	fingerprint := fingerprintOf(r)
	*v = f.opts.Quarantine.RecordCrash(fingerprint, thresholdOf(r), b.ID, b.StartedUnixMs)
	f.opts.Logger.Warn("back end crashed during a request", "request", r.ID, "fingerprint", fingerprint.String(),
		"backend", b.ID, "started_ms", b.StartedUnixMs, "crashes", v.Crashes, "blocked_for", v.BlockedFor, "err", err)
	return true
}

// recordAnswer clears a request under which back ends have crashed, after an answer to it.
func (f *Forwarder) recordAnswer(r *Request, v quarantine.Verdict) {
	if v.IsSuspect() {
		f.opts.Quarantine.RecordAnswer(fingerprintOf(r))
	}
}
