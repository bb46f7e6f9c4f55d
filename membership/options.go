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
	DefaultPeriod       = time.Second
	DefaultProbeTimeout = 500 * time.Millisecond
	// DefaultIndirectTimeout covers a helper's own probe timeout and the way to the helper.
	DefaultIndirectTimeout = 800 * time.Millisecond
	DefaultSuspicion       = 3 * time.Second
	DefaultListPeriod      = time.Second
	// DefaultPauseLimit equals the lease TTL: after a longer gap a lease may have gone to another holder.
	DefaultPauseLimit = 10 * time.Second
	// DefaultSyncInterval is the shortest time between two exchanges of whole tables.
	DefaultSyncInterval = 10 * time.Second
)

const (
	probesPerPeriod = 2
	indirectProbes  = 2
	maxUpdates      = 8  // statements on one probe besides the sender's own
	maxInFlight     = 16 // probes in flight at one instance
	expiryChecks    = 10 // checks for ended suspicions in a period
	newsFanout      = 3  // peers that an instance tells news at once
	// newsPerPeriod bounds how often an instance pushes news; a region cut makes news of half
	// of the members.
	newsPerPeriod    = 2
	lonelyCandidates = 4 // candidates probed per period while no peer is known
	leaveTold        = 3 // peers that must know of a planned stop
	// gossipFactor times log2 of the number of members is how often a statement is sent.
	gossipFactor = 3
	// leavingFor is how long a report of a leaving back end counts.
	leavingFor = 30 * time.Second
	// leavingRefresh is the age at which a repeated report is sent again.
	leavingRefresh = 10 * time.Second
	// tombstoneFor is how long the highest incarnation of a dead member is remembered.
	tombstoneFor = 24 * time.Hour
	// syncTombstones is the age up to which dead members are part of an exchanged table.
	syncTombstones = 5 * time.Minute
	maxTombstones  = 4096
)

// Options configure Members. Zero fields take the defaults.
type Options struct {
	Registerer prometheus.Registerer
	Logger     *log.Logger

	Period          time.Duration
	ProbeTimeout    time.Duration
	IndirectTimeout time.Duration
	// Suspicion is the time from suspicion to death.
	Suspicion    time.Duration
	ListPeriod   time.Duration
	PauseLimit   time.Duration
	SyncInterval time.Duration
	// Seed makes the order of probes repeatable; 0 takes the incarnation. The id is mixed in:
	// members with equal orders would all probe the same target in the same period.
	Seed uint64
}

func (o Options) withDefaults(incarnation uint64) Options {
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	timing.SetDefault(&o.Period, DefaultPeriod)
	timing.SetDefault(&o.ProbeTimeout, DefaultProbeTimeout)
	timing.SetDefault(&o.IndirectTimeout, DefaultIndirectTimeout)
	timing.SetDefault(&o.Suspicion, DefaultSuspicion)
	timing.SetDefault(&o.ListPeriod, DefaultListPeriod)
	timing.SetDefault(&o.PauseLimit, DefaultPauseLimit)
	timing.SetDefault(&o.SyncInterval, DefaultSyncInterval)
	if o.Seed == 0 {
		o.Seed = incarnation
	}
	return o
}
