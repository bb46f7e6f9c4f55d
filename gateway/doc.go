// Package gateway implements the HTTP interface between callers and back ends. It validates
// a request, queues it, routes it to a back end, and retries or hedges attempts where that is
// safe. A non-idempotent request is first forwarded to the instance that owns its key and
// claimed there. It is not sent again once a back end may have run it, unless the back end
// itself enforces the key. Token streams reach the caller without lost or repeated tokens,
// also when they move between engines.
package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/claim"
	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/health"
	"github.com/cicadasill/cicadasill/intake"
	"github.com/cicadasill/cicadasill/limit"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/routing"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// HTTP headers of requests and responses.
const (
	HeaderKey       = "Cicadasill-Key"
	HeaderAttempt   = "Cicadasill-Attempt"
	HeaderDeadline  = "Cicadasill-Deadline-Ms"
	HeaderOutcome   = "Cicadasill-Outcome"
	HeaderReason    = "Cicadasill-Reason"
	HeaderRequestID = "Cicadasill-Request-Id"
	// HeaderForwarded names the instance that forwarded the request. A forwarded request is
	// never forwarded again, which prevents loops when instances disagree on a key's owner.
	HeaderForwarded = "Cicadasill-Forwarded"
	headerRetry     = "Retry-After"
)

// Outcome says whether a request was answered, was not run, or may have run.
type Outcome string

// Outcomes of a request.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
)

// Defaults of Options.
const (
	DefaultMaxBody = 1 << 20
	// DefaultMaxAnswer bounds a peer's answer to a forwarded request. It is the bound of answers of back ends, which a peer
	// passes on.
	DefaultMaxAnswer   = 16 << 20
	DefaultMaxTokens   = 1 << 20
	DefaultMaxDeadline = time.Hour
	// DefaultMaxAttempts limits the attempts of one plain call.
	DefaultMaxAttempts = 3
	// DefaultMaxResumes limits how often one generation continues on another engine.
	DefaultMaxResumes = 8
	// DefaultForwardTimeout is how long an instance waits for a key's owner before it claims
	// the key itself. The claim joins the owner's run if there is one.
	DefaultForwardTimeout = 5 * time.Second
	// DefaultAskByKeyTimeout limits how long a back end is asked about a key after an answer
	// was lost.
	DefaultAskByKeyTimeout = time.Second
	// DefaultHedgeRatio is the fraction of requests that may be hedged.
	DefaultHedgeRatio = 0.05
	// DefaultMinHedgeDelay and DefaultMaxHedgeDelay bound the delay before a hedge is sent.
	DefaultMinHedgeDelay = 20 * time.Millisecond
	DefaultMaxHedgeDelay = time.Second
	// DefaultCancelTimeout limits the call that cancels a generation at an engine.
	DefaultCancelTimeout = 2 * time.Second
)

// retryBurst is the largest number of saved-up retries. It covers the requests in flight at
// one engine that crashes after a quiet period.
const retryBurst = 100

// Engine is the part of platform.Engine that the gateway calls.
type Engine interface {
	Generate(ctx context.Context, addr string, req platform.GenerateRequest) (platform.GenerateStream, error)
	Cancel(ctx context.Context, addr, requestID string) error
}

// Plain is the part of platform.PlainService that the gateway calls.
type Plain interface {
	Do(ctx context.Context, addr string, req platform.PlainRequest) (platform.PlainResponse, error)
	AskByKey(ctx context.Context, addr, key string) (platform.KeyStatus, error)
}

// Options configures a Gateway. Zero numbers and durations mean the defaults.
type Options struct {
	Self machine.Instance
	// Service looks up a contract in the current catalog.
	Service func(name string) (*contract.Service, bool)
	Router  routing.Router
	Tracker *health.Tracker
	Engine  Engine
	Plain   Plain
	Claims  Claims
	// Owner returns the instance that owns the claim stream of a key. If Owner is nil,
	// requests are not forwarded and every instance claims keys itself.
	Owner func(key claim.Key) machine.Instance
	// Forward sends a request to a peer. An error whose method NotRun() bool returns true
	// proves that the peer did not handle the request.
	Forward func(ctx context.Context, to machine.Instance, req *http.Request) (*http.Response, error)

	// Bodies is the memory of the bodies of requests; nil sets no bound.
	Bodies *intake.Memory

	MaxBody, MaxAnswer                             int64
	MaxTokens                                      int
	MaxDeadline                                    time.Duration
	MaxAttempts                                    int
	MaxResumes                                     int
	ForwardTimeout, AskByKeyTimeout, CancelTimeout time.Duration
	HedgeRatio                                     float64
	MinHedgeDelay, MaxHedgeDelay                   time.Duration
	RetryBudget                                    *limit.RetryBudget

	Registerer prometheus.Registerer
	Logger     *log.Logger
}

func (o *Options) setDefaults() {
	setDefault(&o.MaxBody, DefaultMaxBody)
	setDefault(&o.MaxAnswer, DefaultMaxAnswer)
	setDefault(&o.MaxTokens, DefaultMaxTokens)
	setDefault(&o.MaxDeadline, DefaultMaxDeadline)
	setDefault(&o.MaxAttempts, DefaultMaxAttempts)
	setDefault(&o.MaxResumes, DefaultMaxResumes)
	setDefault(&o.ForwardTimeout, DefaultForwardTimeout)
	setDefault(&o.AskByKeyTimeout, DefaultAskByKeyTimeout)
	setDefault(&o.CancelTimeout, DefaultCancelTimeout)
	setDefault(&o.HedgeRatio, DefaultHedgeRatio)
	setDefault(&o.MinHedgeDelay, DefaultMinHedgeDelay)
	setDefault(&o.MaxHedgeDelay, DefaultMaxHedgeDelay)
	if o.RetryBudget == nil {
		o.RetryBudget = limit.NewRetryBudget(0, retryBurst, 0)
	}
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
