package feed_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/feed"
	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/platform"
	"github.com/cicadasill/cicadasill/release"
	"github.com/cicadasill/cicadasill/zone"
)

// patience bounds every wait of a test; it asserts nothing about time.
const patience = 20 * time.Second

type stream struct {
	first   int64
	records []platform.Record
}

// memLog is an in-memory log. It tells an expired start without the bounds of the stream, as
// the HTTP client does.
type memLog struct {
	mu      sync.Mutex
	streams map[string]*stream
	grown   chan struct{}
	down    bool
	// lose decides about the next appends: nil, or a fate for each of them in turn.
	lose []fate
}

// fate is what happens to an append.
type fate struct {
	stored bool
	err    platform.Code
}

func newLog() *memLog {
	return &memLog{streams: map[string]*stream{}, grown: make(chan struct{})}
}

func (l *memLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *memLog) loseNext(fates ...fate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = fates
}

// expire drops the records of a stream below an offset.
func (l *memLog) expire(name string, below int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.records = s.records[below-s.first:]
	s.first = below
}

func (l *memLog) next(name string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.first + int64(len(s.records))
}

func (l *memLog) stream(name string) *stream {
	if l.streams[name] == nil {
		l.streams[name] = &stream{}
	}
	return l.streams[name]
}

func (l *memLog) Append(_ context.Context, name string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, &platform.Error{Code: platform.Unavailable, Op: "append"}
	}
	f := fate{stored: true}
	if len(l.lose) > 0 {
		f, l.lose = l.lose[0], l.lose[1:]
	}
	s := l.stream(name)
	offset := s.first + int64(len(s.records))
	if f.stored {
		s.records = append(s.records, platform.Record{Offset: offset, Time: time.Now(), Data: data})
		close(l.grown)
		l.grown = make(chan struct{})
	}
	if f.err != "" {
		return 0, &platform.Error{Code: f.err, Op: "append"}
	}
	return offset, nil
}

func (l *memLog) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		l.mu.Lock()
		s, grown, down := l.stream(name), l.grown, l.down
		page := platform.Page{First: s.first, Next: s.first + int64(len(s.records))}
		if from >= s.first && from < page.Next {
			rest := s.records[from-s.first:]
			page.Records = slices.Clone(rest[:min(limit, len(rest))])
		}
		l.mu.Unlock()
		switch {
		case down:
			return platform.Page{}, &platform.Error{Code: platform.Unavailable, Op: "read"}
		case from < page.First:
			return platform.Page{}, &platform.Error{Code: platform.Expired, Op: "read"}
		case len(page.Records) > 0 || ctx.Err() != nil:
			return page, nil
		}
		select {
		case <-ctx.Done():
		case <-grown:
		}
	}
}

// countedLog counts the reads of one instance and can cut it off from the log.
type countedLog struct {
	*memLog
	reads atomic.Int64
	cut   atomic.Bool
}

func (l *countedLog) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (platform.Page, error) {
	l.reads.Add(1)
	if l.cut.Load() {
		return platform.Page{}, &platform.Error{Code: platform.NotSent, Op: "read"}
	}
	return l.memLog.Read(ctx, name, from, limit, wait)
}

type handler = func(ctx context.Context, payload []byte) ([]byte, error)

// deployment is a set of feeds that can reach each other.
type deployment struct {
	t     testing.TB
	log   *memLog
	mu    sync.Mutex
	nodes map[string]*node
	// handlers are kept by instance and method, silent instances answer nothing.
	handlers map[string]handler
	silent   map[string]bool
	bytes    atomic.Int64
}

// node is one instance of a deployment.
type node struct {
	*feed.Follower
	d    *deployment
	self machine.Instance
	log  *countedLog
	stop context.CancelFunc
	wg   conc.WaitGroup
}

func newDeployment(t testing.TB, log *memLog) *deployment {
	d := &deployment{
		t: t, log: log, nodes: map[string]*node{}, handlers: map[string]handler{}, silent: map[string]bool{},
	}
	t.Cleanup(func() {
		for _, n := range d.all() {
			d.stop(n)
		}
	})
	return d
}

