package link

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/cicadasill/cicadasill/machine"
)

// Handler serves the exchanges of one method.
type Handler func(ctx context.Context, payload []byte) ([]byte, error)

// Node is one instance's end of its peer connections.
type Node struct {
	self    machine.Instance
	opts    Options
	log     *log.Logger
	account *account
	tracer  trace.Tracer
	prop    propagation.TraceContext

	handlers    map[string]Handler
	httpHandler http.Handler
	serving     chan struct{} // one token per exchange being served
	errors      *prometheus.CounterVec

	ctx    context.Context // ends when the node is closed
	cancel context.CancelFunc
	wg     conc.WaitGroup

	draining  atomic.Bool
	watchOnce sync.Once
	mu        sync.Mutex
	closed    bool
	peers     map[string]*peer
}

// NewNode returns a node for self. It opens connections on demand and accepts them in Serve.
func NewNode(self machine.Instance, opts Options) *Node {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		self: self, opts: opts, log: opts.Logger, account: newAccount(self.Zone, opts.Registerer),
		tracer: otel.Tracer("github.com/cicadasill/cicadasill/link"), handlers: map[string]Handler{},
		serving: make(chan struct{}, opts.MaxServed), ctx: ctx, cancel: cancel, peers: map[string]*peer{},
		errors: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadasill_link_errors_total", Help: "Failed exchanges by code and cause.",
		}, []string{"code", "cause"}),
	}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(n.errors)
	}
	return n
}

// Self returns the instance that the node speaks for.
func (n *Node) Self() machine.Instance { return n.self }

// Handle registers the handler of a method. It is called before Serve. A handler that returns a
// *RemoteError chooses the code that the caller sees.
func (n *Node) Handle(method string, h func(ctx context.Context, payload []byte) ([]byte, error)) {
	n.handlers[method] = h
}

// HandleHTTP registers the handler of forwarded HTTP requests. It is called before Serve. The
// handler's writer implements http.Flusher; its request context ends when the caller goes away.
func (n *Node) HandleHTTP(h http.Handler) { n.httpHandler = h }

// Bytes returns the traffic by zone pair and cause since the start.
func (n *Node) Bytes() []LinkBytes { return n.account.snapshot() }

// Close ends all sessions and waits for their goroutines. Serve calls it at its end; a node
// that never serves is closed by its owner.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	sessions := n.allSessionsLocked()
	n.mu.Unlock()
	n.cancel()
	for _, s := range sessions {
		s.close()
	}
	n.wg.Wait()
}

func (n *Node) allSessionsLocked() []*session {
	var out []*session
	for _, p := range n.peers {
		out = append(out, p.sessions...)
	}
	return out
}

// track adds a session to the table and starts its goroutine.
func (n *Node) track(s *session) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	p := n.peerLocked(s.peer.ID)
	p.sessions = append(p.sessions, s)
	n.wg.Go(s.run)
	n.watchOnce.Do(func() { n.wg.Go(n.watch) })
	return true
}

func (n *Node) untrack(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[s.peer.ID]
	if p == nil {
		return
	}
	for i, other := range p.sessions {
		if other == s {
			p.sessions = append(p.sessions[:i:i], p.sessions[i+1:]...)
			break
		}
	}
	n.dropIfUnusedLocked(s.peer.ID, p)
}

func (n *Node) peerLocked(id string) *peer {
	p := n.peers[id]
	if p == nil {
		p = newPeer(n.opts)
		n.peers[id] = p
	}
	return p
}

func (n *Node) dropIfUnusedLocked(id string, p *peer) {
	if len(p.sessions) == 0 && p.dial == nil && p.failures == 0 {
		delete(n.peers, id)
	}
}
