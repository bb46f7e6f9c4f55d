package weights_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/rollout/compare"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// Guards against a version that crosses the link between regions more than once for a region, and
// against more samplers swapping at once than the contract allows.
func TestOneStoreTransferPerRegionAndStaggering(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, true)
	d := b.start(compare.NewLease(7))
	status, _ := request(d, "POST", "fry-lm/versions", `{"version":2,"trainer":"main"}`)
	is.Equal(status, 200)
	b.waitUntil(is, func() bool { return b.allAtVersion(2) })
	is.Equal(b.fleet.Transfers(), map[string]int{"north": 1, "south": 1})
	is.True(b.fleet.MaxSwapping() <= 3)
	status, body := request(d, "GET", "fry-lm/versions", "")
	is.Equal(status, 200)
	is.True(strings.Contains(body, `"version":2,"trainer":"main","withdrawn":false,"samplers":["s0","s1"`))
	is.Equal(b.countOrders(2), 9)
	for _, o := range b.fleet.Engine("s0").Orders() {
		is.Equal(o.Fence, int64(7))
		is.True(!o.Deadline.IsZero() && o.ID != "")
	}
}

// Guards against announcements that are accepted from any caller or refused without an error code.
func TestAnnouncementRefusals(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, true)
	d := b.start(compare.NewLease(1))
	for _, c := range []struct {
		method, path, body, code string
		status                   int
	}{
		{"POST", "none/versions", `{"version":2,"trainer":"main"}`, "unknown_service", 404},
		{"POST", "fry-lm/versions", `{"version":2,"trainer":"x"}`, "not_a_trainer", 403},
		{"POST", "fry-lm/versions", `{"version":0,"trainer":"main"}`, "bad_request", 400},
		{"POST", "fry-lm/versions", `{"versions":2}`, "bad_request", 400},
		{"DELETE", "fry-lm/versions/9", ``, "unknown_version", 404},
	} {
		status, body := request(d, c.method, c.path, c.body)
		is.Equal(status, c.status)
		is.True(strings.Contains(body, c.code))
	}
	b.SetLog(&platform.Error{Code: platform.Unavailable, Op: "append"})
	status, body := request(d, "POST", "fry-lm/versions", `{"version":2,"trainer":"main"}`)
	is.Equal(status, 503)
	is.True(strings.Contains(body, "log_unavailable"))
	b.SetLog(&platform.Error{Code: platform.OutcomeUnknown, Op: "append"})
	_, body = request(d, "POST", "fry-lm/versions", `{"version":2,"trainer":"main"}`)
	is.True(strings.Contains(body, "outcome_unknown"))
}

// Guards against a withdrawn version that stays in use, is loaded again or is announced again.
func TestWithdrawnVersion(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, true)
	d := b.start(compare.NewLease(1))
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 2, "main"))
	b.waitUntil(is, func() bool { return b.allAtVersion(2) })
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 3, "main"))
	b.waitUntil(is, func() bool { return b.countOrders(3) > 0 })
	status, _ := request(d, "DELETE", "fry-lm/versions/3", "")
	is.Equal(status, 204)
	b.waitUntil(is, func() bool { return b.allAtVersion(2) })
	before := b.countOrders(3)
	status, body := request(d, "POST", "fry-lm/versions", `{"version":3,"trainer":"main"}`)
	is.Equal(status, 409)
	is.True(strings.Contains(body, "version_withdrawn"))
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 4, "main"))
	b.waitUntil(is, func() bool { return b.allAtVersion(4) })
	is.Equal(b.countOrders(3), before)
}

// Guards against samplers that load an intermediate version although a newer one was announced, and
// against a repeated announcement that restarts the distribution.
func TestIntermediateVersionIsSkipped(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, true)
	release := b.fleet.Engine("s0").HoldOrders(1)
	b.start(compare.NewLease(1))
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 2, "main"))
	b.waitUntil(is, func() bool { return b.countOrders(2) >= 1 }) // s6 loads in region south, s0 is blocked in north
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 3, "main"))
	b.waitUntil(is, func() bool { return b.allAtVersion(3, "s0") })
	release()
	b.waitUntil(is, func() bool { return b.allAtVersion(3) })
	is.True(b.countOrders(2) < 9)
	before := b.countOrders(3)
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 3, "main"))
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 4, "main"))
	b.waitUntil(is, func() bool { return b.allAtVersion(4) })
	is.Equal(b.countOrders(3), before)
}

