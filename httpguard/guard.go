// Package httpguard bounds what clients may send to an HTTP server of net/http, and leave unread of its answers: the size and the
// time of a head, the memory of all heads together, the time without progress of a body or of an answer, and the connections.
// Package flood decides which connections have to make room; package intake counts the memory of bodies and answers. A guard only
// counts lines and bytes; where a head ends is decided by net/http alone.
package httpguard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"github.com/cicadasill/cicadasill/flood"
	"github.com/cicadasill/cicadasill/intake"
)

// Defaults of Limits.
const (
	// DefaultHeaderBytes is the default of net/http, 1 MB, less by so much that a head of it fits into the smallest machines.
	DefaultHeaderBytes = 64 << 10
	// DefaultHeaderTimeout and DefaultIdleTimeout are longer than the limits that operators set for clients.
	DefaultHeaderTimeout = 10 * time.Second
	DefaultIdleTimeout   = 75 * time.Second
)

const (
	// headerSlack is how much a head may exceed its limit. Whether the request line and the empty line count is not agreed on
	// everywhere, and net/http allows as much.
	headerSlack = 4 << 10
	// timeoutSlack is the time beyond the limit for a head that is on its way, or waits for a busy process.
	timeoutSlack = time.Second
	// refusedBodyTimeout bounds how long net/http reads the rest of a body that its handler has not read.
	refusedBodyTimeout = 2 * time.Second
	// refusalRetryAfter is the delay in seconds after which a client that found the memory for heads taken may return.
	refusalRetryAfter = "1"
	// refusalTimeout bounds the write of a refusal, and the wait for its client to read it before the connection closes.
	refusalTimeout = 500 * time.Millisecond
	// maxDiscardBytes bounds what is read and thrown away after a refusal.
	maxDiscardBytes = 256 << 10
	// logInterval is the shortest time between two log lines of a guard.
	logInterval = 10 * time.Second
)

// Limits are what a client may send, and the time that it may take. Zero fields take the defaults.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time in which a body makes no progress.
	IdleTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	return l
}

// Options configure a Guard.
type Options struct {
	// Listener names the listener in logs and metrics.
	Listener string
	Flood    flood.Limits
	// Limits returns the limits in force; nil means the defaults.
	Limits func() Limits
	// Answers is the memory of the answers that clients do not read at once; nil sets no bound.
	Answers *intake.Memory
	// Refuse answers a request that finds the memory for heads taken, with a status that states that it has not run. nil means
	// 503 without a body.
	Refuse  http.HandlerFunc
	Metrics *Metrics
	Logger  *log.Logger
}

// Guard bounds the clients of one server.
type Guard struct {
	opts Options
	log  rate.Sometimes

	mu    sync.Mutex // guards table
	table *flood.Table
}

// New returns a guard for one server.
func New(opts Options) *Guard {
	if opts.Limits == nil {
		opts.Limits = func() Limits { return Limits{} }
	}
	if opts.Refuse == nil {
		opts.Refuse = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", refusalRetryAfter)
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	g := &Guard{opts: opts, table: flood.NewTable(opts.Flood), log: rate.Sometimes{Interval: logInterval}}
	opts.Metrics.observe(g)
	return g
}

// limits returns the limits in force.
func (g *Guard) limits() Limits { return g.opts.Limits().withDefaults() }

// usage returns the number of open connections and the cost of their heads.
func (g *Guard) usage() (int, int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Usage()
}

// HeadBytes returns the estimated memory of the large heads.
func (g *Guard) HeadBytes() int64 {
	_, cost := g.usage()
	return cost
}

// refused counts and logs a refusal.
func (g *Guard) refused(reason string, addr net.Addr) {
	g.opts.Metrics.refusals.WithLabelValues(g.opts.Listener, reason).Inc()
	g.log.Do(func() {
		g.opts.Logger.Warn("client refused", "listener", g.opts.Listener, "reason", reason, "addr", addr.String())
	})
}

// Listener returns l with its connections bounded. It must be served by a server that Protect was called for.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.open(inner); c != nil {
			return c, nil
		}
		_ = inner.Close() // refused
	}
}

// open adds a connection; it returns nil if there is no room.
func (g *Guard) open(inner net.Conn) *conn {
	host, _, err := net.SplitHostPort(inner.RemoteAddr().String())
	if err != nil {
		host = inner.RemoteAddr().String()
	}
	c := &conn{Conn: inner, guard: g, inHead: true}
	g.mu.Lock()
	entry, victim, ok := g.table.Open(host, func() { _ = inner.Close() })
	c.entry = entry
	g.mu.Unlock()
	if !ok {
		g.refused(reasonNoRoom, inner.RemoteAddr())
		return nil
	}
	if victim != nil {
		victim.Close()
		g.refused(reasonEvicted, inner.RemoteAddr())
	}
	return c
}

// connKey is the key of a request's *conn in its context.
type connKey struct{}

// Protect makes the guard observe the connections and bound the heads and bodies of server. It must be called before the server is used.
func (g *Guard) Protect(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	observe := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*conn); ok {
			own.observe(state)
		}
		if observe != nil {
			observe(c, state)
		}
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serve(w, r, handler) })
}

// serve admits a request by the cost of its head and bounds the time of its body.
func (g *Guard) serve(w http.ResponseWriter, r *http.Request, handler http.Handler) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		handler.ServeHTTP(w, r)
		return
	}
	if !g.charge(c, flood.Cost(headSize(r))) {
		w.Header().Set("Connection", "close")
		g.opts.Refuse(w, r)
		_ = c.SetReadDeadline(time.Now().Add(refusedBodyTimeout)) // an error means that the connection is closed
		return
	}
	w = &answerWriter{ResponseWriter: w, conn: c}
	if r.ContentLength == 0 {
		handler.ServeHTTP(w, r)
		return
	}
	if len(r.TransferEncoding) > 0 {
		// Two framings: whoever passed the request on may have used the length, which net/http drops.
		if c.hasLength {
			g.refused(reasonAmbiguous, c.RemoteAddr())
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if !c.seen {
			w.Header().Set("Connection", "close") // what follows may be meant as part of this request
		}
	}
	body := &body{ReadCloser: r.Body, ctx: r.Context(), conn: c, timeout: g.limits().IdleTimeout}
	r = r.WithContext(r.Context()) // net/http looks at the body of the original after the handler
	r.Body = body
	handler.ServeHTTP(w, r)
	body.leave()
}

// headSize returns the bytes and the lines of a request's head.
func headSize(r *http.Request) (size, lines int) {
	size, lines = len(r.RequestURI), 1
	for name, values := range r.Header {
		lines += len(values)
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size, lines
}

// charge sets the cost of the head of c and closes the connections that have to make room for it. It returns false if c has none.
func (g *Guard) charge(c *conn, cost int64) bool {
	g.mu.Lock()
	victims := g.table.Charge(c.entry, cost)
	g.mu.Unlock()
	admitted := true
	for _, victim := range victims {
		g.refused(reasonHeadsFull, c.RemoteAddr())
		if victim == c.entry && victim.State() == flood.Busy {
			admitted = false
			continue
		}
		victim.Close()
	}
	return admitted
}
