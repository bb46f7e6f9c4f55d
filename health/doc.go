// Package health observes back ends: load reports of engines, health of plain services,
// results of requests, and who is leaving. It ejects back ends that fail and lets them
// return gradually.
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
	DefaultPollPeriod  = time.Second
	DefaultPollTimeout = time.Second
	// DefaultPollFailures is the number of failed polls in a row after which a back end is
	// not ready. A single one may be a lost packet.
	DefaultPollFailures = 2
	// DefaultFailures is the number of failed requests in a row that eject a back end.
	DefaultFailures = 5
	// DefaultEjection is the first ejection's length; each further one is longer by it.
	DefaultEjection    = 5 * time.Second
	DefaultMaxEjection = 60 * time.Second
	// DefaultReturn is the time over which an ejected back end gets its full share back.
	DefaultReturn = 10 * time.Second
	// DefaultMaxEjected is the largest part of a service's back ends ejected for failed
	// requests. When most of them fail, the cause is rarely the back ends.
	DefaultMaxEjected = 0.5
	// DefaultLeavingHold keeps an observed leaving state longer than the instance list lags.
	DefaultLeavingHold = 30 * time.Second
	// sourcePeriod is how often the peers' reports are read; the target for a leaving back
	// end is 3 s everywhere.
	sourcePeriod = 250 * time.Millisecond
)

// pollJitter spreads the polls of the instances.
const pollJitter = 0.1

// EngineLoad is the part of platform.Engine that is polled.
type EngineLoad interface {
	Load(ctx context.Context, addr string) (platform.LoadReport, error)
	CacheEvents(ctx context.Context, addr string, after int64) ([]platform.CacheEvent, error)
}

// PlainHealth is the part of platform.PlainService that is polled.
type PlainHealth interface {
	Health(ctx context.Context, addr string) (leaving bool, err error)
}

// Options configure a Tracker. Zero durations and counts mean the defaults.
type Options struct {
	Engine EngineLoad
	Plain  PlainHealth
	// List is read each poll period for back ends in state leaving; nil means none.
	List platform.InstanceList
	// PeersLeaving returns the back ends that peers report leaving; nil means none.
	PeersLeaving func() []string
	// ReportLeaving tells the peers of an own observation; nil means not told.
	ReportLeaving func(backendID string)
	// CacheEvents receives an engine's cache events; gap reports that some are missing.
	CacheEvents func(b *Backend, events []platform.CacheEvent, gap bool)

	// Observes reports whether this instance polls a back end at the poll period whatever the
	// demand; nil means that it observes all. One observer of a back end is enough to notice that
	// it is leaving.
	Observes func(b machine.Backend) bool
	// Self and Zone select this instance's subset of a service with more than Subset back
	// ends; 0 means no subsets.
	Self   string
	Zone   zone.Zone
	Subset int

	IdlePeriod, ActiveFor   time.Duration
	PollPeriod, PollTimeout time.Duration
	PollFailures, Failures  int
	Ejection, MaxEjection   time.Duration
	Return, LeavingHold     time.Duration
	MaxEjected              float64
	Concurrency             limit.ConcurrencyOptions
	Registerer              prometheus.Registerer
	Logger                  *log.Logger
}

func (o *Options) setDefaults() {
	timing.SetDefault(&o.PollPeriod, DefaultPollPeriod)
	timing.SetDefault(&o.PollTimeout, DefaultPollTimeout)
	timing.SetDefault(&o.IdlePeriod, DefaultIdlePeriod)
	timing.SetDefault(&o.ActiveFor, DefaultActiveFor)
	timing.SetDefault(&o.Ejection, DefaultEjection)
	timing.SetDefault(&o.MaxEjection, DefaultMaxEjection)
	timing.SetDefault(&o.Return, DefaultReturn)
	timing.SetDefault(&o.LeavingHold, DefaultLeavingHold)
	if o.PollFailures == 0 {
		o.PollFailures = DefaultPollFailures
	}
	if o.Failures == 0 {
		o.Failures = DefaultFailures
	}
	if o.MaxEjected == 0 {
		o.MaxEjected = DefaultMaxEjected
	}
}

// State is why a back end gets requests or not.
type State string

// States of a back end.
const (
	Ready State = "ready"
	// Starting: no poll has succeeded yet.
	Starting State = "starting"
	// Unreachable: polls in a row failed.
	Unreachable State = "unreachable"
	Ejected     State = "ejected"
	Leaving     State = "leaving"
)
