package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Report holds the results of all measurements of a run.
type Report struct {
	Seed        uint64   `json:"seed"`
	DataCentres int      `json:"data_centres"`
	ByInstances []Sample `json:"by_instances"`
	ByBackends  []Sample `json:"by_backends"`
	Boots       []Boot   `json:"boots"`
}

// Size for which costs are extrapolated, budgets per node that they are compared with, least number of sizes
// for a fit, and format of the plot.
const (
	TargetInstances    = 330
	BudgetCore         = 0.024
	BudgetHeapMB       = 128
	BudgetBytesPerS    = 2000
	plotWidth          = 16 * vg.Centimeter
	plotHeight         = 9 * vg.Centimeter
	minSizes           = 3
	instancesPlotName  = "bytes-by-instances.svg"
	instancesPlotTitle = "Control traffic per node"
)

// Run carries out all measurements one after the other. If one fails, Run also returns the results so
// far.
func Run(ctx context.Context, opts Options) (*Report, error) {
	if len(opts.Sizes) < minSizes {
		return nil, &Error{Code: TooFewSizes}
	}
	progress := opts.Progress
	if progress == nil {
		progress = func(string) {}
	}
	report := &Report{Seed: opts.Seed, DataCentres: opts.DataCentres}
	for _, n := range opts.Sizes {
		progress(fmt.Sprintf("%d instances", n))
		sample, err := measureCluster(ctx, clusterSize{instances: n, dataCentres: min(n, opts.DataCentres)}, opts)
		if err != nil {
			return report, err
		}
		report.ByInstances = append(report.ByInstances, sample)
	}
	for _, n := range opts.Backends {
		progress(fmt.Sprintf("%d back ends", n))
		size := clusterSize{instances: opts.BackendInstances, dataCentres: min(opts.BackendInstances, opts.DataCentres), backends: n}
		sample, err := measureCluster(ctx, size, opts)
		if err != nil {
			return report, err
		}
		report.ByBackends = append(report.ByBackends, sample)
	}
	for _, n := range opts.LogLengths {
		progress(fmt.Sprintf("boot with %d records", n))
		boots, err := measureBoot(ctx, n)
		if err != nil {
			return report, err
		}
		report.Boots = append(report.Boots, boots...)
	}
	return report, nil
}

// WriteMarkdown writes the results and their fits as the Markdown tables of docs/CAPACITY.md.
func (r *Report) WriteMarkdown(out io.Writer) {
	fmt.Fprintf(out, "### Cost per node against the number of instances (%d data centres, no load, no back ends)\n\n", r.DataCentres)
	writeSamples(out, "instances", r.ByInstances, func(s Sample) int { return s.Instances })
	writeFits(out, "instances", r.ByInstances, func(s Sample) float64 { return float64(s.Instances) }, TargetInstances)
	if len(r.ByBackends) > 0 {
		fmt.Fprintf(out, "\n### Cost per node against the number of back ends (%d instances, no load)\n\n", r.ByBackends[0].Instances)
		writeSamples(out, "back ends", r.ByBackends, func(s Sample) int { return s.Backends })
		writeFits(out, "back ends", r.ByBackends, func(s Sample) float64 { return float64(s.Backends) }, 600)
	}
	if len(r.Boots) > 0 {
		fmt.Fprint(out, "\n### Start time against the length of the control stream\n\n| records | from | ready after, s |\n|---|---|---|\n")
		for _, b := range r.Boots {
			from := "first record"
			if b.Snapshot {
				from = "snapshot and tail"
			}
			fmt.Fprintf(out, "| %d | %s | %.3f |\n", b.Records, from, b.ReadyS)
		}
	}
}

// writeSamples writes a table with one row for each sample.
func writeSamples(out io.Writer, unit string, samples []Sample, size func(Sample) int) {
	fmt.Fprintf(out, "| %s | core, %% | peers, B/s | log, B/s | list, B/s | back ends, B/s | all, B/s | heap, MB | log reads/s | log appends/s "+
		"| note in force p50, s | max, s | death known, s |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n", unit)
	for _, s := range samples {
		fmt.Fprintf(out, "| %d | %.2f | %.0f | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f | %.1f | %.3f | %.3f | %.1f |\n",
			size(s), 100*s.CoreFraction, s.BytesPerS[TargetPeers], s.BytesPerS[TargetLog], s.BytesPerS[TargetList],
			s.BytesPerS[TargetBackends], s.ControlBytesPerS(), s.HeapMB, s.LogReadsPerS, s.LogAppendsPerS,
			s.InForceP50S, s.InForceMaxS, s.DetectionS)
	}
}

// quantity is a figure of Sample that is fitted against the size; a budget of 0 means none.
type quantity struct {
	name   string
	value  func(Sample) float64
	budget float64
}

func quantities() []quantity {
	return []quantity{
		{"core, %", func(s Sample) float64 { return 100 * s.CoreFraction }, 100 * BudgetCore},
		{"heap, MB", func(s Sample) float64 { return s.HeapMB }, BudgetHeapMB},
		{"all traffic, B/s", Sample.ControlBytesPerS, BudgetBytesPerS},
		{"log reads/s (cluster)", func(s Sample) float64 { return s.LogReadsPerS }, 0},
		{"log appends/s (cluster)", func(s Sample) float64 { return s.LogAppendsPerS }, 0},
	}
}

// writeFits writes a table with the fit of each quantity, its value at target and whether that is within
// the budget.
func writeFits(out io.Writer, unit string, samples []Sample, size func(Sample) float64, target float64) {
	fmt.Fprintf(out, "\n| per node | at 0 | slope per 100 %s | residual | at %.0f | budget |\n|---|---|---|---|---|---|\n", unit, target)
	xs := make([]float64, 0, len(samples))
	for _, s := range samples {
		xs = append(xs, size(s))
	}
	for _, q := range quantities() {
		ys := make([]float64, 0, len(samples))
		for _, s := range samples {
			ys = append(ys, q.value(s))
		}
		fit := fitLine(xs, ys)
		fmt.Fprintf(out, "| %s | %.2f | %.2f | %.2f | %.2f | %s |\n", q.name, fit.Intercept, 100*fit.Slope, fit.Residual, fit.At(target), budgetText(q, fit.At(target)))
	}
}

func budgetText(q quantity, value float64) string {
	switch {
	case q.budget == 0:
		return "-"
	case value > q.budget:
		return fmt.Sprintf("**%.1f: does not hold**", q.budget)
	default:
		return fmt.Sprintf("%.1f: holds", q.budget)
	}
}

// WritePlots writes an SVG plot of the traffic per node against the number of instances into dir, which it
// creates if needed.
func (r *Report) WritePlots(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = instancesPlotTitle
	p.X.Label.Text = "instances"
	p.Y.Label.Text = "bytes per second, sent and received"
	points := make(plotter.XYs, 0, len(r.ByInstances))
	for _, s := range r.ByInstances {
		points = append(points, plotter.XY{X: float64(s.Instances), Y: s.ControlBytesPerS()})
	}
	line, scatter, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	budget := plotter.NewFunction(func(float64) float64 { return BudgetBytesPerS })
	budget.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	p.Add(line, scatter, budget, plotter.NewGrid())
	p.Legend.Add("measured", line, scatter)
	p.Legend.Add("budget", budget)
	p.Y.Min = 0
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, instancesPlotName))
}
