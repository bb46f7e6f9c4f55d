package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/cicadasill/cicadasill/demo"
	"github.com/cicadasill/cicadasill/telemetry"
)

// BrokenPromiseError reports the promises that the deployment broke during a demonstration.
type BrokenPromiseError struct{ Promises []demo.BrokenPromise }

// Error implements error.
func (e *BrokenPromiseError) Error() string {
	lines := make([]string, len(e.Promises))
	for i, p := range e.Promises {
		lines[i] = p.ID + ": " + p.Description
	}
	return "broken promises:\n  " + strings.Join(lines, "\n  ")
}

// demoFlags holds the flags of the demo command.
type demoFlags struct {
	options    demo.Options
	faults     []string
	listFaults bool
	logLevel   string
}

func (a *app) demoCommand() *cobra.Command {
	flags := &demoFlags{}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole deployment in one process and report which promises held",
		Long: `Run nine entry instances with their engines, plain services, trainers, staff callers and
operators in one process over loopback. The report is computed from what the stand-ins recorded.
Exit code 6 means that at least one promise was broken; stderr names each of them.`,
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error { return a.runDemo(cmd, flags) },
	}
	f := cmd.Flags()
	f.StringVar(&flags.options.Deployment, "deployment", demo.DefaultDeployment, "deployment: "+strings.Join(demo.Deployments(), " or "))
	f.DurationVar(&flags.options.Duration, "duration", demo.DefaultDuration, "time under load, for example 20s")
	f.Uint64Var(&flags.options.Seed, "seed", 1, "seed of the load and of the schedule of faults; 0 chooses a random one")
	f.Float64Var(&flags.options.Rate, "rate", 1, "factor of the ordinary request rate of staff callers")
	f.StringSliceVar(&flags.faults, "fault", nil, "faults to inject, separated by commas")
	f.BoolVar(&flags.listFaults, "list-faults", false, "list the faults and exit")
	f.StringVar(&flags.logLevel, "log-level", "", "write log lines of the instances of at least this level to stderr: debug, info, warn, error")
	return cmd
}

func (a *app) runDemo(cmd *cobra.Command, flags *demoFlags) error {
	if flags.listFaults {
		return a.printFaults()
	}
	options := flags.options
	for _, name := range flags.faults {
		options.Faults = append(options.Faults, demo.Fault(name))
	}
	if flags.logLevel != "" {
		logger, err := telemetry.NewLogger(a.errOut, telemetry.Level(flags.logLevel), "demo")
		if err != nil {
			return &UsageError{Err: err}
		}
		options.Logger = logger
	}
	// The progress display goes to stderr, so that stdout holds only the report.
	options.Out, options.Terminal = a.errOut, isTerminal(a.errOut)
	if a.json {
		options.Out, options.Terminal = io.Discard, false
	}
	report, err := demo.Run(cmd.Context(), options)
	var optionErr *demo.OptionError
	if errors.As(err, &optionErr) {
		return &UsageError{Err: err}
	}
	if err != nil {
		return err
	}
	if a.json {
		err = a.printJSON(report)
	} else {
		err = report.WriteText(a.out)
	}
	if err != nil {
		return err
	}
	if report.HasBrokenPromises() {
		return &BrokenPromiseError{Promises: report.BrokenPromises}
	}
	return nil
}

func (a *app) printFaults() error {
	if a.json {
		return a.printJSON(demo.Faults())
	}
	for _, fault := range demo.Faults() {
		if _, err := fmt.Fprintln(a.out, fault); err != nil {
			return err
		}
	}
	return nil
}

// isTerminal reports whether w is a character device, on which the progress line can be overwritten.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
