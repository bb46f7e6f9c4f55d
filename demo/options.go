// Package demo runs a whole deployment in one process over real loopback connections: entry
// instances, engines, plain services, trainers, staff callers and operators, with faults from a
// seeded schedule. Its report comes from the stand-ins' ledgers, not from the system's counters.
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

// Deployments returns the names of the deployments.
func Deployments() []string { return []string{AltynTostar, Moreton} }

// Options configure a run.
type Options struct {
	Deployment string
	Duration   time.Duration
	// Seed selects the schedule of faults and loads; 0 draws one.
	Seed uint64
	// Faults are injected during the run; "all" stands for every fault.
	Faults []Fault
	// Rate multiplies the staff's request rate; 0 means 1.
	Rate float64
	// Out receives the live display; nil means none. Terminal refreshes one line in place.
	Out      io.Writer
	Terminal bool
	// Logger receives the instances' logs; nil discards them.
	Logger *log.Logger
	// NewInstance builds an entry instance; nil means package entry.
	NewInstance Factory
}

// Instance is one running entry instance.
type Instance interface {
	// Run serves until ctx ends or Stop has completed.
	Run(ctx context.Context) error
	// Stop is the planned stop: it returns when all requests in flight have ended.
	Stop(ctx context.Context) error
	HTTPAddr() string
	PeerAddr() string
	AdminAddr() string
}

// InstanceConfig is what an entry instance gets.
type InstanceConfig struct {
	// Self holds the addresses at which the instance must listen.
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

// OptionError reports a wrong option.
type OptionError struct {
	Option string
	Value  string
	Want   string
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("%s: %q, want %s", e.Option, e.Value, e.Want)
}

func (o Options) check() (Options, error) {
	if o.Deployment == "" {
		o.Deployment = DefaultDeployment
	}
	if !slices.Contains(Deployments(), o.Deployment) {
		return o, &OptionError{Option: "deployment", Value: o.Deployment, Want: strings.Join(Deployments(), " or ")}
	}
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.Duration < minDuration {
		return o, &OptionError{Option: "duration", Value: o.Duration.String(), Want: "at least " + minDuration.String()}
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
			return o, &OptionError{Option: "fault", Value: string(f), Want: "one of " + joinFaults()}
		}
	}
	return o, nil
}
