// Package store is a stand-in for the platform's rate-limited weight store. It serves weights
// of a fixed size for every version and records the transfers.
package store

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/julienschmidt/httprouter"

	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin/serve"
)

// Defaults of Options.
const (
	DefaultWeightBytes = 4 << 20
	DefaultRate        = 100 << 20
)

// HeaderZone is the request header with the zone of the requesting engine ("region/data-centre").
const HeaderZone = "Cicadasill-Zone"

// Options configures the store.
type Options struct {
	Addr string
	// WeightBytes is the size of a version's weights.
	WeightBytes int64
	// Rate is the total rate of all transfers in bytes per second.
	Rate int64
}

// Transfer is one transfer of a version's weights, which may have been interrupted.
type Transfer struct {
	Model    string
	Version  string
	Zone     string
	Bytes    int64
	Complete bool
}

// Server is the weight store.
type Server struct {
	*serve.Server
	opts         Options
	down         atomic.Bool
	rateOverride atomic.Int64 // bytes per second; 0 means Options.Rate
	active       atomic.Int64 // transfers in progress

	mu        sync.Mutex
	transfers []Transfer
}

// Start starts the store. It holds every version of every model.
func Start(opts Options) (*Server, error) {
	if opts.WeightBytes == 0 {
		opts.WeightBytes = DefaultWeightBytes
	}
	if opts.Rate == 0 {
		opts.Rate = DefaultRate
	}
	s := &Server{opts: opts}
	r := httprouter.New()
	r.GET("/v1/weights/:model/:version", s.handleWeights)
	var err error
	s.Server, err = serve.Start(opts.Addr, r)
	return s, err
}

// SetDown makes the store refuse requests and abort the transfers in progress.
func (s *Server) SetDown(on bool) { s.down.Store(on) }

// SetRate changes the total rate of all transfers, in bytes per second. 0 restores Options.Rate.
func (s *Server) SetRate(bytesPerS int64) { s.rateOverride.Store(bytesPerS) }

// Transfers returns all transfers that have ended, including aborted ones.
func (s *Server) Transfers() []Transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Transfer(nil), s.transfers...)
}

func (s *Server) handleWeights(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	if s.down.Load() {
		serve.Refuse(w, http.StatusServiceUnavailable, platform.Unavailable, "store down", true)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(s.opts.WeightBytes, 10))
	s.active.Add(1)
	defer s.active.Add(-1)
	n := serve.WritePaced(r.Context(), cutWriter{s, w}, s.opts.WeightBytes, s.rateShare)
	s.mu.Lock()
	s.transfers = append(s.transfers, Transfer{
		Model: params.ByName("model"), Version: params.ByName("version"), Zone: r.Header.Get(HeaderZone),
		Bytes: n, Complete: n == s.opts.WeightBytes,
	})
	s.mu.Unlock()
	if n < s.opts.WeightBytes {
		serve.Abort()
	}
}

// rateShare returns the rate of one transfer: an equal part of the total rate.
func (s *Server) rateShare() int64 {
	rate := s.rateOverride.Load()
	if rate == 0 {
		rate = s.opts.Rate
	}
	return max(1, rate/max(1, s.active.Load()))
}

// cutWriter fails every write while the store is down.
type cutWriter struct {
	server *Server
	w      http.ResponseWriter
}

// Write implements io.Writer.
func (c cutWriter) Write(b []byte) (int, error) {
	if c.server.down.Load() {
		return 0, http.ErrAbortHandler
	}
	return c.w.Write(b)
}
