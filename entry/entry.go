package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/claim"
	"github.com/cicadasill/cicadasill/feed"
	"github.com/cicadasill/cicadasill/gateway"
	"github.com/cicadasill/cicadasill/health"
	"github.com/cicadasill/cicadasill/httpguard"
	"github.com/cicadasill/cicadasill/intake"
	"github.com/cicadasill/cicadasill/lease"
	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/membership"
	"github.com/cicadasill/cicadasill/rollout"
	"github.com/cicadasill/cicadasill/routing"
	"github.com/cicadasill/cicadasill/standalone/httpplatform"
	"github.com/cicadasill/cicadasill/weights"
)

// Instance is an entry instance. Run serves until its context ends, which stops the instance
// abruptly, or until the planned stop, which Stop requests, has completed.
type Instance struct {
	config   Config
	self     machine.Instance
	log      *log.Logger
	gatherer prometheus.Gatherer
	started  time.Time

	httpListener, peerListener, adminListener net.Listener
	httpServer, adminServer                   *http.Server
	httpGuard, adminGuard                     *httpguard.Guard
	clientMemory                              *intake.Memory // bodies of requests, and answers that clients do not read at once
	peerMemory                                *intake.Memory // messages of other instances

	node     *link.Node
	members  *membership.Members
	feed     *feed.Follower
	leases   *lease.Manager
	claims   *claim.Claims
	health   *health.Tracker
	router   *routing.BackendRouter
	gateway  *gateway.Gateway
	rollouts *rollout.Server
	weights  *weights.Distributor
	unfit    *unfitSet
	clients  clients

	instanceList *cachedInstanceList

	// cancelDuties ends the work under leases; dutiesEnded is closed when it has ended.
	cancelDuties context.CancelFunc
	dutiesEnded  chan struct{}

	draining      atomic.Bool
	inFlight      atomic.Int64 // requests
	stopOnce      sync.Once
	stopRequested chan struct{}
	drainEnded    chan struct{}
	runEnded      chan struct{}
	stopErr       error // result of the planned stop; set before drainEnded is closed
}

// clients holds the clients of the platform and the back ends.
type clients struct {
	log    *httpplatform.Log
	list   *httpplatform.InstanceList
	engine *httpplatform.Engine
	plain  *httpplatform.PlainService
}

// New opens the listeners of an instance and builds its components. Nothing is served before Run.
func New(config Config) (*Instance, error) {
	config = config.withDefaults()
	i := &Instance{
		config: config, log: config.Logger, gatherer: config.Registry, started: time.Now(),
		unfit:         &unfitSet{ids: map[string]bool{}},
		stopRequested: make(chan struct{}), drainEnded: make(chan struct{}), runEnded: make(chan struct{}),
	}
	if err := i.listen(); err != nil {
		return nil, err
	}
	i.self = config.Self
	i.self.HTTPAddr = i.HTTPAddr()
	i.self.PeerAddr = i.PeerAddr()
	i.build()
	return i, nil
}

// HTTPAddr returns the address at which the instance serves callers and trainers.
func (i *Instance) HTTPAddr() string { return i.httpListener.Addr().String() }

// PeerAddr returns the address at which the instance serves its peers.
func (i *Instance) PeerAddr() string { return i.peerListener.Addr().String() }

// AdminAddr returns the address at which the instance serves operators.
func (i *Instance) AdminAddr() string { return i.adminListener.Addr().String() }

// Run serves until ctx ends, the planned stop has completed, a newer run of the same instance exists
// or a listener fails. When ctx ends, connections are closed at once, and the caller of a request in
// flight knows only the outcome that it can prove.
func (i *Instance) Run(ctx context.Context) error {
	defer close(i.runEnded)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failures := make(chan error, 3)
	var group conc.WaitGroup
	i.startComponents(ctx, &group)
	i.serve(ctx, &group, failures)
	i.log.Info("instance started", "http", i.HTTPAddr(), "peer", i.PeerAddr(), "admin", i.AdminAddr(),
		"incarnation", i.self.Incarnation, "zone", i.self.Zone.String())
	err := i.awaitEnd(ctx, failures)
	cancel()
	i.closeServers()
	group.Wait()
	i.claims.Close()
	i.closeClients()
	i.log.Info("instance ended", "err", err)
	return err
}

