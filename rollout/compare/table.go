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

// stepsPerRun is the number of measured steps of each run.
const stepsPerRun = 4

// runTimeout bounds one run.
const runTimeout = 3 * time.Minute

var errLedgerViolation = errors.New("run broke a guarantee")

// MechanismVariants returns the variants that compare the mechanisms: each adds one mechanism to those of
// the variant before it.
func MechanismVariants() []Variant {
	terms := contract.RolloutTerms{MaxVersionLag: 1, IdleWeight: 1}
	disableAll := func(o *rollout.Options) {
		o.FirstComeFirstServed, o.NoHedging, o.NoMoves, o.NoEarlyStop = true, true, true, true
	}
	return []Variant{
		{Name: "first come, first served", Terms: terms, Adjust: disableAll},
		{Name: "+ long groups first", Terms: terms, Adjust: func(o *rollout.Options) { disableAll(o); o.FirstComeFirstServed = false }},
		{Name: "+ hedging", Terms: terms, Adjust: func(o *rollout.Options) { o.NoMoves, o.NoEarlyStop = true, true }},
		{Name: "+ move by resume", Terms: terms, Adjust: func(o *rollout.Options) { o.NoEarlyStop = true }},
		{Name: "+ early stop (the default)", Terms: terms},
		{Name: "+ parking (off by default)", Terms: terms, Adjust: func(o *rollout.Options) { o.Parking = true }},
	}
}

// IdleWeightVariants returns the variants of the trade-off between idle time and staleness, by idle_weight.
func IdleWeightVariants() []Variant {
	var out []Variant
	for _, weight := range []float64{0, 0.25, 0.5, 0.75, 1} {
		out = append(out, Variant{
			Name: fmt.Sprintf("idle_weight %.2f", weight), StepsAhead: 4,
			Terms: contract.RolloutTerms{MaxVersionLag: 4, IdleWeight: weight},
		})
	}
	return out
}

// CompareSteps writes a table of the step times of every mechanism on the same seeds. The fraction
// unpredictable of the long samples cannot be predicted.
func CompareSteps(out io.Writer, seeds []uint64, unpredictable float64) error {
	results, err := runAll(seeds, func(w *Workload) { w.UnpredictableFraction = unpredictable }, MechanismVariants())
	if err != nil {
		return err
	}
	return writeTable(out, seeds, results)
}

// CompareFaults writes a table of every mechanism on the same seeds, with an engine crash and a weight swap
// in each step.
func CompareFaults(out io.Writer, seeds []uint64) error {
	variants := MechanismVariants()
	for i := range variants {
		variants[i].InjectFaults, variants[i].StepsAhead = true, 1
	}
	results, err := runAll(seeds, func(w *Workload) { w.TrainTime = time.Second }, variants)
	if err != nil {
		return err
	}
	return writeTable(out, seeds, results)
}

// CompareIdleWeights writes the trade-off between idle time and staleness as a table and a plot.
func CompareIdleWeights(out, plot io.Writer, seeds []uint64) error {
	// These runs have half the samples of the other tables. Training then takes longer than generation,
	// so steps opened ahead complete early and their samples age.
	results, err := runAll(seeds, func(w *Workload) { w.TrainTime, w.Groups = 1500*time.Millisecond, 64 }, IdleWeightVariants())
	if err != nil {
		return err
	}
	if err := writeTable(out, seeds, results); err != nil {
		return err
	}
	return writePlot(plot, results)
}

// runAll runs every variant with every seed and returns the mean result of each variant. It fails if a run
// broke a guarantee.
func runAll(seeds []uint64, configure func(*Workload), variants []Variant) ([]Result, error) {
	var results []Result
	for _, v := range variants {
		mean := Result{Name: v.Name, WastedTokens: make(map[string]float64)}
		for _, seed := range seeds {
			w := DefaultWorkload(seed)
			configure(&w)
			ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
			r, err := w.Run(ctx, v, stepsPerRun)
			cancel()
			if err != nil {
				return nil, err
			}
			if len(r.Violations) > 0 {
				return nil, fmt.Errorf("%w: %s, seed %d: %s", errLedgerViolation, v.Name, seed, r.Violations[0])
			}
			mean.addMean(r, len(seeds))
		}
		results = append(results, mean)
	}
	return results, nil
}

// addMean adds the result o of one of n runs to r: step times and ages are collected, fractions are averaged
// and tokens are summed.
func (r *Result) addMean(o Result, n int) {
	r.StepTimeRatios = append(r.StepTimeRatios, o.StepTimeRatios...)
	r.Staleness = append(r.Staleness, o.Staleness...)
	r.IdleFraction += o.IdleFraction / float64(n)
	r.IdleFloorFraction += o.IdleFloorFraction / float64(n)
	r.DeliveredTokens += o.DeliveredTokens
	for cause, tokens := range o.WastedTokens {
		r.WastedTokens[cause] += tokens
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
		fmt.Fprintf(&b, "| %s | %.3f | %.3f | %.1f%% | %.1f%% | %.2f | %d | %d |", r.Name, mean(r.StepTimeRatios), slices.Max(r.StepTimeRatios),
			100*r.IdleFraction, 100*r.IdleFloorFraction, r.meanStaleness(), quantile(r.Staleness, 0.5), quantile(r.Staleness, 0.99))
		for _, c := range wasteColumns {
			fmt.Fprintf(&b, " %.2f%% |", 100*r.WastedTokens[string(c)]/float64(r.DeliveredTokens))
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
