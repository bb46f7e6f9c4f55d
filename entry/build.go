package entry

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/cicadasill/cicadasill/claim"
	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/feed"
	"github.com/cicadasill/cicadasill/gateway"
	"github.com/cicadasill/cicadasill/health"
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

// observerKeyPrefix separates the keys that choose observers from other keys in rendezvous hashing.
const observerKeyPrefix = "observer/"

// subsetSize is the largest number of a service's back ends that one instance routes to and polls.
// Current services have fewer back ends; for a service with 600 samplers it bounds the polls per
// node.
const subsetSize = 16

// maxHeaderBytes bounds the header of a request.
const maxHeaderBytes = 32 << 10

// listen opens the listeners for callers, peers and operators. If one cannot be opened, it closes
// the ones before it.
func (i *Instance) listen() error {
	listeners := []struct {
		addr string
		dst  *net.Listener
	}{
		{i.config.Self.HTTPAddr, &i.httpListener},
		{i.config.Self.PeerAddr, &i.peerListener},
		{i.config.AdminAddr, &i.adminListener},
	}
	for n, l := range listeners {
		listener, err := net.Listen("tcp", l.addr)
		if err != nil {
			for _, opened := range listeners[:n] {
				_ = (*opened.dst).Close()
			}
			return &Error{Code: ListenFailed, Addr: l.addr, Err: err}
		}
		*l.dst = listener
	}
	return nil
}

// build creates the components and connects them. It registers the handlers on the link node, which
// must happen before the node serves.
func (i *Instance) build() {
	i.buildIntake()
	i.buildClients()
	i.buildControlPlane()
	i.buildRouting()
	i.buildGateway()
	i.buildTrainerAPI()
	i.buildServers()
}

// buildIntake divides the memory that callers, trainers, operators and peers may make the instance hold.
func (i *Instance) buildIntake() {
	memory, metrics := float64(i.config.MemoryBytes), intake.NewMetrics(i.config.Registry)
	i.clientMemory = intake.New(intake.Options{
		Name: "clients", Limits: intake.Limits(memory), Metrics: metrics,
		Elsewhere: func() int64 { return i.httpGuard.HeadBytes() + i.adminGuard.HeadBytes() },
	})
	i.peerMemory = intake.New(intake.Options{Name: "peers", Limits: intake.PeerLimits(memory), Metrics: metrics})
}

func (i *Instance) buildClients() {
	opts := httpplatform.Options{DialContext: i.config.DialContext, Logger: i.log}
	i.clients = clients{
		log:    httpplatform.NewLog(i.config.LogAddr, opts),
		list:   httpplatform.NewInstanceList(i.config.ListAddr, opts),
		engine: httpplatform.NewEngine(opts),
		plain:  httpplatform.NewPlainService(opts),
	}
}

// buildControlPlane creates the components through which the instances share state: the link, the
// membership, the feed of the control stream, the leases and the claims.
func (i *Instance) buildControlPlane() {
	i.node = link.NewNode(i.self, link.Options{
		Deployment: i.config.Deployment,
		Registerer: i.config.Registry, Logger: i.log, DialContext: i.config.DialContext, MaxConns: maxPeerConns(), Requests: i.peerMemory,
	})
	i.instanceList = &cachedInstanceList{list: i.clients.list}
	i.members = membership.New(i.self, i.node, i.instanceList, membership.Options{
		Registerer: i.config.Registry, Logger: i.log,
	})
	i.feed = feed.New(i.self, i.clients.log, feed.Options{
		Peers: i.node, View: i.members, Logger: i.log, Registerer: i.config.Registry,
	})
	i.node.Handle(feed.PushMethod, i.feed.HandlePush)
	i.node.Handle(feed.PullMethod, i.feed.HandlePull)
	i.node.Handle(statusMethod, i.handleStatus)
	i.members.SetPiggyback(i.feed.Piggyback, i.feed.ReceivePiggyback)
	i.leases = lease.NewManager(i.self, i.feed, lease.Options{
		SuccessorWait: i.successorWait, Live: i.members.Live,
		Logger: i.log, Registerer: i.config.Registry,
	})
	i.claims = claim.NewClaims(i.self, i.clients.log, i.members, i.node, claim.Options{
		Share: claim.OwnerShare, Logger: i.log, Registerer: i.config.Registry,
	})
}

// successorWait returns how long a new holder of duty must wait before its first order. Engines that
// ignore fencing tokens may still carry out orders of the previous holder, so for their orders it is
// the longest life of an order; otherwise it is 0.
func (i *Instance) successorWait(duty string) time.Duration {
	service, orders := strings.CutPrefix(duty, lease.OrdersPrefix)
	if !orders {
		return 0
	}
	if s, ok := i.feed.State().Catalog.Service(service); ok && s.ChecksFencing {
		return 0
	}
	return lease.MaxOrderLife
}

