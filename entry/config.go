// Package entry builds an entry instance from the packages that implement its functions and runs it.
// An instance serves callers and trainers, its peers, and operators. It refuses requests until it has
// the state of the control stream, and its planned stop finishes the requests in flight.
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

// Config configures an entry instance.
type Config struct {
	// Self identifies the instance, which listens at HTTPAddr and PeerAddr. A zero Incarnation is
	// replaced by the start time.
	Self machine.Instance
	// AdminAddr is the address at which the instance serves operators.
	AdminAddr string
	// Deployment names the deployment. Instances of different deployments do not communicate.
	Deployment string
	// LogAddr and ListAddr are the addresses of the platform's log and instance list, as host:port
	// or as an http URL.
	LogAddr  string
	ListAddr string

	// DialContext opens all outgoing connections; nil means that of a zero net.Dialer.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	Logger      *log.Logger
	// Registry collects the metrics and is served at /metrics; nil means a new registry.
	Registry *prometheus.Registry

	Policy routing.Policy
	// CrossRegionPerMB is the cost of sending a megabyte over the link between regions, expressed as
	// waiting time.
	CrossRegionPerMB time.Duration
	MaxBodyBytes     int64
	// MemoryBytes is the memory that the process may take. What clients send may take a part of it.
	MemoryBytes   int64
	HeaderTimeout time.Duration
	// BalancerDelay is how long a stopping instance still accepts requests after it has reported that
	// it is not ready.
	BalancerDelay time.Duration
	// DrainTimeout bounds the planned stop, in addition to BalancerDelay.
	DrainTimeout time.Duration
	// Pprof adds the profiles of net/http/pprof to the admin interface.
	Pprof bool
}

// DefaultCrossRegionPerMB lets a request of one megabyte wait up to 20 ms longer for an engine of its
// own region, which is the time that a megabyte takes on the link of 450 Mbit/s between regions.
const DefaultCrossRegionPerMB = 20 * time.Millisecond

// DefaultMemoryBytes is the memory of instances that share a process with others, as in demonstrations.
const DefaultMemoryBytes = 1 << 30

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
	if c.MemoryBytes == 0 {
		c.MemoryBytes = DefaultMemoryBytes
	}
	if c.HeaderTimeout == 0 {
		c.HeaderTimeout = settings.DefaultHeaderTimeout
	}
	if c.DrainTimeout == 0 {
		c.DrainTimeout = settings.DefaultDrainTimeout
	}
	return c
}
