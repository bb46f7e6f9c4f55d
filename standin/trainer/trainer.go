// Package trainer is a stand-in for a trainer. It opens steps, takes samples, trains for a given
// time and announces weights. It verifies every sample with the version and the prompt that are
// encoded in its tokens, and counts wrong deliveries in a ledger.
package trainer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cicadasill/cicadasill/timing"
)

// Defaults of Options.
const (
	DefaultGroups       = 8
	DefaultSamples      = 4
	DefaultMaxTokens    = 64
	DefaultTrainingTime = 500 * time.Millisecond
	// DefaultLongFraction is the default of Options.LongFraction.
	DefaultLongFraction = 0.05
	DefaultLongFactor   = 10
	DefaultWait         = time.Second
	// checkpointEvery is the number of answered takes between two checkpoints.
	checkpointEvery = 2
	// retryPause is the pause after a failed request.
	retryPause = 100 * time.Millisecond
	// requestMargin is how much longer than Options.Wait a request may take.
	requestMargin = 3 * time.Second
)

// Options configures a trainer.
type Options struct {
	Name    string
	Service string
	// Pick returns the address of an entry instance that is not in exclude, or "".
	Pick    func(r *rand.Rand, exclude map[string]bool) string
	Groups  int // groups of a step
	Samples int // samples of a group
	// MaxTokens is the median length of a sample. A fraction LongFraction of the groups is
	// LongFactor times as long.
	MaxTokens    int
	LongFraction float64
	LongFactor   int
	// TrainingTime is the time that the training of a step takes.
	TrainingTime time.Duration
	// Wait is how long an instance may hold a take until it has samples.
	Wait time.Duration
	// MaxVersionLag is the service's limit on the age of a sample, in weight versions.
	MaxVersionLag int64
	// StartVersion is the trainer's first weight version, with which the samplers start too.
	StartVersion int64
	// Announce makes the trainer announce new weights after each step.
	Announce bool
	// Announced is called after an announcement was accepted. at is the time at which it was
	// queued.
	Announced func(version int64, at time.Time)
	// Floor returns the shortest time in which the engines can generate sequences of these lengths.
	Floor func(lengths []int) time.Duration
	// UsedKV reports whether an engine used a KV cache of version for a prompt with this hash.
	// Nil disables the check.
	UsedKV func(promptHash string, version int64) bool
	// Interrupted is called for each request whose connection failed before the complete answer
	// had arrived.
	Interrupted func(addr string, began time.Time, err error)
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	Seed        uint64
}

// Ledger counts the trainer's steps, samples and failures.
type Ledger struct {
	Steps         int64            `json:"steps"`         // trained steps
	Delivered     int64            `json:"delivered"`     // samples delivered, without duplicates
	Duplicate     int64            `json:"duplicate"`     // samples that the trainer had already
	Missing       int64            `json:"missing"`       // samples missing when a step was reported complete
	OverAge       int64            `json:"over_age"`      // samples older than MaxVersionLag
	Misattributed int64            `json:"misattributed"` // samples with a wrong identity, version or token
	Reopened      int64            `json:"reopened"`      // steps opened again after step_not_open
	Deaths        int64            `json:"deaths"`        // simulated crashes
	Failures      map[string]int64 `json:"failures"`      // failed requests by code
	Idle          time.Duration    `json:"idle_ns"`       // time spent waiting for samples
	Floor         time.Duration    `json:"floor_ns"`      // part of Idle that the engines need at least
	Busy          time.Duration    `json:"busy_ns"`       // time spent training
}

// Trainer is one trainer.
type Trainer struct {
	opts   Options
	client *http.Client
	rng    *rand.Rand

	mu        sync.Mutex
	ledger    Ledger
	staleness *hdrhistogram.Histogram
	version   int64
	cancelRun context.CancelFunc // simulates a crash; nil outside a step
	downFor   time.Duration      // time until the restart after a crash
	idleSince time.Time          // zero while training
	idleFloor time.Duration
}

