package weights

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/timing"
)

// Announced is an announced version of a service.
type Announced struct {
	Version   int64  `json:"version"`
	Trainer   string `json:"trainer,omitempty"`
	Withdrawn bool   `json:"withdrawn"`
}

// Directory gives the current contracts and versions.
type Directory interface {
	Services() []*contract.Service
	Service(name string) (*contract.Service, bool)
	// Newest returns the newest announced version that is not withdrawn, 0 if none.
	Newest(service string) int64
	Withdrawn(service string, version int64) bool
	// Announced lists the known versions of service, oldest first.
	Announced(service string) []Announced
	// Changed is closed at the next change of any of these.
	Changed() <-chan struct{}
}

// Announcer records announcements in the control stream. Both calls are idempotent.
type Announcer interface {
	AnnounceVersion(ctx context.Context, service string, version int64, trainer string) error
	WithdrawVersion(ctx context.Context, service string, version int64) error
}

// Held is a held lease.
type Held interface {
	// Fence is the fencing number of the lease.
	Fence() int64
	// Valid reports whether the lease is held for at least margin longer.
	Valid(margin time.Duration) bool
	Lost() <-chan struct{}
	Release(ctx context.Context) error
}

// CampaignFunc blocks until the lease of duty is acquired. Where engines ignore fencing numbers it
// also waits until no order of the previous holder can start any more, OrderLife after the takeover.
type CampaignFunc func(ctx context.Context, duty string) (Held, error)

// Defaults of Options.
const (
	// DefaultOrderLife is the time within which an engine must have started an order.
	DefaultOrderLife = 3 * time.Second
	// DefaultOrderTimeout bounds the wait for an order's answer, which covers the transfer.
	DefaultOrderTimeout = 30 * time.Second
	// DefaultLeaseMargin is the validity that must be left of the lease when an order is sent.
	DefaultLeaseMargin = 500 * time.Millisecond
	// DefaultSweepPeriod is how often all samplers' versions are compared with the newest.
	DefaultSweepPeriod = 5 * time.Second
	// DefaultReportPeriod is how often a sampler is asked after an order whose answer was lost.
	DefaultReportPeriod = 250 * time.Millisecond
	// DefaultReportTimeout bounds one load report.
	DefaultReportTimeout = time.Second
	// DefaultRetryPause is the wait after the first failure of a sampler; it doubles with each further one.
	DefaultRetryPause = 500 * time.Millisecond
	// DefaultMaxRetryPause bounds the wait between failures.
	DefaultMaxRetryPause = 30 * time.Second
	// DefaultMaxFailures is the number of failures after which a sampler is reported unfit.
	DefaultMaxFailures = 3
	// DefaultTransfersPerSource is the number of samplers that load from one sampler at once.
	DefaultTransfersPerSource = 2
)

// StoreSource is the source of an order that loads from the weight store.
const StoreSource = "store"

// Options configure a Distributor. Directory, Announcer, Campaign and Engine are required.
type Options struct {
	Directory Directory
	Announcer Announcer
	Campaign  CampaignFunc
	Engine    platform.Engine
	// Unfit is told that a sampler failed too often to be routed to (true) and that it is at the
	// newest version again (false). It is called again at each sweep while the sampler is unfit.
	Unfit func(backendID string, unfit bool)

	Logger     *log.Logger
	Registerer prometheus.Registerer

	OrderLife          time.Duration
	OrderTimeout       time.Duration
	LeaseMargin        time.Duration
	SweepPeriod        time.Duration
	ReportPeriod       time.Duration
	ReportTimeout      time.Duration
	RetryPause         time.Duration
	MaxRetryPause      time.Duration
	MaxFailures        int
	TransfersPerSource int
}

func (o Options) withDefaults() Options {
	timing.SetDefault(&o.OrderLife, DefaultOrderLife)
	timing.SetDefault(&o.OrderTimeout, DefaultOrderTimeout)
	timing.SetDefault(&o.LeaseMargin, DefaultLeaseMargin)
	timing.SetDefault(&o.SweepPeriod, DefaultSweepPeriod)
	timing.SetDefault(&o.ReportPeriod, DefaultReportPeriod)
	timing.SetDefault(&o.ReportTimeout, DefaultReportTimeout)
	timing.SetDefault(&o.RetryPause, DefaultRetryPause)
	timing.SetDefault(&o.MaxRetryPause, DefaultMaxRetryPause)
	if o.MaxFailures == 0 {
		o.MaxFailures = DefaultMaxFailures
	}
	if o.TransfersPerSource == 0 {
		o.TransfersPerSource = DefaultTransfersPerSource
	}
	if o.Unfit == nil {
		o.Unfit = func(string, bool) {}
	}
	return o
}
