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

// Node holds an instance's connections to its peers. It makes exchanges with the peers and serves
// theirs.
type Node struct {
	self     machine.Instance
	opts     Options
	log      *log.Logger
	account  *account
	accepted *acceptedConns
	tracer   trace.Tracer
	prop     propagation.TraceContext

	handlers    map[string]Handler
	httpHandler http.Handler
	serveTokens chan struct{} // holds one token for each exchange being served
	errors      *prometheus.CounterVec

	ctx    context.Context // ends when the node is closed
	cancel context.CancelFunc
	wg     conc.WaitGroup

	draining  atomic.Bool
	watchOnce sync.Once
	mu        sync.Mutex
	closed    bool
	peers     map[string]*peerState
}

// NewNode returns a node for the instance self. The node dials peers on demand and accepts
// connections in Serve.
func NewNode(self machine.Instance, opts Options) *Node {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		self: self, opts: opts, log: opts.Logger, account: newAccount(self.Zone, opts.Registerer),
		accepted: newAcceptedConns(opts.MaxConns, opts.Registerer),
		tracer:   otel.Tracer("github.com/cicadasill/cicadasill/link"), handlers: map[string]Handler{},
		serveTokens: make(chan struct{}, opts.MaxServed), ctx: ctx, cancel: cancel, peers: map[string]*peerState{},
		errors: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadasill_link_errors_total", Help: "Failed exchanges by code and cause.",
		}, []string{"code", "cause"}),
	}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(n.errors)
	}
	return n
}

// Self returns the instance to which the node belongs.
func (n *Node) Self() machine.Instance { return n.self }

// Handle registers the handler of a method. It must be called before Serve. A handler that returns
// a *RemoteError sets the code that the caller receives.
func (n *Node) Handle(method string, h func(ctx context.Context, payload []byte) ([]byte, error)) {
	n.handlers[method] = h
}

// HandleHTTP registers the handler of forwarded HTTP requests. It must be called before Serve. The
// handler's response writer implements http.Flusher, and its request context ends when the caller
// ends the exchange.
func (n *Node) HandleHTTP(h http.Handler) { n.httpHandler = h }

// Bytes returns the traffic by zone pair and cause since the node was created.
func (n *Node) Bytes() []Traffic { return n.account.snapshot() }

// Close ends all sessions and waits for their goroutines. Serve calls it before it returns; the
// owner of a node that never serves must call it.
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

// addSession adds a session to the table and starts its goroutine. It reports false when the node
// is closed.
func (n *Node) addSession(s *session) bool {
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

// removeSession removes a session from the table.
func (n *Node) removeSession(s *session) {
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
	n.removePeerIfUnusedLocked(s.peer.ID, p)
}

// peerLocked returns the table entry of an instance id, and creates it if necessary.
func (n *Node) peerLocked(id string) *peerState {
	p := n.peers[id]
	if p == nil {
		p = newPeerState(n.opts)
		n.peers[id] = p
	}
	return p
}

// removePeerIfUnusedLocked removes a peer that has no session, no dial in progress and no backoff.
func (n *Node) removePeerIfUnusedLocked(id string, p *peerState) {
	if len(p.sessions) == 0 && p.dial == nil && p.failures == 0 {
		delete(n.peers, id)
	}
}
