package compare

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/rollout"
	"github.com/cicadasill/cicadasill/rollout/enginesim"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// Variant is a configuration of the rollout mechanisms to measure.
type Variant struct {
	Name   string
	Adjust func(*rollout.Options)
	Terms  contract.RolloutTerms
	// StepsAhead is the number of steps that the trainer opens beyond the one it waits for.
	StepsAhead int
	// InjectFaults makes one engine crash in each step.
	InjectFaults bool
}

// Result holds the figures of one run, or the means of several runs of one variant.
type Result struct {
	Name string
	// StepTimeRatios are the measured times of the steps, each divided by the step's floor.
	StepTimeRatios []float64
	// IdleFraction is the fraction of the run for which the trainer waited for samples,
	// IdleFloorFraction the fraction for which it would have waited if each step took its floor.
	IdleFraction, IdleFloorFraction float64
	Staleness                       []int64
	// WastedTokens are the wasted tokens by cause, DeliveredTokens the tokens of the delivered samples.
	WastedTokens    map[string]float64
	DeliveredTokens int
	Violations      []string
}

// warmupSteps is the number of first steps that are not measured, since the server learns the lengths of
// samples and the speeds of engines in them.
const warmupSteps = 2

type run struct {
	workload     Workload
	variant      Variant
	deployment   *Deployment
	fleet        *enginesim.Fleet
	registry     *prometheus.Registry
	trainer      *Trainer
	opened       map[int64]rollout.OpenRequest
	result       Result
	wg           conc.WaitGroup
	waitTime     time.Duration
	minWaitTime  time.Duration
	measuredFrom time.Time
}

// Run runs the workload with variant v for warmupSteps steps, which are not measured, and then for the given
// number of measured steps.
func (w Workload) Run(ctx context.Context, v Variant, steps int) (Result, error) {
	r := &run{workload: w, variant: v, fleet: w.newFleet(), registry: prometheus.NewRegistry(), opened: make(map[int64]rollout.OpenRequest)}
	r.result.Name = v.Name
	r.deployment = New(Config{Fleet: r.fleet, Service: w.newService(v.Terms), Instances: 1, MaxPerEngine: w.Slots,
		Adjust: func(o *rollout.Options) {
			o.Registerer, o.SlotsPerSampler = r.registry, w.Slots
			o.MonitorInterval, o.OpenGrace = 10*time.Millisecond, 5*time.Millisecond
			o.MinRetryBackoff = 10 * time.Millisecond
			o.EventTimeout = 500 * time.Millisecond
			if v.Adjust != nil {
				v.Adjust(o)
			}
		}})
	defer r.deployment.Close()
	r.deployment.Announce(1)
	r.trainer = &Trainer{
		Service: serviceName, Name: trainerName, Version: 1, MaxLag: v.Terms.MaxVersionLag,
		Length: func(g rollout.Group, seed int64) int { return w.sampleLength(g.Prompt, seed) },
		Do:     func(req *http.Request) (*http.Response, error) { return r.deployment.Do(0, req) },
	}
	defer r.wg.Wait()
	for n := range int64(warmupSteps + steps) {
		if n == warmupSteps {
			r.startMeasuring()
		}
		if err := r.runStep(ctx, n); err != nil {
			return r.result, err
		}
	}
	r.computeResult()
	return r.result, nil
}

// startMeasuring discards the figures of the warm-up. Wasted tokens are kept as the base to subtract.
func (r *run) startMeasuring() {
	r.measuredFrom, r.waitTime, r.minWaitTime = time.Now(), 0, 0
	r.result.StepTimeRatios = nil
	r.trainer.ledger = Ledger{}
	r.result.WastedTokens = r.wastedTokens()
}

