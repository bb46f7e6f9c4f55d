// Package trainer is a stand-in of a trainer: it opens steps, takes samples, trains for a given
// time, announces weights, and checks every sample against the truth that its tokens carry.
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
	DefaultGroups    = 8
	DefaultSamples   = 4
	DefaultMaxTokens = 64
	DefaultThink     = 500 * time.Millisecond
	// DefaultLongFraction of the groups is LongFactor times as long as the median.
	DefaultLongFraction = 0.05
	DefaultLongFactor   = 10
	DefaultWait         = time.Second
	// checkpointEvery is the number of takes between two checkpoints.
	checkpointEvery = 2
	// retryPause is the pause after a failed request.
	retryPause = 100 * time.Millisecond
	// requestMargin is added to a take's wait as the deadline of the request.
	requestMargin = 3 * time.Second
)

// Options configure a trainer.
type Options struct {
	Name    string
	Service string
	// Pick returns the address of an entry instance other than exclude, or "".
	Pick         func(r *rand.Rand, exclude map[string]bool) string
	Groups       int
	Samples      int // of a group
	MaxTokens    int // median length
	LongFraction float64
	LongFactor   int
	Think        time.Duration
	Wait         time.Duration
	// MaxVersionLag is the service's bound on the age of samples.
	MaxVersionLag int64
	// StartVersion is the trainer's first version; the samplers start with it too.
	StartVersion int64
	// Announce makes the trainer announce new weights after each step.
	Announce bool
	// Announced is called once an announcement was accepted, with the time of its first attempt.
	Announced func(version int64, at time.Time)
	// Floor returns the shortest time in which the engines can generate sequences of these lengths.
	Floor func(lengths []int) time.Duration
	// UsedKV reports whether an engine used KV of version for a prompt with this hash; nil means
	// that the trainer cannot tell.
	UsedKV func(promptHash string, version int64) bool
	// Interrupted is told of each request whose connection failed without a whole answer.
	Interrupted func(addr string, began time.Time, err error)
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	Seed        uint64
}

// Ledger is what the trainer saw.
type Ledger struct {
	Steps         int64            `json:"steps"`
	Delivered     int64            `json:"delivered"`
	Duplicate     int64            `json:"duplicate"`
	Missing       int64            `json:"missing"`
	OverAge       int64            `json:"over_age"`
	Misattributed int64            `json:"misattributed"`
	Reopened      int64            `json:"reopened"`
	Deaths        int64            `json:"deaths"`
	Failures      map[string]int64 `json:"failures"`
	Idle          time.Duration    `json:"idle_ns"`
	Floor         time.Duration    `json:"floor_ns"`
	Busy          time.Duration    `json:"busy_ns"`
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
	cancel    context.CancelFunc // ends the present life
	downFor   time.Duration
	idleSince time.Time // zero while training
	idleFloor time.Duration
}

// New returns a trainer.
func New(opts Options) *Trainer {
	def(&opts.Groups, DefaultGroups)
	def(&opts.Samples, DefaultSamples)
	def(&opts.MaxTokens, DefaultMaxTokens)
	def(&opts.LongFraction, DefaultLongFraction)
	def(&opts.LongFactor, DefaultLongFactor)
	def(&opts.Think, DefaultThink)
	def(&opts.Wait, DefaultWait)
	def(&opts.StartVersion, 1)
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

func def[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Run trains until ctx ends.
func (t *Trainer) Run(ctx context.Context) {
	defer t.client.CloseIdleConnections()
	ann := t.startAnnouncer(ctx)
	defer ann.wait()
	for n := int64(1); ctx.Err() == nil; n++ {
		s := t.newStep(n)
		if !t.complete(ctx, s) {
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

// complete brings the step to its end through any number of deaths. It reports false when
// ctx ended first.
func (t *Trainer) complete(ctx context.Context, s *step) bool {
	for ctx.Err() == nil {
		life, cancel := context.WithCancel(ctx)
		t.mu.Lock()
		t.cancel = cancel
		t.mu.Unlock()
		t.beginIdle(s)
		done := t.collect(life, s)
		t.endIdle()
		t.mu.Lock()
		t.cancel = nil
		down := t.downFor
		t.downFor = 0
		t.mu.Unlock()
		cancel()
		if done {
			return true
		}
		if ctx.Err() == nil { // died
			s.restore()
			timing.Sleep(ctx, down)
		}
	}
	return false
}

// Die ends the trainer in the middle of what it does. It comes back after d with its last
// checkpoint. It reports whether the trainer was in a step.
func (t *Trainer) Die(d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancel == nil {
		return false
	}
	t.downFor = d
	t.ledger.Deaths++
	t.cancel()
	return true
}

func (t *Trainer) beginIdle(s *step) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idleSince, t.idleFloor = time.Now(), t.opts.Floor(s.lacking())
}

// endIdle accounts for the time since the step was opened. The floor of a step that was not
// completed is at most the time that passed.
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
	timing.Sleep(ctx, t.opts.Think)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Busy += time.Since(began)
	t.ledger.Steps++
}

// Version returns the trainer's version.
func (t *Trainer) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Ledger returns what the trainer saw so far.
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

func (t *Trainer) failed(code string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Failures[code]++
}

func (t *Trainer) base(path string) string {
	return fmt.Sprintf("/v1/services/%s%s", t.opts.Service, path)
}
