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

// Daemon runs an instance with the settings at path until SIGTERM or SIGINT. SIGHUP checks the
// settings again; addresses and limits change with a restart.
func Daemon(ctx context.Context, path string, out io.Writer) error {
	settings, err := LoadSettings(path)
	if err != nil {
		return err
	}
	lines := telemetry.NewBoundedWriter(out)
	defer lines.Close()
	logger, err := telemetry.NewLogger(lines, settings.Telemetry.LogLevel, settings.Instance.ID)
	if err != nil {
		return err
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cicadasill_log_lines_dropped_total", Help: "Log lines dropped because the reader was slow.",
		}, func() float64 { return float64(lines.Dropped()) }),
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

// handleSignals stops the instance on SIGTERM or SIGINT and reads the settings on SIGHUP.
func handleSignals(ctx context.Context, end context.CancelFunc, i *Instance, path string, logger *log.Logger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				reload(path, logger)
				continue
			}
			logger.Info("planned stop", "signal", sig.String())
			i.Stop(ctx)
			end()
			return
		}
	}
}

func reload(path string, logger *log.Logger) {
	if _, err := LoadSettings(path); err != nil {
		logger.Error("changed settings are wrong; the old ones stay in force", "err", err)
		return
	}
	logger.Info("settings checked; they apply from the next start")
}