func (i *Instance) buildRouting() {
	i.router = routing.New(routing.Options{
		Zone: i.self.Zone, Policy: i.config.Policy, CrossRegionCostPerMB: i.config.CrossRegionPerMB,
		Registerer: i.config.Registry,
	})
	i.health = health.New(health.Options{
		Engine: i.clients.engine, Plain: i.clients.plain, List: i.instanceList,
		PeersLeaving: i.members.LeavingBackends, ReportLeaving: i.members.ReportLeaving,
		CacheEvents: i.router.Hints().ApplyEvents,
		Observes:    i.observes, Self: i.self.ID, Zone: i.self.Zone, Subset: subsetSize,
		Registerer: i.config.Registry, Logger: i.log,
	})
	i.router.SetTracker(i.health)
}

// observes reports whether this instance is the observer of b, the instance that polls b each second
// and reports to the others that b is leaving. The observer is an instance of b's region if one is
// live, so that each region still observes its own back ends while the regions are disconnected.
func (i *Instance) observes(b machine.Backend) bool {
	live := i.members.Live()
	regional := make([]machine.Instance, 0, len(live))
	for _, peer := range live {
		if peer.Zone.Region == b.Zone.Region {
			regional = append(regional, peer)
		}
	}
	if len(regional) == 0 {
		regional = live
	}
	return membership.Owner(observerKeyPrefix+b.ID, regional).Ref() == i.self.Ref()
}

func (i *Instance) buildGateway() {
	i.gateway = gateway.New(gateway.Options{
		Self:    i.self,
		Service: i.serviceForRequest,
		Router:  i.router, Tracker: i.health,
		Engine: i.clients.engine, Plain: i.clients.plain,
		Claims:  gateway.AdaptClaims(i.claims),
		Owner:   i.claimOwner,
		Forward: forwarder(i.node, link.CauseForward),
		MaxBody: i.config.MaxBodyBytes, Bodies: i.clientMemory,
		Logger: i.log, Registerer: i.config.Registry,
	})
}

// serviceForRequest returns the service of a caller's request and marks it as in use: its back ends
// are polled each second from then on.
func (i *Instance) serviceForRequest(name string) (*contract.Service, bool) {
	service, ok := i.feed.State().Catalog.Service(name)
	if ok {
		i.health.RecordDemand(name)
	}
	return service, ok
}

// claimOwner returns the instance to which rendezvous hashing assigns the claim stream of key.
func (i *Instance) claimOwner(key claim.Key) machine.Instance {
	return membership.Owner(claim.StreamOf(key), i.members.Live())
}

// buildTrainerAPI creates the components that serve trainers: rollouts and the distribution of
// weights.
func (i *Instance) buildTrainerAPI() {
	dir := directory{i.feed}
	picker := rolloutPicker{router: usageReportingRouter{i.router, i.health}, unfit: i.unfit}
	i.rollouts = rollout.New(rollout.Options{
		Directory: dir, Picker: picker, Engine: i.clients.engine, View: i.members,
		Owner: membership.Owner, Forward: forwarder(i.node, link.CauseRollout),
		Scorer: &rollout.PlainScorer{Directory: dir, Picker: picker, Plain: i.clients.plain},
		Load:   i.loadReport, Bodies: i.clientMemory, MaxPromptBytes: int64(promptFraction * float64(i.config.MemoryBytes)),
		Logger: i.log, Registerer: i.config.Registry,
	})
	i.weights = weights.New(weights.Options{
		Directory: dir, Announcer: i.feed, Campaign: campaigner(i.leases), Engine: i.clients.engine,
		SetUnfit: i.unfit.set, Logger: i.log, Registerer: i.config.Registry,
	})
}

func (i *Instance) buildServers() {
	router := httprouter.New()
	i.gateway.Register(router)
	i.rollouts.Register(router)
	i.weights.Register(router)
	handler := i.countInFlight(i.requireState(router))
	i.node.HandleHTTP(handler)
	i.httpServer = &http.Server{
		Handler: handler, ReadHeaderTimeout: i.config.HeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	i.adminServer = &http.Server{
		Handler: i.adminHandler(), ReadHeaderTimeout: i.config.HeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	i.buildGuards()
}

// countInFlight counts the requests in flight; a planned stop waits until there are none.
func (i *Instance) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i.inFlight.Add(1)
		defer i.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// backendsOf returns the back ends of all the services.
func backendsOf(services []*contract.Service) []machine.Backend {
	var out []machine.Backend
	for _, s := range services {
		out = append(out, s.Backends...)
	}
	return out
}
