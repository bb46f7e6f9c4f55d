// Package engine is a stand-in of a model engine: continuous batching with priorities and
// pre-emption, a prompt prefix cache in limited memory, resume, KV export and import, load
// reports with a lag, late cache events with gaps, and weight swaps.
package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin/serve"
	"github.com/cicadasill/cicadasill/zone"
)

// Defaults of Options.
const (
	DefaultTokenRate       = 100.0 // tokens per second of a sequence alone on the engine
	DefaultBatchSlowdown   = 0.02
	DefaultMaxBatch        = 32
	DefaultQueueLimit      = 1024
	DefaultPrefillRate     = 20_000.0 // prompt tokens per second of a sequence
	DefaultTick            = 5 * time.Millisecond
	DefaultChunkTokens     = 8
	DefaultCacheEntries    = 64
	DefaultKVEntries       = 64
	DefaultKVBytesPerToken = 512
	DefaultLoadLag         = 200 * time.Millisecond
	DefaultCacheEventDelay = 300 * time.Millisecond
	DefaultCacheEventGap   = 7
	DefaultSwapTime        = 100 * time.Millisecond
	DefaultWeightBytes     = 4 << 20
	DefaultWeightRate      = 200 << 20
	// heldLimit is the number of versions whose weights fit into an engine's memory.
	heldLimit = 2
)

// Options configure an engine.
type Options struct {
	ID   string
	Addr string
	Zone zone.Zone
	// A sequence in a batch of n gets TokenRate / (1 + BatchSlowdown*(n-1)) tokens per second.
	TokenRate     float64
	BatchSlowdown float64
	MaxBatch      int
	QueueLimit    int
	PrefillRate   float64
	Tick          time.Duration
	// ChunkTokens is the number of tokens sent in one event.
	ChunkTokens     int
	CacheEntries    int
	KVEntries       int
	KVBytesPerToken int
	LoadLag         time.Duration
	// CacheEventDelay is how late a cache event becomes visible; each CacheEventGap-th event
	// is lost.
	CacheEventDelay time.Duration
	CacheEventGap   int
	// ChecksFencing makes the engine refuse an order whose fencing number is below the
	// highest it has seen.
	ChecksFencing bool
	// Version is the version that the engine starts with, also after a crash.
	Version int64
	// SwapTime is the pause of generation while loaded weights are activated.
	SwapTime    time.Duration
	Model       string
	StoreAddr   string
	WeightBytes int64
	// WeightRate bounds the bytes per second of weights sent to other engines.
	WeightRate int64
	// DialContext opens connections to the store and to other engines; nil means net.Dialer.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	def(&o.TokenRate, DefaultTokenRate)
	def(&o.BatchSlowdown, DefaultBatchSlowdown)
	def(&o.MaxBatch, DefaultMaxBatch)
	def(&o.QueueLimit, DefaultQueueLimit)
	def(&o.PrefillRate, DefaultPrefillRate)
	def(&o.Tick, DefaultTick)
	def(&o.ChunkTokens, DefaultChunkTokens)
	def(&o.CacheEntries, DefaultCacheEntries)
	def(&o.KVEntries, DefaultKVEntries)
	def(&o.KVBytesPerToken, DefaultKVBytesPerToken)
	def(&o.LoadLag, DefaultLoadLag)
	def(&o.CacheEventDelay, DefaultCacheEventDelay)
	def(&o.CacheEventGap, DefaultCacheEventGap)
	def(&o.SwapTime, DefaultSwapTime)
	def(&o.WeightBytes, DefaultWeightBytes)
	def(&o.WeightRate, DefaultWeightRate)
	if o.Model == "" {
		o.Model = "model"
	}
	if o.DialContext == nil {
		o.DialContext = (&net.Dialer{}).DialContext
	}
	return o
}

