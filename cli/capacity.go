package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/cicadasill/cicadasill/capacity"
)

func (a *app) capacityCommand() *cobra.Command {
	options := capacity.Options{}
	var plots, from string
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure the cost of control per node against the size of the deployment",
		Long: `Start deployments of several sizes in this process, one after the other. Measure their idle
cost, the time until a note is in force, the time until the death of an instance is detected and
the boot time, and print the tables of docs/CAPACITY.md with linear fits.`,
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			options.Progress = func(measurement string) { fmt.Fprintln(a.errOut, "measuring", measurement) }
			report, err := measureOrReadCapacity(cmd.Context(), options, from)
			if err != nil {
				return err
			}
			if plots != "" {
				if err := report.WritePlots(plots); err != nil {
					return err
				}
			}
			if a.json {
				return a.printJSON(report)
			}
			report.WriteMarkdown(a.out)
			return nil
		},
	}
	f := cmd.Flags()
	f.IntSliceVar(&options.Sizes, "sizes", []int{3, 9, 27, 81}, "numbers of instances")
	f.IntSliceVar(&options.Backends, "backends", []int{0, 12, 24, 48}, "numbers of back ends")
	f.IntVar(&options.BackendInstances, "backend-instances", 9, "number of instances in the measurements with back ends")
	f.IntSliceVar(&options.LogLengths, "log-lengths", []int{100, 1000, 5000, 20000}, "numbers of records in the control stream for the boot time")
	f.IntVar(&options.DataCentres, "data-centres", 3, "number of data centres")
	f.DurationVar(&options.SettleTime, "settle", capacity.DefaultSettleTime, "wait before each measurement")
	f.DurationVar(&options.MeasureTime, "measure", capacity.DefaultMeasureTime, "duration of each measurement")
	f.Uint64Var(&options.Seed, "seed", 1, "seed of the pauses between notes")
	f.StringVar(&from, "from", "", "file with the --json output of an earlier run to report instead of measuring")
	f.StringVar(&plots, "plots", "", "directory for plots; empty writes none")
	return cmd
}

// measureOrReadCapacity reads the report of an earlier run from the file at path from. If from is empty, it
// measures.
func measureOrReadCapacity(ctx context.Context, options capacity.Options, from string) (*capacity.Report, error) {
	if from == "" {
		return capacity.Run(ctx, options)
	}
	data, err := os.ReadFile(from)
	if err != nil {
		return nil, &FileError{Path: from, Err: err}
	}
	var report capacity.Report
	if err := json.Unmarshal(data, &report); err != nil {
		return nil, &FileError{Path: from, Err: err}
	}
	return &report, nil
}
