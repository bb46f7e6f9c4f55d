// Package feed keeps each instance's control state up to date. The state is a fold over the control
// stream of the shared log. In each data centre one instance, the reader, tails the log and pushes
// new records to the other instances of the data centre through a tree. An instance that falls
// behind pulls records from a peer or reads the log itself.
//
// Each record carries a chain hash over all records before it. An instance applies a peer's records
// only if they continue its own chain, and compares its state with the log when hashes differ. The
// applied offset never moves backwards.
package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/lease"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/release"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// Feed is an instance's view of the control stream.
type Feed interface {
	// State returns the current state. Before Ready it is the empty state.
	State() *control.State
	// Ready returns a channel that is closed once the boot has finished.
	Ready() <-chan struct{}
	// WaitingFor describes what the boot is waiting for. It is empty once the boot has finished.
	WaitingFor() string
	// Changed returns a channel that is closed at the next change of the state.
	Changed() <-chan struct{}
	// WaitOffset blocks until the record at offset has been applied.
	WaitOffset(ctx context.Context, offset int64) error
	// PublishNote publishes a note and returns its verdict. It is idempotent by the note's id.
	PublishNote(ctx context.Context, n *release.Note) (release.Verdict, error)
	// AnnounceVersion announces a version of a service's weights. It is idempotent.
	AnnounceVersion(ctx context.Context, service string, version int64, trainer string) error
	// WithdrawVersion withdraws a version of a service's weights. It is idempotent.
	WithdrawVersion(ctx context.Context, service string, version int64) error
	// Append appends a record to the control stream and returns its offset.
	Append(ctx context.Context, rec control.Record) (int64, error)
	// LogReachable reports whether the last contact with the log, direct or through the reader,
	// succeeded.
	LogReachable() bool
}

// Follower implements Feed and lease.Feed on top of a log and, optionally, peers.
type Follower struct {
	self    machine.Instance
	log     platform.Log
	opts    Options
	metrics *metrics
	tracer  trace.Tracer
	ready   chan struct{}
	// sendSlots limits the pushes in flight.
	sendSlots chan struct{}
	// wakePush and wakePull wake pushLoop and pullLoop.
	wakePush, wakePull chan struct{}
	sendTasks          conc.WaitGroup

	mu sync.Mutex
	// runCtx is the context of Run; it is nil while Run is not active.
	runCtx     context.Context
	state      *control.State
	recent     recordBuffer
	changed    chan struct{}
	booted     bool
	waitingFor string
	// logNext is the highest known next offset of the log.
	logNext int64
	// logFirst is the first retained offset of the log at the last read.
	logFirst int64
	// lastLogSuccess and lastLogFailure are the times of the last successful and the last failed
	// contact with the log.
	lastLogSuccess, lastLogFailure time.Time
	// stallDeadline is when this instance reads the log itself unless a push arrives before.
	stallDeadline time.Time
	// auditPending requests a comparison of the state with the log.
	auditPending bool
	lastAudit    time.Time
	// pullTarget is the most advanced position reported by a peer.
	pullTarget peerPosition
	// snapshot caches the encoded snapshotState for peers.
	snapshot      []byte
	snapshotState *control.State
}

var (
	_ Feed       = (*Follower)(nil)
	_ lease.Feed = (*Follower)(nil)
)

// New returns a follower of log for self. It is idle until Run is called.
func New(self machine.Instance, log platform.Log, opts Options) *Follower {
	opts = opts.withDefaults()
	return &Follower{
		self: self, log: log, opts: opts, metrics: newMetrics(opts.Registerer),
		tracer: otel.Tracer("github.com/cicadasill/cicadasill/feed"),
		ready:  make(chan struct{}), sendSlots: make(chan struct{}, maxPushesInFlight),
		wakePush: make(chan struct{}, 1), wakePull: make(chan struct{}, 1),
		state: control.Empty(), changed: make(chan struct{}), waitingFor: "the feed to start",
	}
}

// Run boots the feed and then follows the control stream until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setRunContext(ctx)
	if f.boot(ctx) {
		var group conc.WaitGroup
		group.Go(func() { f.tail(ctx) })
		if f.opts.Peers != nil && f.opts.View != nil {
			group.Go(func() { f.pushLoop(ctx) })
			group.Go(func() { f.pullLoop(ctx) })
		}
		group.Wait()
	}
	f.stopSends()
	cancel()
	f.sendTasks.Wait()
	return nil
}

// Register registers the handlers of PushMethod and PullMethod, for example with the Handle method
// of a *link.Node.
func (f *Follower) Register(handle func(method string, h func(ctx context.Context, payload []byte) ([]byte, error))) {
	handle(PushMethod, f.HandlePush)
	handle(PullMethod, f.HandlePull)
}

// setRunContext stores the context in which pushes are sent.
func (f *Follower) setRunContext(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runCtx = ctx
}

// stopSends prevents further pushes from being started.
func (f *Follower) stopSends() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runCtx = nil
}

// State implements Feed.
func (f *Follower) State() *control.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// Leases implements lease.Feed.
func (f *Follower) Leases() lease.Table { return f.State().Leases }

// Ready implements Feed.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// WaitingFor implements Feed.
func (f *Follower) WaitingFor() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waitingFor
}

// Changed implements Feed.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// WaitOffset implements Feed.
func (f *Follower) WaitOffset(ctx context.Context, offset int64) error {
	for {
		changed := f.Changed()
		if f.State().Offset > offset {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// LogReachable implements Feed.
func (f *Follower) LogReachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastLogSuccess.After(f.lastLogFailure)
}

// jittered returns d plus a random duration of up to d.
func jittered(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)+1))
}

// wake signals a loop without blocking. A signal that is already pending is enough.
func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
