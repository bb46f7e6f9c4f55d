// Package instance assembles and runs one entry instance on the users' platform: it reads the settings,
// connects forwarding, batch jobs and weight updates with the adapter for the platform's protocols
// (platform/hosted), and performs the planned stop.
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
	"github.com/cicadasill/cicadasill/httpguard"
	"github.com/cicadasill/cicadasill/intake"
	"github.com/cicadasill/cicadasill/job"
	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/origin"
	"github.com/cicadasill/cicadasill/platform/hosted"
	"github.com/cicadasill/cicadasill/presence"
	"github.com/cicadasill/cicadasill/quarantine"
	"github.com/cicadasill/cicadasill/ratelimit"
	"github.com/cicadasill/cicadasill/relay"
	"github.com/cicadasill/cicadasill/routes"
	"github.com/cicadasill/cicadasill/timing"
	"github.com/cicadasill/cicadasill/versions"
	"github.com/cicadasill/cicadasill/zone"
)

// Intervals and limits of an instance.
const (
	// operatorReadWait is how long a read of the operators' records waits for new ones.
	operatorReadWait = time.Second
	// minIndexReadPause is the shortest pause between reads of the job index, used in a small deployment.
	minIndexReadPause = 20 * time.Millisecond
	// minRateLimitReadPause is the shortest pause between reads of the back ends' rate limits.
	minRateLimitReadPause = 50 * time.Millisecond
	// minCrashReadPause is the shortest pause between reads of the crashes of back ends under requests.
	minCrashReadPause = 5 * time.Millisecond
	// maxStoreSilence is how long the store may not respond before the instance reports that it is not
	// ready: the store may still respond to other instances.
	maxStoreSilence = 2 * time.Second
	// headerTimeout and idleTimeout are longer than the limits that operators set for clients, so that
	// the server does not close a connection on which a client is about to send a request.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	// storeFraction is the fraction of the store's rate limits that one instance may use.
	storeFraction = 0.25
	// memoryFraction is the fraction of the memory limit that is set as the Go runtime's soft limit.
	memoryFraction = 0.6
	// itemFraction is the fraction of the memory limit that the items of an instance's open jobs may take.
	itemFraction = 0.2
	// copyFraction is the fraction of the memory limit that items in copies of data partitions may take.
	copyFraction = 0.05
	// outputFraction is the fraction of the memory limit that outputs of results and checkpoints there may take.
	outputFraction = 0.1
	// startedFraction is the fraction of the memory limit that started items may take besides their texts.
	startedFraction = 0.12
	// peerIdleTimeout is the time after which an unused connection to a peer is closed.
	peerIdleTimeout = 10 * time.Second
	// ordersDuty is the duty whose holder alone sends orders to engines.
	ordersDuty = "orders"
)

// Times of a planned stop.
const (
	// balancerDelay is the time from the start of the stop, when the instance becomes not ready, to the
	// close of its client listener. It covers the platform's two readiness probes, a second apart.
	balancerDelay = 2500 * time.Millisecond
	// handoverFraction is the fraction of the grace time in which the instance's own jobs may finish.
	handoverFraction = 0.6
	// resultsFraction is the fraction of the grace time in which the results of these jobs may be listed. The rest of it after
	// handoverFraction fits a call to the store on a silent connection and its repeat.
	resultsFraction = 0.8
	// peerDrainTimeout bounds the wait for the exchanges of peers when the instance ends. It is a part of
	// exitMargin: a peer whose call goes through this instance to a store that does not answer would hold the
	// process beyond its grace time.
	peerDrainTimeout = 400 * time.Millisecond
	// exitMargin is the time reserved at the end of the grace time for the exit of the process.
	exitMargin = time.Second
	// answerMargin is the time, before exitMargin begins, in which the requests that the stop ends get their answers.
	answerMargin = 200 * time.Millisecond
	// stopPollInterval is how often a stopping instance looks whether its jobs and requests have ended.
	stopPollInterval = 20 * time.Millisecond
)

