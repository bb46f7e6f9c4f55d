package cli

import (
	"fmt"
	"io"
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"github.com/cicadasill/cicadasill/gateway/measure"
	rollouts "github.com/cicadasill/cicadasill/rollout/compare"
	policies "github.com/cicadasill/cicadasill/routing/compare"
)

// Sizes of the speed measurement, which make each run take a few seconds on one core.
const (
	plainRequests  = 20_000
	streamRequests = 1_000
	speedCallers   = 32
	speedRuns      = 3

	microsecondsPerSecond = 1e6
)

// Load, as a fraction of the capacity, and number of slow engines of the policy comparison, as in
// docs/design/routing.md.
const (
	policyLoad        = 0.75
	policySlowEngines = 1
)

func (a *app) measureCommand() *cobra.Command {
	group := &cobra.Command{
		Use:   "measure",
		Short: "Measure speed, overload, routing policies and rollout mechanisms on this machine",
		Long: `Measure with stand-ins in this process. Compare times only within one run, since machines
differ; ratios hold where times do not. The design notes in docs/design report the same figures.`,
	}
	group.AddCommand(a.measureSpeedCommand(), a.measureWakeupCommand(), a.measurePoliciesCommand(), a.measureRolloutsCommand())
	return group
}

func (a *app) measureSpeedCommand() *cobra.Command {
	var chunk int
	cmd := &cobra.Command{
		Use:   "speed",
		Short: "Compare calls through the gateway with direct calls on one core",
		Args:  exactArgs(0),
		RunE: func(*cobra.Command, []string) error {
			previous := runtime.GOMAXPROCS(1)
			defer runtime.GOMAXPROCS(previous)
			return a.measureSpeed(chunk)
		},
	}
	cmd.Flags().IntVar(&chunk, "chunk", 32, "tokens in each event of a stream")
	return cmd
}

// speedRow holds the figures of one kind of request to one target in one run.
type speedRow struct {
	Run        int     `json:"run"`
	Target     string  `json:"target"`
	Kind       string  `json:"kind"`
	CPUUs      float64 `json:"cpu_us_per_request"`
	RequestsPS float64 `json:"requests_per_s"`
	TokensPS   float64 `json:"tokens_per_s,omitempty"`
	P50Us      float64 `json:"p50_us"`
	P99Us      float64 `json:"p99_us"`
}

func newSpeedRow(run int, target measure.Target, kind string, tokens int, r measure.Rates) speedRow {
	perSecond := float64(r.Requests) / r.Took.Seconds()
	return speedRow{
		Run: run, Target: string(target), Kind: kind, RequestsPS: perSecond, TokensPS: perSecond * float64(tokens),
		CPUUs: r.CPU.Seconds() * microsecondsPerSecond / float64(r.Requests),
		P50Us: r.P50.Seconds() * microsecondsPerSecond, P99Us: r.P99.Seconds() * microsecondsPerSecond,
	}
}

func (r speedRow) cells() []string {
	return []string{
		fmt.Sprint(r.Run), r.Target, r.Kind, fmt.Sprintf("%.1f", r.CPUUs), fmt.Sprintf("%.0f", r.RequestsPS),
		fmt.Sprintf("%.0f", r.TokensPS), fmt.Sprintf("%.0f", r.P50Us), fmt.Sprintf("%.0f", r.P99Us),
	}
}

// measureSpeed measures direct calls and calls through the gateway in turns and prints a row for each.
func (a *app) measureSpeed(chunk int) error {
	var rows []speedRow
	for run := range speedRuns {
		for _, target := range []measure.Target{measure.Direct, measure.Gateway} {
			chain, err := measure.NewChain(target, chunk)
			if err != nil {
				return err
			}
			measured, err := speedRows(chain, run+1, target)
			chain.Close()
			if err != nil {
				return err
			}
			rows = append(rows, measured...)
		}
	}
	cells := make([][]string, 0, len(rows))
	for _, row := range rows {
		cells = append(cells, row.cells())
	}
	header := []string{"RUN", "TARGET", "KIND", "CPU US/REQUEST", "REQUESTS/S", "TOKENS/S", "P50 US", "P99 US"}
	return a.print(rows, header, cells)
}

