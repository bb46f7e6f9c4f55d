package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/entry"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/release"
	"github.com/cicadasill/cicadasill/standalone/httpplatform"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin/list"
	"github.com/cicadasill/cicadasill/standin/logserver"
	"github.com/cicadasill/cicadasill/standin/plain"
	"github.com/cicadasill/cicadasill/zone"
)

const (
	loopbackAny   = "127.0.0.1:0"
	appendRate    = 300 // appends per second, as the platform's log takes them
	appendLatency = 5 * time.Millisecond
	readyTimeout  = 30 * time.Second
	statePoll     = 2 * time.Millisecond
	plainService  = "orders"
)

// zones are two regions with eight data centres, filled in order.
func zones(dataCentres int) []zone.Zone {
	out := make([]zone.Zone, 0, dataCentres)
	for n := range dataCentres {
		out = append(out, zone.Zone{Region: fmt.Sprintf("region-%d", n%2+1), DataCentre: fmt.Sprintf("dc-%d", n+1)})
	}
	return out
}

// cluster is a set of entry instances with the stand-ins that they need.
type cluster struct {
	log       *logserver.Server
	list      *list.Server
	backends  []*plain.Server
	instances []*entry.Instance
	cancels   []context.CancelFunc
	traffic   *traffic
	tasks     conc.WaitGroup
}

// clusterSize describes a cluster.
type clusterSize struct {
	instances, dataCentres, backends int
}

// startCluster starts the stand-ins and the instances and waits until all are ready.
func startCluster(ctx context.Context, size clusterSize) (*cluster, error) {
	c := &cluster{traffic: newTraffic()}
	var err error
	if c.log, err = logserver.Start(logserver.Options{AppendsPerS: appendRate, AppendLatency: appendLatency}); err != nil {
		return nil, err
	}
	if c.list, err = list.Start(list.Options{}); err != nil {
		c.close()
		return nil, err
	}
	c.traffic.register(c.log.Addr(), TargetLog)
	c.traffic.register(c.list.Addr(), TargetList)
	if err := c.startInstances(ctx, size); err != nil {
		c.close()
		return nil, err
	}
	if err := c.startBackends(ctx, size.backends); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) startInstances(ctx context.Context, size clusterSize) error {
	places := zones(size.dataCentres)
	for n := range size.instances {
		instance, err := c.newInstance(fmt.Sprintf("entry-%03d", n+1), places[n%len(places)])
		if err != nil {
			return err
		}
		c.instances = append(c.instances, instance)
	}
	for _, instance := range c.instances {
		c.run(ctx, instance)
	}
	for _, instance := range c.instances {
		if err := awaitReady(ctx, instance); err != nil {
			return err
		}
	}
	return nil
}

// newInstance builds an instance and lists it.
func (c *cluster) newInstance(id string, at zone.Zone) (*entry.Instance, error) {
	instance, err := entry.New(entry.Config{
		Self:      machine.Instance{ID: id, HTTPAddr: loopbackAny, PeerAddr: loopbackAny, Zone: at},
		AdminAddr: loopbackAny, LogAddr: c.log.Addr(), ListAddr: c.list.Addr(), DialContext: c.traffic.dial,
	})
	if err != nil {
		return nil, err
	}
	c.list.SetNow(platform.Listed{
		ID: id, Kind: "entry", PeerAddr: instance.PeerAddr(), HTTPAddr: instance.HTTPAddr(), Zone: at, State: platform.Live,
	})
	return instance, nil
}

func (c *cluster) run(ctx context.Context, instance *entry.Instance) {
	ctx, cancel := context.WithCancel(ctx)
	c.cancels = append(c.cancels, cancel)
	// An instance ends with its context only; a failure shows as an instance that is not ready.
	c.tasks.Go(func() { _ = instance.Run(ctx) })
}

// startBackends starts plain back ends and publishes their service.
func (c *cluster) startBackends(ctx context.Context, count int) error {
	if count == 0 {
		return nil
	}
	backends := make([]machine.Backend, 0, count)
	for n := range count {
		server, err := plain.Start(plain.Options{})
		if err != nil {
			return err
		}
		c.backends = append(c.backends, server)
		c.traffic.register(server.Addr(), TargetBackends)
		backends = append(backends, machine.Backend{
			ID: fmt.Sprintf("orders-%d", n+1), Kind: machine.Plain, Service: plainService, Addr: server.Addr(), Zone: zones(1)[0],
		})
	}
	return c.publish(ctx, &release.Note{
		ID: "backends", Author: "capacity", Added: []contract.Service{plainContract(plainService, backends)},
	})
}

func plainContract(name string, backends []machine.Backend) contract.Service {
	return contract.Service{
		Name: name, Kind: machine.Plain, Backends: backends,
		Calls: []contract.Call{{Name: "book", Priority: contract.Staff}, {Name: "list", Idempotent: true, Priority: contract.Staff}},
	}
}

// publish appends a note as an operator's tool would, and waits until it is in force everywhere.
func (c *cluster) publish(ctx context.Context, note *release.Note) error {
	data, err := control.Record{Kind: control.KindNote, Note: note}.Encode()
	if err != nil {
		return err
	}
	client := httpplatform.NewLog(c.log.Addr(), httpplatform.Options{})
	defer client.Close()
	offset, err := client.Append(ctx, control.Stream, data)
	if err != nil {
		return err
	}
	return c.await(ctx, func(i *entry.Instance) bool { return i.CatalogRevision() > offset })
}

// await returns once the condition holds at every instance.
func (c *cluster) await(ctx context.Context, condition func(*entry.Instance) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(statePoll)
	defer ticker.Stop()
	for _, instance := range c.instances {
		for !condition(instance) {
			select {
			case <-ctx.Done():
				return &Error{Code: NotReached, Err: ctx.Err()}
			case <-ticker.C:
			}
		}
	}
	return nil
}

// kill ends the last instance abruptly and removes it from the cluster.
func (c *cluster) kill() string {
	last := len(c.instances) - 1
	id := fmt.Sprintf("entry-%03d", last+1)
	c.cancels[last]()
	c.instances, c.cancels = c.instances[:last], c.cancels[:last]
	return id
}

func (c *cluster) close() {
	for _, cancel := range c.cancels {
		cancel()
	}
	c.tasks.Wait()
	for _, server := range c.backends {
		server.Close()
	}
	if c.list != nil {
		c.list.Close()
	}
	if c.log != nil {
		c.log.Close()
	}
}