// New returns a trainer.
func New(opts Options) *Trainer {
	setDefault(&opts.Groups, DefaultGroups)
	setDefault(&opts.Samples, DefaultSamples)
	setDefault(&opts.MaxTokens, DefaultMaxTokens)
	setDefault(&opts.LongFraction, DefaultLongFraction)
	setDefault(&opts.LongFactor, DefaultLongFactor)
	setDefault(&opts.TrainingTime, DefaultTrainingTime)
	setDefault(&opts.Wait, DefaultWait)
	setDefault(&opts.StartVersion, 1)
	if opts.DialContext == nil {
		opts.DialContext = (&net.Dialer{}).DialContext
	}
	if opts.Announced == nil {
		opts.Announced = func(int64, time.Time) {}
	}
	if opts.UsedKV == nil {
		opts.UsedKV = func(string, int64) bool { return true }
	}
	if opts.Interrupted == nil {
		opts.Interrupted = func(string, time.Time, error) {}
	}
	if opts.Floor == nil {
		opts.Floor = func([]int) time.Duration { return 0 }
	}
	const maxStaleness = 1000
	return &Trainer{
		opts: opts, version: opts.StartVersion, rng: rand.New(rand.NewPCG(opts.Seed, 3)),
		ledger: Ledger{Failures: map[string]int64{}}, staleness: hdrhistogram.New(0, maxStaleness, 3),
		client: &http.Client{Transport: &http.Transport{DialContext: opts.DialContext, IdleConnTimeout: 5 * time.Second}},
	}
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Run trains until ctx is done.
func (t *Trainer) Run(ctx context.Context) {
	defer t.client.CloseIdleConnections()
	ann := t.startAnnouncer(ctx)
	defer ann.wait()
	for n := int64(1); ctx.Err() == nil; n++ {
		s := t.newStep(n)
		if !t.completeStep(ctx, s) {
			break
		}
		t.train(ctx)
		t.mu.Lock()
		t.version++
		v := t.version
		t.mu.Unlock()
		if t.opts.Announce {
			ann.announce(v)
		}
	}
	t.endIdle()
}

// completeStep collects all samples of a step and restarts the trainer after each simulated crash.
// It reports false if ctx was done first.
func (t *Trainer) completeStep(ctx context.Context, s *step) bool {
	for ctx.Err() == nil {
		runCtx, cancel := context.WithCancel(ctx)
		t.mu.Lock()
		t.cancelRun = cancel
		t.mu.Unlock()
		t.beginIdle(s)
		done := t.collect(runCtx, s)
		t.endIdle()
		t.mu.Lock()
		t.cancelRun = nil
		down := t.downFor
		t.downFor = 0
		t.mu.Unlock()
		cancel()
		if done {
			return true
		}
		if ctx.Err() == nil { // crashed
			s.restoreCheckpoint()
			timing.Sleep(ctx, down)
		}
	}
	return false
}

// Crash simulates a crash of the trainer, which restarts after d from its last checkpoint. It
// reports whether the trainer was collecting samples; if not, it does nothing.
func (t *Trainer) Crash(d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancelRun == nil {
		return false
	}
	t.downFor = d
	t.ledger.Deaths++
	t.cancelRun()
	return true
}

// beginIdle starts to account for the time in which the trainer waits for the samples of s.
func (t *Trainer) beginIdle(s *step) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idleSince, t.idleFloor = time.Now(), t.opts.Floor(s.missingLengths())
}

// endIdle adds the time since beginIdle to the ledger. It limits the floor to that time, because
// the step may not have been completed.
func (t *Trainer) endIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.idleSince.IsZero() {
		return
	}
	idle := time.Since(t.idleSince)
	t.ledger.Idle += idle
	t.ledger.Floor += min(idle, t.idleFloor)
	t.idleSince = time.Time{}
}

func (t *Trainer) train(ctx context.Context) {
	began := time.Now()
	timing.Sleep(ctx, t.opts.TrainingTime)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Busy += time.Since(began)
	t.ledger.Steps++
}

// Version returns the trainer's current weight version.
func (t *Trainer) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Ledger returns a copy of the trainer's ledger.
func (t *Trainer) Ledger() Ledger {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.ledger
	out.Failures = map[string]int64{}
	for k, v := range t.ledger.Failures {
		out.Failures[k] = v
	}
	return out
}

// Staleness returns a copy of the histogram of the samples' staleness in versions.
func (t *Trainer) Staleness() *hdrhistogram.Histogram {
	t.mu.Lock()
	defer t.mu.Unlock()
	return hdrhistogram.Import(t.staleness.Export())
}

func (t *Trainer) countFailure(code string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Failures[code]++
}

func (t *Trainer) servicePath(path string) string {
	return fmt.Sprintf("/v1/services/%s%s", t.opts.Service, path)
}
