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
		Short: "Measure what control costs per node as the deployment grows",
		Long: `Start deployments of several sizes in this process, one after the other, measure their idle
cost, the spread of notes, the detection of a death and the start time, and print the tables of
docs/CAPACITY.md with their fits.`,
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			options.Progress = func(what string) { fmt.Fprintln(a.errOut, "measuring", what) }
			report, err := capacityReport(cmd.Context(), options, from)
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
	f.IntVar(&options.BackendInstances, "backend-instances", 9, "number of instances while the back ends are varied")
	f.IntSliceVar(&options.LogLengths, "log-lengths", []int{100, 1000, 5000, 20000}, "numbers of records in the control stream")
	f.IntVar(&options.DataCentres, "data-centres", 3, "number of data centres")
	f.DurationVar(&options.SettleTime, "settle", capacity.DefaultSettleTime, "time before each measurement")
	f.DurationVar(&options.MeasureTime, "measure", capacity.DefaultMeasureTime, "length of each measurement")
	f.Uint64Var(&options.Seed, "seed", 1, "seed of the pauses between notes")
	f.StringVar(&from, "from", "", "take the figures from the --json output of an earlier run instead of measuring")
	f.StringVar(&plots, "plots", "", "directory for plots; empty draws none")
	return cmd
}

// capacityReport measures, or reads the report of an earlier run.
func capacityReport(ctx context.Context, options capacity.Options, from string) (*capacity.Report, error) {
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
