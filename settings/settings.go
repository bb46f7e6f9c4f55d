// Package settings reads the settings file of an entry instance: JSON with comments, every
// field checked, unknown fields refused, all mistakes reported at once.
package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/cicadasill/cicadasill/jsonc"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/telemetry"
	"github.com/cicadasill/cicadasill/zone"
)

// Settings is the content of a settings file.
type Settings struct {
	Instance  Instance  `json:"instance" validate:"required"`
	Listen    Listen    `json:"listen" validate:"required"`
	Platform  Platform  `json:"platform" validate:"required"`
	Telemetry Telemetry `json:"telemetry"`
	Limits    Limits    `json:"limits"`
	Routing   Routing   `json:"routing"`
	Stop      Stop      `json:"stop"`
}

// Instance names this instance and its place.
type Instance struct {
	ID string `json:"id" validate:"required,hostname_rfc1123,max=63"`
	// Deployment is the same at all instances of a deployment and differs between deployments.
	Deployment string `json:"deployment" validate:"required,hostname_rfc1123,max=63"`
	Region     string `json:"region" validate:"required,hostname_rfc1123"`
	DataCentre string `json:"data_centre" validate:"required,hostname_rfc1123"`
}

// Listen holds the addresses, host:port, at which the instance listens. Peers and clients
// reach it at the same addresses, so they name an IP number of the machine.
type Listen struct {
	// HTTP serves callers and trainers.
	HTTP string `json:"http" validate:"required,hostname_port"`
	// Peer serves the other instances.
	Peer string `json:"peer" validate:"required,hostname_port"`
	// Admin serves operators, metrics, health and readiness.
	Admin string `json:"admin" validate:"required,hostname_port"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log          string `json:"log" validate:"required,http_url"`
	InstanceList string `json:"instance_list" validate:"required,http_url"`
}

// Telemetry configures logs, traces and profiles.
type Telemetry struct {
	LogLevel telemetry.Level `json:"log_level" validate:"omitempty,oneof=debug info warn error"`
	Traces   Traces          `json:"traces"`
	// Pprof serves /debug/pprof on the admin address.
	Pprof bool `json:"pprof"`
}

// Traces configures the trace exporter.
type Traces struct {
	Exporter    telemetry.Exporter `json:"exporter" validate:"omitempty,oneof=none stdout file"`
	Path        string             `json:"path" validate:"required_if=Exporter file"`
	SampleRatio float64            `json:"sample_ratio" validate:"gte=0,lte=1"`
}

// Limits bound what the instance takes on.
type Limits struct {
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"gte=0,lte=1073741824"`
	// HeaderTimeoutMs bounds the time in milliseconds in which a client must send its header.
	HeaderTimeoutMs int `json:"header_timeout_ms" validate:"gte=0,lte=600000"`
}

// Routing configures the choice of back ends.
type Routing struct {
	Policy string `json:"policy" validate:"omitempty,oneof=round_robin least_loaded two_choices cost"`
	// CrossRegionMsPerMB is the price of a megabyte over the link between regions, in milliseconds of waiting.
	CrossRegionMsPerMB float64 `json:"cross_region_ms_per_mb" validate:"gte=0"`
}

// Stop configures the planned stop.
type Stop struct {
	// BalancerDelayMs is the time in milliseconds for which the instance accepts requests after readiness falls.
	BalancerDelayMs int `json:"balancer_delay_ms" validate:"gte=0,lte=600000"`
	// DrainTimeoutMs bounds the time in milliseconds for which a stop waits for requests in flight.
	DrainTimeoutMs int `json:"drain_timeout_ms" validate:"gte=0,lte=3600000"`
}

// Defaults of optional settings.
const (
	DefaultLogLevel      telemetry.Level = "info"
	DefaultMaxBodyBytes                  = 1 << 20
	DefaultHeaderTimeout                 = 5 * time.Second
	DefaultBalancerDelay                 = 5 * time.Second
	DefaultDrainTimeout                  = 2 * time.Minute
	DefaultPolicy                        = "cost"
)

// ReadError reports a settings file that cannot be read.
type ReadError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("settings file %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// Load reads and checks the settings file at path. Mistakes are returned together as *jsonc.Errors.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &ReadError{Path: path, Err: err}
	}
	return Parse(path, data)
}

// Parse checks settings. The name appears in error messages.
func Parse(name string, data []byte) (*Settings, error) {
	var s Settings
	if err := jsonc.Decode(name, data, &s); err != nil {
		return nil, err
	}
	s.setDefaults()
	return &s, nil
}

func (s *Settings) setDefaults() {
	if s.Telemetry.LogLevel == "" {
		s.Telemetry.LogLevel = DefaultLogLevel
	}
	if s.Limits.MaxBodyBytes == 0 {
		s.Limits.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if s.Limits.HeaderTimeoutMs == 0 {
		s.Limits.HeaderTimeoutMs = int(DefaultHeaderTimeout.Milliseconds())
	}
	if s.Routing.Policy == "" {
		s.Routing.Policy = DefaultPolicy
	}
	if s.Stop.BalancerDelayMs == 0 {
		s.Stop.BalancerDelayMs = int(DefaultBalancerDelay.Milliseconds())
	}
	if s.Stop.DrainTimeoutMs == 0 {
		s.Stop.DrainTimeoutMs = int(DefaultDrainTimeout.Milliseconds())
	}
}

// Machine returns the instance that these settings describe, started with the given incarnation.
func (s *Settings) Machine(incarnation uint64) machine.Instance {
	return machine.Instance{
		ID:          s.Instance.ID,
		Incarnation: incarnation,
		PeerAddr:    s.Listen.Peer,
		HTTPAddr:    s.Listen.HTTP,
		Zone:        zone.Zone{Region: s.Instance.Region, DataCentre: s.Instance.DataCentre},
	}
}
