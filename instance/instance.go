// Package instance runs one entry instance on the users' platform: it connects the packages that
// decide with the adapter that speaks the platform's protocols.
package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/duty"
	"github.com/cicadasill/cicadasill/forward"
	"github.com/cicadasill/cicadasill/job"
	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/platform/hosted"
	"github.com/cicadasill/cicadasill/presence"
	"github.com/cicadasill/cicadasill/relay"
	"github.com/cicadasill/cicadasill/routes"
	"github.com/cicadasill/cicadasill/timing"
	"github.com/cicadasill/cicadasill/versions"
	"github.com/cicadasill/cicadasill/zone"
)

// Periods of an instance.
const (
	// operatorWait is how long a read of the operators' records waits for new ones.
	operatorWait = time.Second
	// indexPause spaces the reads of the jobs' index in a small deployment.
	indexPause = 20 * time.Millisecond
	// entriesPause spaces the reads of the back ends' entries, each of which changes about once a second.
	entriesPause = 250 * time.Millisecond
	// entriesPerInstance keeps the reads of the entries at a thousand a second.
	entriesPerInstance = time.Millisecond
	// contactLimit is how long the store may not answer before the instance reports that it is
	// not ready: others may be served.
	contactLimit = 2 * time.Second
	// headerTimeout and idleTimeout are longer than the limits that operators set for clients, so
	// that a request does not cross the close of its connection.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	// storePart is the part of the store's limits that one instance may use at once.
	storePart = 0.25
	// memoryPart is the part of the memory limit that the runtime's heap keeps to.
	memoryPart = 0.6
	// peerIdleTimeout closes connections to peers that have carried nothing.
	peerIdleTimeout = 10 * time.Second
	// ordersDuty is the right to give orders to engines.
	ordersDuty = "orders"
)

// Times of a planned stop.
const (
	// balancerDelay covers the platform's two questions for readiness, a second apart.
	balancerDelay = 2500 * time.Millisecond
	// handoverPart is the part of the grace time in which own jobs may finish.
	handoverPart = 0.6
	// exitMargin is left of the grace time when the process ends.
	exitMargin = time.Second
)

// Instance is one entry instance.
type Instance struct {
	settings *Settings
	self     machine.Ref
	log      *log.Logger
	registry *prometheus.Registry

	config   atomic.Pointer[routes.Config]
	draining atomic.Bool

	mu      sync.Mutex // guards targets
	targets map[string]int64

	store     *relay.Log
	node      *link.Node
	operators *changelog.Replica
	entries   *changelog.Replica
	directory *backends.Directory
	present   *presence.Table
	orders    *duty.Duty
	jobs      *job.Registry
	driver    *job.Driver
	mover     *versions.Mover

	clients   net.Listener
	readiness net.Listener
	peers     net.Listener
	server    *http.Server
	ready     *http.Server
}

// New connects the parts of an instance.
func New(s *Settings, logger *log.Logger, registry *prometheus.Registry) *Instance {
	i := &Instance{
		settings: s, log: logger, registry: registry, targets: map[string]int64{},
		self:      machine.Ref{ID: s.Instance.ID, Incarnation: uint64(time.Now().UnixNano())},
		directory: backends.New(),
	}
	return i
}

// connect builds the parts once the address of this instance is known.
func (i *Instance) connect() {
	s, logger := i.settings, i.log
	self := machine.Instance{
		ID: i.self.ID, Incarnation: i.self.Incarnation, PeerAddr: i.peers.Addr().String(),
		Zone: zone.Zone{Region: s.Instance.Region, DataCentre: s.Instance.DataCentre},
	}
	direct := hosted.NewStore(hosted.StoreOptions{
		Addr: s.Store.Addr, WritesPerS: storePart * s.Store.WritesPerS, ReadsPerS: storePart * s.Store.ReadsPerS,
	})
	i.node = link.NewNode(self, link.Options{Registerer: i.registry, Logger: logger, IdleTimeout: peerIdleTimeout})
	i.store = relay.New(relay.Options{
		Direct: direct, Caller: i.node, Logger: logger, Registerer: i.registry,
		Peers: func() []machine.Instance { return i.present.Peers() },
	})
	i.node.Handle(relay.Method, i.store.Handle)
	i.operators = changelog.NewReplica(i.store, hosted.OperatorPartition, &hosted.Operator{
		Logger: logger, OnConfig: i.takeConfig, OnVersion: i.takeVersion,
	})
	i.entries = changelog.NewReplica(i.store, hosted.EntryPartition, &hosted.Entries{
		Logger: logger, Backends: i.directory,
	})
	i.present = presence.New(self, i.store, logger)
	i.orders = duty.New(ordersDuty, i.self, i.store, i.present, logger)
	i.buildWork()
}

