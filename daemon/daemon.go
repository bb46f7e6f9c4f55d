// Package daemon runs an entry instance as a process. It reads the settings, sets up logs, metrics and
// traces, translates signals into the planned stop and errors into exit codes.
package daemon

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/samber/oops"
	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"
	"go.opentelemetry.io/otel"

	"github.com/cicadasill/cicadasill/entry"
	"github.com/cicadasill/cicadasill/instance"
	"github.com/cicadasill/cicadasill/jsonc"
	"github.com/cicadasill/cicadasill/settings"
	"github.com/cicadasill/cicadasill/telemetry"
)

// Exit codes of the process.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 3
)

// Main runs the daemon with the given command-line arguments and returns its exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	logger, err := telemetry.NewLogger(errOut, settings.DefaultLogLevel, "")
	if err != nil {
		logger = telemetry.Discard()
	}
	command := newCommand()
	command.SetArgs(args)
	command.SetOut(out)
	command.SetErr(errOut)
	err = command.ExecuteContext(ctx)
	return report(logger, err)
}

// newCommand returns the root command, which runs an instance with the settings of package settings.
func newCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "cicadasilld",
		Short: "Run one entry instance",
		Long: `Run one entry instance until SIGTERM or SIGINT, which start the planned stop: readiness
falls, requests in flight are finished, then the process ends. A second signal ends it at once.

Exit codes: 0 planned stop completed, 1 failure, 3 settings cannot be read or are wrong.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			return Run(cmd.Context(), s, cmd.ErrOrStderr())
		},
	}
	command.Flags().StringVar(&path, "settings", "", "path of the settings file, JSON with comments")
	// MarkFlagRequired fails only for a flag that does not exist.
	_ = command.MarkFlagRequired("settings")
	command.AddCommand(newHostedCommand())
	return command
}

// hostedSettingsVariable names the environment variable that holds the path of the settings file on
// the users' platform.
const hostedSettingsVariable = "CICADASILL_CONFIG"

// newHostedCommand returns the command that runs an instance on the users' platform.
func newHostedCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "hosted",
		Short: "Run one entry instance on the users' platform",
		Long: `Run one entry instance on the users' platform until SIGTERM, which starts the planned stop.
The settings file is the one named by --settings or by the variable ` + hostedSettingsVariable + `.

Exit codes: 0 planned stop completed, 1 failure, 3 settings cannot be read or are wrong.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return instance.Daemon(cmd.Context(), path, cmd.OutOrStdout())
		},
	}
	command.Flags().StringVar(&path, "settings", os.Getenv(hostedSettingsVariable), "path of the settings file, JSON with comments")
	return command
}

// report logs err, with one line for each wrong setting, and returns the exit code.
func report(logger *log.Logger, err error) int {
	var (
		mistakes          *jsonc.Errors
		settingsErr       *settings.ReadError
		hostedSettingsErr *instance.ReadError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &mistakes):
		for _, m := range mistakes.Mistakes {
			logger.Error("invalid setting", "file", m.File, "line", m.Line, "field", m.Field, "problem", m.Message)
		}
		return ExitSettings
	case errors.As(err, &settingsErr), errors.As(err, &hostedSettingsErr):
		logger.Error("settings cannot be read", "err", err)
		return ExitSettings
	default:
		logger.Error("process failed", append([]any{"err", err}, contextOf(err)...)...)
		return ExitFailure
	}
}

// contextOf returns the key-value pairs that were attached to err when it was wrapped, as log
// arguments.
func contextOf(err error) []any {
	var pairs []any
	if detailed, ok := oops.AsOops(err); ok {
		for key, value := range detailed.Context() {
			pairs = append(pairs, key, value)
		}
	}
	return pairs
}

// Run runs the instance that s configures until ctx ends, the planned stop that a signal started has
// completed, or the instance fails. It writes log lines to logTo.
func Run(ctx context.Context, s *settings.Settings, logTo io.Writer) error {
	errBuilder := oops.In("daemon").With("instance", s.Instance.ID, "data_centre", s.Instance.DataCentre)
	logger, err := telemetry.NewLogger(logTo, s.Telemetry.LogLevel, s.Instance.ID)
	if err != nil {
		return errBuilder.Wrapf(err, "create logger")
	}
	provider, flush, err := telemetry.NewTracerProvider(telemetry.TraceOptions{
		Exporter: s.Telemetry.Traces.Exporter, Path: s.Telemetry.Traces.Path,
		SampleRatio: s.Telemetry.Traces.SampleRatio,
		Instance:    s.Instance.ID, DataCentre: s.Instance.DataCentre,
	})
	if err != nil {
		return errBuilder.Wrapf(err, "create tracer provider")
	}
	otel.SetTracerProvider(provider)
	otel.SetTextMapPropagator(telemetry.Propagator())
	config := entry.ConfigOf(s, logger)
	config.Registry = newRegistry()
	config.MemoryBytes = limitMemory(s.Limits.MemoryMB, logger)
	inst, err := entry.New(config)
	if err != nil {
		return errBuilder.Wrapf(err, "create instance")
	}
	runErr := runWithSignals(ctx, inst, logger)
	if err := flush(context.WithoutCancel(ctx)); err != nil {
		logger.Warn("spans not flushed", "err", err)
	}
	return errBuilder.Wrapf(runErr, "run instance")
}

// newRegistry returns a registry with the metrics of the Go runtime and the process.
func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// runWithSignals runs the instance until it ends. The first signal starts the planned stop, the second
// ends the instance at once.
func runWithSignals(ctx context.Context, inst *entry.Instance, logger *log.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	var group conc.WaitGroup
	group.Go(func() {
		select {
		case <-ctx.Done():
			return
		case sig := <-signals:
			logger.Info("planned stop requested", "signal", sig.String())
		}
		group.Go(func() {
			if err := inst.Stop(ctx); err != nil && ctx.Err() == nil {
				logger.Error("planned stop incomplete", "err", err)
			}
		})
		select {
		case <-ctx.Done():
		case sig := <-signals:
			logger.Warn("stopping without drain", "signal", sig.String())
			cancel()
		}
	})
	err := inst.Run(ctx)
	cancel()
	group.Wait()
	return err
}