// awaitEnd blocks until the instance has to end and returns the failure that ended it, if any.
func (i *Instance) awaitEnd(ctx context.Context, failures <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case <-i.drainEnded:
		return nil
	case <-i.members.Superseded():
		return &Error{Code: Superseded}
	case err := <-failures:
		return err
	}
}

// startComponents runs all components except the listeners.
func (i *Instance) startComponents(ctx context.Context, group *conc.WaitGroup) {
	run := func(f func(context.Context) error) {
		group.Go(func() {
			if err := f(ctx); err != nil && ctx.Err() == nil {
				i.log.Error("component failed", "err", err)
			}
		})
	}
	run(i.members.Run)
	run(i.feed.Run)
	run(i.leases.Run)
	run(i.health.Run)
	run(i.gateway.Run)
	run(i.rollouts.Run)
	i.startDuties(ctx, group)
	run(i.watchCatalog)
	run(i.watchPauses)
	run(i.handleStopRequest)
}

// startDuties runs the work that is done under leases. It has its own context, because a planned stop
// must end this work before it releases the leases: otherwise the instance would acquire them again.
func (i *Instance) startDuties(ctx context.Context, group *conc.WaitGroup) {
	ctx, i.cancelDuties = context.WithCancel(ctx)
	i.dutiesEnded = make(chan struct{})
	group.Go(func() {
		defer close(i.dutiesEnded)
		var duties conc.WaitGroup
		for _, duty := range []func(context.Context) error{
			i.weights.Run,
			func(ctx context.Context) error { return i.feed.RunSnapshots(ctx, i.leases) },
		} {
			duties.Go(func() {
				if err := duty(ctx); err != nil && ctx.Err() == nil {
					i.log.Error("duty failed", "err", err)
				}
			})
		}
		duties.Wait()
	})
}

// serve runs the servers on the three listeners and sends their errors to failures.
func (i *Instance) serve(ctx context.Context, group *conc.WaitGroup, failures chan<- error) {
	reportFailure := func(addr string, err error) {
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			failures <- &Error{Code: ServeFailed, Addr: addr, Err: err}
		}
	}
	group.Go(func() { reportFailure(i.PeerAddr(), i.node.Serve(ctx, i.peerListener)) })
	group.Go(func() { reportFailure(i.HTTPAddr(), i.httpServer.Serve(i.httpGuard.Listener(i.httpListener))) })
	group.Go(func() { reportFailure(i.AdminAddr(), i.adminServer.Serve(i.adminGuard.Listener(i.adminListener))) })
}

// watchCatalog passes the back ends of each catalog that comes into force to the health tracker.
func (i *Instance) watchCatalog(ctx context.Context) error {
	revision := int64(-1)
	for {
		changed := i.feed.Changed()
		if catalog := i.feed.State().Catalog; catalog.Revision() != revision {
			revision = catalog.Revision()
			i.health.Update(backendsOf(catalog.Services()))
			i.log.Info("catalog in force", "revision", revision, "services", len(catalog.Services()))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// watchPauses makes the lease manager read the log again after each pause of the process.
func (i *Instance) watchPauses(ctx context.Context) error {
	paused := i.members.Paused()
	for {
		select {
		case <-ctx.Done():
			return nil
		case pause := <-paused:
			i.log.Warn("process was paused", "pause", pause)
			i.leases.ReportPause()
		}
	}
}

func (i *Instance) closeServers() {
	// Close also closes connections in use. Its errors are ignored, because the clients are cut off in
	// any case.
	_ = i.httpServer.Close()
	_ = i.adminServer.Close()
}

func (i *Instance) closeClients() {
	i.clients.log.Close()
	i.clients.list.Close()
	i.clients.engine.Close()
	i.clients.plain.Close()
}