// Instance is one entry instance. Listen must be called before Run. For a planned stop, call Stop and
// then end the context of Run.
type Instance struct {
	settings *Settings
	self     machine.Ref
	log      *log.Logger
	registry *prometheus.Registry

	config atomic.Pointer[routes.Config]
	// loggedConfig is the configuration with the highest version in the log of the operators, as far as it was read at the start.
	loggedConfig atomic.Pointer[routes.Config]
	configLag    prometheus.Histogram
	draining     atomic.Bool
	// answersEnd is the time at which a stopping instance ends the requests that have no answer yet. It is set before draining.
	answersEnd atomic.Pointer[time.Time]
	// requests is the parent of the contexts of all client requests. endRequests ends it at answersEnd.
	requests    context.Context
	endRequests context.CancelCauseFunc

	mu      sync.Mutex       // guards targets
	targets map[string]int64 // newest announced version of the weights by model

	store           *relay.Log
	directStore     *hosted.Store
	node            *link.Node
	operators       *changelog.Replica
	operatorRecords *hosted.OperatorRecords
	entries         *entryReader
	directory       *backends.Directory
	presence        *presence.Table
	rateLimits      *ratelimit.Replica
	quarantine      *quarantine.Table
	origins         *origin.Table
	orders          *duty.Duty
	platformAPI     *hosted.PlatformAPI // nil if the deployment has none
	usage           *usageReports       // nil if the deployment reports no usage
	jobs            *job.Registry
	driver          *job.Driver
	loadScheduler   *versions.LoadScheduler

	clientListener net.Listener
	readyListener  net.Listener
	peerListener   net.Listener
	server         *http.Server
	clientConns    *connTracker
	readyServer    *http.Server
	connLimits     connLimits
	guardMetrics   *httpguard.Metrics
	clientMemory   *intake.Memory // bodies of requests, and answers that clients do not read at once
	peerMemory     *intake.Memory // messages of other instances
	clientGuard    *httpguard.Guard
	readyGuard     *httpguard.Guard
}

// New returns an instance that has not been started. Call Listen and then Run to start it.
func New(s *Settings, logger *log.Logger, registry *prometheus.Registry) *Instance {
	i := &Instance{
		settings: s, log: logger, registry: registry, targets: map[string]int64{},
		self:      machine.Ref{ID: s.Instance.ID, Incarnation: uint64(time.Now().UnixNano())},
		directory: backends.New(), connLimits: limitConns(s.Limits, httpguard.DescriptorLimit()),
	}
	i.requests, i.endRequests = context.WithCancelCause(context.Background())
	return i
}

// build creates the components of the instance. The peer listener must be open, because its address is
// announced to the other instances.
func (i *Instance) build() {
	s, logger := i.settings, i.log
	self := machine.Instance{
		ID: i.self.ID, Incarnation: i.self.Incarnation, PeerAddr: i.peerListener.Addr().String(),
		Zone: zone.Zone{Region: s.Instance.Region, DataCentre: s.Instance.DataCentre},
	}
	i.directStore = hosted.NewStore(hosted.StoreOptions{
		Addr: s.Store.Addr, WritesPerS: storeFraction * s.Store.WritesPerS, ReadsPerS: storeFraction * s.Store.ReadsPerS,
		Limits: s.Store.limits(), Logger: logger, Registerer: i.registry,
	})
	i.buildIntake()
	i.node = link.NewNode(self, link.Options{
		Registerer: i.registry, Logger: logger, IdleTimeout: peerIdleTimeout, DrainTimeout: peerDrainTimeout,
		MaxConns: i.connLimits.peers, Requests: i.peerMemory,
	})
	i.store = relay.New(relay.Options{
		Direct: i.directStore, Caller: i.node, Logger: logger, Registerer: i.registry,
		Peers: func() []machine.Instance { return i.presence.Peers() },
	})
	i.node.Handle(relay.Method, i.store.Handle)
	i.configLag = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "cicadasill_config_lag_seconds",
		Help:    "Longest time for which the store may have had a configuration before it was in force at this instance: the age of the copy before.",
		Buckets: prometheus.ExponentialBuckets(0.125, 2, 8)})
	i.registry.MustRegister(i.configLag)
	i.operatorRecords = &hosted.OperatorRecords{Logger: logger, OnConfig: i.applyConfig, OnVersion: i.recordTargetVersion}
	i.operators = changelog.NewReplica(i.store, hosted.OperatorPartition, i.operatorRecords)
	i.entries = newEntryReader(i)
	i.node.Handle(digestMethod, func(_ context.Context, payload []byte) ([]byte, error) { return i.entries.recorder.Handle(payload) })
	i.presence = presence.New(self, i.store, func() int { return i.driver.ActiveDrivers() }, logger)
	i.presence.StateProcessors(s.Limits.CPUShare.Value * s.Limits.Cores.Or(1))
	i.rateLimits = ratelimit.NewReplica(ratelimit.ReplicaOptions{
		Log: i.store, Backends: i.directory, Rank: i.presence.Rank, Logger: logger,
		ReadWait:  func() time.Duration { return presence.LongPollWait(i.presence.Count()) },
		ReadPause: func() time.Duration { return presence.LongPollPause(minRateLimitReadPause, i.presence.Count()) },
	})
	i.quarantine = quarantine.New(quarantine.Options{
		Log: i.store, Backends: i.directory, Rank: i.presence.Rank, Logger: logger, Registerer: i.registry,
		ReadWait:  func() time.Duration { return presence.LongPollWait(i.presence.Count()) },
		ReadPause: func() time.Duration { return presence.LongPollPause(minCrashReadPause, i.presence.Count()) },
	})
	i.origins = i.newOrigins()
	i.orders = duty.New(ordersDuty, i.self, i.store, i.presence, logger)
	i.buildServers()
}

