// Package routing chooses a back end for each request of an entry instance. It compares the
// expected wait from lagging load reports, the prefill time that a probably cached prefix saves,
// and the cost of traffic between regions. A chosen back end is ready and below its concurrency
// limit; if there is none, the caller gets the reason.
package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/health"
	"github.com/cicadasill/cicadasill/zone"
)

// Policy is the algorithm that chooses among the eligible back ends.
type Policy string

// Policies. Cost is the default; the others are kept for comparison.
const (
	// RoundRobin takes the back ends in turn.
	RoundRobin Policy = "round_robin"
	// LeastLoaded takes the back end with the shortest expected wait.
	LeastLoaded Policy = "least_loaded"
	// TwoChoices takes the one with the shorter expected wait of two random back ends.
	TwoChoices Policy = "two_choices"
	// Cost takes the lowest cost among two random back ends and the probable holders of the
	// request's prefix. The cost is the expected wait less the prefill time saved, plus the
	// cost of the network.
	Cost Policy = "cost"
)

// Policies lists all policies.
var Policies = []Policy{RoundRobin, LeastLoaded, TwoChoices, Cost}

// Defaults of Options.
const (
	// DefaultHintHalfLife is the time in which a prefix hint loses half of its strength.
	DefaultHintHalfLife = 30 * time.Second
	// DefaultPrefillTokensPerS is the rate at which an engine processes the tokens of a prompt
	// that is not in its cache.
	DefaultPrefillTokensPerS = 8000
	// DefaultCrossRegionCostPerMB is the cost of sending a megabyte over the link between regions. All
	// traffic shares about 56 MB/s, so a megabyte occupies the link for 18 ms; the rest
	// represents the charge by volume.
	DefaultCrossRegionCostPerMB = 50 * time.Millisecond
	// DefaultSameRegionRTT and DefaultCrossRegionRTT are the round-trip times to another data
	// centre of the region and to another region: twice 0.5 ms and twice 8 ms.
	DefaultSameRegionRTT  = time.Millisecond
	DefaultCrossRegionRTT = 16 * time.Millisecond
	// DefaultMaxHintedPrefixes is the largest number of prefixes with hints. It bounds their
	// memory to about 10 MB.
	DefaultMaxHintedPrefixes = 65536
)

// Options configure a BackendRouter. Zero values mean the defaults.
type Options struct {
	Tracker *health.Tracker
	// Zone is the zone of this instance.
	Zone                 zone.Zone
	Policy               Policy
	HintHalfLife         time.Duration
	MaxHintedPrefixes    int
	PrefillTokensPerS    float64
	CrossRegionCostPerMB time.Duration
	SameRegionRTT        time.Duration
	CrossRegionRTT       time.Duration
	// IntN returns a random number in [0, n). Package compare sets a seeded generator.
	IntN       func(n int) int
	Registerer prometheus.Registerer
}

func (o *Options) setDefaults() {
	if o.Policy == "" {
		o.Policy = Cost
	}
	if o.HintHalfLife == 0 {
		o.HintHalfLife = DefaultHintHalfLife
	}
	if o.MaxHintedPrefixes == 0 {
		o.MaxHintedPrefixes = DefaultMaxHintedPrefixes
	}
	if o.PrefillTokensPerS == 0 {
		o.PrefillTokensPerS = DefaultPrefillTokensPerS
	}
	if o.CrossRegionCostPerMB == 0 {
		o.CrossRegionCostPerMB = DefaultCrossRegionCostPerMB
	}
	if o.SameRegionRTT == 0 {
		o.SameRegionRTT = DefaultSameRegionRTT
	}
	if o.CrossRegionRTT == 0 {
		o.CrossRegionRTT = DefaultCrossRegionRTT
	}
	if o.IntN == nil {
		o.IntN = rand.IntN
	}
}

// Request describes the request for which a back end is chosen.
type Request struct {
	Service  *contract.Service
	Priority contract.Priority
	PrefixID string
	// PromptTokens and MaxTokens are the lengths of an engine request's prompt and longest output.
	PromptTokens, MaxTokens int
	// Bytes is the expected size of the request and its response together.
	Bytes int
	// MinVersion is the lowest acceptable active weight version; 0 means any.
	MinVersion int64
	// Exclude lists the ids of back ends that must not be chosen, such as those already tried.
	Exclude []string
	// Only is the id of the only back end that may be chosen; empty means any.
	Only string
}

// Reason says why no back end could be chosen.
type Reason string

// Reasons of a NoBackend.
const (
	// NoneConfigured means that the service has no back ends.
	NoneConfigured Reason = "no_backend_configured"
	// NoneReady means that all back ends are starting, leaving, ejected or unreachable, or that the
	// one required by Request.Only cannot be chosen.
	NoneReady Reason = "no_backend_ready"
	// NoVersion means that no ready back end has the required weight version.
	NoVersion Reason = "version_not_loaded"
	// AllTried means that all ready back ends with the required version are excluded.
	AllTried Reason = "backends_exhausted"
	// AtLimit means that the ready back ends are at their concurrency limits.
	AtLimit Reason = "backends_at_limit"
)

// NoBackend is the error returned when no back end was chosen. Nothing was sent.
type NoBackend struct {
	Reason Reason
	// RetryAfter is the recommended time before the next attempt.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoBackend) Error() string { return fmt.Sprintf("no back end: %s", e.Reason) }

// Router chooses a back end for each request.
type Router interface {
	// Pick chooses a back end for req and reserves a slot of its concurrency limit. Done of the
	// returned Pick must be called once. The error is a *NoBackend.
	Pick(req Request) (Pick, error)
}
