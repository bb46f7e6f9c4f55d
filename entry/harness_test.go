package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/entry"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/operator"
	"github.com/cicadasill/cicadasill/release"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin/list"
	"github.com/cicadasill/cicadasill/standin/logserver"
	"github.com/cicadasill/cicadasill/standin/plain"
	"github.com/cicadasill/cicadasill/zone"
)

const (
	anyPort     = "127.0.0.1:0"
	testTimeout = 30 * time.Second
)

var almaty = zone.Zone{Region: "almaty", DataCentre: "alm-north"}

// deployment is a set of instances with a plain service, a log and an instance list.
type deployment struct {
	t      *testing.T
	log    *logserver.Server
	list   *list.Server
	orders *plain.Server
	// balancerDelay is the BalancerDelay of the instances that are started next.
	balancerDelay time.Duration

	instances []*entry.Instance
	cancels   []context.CancelFunc
	running   conc.WaitGroup
}

// newDeployment starts the log, the instance list and the plain service, whose calls take serviceTime.
func newDeployment(t *testing.T, serviceTime time.Duration) *deployment {
	t.Helper()
	d := &deployment{t: t}
	var err error
	if d.log, err = logserver.Start(logserver.Options{}); err != nil {
		t.Fatal(err)
	}
	if d.list, err = list.Start(list.Options{}); err != nil {
		t.Fatal(err)
	}
	if d.orders, err = plain.Start(plain.Options{ID: "orders-1", ServiceTime: serviceTime}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, cancel := range d.cancels {
			cancel()
		}
		d.running.Wait()
		d.orders.Close()
		d.list.Close()
		d.log.Close()
	})
	return d
}

// start starts a new instance and does not wait until it is ready.
func (d *deployment) start(id string) *entry.Instance {
	d.t.Helper()
	instance, err := entry.New(entry.Config{
		Self:      machine.Instance{ID: id, HTTPAddr: anyPort, PeerAddr: anyPort, Zone: almaty},
		AdminAddr: anyPort, LogAddr: d.log.Addr(), ListAddr: d.list.Addr(),
		BalancerDelay: d.balancerDelay,
	})
	if err != nil {
		d.t.Fatal(err)
	}
	d.list.SetNow(platform.Listed{
		ID: id, Kind: "entry", PeerAddr: instance.PeerAddr(), HTTPAddr: instance.HTTPAddr(), Zone: almaty, State: platform.Live,
	})
	ctx, cancel := context.WithCancel(context.Background())
	d.instances = append(d.instances, instance)
	d.cancels = append(d.cancels, cancel)
	d.running.Go(func() {
		if err := instance.Run(ctx); err != nil {
			d.t.Errorf("instance %s: %v", id, err)
		}
	})
	return instance
}

// startReady starts instances, publishes the orders service and waits until all instances are ready,
// list each other and have its back end as ready.
func (d *deployment) startReady(ids ...string) {
	d.t.Helper()
	for _, id := range ids {
		d.start(id)
	}
	for _, instance := range d.instances {
		awaitReady(d.t, instance)
	}
	d.publish(0, "orders", d.ordersService())
	d.waitUntil("all instances serve the service", func() bool {
		for _, instance := range d.instances {
			if len(instance.LiveInstances()) != len(ids) || !d.backendReady(instance) {
				return false
			}
		}
		return true
	})
}

// ordersService returns the contract of the plain service.
func (d *deployment) ordersService() contract.Service {
	return contract.Service{
		Name: "orders", Kind: machine.Plain,
		Calls:    []contract.Call{{Name: "book", Priority: contract.Staff, DeadlineMs: int(testTimeout.Milliseconds())}},
		Backends: []machine.Backend{{ID: "orders-1", Kind: machine.Plain, Service: "orders", Addr: d.orders.Addr(), Zone: almaty}},
	}
}

// backendReady reports whether an instance shows the back end of the orders service as ready.
func (d *deployment) backendReady(instance *entry.Instance) bool {
	backends, err := operator.NewClient(instance.AdminAddr()).Backends(d.t.Context(), "orders")
	return err == nil && len(backends) == 1 && backends[0].Ready
}

// publish publishes a note that adds services and returns its verdict.
func (d *deployment) publish(base int64, id string, services ...contract.Service) release.Verdict {
	d.t.Helper()
	verdict, err := operator.NewClient(d.instances[0].AdminAddr()).PublishNote(d.t.Context(), encodeNote(d.t, base, id, services...))
	is.New(d.t).NoErr(err)
	return verdict
}

// encodeNote returns the JSON of a note that adds services.
func encodeNote(t *testing.T, base int64, id string, services ...contract.Service) []byte {
	t.Helper()
	data, err := json.Marshal(release.Note{ID: id, Author: "test", Base: base, Added: services})
	is.New(t).NoErr(err)
	return data
}

// waitUntil polls a condition until it is true and fails the test after testTimeout.
func (d *deployment) waitUntil(what string, condition func() bool) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(d.t.Context(), testTimeout)
	defer cancel()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			d.t.Fatalf("not reached in %s: %s", testTimeout, what)
		case <-ticker.C:
		}
	}
}

// awaitReady waits until an instance is ready.
func awaitReady(t *testing.T, instance *entry.Instance) {
	t.Helper()
	select {
	case <-instance.Ready():
	case <-time.After(testTimeout):
		t.Fatal("instance is not ready")
	}
}

// response is the response to a caller, or the error of the exchange.
type response struct {
	status  int
	outcome string
	reason  string
	body    string
	err     error
}

// callBook posts the non-idempotent call "book" of the orders service to an instance.
func callBook(ctx context.Context, instance *entry.Instance, key, attempt string) response {
	body := fmt.Sprintf(`{"order":%q}`, key)
	url := "http://" + instance.HTTPAddr() + "/v1/services/orders/calls/book"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Cicadasill-Key", key)
	if attempt != "" {
		req.Header.Set("Cicadasill-Attempt", attempt)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{
		status: resp.StatusCode, outcome: resp.Header.Get("Cicadasill-Outcome"),
		reason: resp.Header.Get("Cicadasill-Reason"), body: string(data), err: err,
	}
}
