// Package entry builds one entry instance from the packages that do its work and serves
// callers, trainers, peers and operators.
package entry

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/routing"
	"github.com/cicadasill/cicadasill/settings"
)

// Config describes one entry instance.
type Config struct {
	// Self names the instance; HTTPAddr and PeerAddr are where it listens. A zero Incarnation
	// is replaced by the start time.
	Self      machine.Instance
	AdminAddr string
	// Deployment names the deployment; instances of another one are not talked to.
	Deployment string
	// LogAddr and ListAddr are the platform's log and instance list, host:port or http URL.
	LogAddr  string
	ListAddr string

	// DialContext opens all outgoing connections; nil means net.Dialer.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	Logger      *log.Logger
	// Registry receives the metrics and is served at /metrics; nil means a new one.
	Registry *prometheus.Registry

	Policy routing.Policy
	// CrossRegionPerMB is the price of a megabyte over the link between regions, as waiting time.
	CrossRegionPerMB time.Duration
	MaxBodyBytes     int64
	HeaderTimeout    time.Duration
	// BalancerDelay is how long the instance accepts requests after its readiness has fallen.
	BalancerDelay time.Duration
	// DrainTimeout bounds the planned stop.
	DrainTimeout time.Duration
	Pprof        bool
}

// DefaultCrossRegionPerMB makes a request of one megabyte wait up to 20 ms more for an engine
// of its own region: that is what a megabyte takes on the link of 450 Mbit/s.
const DefaultCrossRegionPerMB = 20 * time.Millisecond

// ConfigOf returns the configuration that a settings file describes.
func ConfigOf(s *settings.Settings, logger *log.Logger) Config {
	return Config{
		Self:             s.Machine(0),
		AdminAddr:        s.Listen.Admin,
		Deployment:       s.Instance.Deployment,
		LogAddr:          s.Platform.Log,
		ListAddr:         s.Platform.InstanceList,
		Logger:           logger,
		Policy:           routing.Policy(s.Routing.Policy),
		CrossRegionPerMB: time.Duration(s.Routing.CrossRegionMsPerMB * float64(time.Millisecond)),
		MaxBodyBytes:     s.Limits.MaxBodyBytes,
		HeaderTimeout:    time.Duration(s.Limits.HeaderTimeoutMs) * time.Millisecond,
		BalancerDelay:    time.Duration(s.Stop.BalancerDelayMs) * time.Millisecond,
		DrainTimeout:     time.Duration(s.Stop.DrainTimeoutMs) * time.Millisecond,
		Pprof:            s.Telemetry.Pprof,
	}
}

func (c Config) withDefaults() Config {
	if c.Self.Incarnation == 0 {
		c.Self.Incarnation = uint64(time.Now().UnixNano())
	}
	if c.DialContext == nil {
		c.DialContext = (&net.Dialer{}).DialContext
	}
	if c.Logger == nil {
		c.Logger = log.New(io.Discard)
	}
	if c.Registry == nil {
		c.Registry = prometheus.NewRegistry()
	}
	if c.Policy == "" {
		c.Policy = routing.Cost
	}
	if c.CrossRegionPerMB == 0 {
		c.CrossRegionPerMB = DefaultCrossRegionPerMB
	}
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = settings.DefaultMaxBodyBytes
	}
	if c.HeaderTimeout == 0 {
		c.HeaderTimeout = settings.DefaultHeaderTimeout
	}
	if c.DrainTimeout == 0 {
		c.DrainTimeout = settings.DefaultDrainTimeout
	}
	return c
}
