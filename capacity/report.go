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

// Report holds all measurements of a run.
type Report struct {
	Seed        uint64   `json:"seed"`
	DataCentres int      `json:"data_centres"`
	ByInstances []Sample `json:"by_instances"`
	ByBackends  []Sample `json:"by_backends"`
	Boots       []Boot   `json:"boots"`
}

// Sizes and budgets at which the figures are derived.
const (
	TargetInstances    = 330
	BudgetCore         = 0.024
	BudgetHeapMB       = 128
	BudgetBytesPerS    = 2000
	plotWidth          = 16 * vg.Centimeter
	plotHeight         = 9 * vg.Centimeter
	minimumSizes       = 3
	instancesPlotName  = "bytes-by-instances.svg"
	instancesPlotTitle = "Control traffic per node"
)

// Run carries out all measurements.
func Run(ctx context.Context, opts Options) (*Report, error) {
	if len(opts.Sizes) < minimumSizes {
		return nil, &Error{Code: TooFewSizes}
	}
	say := opts.Progress
	if say == nil {
		say = func(string) {}
	}
	report := &Report{Seed: opts.Seed, DataCentres: opts.DataCentres}
	for _, n := range opts.Sizes {
		say(fmt.Sprintf("%d instances", n))
		sample, err := measureCluster(ctx, clusterSize{instances: n, dataCentres: min(n, opts.DataCentres)}, opts)
		if err != nil {
			return report, err
		}
		report.ByInstances = append(report.ByInstances, sample)
	}
	for _, n := range opts.Backends {
		say(fmt.Sprintf("%d back ends", n))
		size := clusterSize{instances: opts.BackendInstances, dataCentres: min(opts.BackendInstances, opts.DataCentres), backends: n}
		sample, err := measureCluster(ctx, size, opts)
		if err != nil {
			return report, err
		}
		report.ByBackends = append(report.ByBackends, sample)
	}
	for _, n := range opts.LogLengths {
		say(fmt.Sprintf("boot with %d records", n))
		boots, err := measureBoot(ctx, n)
		if err != nil {
			return report, err
		}
		report.Boots = append(report.Boots, boots...)
	}
	return report, nil
}

// WriteMarkdown writes the tables of docs/CAPACITY.md.
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

// figure is one fitted quantity.
type figure struct {
	name   string
	value  func(Sample) float64
	budget float64
}

func figures() []figure {
	return []figure{
		{"core, %", func(s Sample) float64 { return 100 * s.CoreFraction }, 100 * BudgetCore},
		{"heap, MB", func(s Sample) float64 { return s.HeapMB }, BudgetHeapMB},
		{"all traffic, B/s", Sample.ControlBytesPerS, BudgetBytesPerS},
		{"log reads/s (cluster)", func(s Sample) float64 { return s.LogReadsPerS }, 0},
		{"log appends/s (cluster)", func(s Sample) float64 { return s.LogAppendsPerS }, 0},
	}
}

func writeFits(out io.Writer, unit string, samples []Sample, size func(Sample) float64, target float64) {
	fmt.Fprintf(out, "\n| per node | at 0 | slope per 100 %s | residual | at %.0f | budget |\n|---|---|---|---|---|---|\n", unit, target)
	xs := make([]float64, 0, len(samples))
	for _, s := range samples {
		xs = append(xs, size(s))
	}
	for _, f := range figures() {
		ys := make([]float64, 0, len(samples))
		for _, s := range samples {
			ys = append(ys, f.value(s))
		}
		fit := fitLine(xs, ys)
		fmt.Fprintf(out, "| %s | %.2f | %.2f | %.2f | %.2f | %s |\n", f.name, fit.Intercept, 100*fit.Slope, fit.Residual, fit.At(target), budgetText(f, fit.At(target)))
	}
}

func budgetText(f figure, value float64) string {
	switch {
	case f.budget == 0:
		return "-"
	case value > f.budget:
		return fmt.Sprintf("**%.1f: does not hold**", f.budget)
	default:
		return fmt.Sprintf("%.1f: holds", f.budget)
	}
}

// WritePlots draws the traffic per node against the number of instances into dir.
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
