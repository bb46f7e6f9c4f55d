// Package demo runs a whole deployment in one process over real loopback connections: entry
// instances, engines, plain services, trainers, staff callers and operators. A schedule drawn from
// a seed injects faults. Whether a promise held is decided by the ledgers of the stand-ins and by
// what callers and operators saw, not by the system's own counters.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/machine"
)

// Defaults of Options.
const (
	DefaultDuration   = 20 * time.Second
	DefaultDeployment = AltynTostar
	minDuration       = 5 * time.Second
)

// Names of the deployments.
const (
	AltynTostar = "altyn-tostar"
	Moreton     = "moreton"
)

// Deployments returns the names of all deployments.
func Deployments() []string { return []string{AltynTostar, Moreton} }

// Options configures a run.
type Options struct {
	Deployment string
	Duration   time.Duration
	// Seed determines the fault schedule and the load; 0 takes a seed from the clock.
	Seed uint64
	// Faults lists the faults to inject; "all" selects every fault.
	Faults []Fault
	// Rate multiplies the staff callers' request rate; 0 means 1.
	Rate float64
	// Out receives the live display; nil discards it. Terminal makes the display rewrite one line
	// in place.
	Out      io.Writer
	Terminal bool
	// Logger receives the instances' logs; nil discards them.
	Logger *log.Logger
	// NewInstance builds an entry instance; nil means NewEntry.
	NewInstance Factory
}

// Instance is an entry instance.
type Instance interface {
	// Run serves until ctx ends or Stop has completed.
	Run(ctx context.Context) error
	// Stop performs a planned stop: it returns when all requests in flight have ended.
	Stop(ctx context.Context) error
	HTTPAddr() string
	PeerAddr() string
	AdminAddr() string
}

// InstanceConfig is the configuration of an entry instance.
type InstanceConfig struct {
	// Self identifies the instance and holds the addresses at which it must listen.
	Self          machine.Instance
	Deployment    string
	AdminAddr     string
	LogAddr       string
	ListAddr      string
	DialContext   func(ctx context.Context, network, addr string) (net.Conn, error)
	Logger        *log.Logger
	Registry      *prometheus.Registry
	BalancerDelay time.Duration
}

// Factory builds an entry instance.
type Factory func(InstanceConfig) (Instance, error)

// OptionError reports an invalid option.
type OptionError struct {
	Option  string
	Value   string
	Allowed string
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("invalid %s %q: must be %s", e.Option, e.Value, e.Allowed)
}

// withDefaults returns the options with defaults for unset values, or an *OptionError if a value is
// invalid.
func (o Options) withDefaults() (Options, error) {
	if o.Deployment == "" {
		o.Deployment = DefaultDeployment
	}
	if !slices.Contains(Deployments(), o.Deployment) {
		return o, &OptionError{Option: "deployment", Value: o.Deployment, Allowed: strings.Join(Deployments(), " or ")}
	}
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.Duration < minDuration {
		return o, &OptionError{Option: "duration", Value: o.Duration.String(), Allowed: "at least " + minDuration.String()}
	}
	if o.Rate == 0 {
		o.Rate = 1
	}
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	if o.Out == nil {
		o.Out = io.Discard
	}
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	if o.NewInstance == nil {
		o.NewInstance = NewEntry
	}
	if slices.Contains(o.Faults, "all") {
		o.Faults = Faults()
	}
	for _, f := range o.Faults {
		if !slices.Contains(Faults(), f) {
			return o, &OptionError{Option: "fault", Value: string(f), Allowed: "one of " + faultNames()}
		}
	}
	return o, nil
}
