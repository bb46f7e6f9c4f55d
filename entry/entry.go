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
	"github.com/cicadasill/cicadasill/lease"
	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/membership"
	"github.com/cicadasill/cicadasill/rollout"
	"github.com/cicadasill/cicadasill/routing"
	"github.com/cicadasill/cicadasill/standalone/httpplatform"
	"github.com/cicadasill/cicadasill/weights"
)

// Instance is one entry instance. Run serves until its context ends, which is an abrupt end,
// or until Stop, the planned stop, has completed.
type Instance struct {
	config   Config
	self     machine.Instance
	log      *log.Logger
	gatherer prometheus.Gatherer
	started  time.Time

	httpListener, peerListener, adminListener net.Listener
	httpServer, adminServer                   *http.Server

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

	instanceList *sharedList

	endDuties   context.CancelFunc
	dutiesEnded chan struct{}

	draining atomic.Bool
	inFlight atomic.Int64
	stopOnce sync.Once
	stopAsk  chan struct{}
	stopped  chan struct{}
	ended    chan struct{}
	stopErr  error
}

// clients are the connections to the platform and the back ends.
type clients struct {
	log    *httpplatform.Log
	list   *httpplatform.InstanceList
	engine *httpplatform.Engine
	plain  *httpplatform.PlainService
}

// New listens on the instance's addresses and builds its parts. Nothing runs before Run.
func New(config Config) (*Instance, error) {
	config = config.withDefaults()
	i := &Instance{
		config: config, log: config.Logger, gatherer: config.Registry, started: time.Now(),
		unfit:   &unfitSet{ids: map[string]bool{}},
		stopAsk: make(chan struct{}), stopped: make(chan struct{}), ended: make(chan struct{}),
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

// HTTPAddr returns the address at which callers and trainers are served.
func (i *Instance) HTTPAddr() string { return i.httpListener.Addr().String() }

// PeerAddr returns the address at which other instances are served.
func (i *Instance) PeerAddr() string { return i.peerListener.Addr().String() }

// AdminAddr returns the address at which operators are served.
func (i *Instance) AdminAddr() string { return i.adminListener.Addr().String() }

// Run serves until ctx ends or Stop has completed. When ctx ends, connections are closed at
// once; what was in flight has the outcome that its caller can prove.
func (i *Instance) Run(ctx context.Context) error {
	defer close(i.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failures := make(chan error, 3)
	var group conc.WaitGroup
	i.startParts(ctx, &group)
	i.serve(ctx, &group, failures)
	i.log.Info("instance started", "http", i.HTTPAddr(), "peer", i.PeerAddr(), "admin", i.AdminAddr(),
		"incarnation", i.self.Incarnation, "zone", i.self.Zone.String())
	err := i.await(ctx, failures)
	cancel()
	i.closeServers()
	group.Wait()
	i.claims.Close()
	i.closeClients()
	i.log.Info("instance ended", "err", err)
	return err
}

// await returns when the instance has to end.
func (i *Instance) await(ctx context.Context, failures <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case <-i.stopped:
		return nil
	case <-i.members.Superseded():
		return &Error{Code: Superseded}
	case err := <-failures:
		return err
	}
}

// startParts runs everything but the listeners.
func (i *Instance) startParts(ctx context.Context, group *conc.WaitGroup) {
	run := func(f func(context.Context) error) {
		group.Go(func() {
			if err := f(ctx); err != nil && ctx.Err() == nil {
				i.log.Error("part ended", "err", err)
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
	run(i.followCatalog)
	run(i.followPauses)
	run(i.followStopRequests)
}

// startDuties runs what is done under leases. A planned stop ends it before it releases the
// leases, or the instance would take them again.
func (i *Instance) startDuties(ctx context.Context, group *conc.WaitGroup) {
	ctx, i.endDuties = context.WithCancel(ctx)
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
					i.log.Error("duty ended", "err", err)
				}
			})
		}
		duties.Wait()
	})
}

// serve runs the three listeners.
func (i *Instance) serve(ctx context.Context, group *conc.WaitGroup, failures chan<- error) {
	fail := func(addr string, err error) {
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			failures <- &Error{Code: ServeFailed, Addr: addr, Err: err}
		}
	}
	group.Go(func() { fail(i.PeerAddr(), i.node.Serve(ctx, i.peerListener)) })
	group.Go(func() { fail(i.HTTPAddr(), i.httpServer.Serve(i.httpListener)) })
	group.Go(func() { fail(i.AdminAddr(), i.adminServer.Serve(i.adminListener)) })
}

// followCatalog gives the back ends of the catalog in force to the health tracker.
func (i *Instance) followCatalog(ctx context.Context) error {
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

// followPauses makes the lease manager read the log again after the process stood still.
func (i *Instance) followPauses(ctx context.Context) error {
	paused := i.members.Paused()
	for {
		select {
		case <-ctx.Done():
			return nil
		case length := <-paused:
			i.log.Warn("process was paused", "pause", length)
			i.leases.ReportPause()
		}
	}
}

func (i *Instance) closeServers() {
	// Close ends connections in flight; their errors concern clients that are cut off anyway.
	_ = i.httpServer.Close()
	_ = i.adminServer.Close()
}

func (i *Instance) closeClients() {
	i.clients.log.Close()
	i.clients.list.Close()
	i.clients.engine.Close()
	i.clients.plain.Close()
}
