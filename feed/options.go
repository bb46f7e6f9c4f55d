package feed

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
)

// Defaults of Options.
const (
	// DefaultStallAfter is how long an instance does without news of its reader before it
	// reads the log itself. The wait has a jitter of up to the same length.
	DefaultStallAfter = 2 * time.Second
	// DefaultHeartbeat is how often an idle reader pushes its position.
	DefaultHeartbeat = time.Second
	// DefaultPollWait is the length of a long poll of the log.
	DefaultPollWait = 2 * time.Second
	// DefaultLogTimeout bounds an operation on the log beyond its poll wait.
	DefaultLogTimeout = 3 * time.Second
	// DefaultPeerTimeout bounds an exchange with a peer.
	DefaultPeerTimeout = time.Second
	// DefaultPullDelay lets a push in flight arrive before records are pulled.
	DefaultPullDelay = 200 * time.Millisecond
	// DefaultRetryDelay is the first delay after a failed operation on the log.
	DefaultRetryDelay = 100 * time.Millisecond
	// DefaultAuditEvery is the least time between two comparisons with the log's own chain.
	DefaultAuditEvery = 10 * time.Second
	// DefaultPublishTimeout bounds a publication, with its reading back after lost answers.
	DefaultPublishTimeout = 10 * time.Second
	// DefaultSnapshotRecords is the number of records after which a snapshot is written.
	DefaultSnapshotRecords = 500
	// DefaultRetention is the shortest time for which the log is known to keep records.
	DefaultRetention = time.Hour
)

const (
	// FanOut is the number of members to which each member of the push tree passes records on.
	FanOut = 4
	// readMax is the number of records in one read or pull.
	readMax = 256
	// pushBytes bounds the data in one push or pull.
	pushBytes = 1 << 20
	// ringRecords and ringBytes bound the records kept for peers.
	ringRecords = 1024
	ringBytes   = 4 << 20
	// maxSends bounds the pushes in flight at one instance.
	maxSends = 64
	// maxRetryDelay bounds the delay between failed operations on the log.
	maxRetryDelay = time.Second
	// roleCheck is how often an instance looks whether it has become the reader.
	roleCheck = 250 * time.Millisecond
	// bootPeers is the number of peers asked for their state at boot.
	bootPeers = 6
	// snapshotsTried is the number of snapshots that a boot looks at, newest first.
	snapshotsTried = 4
	// minSnapshotRecords keeps a log with little retention from being filled with snapshots.
	minSnapshotRecords = 16
	// retentionParts is the part of retention after which a snapshot is written.
	retentionParts = 4
)

// Peers is what a feed uses of the link to other instances; *link.Node implements it.
type Peers interface {
	Call(ctx context.Context, to machine.Instance, cause link.Cause, method string, payload []byte) ([]byte, error)
}

// View is what a feed uses of the membership.
type View interface {
	Self() machine.Instance
	Live() []machine.Instance
}

// Options configure a Follower. Zero values select the defaults.
type Options struct {
	// Peers and View are nil when the instance is alone; it then reads the log itself.
	Peers Peers
	View  View

	StallAfter      time.Duration
	Heartbeat       time.Duration
	PollWait        time.Duration
	LogTimeout      time.Duration
	PeerTimeout     time.Duration
	PullDelay       time.Duration
	RetryDelay      time.Duration
	AuditEvery      time.Duration
	Retention       time.Duration
	PublishTimeout  time.Duration
	SnapshotRecords int64

	Logger     *log.Logger
	Registerer prometheus.Registerer
}

func (o Options) withDefaults() Options {
	for d, value := range map[*time.Duration]time.Duration{
		&o.StallAfter: DefaultStallAfter, &o.Heartbeat: DefaultHeartbeat, &o.PollWait: DefaultPollWait,
		&o.LogTimeout: DefaultLogTimeout, &o.PeerTimeout: DefaultPeerTimeout, &o.PullDelay: DefaultPullDelay,
		&o.RetryDelay: DefaultRetryDelay, &o.AuditEvery: DefaultAuditEvery, &o.Retention: DefaultRetention,
		&o.PublishTimeout: DefaultPublishTimeout,
	} {
		if *d == 0 {
			*d = value
		}
	}
	if o.SnapshotRecords == 0 {
		o.SnapshotRecords = DefaultSnapshotRecords
	}
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	return o
}
