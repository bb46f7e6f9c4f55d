package instance

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/telemetry"
)

// Daemon runs an instance with the settings file at path until SIGTERM or SIGINT, which start a planned
// stop. SIGHUP only checks the settings file: changed settings apply after a restart.
func Daemon(ctx context.Context, path string, out io.Writer) error {
	settings, err := LoadSettings(path)
	if err != nil {
		return err
	}
	logWriter := telemetry.NewBoundedWriter(out)
	defer logWriter.Close()
	logger, err := telemetry.NewLogger(logWriter, settings.Telemetry.LogLevel, settings.Instance.ID)
	if err != nil {
		return err
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cicadasill_log_lines_dropped_total", Help: "Log lines dropped because the log's reader was too slow.",
		}, func() float64 { return float64(logWriter.Dropped()) }),
	)
	i := New(settings, logger, registry)
	if err := i.Listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks conc.WaitGroup
	tasks.Go(func() { handleSignals(ctx, cancel, i, path, logger) })
	err = i.Run(ctx)
	cancel()
	tasks.Wait()
	return err
}

// handleSignals performs a planned stop on SIGTERM or SIGINT and checks the settings file on SIGHUP.
func handleSignals(ctx context.Context, cancel context.CancelFunc, i *Instance, path string, logger *log.Logger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				checkSettings(path, logger)
				continue
			}
			logger.Info("planned stop", "signal", sig.String())
			i.Stop(ctx)
			cancel()
			return
		}
	}
}

// checkSettings loads the settings file at path and logs whether it is valid.
func checkSettings(path string, logger *log.Logger) {
	if _, err := LoadSettings(path); err != nil {
		logger.Error("settings file is invalid; the current settings stay in force", "err", err)
		return
	}
	logger.Info("settings file is valid; changed settings apply after a restart")
}