// buildServers creates the components that serve clients and engines.
func (i *Instance) buildServers() {
	s := i.settings
	backendClient := hosted.NewBackends(s.Instance.ID, i.rateLimits, i.log)
	backendClient.RegisterMetrics(i.registry)
	backendClient.ShareBuffers(i.directStore, i.clientMemory)
	i.platformAPI = i.newPlatformAPI()
	i.protectOrders(backendClient)
	i.usage = i.buildUsage()
	limiter := ratelimit.New(ratelimit.Options{
		Self: i.self, Caller: i.node, Instances: i.presence, Logger: i.log, Registerer: i.registry,
	})
	i.node.Handle(ratelimit.Method, limiter.Handle)
	i.jobs = job.NewRegistry(job.RegistryOptions{
		Self: i.self, Log: i.store, Limits: s.Store.limits(), Partitions: s.Store.Partitions,
		Retention: seconds(s.Jobs.RetentionS), Logger: i.log, AvailableInDataCentre: i.presence.AvailableInDataCentre, Drivers: i.presence.Drivers, Peers: i.presence,
		MaxItemBytes: int64(itemFraction * s.Limits.MemoryMB * (1 << 20)), MaxCopiedItemBytes: int64(copyFraction * s.Limits.MemoryMB * (1 << 20)),
		MaxCopiedOutputBytes: int64(outputFraction * s.Limits.MemoryMB * (1 << 20)),
		IndexPause:           func() time.Duration { return presence.LongPollPause(minIndexReadPause, i.presence.Count()) }, IndexRead: i.storeMonitor("index"),
		Holders: &job.Holders{Possible: i.presence.PossiblyLive, Ask: i.readCopy}, Registerer: i.registry,
	})
	i.node.Handle(job.ReadMethod, i.jobs.HandleRead)
	spreadBy := ""
	if s.Jobs.SpreadEqual {
		spreadBy = s.Instance.ID
	}
	forwarder := forward.New(forward.Options{
		Backends: i.directory, Client: backendClient, RateLimits: limiter, Quarantine: i.quarantine, Origins: i.origins, EntriesAge: i.entries.Age, Self: spreadBy, DataCentre: s.Instance.DataCentre,
		RequestBegan: i.usage.observer(), Logger: i.log, Registerer: i.registry,
	})
	i.driver = job.NewDriver(job.DriverOptions{
		Self: i.self, DataCentre: s.Instance.DataCentre, Registry: i.jobs, Backends: i.directory,
		Engine: backendClient, Requests: forwarder, RateLimits: limiter, Peers: i.presence, Config: i.config.Load, EntriesAge: i.entries.Age, SlotShare: s.Jobs.SlotShare, SpreadEqual: s.Jobs.SpreadEqual,
		StartedBytes: int64(startedFraction * s.Limits.MemoryMB * (1 << 20)), Logger: i.log, Registerer: i.registry,
	})
	i.loadScheduler = versions.New(versions.Options{
		Backends: i.directory, Engine: backendClient, RateLimits: limiter, Duty: i.orders, Config: i.config.Load,
		Targets: i.targetVersions, StepSize: i.jobs.StepSize, Logger: i.log,
	})
	i.guardMetrics = httpguard.NewMetrics(i.registry)
	ingress := &hosted.Ingress{
		Config: i.config.Load, Refresh: i.newConfigRefresh(), ConfigRefusals: hosted.NewConfigRefusals(i.registry), Jobs: i.jobs, Draining: i.draining.Load, AnswersEnd: func() time.Time { return *i.answersEnd.Load() },
		StopRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadasill_stop_refusals_total",
			Help: "Requests refused by the stopping instance because they might have lasted longer than it."}, []string{"kind"}),
		Access: i.newAccess(), Logger: i.log, Forwarder: forwarder,
		Bodies: i.clientMemory,
	}
	i.registry.MustRegister(ingress.StopRefusals)
	i.clientConns = newConnTracker()
	i.server = &http.Server{
		Handler: ingress, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		BaseContext: func(net.Listener) context.Context { return i.requests }, ConnState: i.clientConns.observe,
		ErrorLog: i.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	i.clientGuard = i.newGuard("clients", i.connLimits.clients, i.clientLimits)
	i.clientGuard.Protect(i.server)
	router := httprouter.New()
	router.GET(hosted.ReadyPath, i.serveReady)
	i.readyServer = &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	i.readyGuard = i.newGuard("ready", i.connLimits.probes, nil)
	i.readyGuard.Protect(i.readyServer)
}

