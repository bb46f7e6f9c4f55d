package telemetry

import (
	"context"
	"fmt"
	"io"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Exporter selects where finished spans are written.
type Exporter string

// Supported exporters.
const (
	ExportNone   Exporter = "none"
	ExportStdout Exporter = "stdout"
	ExportFile   Exporter = "file"
)

// TraceOptions configures the tracer provider of a process.
type TraceOptions struct {
	Exporter Exporter
	// Path is the file for ExportFile.
	Path string
	// SampleRatio is the fraction of new traces that is recorded, 0 to 1. For a trace that a caller
	// began, the caller's decision applies.
	SampleRatio float64
	// Instance and DataCentre are recorded as resource attributes.
	Instance   string
	DataCentre string
}

// TraceError reports that the trace exporter could not be set up.
type TraceError struct {
	Exporter Exporter
	Err      error
}

// Error implements error.
func (e *TraceError) Error() string {
	return fmt.Sprintf("trace exporter %q: %v", string(e.Exporter), e.Err)
}

// Unwrap returns the cause.
func (e *TraceError) Unwrap() error { return e.Err }

// Propagator returns the propagator that carries the W3C trace context between processes.
func Propagator() propagation.TextMapPropagator { return propagation.TraceContext{} }

// NewTracerProvider returns a tracer provider and a function that flushes and closes its exporter.
// With ExportNone the provider records nothing.
func NewTracerProvider(opts TraceOptions) (trace.TracerProvider, func(context.Context) error, error) {
	writer, closeWriter, err := traceWriter(opts)
	if err != nil {
		return nil, nil, err
	}
	if writer == nil {
		return noop.NewTracerProvider(), func(context.Context) error { return nil }, nil
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(writer))
	if err != nil {
		return nil, nil, &TraceError{Exporter: opts.Exporter, Err: err}
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(opts.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "cicadasilld"),
			attribute.String("service.instance.id", opts.Instance),
			attribute.String("cicadasill.data_centre", opts.DataCentre),
		)),
	)
	shutdown := func(ctx context.Context) error {
		shutdownErr := provider.Shutdown(ctx)
		if err := closeWriter(); err != nil {
			return &TraceError{Exporter: opts.Exporter, Err: err}
		}
		return shutdownErr
	}
	return provider, shutdown, nil
}

// traceWriter returns the writer that opts selects, nil for none, and a function that closes it.
func traceWriter(opts TraceOptions) (io.Writer, func() error, error) {
	noClose := func() error { return nil }
	switch opts.Exporter {
	case ExportNone, "":
		return nil, noClose, nil
	case ExportStdout:
		return os.Stdout, noClose, nil
	case ExportFile:
		file, err := os.OpenFile(opts.Path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, nil, &TraceError{Exporter: opts.Exporter, Err: err}
		}
		return file, file.Close, nil
	default:
		return nil, nil, &TraceError{Exporter: opts.Exporter, Err: os.ErrInvalid}
	}
}
