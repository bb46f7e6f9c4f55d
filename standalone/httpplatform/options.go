// Package httpplatform implements the interfaces of package platform over HTTP/1.1.
//
// Every error says truthfully whether the operation can have taken effect. A request is
// reported as not sent only when no byte of it was handed to a connection. Every request
// carries an id that the answer must echo; an answer without it belongs to another request.
package httpplatform

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cicadasill/cicadasill/timing"
)

// Headers of the platform's protocol.
const (
	HeaderRequestID = "Cicadasill-Request-Id"
	HeaderKey       = "Cicadasill-Key"
	HeaderNotRun    = "Cicadasill-Not-Run"
	HeaderLeaving   = "Cicadasill-Leaving"
)

// Defaults of Options.
const (
	DefaultConnectTimeout = 500 * time.Millisecond
	// DefaultProgressDeadline leaves 0.5 s of the 2 s that a silent connection may cost a
	// caller for the second attempt. Servers that work longer send 102 Processing or, in a
	// stream, empty lines.
	DefaultProgressDeadline = 1500 * time.Millisecond
	DefaultMaxConnAge       = 60 * time.Second
	DefaultIdleTimeout      = 30 * time.Second
	// DefaultProbeIdleAfter is how long a connection may have been quiet before a
	// non-idempotent call uses it without proof that it still works.
	DefaultProbeIdleAfter = time.Second
	DefaultProbeTimeout   = 300 * time.Millisecond
	DefaultMaxAnswerBytes = 16 << 20
	DefaultMaxIdlePerHost = 64
)

// Options configure a client. The zero value is usable.
type Options struct {
	// DialContext opens connections; nil means net.Dialer.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	// ConnectTimeout bounds opening a connection.
	ConnectTimeout time.Duration
	// ProgressDeadline is the longest time without a byte from the other side.
	ProgressDeadline time.Duration
	// MaxConnAge is the age after which a connection takes no new request.
	MaxConnAge time.Duration
	// IdleTimeout closes unused connections.
	IdleTimeout time.Duration
	// ProbeIdleAfter and ProbeTimeout control the probe before a non-idempotent call.
	ProbeIdleAfter time.Duration
	ProbeTimeout   time.Duration
	// MaxAnswerBytes bounds an answer that is read as a whole.
	MaxAnswerBytes int64
	// Logger receives connection failures at debug level; nil discards them.
	Logger *log.Logger
}

func (o Options) withDefaults() Options {
	timing.SetDefault(&o.ConnectTimeout, DefaultConnectTimeout)
	timing.SetDefault(&o.ProgressDeadline, DefaultProgressDeadline)
	timing.SetDefault(&o.MaxConnAge, DefaultMaxConnAge)
	timing.SetDefault(&o.IdleTimeout, DefaultIdleTimeout)
	timing.SetDefault(&o.ProbeIdleAfter, DefaultProbeIdleAfter)
	timing.SetDefault(&o.ProbeTimeout, DefaultProbeTimeout)
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if o.DialContext == nil {
		o.DialContext = (&net.Dialer{}).DialContext
	}
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	return o
}
