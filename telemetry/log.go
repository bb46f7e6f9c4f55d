// Package telemetry creates the loggers and tracer providers of a process from its settings.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// Level names a log level in settings.
type Level string

// LevelError reports an unknown log level.
type LevelError struct{ Level Level }

// Error implements error.
func (e *LevelError) Error() string { return fmt.Sprintf("unknown log level %q", string(e.Level)) }

// NewLogger returns a logger that writes one logfmt line for each event to w. Unless the instance id is
// empty, every line has it under the key "instance".
func NewLogger(w io.Writer, level Level, instance string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(string(level))
	if err != nil {
		return nil, &LevelError{Level: level}
	}
	logger := log.NewWithOptions(w, log.Options{
		Level:           parsed,
		Formatter:       log.LogfmtFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		TimeFunction:    log.NowUTC,
	})
	if instance == "" {
		return logger, nil
	}
	return logger.With("instance", instance), nil
}

// Discard returns a logger that writes nothing.
func Discard() *log.Logger {
	return log.NewWithOptions(io.Discard, log.Options{Level: log.FatalLevel})
}