// buildWork connects what serves clients and engines.
func (i *Instance) buildWork() {
	s := i.settings
	client := hosted.NewBackends(s.Instance.ID)
	i.jobs = job.NewRegistry(job.RegistryOptions{
		Self: i.self, Log: i.store, Partitions: s.Store.Partitions,
		Retention: seconds(s.Jobs.RetentionS), Logger: i.log, Near: i.present.Near, Peer: i.present.Peer, Peers: i.present,
		IndexPause: func() time.Duration { return presence.WakePause(indexPause, i.present.Count()) }, IndexRead: i.contact("index"),
	})
	i.driver = job.NewDriver(job.DriverOptions{
		Self: i.self, DataCentre: s.Instance.DataCentre, Registry: i.jobs, Backends: i.directory,
		Engine: client, Peers: i.present, Config: i.config.Load, SlotShare: s.Jobs.SlotShare,
		Logger: i.log, Registerer: i.registry,
	})
	i.mover = versions.New(versions.Options{
		Backends: i.directory, Engine: client, Duty: i.orders, Config: i.config.Load,
		Targets: i.newestVersions, StepSize: i.jobs.StepSize, Logger: i.log,
	})
	ingress := &hosted.Ingress{
		Config: i.config.Load, Jobs: i.jobs, Draining: i.draining.Load, Logger: i.log,
		Forwarder: forward.New(forward.Options{
			Backends: i.directory, Client: client, DataCentre: s.Instance.DataCentre,
			Logger: i.log, Registerer: i.registry,
		}),
	}
	i.server = &http.Server{
		Handler: ingress, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: i.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	router := httprouter.New()
	router.GET(hosted.ReadyPath, i.serveReady)
	i.ready = &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
}

// takeConfig puts a configuration in force unless a newer one is.
func (i *Instance) takeConfig(c *routes.Config) {
	old := i.config.Load()
	if old != nil && old.Version >= c.Version {
		return
	}
	i.config.Store(c)
	i.log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services))
}

func (i *Instance) takeVersion(model string, version int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.targets[model] >= version {
		return
	}
	i.targets[model] = version
	i.log.Info("version named", "model", model, "version", version)
}

func (i *Instance) newestVersions() map[string]int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	newest := make(map[string]int64, len(i.targets))
	for model, version := range i.targets {
		newest[model] = version
	}
	return newest
}

// contact returns a function that logs each loss and return of the store.
func (i *Instance) contact(what string) func(error) {
	lost := false
	return func(err error) {
		if err != nil && !lost {
			i.log.Warn("store lost", "read", what, "err", err)
		}
		if err == nil && lost {
			i.log.Info("store regained", "read", what)
		}
		lost = err != nil
	}
}

func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !i.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (i *Instance) isReady() bool {
	return !i.draining.Load() && i.config.Load() != nil && i.entries.Age() < contactLimit
}

