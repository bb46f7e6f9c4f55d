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

// Defaults of Options.
const (
	DefaultTokenRate   = 1000.0
	DefaultSlots       = 8
	DefaultChunk       = 4 * time.Millisecond
	DefaultPrefillRate = 50_000.0
)

// Errors inside platform errors.
var (
	errDown     = errors.New("engine down")
	errCrashed  = errors.New("engine crashed")
	errSwap     = errors.New("swap failed")
	errStore    = errors.New("weight store unavailable")
	errSource   = errors.New("source does not hold the version")
	errFence    = errors.New("old fencing number")
	errDeadline = errors.New("deadline passed")
)

// Options configure one engine.
type Options struct {
	ID   string
	Zone zone.Zone
	// TokenRate is the tokens per second of one sequence; Slots sequences run at once.
	TokenRate   float64
	PrefillRate float64
	Slots       int
	Chunk       time.Duration
	Version     int64
	// SwapTime is the pause of generation during a swap, LoadTime the transfer before it.
	SwapTime, LoadTime time.Duration
	ChecksFencing      bool
}

// Engine is one fake engine.
type Engine struct {
	fleet *Fleet
	opts  Options
	slots chan struct{}

	mu      sync.Mutex
	life    chan struct{} // closed at a crash
	down    bool
	silent  bool
	leaving bool
	swap    bool // generation pauses
	slow    float64
	version int64
	held    []int64
	staleKV int64
	kv      map[string]int64 // versions of the KV caches of running sequences
	at      map[int][]func()
	running int
	waiting int

	maxFence   int64
	failSwaps  int
	loseSwaps  int
	lateOrders []platform.Order
	orders     []platform.Order
	holdOrders chan struct{}
	holdNext   int
	delayed    []platform.Order
	distort    func(ev *platform.GenerateEvent)
	tokens     int64
}

// Fleet is a set of engines. It implements platform.Engine; an engine's address is its id and port 1.
type Fleet struct {
	// Length gives the length of a sequence; nil means its max_tokens.
	Length func(req platform.GenerateRequest) int

	mu        sync.Mutex
	engines   map[string]*Engine
	storeDown bool
	storeTime time.Duration
	transfers map[string]int // region: loads from the store that arrived
	swapping  int
	maxSwap   int
	starts    []platform.GenerateRequest
	hooks     map[Stage]func(e *Engine)
}

// Stage is a point of an engine's work at which a hook can run.
type Stage string

// Stages.
const (
	Dispatch Stage = "dispatch" // a generation request arrives
	Load     Stage = "load"     // weights are about to be fetched
	Activate Stage = "activate" // fetched weights are about to be activated
)

// On runs hook once, at the next time that any engine reaches stage.
func (f *Fleet) On(stage Stage, hook func(e *Engine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hooks == nil {
		f.hooks = make(map[Stage]func(*Engine))
	}
	f.hooks[stage] = hook
}

func (f *Fleet) reach(stage Stage, e *Engine) {
	f.mu.Lock()
	hook := f.hooks[stage]
	delete(f.hooks, stage)
	f.mu.Unlock()
	if hook != nil {
		hook(e)
	}
}

var _ platform.Engine = (*Fleet)(nil)

// NewFleet returns a fleet of engines.
func NewFleet(engines ...Options) *Fleet {
	f := &Fleet{engines: make(map[string]*Engine), transfers: make(map[string]int)}
	for _, o := range engines {
		f.Add(o)
	}
	return f
}

// Add adds an engine.
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
	if o.Chunk == 0 {
		o.Chunk = DefaultChunk
	}
	e := &Engine{
		fleet: f, opts: o, slots: make(chan struct{}, o.Slots), life: make(chan struct{}), slow: 1,
		version: o.Version, held: []int64{o.Version}, kv: make(map[string]int64), at: make(map[int][]func()),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[Addr(o.ID)] = e
	return e
}

// Addr returns the address of the engine called id.
func Addr(id string) string { return id + ":1" }

// Engine returns the engine called id.
func (f *Fleet) Engine(id string) *Engine { return f.at(Addr(id)) }

func (f *Fleet) at(addr string) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[addr]
}

