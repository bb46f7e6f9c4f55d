// Package quarantine stops requests that crash the back ends which run them.
//
// A client that gets no answer sends its request again, and each attempt looks new: it has another id, comes to another
// instance and goes to another back end. The package counts crashes by the request's fingerprint, shares them with all
// instances through the store, and quarantines a fingerprint after crashes of two back ends. One crash convicts nobody,
// because every request that ran at the back end is equally suspect, and a request that only stood beside the cause is
// answered by the next back end. Crashes are also counted by endpoint, see EndpointOf.
//
// Load pattern: a service has three back ends; a request ends each that begins to run it, within a tenth of a second, and
// its caller tries again for seconds. A back end is back after some seconds.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"time"
)

const (
	// firstHold is the time of the first quarantine. It is short, because two crashes may still be a coincidence.
	// Afterwards one send tells; if it ends in a crash, the quarantine lasts repeatedHold, and twice as long after
	// each further crash, up to maxHold.
	firstHold    = 30 * time.Second
	repeatedHold = 10 * time.Minute
	maxHold      = time.Hour
	// suspicionTime is the time after which crashes without a quarantine are forgotten, and also the time after a
	// quarantine after which its crashes are.
	suspicionTime = time.Minute
	// commonCauseWindow is the time within which crashes of several back ends count as one: they have a common cause, such
	// as a power cut, rather than the request, which reaches one back end after the other.
	commonCauseWindow = 20 * time.Millisecond
	// maxCrashes bounds the crashes that are kept of a fingerprint.
	maxCrashes = 16
)

// Threshold is the number of crashes after which a request is quarantined.
type Threshold int

// Thresholds of callers' requests and of those that are owed, such as reward calls: a quarantine of an innocent one delays a
// trainer's step.
const (
	CallerThreshold Threshold = 2
	OwedThreshold   Threshold = 3
)

// Fingerprint identifies requests that are the same to a back end: those with the same host, method, target and body. Each
// attempt has an id of its own, and the clients of one account have many addresses, so that neither is a part of it.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(host, method, target string, body []byte) Fingerprint {
	return fingerprintOf([]byte(host), []byte(method), []byte(target), body)
}

// fingerprintOf returns a hash of the parts that also depends on where one ends and the next begins.
func fingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:16])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Crash is the end of a back end's process while it ran a request.
type Crash struct {
	Backend       string `cbor:"1,keyasint"`
	StartedUnixMs int64  `cbor:"2,keyasint"`
	AtUnixMs      int64  `cbor:"3,keyasint"`
}

// History holds the crashes under one fingerprint, the oldest first.
type History struct{ Crashes []Crash }

// with returns the history with a further crash, and whether that adds anything: a run of a back end crashes once.
func (h History) with(c Crash) (History, bool) {
	if len(h.Crashes) >= maxCrashes {
		return h, false
	}
	for _, known := range h.Crashes {
		if known.Backend == c.Backend && known.StartedUnixMs == c.StartedUnixMs {
			return h, false
		}
	}
	crashes := append(slices.Clone(h.Crashes), c)
	slices.SortStableFunc(crashes, func(a, b Crash) int { return cmp.Compare(a.AtUnixMs, b.AtUnixMs) })
	return History{Crashes: crashes}, true
}

// count returns the number of crashes, where those within commonCauseWindow of one another count as one.
func (h History) count() int {
	n, last := 0, time.Time{}
	for _, c := range h.Crashes {
		if at := time.UnixMilli(c.AtUnixMs); n == 0 || at.Sub(last) >= commonCauseWindow {
			n, last = n+1, at
		}
	}
	return n
}

// without returns the history without the crash of a run of a back end.
func (h History) without(backend string, startedUnixMs int64) History {
	var kept []Crash
	for _, c := range h.Crashes {
		if c.Backend != backend || c.StartedUnixMs != startedUnixMs {
			kept = append(kept, c)
		}
	}
	return History{Crashes: kept}
}

// lastAt returns the time of the latest crash.
func (h History) lastAt() time.Time {
	latest := int64(0)
	for _, c := range h.Crashes {
		latest = max(latest, c.AtUnixMs)
	}
	return time.UnixMilli(latest)
}

// hold returns how long a request with the given threshold is quarantined after the last of a number of crashes.
func (t Threshold) hold(crashes int) time.Duration {
	if crashes < int(t) {
		return 0
	}
	if crashes == int(t) {
		return firstHold
	}
	d := repeatedHold
	for range crashes - int(t) - 1 {
		if d *= 2; d >= maxHold {
			return maxHold
		}
	}
	return d
}

// isForgotten reports whether the crashes are so old that they no longer count.
func (h History) isForgotten(now time.Time) bool {
	return now.Sub(h.lastAt()) > CallerThreshold.hold(h.count())+suspicionTime
}

// Verdict is what a history says about further sends.
type Verdict struct {
	// Crashes is the number of crashes under the request.
	Crashes int
	// BlockedFor is the remaining time of the quarantine of the request or its endpoint; 0 if there is none.
	BlockedFor time.Duration
	// IsConvicted states that the request is not sent again after a failure, even if nothing blocks it at the moment.
	IsConvicted bool
}

// IsSuspect reports whether a request is sent to one back end at a time only, so that it is not hedged.
func (v Verdict) IsSuspect() bool { return v.Crashes > 0 }

// verdict returns the verdict at now on a request with the given threshold.
func (h History) verdict(now time.Time, t Threshold) Verdict {
	if h.isForgotten(now) {
		return Verdict{}
	}
	n := h.count()
	return Verdict{Crashes: n, BlockedFor: max(0, h.lastAt().Add(t.hold(n)).Sub(now)), IsConvicted: n >= int(t)}
}

// MayRisk reports whether a request may be sent to one more back end of a service: a suspect request is not while others
// have crashed and only one is left. If it is the cause of the crashes, nobody would be served any more.
func (v Verdict) MayRisk(available, crashed int) bool {
	return !v.IsSuspect() || crashed == 0 || available > 1
}
