package entry_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc/pool"

	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/operator"
	"github.com/cicadasill/cicadasill/release"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// Guards against a call that runs twice when callers send the same key to several instances at once, and
// against a caller that gets no answer or the answer to another request.
func TestSameKeyAtAllInstancesRunsOnce(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, time.Millisecond)
	d.startReady("a", "b", "c")
	const keys = 40
	results := pool.NewWithResults[response]()
	for n := range keys {
		for _, instance := range d.instances {
			results.Go(func() response { return callBook(t.Context(), instance, fmt.Sprintf("oil-%d", n), "") })
		}
	}
	for _, got := range results.Wait() {
		is.NoErr(got.err)
		is.Equal(got.outcome, "answered")
	}
	for n := range keys {
		is.Equal(d.orders.Ledger().RunsOfKey(fmt.Sprintf("oil-%d", n)), 1)
	}
}

// Guards against a planned stop that interrupts a request in flight, and against an instance that stays
// ready while it stops.
func TestPlannedStopFinishesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 300*time.Millisecond)
	d.startReady("a", "b")
	leaving := d.instances[0]
	results := pool.NewWithResults[response]()
	for n := range 16 {
		results.Go(func() response { return callBook(t.Context(), leaving, fmt.Sprintf("order-%d", n), "1") })
	}
	client := operator.NewClient(leaving.AdminAddr())
	d.waitUntil("requests are in flight", func() bool {
		status, err := client.Status(t.Context())
		return err == nil && status.InFlight > 0
	})
	is.NoErr(leaving.Stop(t.Context()))
	for _, got := range results.Wait() {
		is.NoErr(got.err)
		// A request that arrives after the drain has begun is refused and must not have run.
		if got.outcome != "answered" {
			is.Equal(got.reason, "draining")
			is.Equal(got.outcome, "not_run")
		}
	}
	runs, _ := d.orders.Ledger().Total()
	is.True(runs > 0)
	for key, count := range d.orders.Ledger().Keys() {
		is.Equal(count, 1)
		is.True(key != "")
	}
}

// Guards against an instance that answers before it has read the catalog: it would tell callers that
// their service is unknown, and report "not run" for a key that ran at another instance.
func TestInstanceWithoutStateRefuses(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, time.Millisecond)
	d.log.SetOutage(true)
	instance := d.start("a")
	ready, err := http.Get("http://" + instance.AdminAddr() + "/readyz")
	is.NoErr(err)
	is.NoErr(ready.Body.Close())
	is.Equal(ready.StatusCode, http.StatusServiceUnavailable)

	first := callBook(t.Context(), instance, "oil-1", "1")
	is.Equal(first.status, http.StatusServiceUnavailable)
	is.Equal(first.reason, "not_ready")
	is.Equal(first.outcome, "not_run")
	repeated := callBook(t.Context(), instance, "oil-1", "2")
	is.Equal(repeated.outcome, "unknown") // the first attempt may have run at another instance

	d.log.SetOutage(false)
	awaitReady(t, instance)
}

// Guards against conflicting notes of two operators that are both reported as in force, and against a
// repeated publication that takes effect a second time.
func TestRacingOperatorsGetOneWinner(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, time.Millisecond)
	d.startReady("a", "b", "c")
	base := d.instances[0].CatalogRevision()
	service := d.ordersService()
	service.Name, service.Backends = "books", nil
	verdicts := pool.NewWithResults[error]()
	for n, instance := range d.instances {
		verdicts.Go(func() error {
			note := encodeNote(t, base, fmt.Sprintf("note-%d", n), service)
			_, err := operator.NewClient(instance.AdminAddr()).PublishNote(t.Context(), note)
			return err
		})
	}
	accepted := 0
	for _, err := range verdicts.Wait() {
		if err == nil {
			accepted++
			continue
		}
		var refused *operator.ResponseError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Status, http.StatusConflict)
		is.Equal(refused.Detail.Verdict.Code, release.Conflict)
		is.Equal(refused.Detail.Verdict.Object, "books")
	}
	is.Equal(accepted, 1)
	revision := d.instances[0].CatalogRevision()
	d.waitUntil("the accepted note is in force at all instances", func() bool {
		for _, instance := range d.instances {
			if instance.CatalogRevision() != revision {
				return false
			}
		}
		return true
	})
}

