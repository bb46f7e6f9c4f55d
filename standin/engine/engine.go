// Package engine is a stand-in for a model engine. It implements continuous batching with
// priorities and preemption, a prompt prefix cache of limited size, resumption, export and
// import of KV caches, delayed load reports, delayed cache events with gaps, and weight swaps.
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
	DefaultTokenRate       = 100.0 // tokens per second of a single sequence
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
	// maxHeldVersions is the number of versions whose weights fit into the engine's memory.
	maxHeldVersions = 2
)

// Options configures an engine.
type Options struct {
	ID   string
	Addr string
	Zone zone.Zone
	// TokenRate and BatchSlowdown give the speed of generation: each sequence in a batch of n
	// gets TokenRate / (1 + BatchSlowdown*(n-1)) tokens per second.
	TokenRate     float64
	BatchSlowdown float64
	// MaxBatch is the number of sequences that run at once. Up to QueueLimit others wait.
	MaxBatch   int
	QueueLimit int
	// PrefillRate is the number of prompt tokens per second that a sequence prefills.
	PrefillRate float64
	// Tick is the interval at which the scheduler advances the batch.
	Tick time.Duration
	// ChunkTokens is the number of tokens sent in one event.
	ChunkTokens int
	// CacheEntries is the capacity of the prefix cache.
	CacheEntries int
	// KVEntries is the number of ended sequences whose KV cache can still be exported.
	KVEntries       int
	KVBytesPerToken int
	// LoadLag is the minimum age of the load that a load report states.
	LoadLag time.Duration
	// CacheEventDelay is the time after which a cache event becomes visible. Every
	// CacheEventGap-th event is lost.
	CacheEventDelay time.Duration
	CacheEventGap   int
	// ChecksFencing makes the engine refuse an order whose fencing token is lower than the
	// highest one it has seen.
	ChecksFencing bool
	// Version is the weight version that is active at the start and after a restart.
	Version int64
	// SwapTime is how long generation pauses while loaded weights are activated.
	SwapTime time.Duration
	// Model is the name of the model in the weight store at StoreAddr.
	Model     string
	StoreAddr string
	// WeightBytes is the size of the weights that the engine sends to another engine.
	WeightBytes int64
	// WeightRate is the rate of one transfer of weights to another engine, in bytes per second.
	WeightRate int64
	// DialContext opens connections to the store and to other engines; nil means net.Dialer.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	setDefault(&o.TokenRate, DefaultTokenRate)
	setDefault(&o.BatchSlowdown, DefaultBatchSlowdown)
	setDefault(&o.MaxBatch, DefaultMaxBatch)
	setDefault(&o.QueueLimit, DefaultQueueLimit)
	setDefault(&o.PrefillRate, DefaultPrefillRate)
	setDefault(&o.Tick, DefaultTick)
	setDefault(&o.ChunkTokens, DefaultChunkTokens)
	setDefault(&o.CacheEntries, DefaultCacheEntries)
	setDefault(&o.KVEntries, DefaultKVEntries)
	setDefault(&o.KVBytesPerToken, DefaultKVBytesPerToken)
	setDefault(&o.LoadLag, DefaultLoadLag)
	setDefault(&o.CacheEventDelay, DefaultCacheEventDelay)
	setDefault(&o.CacheEventGap, DefaultCacheEventGap)
	setDefault(&o.SwapTime, DefaultSwapTime)
	setDefault(&o.WeightBytes, DefaultWeightBytes)
	setDefault(&o.WeightRate, DefaultWeightRate)
	if o.Model == "" {
		o.Model = "model"
	}
	if o.DialContext == nil {
		o.DialContext = (&net.Dialer{}).DialContext
	}
	return o
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Server is one model engine. Its ledger survives Crash and Restart.
type Server struct {
	*serve.Server
	opts   Options
	client *http.Client
	stop   context.CancelFunc
	wg     conc.WaitGroup

	mu          sync.Mutex
	runCtx      context.Context // cancelled by a crash
	cancelRun   context.CancelFunc
	version     int64
	held        []int64
	role        string
	swapping    bool // generation pauses
	speedFactor float64
	sequences   []*sequence // in order of arrival
	byID        map[string]*sequence
	cache       *prefixCache
	kv          *kvStore
	snapshots   []platform.LoadReport
	maxFence    int64 // highest fencing token seen

	orderSlot   chan struct{} // held by the order being executed
	ledger      *Ledger
	leaving     atomic.Bool
	failSwaps   atomic.Int64
	loseAnswers atomic.Int64
	transfers   transfers
}

// Start starts an engine.
func Start(opts Options) (*Server, error) {
	opts = opts.withDefaults()
	s := &Server{
		opts: opts, speedFactor: 1, orderSlot: make(chan struct{}, 1), ledger: newLedger(),
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

// reset gives the engine the state of a newly started process.
func (s *Server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runCtx, s.cancelRun = context.WithCancel(context.Background())
	s.version, s.held, s.role = s.opts.Version, []int64{s.opts.Version}, ""
	s.swapping, s.maxFence = false, 0
	s.sequences, s.byID = nil, map[string]*sequence{}
	s.cache = newPrefixCache(s.opts)
	s.kv = newKVStore(s.opts.KVEntries)
	s.snapshots = nil
}

// Options returns the engine's options with the defaults filled in.
func (s *Server) Options() Options { return s.opts }

// Ledger returns the record of all executions and orders.
func (s *Server) Ledger() *Ledger { return s.ledger }

// Version returns the active weight version.
func (s *Server) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Swapping reports whether the engine is executing an order, such as a swap.
func (s *Server) Swapping() bool { return len(s.orderSlot) > 0 }

// Crash stops the server, resets all connections and discards sequences, caches and loaded
// weights.
func (s *Server) Crash() {
	s.mu.Lock()
	s.cancelRun()
	s.mu.Unlock()
	s.Server.Crash()
	s.reset()
}

// Restart starts a crashed engine again, with Options.Version and empty caches.
func (s *Server) Restart() error { return s.Server.Restart() }

// Close stops the engine and waits for its goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.cancelRun()
	s.mu.Unlock()
	s.Server.Close()
	s.stop()
	s.wg.Wait()
	s.client.CloseIdleConnections()
}

// SetSpeedFactor multiplies the engine's normal speed by factor. 1 restores the normal speed.
func (s *Server) SetSpeedFactor(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speedFactor = factor
}

// SetLeaving makes the engine refuse new generations. Those in progress continue.
func (s *Server) SetLeaving(on bool) { s.leaving.Store(on) }

// FailSwaps makes the next n swaps, or all if n < 0, fail after their weights were loaded.
func (s *Server) FailSwaps(n int) { s.failSwaps.Store(int64(n)) }

// LoseSwapAnswers makes the engine close the connection instead of answering after each of the
// next n successful orders, or after all if n < 0.
func (s *Server) LoseSwapAnswers(n int) { s.loseAnswers.Store(int64(n)) }

// Rate returns the tokens per second of each sequence in a batch of n at normal speed.
func (o Options) Rate(n int) float64 {
	return o.TokenRate / (1 + o.BatchSlowdown*float64(max(n, 1)-1))
}
