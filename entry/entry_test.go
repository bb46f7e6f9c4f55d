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

// Guards against a doubled run when callers send the same key to several instances at once,
// and against a caller who gets no answer or another request's answer.
func TestSameKeyAtAllInstancesRunsOnce(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, time.Millisecond)
	d.startReady("a", "b", "c")
	const keys = 40
	results := pool.NewWithResults[answer]()
	for n := range keys {
		for _, instance := range d.instances {
			results.Go(func() answer { return book(t.Context(), instance, fmt.Sprintf("oil-%d", n), "") })
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

// Guards against a planned stop that cuts a request in flight, and against readiness that
// stays up while the instance leaves.
func TestPlannedStopFinishesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 300*time.Millisecond)
	d.startReady("a", "b")
	leaving := d.instances[0]
	results := pool.NewWithResults[answer]()
	for n := range 16 {
		results.Go(func() answer { return book(t.Context(), leaving, fmt.Sprintf("order-%d", n), "1") })
	}
	client := operator.NewClient(leaving.AdminAddr())
	d.until("requests are in flight", func() bool {
		status, err := client.Status(t.Context())
		return err == nil && status.InFlight > 0
	})
	is.NoErr(leaving.Stop(t.Context()))
	for _, got := range results.Wait() {
		is.NoErr(got.err)
		// A request that came after the drain had begun is refused, and truly so.
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

// Guards against an instance that answers for a catalog it has not read: a caller would be
// told that its service is unknown, and "not run" would be said of a key that ran elsewhere.
func TestInstanceWithoutStateRefuses(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, time.Millisecond)
	d.log.SetOutage(true)
	instance := d.start("a")
	ready, err := http.Get("http://" + instance.AdminAddr() + "/readyz")
	is.NoErr(err)
	is.NoErr(ready.Body.Close())
	is.Equal(ready.StatusCode, http.StatusServiceUnavailable)

	first := book(t.Context(), instance, "oil-1", "1")
	is.Equal(first.status, http.StatusServiceUnavailable)
	is.Equal(first.reason, "not_ready")
	is.Equal(first.outcome, "not_run")
	repeated := book(t.Context(), instance, "oil-1", "2")
	is.Equal(repeated.outcome, "unknown") // the first attempt may have run at another instance

	d.log.SetOutage(false)
	awaitReady(t, instance)
}

// Guards against two operators who both believe that their note is in force, and against a
// repeated publication with a second effect.
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
			note := noteOf(t, base, fmt.Sprintf("note-%d", n), service)
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
	d.until("the winner is in force everywhere", func() bool {
		for _, instance := range d.instances {
			if instance.CatalogRevision() != revision {
				return false
			}
		}
		return true
	})
}

// Guards against a fleet that forgets: every instance is replaced while the log stays, and
// the notes must be in force again, withdrawn ones gone.
func TestAllInstancesReplaced(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, time.Millisecond)
	d.startReady("a", "b", "c")
	revision := d.instances[0].CatalogRevision()
	for _, cancel := range d.cancels {
		cancel()
	}
	d.tasks.Wait()
	d.instances, d.cancels = nil, nil
	for _, id := range []string{"a", "b", "c"} {
		d.start(id)
	}
	for _, instance := range d.instances {
		awaitReady(t, instance)
		is.True(instance.CatalogRevision() >= revision)
	}
	got := answer{}
	d.until("a call is answered", func() bool {
		got = book(context.Background(), d.instances[1], "after", "")
		return got.outcome == "answered"
	})
	is.Equal(d.orders.Ledger().RunsOfKey("after"), 1)
}

// Guards against a leaving instance that takes its leases again: their duties would stand
// still for the lease's time to live after its end.
func TestPlannedStopHandsOverLeases(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, time.Millisecond)
	// The delay leaves time for the fault: without it the instance ends before it could campaign again.
	d.balancerDelay = time.Second
	d.startReady("a")
	d.until("the first instance holds the snapshot duty", func() bool { return len(leaseRecords(t, d, "a")) > 0 })
	is.NoErr(d.instances[0].Stop(t.Context()))
	records := leaseRecords(t, d, "a")
	is.Equal(records[len(records)-1].Kind, control.KindLeaseReleased) // nothing of the instance follows its release
}

// leaseRecords returns the lease records of an instance in the control stream.
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

// Guards against new work for a back end that the platform lists as leaving although it
// answers its own health checks as if nothing were the matter.
func TestListedLeavingBackendGetsNoWork(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, time.Millisecond)
	d.startReady("a", "b")
	is.Equal(book(t.Context(), d.instances[0], "before", "1").outcome, "answered")
	d.list.Set(platform.Listed{ID: "orders-1", Kind: "plain", HTTPAddr: d.orders.Addr(), Zone: almaty, State: platform.Leaving})
	d.awaitNoBackend()
	for n, instance := range d.instances {
		got := book(t.Context(), instance, fmt.Sprintf("after-%d", n), "1")
		is.Equal(got.outcome, "not_run")
		is.Equal(d.orders.Ledger().RunsOfKey(fmt.Sprintf("after-%d", n)), 0)
	}
}

// Guards against instances that go on using a leaving back end because only its observer polls
// it: the observer's report must reach all of them.
func TestLeavingBackendIsReportedToAll(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, time.Millisecond)
	d.startReady("a", "b", "c")
	d.orders.SetLeaving(true)
	d.awaitNoBackend()
	runs, _ := d.orders.Ledger().Total()
	is.Equal(runs, int64(0))
}

// awaitNoBackend waits until no instance counts the back end as ready.
func (d *deployment) awaitNoBackend() {
	d.t.Helper()
	d.until("no instance uses the leaving back end", func() bool {
		for _, instance := range d.instances {
			if d.backendReady(instance) {
				return false
			}
		}
		return true
	})
}