// Guards against a loss of the catalog when every instance is replaced while the log stays: the notes must
// be in force again, and withdrawn services must stay withdrawn.
func TestAllInstancesReplaced(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, time.Millisecond)
	d.startReady("a", "b", "c")
	revision := d.instances[0].CatalogRevision()
	for _, cancel := range d.cancels {
		cancel()
	}
	d.running.Wait()
	d.instances, d.cancels = nil, nil
	for _, id := range []string{"a", "b", "c"} {
		d.start(id)
	}
	for _, instance := range d.instances {
		awaitReady(t, instance)
		is.True(instance.CatalogRevision() >= revision)
	}
	got := response{}
	d.waitUntil("a call is answered", func() bool {
		got = callBook(context.Background(), d.instances[1], "after", "")
		return got.outcome == "answered"
	})
	is.Equal(d.orders.Ledger().RunsOfKey("after"), 1)
}

// Guards against a stopping instance that acquires its leases again: nobody would perform their duties
// after its end until the leases lapse.
func TestPlannedStopHandsOverLeases(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, time.Millisecond)
	// The delay gives the fault time to occur: without it the instance ends before it could campaign again.
	d.balancerDelay = time.Second
	d.startReady("a")
	d.waitUntil("the first instance holds the snapshot duty", func() bool { return len(leaseRecords(t, d, "a")) > 0 })
	is.NoErr(d.instances[0].Stop(t.Context()))
	records := leaseRecords(t, d, "a")
	is.Equal(records[len(records)-1].Kind, control.KindLeaseReleased) // the release is the instance's last lease record
}

// leaseRecords returns the acquisitions and renewals of leases by an instance, and all releases of leases,
// from the control stream.
func leaseRecords(t *testing.T, d *deployment, id string) []control.Record {
	t.Helper()
	var out []control.Record
	for _, stored := range d.log.Records(control.Stream) {
		record, err := control.Decode(stored.Data)
		is.New(t).NoErr(err)
		switch {
		case record.Acquire != nil && record.Acquire.Holder.ID == id,
			record.Renewal != nil && record.Renewal.Holder.ID == id,
			record.Release != nil:
			out = append(out, record)
		}
	}
	return out
}

// Guards against new work for a back end that the platform lists as leaving while its own health checks
// still succeed.
func TestListedLeavingBackendGetsNoWork(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, time.Millisecond)
	d.startReady("a", "b")
	is.Equal(callBook(t.Context(), d.instances[0], "before", "1").outcome, "answered")
	d.list.Set(platform.Listed{ID: "orders-1", Kind: "plain", HTTPAddr: d.orders.Addr(), Zone: almaty, State: platform.Leaving})
	d.awaitBackendNotReady()
	for n, instance := range d.instances {
		got := callBook(t.Context(), instance, fmt.Sprintf("after-%d", n), "1")
		is.Equal(got.outcome, "not_run")
		is.Equal(d.orders.Ledger().RunsOfKey(fmt.Sprintf("after-%d", n)), 0)
	}
}

// Guards against instances that keep using a leaving back end because only its observer polls it: the
// observer's report must reach all instances.
func TestLeavingBackendIsReportedToAll(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, time.Millisecond)
	d.startReady("a", "b", "c")
	d.orders.SetLeaving(true)
	d.awaitBackendNotReady()
	runs, _ := d.orders.Ledger().Total()
	is.Equal(runs, int64(0))
}

// awaitBackendNotReady waits until no instance shows the back end as ready.
func (d *deployment) awaitBackendNotReady() {
	d.t.Helper()
	d.waitUntil("no instance uses the leaving back end", func() bool {
		for _, instance := range d.instances {
			if d.backendReady(instance) {
				return false
			}
		}
		return true
	})
}
