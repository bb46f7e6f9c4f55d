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

// settleTime is the wait after the load in which back ends finish the requests that they still run.
const settleTime = 500 * time.Millisecond

// run is the state of one run of a deployment.
type run struct {
	opts         Options
	deployment   deployment
	net          *network
	standIns     *standIns
	cluster      *cluster
	operators    *operators
	faults       *faultSchedule
	weights      *weightsMonitor
	trainer      *trainer.Trainer
	groups       []*callers.Callers
	groupNames   []string
	loadStart    time.Time
	loadDuration time.Duration // includes the wait for the last outcomes
	control      Control
	timerLag     *timing.LagMeter
}

// Run runs a deployment under load and returns a report of what its callers, trainers and operators
// saw. An error means that an option is invalid or that the deployment did not start; broken
// promises are in the report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	r := &run{opts: opts, deployment: deploymentByName(opts.Deployment), net: newNetwork(), timerLag: timing.NewLagMeter()}
	fmt.Fprintf(opts.Out, "deployment %s, seed %d, %s\n", opts.Deployment, opts.Seed, opts.Duration)
	if r.standIns, err = startStandIns(r.deployment, r.net); err != nil {
		r.standIns.close()
		return nil, &StartError{Component: "stand-ins", Err: err}
	}
	defer r.standIns.close()
	baseline := cpuFraction(ctx, baselineDuration)
	r.cluster = newCluster(opts, r.deployment, r.standIns, r.net)
	return r.bootAndRun(ctx, baseline)
}

// bootAndRun starts the entry instances, publishes the contracts and the first version, measures
// the cost without load, runs the load and returns the report. baseline is the part of a core that
// the stand-ins use alone.
func (r *run) bootAndRun(ctx context.Context, baseline float64) (*Report, error) {
	defer r.cluster.stop(context.WithoutCancel(ctx))
	if err := r.cluster.boot(ctx); err != nil {
		return nil, err
	}
	r.faults = &faultSchedule{r: r, log: r.opts.Logger}
	r.operators = newOperators(r.cluster, r.faults.delayEnd)
	if err := r.operators.publishContracts(ctx); err != nil {
		return nil, err
	}
	m := r.cluster.pickMember(rand.New(rand.NewPCG(r.opts.Seed, 50)), nil)
	if m == nil {
		return nil, &StartError{Component: "instances", Err: fmt.Errorf("no instance is ready")}
	}
	if err := r.cluster.api.announce(ctx, m.self.HTTPAddr, r.deployment.trainedService, r.deployment.trainer, startVersion); err != nil {
		return nil, &StartError{Component: "first version", Err: err}
	}
	r.control = r.measureIdle(ctx, baseline)
	r.load(ctx)
	r.loadDuration = time.Since(r.loadStart)
	timing.Sleep(ctx, settleTime)
	return r.report(), nil
}

// load runs the callers, the trainer, the operators and the faults for the configured duration.
func (r *run) load(ctx context.Context) {
	r.weights = newWeightsMonitor(r)
	r.trainer = trainer.New(r.trainerOptions())
	r.addCallerGroups()
	r.loadStart = time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.opts.Duration)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.timerLag.Run(ctx) })
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
	engines := r.standIns.engines[r.deployment.trainedService]
	capacity := trainer.Capacity{
		Engines: len(engines), MaxBatch: engine.DefaultMaxBatch, Rate: engines[0].Options().Rate,
	}
	return trainer.Options{
		Name: r.deployment.trainer, Service: r.deployment.trainedService, Pick: r.cluster.pickAddr, Groups: groupsPerStep, Samples: samplesPerGroup,
		MaxTokens: medianSampleTokens, TrainingTime: trainingTime, MaxVersionLag: r.deployment.maxVersionLag, StartVersion: startVersion,
		Announce: true, Announced: r.weights.recordAnnouncement, Floor: capacity.Floor, DialContext: r.net.dialer(r.cluster.client),
		Seed: r.opts.Seed, Interrupted: r.cluster.recordInterrupted, UsedKV: r.standIns.usedKV,
	}
}

