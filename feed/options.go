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
	// DefaultStallTimeout is how long an instance waits for a push from its reader before it reads
	// the log itself. A random duration of up to the same length is added.
	DefaultStallTimeout = 2 * time.Second
	// DefaultHeartbeatInterval is how often a reader without new records pushes its position.
	DefaultHeartbeatInterval = time.Second
	// DefaultPollWait is the duration of a long poll of the log.
	DefaultPollWait = 2 * time.Second
	// DefaultLogTimeout bounds an operation on the log, in addition to the wait of a long poll.
	DefaultLogTimeout = 3 * time.Second
	// DefaultPeerTimeout bounds a call to a peer.
	DefaultPeerTimeout = time.Second
	// DefaultPullDelay is the delay before a pull. A push in flight may deliver the records
	// meanwhile.
	DefaultPullDelay = 200 * time.Millisecond
	// DefaultRetryDelay is the delay after the first failed operation on the log. It doubles with
	// each further failure.
	DefaultRetryDelay = 100 * time.Millisecond
	// DefaultAuditInterval is the minimum time between two comparisons of the state with the log.
	DefaultAuditInterval = 10 * time.Second
	// DefaultPublishTimeout bounds a publication, including the reads of the log after lost
	// answers.
	DefaultPublishTimeout = 10 * time.Second
	// DefaultSnapshotRecords is the number of records after which a new snapshot is written.
	DefaultSnapshotRecords = 500
	// DefaultRetention is the minimum time for which the log is assumed to retain records.
	DefaultRetention = time.Hour
)

const (
	// PushFanOut is the number of children of each member of the push tree.
	PushFanOut = 4
	// maxReadRecords bounds the records in one read, push or pull.
	maxReadRecords = 256
	// maxMessageBytes bounds the record data in one push or pull.
	maxMessageBytes = 1 << 20
	// maxBufferedRecords and maxBufferedBytes bound the applied records that are kept for peers.
	maxBufferedRecords = 1024
	maxBufferedBytes   = 4 << 20
	// maxPushesInFlight bounds the concurrent pushes of an instance.
	maxPushesInFlight = 64
	// maxRetryDelay bounds the delay between failed operations on the log.
	maxRetryDelay = time.Second
	// readerCheckInterval is how often an instance checks whether it has become the reader.
	readerCheckInterval = 250 * time.Millisecond
	// maxBootPeers bounds the number of peers asked for their state during boot.
	maxBootPeers = 6
	// maxSnapshotsTried bounds the number of snapshots that a boot considers, the newest in the
	// log.
	maxSnapshotsTried = 4
	// minSnapshotRecords is the lower bound of the number of records after which a snapshot is
	// written. It prevents a log that retains few records from being filled with snapshots.
	minSnapshotRecords = 16
	// snapshotsPerRetention divides the log's retention, in records and in time, into intervals
	// between snapshots.
	snapshotsPerRetention = 4
)

// Peers calls methods of other instances. *link.Node implements it.
type Peers interface {
	Call(ctx context.Context, to machine.Instance, cause link.Cause, method string, payload []byte) ([]byte, error)
}

// View provides the live instances. *membership.Members implements it.
type View interface {
	Self() machine.Instance
	Live() []machine.Instance
}

// Options configures a Follower. Zero fields select the defaults.
type Options struct {
	// Peers and View are nil if the instance has no peers. It then reads the log itself.
	Peers Peers
	View  View

	StallTimeout      time.Duration
	HeartbeatInterval time.Duration
	PollWait          time.Duration
	LogTimeout        time.Duration
	PeerTimeout       time.Duration
	PullDelay         time.Duration
	RetryDelay        time.Duration
	AuditInterval     time.Duration
	Retention         time.Duration
	PublishTimeout    time.Duration
	SnapshotRecords   int64

	Logger     *log.Logger
	Registerer prometheus.Registerer
}

// withDefaults returns o with its zero fields replaced by the defaults.
func (o Options) withDefaults() Options {
	for d, value := range map[*time.Duration]time.Duration{
		&o.StallTimeout: DefaultStallTimeout, &o.HeartbeatInterval: DefaultHeartbeatInterval, &o.PollWait: DefaultPollWait,
		&o.LogTimeout: DefaultLogTimeout, &o.PeerTimeout: DefaultPeerTimeout, &o.PullDelay: DefaultPullDelay,
		&o.RetryDelay: DefaultRetryDelay, &o.AuditInterval: DefaultAuditInterval, &o.Retention: DefaultRetention,
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