// speedRows measures plain and streaming requests over chain.
func speedRows(chain *measure.Chain, run int, target measure.Target) ([]speedRow, error) {
	plain, err := chain.Plain(plainRequests, speedCallers)
	if err != nil {
		return nil, err
	}
	stream, err := chain.Stream(streamRequests, speedCallers)
	if err != nil {
		return nil, err
	}
	return []speedRow{
		newSpeedRow(run, target, "plain", 0, plain),
		newSpeedRow(run, target, "stream", measure.StreamTokens, stream),
	}, nil
}

func (a *app) measureWakeupCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "wakeup",
		Short: "Measure a load spike: all callers start within one second and retry refused requests (about a minute)",
		Args:  exactArgs(0),
		RunE: func(*cobra.Command, []string) error {
			result, err := measure.RunLoadSpike(measure.DefaultLoadSpike())
			if err != nil {
				return err
			}
			if a.json {
				return a.printJSON(result)
			}
			_, err = fmt.Fprintln(a.out, result)
			return err
		},
	}
}

func (a *app) measurePoliciesCommand() *cobra.Command {
	var seeds []uint
	cmd := &cobra.Command{
		Use:   "policies",
		Short: "Compare the routing policies on the same seeds",
		Args:  exactArgs(0),
		RunE: func(*cobra.Command, []string) error {
			tableOut := a.out
			if a.json {
				tableOut = io.Discard
			}
			results, err := policies.Compare(tableOut, policies.CurrentDeployment(policyLoad, policySlowEngines), toUint64s(seeds))
			if err != nil || !a.json {
				return err
			}
			return a.printJSON(results)
		},
	}
	cmd.Flags().UintSliceVar(&seeds, "seeds", []uint{1, 2, 3}, "seeds")
	return cmd
}

func (a *app) measureRolloutsCommand() *cobra.Command {
	var (
		seeds         []uint
		unpredictable float64
		plot          string
	)
	cmd := &cobra.Command{
		Use:       "rollouts steps|faults|weights",
		Short:     "Compare rollout mechanisms without or with faults, or idle time against staleness",
		Args:      exactArgs(1),
		ValidArgs: []string{"steps", "faults", "weights"},
		RunE: func(_ *cobra.Command, args []string) error {
			switch args[0] {
			case "steps":
				return rollouts.CompareSteps(a.out, toUint64s(seeds), unpredictable)
			case "faults":
				return rollouts.CompareFaults(a.out, toUint64s(seeds))
			case "weights":
				return a.compareIdleWeights(toUint64s(seeds), plot)
			default:
				return &UsageError{Err: fmt.Errorf("unknown comparison %q: must be steps, faults or weights", args[0])}
			}
		},
	}
	cmd.Flags().UintSliceVar(&seeds, "seeds", []uint{1, 2}, "seeds")
	cmd.Flags().Float64Var(&unpredictable, "unpredictable", 0, "fraction of the long samples that cannot be predicted (steps)")
	cmd.Flags().StringVar(&plot, "plot", "", "file for an SVG plot of idle time against staleness (weights)")
	return cmd
}

// compareIdleWeights prints the table and writes the plot to path, unless that is empty.
func (a *app) compareIdleWeights(seeds []uint64, path string) error {
	if path == "" {
		return rollouts.CompareIdleWeights(a.out, io.Discard, seeds)
	}
	file, err := os.Create(path)
	if err != nil {
		return &FileError{Path: path, Err: err}
	}
	err = rollouts.CompareIdleWeights(a.out, file, seeds)
	if closeErr := file.Close(); err == nil && closeErr != nil {
		return &FileError{Path: path, Err: closeErr}
	}
	return err
}

func toUint64s(seeds []uint) []uint64 {
	out := make([]uint64, 0, len(seeds))
	for _, seed := range seeds {
		out = append(out, uint64(seed))
	}
	return out
}