// addCallerGroups adds the groups of staff callers.
func (r *run) addCallerGroups() {
	d := r.deployment
	for i, o := range []callers.Options{
		{Name: "book", Service: d.bookingService, Call: callBook, Kind: callers.PlainCall, NonIdempotent: true, Rate: 25},
		{Name: "list", Service: d.bookingService, Call: callList, Kind: callers.PlainCall, Rate: 40},
		{Name: "post", Service: d.askByKeyService, Call: callPost, Kind: callers.PlainCall, NonIdempotent: true, Rate: 25},
		{Name: "ask", Service: d.staffService, Call: callModel, Kind: callers.ModelCall, Rate: 12, MaxTokens: 16, Stream: true},
		{Name: "look", Service: d.trainedService, Call: callModel, Kind: callers.ModelCall, Rate: 6, MaxTokens: 24},
	} {
		o.Rate *= r.opts.Rate
		o.Seed = r.opts.Seed + uint64(i)
		o.Pick, o.Interrupted, o.DialContext = r.cluster.pickAddr, r.cluster.recordInterrupted, r.net.dialer(r.cluster.client)
		o.Runs = r.standIns.bodyRunCounter(o.Service)
		if o.Kind == callers.ModelCall {
			o.Runs = r.standIns.promptRunCounter(o.Service)
		}
		r.groups = append(r.groups, callers.New(o))
		r.groupNames = append(r.groupNames, o.Name)
	}
}

// report builds the report after the load has ended.
func (r *run) report() *Report {
	out := &Report{
		Deployment: r.deployment.name, Seed: r.opts.Seed, DurationS: round(r.loadDuration.Seconds()),
		Weights: r.weights.result(), Control: r.control, Link: r.linkBytes(), Host: r.timerLateness(), Groups: map[string]callers.Counts{},
		BrokenPromises: []BrokenPromise{},
	}
	r.addRequests(out)
	r.addTrainer(out)
	var noteFailures, lateNotes []string
	out.Notes, noteFailures, lateNotes = r.operators.result()
	out.Faults, out.BrokenPromises = r.faults.result()
	out.BrokenPromises = append(out.BrokenPromises, checkPromises(out, noteFailures)...)
	judgeLateNotes(out, lateNotes)
	if out.BrokenPromises == nil {
		out.BrokenPromises = []BrokenPromise{}
	}
	if out.Faults == nil {
		out.Faults = []InjectedFault{}
	}
	return out
}

// timerLateness returns how late timers fired in this process.
func (r *run) timerLateness() Host {
	ms := func(percent float64) float64 { return round(r.timerLag.Percentile(percent).Seconds() * 1e3) }
	return Host{TimerLateP50Ms: ms(50), TimerLateP99Ms: ms(99), TimerLateMaxMs: ms(100)}
}

// addRequests adds the outcomes and latencies of all groups of staff callers to the report.
func (r *run) addRequests(out *Report) {
	q := &out.Requests
	q.Reasons = map[string]int64{}
	all := hdrhistogram.New(1, time.Hour.Microseconds(), 3)
	for i, g := range r.groups {
		n := g.Verify()
		out.Groups[r.groupNames[i]] = n
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

// addTrainer adds the trainer's samples, idle time and staleness to the report.
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

// judgeLateNotes adds late notes to the broken promises, or to those not judged if the machine was starved.
func judgeLateNotes(r *Report, late []string) {
	for _, what := range late {
		p := BrokenPromise{ID: "P9", Description: what}
		if r.Host.Starved() {
			r.NotJudged = append(r.NotJudged, p)
		} else {
			r.BrokenPromises = append(r.BrokenPromises, p)
		}
	}
}

// checkPromises returns the promises of the design page that the report shows to be broken.
// noteFailures are the breaches of P9 that the operators found.
func checkPromises(r *Report, noteFailures []string) []BrokenPromise {
	var out []BrokenPromise
	expectZero := func(promise string, n int64, what string) {
		if n > 0 {
			out = append(out, BrokenPromise{ID: promise, Description: fmt.Sprintf("%d %s", n, what)})
		}
	}
	expectZero("P1", r.Samples.Misattributed, "samples name versions that did not produce their tokens")
	expectZero("P1", r.Requests.Misattributed, "staff answers name versions that did not produce their tokens")
	expectZero("P2", r.Samples.OverAge, "samples were older than the bound")
	expectZero("P3", r.Samples.Duplicate, "samples were delivered twice")
	expectZero("P3", r.Samples.Missing, "samples of steps called complete were not delivered")
	expectZero("P4", r.Requests.MixedUp, "callers got an answer that is not the whole answer to their request")
	expectZero("P5", r.Requests.FalseRefusals, "requests refused as not run had run")
	expectZero("P6", r.Requests.Doubled, "non-idempotent requests ran more than once")
	expectZero("P8", r.Requests.Interrupted, "requests were interrupted by a planned stop")
	for _, what := range noteFailures {
		out = append(out, BrokenPromise{ID: "P9", Description: what})
	}
	return out
}
