package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/cicadasill/cicadasill/claim"
	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/link/faultnet"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeLog is an in-memory log that injects faults.
type fakeLog struct {
	mu          sync.Mutex
	streams     map[string][]platform.Record
	rng         *rand.Rand
	appends     int
	recordsRead int
	latency     time.Duration
	outage      bool
	// Probabilities that an append takes effect but its answer is lost, that it takes effect
	// only after its answer was lost, and that it is refused by the rate limit.
	lossProb, delayProb, rateLimitProb float64
	delayedAppends                     sync.WaitGroup
	delayGate                          chan struct{} // if set, delayed appends wait until it is closed
	firstOffset                        int64         // first retained offset of every stream
	timeShift                          time.Duration // added to the record times
}

func newFakeLog(seed uint64) *fakeLog {
	return &fakeLog{streams: map[string][]platform.Record{}, rng: rand.New(rand.NewPCG(seed, 1))}
}

func logError(code platform.Code) error { return &platform.Error{Code: code, Op: "fake log"} }

// withLock calls f while no other goroutine uses the log.
func (l *fakeLog) withLock(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *fakeLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	l.mu.Lock()
	l.appends++
	draw, latency, outage := l.rng.Float64(), l.latency, l.outage
	lossProb, delayProb, rateLimitProb, delayGate := l.lossProb, l.delayProb, l.rateLimitProb, l.delayGate
	l.mu.Unlock()
	if latency > 0 {
		time.Sleep(latency)
	}
	switch {
	case outage:
		return 0, logError(platform.Unavailable)
	case draw < rateLimitProb:
		return 0, logError(platform.RateLimited)
	case draw < rateLimitProb+delayProb:
		l.delayedAppends.Go(func() {
			if delayGate != nil {
				<-delayGate
			} else {
				time.Sleep(15 * time.Millisecond)
			}
			l.appendRecord(stream, data)
		})
		return 0, logError(platform.OutcomeUnknown)
	}
	offset := l.appendRecord(stream, data)
	if draw < rateLimitProb+delayProb+lossProb {
		return 0, logError(platform.OutcomeUnknown)
	}
	return offset, ctx.Err()
}

func (l *fakeLog) appendRecord(stream string, data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.firstOffset + int64(len(l.streams[stream]))
	l.streams[stream] = append(l.streams[stream], platform.Record{Offset: offset, Time: time.Now().Add(l.timeShift), Data: append([]byte(nil), data...)})
	return offset
}

func (l *fakeLog) Read(_ context.Context, stream string, from int64, limit int, _ time.Duration) (platform.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return platform.Page{}, logError(platform.Unavailable)
	}
	if from < l.firstOffset {
		return platform.Page{}, logError(platform.Expired)
	}
	records := l.streams[stream]
	p := platform.Page{First: l.firstOffset, Next: l.firstOffset + int64(len(records))}
	if at := int(from - l.firstOffset); at < len(records) {
		p.Records = append(p.Records, records[at:min(at+limit, len(records))]...)
		l.recordsRead += len(p.Records)
	}
	return p, nil
}

// view is the membership view of one instance; tests remove members from it.
type view struct {
	c    *cluster
	self machine.Instance
}

func (v view) Self() machine.Instance { return v.self }

func (v view) Live() []machine.Instance {
	v.c.mu.Lock()
	defer v.c.mu.Unlock()
	var out []machine.Instance
	for _, i := range v.c.live {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b machine.Instance) int { return strings.Compare(a.ID, b.ID) })
	return out
}

func (v view) Lookup(ref machine.Ref) (machine.Instance, bool) {
	v.c.mu.Lock()
	defer v.c.mu.Unlock()
	i, ok := v.c.live[ref.ID]
	return i, ok && i.Ref() == ref
}

func (v view) LastKnown(ref machine.Ref) (machine.Instance, bool) {
	v.c.mu.Lock()
	defer v.c.mu.Unlock()
	i, ok := v.c.known[ref]
	return i, ok
}

// cluster is a set of instances that share a log.
type cluster struct {
	t    testing.TB
	log  *fakeLog
	net  *faultnet.Network
	opts claim.Options
	mu   sync.Mutex
	live map[string]machine.Instance
	// known holds every incarnation that was ever live.
	known           map[machine.Ref]machine.Instance
	lastIncarnation uint64
}

type instance struct {
	*claim.Claims
	kill func() // stops at once, like a crash; nothing is flushed
}

func newCluster(t testing.TB, seed uint64, n int, opts claim.Options) (*cluster, []*instance) {
	if opts.AppendsPerSecond == 0 {
		opts.AppendsPerSecond = 1e6
	}
	if opts.EndDelay == 0 {
		opts.EndDelay = time.Millisecond
	}
	c := &cluster{t: t, log: newFakeLog(seed), net: faultnet.New(), opts: opts, live: map[string]machine.Instance{}, known: map[machine.Ref]machine.Instance{}}
	var out []*instance
	for i := range n {
		out = append(out, c.start(fmt.Sprint("i", i)))
	}
	return c, out
}

func (c *cluster) start(id string) *instance {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	c.net.SetName(ln.Addr().String(), id)
	c.mu.Lock()
	c.lastIncarnation++
	self := machine.Instance{ID: id, Incarnation: c.lastIncarnation, PeerAddr: ln.Addr().String()}
	c.live[id] = self
	c.known[self.Ref()] = self
	c.mu.Unlock()
	node := link.NewNode(self, link.Options{DrainTimeout: time.Millisecond, PingAfter: time.Hour, DialContext: c.net.Dialer(id)})
	opts := c.opts
	opts.FlushTimeout = time.Nanosecond
	cl := claim.NewClaims(self, c.log, view{c, self}, node, opts)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = node.Serve(ctx, ln) }()
	var once sync.Once
	i := &instance{Claims: cl, kill: func() {
		once.Do(func() {
			c.mu.Lock()
			if c.live[id] == self {
				delete(c.live, id)
			}
			c.mu.Unlock()
			cancel()
			cl.Close()
			<-done
		})
	}}
	c.t.Cleanup(func() { i.kill(); c.log.delayedAppends.Wait() })
	return i
}
