package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// crashAt returns a crash of a back end at a time.
func crashAt(backend int, at time.Time) Crash {
	return Crash{Backend: fmt.Sprint(backend), StartedUnixMs: 1, AtUnixMs: at.UnixMilli()}
}

// Replays one request that ends each back end within a tenth of a second, and whose caller tries again every 200 ms for a
// minute and a half. Guards against a quarantine that ends before the caller gives up, again and again.
func TestCrashingRequestReachesFewBackEnds(t *testing.T) {
	is := is.New(t)
	now, h, crashes := time.Now(), History{}, 0
	for at := time.Duration(0); at < 90*time.Second; at += 200 * time.Millisecond {
		v := h.verdict(now.Add(at), CallerThreshold)
		if v.BlockedFor > 0 {
			continue
		}
		crashes++
		h, _ = h.with(crashAt(crashes, now.Add(at)))
	}
	is.Equal(crashes, int(CallerThreshold)+1) // one more after the first quarantine
}

// Guards against a verdict after a single crash, and after crashes with a common cause such as a power cut, in whatever order
// instances learn of them.
func TestCommonCauseConvictsNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, h := time.Now(), History{}
		for i := range rapid.IntRange(1, 9).Draw(t, "back_ends") {
			at := now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "ms")) * time.Millisecond)
			h, _ = h.with(crashAt(i, at))
			again := at.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "again_ms")) * time.Millisecond)
			h, _ = h.with(crashAt(i, again)) // seen by another instance
		}
		if v := h.verdict(now.Add(time.Second), CallerThreshold); v.IsConvicted || v.BlockedFor > 0 {
			t.Fatalf("verdict %+v", v)
		}
	})
}

// Guards against a suspicion or a conviction that lasts for good.
func TestCrashesAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	h, _ := History{}.with(crashAt(1, now))
	is.True(h.verdict(now.Add(time.Second), CallerThreshold).IsSuspect())
	is.True(!h.verdict(now.Add(suspicionTime+time.Second), CallerThreshold).IsSuspect())
	h, _ = h.with(crashAt(2, now.Add(time.Second)))
	is.Equal(h.verdict(now.Add(2*time.Second), CallerThreshold).BlockedFor.Round(time.Second), firstHold-time.Second)
	probation := h.verdict(now.Add(firstHold+2*time.Second), CallerThreshold)
	is.True(probation.IsConvicted)
	is.Equal(probation.BlockedFor, time.Duration(0))
	is.True(!h.verdict(now.Add(firstHold+suspicionTime+2*time.Second), CallerThreshold).IsSuspect())
	for i := range 40 {
		h, _ = h.with(crashAt(3+i, now.Add(time.Duration(2+i)*time.Second)))
	}
	is.Equal(len(h.Crashes), maxCrashes)
	is.True(h.verdict(now.Add(time.Minute), CallerThreshold).BlockedFor <= maxHold)
}

// Guards against a reward call that is held back after two crashes, which two back ends that end one after the other cause to
// every call in flight, and against one that is never held back.
func TestOwedRequestsAreHeldBackLater(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	h, _ := History{}.with(crashAt(1, now))
	h, _ = h.with(crashAt(2, now.Add(100*time.Millisecond)))
	is.Equal(h.verdict(now.Add(time.Second), OwedThreshold), Verdict{Crashes: 2})
	h, _ = h.with(crashAt(3, now.Add(4*time.Second)))
	is.True(h.verdict(now.Add(5*time.Second), OwedThreshold).BlockedFor > 0)
}

// Guards against fingerprints that tell the attempts of a caller apart, or that hold different requests for the same.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	f := FingerprintOf("host", "POST", "/a/b", []byte("body"))
	is.Equal(f, FingerprintOf("host", "POST", "/a/b", []byte("body")))
	is.True(f != FingerprintOf("host", "PUT", "/a/b", []byte("body")))
	is.True(f != FingerprintOf("host", "POST", "/a/", []byte("bbody")))
	is.True(f != FingerprintOf("host", "POST", "/a/b", []byte("body ")))
	parsed, backend, started, ok := parseKey(keyOf(f, Crash{Backend: "i/7", StartedUnixMs: 12}))
	is.True(ok)
	is.Equal(parsed, f)
	is.Equal(backend, "i/7")
	is.Equal(started, int64(12))
	for _, key := range []string{"", "/", "zz/b/1", f.String(), f.String() + "/b/x", f.String() + "/"} {
		if _, _, _, ok := parseKey(key); ok {
			t.Errorf("key %q was parsed", key)
		}
	}
}

// Guards against a suspect that takes the last back end away from everyone, and against suspects of a service with a single
// back end that are never served.
func TestMayRisk(t *testing.T) {
	is := is.New(t)
	suspect := Verdict{Crashes: 1}
	is.True(suspect.MayRisk(2, 1))
	is.True(!suspect.MayRisk(1, 2))
	is.True(suspect.MayRisk(1, 0))
	is.True(Verdict{}.MayRisk(1, 2))
}