// runStep opens step n and the steps ahead of it, waits until step n is complete and trains on it.
func (r *run) runStep(ctx context.Context, n int64) error {
	for k := n; k <= n+int64(r.variant.StepsAhead); k++ {
		if _, open := r.opened[k]; open {
			continue
		}
		r.opened[k] = r.workload.openRequest(k, r.trainer.Version)
		if err := r.trainer.Open(ctx, k, r.opened[k]); err != nil {
			return err
		}
	}
	if r.variant.InjectFaults {
		r.crashEngine(n)
	}
	req := r.opened[n]
	r.trainer.SetStep(n, req)
	began := time.Now()
	if err := r.trainer.Complete(ctx, time.Second); err != nil {
		return err
	}
	stepTime := time.Since(began)
	floor := r.workload.Floor(req)
	r.waitTime += stepTime
	r.minWaitTime += max(0, floor-r.floorOverlap())
	r.result.StepTimeRatios = append(r.result.StepTimeRatios, stepTime.Seconds()/floor.Seconds())
	if err := r.trainer.Ack(ctx); err != nil {
		return err
	}
	return r.train(ctx)
}

// floorOverlap returns the part of a step's floor that passes while the trainer trains on an earlier step.
func (r *run) floorOverlap() time.Duration {
	if r.variant.StepsAhead == 0 {
		return 0
	}
	return r.workload.TrainTime
}

// train waits for the training time, announces a new version and starts the swap of the engines to it.
func (r *run) train(ctx context.Context) error {
	if r.workload.TrainTime == 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(r.workload.TrainTime):
	}
	r.trainer.Version++
	version := r.trainer.Version
	r.deployment.Announce(version)
	r.wg.Go(func() { r.swapEngines(ctx, version) })
	return nil
}

// swapEngines swaps the engines to version, three at a time, which is a third of the default workload's.
func (r *run) swapEngines(ctx context.Context, version int64) {
	backends := r.fleet.Backends(serviceName)
	for len(backends) > 0 {
		var wg conc.WaitGroup
		n := min(3, len(backends))
		for _, b := range backends[:n] {
			wg.Go(func() {
				// The error is ignored: an engine that crashes meanwhile restarts with the newest version.
				_ = r.fleet.Order(ctx, b.Addr, platform.Order{
					Version: version, Source: "store", Fence: 1, Deadline: time.Now().Add(time.Second),
				})
			})
		}
		wg.Wait()
		backends = backends[n:]
	}
}

// crashEngine crashes one engine half of the floor of step n after its start and restarts it after the
// other half. Consecutive steps crash different engines, none of them the slow one.
func (r *run) crashEngine(n int64) {
	e := r.fleet.Engine(r.fleet.Backends(serviceName)[1+int(n)%(r.workload.Engines-1)].ID)
	half := r.workload.Floor(r.opened[n]) / 2
	r.wg.Go(func() {
		time.Sleep(half)
		e.Crash()
		time.Sleep(half)
		e.Restart(r.deployment.NewestVersion(serviceName))
	})
}

// computeResult computes the figures of the measured steps.
func (r *run) computeResult() {
	total := time.Since(r.measuredFrom)
	r.result.IdleFraction = r.waitTime.Seconds() / total.Seconds()
	trainTime := total - r.waitTime
	r.result.IdleFloorFraction = r.minWaitTime.Seconds() / (r.minWaitTime + trainTime).Seconds()
	ledger := r.trainer.Ledger()
	r.result.Staleness, r.result.Violations = ledger.Staleness, ledger.Violations
	after := r.wastedTokens()
	for cause, n := range after {
		r.result.WastedTokens[cause] = n - r.result.WastedTokens[cause]
	}
	for n := int64(warmupSteps); n < int64(len(r.opened)-r.variant.StepsAhead); n++ {
		r.result.DeliveredTokens += r.workload.totalTokens(r.opened[n])
	}
}

// totalTokens returns the number of tokens of all samples of a step.
func (w Workload) totalTokens(req rollout.OpenRequest) int {
	total := 0
	for _, g := range req.Groups {
		for i := range g.Samples {
			total += w.sampleLength(g.Prompt, g.Seed+int64(i))
		}
	}
	return total
}

// wastedTokens returns the number of wasted tokens so far by cause, read from the server's metrics.
func (r *run) wastedTokens() map[string]float64 {
	out := make(map[string]float64)
	families, err := r.registry.Gather()
	if err != nil {
		return out
	}
	for _, f := range families {
		if f.GetName() != "cicadasill_rollout_wasted_tokens_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetName() == "cause" {
					out[l.GetValue()] += m.GetCounter().GetValue()
				}
			}
		}
	}
	return out
}
