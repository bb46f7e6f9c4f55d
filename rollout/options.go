package rollout

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/timing"
)

// PickRequest describes the work that needs a back end.
type PickRequest struct {
	Service   *contract.Service
	PrefixID  string
	Prompt    string
	MaxTokens int
	// MinVersion is the oldest weight version that the back end may run.
	MinVersion int64
	// Exclude lists back ends that must not be chosen.
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

// Directory gives the current contracts and versions.
type Directory interface {
	Service(name string) (*contract.Service, bool)
	// NewestVersion returns the newest announced version that is not withdrawn, 0 if none.
	NewestVersion(service string) int64
}

// View is the part of the membership view that rollout uses.
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

// OwnerFunc names the instance that owns key.
type OwnerFunc func(key string, live []machine.Instance) machine.Instance

// Defaults of Options.
const (
	// DefaultSlotsPerSampler is the number of samples in flight for each sampler of a service.
	DefaultSlotsPerSampler = 32
	// DefaultFirstTokenTimeout bounds the wait for an engine's first event, which includes its queue.
	DefaultFirstTokenTimeout = 30 * time.Second
	// DefaultProgressTimeout bounds the time between two events of a stream. Engines pre-empt samples
	// for staff requests, so it is far above the client's deadline for a silent connection.
	DefaultProgressTimeout = 10 * time.Second
	// DefaultMonitorPeriod is how often running samples are examined for age and slowness.
	DefaultMonitorPeriod = 100 * time.Millisecond
	// DefaultOpenGrace delays generation after an open. A trainer that reopens a step takes within
	// this time, and its bitmap then spares the samples that it already has.
	DefaultOpenGrace = 200 * time.Millisecond
	// DefaultStepExpiry is how long a step is kept without any request of its trainer. New weights come
	// every 17 minutes, and a trainer sends nothing while it trains.
	DefaultStepExpiry = time.Hour
	// DefaultGivenUpExpiry is how long a step is kept without requests once its trainer takes from a
	// later one. A trainer that restarted without an acknowledgement would otherwise fill the memory bound.
	DefaultGivenUpExpiry = 10 * time.Minute
	// DefaultOwnershipGrace is how long a step is kept after its ownership moved elsewhere.
	DefaultOwnershipGrace = 15 * time.Second
	// DefaultForwardMargin is added to a take's wait as the deadline of forwarding it.
	DefaultForwardMargin = 2 * time.Second
	// DefaultMaxHeldTokens bounds the tokens of all open steps in the worst case: 8 bytes each, 128 MB.
	DefaultMaxHeldTokens = 16 << 20
	// DefaultSoftHold bounds the wait for engines to load a newer version when the idle weight asks for
	// fresher samples. Versions are on all samplers within 11 s.
	DefaultSoftHold = 15 * time.Second
	// DefaultHedgeBudget is the fraction of a step's samples that may be hedged.
	DefaultHedgeBudget = 0.05
	// DefaultRetryPause is the wait after a failed attempt to generate or score.
	DefaultRetryPause = 50 * time.Millisecond
	// DefaultMaxRetryPause bounds the wait between attempts.
	DefaultMaxRetryPause = 2 * time.Second
)

// Options configure a Server. Directory, Picker, Engine and View are required.
type Options struct {
	Directory Directory
	Picker    Picker
	Engine    platform.Engine
	View      View
	// Owner and Forward send requests to the owner of a step; nil serves every step locally.
	Owner   OwnerFunc
	Forward ForwardFunc
	// Scorer is required for services that name a scoring service.
	Scorer Scorer
	// Load returns the last load report of a sampler; nil means that none is known.
	Load func(backendID string) platform.LoadReport

	Logger     *log.Logger
	Registerer prometheus.Registerer

	SlotsPerSampler   int
	FirstTokenTimeout time.Duration
	ProgressTimeout   time.Duration
	MonitorPeriod     time.Duration
	OpenGrace         time.Duration
	StepExpiry        time.Duration
	GivenUpExpiry     time.Duration
	OwnershipGrace    time.Duration
	ForwardMargin     time.Duration
	RetryPause        time.Duration
	MaxRetryPause     time.Duration
	SoftHold          time.Duration
	MaxHeldTokens     int64
	HedgeBudget       float64
	// RolloutPriority is the engine priority of samples; staff calls use higher ones.
	RolloutPriority int

	// The switches turn mechanisms off for measurements.
	FirstComeFirstServed bool
	NoHedging            bool
	NoMoves              bool
	NoEarlyStop          bool
	// Parking delays samples that turn out far longer than predicted until no other sample waits. It is
	// off by default, since the measured gain is within the spread of the runs.
	Parking bool
}

func (o Options) withDefaults() Options {
	setInt(&o.SlotsPerSampler, DefaultSlotsPerSampler)
	timing.SetDefault(&o.FirstTokenTimeout, DefaultFirstTokenTimeout)
	timing.SetDefault(&o.ProgressTimeout, DefaultProgressTimeout)
	timing.SetDefault(&o.MonitorPeriod, DefaultMonitorPeriod)
	timing.SetDefault(&o.OpenGrace, DefaultOpenGrace)
	timing.SetDefault(&o.StepExpiry, DefaultStepExpiry)
	timing.SetDefault(&o.GivenUpExpiry, DefaultGivenUpExpiry)
	timing.SetDefault(&o.OwnershipGrace, DefaultOwnershipGrace)
	timing.SetDefault(&o.ForwardMargin, DefaultForwardMargin)
	timing.SetDefault(&o.RetryPause, DefaultRetryPause)
	timing.SetDefault(&o.MaxRetryPause, DefaultMaxRetryPause)
	timing.SetDefault(&o.SoftHold, DefaultSoftHold)
	if o.MaxHeldTokens == 0 {
		o.MaxHeldTokens = DefaultMaxHeldTokens
	}
	if o.HedgeBudget == 0 {
		o.HedgeBudget = DefaultHedgeBudget
	}
	return o
}

func setInt(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}