// Guards against a sampler with failing swaps that stays in routing, or stays out of it after it has
// recovered.
func TestFailedSwaps(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, true)
	b.fleet.Engine("s4").FailSwaps(-1)
	first := compare.NewLease(1)
	b.start(first)
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 2, "main"))
	b.waitUntil(is, func() bool { return b.allAtVersion(2, "s4") && b.isUnfit("s4") })
	is.True(len(b.fleet.Engine("s4").Orders()) >= 3)
	first.Lose()
	b.waitUntil(is, func() bool { return !b.isUnfit("s4") }) // the unfit mark is cleared when the lease is lost
	b.start(compare.NewLease(2))
	b.waitUntil(is, func() bool { return b.isUnfit("s4") })
	b.fleet.Engine("s4").FailSwaps(0)
	b.waitUntil(is, func() bool { return b.allAtVersion(2) && !b.isUnfit("s4") })
}

// Guards against an outage of the weight store that takes samplers out of routing or stops the
// distribution.
func TestStoreDown(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, true)
	b.fleet.SetStore(true, 0)
	b.start(compare.NewLease(1))
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 2, "main"))
	b.waitUntil(is, func() bool { return b.countOrders(2) >= 36 }) // enough for three failures of each sampler
	is.True(b.allAtVersion(1))
	for _, s := range b.backends {
		is.True(!b.isUnfit(s.ID))
	}
	b.fleet.SetStore(false, 0)
	b.waitUntil(is, func() bool { return b.allAtVersion(2) })
}

// Guards against a repeated order after an order that took effect but whose answer was lost.
func TestLostOrderAnswer(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, true)
	for _, s := range b.backends {
		b.fleet.Engine(s.ID).LoseAnswers(1)
	}
	b.start(compare.NewLease(1))
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 2, "main"))
	b.waitUntil(is, func() bool { return b.allAtVersion(2) })
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 3, "main"))
	b.waitUntil(is, func() bool { return b.allAtVersion(3) })
	is.Equal(b.countOrders(2), 9)
	is.Equal(b.fleet.Transfers(), map[string]int{"north": 2, "south": 2})
}

// Guards against the delayed order of a paused holder that takes effect after the takeover. Engines that
// check fencing tokens must refuse it for its token, and the others because its deadline has passed.
func TestTwoLeaseHolders(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		is := is.New(t)
		b := newTestbed(t, checksFencing)
		release := b.fleet.Engine("s0").HoldOrders(1)
		paused := compare.NewLease(1)
		b.start(paused)
		is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 2, "main"))
		b.waitUntil(is, func() bool { return b.countOrders(2) >= 1 }) // the order to s0 is delayed in transit
		paused.Lapse()
		is.NoErr(b.WithdrawVersion(b.ctx, "fry-lm", 2))
		is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 3, "main"))
		b.start(compare.NewLease(2))
		b.waitUntil(is, func() bool { return b.allAtVersion(3) })
		release()
		b.waitUntil(is, func() bool { return len(b.fleet.Engine("s0").RefusedOrders()) == 1 })
		is.True(b.allAtVersion(3))
		for _, o := range b.fleet.Engine("s0").Orders() {
			is.Equal(o.Fence, int64(2))
		}
	}
}

// Guards against orders that a paused holder sends after its lease has lapsed.
func TestNoOrderAfterLapse(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, true)
	lapsed := compare.NewLease(1)
	b.start(lapsed)
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 2, "main"))
	b.waitUntil(is, func() bool { return b.allAtVersion(2) })
	lapsed.Lapse()
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 3, "main"))
	b.start(compare.NewLease(2))
	b.waitUntil(is, func() bool { return b.allAtVersion(3) })
	for _, s := range b.backends {
		for _, o := range b.fleet.Engine(s.ID).Orders() {
			is.True(o.Version == 2 || o.Fence == 2)
		}
	}
}

// Guards against a sampler that restarts with an old version and keeps it until the next announcement.
func TestRestartedSamplerIsMoved(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, true)
	b.start(compare.NewLease(1))
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 2, "main"))
	b.waitUntil(is, func() bool { return b.allAtVersion(2) })
	b.fleet.Engine("s7").Crash()
	b.fleet.Engine("s7").Restart(1)
	b.waitUntil(is, func() bool { return b.allAtVersion(2) })
	is.Equal(b.fleet.Transfers(), map[string]int{"north": 1, "south": 1})
}
