package rollout

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/intake"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/timing"
)

// PickRequest describes the request for which a back end is chosen.
type PickRequest struct {
	Service   *contract.Service
	PrefixID  string
	Prompt    string
	MaxTokens int
	// MinVersion is the oldest weight version that the back end may run.
	MinVersion int64
	// Exclude lists the IDs of back ends that must not be chosen.
	Exclude []string
}

// Pick is a chosen back end. Done must be called exactly once.
type Pick struct {
	Backend machine.Backend
	// Version is the weight version that the back end reported last, 0 if unknown.
	Version int64
	Done    func(latency time.Duration, tokens int, err error)
}

// Picker chooses back ends at rollout priority. An error means that nothing was started.
type Picker interface {
	Pick(ctx context.Context, req PickRequest) (Pick, error)
}

// Directory provides the current contracts and announced weight versions.
type Directory interface {
	Service(name string) (*contract.Service, bool)
	// NewestVersion returns the newest announced version that is not withdrawn, 0 if none.
	NewestVersion(service string) int64
}

// View is the part of the membership view that this package uses.
type View interface {
	Self() machine.Instance
	Live() []machine.Instance
}

// Scorer scores one finished sample. It may be called again for the same sample.
type Scorer interface {
	Score(ctx context.Context, svc *contract.Service, req ScoreRequest) (float64, error)
}

// ForwardFunc sends a request to another instance and returns its response.
type ForwardFunc func(ctx context.Context, to machine.Instance, req *http.Request) (*http.Response, error)

// OwnerFunc returns the instance among live that owns key.
type OwnerFunc func(key string, live []machine.Instance) machine.Instance

// Defaults of Options.
const (
	// DefaultSlotsPerSampler is the number of samples in flight for each sampler of a service.
	DefaultSlotsPerSampler = 32
	// DefaultFirstEventTimeout bounds the wait for an engine's first event, which includes its queue.
	DefaultFirstEventTimeout = 30 * time.Second
	// DefaultEventTimeout bounds the time between two events of a stream. It is far above the
	// client's deadline for a silent connection, because engines pre-empt samples for staff requests.
	DefaultEventTimeout = 10 * time.Second
	// DefaultMonitorInterval is the interval between checks of running samples for age and slow engines.
	DefaultMonitorInterval = 100 * time.Millisecond
	// DefaultOpenGrace delays generation after a step is opened. A trainer that reopens a step sends
	// its first take within this time, and samples in its bitmap are then not generated again.
	DefaultOpenGrace = 200 * time.Millisecond
	// DefaultStepExpiry is how long a step without requests from its trainer is kept. A trainer sends
	// nothing while it trains, and new weights are announced every 17 minutes.
	DefaultStepExpiry = time.Hour
	// DefaultAbandonedStepExpiry is how long a step without requests is kept once its trainer takes
	// from a later step. The steps of a trainer that restarted without acknowledging them would
	// otherwise fill the memory bound.
	DefaultAbandonedStepExpiry = 10 * time.Minute
	// DefaultOwnershipGrace is how long a step without requests is kept after its ownership moved to
	// another instance.
	DefaultOwnershipGrace = 15 * time.Second
	// DefaultForwardMargin is added to a take's wait to form the deadline of the forwarded request.
	DefaultForwardMargin = 2 * time.Second
	// DefaultMaxReservedTokens bounds the worst-case tokens of all open steps: 8 bytes each, 128 MB.
	DefaultMaxReservedTokens = 16 << 20
	// DefaultNewVersionWait bounds how long pending and finished samples wait for engines to load a
	// newer version, if the idle weight asks for fresher samples. All samplers run a new version within
	// 11 s.
	DefaultNewVersionWait = 15 * time.Second
	// DefaultHedgeBudget is the largest fraction of a step's samples that may be hedged.
	DefaultHedgeBudget = 0.05
	// DefaultMinRetryBackoff is the initial backoff after a failed attempt to generate or score.
	DefaultMinRetryBackoff = 50 * time.Millisecond
	// DefaultMaxRetryBackoff bounds the backoff between attempts.
	DefaultMaxRetryBackoff = 2 * time.Second
)

// Options configure a Server. Directory, Picker, Engine and View are required.
type Options struct {
	Directory Directory
	Picker    Picker
	Engine    platform.Engine
	View      View
	// Owner and Forward route requests to the owner of a step. If either is nil, every step is served
	// locally.
	Owner   OwnerFunc
	Forward ForwardFunc
	// Scorer is required for services that name a scoring service.
	Scorer Scorer
	// Load returns the last load report of a sampler. If it is nil, no load reports are available.
	Load func(backendID string) platform.LoadReport

	Logger     *log.Logger
	Registerer prometheus.Registerer

	SlotsPerSampler     int
	FirstEventTimeout   time.Duration
	EventTimeout        time.Duration
	MonitorInterval     time.Duration
	OpenGrace           time.Duration
	StepExpiry          time.Duration
	AbandonedStepExpiry time.Duration
	OwnershipGrace      time.Duration
	ForwardMargin       time.Duration
	MinRetryBackoff     time.Duration
	MaxRetryBackoff     time.Duration
	NewVersionWait      time.Duration
	MaxReservedTokens   int64
	// MaxPromptBytes bounds the prompts of the open steps, except that a single step always fits; 0 sets no bound.
	MaxPromptBytes int64
	// Bodies is the memory of the bodies of requests; nil sets no bound.
	Bodies      *intake.Memory
	HedgeBudget float64
	// RolloutPriority is the engine priority of samples; staff calls use higher ones.
	RolloutPriority int

	// FirstComeFirstServed, NoHedging, NoMoves and NoEarlyStop turn off one mechanism each, to measure
	// its effect.
	FirstComeFirstServed bool
	NoHedging            bool
	NoMoves              bool
	NoEarlyStop          bool
	// Parking pauses samples that grow far longer than predicted until no other sample is pending. It
	// is off by default, since the measured gain is within the run-to-run variation.
	Parking bool
}

func (o Options) withDefaults() Options {
	setIntDefault(&o.SlotsPerSampler, DefaultSlotsPerSampler)
	timing.SetDefault(&o.FirstEventTimeout, DefaultFirstEventTimeout)
	timing.SetDefault(&o.EventTimeout, DefaultEventTimeout)
	timing.SetDefault(&o.MonitorInterval, DefaultMonitorInterval)
	timing.SetDefault(&o.OpenGrace, DefaultOpenGrace)
	timing.SetDefault(&o.StepExpiry, DefaultStepExpiry)
	timing.SetDefault(&o.AbandonedStepExpiry, DefaultAbandonedStepExpiry)
	timing.SetDefault(&o.OwnershipGrace, DefaultOwnershipGrace)
	timing.SetDefault(&o.ForwardMargin, DefaultForwardMargin)
	timing.SetDefault(&o.MinRetryBackoff, DefaultMinRetryBackoff)
	timing.SetDefault(&o.MaxRetryBackoff, DefaultMaxRetryBackoff)
	timing.SetDefault(&o.NewVersionWait, DefaultNewVersionWait)
	if o.Bodies == nil {
		o.Bodies = intake.Unbounded()
	}
	if o.MaxReservedTokens == 0 {
		o.MaxReservedTokens = DefaultMaxReservedTokens
	}
	if o.HedgeBudget == 0 {
		o.HedgeBudget = DefaultHedgeBudget
	}
	return o
}

func setIntDefault(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}
