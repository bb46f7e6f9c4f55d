// Package gateway is the callers' HTTP interface: it validates requests, forwards those
// with a key to the key's owner, claims, admits, routes, calls, retries and hedges them,
// and passes streams on without losing or repeating a token.
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
	"github.com/cicadasill/cicadasill/limit"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/routing"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// Headers of the callers' interface.
const (
	HeaderKey       = "Cicadasill-Key"
	HeaderAttempt   = "Cicadasill-Attempt"
	HeaderDeadline  = "Cicadasill-Deadline-Ms"
	HeaderOutcome   = "Cicadasill-Outcome"
	HeaderReason    = "Cicadasill-Reason"
	HeaderRequestID = "Cicadasill-Request-Id"
	// HeaderForwarded names the instance that forwarded the request. A forwarded request is
	// never forwarded again, so views that differ cannot send it in a circle.
	HeaderForwarded = "Cicadasill-Forwarded"
	headerRetry     = "Retry-After"
)

// Outcome says what became of a request.
type Outcome string

// Outcomes.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
)

// Defaults of Options.
const (
	DefaultMaxBody     = 1 << 20
	DefaultMaxTokens   = 1 << 20
	DefaultMaxDeadline = time.Hour
	// DefaultMaxAttempts bounds the attempts of one plain call.
	DefaultMaxAttempts = 3
	// DefaultMaxResumes bounds the engines that one generation is moved over.
	DefaultMaxResumes = 8
	// DefaultForwardTimeout is how long an instance waits for the owner of a key before it
	// goes through its own claim path, where it joins the owner's run if there is one.
	DefaultForwardTimeout = 5 * time.Second
	// DefaultAskTimeout bounds asking a back end by key after a lost answer.
	DefaultAskTimeout = time.Second
	// DefaultHedgeRatio is the part of requests that may be hedged.
	DefaultHedgeRatio = 0.05
	// DefaultMinHedgeDelay and DefaultMaxHedgeDelay bound the wait before a hedge.
	DefaultMinHedgeDelay = 20 * time.Millisecond
	DefaultMaxHedgeDelay = time.Second
	// DefaultCancelTimeout bounds telling an engine that a generation is no longer wanted.
	DefaultCancelTimeout = 2 * time.Second
)

// retryBurst covers the requests at one engine that crashes after a quiet time.
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

// Options configure a Gateway. Zero numbers and durations mean the defaults.
type Options struct {
	Self machine.Instance
	// Service looks up a contract in the current catalog.
	Service func(name string) (*contract.Service, bool)
	Router  routing.Router
	Tracker *health.Tracker
	Engine  Engine
	Plain   Plain
	Claims  Claims
	// Owner returns the instance that owns the claim stream of a key; nil means
	// that every instance claims for itself.
	Owner func(key claim.Key) machine.Instance
	// Forward sends a request to a peer. An error with a method NotRun() bool that returns
	// true proves that the peer did not handle it.
	Forward func(ctx context.Context, to machine.Instance, req *http.Request) (*http.Response, error)

	MaxBody                                   int64
	MaxTokens                                 int
	MaxDeadline                               time.Duration
	MaxAttempts                               int
	MaxResumes                                int
	ForwardTimeout, AskTimeout, CancelTimeout time.Duration
	HedgeRatio                                float64
	MinHedgeDelay, MaxHedgeDelay              time.Duration
	Retries                                   *limit.RetryBudget

	Registerer prometheus.Registerer
	Logger     *log.Logger
}

func (o *Options) setDefaults() {
	setDefault(&o.MaxBody, DefaultMaxBody)
	setDefault(&o.MaxTokens, DefaultMaxTokens)
	setDefault(&o.MaxDeadline, DefaultMaxDeadline)
	setDefault(&o.MaxAttempts, DefaultMaxAttempts)
	setDefault(&o.MaxResumes, DefaultMaxResumes)
	setDefault(&o.ForwardTimeout, DefaultForwardTimeout)
	setDefault(&o.AskTimeout, DefaultAskTimeout)
	setDefault(&o.CancelTimeout, DefaultCancelTimeout)
	setDefault(&o.HedgeRatio, DefaultHedgeRatio)
	setDefault(&o.MinHedgeDelay, DefaultMinHedgeDelay)
	setDefault(&o.MaxHedgeDelay, DefaultMaxHedgeDelay)
	if o.Retries == nil {
		o.Retries = limit.NewRetryBudget(0, retryBurst, 0)
	}
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
