package instance

import (
	"github.com/cicadasill/cicadasill/flood"
	"github.com/cicadasill/cicadasill/httpguard"
	"github.com/cicadasill/cicadasill/intake"
	"github.com/cicadasill/cicadasill/platform/hosted"
)

// Shares of the machine's limits that clients' connections and unanswered heads may take.
const (
	// connFraction is the fraction of the memory limit that the connections of clients may take with ordinary heads.
	connFraction = 0.15
	// headFraction is the fraction of the memory limit that larger heads may take.
	headFraction = 0.1
	// spareFraction is the fraction of the memory limit that items and large heads may take before they leave less to large bodies.
	// An instance that drives as many items as it may then still takes jobs for others to drive.
	spareFraction = 0.05
	// fileFDs are the descriptors that the platform keeps for files.
	fileFDs = 200
	// clientFDFraction and peerFDFraction are the fractions of the other descriptors for clients and for peers. The rest is for
	// back ends, the store, probes and metrics.
	clientFDFraction = 0.5
	peerFDFraction   = 0.25
	// probeConns bounds the connections of readiness probes, and those of readers of metrics. A probe and a reader need one each.
	probeConns = 16
	// minConns is the smallest bound of connections.
	minConns = 16
)

// connLimits bound the connections of one process.
type connLimits struct {
	clients flood.Limits
	probes  flood.Limits
	peers   int
}

// limitConns derives the bounds of the connections from the machine's limits.
func limitConns(l LimitSettings, processFDs int) connLimits {
	fds := max(0, min(l.MaxFDs.Or(float64(processFDs)), float64(processFDs))-fileFDs)
	memory := l.MemoryMB * (1 << 20)
	clients := max(minConns, int(min(connFraction*memory/flood.ConnCost, clientFDFraction*fds)))
	perAddr := min(clients, max(1, int(l.MaxConnsPerAddr.Or(float64(clients)))))
	return connLimits{
		clients: flood.Limits{Conns: clients, ConnsPerAddr: perAddr, HeadCost: int64(headFraction * memory)},
		probes:  flood.Limits{Conns: probeConns, HeadCost: flood.Cost(httpguard.DefaultHeaderBytes, 0)},
		peers:   max(minConns, int(peerFDFraction*fds)),
	}
}

// buildIntake divides the memory that clients and other instances may make the instance hold.
func (i *Instance) buildIntake() {
	memory, metrics := i.settings.Limits.MemoryMB*(1<<20), intake.NewMetrics(i.registry)
	i.clientMemory = newClientMemory(memory, metrics, func() int64 { return i.jobs.OpenItemBytes() + i.clientGuard.HeadBytes() })
	i.peerMemory = intake.New(intake.Options{Name: "peers", Limits: intake.PeerLimits(memory), Metrics: metrics})
}

// newClientMemory returns the memory of clients on a machine with memory bytes. elsewhere returns the bytes of the items of open jobs and
// of large heads, which leave less to large bodies.
func newClientMemory(memory float64, metrics *intake.Metrics, elsewhere func() int64) *intake.Memory {
	return intake.New(intake.Options{
		Name: "clients", Limits: intake.Limits(memory), Metrics: metrics, Elsewhere: elsewhere, Spare: int64(spareFraction * memory),
	})
}

// clientLimits returns what the configuration in force allows a client.
func (i *Instance) clientLimits() httpguard.Limits {
	config := i.config.Load()
	if config == nil {
		return httpguard.Limits{}
	}
	l := config.Limits
	return httpguard.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// newGuard returns the guard of one of the instance's servers.
func (i *Instance) newGuard(listener string, limits flood.Limits, clientLimits func() httpguard.Limits) *httpguard.Guard {
	return httpguard.New(httpguard.Options{
		Listener: listener, Flood: limits, Limits: clientLimits, Refuse: hosted.RefuseHead, Answers: i.clientMemory, Metrics: i.guardMetrics, Logger: i.log,
	})
}
