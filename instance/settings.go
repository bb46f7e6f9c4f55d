package instance

import (
	"fmt"
	"os"
	"time"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/jsonc"
	"github.com/cicadasill/cicadasill/telemetry"
)

// Settings is the content of an instance's settings file, JSON with comments.
type Settings struct {
	Instance  InstanceSettings  `json:"instance" validate:"required"`
	Listen    ListenSettings    `json:"listen" validate:"required"`
	Store     StoreSettings     `json:"store" validate:"required"`
	Jobs      JobSettings       `json:"jobs" validate:"required"`
	Limits    LimitSettings     `json:"limits" validate:"required"`
	Stop      StopSettings      `json:"stop" validate:"required"`
	Telemetry TelemetrySettings `json:"telemetry"`

	// The sections below belong to parts that a deployment may not have. A part is off where its values are missing.
	Duties        DutySettings          `json:"duties"`
	Configuration ConfigurationSettings `json:"configuration"`
	Accounts      AccountSettings       `json:"accounts"`
	PlatformAPI   PlatformAPISettings   `json:"platform_api"`
	Usage         UsageSettings         `json:"usage"`
}

// DutySettings tell how the platform and the engines judge the orders of the holders of duties.
type DutySettings struct {
	// LeaseMs is the time in milliseconds within which two holders may not act in turns.
	LeaseMs Number `json:"lease_ms"`
	// FencesEnforced states that receivers refuse a lower fencing token than one that they have seen.
	FencesEnforced Flag `json:"fences_enforced"`
}

// ConfigurationSettings tell how soon a configuration of the operators takes effect.
type ConfigurationSettings struct {
	// InForceMs is the time in milliseconds after the store has accepted a configuration at which every instance follows it.
	InForceMs Number `json:"in_force_ms"`
}

// AccountSettings configure the keys of client accounts.
type AccountSettings struct {
	// StrictRevocation states that no request may run that was sent later than RevocationMs after the store accepted the
	// revocation of its key.
	StrictRevocation Flag   `json:"strict_revocation"`
	RevocationMs     Number `json:"revocation_ms"`
}

// PlatformAPISettings hold the address of the platform's API for usage reports and capacity orders, and its limits for all
// instances together. The API is not used if Addr is empty.
type PlatformAPISettings struct {
	Addr string `json:"addr" validate:"omitempty,hostname_port"`
	// CallsPerS bounds the calls of one duty.
	CallsPerS Number `json:"calls_per_s"`
	// Duties are the names of the platform's duties, separated by commas.
	Duties string `json:"duties"`
}

// UsageSettings configure the usage reports.
type UsageSettings struct {
	// WindowS is the length of a reporting window in seconds, DueS the time after its end at which its report is due.
	WindowS Number `json:"window_s"`
	DueS    Number `json:"due_s"`
	// Tolerance is the fraction by which the counts of a report may be off.
	Tolerance Number `json:"tolerance"`
}

// InstanceSettings holds the id of the instance and its location.
type InstanceSettings struct {
	ID         string `json:"id" validate:"required,max=200"`
	Region     string `json:"region" validate:"required"`
	DataCentre string `json:"data_centre" validate:"required"`
}

// ListenSettings holds the addresses, as host:port, on which the instance listens.
type ListenSettings struct {
	// Clients is the address for callers and trainers.
	Clients string `json:"clients" validate:"required,hostname_port"`
	// Ready is the address for readiness probes.
	Ready string `json:"ready" validate:"required,hostname_port"`
	// Peers is the address for the other instances.
	Peers string `json:"peers" validate:"required,hostname_port"`
	// Metrics is the address at which metrics are served; if empty, they are not served.
	Metrics string `json:"metrics" validate:"omitempty,hostname_port"`
}

// StoreSettings holds the address of the platform's store and its limits for all instances together.
type StoreSettings struct {
	Addr string `json:"addr" validate:"required,hostname_port"`
	// Partitions is the number of partitions per topic.
	Partitions int     `json:"partitions" validate:"gte=1,lte=10000"`
	WritesPerS float64 `json:"writes_per_s" validate:"gt=0"`
	ReadsPerS  float64 `json:"reads_per_s" validate:"gt=0"`
	// MaxRecordBytes and MaxCallBytes bound a record and the records of one call. changelog.DefaultLimits apply where they are missing.
	MaxRecordBytes Number `json:"max_record_bytes"`
	MaxCallBytes   Number `json:"max_call_bytes"`
}

// limits returns the limits of the store.
func (s *StoreSettings) limits() changelog.Limits {
	return changelog.Limits{RecordBytes: int(s.MaxRecordBytes.Value), CallBytes: int(s.MaxCallBytes.Value)}.OrDefault()
}

// JobSettings configure batch jobs.
type JobSettings struct {
	// RetentionS is the time in seconds, from its submission, for which a job's results can be read.
	RetentionS float64 `json:"retention_s" validate:"gt=0"`
	// SlotShare is the fraction of an engine's slots that one instance uses, 0 to 1.
	SlotShare float64 `json:"slot_share" validate:"gt=0,lte=1"`
	// SpreadEqual makes each instance prefer one of equal back ends by an order of its own, so that many that choose at the same
	// moment choose different ones. It costs connections where few instances choose (docs/design/load.md).
	SpreadEqual bool `json:"spread_equal"`
}

// LimitSettings holds the limits that the machine sets for the process.
type LimitSettings struct {
	// MemoryMB is the memory in megabytes at which the process is killed.
	MemoryMB float64 `json:"memory_mb" validate:"gt=0"`
	// MaxFDs is the number of file descriptors that the process may have; the limit of the operating system applies if it is
	// missing.
	MaxFDs Number `json:"max_fds"`
	// CPUShare is the share of a core that the process may use, Cores how many times as fast as one that core is. Instances with much
	// less than others get less of the work that any instance can do; without the values, all count as equal.
	CPUShare Number `json:"cpu_share"`
	Cores    Number `json:"cores"`
	// MaxConnsPerAddr is the number of connections that one peer address may have at the listener for clients. The bound of all
	// connections applies if it is missing: all clients may come through one load balancer.
	MaxConnsPerAddr Number `json:"max_connections_per_address"`
}

// StopSettings configure the planned stop.
type StopSettings struct {
	// GraceS is the time in seconds after SIGTERM at which the process is killed.
	GraceS float64 `json:"grace_s" validate:"gt=0"`
}

// TelemetrySettings configure the logs.
type TelemetrySettings struct {
	LogLevel telemetry.Level `json:"log_level" validate:"omitempty,oneof=debug info warn error"`
}

// DefaultLogLevel is the log level used if the settings have none.
const DefaultLogLevel telemetry.Level = "info"

// ReadError reports a settings file that cannot be read.
type ReadError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("settings file %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// LoadSettings reads and validates a settings file. It fails with *ReadError if the file cannot be
// read, and with *jsonc.Errors, which lists all mistakes, if the content is invalid.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &ReadError{Path: path, Err: err}
	}
	s := &Settings{}
	if err := jsonc.Decode(path, data, s); err != nil {
		return nil, err
	}
	if s.Telemetry.LogLevel == "" {
		s.Telemetry.LogLevel = DefaultLogLevel
	}
	return s, nil
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
