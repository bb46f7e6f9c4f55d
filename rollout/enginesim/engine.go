package enginesim

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/zone"
)

// Defaults of the fields of Options.
const (
	DefaultTokenRate     = 1000.0
	DefaultSlots         = 8
	DefaultEventInterval = 4 * time.Millisecond
	DefaultPrefillRate   = 50_000.0
)

// Causes wrapped in a platform.Error.
var (
	errDown               = errors.New("engine down")
	errCrashed            = errors.New("engine crashed")
	errSwapFailed         = errors.New("weight swap failed")
	errStoreUnavailable   = errors.New("weight store unavailable")
	errSourceLacksVersion = errors.New("source does not hold the weight version")
	errStaleFence         = errors.New("stale fencing token")
	errDeadlinePassed     = errors.New("order deadline passed")
)

// Options configures one simulated engine.
type Options struct {
	ID   string
	Zone zone.Zone
	// TokenRate is the number of tokens per second that each sequence generates.
	TokenRate float64
	// PrefillRate is the number of prompt tokens per second that the prefill processes.
	PrefillRate float64
	// Slots is the number of sequences that run at once; others wait.
	Slots int
	// EventInterval is the interval between the events of a stream.
	EventInterval time.Duration
	// Version is the weight version that the engine starts with.
	Version int64
	// SwapTime is how long generation pauses during a swap, LoadTime how long the transfer of the
	// weights before it takes.
	SwapTime, LoadTime time.Duration
	// ChecksFencing makes the engine refuse orders with a lower fencing token than it has seen.
	ChecksFencing bool
}

// Engine is one simulated engine.
type Engine struct {
	fleet *Fleet
	opts  Options
	slots chan struct{}

	mu             sync.Mutex
	reset          chan struct{} // closed by Crash and Reset, which end all open streams
	down           bool
	silent         bool
	leaving        bool
	swapping       bool // generation is paused for a swap
	speedFactor    float64
	version        int64
	held           []int64          // versions whose weights are loaded
	staleKVVersion int64            // version of the prefix cache's KV caches; 0 means the running one
	kvVersions     map[string]int64 // request ID: version of the KV cache of a running sequence
	tokenHooks     map[int][]func() // number of tokens: functions to call when a sequence reaches it
	running        int
	waiting        int

	maxFence        int64
	swapsToFail     int
	answersToLose   int
	refusedOrders   []platform.Order
	startedOrders   []platform.Order
	ordersReleased  chan struct{}
	ordersToHold    int              // the next orders wait until ordersReleased is closed
	abandonedOrders []platform.Order // held orders whose sender gave up
	alterNextEvent  func(ev *platform.GenerateEvent)
	tokens          int64
}

// Fleet is a set of engines that implements platform.Engine. The address of an engine is its ID with
// port 1.
type Fleet struct {
	// Length returns the number of tokens of a sequence; nil means the max_tokens of its request.
	Length func(req platform.GenerateRequest) int

	mu          sync.Mutex
	engines     map[string]*Engine
	storeDown   bool
	storeDelay  time.Duration
	transfers   map[string]int // region: completed weight transfers from outside it
	swapping    int
	maxSwapping int
	requests    []platform.GenerateRequest
	hooks       map[Stage]func(e *Engine)
}

// Stage is a point in an engine's processing at which a hook can run.
type Stage string

// Stages at which a hook can run.
const (
	Dispatch Stage = "dispatch" // a generation request arrives
	Load     Stage = "load"     // weights are about to be loaded
	Activate Stage = "activate" // loaded weights are about to be activated
)

// OnNext runs hook once, the next time any engine reaches stage. It replaces an earlier hook of that stage.
func (f *Fleet) OnNext(stage Stage, hook func(e *Engine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hooks == nil {
		f.hooks = make(map[Stage]func(*Engine))
	}
	f.hooks[stage] = hook
}

// runHook runs and removes the hook of stage, if there is one.
func (f *Fleet) runHook(stage Stage, e *Engine) {
	f.mu.Lock()
	hook := f.hooks[stage]
	delete(f.hooks, stage)
	f.mu.Unlock()
	if hook != nil {
		hook(e)
	}
}

var _ platform.Engine = (*Fleet)(nil)

// NewFleet returns a fleet with one engine for each of the given options.
func NewFleet(engines ...Options) *Fleet {
	f := &Fleet{engines: make(map[string]*Engine), transfers: make(map[string]int)}
	for _, o := range engines {
		f.Add(o)
	}
	return f
}

// Add adds an engine to the fleet. Rates, slots and chunk that are zero get their defaults.
func (f *Fleet) Add(o Options) *Engine {
	if o.TokenRate == 0 {
		o.TokenRate = DefaultTokenRate
	}
	if o.PrefillRate == 0 {
		o.PrefillRate = DefaultPrefillRate
	}
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.EventInterval == 0 {
		o.EventInterval = DefaultEventInterval
	}
	e := &Engine{
		fleet: f, opts: o, slots: make(chan struct{}, o.Slots), reset: make(chan struct{}), speedFactor: 1,
		version: o.Version, held: []int64{o.Version}, kvVersions: make(map[string]int64), tokenHooks: make(map[int][]func()),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[Addr(o.ID)] = e
	return e
}

// Addr returns the address of the engine with the given ID.
func Addr(id string) string { return id + ":1" }

// Engine returns the engine with the given ID, or nil.
func (f *Fleet) Engine(id string) *Engine { return f.engineAt(Addr(id)) }

// engineAt returns the engine at addr, or nil.
func (f *Fleet) engineAt(addr string) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[addr]
}

// Backends returns the contract entries of all engines as samplers of service, sorted by ID.
func (f *Fleet) Backends(service string) []machine.Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []machine.Backend
	for addr, e := range f.engines {
		out = append(out, machine.Backend{ID: e.opts.ID, Kind: machine.Sampler, Service: service, Addr: addr, Zone: e.opts.Zone})
	}
	slices.SortFunc(out, func(a, b machine.Backend) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Requests returns the generation requests that engines accepted, in the order of arrival.
func (f *Fleet) Requests() []platform.GenerateRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.requests)
}