// Backends returns the contract's entries of all engines, by id.
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

// Starts returns every generation request that reached an engine.
func (f *Fleet) Starts() []platform.GenerateRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.starts)
}

// Generate implements platform.Engine.
func (f *Fleet) Generate(ctx context.Context, addr string, req platform.GenerateRequest) (platform.GenerateStream, error) {
	e := f.at(addr)
	if e == nil {
		return nil, &platform.Error{Code: platform.NotSent, Op: "generate", Err: errDown}
	}
	f.reach(Dispatch, e)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, &platform.Error{Code: platform.NotSent, Op: "generate", Err: errDown}
	}
	if e.leaving {
		return nil, &platform.Error{Code: platform.LeavingBackend, Op: "generate"}
	}
	f.mu.Lock()
	f.starts = append(f.starts, req)
	length := req.MaxTokens
	if f.Length != nil {
		length = f.Length(req)
	}
	f.mu.Unlock()
	return &stream{e: e, ctx: ctx, life: e.life, req: req, next: len(req.ResumeTokens), length: length}, nil
}

// Cancel implements platform.Engine. Closing the stream cancels already.
func (f *Fleet) Cancel(context.Context, string, string) error { return nil }

// CacheEvents implements platform.Engine.
func (f *Fleet) CacheEvents(context.Context, string, int64) ([]platform.CacheEvent, error) {
	return nil, nil
}

// Load implements platform.Engine.
func (f *Fleet) Load(_ context.Context, addr string) (platform.LoadReport, error) {
	e := f.at(addr)
	if e == nil {
		return platform.LoadReport{}, &platform.Error{Code: platform.NotSent, Op: "load", Err: errDown}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.silent {
		return platform.LoadReport{}, &platform.Error{Code: platform.NotSent, Op: "load", Err: errDown}
	}
	return platform.LoadReport{
		Running: e.running, Queued: e.waiting, TokensPerS: e.opts.TokenRate * float64(e.opts.Slots) * e.slow,
		MeasuredAt: time.Now(), Version: e.version, Held: slices.Clone(e.held), Leaving: e.leaving,
	}, nil
}

// Crash resets all streams. The engine refuses connections until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	close(e.life)
	e.kv = make(map[string]int64)
}

// Reset cuts all open streams; the engine itself goes on.
func (e *Engine) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.down {
		close(e.life)
		e.life = make(chan struct{})
	}
}

// Restart starts a crashed engine with the given version.
func (e *Engine) Restart(version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down, e.silent, e.life = false, false, make(chan struct{})
	e.version, e.held = version, []int64{version}
}

// SetSilent makes all open and new streams stop without an error, or go on.
func (e *Engine) SetSilent(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = on
}

// SetLeaving makes the engine refuse new work.
func (e *Engine) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = on
}

// SetSlow multiplies the speed by factor.
func (e *Engine) SetSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// SetVersion changes the running version at once.
func (e *Engine) SetVersion(version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = version
	e.held = append(e.held, version)
}

// SetStaleKV makes cached prompts of prefixes carry the KV cache of version; 0 ends it.
func (e *Engine) SetStaleKV(version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staleKV = version
}

// At calls f once, from the stream's goroutine, when a sequence here reaches n tokens.
func (e *Engine) At(n int, f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.at[n] = append(e.at[n], f)
}

// Version returns the running version.
func (e *Engine) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Lie makes the engine distort the next event that it sends.
func (e *Engine) Lie(distort func(ev *platform.GenerateEvent)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.distort = distort
}

// distorted applies the distortion asked for, once.
func (e *Engine) distorted(ev platform.GenerateEvent) platform.GenerateEvent {
	e.mu.Lock()
	distort := e.distort
	e.distort = nil
	e.mu.Unlock()
	if distort != nil {
		distort(&ev)
	}
	return ev
}

// Down reports whether the engine crashed and was not restarted.
func (e *Engine) Down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// Tokens returns the number of tokens generated here.
func (e *Engine) Tokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens
}
