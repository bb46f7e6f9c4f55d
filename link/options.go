package link

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/intake"
	"github.com/cicadasill/cicadasill/timing"
)

// Defaults of Options.
const (
	DefaultDialTimeout     = time.Second
	DefaultHelloTimeout    = time.Second
	DefaultExchangeTimeout = 10 * time.Second
	// DefaultKeepaliveInterval plus DefaultKeepaliveTimeout is below 2 s, the longest time that
	// a silent connection may cost a caller.
	DefaultKeepaliveInterval = 500 * time.Millisecond
	DefaultKeepaliveTimeout  = 1200 * time.Millisecond
	// DefaultPingAfter is how long after its last received byte a session is used without a ping.
	DefaultPingAfter = time.Second
	// DefaultIdleTimeout is longer than one round of probes over 330 members (165 s), because a
	// new connection for each probe would cost more bytes than the probe itself.
	DefaultIdleTimeout  = 5 * time.Minute
	DefaultDrainTimeout = 10 * time.Second
	DefaultBackoffMin   = 50 * time.Millisecond
	DefaultBackoffMax   = time.Second
	// DefaultMaxServed bounds the exchanges that a node serves at once.
	DefaultMaxServed = 4096
	// DefaultMaxMessage bounds one protobuf message in bytes.
	DefaultMaxMessage = 16 << 20
	// DefaultMaxConns bounds the connections that a node accepts. It is three for each instance of a deployment of 331.
	DefaultMaxConns = 1000
	// acceptBacklog bounds the streams of one session that the peer has not accepted yet.
	acceptBacklog = 256
	// streamWindow is the flow control window of a stream in bytes.
	streamWindow = 256 << 10
	// streamCloseTimeout is how long a half-closed stream waits for the peer to close its end
	// before it is freed.
	streamCloseTimeout = 30 * time.Second
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Options configure a Node. Zero fields take the defaults.
type Options struct {
	Registerer  prometheus.Registerer
	Logger      *log.Logger
	DialContext DialFunc

	// Deployment is the name of the deployment. The handshake refuses peers of another deployment.
	Deployment string

	DialTimeout  time.Duration
	HelloTimeout time.Duration
	// ExchangeTimeout bounds a Call whose context has no deadline.
	ExchangeTimeout   time.Duration
	KeepaliveInterval time.Duration
	KeepaliveTimeout  time.Duration
	// PingAfter is how long after its last received byte a session is used without a ping.
	PingAfter    time.Duration
	IdleTimeout  time.Duration
	DrainTimeout time.Duration
	BackoffMin   time.Duration
	BackoffMax   time.Duration
	MaxServed    int
	// MaxConns bounds the accepted connections. A newcomer replaces the one whose handshake has been incomplete longest.
	MaxConns   int
	MaxMessage int64
	// Requests is the memory of the messages of requests, except that the largest one always fits alone; nil sets no bound.
	Requests *intake.Memory
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	if o.DialContext == nil {
		o.DialContext = (&net.Dialer{}).DialContext
	}
	timing.SetDefault(&o.DialTimeout, DefaultDialTimeout)
	timing.SetDefault(&o.HelloTimeout, DefaultHelloTimeout)
	timing.SetDefault(&o.ExchangeTimeout, DefaultExchangeTimeout)
	timing.SetDefault(&o.KeepaliveInterval, DefaultKeepaliveInterval)
	timing.SetDefault(&o.KeepaliveTimeout, DefaultKeepaliveTimeout)
	timing.SetDefault(&o.PingAfter, DefaultPingAfter)
	timing.SetDefault(&o.IdleTimeout, DefaultIdleTimeout)
	timing.SetDefault(&o.DrainTimeout, DefaultDrainTimeout)
	timing.SetDefault(&o.BackoffMin, DefaultBackoffMin)
	timing.SetDefault(&o.BackoffMax, DefaultBackoffMax)
	if o.MaxServed == 0 {
		o.MaxServed = DefaultMaxServed
	}
	if o.MaxConns == 0 {
		o.MaxConns = DefaultMaxConns
	}
	if o.MaxMessage == 0 {
		o.MaxMessage = DefaultMaxMessage
	}
	if o.Requests == nil {
		o.Requests = intake.Unbounded()
	}
	return o
}
