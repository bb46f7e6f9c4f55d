package weights_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/rollout/compare"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// Guards against a version that crosses the link between regions more than once per region, and
// against more samplers swapping at once than the contract allows.
func TestOneStoreTransferPerRegionAndStaggering(t *testing.T) {
	is := is.New(t)
	b := newBed(t, true)
	d := b.start(compare.NewLease(7))
	status, _ := request(d, "POST", "fry-lm/versions", `{"version":2,"trainer":"main"}`)
	is.Equal(status, 200)
	b.until(is, func() bool { return b.all(2) })
	is.Equal(b.fleet.Transfers(), map[string]int{"north": 1, "south": 1})
	is.True(b.fleet.MaxSwapping() <= 3)
	status, body := request(d, "GET", "fry-lm/versions", "")
	is.Equal(status, 200)
	is.True(strings.Contains(body, `"version":2,"trainer":"main","withdrawn":false,"samplers":["s0","s1"`))
	is.Equal(b.orders(2), 9)
	for _, o := range b.fleet.Engine("s0").Orders() {
		is.Equal(o.Fence, int64(7))
		is.True(!o.Deadline.IsZero() && o.ID != "")
	}
}

// Guards against announcements that are accepted from anyone or refused without a type.
func TestAnnouncementRefusals(t *testing.T) {
	is := is.New(t)
	b := newBed(t, true)
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

// Guards against a withdrawn version that stays in use, is ordered again or is announced again.
func TestWithdrawnVersion(t *testing.T) {
	is := is.New(t)
	b := newBed(t, true)
	d := b.start(compare.NewLease(1))
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 2, "main"))
	b.until(is, func() bool { return b.all(2) })
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 3, "main"))
	b.until(is, func() bool { return b.orders(3) > 0 })
	status, _ := request(d, "DELETE", "fry-lm/versions/3", "")
	is.Equal(status, 204)
	b.until(is, func() bool { return b.all(2) })
	before := b.orders(3)
	status, body := request(d, "POST", "fry-lm/versions", `{"version":3,"trainer":"main"}`)
	is.Equal(status, 409)
	is.True(strings.Contains(body, "version_withdrawn"))
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 4, "main"))
	b.until(is, func() bool { return b.all(4) })
	is.Equal(b.orders(3), before)
}

// Guards against samplers that load an intermediate version although a newer one is announced, and
// against a repeated announcement that starts the distribution again.
func TestIntermediateVersionIsSkipped(t *testing.T) {
	is := is.New(t)
	b := newBed(t, true)
	release := b.fleet.Engine("s0").HoldOrders(1)
	b.start(compare.NewLease(1))
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 2, "main"))
	b.until(is, func() bool { return b.orders(2) >= 1 }) // s6 loads in the south, s0 hangs in the north
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 3, "main"))
	b.until(is, func() bool { return b.all(3, "s0") })
	release()
	b.until(is, func() bool { return b.all(3) })
	is.True(b.orders(2) < 9)
	before := b.orders(3)
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 3, "main"))
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 4, "main"))
	b.until(is, func() bool { return b.all(4) })
	is.Equal(b.orders(3), before)
}

// Guards against a sampler with failing swaps that stays in routing, or out of it after it recovered.
func TestFailedSwaps(t *testing.T) {
	is := is.New(t)
	b := newBed(t, true)
	b.fleet.Engine("s4").FailSwaps(-1)
	old := compare.NewLease(1)
	b.start(old)
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 2, "main"))
	b.until(is, func() bool { return b.all(2, "s4") && b.isUnfit("s4") })
	is.True(len(b.fleet.Engine("s4").Orders()) >= 3)
	old.Lose()
	b.until(is, func() bool { return !b.isUnfit("s4") }) // no instance keeps it out for a lost lease
	b.start(compare.NewLease(2))
	b.until(is, func() bool { return b.isUnfit("s4") })
	b.fleet.Engine("s4").FailSwaps(0)
	b.until(is, func() bool { return b.all(2) && !b.isUnfit("s4") })
}

// Guards against an outage of the store that takes samplers out of routing or ends the distribution.
func TestStoreDown(t *testing.T) {
	is := is.New(t)
	b := newBed(t, true)
	b.fleet.SetStore(true, 0)
	b.start(compare.NewLease(1))
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 2, "main"))
	b.until(is, func() bool { return b.orders(2) >= 36 }) // enough for three failures of each sampler
	is.True(b.all(1))
	for _, s := range b.backends {
		is.True(!b.isUnfit(s.ID))
	}
	b.fleet.SetStore(false, 0)
	b.until(is, func() bool { return b.all(2) })
}

// Guards against an order that is repeated although it took effect and only its answer was lost.
func TestLostOrderAnswer(t *testing.T) {
	is := is.New(t)
	b := newBed(t, true)
	for _, s := range b.backends {
		b.fleet.Engine(s.ID).LoseAnswers(1)
	}
	b.start(compare.NewLease(1))
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 2, "main"))
	b.until(is, func() bool { return b.all(2) })
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 3, "main"))
	b.until(is, func() bool { return b.all(3) })
	is.Equal(b.orders(2), 9)
	is.Equal(b.fleet.Transfers(), map[string]int{"north": 2, "south": 2})
}

// Guards against two lease holders whose orders mix: the paused holder's delayed order is refused by
// its fencing number where engines check it, and has expired where they do not.
func TestTwoLeaseHolders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		is := is.New(t)
		b := newBed(t, checks)
		release := b.fleet.Engine("s0").HoldOrders(1)
		old := compare.NewLease(1)
		b.start(old)
		is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 2, "main"))
		b.until(is, func() bool { return b.orders(2) >= 1 }) // the order to s0 is on its way
		old.Lapse()
		is.NoErr(b.WithdrawVersion(b.ctx, "fry-lm", 2))
		is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 3, "main"))
		b.start(compare.NewLease(2))
		b.until(is, func() bool { return b.all(3) })
		release()
		b.until(is, func() bool { return len(b.fleet.Engine("s0").Refused()) == 1 })
		is.True(b.all(3))
		for _, o := range b.fleet.Engine("s0").Orders() {
			is.Equal(o.Fence, int64(2))
		}
	}
}

// Guards against orders after the lease lapsed while its holder was paused.
func TestNoOrderAfterLapse(t *testing.T) {
	is := is.New(t)
	b := newBed(t, true)
	old := compare.NewLease(1)
	b.start(old)
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 2, "main"))
	b.until(is, func() bool { return b.all(2) })
	old.Lapse()
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 3, "main"))
	b.start(compare.NewLease(2))
	b.until(is, func() bool { return b.all(3) })
	for _, s := range b.backends {
		for _, o := range b.fleet.Engine(s.ID).Orders() {
			is.True(o.Version == 2 || o.Fence == 2)
		}
	}
}

// Guards against a restarted sampler that stays at its old version until the next announcement.
func TestRestartedSamplerIsMoved(t *testing.T) {
	is := is.New(t)
	b := newBed(t, true)
	b.start(compare.NewLease(1))
	is.NoErr(b.AnnounceVersion(b.ctx, "fry-lm", 2, "main"))
	b.until(is, func() bool { return b.all(2) })
	b.fleet.Engine("s7").Crash()
	b.fleet.Engine("s7").Restart(1)
	b.until(is, func() bool { return b.all(2) })
	is.Equal(b.fleet.Transfers(), map[string]int{"north": 1, "south": 1})
}
