// Package feed keeps each instance's fold of the control stream up to date. One reader in each
// data centre tails the log and pushes the records to the members of its data centre; whoever
// is behind pulls from a peer or reads the log itself.
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
	// State returns the current state. It is the empty state before Ready.
	State() *control.State
	// Ready is closed after boot.
	Ready() <-chan struct{}
	// WaitingFor says what the boot waits for; it is empty after it.
	WaitingFor() string
	// Changed is closed at the next change of the state.
	Changed() <-chan struct{}
	// WaitOffset returns once the record at offset is applied.
	WaitOffset(ctx context.Context, offset int64) error
	// PublishNote publishes a note and returns its verdict. It is idempotent by the note's id.
	PublishNote(ctx context.Context, n *release.Note) (release.Verdict, error)
	// AnnounceVersion and WithdrawVersion are idempotent.
	AnnounceVersion(ctx context.Context, service string, version int64, trainer string) error
	WithdrawVersion(ctx context.Context, service string, version int64) error
	// Append appends one record and returns its offset.
	Append(ctx context.Context, rec control.Record) (int64, error)
	// LogReachable reports whether the last contact with the log, direct or through the
	// reader, succeeded.
	LogReachable() bool
}

// Follower implements Feed, and lease.Feed.
type Follower struct {
	self    machine.Instance
	log     platform.Log
	opts    Options
	metrics *metrics
	tracer  trace.Tracer
	ready   chan struct{}
	sends   chan struct{}
	// wakePush and wakePull wake the pusher and the puller.
	wakePush, wakePull chan struct{}
	tasks              conc.WaitGroup

	mu sync.Mutex
	// running is the context of Run, nil when Run is not active.
	running context.Context
	state   *control.State
	ring    ring
	changed chan struct{}
	booted  bool
	waiting string
	// head is the highest next offset of the log that is known.
	head int64
	// first is the lowest retained offset of the log.
	first int64
	// contact and failure are the times of the last good and bad contact with the log.
	contact, failure time.Time
	// ownRead is when this instance reads the log itself if it hears nothing of its reader.
	ownRead time.Time
	// suspect asks for a comparison with the log.
	suspect   bool
	lastAudit time.Time
	// target is the best position that a peer has told.
	target peerPosition
	// snapshot caches the encoding of snapshotOf for peers.
	snapshot   []byte
	snapshotOf *control.State
}

var (
	_ Feed       = (*Follower)(nil)
	_ lease.Feed = (*Follower)(nil)
)

// New returns a follower of log for self. Run does its work.
func New(self machine.Instance, log platform.Log, opts Options) *Follower {
	opts = opts.withDefaults()
	return &Follower{
		self: self, log: log, opts: opts, metrics: newMetrics(opts.Registerer),
		tracer: otel.Tracer("github.com/cicadasill/cicadasill/feed"),
		ready:  make(chan struct{}), sends: make(chan struct{}, maxSends),
		wakePush: make(chan struct{}, 1), wakePull: make(chan struct{}, 1),
		state: control.Empty(), changed: make(chan struct{}), waiting: "the feed to start",
	}
}

// Run boots the feed and follows the control stream until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setRunning(ctx)
	if f.boot(ctx) {
		var group conc.WaitGroup
		group.Go(func() { f.tail(ctx) })
		if f.opts.Peers != nil && f.opts.View != nil {
			group.Go(func() { f.pushLoop(ctx) })
			group.Go(func() { f.pullLoop(ctx) })
		}
		group.Wait()
	}
	f.stopTasks()
	cancel()
	f.tasks.Wait()
	return nil
}

// Register registers the handlers of the exchanges between feeds, for example with the Handle
// method of a *link.Node.
func (f *Follower) Register(handle func(method string, h func(ctx context.Context, payload []byte) ([]byte, error))) {
	handle(PushMethod, f.HandlePush)
	handle(PullMethod, f.HandlePull)
}

func (f *Follower) setRunning(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = ctx
}

// stopTasks keeps further pushes from being started.
func (f *Follower) stopTasks() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = nil
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
	return f.waiting
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
	return f.contact.After(f.failure)
}

// jittered returns d plus a random part of up to d.
func jittered(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)+1))
}

// wake signals a loop without blocking.
func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