// Generate implements platform.Engine.
func (f *Fleet) Generate(ctx context.Context, addr string, req platform.GenerateRequest) (platform.GenerateStream, error) {
	e := f.engineAt(addr)
	if e == nil {
		return nil, &platform.Error{Code: platform.NotSent, Op: "generate", Err: errDown}
	}
	f.runHook(Dispatch, e)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, &platform.Error{Code: platform.NotSent, Op: "generate", Err: errDown}
	}
	if e.leaving {
		return nil, &platform.Error{Code: platform.LeavingBackend, Op: "generate"}
	}
	f.mu.Lock()
	f.requests = append(f.requests, req)
	length := req.MaxTokens
	if f.Length != nil {
		length = f.Length(req)
	}
	f.mu.Unlock()
	return &stream{e: e, ctx: ctx, reset: e.reset, req: req, next: len(req.ResumeTokens), length: length}, nil
}

// Cancel implements platform.Engine. It does nothing, since closing the stream cancels the request.
func (f *Fleet) Cancel(context.Context, string, string) error { return nil }

// CacheEvents implements platform.Engine. Simulated engines report no cache events.
func (f *Fleet) CacheEvents(context.Context, string, int64) ([]platform.CacheEvent, error) {
	return nil, nil
}

// Load implements platform.Engine.
func (f *Fleet) Load(_ context.Context, addr string) (platform.LoadReport, error) {
	e := f.engineAt(addr)
	if e == nil {
		return platform.LoadReport{}, &platform.Error{Code: platform.NotSent, Op: "load", Err: errDown}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.silent {
		return platform.LoadReport{}, &platform.Error{Code: platform.NotSent, Op: "load", Err: errDown}
	}
	return platform.LoadReport{
		Running: e.running, Queued: e.waiting, TokensPerS: e.opts.TokenRate * float64(e.opts.Slots) * e.speedFactor,
		MeasuredAt: time.Now(), Version: e.version, Held: slices.Clone(e.held), Leaving: e.leaving,
	}, nil
}

// Crash ends all open streams and discards the KV caches. The engine refuses connections until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	close(e.reset)
	e.kvVersions = make(map[string]int64)
}

// Reset ends all open streams with an error. The engine keeps running and accepts new ones.
func (e *Engine) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.down {
		close(e.reset)
		e.reset = make(chan struct{})
	}
}

// Restart starts a crashed engine with the given weight version, the only one it then holds.
func (e *Engine) Restart(version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down, e.silent, e.reset = false, false, make(chan struct{})
	e.version, e.held = version, []int64{version}
}

// SetSilent makes all open and new streams stall without an error, and load reports fail, while on is true.
func (e *Engine) SetSilent(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = on
}

// SetLeaving makes the engine refuse new generation requests while on is true.
func (e *Engine) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = on
}

// SetSpeedFactor sets the factor by which the token rate is multiplied; 1 is the configured rate.
func (e *Engine) SetSpeedFactor(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.speedFactor = factor
}

// SetVersion changes the running weight version at once, without a load or a swap.
func (e *Engine) SetVersion(version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = version
	e.held = append(e.held, version)
}

// SetStaleKV makes requests with a prefix ID use a cached prompt whose KV cache is of the given
// version; 0 ends it.
func (e *Engine) SetStaleKV(version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staleKVVersion = version
}

// OnToken calls f once, from the stream's goroutine, when a sequence on this engine reaches n tokens.
func (e *Engine) OnToken(n int, f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokenHooks[n] = append(e.tokenHooks[n], f)
}

// Version returns the running weight version.
func (e *Engine) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// AlterNextEvent makes the engine alter the next generation event before it sends it.
func (e *Engine) AlterNextEvent(alter func(ev *platform.GenerateEvent)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.alterNextEvent = alter
}

// altered returns ev with the pending alteration applied, if there is one, and clears it.
func (e *Engine) altered(ev platform.GenerateEvent) platform.GenerateEvent {
	e.mu.Lock()
	alter := e.alterNextEvent
	e.alterNextEvent = nil
	e.mu.Unlock()
	if alter != nil {
		alter(&ev)
	}
	return ev
}

// Down reports whether the engine has crashed and not been restarted.
func (e *Engine) Down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// Tokens returns the number of tokens that the engine has generated.
func (e *Engine) Tokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens
}
