package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/standin/callers"
	"github.com/cicadasill/cicadasill/standin/engine"
	"github.com/cicadasill/cicadasill/standin/trainer"
	"github.com/cicadasill/cicadasill/timing"
)

// settleTime is the time after the load in which back ends finish what they run.
const settleTime = 500 * time.Millisecond

// run is one run of a deployment.
type run struct {
	opts      Options
	d         deployment
	net       *network
	st        *stands
	cluster   *cluster
	operators *operators
	faults    *schedule
	weights   *weightsWatch
	trainer   *trainer.Trainer
	groups    []*callers.Callers
	names     []string
	began     time.Time
	loaded    time.Duration // length of the load, with the wait for its last outcomes
	control   Control
	lag       *timing.LagMeter
}

// Run runs a deployment and returns what its callers, trainers and operators saw. An error
// means that the deployment did not come up or that an option is wrong; broken promises are in
// the report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	opts, err := opts.check()
	if err != nil {
		return nil, err
	}
	r := &run{opts: opts, d: deploymentOf(opts.Deployment), net: newNetwork(), lag: timing.NewLagMeter()}
	fmt.Fprintf(opts.Out, "deployment %s, seed %d, %s\n", opts.Deployment, opts.Seed, opts.Duration)
	if r.st, err = startStands(r.d, r.net); err != nil {
		r.st.close()
		return nil, &StartError{What: "stand-ins", Err: err}
	}
	defer r.st.close()
	baseline := cpuFraction(ctx, idleBaseline)
	r.cluster = newCluster(opts, r.d, r.st, r.net)
	return r.withCluster(ctx, baseline)
}

func (r *run) withCluster(ctx context.Context, baseline float64) (*Report, error) {
	defer r.cluster.stop(context.WithoutCancel(ctx))
	if err := r.cluster.boot(ctx); err != nil {
		return nil, err
	}
	r.faults = &schedule{r: r, log: r.opts.Logger}
	r.operators = newOperators(r.cluster, r.faults.delayed)
	if err := r.operators.found(ctx); err != nil {
		return nil, err
	}
	m := r.cluster.pickMember(rand.New(rand.NewPCG(r.opts.Seed, 50)), nil)
	if m == nil {
		return nil, &StartError{What: "instances", Err: fmt.Errorf("none is ready")}
	}
	if err := r.cluster.api.announce(ctx, m.self.HTTPAddr, r.d.trained, r.d.trainer, startVersion); err != nil {
		return nil, &StartError{What: "first version", Err: err}
	}
	r.control = r.measureIdle(ctx, baseline)
	r.load(ctx)
	r.loaded = time.Since(r.began)
	timing.Sleep(ctx, settleTime)
	return r.report(), nil
}

// load runs callers, trainer, operators and faults for the duration.
func (r *run) load(ctx context.Context) {
	r.weights = newWeightsWatch(r)
	r.trainer = trainer.New(r.trainerOptions())
	r.addGroups()
	r.began = time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.opts.Duration)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.lag.Run(ctx) })
	for _, g := range r.groups {
		wg.Go(func() { g.Run(ctx) })
	}
	wg.Go(func() { r.trainer.Run(ctx) })
	wg.Go(func() { r.operators.run(ctx) })
	wg.Go(func() { r.weights.run(ctx) })
	wg.Go(func() { r.faults.run(ctx) })
	wg.Go(func() { r.display(ctx) })
}

func (r *run) trainerOptions() trainer.Options {
	engines := r.st.engines[r.d.trained]
	capacity := trainer.Capacity{
		Engines: len(engines), MaxBatch: engine.DefaultMaxBatch, Rate: engines[0].Options().Rate,
	}
	return trainer.Options{
		Name: r.d.trainer, Service: r.d.trained, Pick: r.cluster.pick, Groups: trainerGroups, Samples: trainerSamples,
		MaxTokens: trainerTokens, TrainingTime: trainerThink, MaxVersionLag: r.d.maxLag, StartVersion: startVersion,
		Announce: true, Announced: r.weights.announced, Floor: capacity.Floor, DialContext: r.net.dialer(r.cluster.client),
		Seed: r.opts.Seed, Interrupted: r.cluster.interrupted, UsedKV: r.st.usedKV,
	}
}

// addGroups adds the groups of staff callers.
func (r *run) addGroups() {
	d := r.d
	for i, o := range []callers.Options{
		{Name: "book", Service: d.desk, Call: callBook, Kind: callers.PlainCall, NonIdempotent: true, Rate: 25},
		{Name: "list", Service: d.desk, Call: callList, Kind: callers.PlainCall, Rate: 40},
		{Name: "post", Service: d.books, Call: callPost, Kind: callers.PlainCall, NonIdempotent: true, Rate: 25},
		{Name: "ask", Service: d.staff, Call: callModel, Kind: callers.ModelCall, Rate: 12, MaxTokens: 16, Stream: true},
		{Name: "look", Service: d.trained, Call: callModel, Kind: callers.ModelCall, Rate: 6, MaxTokens: 24},
	} {
		o.Rate *= r.opts.Rate
		o.Seed = r.opts.Seed + uint64(i)
		o.Pick, o.Interrupted, o.DialContext = r.cluster.pick, r.cluster.interrupted, r.net.dialer(r.cluster.client)
		o.Runs = r.st.runsOfBody(o.Service)
		if o.Kind == callers.ModelCall {
			o.Runs = r.st.runsOfPrompt(o.Service)
		}
		r.groups = append(r.groups, callers.New(o))
		r.names = append(r.names, o.Name)
	}
}

