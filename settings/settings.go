// Package settings reads and validates the settings file of an entry instance, which is JSON with
// comments. It rejects unknown fields and reports all mistakes at once.
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

// Instance holds the identity and the location of this instance.
type Instance struct {
	ID string `json:"id" validate:"required,hostname_rfc1123,max=63"`
	// Deployment names the deployment. All its instances state the same name, and no other
	// deployment does.
	Deployment string `json:"deployment" validate:"required,hostname_rfc1123,max=63"`
	Region     string `json:"region" validate:"required,hostname_rfc1123"`
	DataCentre string `json:"data_centre" validate:"required,hostname_rfc1123"`
}

// Listen holds the addresses, host:port, on which the instance listens. Peers and clients connect
// to the same addresses, so the host must be an IP address at which they can reach the machine.
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

// Limits holds the bounds on incoming requests.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"gte=0,lte=1073741824"`
	// HeaderTimeoutMs is the time in milliseconds within which a client must send the request
	// headers.
	HeaderTimeoutMs int `json:"header_timeout_ms" validate:"gte=0,lte=600000"`
	// MemoryMB is the memory in megabytes that the process may take. If it is missing, the smallest of the variable GOMEMLIMIT,
	// the limit of the control group and the memory of the machine applies.
	MemoryMB float64 `json:"memory_mb" validate:"omitempty,gte=64"`
}

// Routing configures how the instance chooses a back end for a request.
type Routing struct {
	Policy string `json:"policy" validate:"omitempty,oneof=round_robin least_loaded two_choices cost"`
	// CrossRegionMsPerMB is the cost of sending one megabyte between regions, expressed as
	// milliseconds of waiting time.
	CrossRegionMsPerMB float64 `json:"cross_region_ms_per_mb" validate:"gte=0"`
}

// Stop configures the planned stop of the instance.
type Stop struct {
	// BalancerDelayMs is the time in milliseconds for which the instance still accepts requests
	// after it has reported that it is not ready.
	BalancerDelayMs int `json:"balancer_delay_ms" validate:"gte=0,lte=600000"`
	// DrainTimeoutMs is the maximum time in milliseconds for which the stop waits for requests in
	// flight.
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

// Load reads and validates the settings file at path. It returns a *ReadError if the file cannot be
// read, and a *jsonc.Errors with all mistakes if its content is not valid.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &ReadError{Path: path, Err: err}
	}
	return Parse(path, data)
}

// Parse decodes and validates settings and sets the defaults of optional fields. The name stands for
// the file in error messages. An error is a *jsonc.Errors with all mistakes.
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

// Machine returns the machine.Instance that these settings describe, with the given incarnation.
func (s *Settings) Machine(incarnation uint64) machine.Instance {
	return machine.Instance{
		ID:          s.Instance.ID,
		Incarnation: incarnation,
		PeerAddr:    s.Listen.Peer,
		HTTPAddr:    s.Listen.HTTP,
		Zone:        zone.Zone{Region: s.Instance.Region, DataCentre: s.Instance.DataCentre},
	}
}
