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

// Variant is a set of mechanisms.
type Variant struct {
	Name   string
	Adjust func(*rollout.Options)
	Terms  contract.RolloutTerms
	// Ahead is the number of steps that the trainer opens ahead of the one it waits for.
	Ahead int
	// Faults makes one engine crash and every engine swap in each step.
	Faults bool
}

// Result is what the trainer of one run saw.
type Result struct {
	Name string
	// StepTimes are over the floor of each step.
	StepTimes []float64
	// Idle and IdleFloor are the fractions of the time in which the trainer waited and had to wait.
	Idle, IdleFloor float64
	Staleness       []int64
	// Wasted are tokens by cause, Delivered those that were delivered.
	Wasted     map[string]float64
	Delivered  int
	Violations []string
}

// warmup is the number of first steps that are not counted: lengths and speeds are learned in them.
const warmup = 2

type run struct {
	w       Workload
	v       Variant
	d       *Deployment
	fleet   *enginesim.Fleet
	reg     *prometheus.Registry
	trainer *Trainer
	steps   map[int64]rollout.OpenRequest
	res     Result
	wg      conc.WaitGroup
	waited  time.Duration
	floor   time.Duration
	began   time.Time
}

// Run measures one variant over warmup+steps steps.
func (w Workload) Run(ctx context.Context, v Variant, steps int) (Result, error) {
	r := &run{w: w, v: v, fleet: w.fleet(), reg: prometheus.NewRegistry(), steps: make(map[int64]rollout.OpenRequest)}
	r.res.Name = v.Name
	r.d = New(Config{Fleet: r.fleet, Service: w.service(v.Terms), Instances: 1, PerEngine: w.Slots,
		Adjust: func(o *rollout.Options) {
			o.Registerer, o.SlotsPerSampler = r.reg, w.Slots
			o.MonitorPeriod, o.OpenGrace = 10*time.Millisecond, 5*time.Millisecond
			o.RetryPause = 10 * time.Millisecond
			o.ProgressTimeout = 500 * time.Millisecond
			if v.Adjust != nil {
				v.Adjust(o)
			}
		}})
	defer r.d.Close()
	r.d.Announce(1)
	r.trainer = &Trainer{
		Service: serviceName, Name: trainerName, Version: 1, MaxLag: v.Terms.MaxVersionLag,
		Length: func(g rollout.Group, seed int64) int { return w.length(g.Prompt, seed) },
		Do:     func(req *http.Request) (*http.Response, error) { return r.d.Do(0, req) },
	}
	defer r.wg.Wait()
	for n := range int64(warmup + steps) {
		if n == warmup {
			r.reset()
		}
		if err := r.step(ctx, n); err != nil {
			return r.res, err
		}
	}
	r.finish()
	return r.res, nil
}

// reset starts the counting.
func (r *run) reset() {
	r.began, r.waited, r.floor = time.Now(), 0, 0
	r.res.StepTimes = nil
	r.trainer.ledger = Ledger{}
	r.res.Wasted = r.wasted()
}

// step opens the steps ahead, waits for step n and trains.
func (r *run) step(ctx context.Context, n int64) error {
	for k := n; k <= n+int64(r.v.Ahead); k++ {
		if _, open := r.steps[k]; open {
			continue
		}
		r.steps[k] = r.w.step(k, r.trainer.Version)
		if err := r.trainer.Open(ctx, k, r.steps[k]); err != nil {
			return err
		}
	}
	if r.v.Faults {
		r.crash(n)
	}
	req := r.steps[n]
	r.trainer.Begin(n, req)
	began := time.Now()
	if err := r.trainer.Complete(ctx, time.Second); err != nil {
		return err
	}
	took := time.Since(began)
	floor := r.w.Floor(req)
	r.waited += took
	r.floor += max(0, floor-r.overlap())
	r.res.StepTimes = append(r.res.StepTimes, took.Seconds()/floor.Seconds())
	if err := r.trainer.Ack(ctx); err != nil {
		return err
	}
	return r.train(ctx)
}

// overlap is the part of a step's floor that passes while the trainer trains.
func (r *run) overlap() time.Duration {
	if r.v.Ahead == 0 {
		return 0
	}
	return r.w.Train
}

// train takes the training time; the new version is then announced and swapped in.
func (r *run) train(ctx context.Context) error {
	if r.w.Train == 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(r.w.Train):
	}
	r.trainer.Version++
	version := r.trainer.Version
	r.d.Announce(version)
	r.wg.Go(func() { r.swap(ctx, version) })
	return nil
}

// swap brings the engines to version, a third of them at a time.
func (r *run) swap(ctx context.Context, version int64) {
	backends := r.fleet.Backends(serviceName)
	for len(backends) > 0 {
		var wg conc.WaitGroup
		n := min(3, len(backends))
		for _, b := range backends[:n] {
			wg.Go(func() {
				// An engine that crashed meanwhile starts with the newest version.
				_ = r.fleet.Order(ctx, b.Addr, platform.Order{
					Version: version, Source: "store", Fence: 1, Deadline: time.Now().Add(time.Second),
				})
			})
		}
		wg.Wait()
		backends = backends[n:]
	}
}

// crash crashes one engine in the middle of step n and restarts it after half of the step's floor.
func (r *run) crash(n int64) {
	e := r.fleet.Engine(r.fleet.Backends(serviceName)[1+int(n)%(r.w.Engines-1)].ID)
	half := r.w.Floor(r.steps[n]) / 2
	r.wg.Go(func() {
		time.Sleep(half)
		e.Crash()
		time.Sleep(half)
		e.Restart(r.d.NewestVersion(serviceName))
	})
}

func (r *run) finish() {
	total := time.Since(r.began)
	r.res.Idle = r.waited.Seconds() / total.Seconds()
	work := total - r.waited
	r.res.IdleFloor = r.floor.Seconds() / (r.floor + work).Seconds()
	ledger := r.trainer.Ledger()
	r.res.Staleness, r.res.Violations = ledger.Staleness, ledger.Violations
	after := r.wasted()
	for cause, n := range after {
		r.res.Wasted[cause] = n - r.res.Wasted[cause]
	}
	for n := int64(warmup); n < int64(len(r.steps)-r.v.Ahead); n++ {
		r.res.Delivered += r.w.tokens(r.steps[n])
	}
}

func (w Workload) tokens(req rollout.OpenRequest) int {
	total := 0
	for _, g := range req.Groups {
		for i := range g.Samples {
			total += w.length(g.Prompt, g.Seed+int64(i))
		}
	}
	return total
}

// wasted reads the tokens wasted so far, by cause.
func (r *run) wasted() map[string]float64 {
	out := make(map[string]float64)
	families, err := r.reg.Gather()
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
