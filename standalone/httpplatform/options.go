// Package httpplatform implements the interfaces of package platform over HTTP/1.1.
//
// The code of every error tells whether the operation can have taken effect. A request is
// reported as not sent only if no byte of it was passed to a connection. Every request carries
// an id that the answer must repeat; an answer without it is treated as the answer to another
// request.
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
	// DefaultProgressDeadline leaves 0.5 s for the second attempt, because a silent connection
	// may delay a caller by 2 s at most. Servers that work longer send 102 Processing or, in a
	// stream, empty lines.
	DefaultProgressDeadline = 1500 * time.Millisecond
	DefaultMaxConnAge       = 60 * time.Second
	DefaultIdleTimeout      = 30 * time.Second
	// DefaultProbeIdleAfter is how long a connection may have received nothing before a
	// non-idempotent call requires a probe that shows that the connection still works.
	DefaultProbeIdleAfter = time.Second
	DefaultProbeTimeout   = 300 * time.Millisecond
	DefaultMaxAnswerBytes = 16 << 20
	DefaultMaxIdlePerHost = 64
)

// Options configure a client. The zero value is usable.
type Options struct {
	// DialContext opens connections; nil means net.Dialer.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	// ConnectTimeout bounds the time for opening a connection.
	ConnectTimeout time.Duration
	// ProgressDeadline is how long a request may receive no byte before it fails.
	ProgressDeadline time.Duration
	// MaxConnAge is the age after which a connection takes no new request.
	MaxConnAge time.Duration
	// IdleTimeout is how long an unused connection stays open.
	IdleTimeout time.Duration
	// ProbeIdleAfter is how long a connection may have received nothing before a non-idempotent
	// call requires a probe. ProbeTimeout bounds that probe.
	ProbeIdleAfter time.Duration
	ProbeTimeout   time.Duration
	// MaxAnswerBytes bounds the size of an answer that is not a stream.
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
