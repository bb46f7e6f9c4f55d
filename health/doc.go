// Package health tracks the state of back ends for an entry instance. It polls the load reports
// of engines and the health of plain services, evaluates the results of requests, and collects
// from several sources which back ends are leaving. It ejects a back end after consecutive failed
// requests and then restores its share of requests gradually.
package health

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/limit"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/timing"
	"github.com/cicadasill/cicadasill/zone"
)

// Defaults of Options.
const (
	DefaultPollInterval = time.Second
	DefaultPollTimeout  = time.Second
	// DefaultPollFailureThreshold is the number of failed polls in a row after which a back end is
	// unreachable. A single failure may be a lost packet.
	DefaultPollFailureThreshold = 2
	// DefaultEjectionThreshold is the number of failed requests in a row that eject a back end.
	// A request that could not be sent counts as two.
	DefaultEjectionThreshold = 5
	// DefaultBaseEjection is the duration of the first ejection. Each further ejection is longer
	// by the same amount, up to MaxEjection.
	DefaultBaseEjection = 5 * time.Second
	DefaultMaxEjection  = 60 * time.Second
	// DefaultRampUp is the time over which a back end regains its full share after an ejection.
	DefaultRampUp = 10 * time.Second
	// DefaultMaxEjectedFraction is the largest fraction of a service's back ends that may be
	// ejected at a time. When most of them fail, the cause is rarely the back ends.
	DefaultMaxEjectedFraction = 0.5
	// DefaultLeavingTTL is how long a back end counts as leaving after a response said so. It is
	// longer than the lag of the instance list.
	DefaultLeavingTTL = 30 * time.Second
	// leavingSourceInterval is how often the peers' reports of leaving back ends are read. All
	// instances must know of a leaving back end within 3 s.
	leavingSourceInterval = 250 * time.Millisecond
)

// pollJitter is the fraction by which a poll interval is randomly shortened or lengthened, so that
// the instances do not poll at the same time.
const pollJitter = 0.1

// EngineLoad is the part of platform.Engine that a Tracker polls.
type EngineLoad interface {
	Load(ctx context.Context, addr string) (platform.LoadReport, error)
	CacheEvents(ctx context.Context, addr string, after int64) ([]platform.CacheEvent, error)
}

// PlainHealth is the part of platform.PlainService that a Tracker polls.
type PlainHealth interface {
	Health(ctx context.Context, addr string) (leaving bool, err error)
}

// Options configure a Tracker. Zero durations and counts mean the defaults.
type Options struct {
	Engine EngineLoad
	Plain  PlainHealth
	// List is read each poll interval for back ends in state leaving; nil means that there is no list.
	List platform.InstanceList
	// PeersLeaving returns the ids of the back ends that peers report as leaving; nil means that
	// their reports are not read.
	PeersLeaving func() []string
	// ReportLeaving tells the peers that this instance saw a back end leaving; nil means that peers
	// are not told.
	ReportLeaving func(backendID string)
	// CacheEvents receives an engine's cache events; gap reports that earlier ones are missing. Nil
	// means that cache events are not polled.
	CacheEvents func(b *Backend, events []platform.CacheEvent, gap bool)

	// Observes reports whether this instance is an observer of b, which polls b every PollInterval
	// even while it has no requests for the service; nil means that it observes all back ends. One
	// observer of a back end is enough to notice that it is leaving.
	Observes func(b machine.Backend) bool
	// Subset is the number of a service's back ends to which this instance routes; 0 means all.
	// Self and Zone, the instance's id and location, decide which ones.
	Self   string
	Zone   zone.Zone
	Subset int

	IdlePollInterval, ActiveWindow          time.Duration
	PollInterval, PollTimeout               time.Duration
	PollFailureThreshold, EjectionThreshold int
	BaseEjection, MaxEjection               time.Duration
	RampUp, LeavingTTL                      time.Duration
	MaxEjectedFraction                      float64
	Concurrency                             limit.ConcurrencyOptions
	Registerer                              prometheus.Registerer
	Logger                                  *log.Logger
}

func (o *Options) setDefaults() {
	timing.SetDefault(&o.PollInterval, DefaultPollInterval)
	timing.SetDefault(&o.PollTimeout, DefaultPollTimeout)
	timing.SetDefault(&o.IdlePollInterval, DefaultIdlePollInterval)
	timing.SetDefault(&o.ActiveWindow, DefaultActiveWindow)
	timing.SetDefault(&o.BaseEjection, DefaultBaseEjection)
	timing.SetDefault(&o.MaxEjection, DefaultMaxEjection)
	timing.SetDefault(&o.RampUp, DefaultRampUp)
	timing.SetDefault(&o.LeavingTTL, DefaultLeavingTTL)
	if o.PollFailureThreshold == 0 {
		o.PollFailureThreshold = DefaultPollFailureThreshold
	}
	if o.EjectionThreshold == 0 {
		o.EjectionThreshold = DefaultEjectionThreshold
	}
	if o.MaxEjectedFraction == 0 {
		o.MaxEjectedFraction = DefaultMaxEjectedFraction
	}
}

// State is the condition of a back end. Only a Ready back end gets new requests.
type State string

// States of a back end.
const (
	Ready State = "ready"
	// Starting means that no poll has succeeded yet.
	Starting State = "starting"
	// Unreachable means that the most recent polls failed.
	Unreachable State = "unreachable"
	// Ejected means that consecutive requests failed and the ejection has not ended.
	Ejected State = "ejected"
	// Leaving means that the back end is shutting down and takes no new requests.
	Leaving State = "leaving"
)