// start starts instances in data centres of three, in two regions.
func (d *deployment) start(ids ...int) []*node {
	nodes := make([]*node, len(ids))
	for i, id := range ids {
		data := []string{"alm-north", "alm-south", "shym-east"}[id/3%3]
		self := machine.Instance{ID: fmt.Sprintf("i%03d", id), Incarnation: uint64(time.Now().UnixNano()),
			Zone: zone.Zone{Region: data[:4], DataCentre: data}}
		nodes[i] = d.add(self, d.log)
	}
	for _, n := range nodes {
		n.run()
	}
	return nodes
}

func (d *deployment) add(self machine.Instance, log *memLog) *node {
	n := &node{d: d, self: self, log: &countedLog{memLog: log}}
	n.Follower = feed.New(self, n.log, feed.Options{
		Peers: n, View: n, StallAfter: 200 * time.Millisecond, Heartbeat: 40 * time.Millisecond,
		PollWait: 50 * time.Millisecond, PullDelay: 5 * time.Millisecond, RetryDelay: 5 * time.Millisecond,
		PeerTimeout: 200 * time.Millisecond, LogTimeout: time.Second, AuditEvery: 20 * time.Millisecond,
		SnapshotRecords: 20,
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	n.Register(func(method string, h handler) { d.handlers[self.ID+method] = h })
	d.nodes[self.ID] = n
	return n
}

func (n *node) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.wg.Go(func() { _ = n.Run(ctx) })
}

func (d *deployment) stop(n *node) {
	d.mu.Lock()
	delete(d.nodes, n.self.ID)
	d.mu.Unlock()
	if n.stop != nil {
		n.stop()
		n.wg.Wait()
	}
}

func (d *deployment) all() []*node {
	d.mu.Lock()
	defer d.mu.Unlock()
	var nodes []*node
	for _, n := range d.nodes {
		nodes = append(nodes, n)
	}
	return nodes
}

func (d *deployment) silence(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent[id] = true
}

// Self and Live implement feed.View.
func (n *node) Self() machine.Instance { return n.self }

func (n *node) Live() []machine.Instance {
	var live []machine.Instance
	for _, other := range n.d.all() {
		live = append(live, other.self)
	}
	slices.SortFunc(live, func(a, b machine.Instance) int {
		return map[bool]int{true: -1, false: 1}[a.ID < b.ID]
	})
	return live
}

// Call implements feed.Peers.
func (n *node) Call(ctx context.Context, to machine.Instance, _ link.Cause, method string, payload []byte) ([]byte, error) {
	n.d.mu.Lock()
	_, live := n.d.nodes[to.ID]
	h, silent := n.d.handlers[to.ID+method], n.d.silent[to.ID]
	n.d.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !live || h == nil {
		return nil, &link.Error{Code: link.NotSent}
	}
	n.d.bytes.Add(int64(len(payload)))
	return h(ctx, payload)
}

// probe exchanges positions between two instances, as a membership probe does.
func probe(a, b *node) {
	b.ReceivePiggyback(a.self, a.Piggyback())
	a.ReceivePiggyback(b.self, b.Piggyback())
}

func waitOffset(t testing.TB, offset int64, nodes ...*node) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	for _, n := range nodes {
		if err := n.WaitOffset(ctx, offset); err != nil {
			t.Fatalf("%s is at %d, not beyond %d", n.self.ID, n.State().Offset, offset)
		}
	}
}

func waitReady(t testing.TB, nodes ...*node) {
	t.Helper()
	for _, n := range nodes {
		select {
		case <-n.Ready():
		case <-time.After(patience):
			t.Fatalf("%s waits for %s", n.self.ID, n.WaitingFor())
		}
	}
}

// eventually waits for a condition that must come true.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("never: " + what)
		}
	}
}

func service(name string, queue int) contract.Service {
	return contract.Service{
		Name: name, Kind: machine.Plain, QueueLimit: queue,
		Calls: []contract.Call{{Name: "book", Priority: contract.Staff}},
	}
}

func addNote(id, name string) *release.Note {
	return &release.Note{ID: id, Author: "a", Added: []contract.Service{service(name, 0)}}
}

func publish(t testing.TB, n *node, note *release.Note) release.Verdict {
	t.Helper()
	v, err := n.PublishNote(t.Context(), note)
	if err != nil {
		t.Fatalf("note %s: %v", note.ID, err)
	}
	return v
}
