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

// AnnouncedVersion describes an announced version of a service.
type AnnouncedVersion struct {
	Version   int64  `json:"version"`
	Trainer   string `json:"trainer,omitempty"`
	Withdrawn bool   `json:"withdrawn"`
}

// Directory provides the current contracts and versions.
type Directory interface {
	Services() []*contract.Service
	Service(name string) (*contract.Service, bool)
	// Newest returns the newest announced version that is not withdrawn, or 0 if there is none.
	Newest(service string) int64
	Withdrawn(service string, version int64) bool
	// Announced returns the announced versions of service, withdrawn ones included, oldest first.
	Announced(service string) []AnnouncedVersion
	// Changed returns a channel that is closed at the next change of the contracts or versions.
	Changed() <-chan struct{}
}

// Announcer records announcements and withdrawals in the control stream. Both methods are idempotent.
type Announcer interface {
	AnnounceVersion(ctx context.Context, service string, version int64, trainer string) error
	WithdrawVersion(ctx context.Context, service string, version int64) error
}

// Lease is a held lease.
type Lease interface {
	// Fence returns the fencing token of the lease.
	Fence() int64
	// Valid reports whether the lease remains valid for at least margin.
	Valid(margin time.Duration) bool
	// Lost returns a channel that is closed when the lease is lost or released.
	Lost() <-chan struct{}
	Release(ctx context.Context) error
}

// CampaignFunc blocks until the lease of duty is acquired. Where engines ignore fencing tokens, it also
// waits for OrderLife after the takeover, so that no order of the previous holder can start any more.
type CampaignFunc func(ctx context.Context, duty string) (Lease, error)

// Defaults of Options.
const (
	// DefaultOrderLife is the time within which an engine must start an order.
	DefaultOrderLife = 3 * time.Second
	// DefaultOrderTimeout bounds the wait for the answer to an order, which includes the transfer.
	DefaultOrderTimeout = 30 * time.Second
	// DefaultLeaseMargin is the time for which the lease must remain valid when an order is sent.
	DefaultLeaseMargin = 500 * time.Millisecond
	// DefaultSweepInterval is the interval between checks of the versions that all samplers run.
	DefaultSweepInterval = 5 * time.Second
	// DefaultReportInterval is the interval at which a sampler is polled after an unanswered order.
	DefaultReportInterval = 250 * time.Millisecond
	// DefaultReportTimeout bounds one request for a load report.
	DefaultReportTimeout = time.Second
	// DefaultMinRetryBackoff is the delay after the first failed order. It doubles with each further failure.
	DefaultMinRetryBackoff = 500 * time.Millisecond
	// DefaultMaxRetryBackoff is the maximum delay after a failed order.
	DefaultMaxRetryBackoff = 30 * time.Second
	// DefaultMaxFailures is the number of consecutive failed loads after which a sampler is unfit. Loads
	// from the store or from another region do not count.
	DefaultMaxFailures = 3
	// DefaultTransfersPerSource is the maximum number of samplers that load from one sampler at once.
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
	// SetUnfit is called with true when a sampler becomes unfit after MaxFailures, and again at each sweep
	// while it is unfit. It is called with false when the sampler has loaded the newest version, or when
	// this instance no longer holds the lease. Unfit samplers are excluded from routing.
	SetUnfit func(backendID string, unfit bool)

	Logger     *log.Logger
	Registerer prometheus.Registerer

	OrderLife          time.Duration
	OrderTimeout       time.Duration
	LeaseMargin        time.Duration
	SweepInterval      time.Duration
	ReportInterval     time.Duration
	ReportTimeout      time.Duration
	MinRetryBackoff    time.Duration
	MaxRetryBackoff    time.Duration
	MaxFailures        int
	TransfersPerSource int
}

func (o Options) withDefaults() Options {
	timing.SetDefault(&o.OrderLife, DefaultOrderLife)
	timing.SetDefault(&o.OrderTimeout, DefaultOrderTimeout)
	timing.SetDefault(&o.LeaseMargin, DefaultLeaseMargin)
	timing.SetDefault(&o.SweepInterval, DefaultSweepInterval)
	timing.SetDefault(&o.ReportInterval, DefaultReportInterval)
	timing.SetDefault(&o.ReportTimeout, DefaultReportTimeout)
	timing.SetDefault(&o.MinRetryBackoff, DefaultMinRetryBackoff)
	timing.SetDefault(&o.MaxRetryBackoff, DefaultMaxRetryBackoff)
	if o.MaxFailures == 0 {
		o.MaxFailures = DefaultMaxFailures
	}
	if o.TransfersPerSource == 0 {
		o.TransfersPerSource = DefaultTransfersPerSource
	}
	if o.SetUnfit == nil {
		o.SetUnfit = func(string, bool) {}
	}
	return o
}
