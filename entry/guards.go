package entry

import (
	"github.com/cicadasill/cicadasill/flood"
	"github.com/cicadasill/cicadasill/httpguard"
	"github.com/cicadasill/cicadasill/link"
)

// Bounds of connections and heads. The memory of the machine and the descriptors that the operating system allows the process lower
// them.
const (
	// maxHTTPConns and maxAdminConns bound the connections of callers and of operators: 48 MB and 1.5 MB of memory.
	maxHTTPConns  = 2048
	maxAdminConns = 64
	// httpFDDivisor, adminFDDivisor and peerFDDivisor give the part of the descriptors that callers, operators and peers may take.
	httpFDDivisor  = 2
	adminFDDivisor = 16
	peerFDDivisor  = 4
	// maxHeadCost bounds the memory of the large heads of a listener, in bytes.
	maxHeadCost = 8 << 20
	// connFraction and headFraction are the fractions of the memory that the connections of callers and the large heads of a
	// listener may take.
	connFraction = 0.15
	headFraction = 0.1
	// promptFraction is the fraction of the memory that the prompts of open steps may take.
	promptFraction = 0.2
)

// maxPeerConns returns the bound of the connections of peers.
func maxPeerConns() int { return min(link.DefaultMaxConns, httpguard.DescriptorLimit()/peerFDDivisor) }

// buildGuards bounds the connections and the heads at the HTTP listeners.
func (i *Instance) buildGuards() {
	fds := httpguard.DescriptorLimit()
	memory := float64(i.config.MemoryBytes)
	headCost := min(maxHeadCost, int64(headFraction*memory))
	metrics := httpguard.NewMetrics(i.config.Registry)
	guard := func(listener string, conns int) *httpguard.Guard {
		return httpguard.New(httpguard.Options{
			Listener: listener, Flood: flood.Limits{Conns: conns, HeadCost: headCost}, Answers: i.clientMemory, Metrics: metrics, Logger: i.log,
			Limits: func() httpguard.Limits {
				return httpguard.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: i.config.HeaderTimeout}
			},
		})
	}
	i.httpGuard, i.adminGuard = guard("http", min(maxHTTPConns, fds/httpFDDivisor, int(connFraction*memory/flood.ConnCost))), guard("admin", min(maxAdminConns, fds/adminFDDivisor))
	i.httpGuard.Protect(i.httpServer)
	i.adminGuard.Protect(i.adminServer)
}