// ListenError reports an address at which the instance cannot listen.
type ListenError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen at %s: %v", e.Addr, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Listen opens the addresses of the clients, the readiness questions and the peers.
func (i *Instance) Listen() error {
	clients, err := net.Listen("tcp", i.settings.Listen.Clients)
	if err != nil {
		return &ListenError{Addr: i.settings.Listen.Clients, Err: err}
	}
	ready, err := net.Listen("tcp", i.settings.Listen.Ready)
	if err != nil {
		_ = clients.Close()
		return &ListenError{Addr: i.settings.Listen.Ready, Err: err}
	}
	peers, err := net.Listen("tcp", i.settings.Listen.Peers)
	if err != nil {
		_ = clients.Close()
		_ = ready.Close()
		return &ListenError{Addr: i.settings.Listen.Peers, Err: err}
	}
	i.clients, i.readiness, i.peers = clients, ready, peers
	i.connect()
	return nil
}

// Run runs the instance after Listen until ctx ends; Stop precedes a planned end.
func (i *Instance) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryPart * i.settings.Limits.MemoryMB * (1 << 20)))
	i.log.Info("instance started", "incarnation", i.self.Incarnation, "clients", i.settings.Listen.Clients, "store", i.settings.Store.Addr)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks conc.WaitGroup
	for _, task := range []func(context.Context){
		i.followOperators, i.followEntries, i.present.Run, i.orders.Run, i.jobs.Run, i.driver.Run, i.mover.Run,
	} {
		tasks.Go(func() { task(ctx) })
	}
	tasks.Go(func() { i.serve(i.server, i.clients) })
	tasks.Go(func() { i.serve(i.ready, i.readiness) })
	tasks.Go(func() { i.serveMetrics(ctx) })
	tasks.Go(func() {
		if err := i.node.Serve(ctx, i.peers); err != nil {
			i.log.Error("peers not served", "err", err)
		}
	})
	<-ctx.Done()
	_ = i.server.Close()
	_ = i.ready.Close()
	tasks.Wait()
	i.log.Info("instance stopped")
	return nil
}

func (i *Instance) followOperators(ctx context.Context) {
	i.operators.Follow(ctx, operatorWait, func() time.Duration { return presence.WakePause(0, i.present.Count()) }, i.contact("operators"))
}

func entriesPauseOf(instances int) time.Duration {
	return max(entriesPause, time.Duration(instances)*entriesPerInstance)
}

func (i *Instance) followEntries(ctx context.Context) {
	report := i.contact("entries")
	i.entries.Follow(ctx, 0, func() time.Duration { return entriesPauseOf(i.present.Count()) }, func(err error) {
		if err != nil {
			i.directory.RecordOutage()
		}
		report(err)
	})
}

func (i *Instance) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		i.log.Error("server ended", "addr", listener.Addr().String(), "err", err)
	}
}

// serveMetrics serves the metrics. An instance without them still serves its clients.
func (i *Instance) serveMetrics(ctx context.Context) {
	if i.settings.Listen.Metrics == "" {
		return
	}
	listener, err := net.Listen("tcp", i.settings.Listen.Metrics)
	if err != nil {
		i.log.Error("metrics not served", "addr", i.settings.Listen.Metrics, "err", err)
		return
	}
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{}))
	server := &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	i.serve(server, listener)
}

// Stop performs a planned stop and returns when the instance may end: it takes no new work,
// finishes its jobs or leaves them to others, and answers the requests in flight.
func (i *Instance) Stop(ctx context.Context) {
	start := time.Now()
	grace := seconds(i.settings.Stop.GraceS)
	i.draining.Store(true)
	i.driver.Retire()
	ctx, cancel := context.WithDeadline(ctx, start.Add(grace-exitMargin))
	defer cancel()
	i.present.Stopping(ctx)
	i.orders.Release(ctx)
	for time.Since(start) < time.Duration(handoverPart*float64(grace)) && i.driver.Active() > 0 {
		if !timing.Sleep(ctx, 20*time.Millisecond) {
			break
		}
	}
	i.log.Info("jobs handed over", "left", i.driver.Active(), "after", time.Since(start))
	i.present.Leave(ctx)
	timing.Sleep(ctx, time.Until(start.Add(balancerDelay)))
	if err := i.server.Shutdown(ctx); err != nil {
		i.log.Warn("requests cut off by the stop", "err", err)
	}
	i.log.Info("planned stop done", "took", time.Since(start))
}
