// Package store is a stand-in of the platform's rate-limited weight store.
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

// HeaderZone is the request header with the requester's zone ("region/data-centre").
const HeaderZone = "Cicadasill-Zone"

// Options configure the store.
type Options struct {
	Addr string
	// WeightBytes is the size of a version's weights.
	WeightBytes int64
	// Rate is the number of bytes per second that all transfers share.
	Rate int64
}

// Transfer is one transfer of weights.
type Transfer struct {
	Model   string
	Version string
	Zone    string
	Bytes   int64
	Whole   bool
}

// Server is the weight store.
type Server struct {
	*serve.Server
	opts   Options
	down   atomic.Bool
	slow   atomic.Int64 // bytes per second; 0 means Options.Rate
	active atomic.Int64

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
	r.GET("/v1/weights/:model/:version", s.handle)
	var err error
	s.Server, err = serve.Start(opts.Addr, r)
	return s, err
}

// SetDown makes the store refuse requests and cuts the transfers in progress.
func (s *Server) SetDown(on bool) { s.down.Store(on) }

// SetRate changes the bytes per second that all transfers share; 0 means Options.Rate.
func (s *Server) SetRate(bytesPerS int64) { s.slow.Store(bytesPerS) }

// Transfers returns all transfers so far, cut ones included.
func (s *Server) Transfers() []Transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Transfer(nil), s.transfers...)
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	if s.down.Load() {
		serve.Refuse(w, http.StatusServiceUnavailable, platform.Unavailable, "store down", true)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(s.opts.WeightBytes, 10))
	s.active.Add(1)
	defer s.active.Add(-1)
	n := serve.WritePaced(r.Context(), cutWriter{s, w}, s.opts.WeightBytes, s.share)
	s.mu.Lock()
	s.transfers = append(s.transfers, Transfer{
		Model: params.ByName("model"), Version: params.ByName("version"), Zone: r.Header.Get(HeaderZone),
		Bytes: n, Whole: n == s.opts.WeightBytes,
	})
	s.mu.Unlock()
	if n < s.opts.WeightBytes {
		serve.Abort()
	}
}

// share is one transfer's part of the rate.
func (s *Server) share() int64 {
	rate := s.slow.Load()
	if rate == 0 {
		rate = s.opts.Rate
	}
	return max(1, rate/max(1, s.active.Load()))
}

// cutWriter fails once the store is down.
type cutWriter struct {
	s *Server
	w http.ResponseWriter
}

// Write implements io.Writer.
func (c cutWriter) Write(b []byte) (int, error) {
	if c.s.down.Load() {
		return 0, http.ErrAbortHandler
	}
	return c.w.Write(b)
}