func (r *run) report() *Report {
	out := &Report{
		Deployment: r.d.name, Seed: r.opts.Seed, DurationS: round(r.loaded.Seconds()),
		Weights: r.weights.result(), Control: r.control, Link: r.linkBytes(), Host: r.host(), Groups: map[string]callers.Counts{},
		BrokenPromises: []Promise{},
	}
	r.addRequests(out)
	r.addTrainer(out)
	var notes []string
	out.Notes, notes = r.operators.result()
	out.Faults, out.BrokenPromises = r.faults.result()
	out.BrokenPromises = append(out.BrokenPromises, judge(out, notes)...)
	if out.BrokenPromises == nil {
		out.BrokenPromises = []Promise{}
	}
	if out.Faults == nil {
		out.Faults = []Injected{}
	}
	return out
}

// host tells how late the timers of the demonstration's process fired.
func (r *run) host() Host {
	ms := func(percent float64) float64 { return round(r.lag.Percentile(percent).Seconds() * 1e3) }
	return Host{TimerP50Ms: ms(50), TimerP99Ms: ms(99), TimerMaxMs: ms(100)}
}

func (r *run) addRequests(out *Report) {
	q := &out.Requests
	q.Reasons = map[string]int64{}
	all := hdrhistogram.New(1, time.Hour.Microseconds(), 3)
	for i, g := range r.groups {
		n := g.Verify()
		out.Groups[r.names[i]] = n
		all.Merge(g.Latencies())
		q.Sent += n.Sent
		q.Answered += n.Answered
		q.RefusedNotRun += n.RefusedNotRun
		q.Unknown += n.Unknown
		q.FalseRefusals += n.FalseRefusals
		q.Doubled += n.Doubled
		q.Lost += n.Lost
		q.MixedUp += n.MixedUp
		q.Misattributed += n.Misattributed
		q.Skipped += n.Skipped
		for reason, k := range n.Reasons {
			q.Reasons[reason] += k
		}
	}
	for _, m := range r.cluster.members {
		m.mu.Lock()
		q.Interrupted += m.interruptedByStop
		m.mu.Unlock()
	}
	q.P50Ms = round(float64(all.ValueAtQuantile(50)) / 1e3)
	q.P99Ms = round(float64(all.ValueAtQuantile(99)) / 1e3)
}

func (r *run) addTrainer(out *Report) {
	l := r.trainer.Ledger()
	out.Trainer = l
	out.Samples = Samples{
		Delivered: l.Delivered, Duplicate: l.Duplicate, Missing: l.Missing, OverAge: l.OverAge,
		Misattributed: l.Misattributed, Steps: l.Steps,
	}
	stale := r.trainer.Staleness()
	out.Trainers.StalenessP50, out.Trainers.StalenessP99 = stale.ValueAtQuantile(50), stale.ValueAtQuantile(99)
	if total := l.Idle + l.Busy; total > 0 {
		out.Trainers.IdleFraction = round(float64(l.Idle) / float64(total))
		out.Trainers.IdleFloorFraction = round(float64(l.Floor) / float64(l.Floor+l.Busy))
	}
}

// judge compares the report with the promises of the design page.
func judge(r *Report, notes []string) []Promise {
	var out []Promise
	fail := func(promise string, n int64, what string) {
		if n > 0 {
			out = append(out, Promise{Promise: promise, What: fmt.Sprintf("%d %s", n, what)})
		}
	}
	fail("P1", r.Samples.Misattributed, "samples name versions that did not produce their tokens")
	fail("P1", r.Requests.Misattributed, "staff answers name versions that did not produce their tokens")
	fail("P2", r.Samples.OverAge, "samples were older than the bound")
	fail("P3", r.Samples.Duplicate, "samples were delivered twice")
	fail("P3", r.Samples.Missing, "samples of steps called complete were not delivered")
	fail("P4", r.Requests.MixedUp, "callers got an answer that is not the whole answer to their request")
	fail("P5", r.Requests.FalseRefusals, "requests refused as not run had run")
	fail("P6", r.Requests.Doubled, "non-idempotent requests ran more than once")
	fail("P8", r.Requests.Interrupted, "requests were interrupted by a planned stop")
	for _, what := range notes {
		out = append(out, Promise{Promise: "P9", What: what})
	}
	return out
}
