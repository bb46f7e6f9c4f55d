// Package routing chooses a back end for each request from lagging load reports, prefix
// hints and the price of the link between regions.
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

// Policy is a way to choose among the candidates.
type Policy string

// Policies. Cost is the default; the others are kept for comparison.
const (
	RoundRobin  Policy = "round_robin"
	LeastLoaded Policy = "least_loaded"
	TwoChoices  Policy = "two_choices"
	Cost        Policy = "cost"
)

// Policies lists all policies.
var Policies = []Policy{RoundRobin, LeastLoaded, TwoChoices, Cost}

// Defaults of Options.
const (
	DefaultHintHalfLife = 30 * time.Second
	// DefaultPrefillTokensPerS is the rate at which an engine computes a prompt that it has
	// not cached.
	DefaultPrefillTokensPerS = 8000
	// DefaultPricePerMB is the cost of a megabyte over the link between regions. The link
	// carries about 56 MB/s for everything, so a megabyte occupies it for 18 ms; the rest
	// stands for its price by volume.
	DefaultPricePerMB = 50 * time.Millisecond
	// DefaultSameRegion and DefaultCrossRegion are round trips: twice 0.5 ms and 8 ms.
	DefaultSameRegion  = time.Millisecond
	DefaultCrossRegion = 16 * time.Millisecond
	// DefaultMaxHints bounds the memory of hints to about 10 MB.
	DefaultMaxHints = 65536
)

// Options configure a Router. Zero values mean the defaults.
type Options struct {
	Tracker *health.Tracker
	// Zone is the instance's own.
	Zone              zone.Zone
	Policy            Policy
	HintHalfLife      time.Duration
	MaxHints          int
	PrefillTokensPerS float64
	PricePerMB        time.Duration
	SameRegion        time.Duration
	CrossRegion       time.Duration
	// IntN returns a random number below n; a comparison passes a seeded one.
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
	if o.MaxHints == 0 {
		o.MaxHints = DefaultMaxHints
	}
	if o.PrefillTokensPerS == 0 {
		o.PrefillTokensPerS = DefaultPrefillTokensPerS
	}
	if o.PricePerMB == 0 {
		o.PricePerMB = DefaultPricePerMB
	}
	if o.SameRegion == 0 {
		o.SameRegion = DefaultSameRegion
	}
	if o.CrossRegion == 0 {
		o.CrossRegion = DefaultCrossRegion
	}
	if o.IntN == nil {
		o.IntN = rand.IntN
	}
}

// Request describes what a back end is needed for.
type Request struct {
	Service  *contract.Service
	Priority contract.Priority
	PrefixID string
	// PromptTokens and MaxTokens are the sizes of an engine request.
	PromptTokens, MaxTokens int
	// Bytes is the expected size of request and answer together.
	Bytes int
	// MinVersion is the lowest acceptable active version; 0 means any.
	MinVersion int64
	// Exclude are back ends already tried.
	Exclude []string
	// Only restricts the choice to one back end; empty means any.
	Only string
}

// Reason is the type of a NoBackend.
type Reason string

// Reasons for which no back end can be chosen.
const (
	// NoneConfigured: the service has no back ends.
	NoneConfigured Reason = "no_backend_configured"
	// NoneReady: all back ends are leaving, ejected or unreachable.
	NoneReady Reason = "no_backend_ready"
	// NoVersion: no ready back end has the needed version.
	NoVersion Reason = "version_not_loaded"
	// AllTried: the only ready back ends are excluded.
	AllTried Reason = "backends_exhausted"
	// AtLimit: the ready back ends are at their concurrency limits.
	AtLimit Reason = "backends_at_limit"
)

// NoBackend states that no back end was chosen and nothing was sent.
type NoBackend struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoBackend) Error() string { return fmt.Sprintf("no back end: %s", e.Reason) }

// Router chooses back ends.
type Router interface {
	Pick(req Request) (Pick, error)
}