// readCopy passes a read of a job to another instance, which answers it from its copy of the job's partition.
func (i *Instance) readCopy(ctx context.Context, to machine.Instance, request []byte) ([]byte, error) {
	return i.node.Call(ctx, to, link.CauseStore, job.ReadMethod, request)
}

// applyConfig puts a configuration in force unless the current one is as new or newer. lag is the longest time for which the store
// may have had it; 0 if that is not known.
func (i *Instance) applyConfig(c *routes.Config, lag time.Duration) {
	if logged := i.loggedConfig.Load(); logged != nil && logged.Version > c.Version {
		c = logged
	}
	old := i.config.Load()
	if old != nil && old.Version >= c.Version {
		return
	}
	i.config.Store(c)
	if lag > 0 {
		i.configLag.Observe(lag.Seconds())
	}
	i.log.Info("configuration in force", "version", c.Version, "lag_at_most", lag, "routes", len(c.Routes), "services", len(c.Services))
}

// recordTargetVersion records a version of a model's weights that a trainer has announced. Versions
// that are not newer than the recorded one are ignored.
func (i *Instance) recordTargetVersion(model string, version int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.targets[model] >= version {
		return
	}
	i.targets[model] = version
	i.log.Info("version named", "model", model, "version", version)
}

// targetVersions returns a copy of the newest announced version of each model's weights.
func (i *Instance) targetVersions() map[string]int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	copied := make(map[string]int64, len(i.targets))
	for model, version := range i.targets {
		copied[model] = version
	}
	return copied
}

// storeMonitor returns a function that takes the outcome of each read of the named records and logs when
// the reads begin to fail and when they succeed again.
func (i *Instance) storeMonitor(records string) func(error) {
	lost := false
	return func(err error) {
		if err != nil && !lost {
			i.log.Warn("store lost", "read", records, "err", err)
		}
		if err == nil && lost {
			i.log.Info("store regained", "read", records)
		}
		lost = err != nil
	}
}

func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !i.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isReady reports whether the instance should get new connections: it is not draining, has a
// configuration that is not too old, knows the quarantined requests and the rate limits, and has read the back ends'
// entries within maxStoreSilence.
func (i *Instance) isReady() bool {
	return !i.draining.Load() && i.config.Load() != nil && !i.configMayBeReplaced() && i.quarantine.HasRead() && i.rateLimits.HasRead() &&
		i.entries.Age() < maxStoreSilence
}

// ListenError reports an address on which the instance cannot listen.
type ListenError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Addr, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Listen opens the listeners for clients, readiness probes and peers, and creates the components.
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
	i.clientListener, i.readyListener, i.peerListener = clients, ready, peers
	i.build()
	return nil
}

