package lease

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/timing"
)

// Defaults of Options.
const (
	// DefaultTTL is how long a lease is valid without a renewal. The TTL must be the same at every
	// instance, because a candidate waits for its own TTL before it takes over from the holder.
	DefaultTTL = 10 * time.Second
	// MaxOrderLife is the maximum time between sending an order and its start at the back end.
	MaxOrderLife = 3 * time.Second
	// DefaultRankDelay is the additional wait for each rank, so that the candidates of a duty do not
	// all append at once.
	DefaultRankDelay = 250 * time.Millisecond
	// DefaultPollInterval is the maximum time before a waiting candidate checks its clock again.
	DefaultPollInterval = 250 * time.Millisecond
	// renewalsPerTTL is the number of renewals within one TTL.
	renewalsPerTTL = 3
	// maxRank caps the rank, which bounds the wait of the last candidate of a large deployment.
	maxRank = 40
	// OrdersPrefix is the prefix of duties whose holder sends orders to back ends.
	OrdersPrefix = "orders/"
)

// Feed is the part of the control stream that a Manager uses.
type Feed interface {
	// Leases returns the table after all records applied so far.
	Leases() Table
	// Changed returns a channel that is closed at the next change of the state.
	Changed() <-chan struct{}
	// WaitOffset returns once the record at offset is applied.
	WaitOffset(ctx context.Context, offset int64) error
	// AppendLease appends a lease record and returns its offset.
	AppendLease(ctx context.Context, e Entry) (int64, error)
	// Sync applies every record that is in the log when it is called.
	Sync(ctx context.Context) error
}

// Entry is one lease record. Exactly one field is set.
type Entry struct {
	Acquire *Acquire
	Renewal *Renewal
	Release *Release
}

// Options configure a Manager. Zero values select the defaults.
type Options struct {
	TTL time.Duration
	// SuccessorWait returns how long a new holder waits, after it takes over a lease that was not
	// released, before it may act. The default is MaxOrderLife for duties with OrdersPrefix
	// and 0 for others. It may be 0 where the engines check fencing tokens.
	SuccessorWait func(duty string) time.Duration
	// Live returns the live instances, among which this instance is ranked. Without it the rank is 0.
	Live func() []machine.Instance
	// Now is the clock that measures validity. It must be monotonic.
	Now          func() time.Time
	RankDelay    time.Duration
	PollInterval time.Duration
	Logger       *log.Logger
	Registerer   prometheus.Registerer
}

func (o Options) withDefaults() Options {
	timing.SetDefault(&o.TTL, DefaultTTL)
	timing.SetDefault(&o.RankDelay, DefaultRankDelay)
	timing.SetDefault(&o.PollInterval, DefaultPollInterval)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.SuccessorWait == nil {
		o.SuccessorWait = defaultSuccessorWait
	}
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	return o
}

func defaultSuccessorWait(duty string) time.Duration {
	if strings.HasPrefix(duty, OrdersPrefix) {
		return MaxOrderLife
	}
	return 0
}
