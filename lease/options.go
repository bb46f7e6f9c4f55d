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
	// DefaultTTL must be the same at every instance: a candidate relies on the holder's TTL.
	DefaultTTL = 10 * time.Second
	// LongestOrderLife is the longest time after its sending at which an order may start.
	LongestOrderLife = 3 * time.Second
	// DefaultStagger separates the candidates of a duty, so that not all of them append at once.
	DefaultStagger = 250 * time.Millisecond
	// DefaultPoll bounds the time after which a waiting candidate looks at its clock again.
	DefaultPoll = 250 * time.Millisecond
	// renewalsPerTTL is how often a lease is renewed within its TTL.
	renewalsPerTTL = 3
	// maxStaggerRank bounds the wait of the last candidate of a large deployment.
	maxStaggerRank = 40
	// OrdersPrefix begins the duties whose holder gives orders to back ends.
	OrdersPrefix = "orders/"
)

// Feed is what a Manager uses of the control stream.
type Feed interface {
	// Leases returns the current table.
	Leases() Table
	// Changed is closed at the next change of the state.
	Changed() <-chan struct{}
	// WaitOffset returns once the record at offset is applied.
	WaitOffset(ctx context.Context, offset int64) error
	// AppendLease appends a lease record and returns its offset.
	AppendLease(ctx context.Context, e Entry) (int64, error)
	// Sync applies every record that is in the log when it is called.
	Sync(ctx context.Context) error
}

// Entry is one lease record; one field is set.
type Entry struct {
	Acquire *Acquire
	Renewal *Renewal
	Release *Release
}

// Options configure a Manager. Zero values select the defaults.
type Options struct {
	TTL time.Duration
	// SuccessorWait returns how long a successor waits after its takeover before it may act.
	// The default is LongestOrderLife for duties that give orders, and nothing for others; an
	// owner whose engines check fencing numbers may return 0.
	SuccessorWait func(duty string) time.Duration
	// Live returns the live instances, by which candidates of a duty are staggered.
	Live func() []machine.Instance
	// Now is the clock of validity. It must be monotonic.
	Now        func() time.Time
	Stagger    time.Duration
	Poll       time.Duration
	Logger     *log.Logger
	Registerer prometheus.Registerer
}

func (o Options) withDefaults() Options {
	timing.SetDefault(&o.TTL, DefaultTTL)
	timing.SetDefault(&o.Stagger, DefaultStagger)
	timing.SetDefault(&o.Poll, DefaultPoll)
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
		return LongestOrderLife
	}
	return 0
}