// Run runs the instance after Listen until ctx ends, and then closes all connections at once. A planned
// stop calls Stop before it ends ctx.
func (i *Instance) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryFraction * i.settings.Limits.MemoryMB * (1 << 20)))
	capacity := i.newCapacityScheduler()
	i.log.Info("instance started", "incarnation", i.self.Incarnation, "clients", i.settings.Listen.Clients, "store", i.settings.Store.Addr)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks conc.WaitGroup
	for _, task := range []func(context.Context){
		i.followOperators, i.renewConfig, i.entries.run, i.presence.Run, i.orders.Run, i.jobs.Run, i.driver.Run, i.loadScheduler.Run,
		i.usage.run,
		func(ctx context.Context) { i.rateLimits.Run(ctx, i.storeMonitor("rate limits")) },
		i.followOrigins,
		func(ctx context.Context) { i.quarantine.Run(ctx, i.storeMonitor("crashes")) },
	} {
		tasks.Go(func() { task(ctx) })
	}
	if capacity != nil {
		tasks.Go(func() { capacity(ctx) })
	}
	tasks.Go(func() { i.serve(i.server, i.clientGuard.Listener(i.clientListener)) })
	tasks.Go(func() { i.serve(i.readyServer, i.readyGuard.Listener(i.readyListener)) })
	tasks.Go(func() { i.serveMetrics(ctx) })
	tasks.Go(func() {
		if err := i.node.Serve(ctx, i.peerListener); err != nil {
			i.log.Error("cannot serve peers", "err", err)
		}
	})
	<-ctx.Done()
	_ = i.server.Close()
	_ = i.readyServer.Close()
	tasks.Wait()
	i.log.Info("instance stopped")
	return nil
}

// serve runs an HTTP server until it or its listener is closed.
func (i *Instance) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		i.log.Error("HTTP server failed", "addr", listener.Addr().String(), "err", err)
	}
}

// serveMetrics serves the metrics if the settings have an address for them. A failure is only logged:
// the instance serves its clients without metrics.
func (i *Instance) serveMetrics(ctx context.Context) {
	if i.settings.Listen.Metrics == "" {
		return
	}
	listener, err := net.Listen("tcp", i.settings.Listen.Metrics)
	if err != nil {
		i.log.Error("cannot serve metrics", "addr", i.settings.Listen.Metrics, "err", err)
		return
	}
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{}))
	server := &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	guard := i.newGuard("metrics", i.connLimits.probes, nil)
	guard.Protect(server)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	i.serve(server, guard.Listener(listener))
}

// Stop performs a planned stop and returns when Run may be ended: the instance takes no new work,
// finishes its jobs or hands them over to other instances, and answers the requests in flight.
func (i *Instance) Stop(ctx context.Context) {
	start := time.Now()
	grace := seconds(i.settings.Stop.GraceS)
	answersEnd := start.Add(grace - exitMargin - answerMargin)
	i.answersEnd.Store(&answersEnd)
	i.draining.Store(true)
	i.driver.StopTakeovers()
	ctx, cancel := context.WithDeadline(ctx, start.Add(grace-exitMargin))
	defer cancel()
	endRequests := time.AfterFunc(time.Until(answersEnd), func() { i.endRequests(hosted.ErrStopped) })
	defer endRequests.Stop()
	var listener conc.WaitGroup // closes beside the hand-over, which may wait for the store
	listener.Go(func() {
		timing.Sleep(ctx, time.Until(start.Add(balancerDelay)))
		_ = i.clientListener.Close() // an error means that it is closed
	})
	i.presence.AnnounceDraining(ctx)
	i.orders.Release(ctx)
	for time.Since(start) < time.Duration(handoverFraction*float64(grace)) && i.driver.Active() > 0 {
		if !timing.Sleep(ctx, stopPollInterval) {
			break
		}
	}
	i.log.Info("jobs handed over", "left", i.driver.Active(), "after", time.Since(start))
	i.listLastResults(ctx, start.Add(time.Duration(resultsFraction*float64(grace))))
	i.presence.Leave(ctx)
	listener.Wait()
	// Shutdown drops requests that arrive after its start, so that it may start only when none is expected.
	for timing.Sleep(ctx, stopPollInterval) && i.clientConns.isBusy() {
	}
	if err := i.server.Shutdown(ctx); err != nil {
		i.log.Warn("planned stop interrupted requests", "err", err)
	}
	i.usage.flush(ctx)
	i.log.Info("planned stop done", "took", time.Since(start))
}

// listLastResults stops the jobs that are left and lists their results. Another instance that took the jobs over before would
// run those items again.
func (i *Instance) listLastResults(ctx context.Context, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	start := time.Now()
	i.driver.StopJobs(ctx)
	if err := i.jobs.AwaitResults(ctx); err != nil {
		i.log.Warn("last results not listed", "waited", time.Since(start), "err", err)
		return
	}
	i.log.Info("last results listed", "took", time.Since(start))
}
