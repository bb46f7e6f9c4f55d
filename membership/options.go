package membership

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/timing"
)

// Defaults of Options.
const (
	DefaultProbeInterval = time.Second
	DefaultProbeTimeout  = 500 * time.Millisecond
	// DefaultIndirectTimeout covers the helper's own probe timeout and the round trip to the helper.
	DefaultIndirectTimeout  = 800 * time.Millisecond
	DefaultSuspicionTimeout = 3 * time.Second
	DefaultListPollInterval = time.Second
	// DefaultPauseLimit equals the lease TTL: during a longer pause another instance may have
	// acquired a lease.
	DefaultPauseLimit = 10 * time.Second
	// DefaultSyncInterval is the minimum time between two table exchanges started by an instance.
	DefaultSyncInterval = 10 * time.Second
)

const (
	probesPerInterval       = 2
	indirectProbes          = 2
	maxGossipUpdates        = 8  // queued updates in one message
	maxProbesInFlight       = 16 // probes in flight from one instance
	expiryChecksPerInterval = 10 // checks for expired suspicions per probe interval
	urgentFanout            = 3  // peers that receive an urgent push
	// urgentPushesPerInterval bounds the rate of urgent pushes. The loss of a region causes urgent
	// updates about half of the members.
	urgentPushesPerInterval = 2
	candidatesWithoutPeers  = 4 // candidates probed per interval while no peer is known
	minLeaveAcks            = 3 // peers that must acknowledge a planned stop
	// gossipSendFactor times log2 of the number of members is how often an update is sent.
	gossipSendFactor = 3
	// leavingReportTTL is how long a report of a leaving back end is valid.
	leavingReportTTL = 30 * time.Second
	// leavingReportRefresh is the age of a report from which a newer one replaces it and is
	// propagated.
	leavingReportRefresh = 10 * time.Second
	// tombstoneTTL is how long the entry of a dead or departed member is kept, so that its highest
	// incarnation is remembered and an older run of the id is not accepted.
	tombstoneTTL = 24 * time.Hour
	// maxSyncedTombstoneAge is the age up to which tombstones are included in a table exchange. Older
	// ones may be dropped once the table holds more than maxTombstones.
	maxSyncedTombstoneAge = 5 * time.Minute
	maxTombstones         = 4096
)

// Options configures Members. Zero fields select the defaults.
type Options struct {
	Registerer prometheus.Registerer
	Logger     *log.Logger

	ProbeInterval   time.Duration
	ProbeTimeout    time.Duration
	IndirectTimeout time.Duration
	// SuspicionTimeout is how long a member stays suspected before it is declared dead.
	SuspicionTimeout time.Duration
	ListPollInterval time.Duration
	PauseLimit       time.Duration
	SyncInterval     time.Duration
	// Seed makes the order of probes repeatable; 0 selects the incarnation. The instance id is mixed
	// in, because members with the same order would all probe the same target at the same time.
	Seed uint64
}

// withDefaults returns o with its zero fields replaced by the defaults.
func (o Options) withDefaults(incarnation uint64) Options {
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	timing.SetDefault(&o.ProbeInterval, DefaultProbeInterval)
	timing.SetDefault(&o.ProbeTimeout, DefaultProbeTimeout)
	timing.SetDefault(&o.IndirectTimeout, DefaultIndirectTimeout)
	timing.SetDefault(&o.SuspicionTimeout, DefaultSuspicionTimeout)
	timing.SetDefault(&o.ListPollInterval, DefaultListPollInterval)
	timing.SetDefault(&o.PauseLimit, DefaultPauseLimit)
	timing.SetDefault(&o.SyncInterval, DefaultSyncInterval)
	if o.Seed == 0 {
		o.Seed = incarnation
	}
	return o
}
