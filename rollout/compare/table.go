package compare

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/rollout"
)

// stepsPerRun is the number of counted steps of each run and seed.
const stepsPerRun = 4

// runTimeout bounds one run.
const runTimeout = 3 * time.Minute

var errViolation = errors.New("the trainer's ledger shows a violation")

// Mechanisms are the variants of the first table: each adds one mechanism to those above it.
func Mechanisms() []Variant {
	terms := contract.RolloutTerms{MaxVersionLag: 1, IdleWeight: 1}
	off := func(o *rollout.Options) {
		o.FirstComeFirstServed, o.NoHedging, o.NoMoves, o.NoEarlyStop = true, true, true, true
	}
	return []Variant{
		{Name: "first come, first served", Terms: terms, Adjust: off},
		{Name: "+ long groups first", Terms: terms, Adjust: func(o *rollout.Options) { off(o); o.FirstComeFirstServed = false }},
		{Name: "+ hedging", Terms: terms, Adjust: func(o *rollout.Options) { o.NoMoves, o.NoEarlyStop = true, true }},
		{Name: "+ move by resume", Terms: terms, Adjust: func(o *rollout.Options) { o.NoEarlyStop = true }},
		{Name: "+ early stop (the default)", Terms: terms},
		{Name: "+ parking (off by default)", Terms: terms, Adjust: func(o *rollout.Options) { o.Parking = true }},
	}
}

// Weights are the variants of the trade-off curve.
func Weights() []Variant {
	var out []Variant
	for _, weight := range []float64{0, 0.25, 0.5, 0.75, 1} {
		out = append(out, Variant{
			Name: fmt.Sprintf("idle_weight %.2f", weight), Ahead: 4,
			Terms: contract.RolloutTerms{MaxVersionLag: 4, IdleWeight: weight},
		})
	}
	return out
}

// CompareSteps writes the step times of every mechanism on the same seeds. The part random of the
// long samples cannot be predicted.
func CompareSteps(out io.Writer, seeds []uint64, random float64) error {
	results, err := runAll(seeds, func(w *Workload) { w.LongRandom = random }, Mechanisms())
	if err != nil {
		return err
	}
	return writeTable(out, seeds, results)
}

// CompareFaults writes the idle time with an engine crash and a swap in each step.
func CompareFaults(out io.Writer, seeds []uint64) error {
	variants := Mechanisms()
	for i := range variants {
		variants[i].Faults, variants[i].Ahead = true, 1
	}
	results, err := runAll(seeds, func(w *Workload) { w.Train = time.Second }, variants)
	if err != nil {
		return err
	}
	return writeTable(out, seeds, results)
}

// CompareWeights writes the trade-off between idle time and staleness as a table and a plot.
func CompareWeights(out, plot io.Writer, seeds []uint64) error {
	// Half the samples of the other tables: training is the longer part, so steps opened ahead finish
	// early and age.
	results, err := runAll(seeds, func(w *Workload) { w.Train, w.Groups = 1500*time.Millisecond, 64 }, Weights())
	if err != nil {
		return err
	}
	if err := writeTable(out, seeds, results); err != nil {
		return err
	}
	return writePlot(plot, results)
}

func runAll(seeds []uint64, adjust func(*Workload), variants []Variant) ([]Result, error) {
	var results []Result
	for _, v := range variants {
		sum := Result{Name: v.Name, Wasted: make(map[string]float64)}
		for _, seed := range seeds {
			w := Today(seed)
			adjust(&w)
			ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
			r, err := w.Run(ctx, v, stepsPerRun)
			cancel()
			if err != nil {
				return nil, err
			}
			if len(r.Violations) > 0 {
				return nil, fmt.Errorf("%w: %s, seed %d: %s", errViolation, v.Name, seed, r.Violations[0])
			}
			sum.add(r, len(seeds))
		}
		results = append(results, sum)
	}
	return results, nil
}

// add merges a run of n into the mean.
func (r *Result) add(o Result, n int) {
	r.StepTimes = append(r.StepTimes, o.StepTimes...)
	r.Staleness = append(r.Staleness, o.Staleness...)
	r.Idle += o.Idle / float64(n)
	r.IdleFloor += o.IdleFloor / float64(n)
	r.Delivered += o.Delivered
	for cause, tokens := range o.Wasted {
		r.Wasted[cause] += tokens
	}
}

var wasteColumns = []rollout.WasteCause{
	rollout.WasteHedgeLoser, rollout.WasteTooOld, rollout.WasteRestart, rollout.WasteDuplicate,
}

func writeTable(out io.Writer, seeds []uint64, results []Result) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Seeds %v, %d steps each. Wasted tokens in %% of the delivered ones.\n\n", seeds, stepsPerRun)
	b.WriteString("| variant | step/floor mean | max | idle | idle floor | staleness mean | p50 | p99 |")
	for _, c := range wasteColumns {
		fmt.Fprintf(&b, " %s |", c)
	}
	b.WriteString("\n|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %s | %.3f | %.3f | %.1f%% | %.1f%% | %.2f | %d | %d |", r.Name, mean(r.StepTimes), slices.Max(r.StepTimes),
			100*r.Idle, 100*r.IdleFloor, r.meanStaleness(), quantile(r.Staleness, 0.5), quantile(r.Staleness, 0.99))
		for _, c := range wasteColumns {
			fmt.Fprintf(&b, " %.2f%% |", 100*r.Wasted[string(c)]/float64(r.Delivered))
		}
		b.WriteString("\n")
	}
	_, err := io.WriteString(out, b.String())
	return err
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

func (r *Result) meanStaleness() float64 {
	sum := int64(0)
	for _, x := range r.Staleness {
		sum += x
	}
	return float64(sum) / float64(len(r.Staleness))
}

func quantile(list []int64, q float64) int64 {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