func def[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Server is one engine.
type Server struct {
	*serve.Server
	opts   Options
	client *http.Client
	stop   context.CancelFunc
	wg     conc.WaitGroup

	mu        sync.Mutex
	life      context.Context // ends at a crash
	die       context.CancelFunc
	version   int64
	held      []int64
	role      string
	swapping  bool // generation pauses
	slow      float64
	seqs      []*sequence // in order of arrival
	byID      map[string]*sequence
	cache     *prefixCache
	kv        *kvStore
	snapshots []platform.LoadReport
	maxFence  int64

	orderSlot chan struct{}
	ledger    *Ledger
	leaving   atomic.Bool
	failSwaps atomic.Int64
	loseSwaps atomic.Int64
	transfers transfers
}

// Start starts an engine.
func Start(opts Options) (*Server, error) {
	opts = opts.withDefaults()
	s := &Server{
		opts: opts, slow: 1, orderSlot: make(chan struct{}, 1), ledger: newLedger(),
		client: &http.Client{Transport: &http.Transport{DialContext: opts.DialContext, DisableKeepAlives: true}},
	}
	s.transfers.bytes = map[TransferKey]int64{}
	s.reset()
	r := httprouter.New()
	r.POST("/v1/generate", s.handleGenerate)
	r.POST("/v1/cancel", s.handleCancel)
	r.GET("/v1/load", s.handleLoad)
	r.GET("/v1/health", s.handleHealth)
	r.GET("/v1/cache-events", s.handleCacheEvents)
	r.POST("/v1/orders", s.handleOrder)
	r.GET("/v1/kv/:request", s.handleKV)
	r.GET("/v1/weights/:version", s.handleWeights)
	var err error
	if s.Server, err = serve.Start(opts.Addr, r); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.wg.Go(func() { s.schedule(ctx) })
	return s, nil
}

// reset puts the engine into the state of a fresh process.
func (s *Server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life, s.die = context.WithCancel(context.Background())
	s.version, s.held, s.role = s.opts.Version, []int64{s.opts.Version}, ""
	s.swapping, s.maxFence = false, 0
	s.seqs, s.byID = nil, map[string]*sequence{}
	s.cache = newPrefixCache(s.opts)
	s.kv = newKVStore(s.opts.KVEntries)
	s.snapshots = nil
}

// Options returns the engine's options with defaults.
func (s *Server) Options() Options { return s.opts }

// Ledger returns the record of executions and orders.
func (s *Server) Ledger() *Ledger { return s.ledger }

// Version returns the active weight version.
func (s *Server) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Swapping reports whether the engine is carrying out a swap.
func (s *Server) Swapping() bool { return len(s.orderSlot) > 0 }

// Crash resets all connections and loses sequences, caches and loaded weights.
func (s *Server) Crash() {
	s.mu.Lock()
	s.die()
	s.mu.Unlock()
	s.Server.Crash()
	s.reset()
}

// Restart starts the crashed engine again, with its starting version and empty caches.
func (s *Server) Restart() error { return s.Server.Restart() }

// Close ends the engine.
func (s *Server) Close() {
	s.mu.Lock()
	s.die()
	s.mu.Unlock()
	s.Server.Close()
	s.stop()
	s.wg.Wait()
	s.client.CloseIdleConnections()
}

// SetSlow multiplies the engine's speed by factor; 1 is the ordinary speed.
func (s *Server) SetSlow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// SetLeaving makes the engine refuse new work; sequences in progress go on.
func (s *Server) SetLeaving(on bool) { s.leaving.Store(on) }

// FailSwaps makes the next n swaps fail after the weights were loaded; n < 0 means all.
func (s *Server) FailSwaps(n int) { s.failSwaps.Store(int64(n)) }

// LoseSwapAnswers cuts the connection of the next n orders after they took effect.
func (s *Server) LoseSwapAnswers(n int) { s.loseSwaps.Store(int64(n)) }

// Rate returns the tokens per second of one sequence in a batch of n at ordinary speed.
func (o Options) Rate(n int) float64 {
	return o.TokenRate / (1 + o.BatchSlowdown*float64(max(n, 1)-1))
}
