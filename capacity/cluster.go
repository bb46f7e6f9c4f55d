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
	loopbackAny           = "127.0.0.1:0"
	appendRate            = 300 // appends per second, the limit of the platform's log
	appendLatency         = 5 * time.Millisecond
	readyTimeout          = 30 * time.Second
	conditionPollInterval = 2 * time.Millisecond
	plainService          = "orders"
)

// zones returns the zones of the given number of data centres, which alternate between two regions.
func zones(dataCentres int) []zone.Zone {
	out := make([]zone.Zone, 0, dataCentres)
	for n := range dataCentres {
		out = append(out, zone.Zone{Region: fmt.Sprintf("region-%d", n%2+1), DataCentre: fmt.Sprintf("dc-%d", n+1)})
	}
	return out
}

// cluster is a set of entry instances with the stand-ins of the platform that they use.
type cluster struct {
	log       *logserver.Server
	list      *list.Server
	backends  []*plain.Server
	instances []*entry.Instance
	cancels   []context.CancelFunc
	traffic   *traffic
	tasks     conc.WaitGroup
}

// clusterSize holds the numbers of parts of a cluster.
type clusterSize struct {
	instances, dataCentres, backends int
}

// startCluster starts the stand-ins, the instances and the back ends. It returns once all instances are
// ready and the service of the back ends is in force.
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

// startInstances starts the instances, spread over the data centres, and waits until all are ready.
func (c *cluster) startInstances(ctx context.Context, size clusterSize) error {
	dataCentres := zones(size.dataCentres)
	for n := range size.instances {
		instance, err := c.newInstance(fmt.Sprintf("entry-%03d", n+1), dataCentres[n%len(dataCentres)])
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

// newInstance creates an instance and adds it to the instance list. It does not run it.
func (c *cluster) newInstance(id string, location zone.Zone) (*entry.Instance, error) {
	instance, err := entry.New(entry.Config{
		Self:      machine.Instance{ID: id, HTTPAddr: loopbackAny, PeerAddr: loopbackAny, Zone: location},
		AdminAddr: loopbackAny, LogAddr: c.log.Addr(), ListAddr: c.list.Addr(), DialContext: c.traffic.dial,
	})
	if err != nil {
		return nil, err
	}
	c.list.SetNow(platform.Listed{
		ID: id, Kind: "entry", PeerAddr: instance.PeerAddr(), HTTPAddr: instance.HTTPAddr(), Zone: location, State: platform.Live,
	})
	return instance, nil
}

// run runs instance in the background until the cluster ends it.
func (c *cluster) run(ctx context.Context, instance *entry.Instance) {
	ctx, cancel := context.WithCancel(ctx)
	c.cancels = append(c.cancels, cancel)
	// The error is ignored: an instance that fails to start is reported as not ready.
	c.tasks.Go(func() { _ = instance.Run(ctx) })
}

// startBackends starts plain back ends and publishes a service with them.
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

// publish appends a note to the control stream and waits until it is in force on all instances.
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
	return c.awaitAll(ctx, func(i *entry.Instance) bool { return i.CatalogRevision() > offset })
}

// awaitAll waits until condition has held for each instance. It fails with NotReached after readyTimeout.
func (c *cluster) awaitAll(ctx context.Context, condition func(*entry.Instance) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(conditionPollInterval)
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

// killLast stops the last instance without a drain, removes it from the cluster and returns its ID.
func (c *cluster) killLast() string {
	last := len(c.instances) - 1
	id := fmt.Sprintf("entry-%03d", last+1)
	c.cancels[last]()
	c.instances, c.cancels = c.instances[:last], c.cancels[:last]
	return id
}

// close stops all instances and then the stand-ins.
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
