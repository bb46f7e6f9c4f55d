package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin/serve"
)

// Bounds of a weight transfer.
const (
	weightTimeout = 60 * time.Second
	// weightProgress is the longest time without a byte from the source.
	weightProgress = 2 * time.Second
	weightChunk    = 256 << 10
)

// orderError is the refusal or failure of an order.
type orderError struct {
	status  int
	code    platform.Code
	message string
}

// Error implements error.
func (e *orderError) Error() string { return string(e.code) + ": " + e.message }

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, _ := serve.Body(r)
	var order platform.Order
	if err := json.Unmarshal(body, &order); err != nil {
		serve.Refuse(w, http.StatusBadRequest, platform.Refused, err.Error(), false)
		return
	}
	s.mu.Lock()
	life := s.life
	s.mu.Unlock()
	record := s.ledger.order(order)
	var failed *orderError
	serve.Processing(w, func() { failed = s.carryOut(life, order, record) })
	s.ledger.orderEnded(record, failed)
	if life.Err() != nil || (failed == nil && take(&s.loseSwaps)) {
		serve.Abort()
	}
	if failed != nil {
		serve.Refuse(w, failed.status, failed.code, failed.message, failed.status == http.StatusServiceUnavailable)
		return
	}
	serve.JSON(w, http.StatusOK, map[string]int64{"version": s.Version()})
}

// carryOut waits for its turn, checks the order and executes it. It goes on when the client
// has left, because an engine does not undo an order whose answer is lost.
func (s *Server) carryOut(life context.Context, order platform.Order, record *OrderRecord) *orderError {
	select {
	case s.orderSlot <- struct{}{}:
	case <-life.Done():
		return &orderError{http.StatusServiceUnavailable, platform.Unavailable, "engine stopped"}
	case <-time.After(time.Until(order.Deadline)):
		return &orderError{http.StatusConflict, platform.Refused, "deadline passed"}
	}
	defer func() { <-s.orderSlot }()
	if err := s.checkOrder(order); err != nil {
		return err
	}
	s.ledger.orderStarted(record)
	switch order.Kind {
	case platform.LoadVersion:
		return s.loadVersion(life, order)
	case platform.SetRole:
		s.mu.Lock()
		s.role = order.Role
		s.mu.Unlock()
		return nil
	case platform.LoadAdapter:
		return nil
	default:
		return &orderError{http.StatusBadRequest, platform.Refused, "unknown kind of order"}
	}
}

func (s *Server) checkOrder(order platform.Order) *orderError {
	if time.Now().After(order.Deadline) {
		return &orderError{http.StatusConflict, platform.Refused, "deadline passed"}
	}
	if !s.opts.ChecksFencing {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if order.Fence < s.maxFence {
		return &orderError{http.StatusConflict, platform.Refused, fmt.Sprintf("fencing number %d is below %d", order.Fence, s.maxFence)}
	}
	s.maxFence = order.Fence
	return nil
}

func (s *Server) loadVersion(life context.Context, order platform.Order) *orderError {
	s.mu.Lock()
	active, held := s.version == order.Version, slices.Contains(s.held, order.Version)
	s.mu.Unlock()
	if active {
		return nil
	}
	if !held {
		if err := s.fetchWeights(life, order); err != nil {
			return &orderError{http.StatusServiceUnavailable, platform.Unavailable, "load weights: " + err.Error()}
		}
	}
	if take(&s.failSwaps) {
		return &orderError{http.StatusServiceUnavailable, platform.Unavailable, "swap failed"}
	}
	s.setSwapping(true)
	defer s.setSwapping(false)
	if !serve.Sleep(life, s.opts.SwapTime) {
		return &orderError{http.StatusServiceUnavailable, platform.Unavailable, "engine stopped"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life != life {
		return &orderError{http.StatusServiceUnavailable, platform.Unavailable, "engine stopped"}
	}
	s.version = order.Version
	s.held = append(slices.DeleteFunc(s.held, func(v int64) bool { return v == order.Version }), order.Version)
	s.held = s.held[max(0, len(s.held)-heldLimit):]
	return nil
}

func (s *Server) setSwapping(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swapping = on
}

// fetchWeights reads the version's weights from the order's source.
func (s *Server) fetchWeights(life context.Context, order platform.Order) error {
	ctx, cancel := context.WithTimeout(life, weightTimeout)
	defer cancel()
	silent := time.AfterFunc(weightProgress, cancel)
	defer silent.Stop()
	url := fmt.Sprintf("http://%s/v1/weights/%d", order.Source, order.Version)
	if order.Source == "store" || order.Source == "" {
		url = fmt.Sprintf("http://%s/v1/weights/%s/%d", s.opts.StoreAddr, s.opts.Model, order.Version)
	}
	resp, err := s.get(ctx, url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	buf := make([]byte, weightChunk)
	var got int64
	for {
		n, err := resp.Body.Read(buf)
		got += int64(n)
		silent.Reset(weightProgress)
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	if got != resp.ContentLength {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// handleWeights sends a held version's weights to another engine.
func (s *Server) handleWeights(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	version, _ := strconv.ParseInt(params.ByName("version"), 10, 64)
	s.mu.Lock()
	held := slices.Contains(s.held, version)
	s.mu.Unlock()
	if !held {
		serve.Refuse(w, http.StatusNotFound, platform.Refused, "version not held", false)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(s.opts.WeightBytes, 10))
	n := serve.WritePaced(r.Context(), w, s.opts.WeightBytes, func() int64 { return s.opts.WeightRate })
	s.transfers.add("weights", r.Header.Get(headerZone), s.opts.Zone.String(), n)
}

// take consumes one of n pending faults; a negative n never runs out.
func take(n *atomic.Int64) bool {
	for {
		v := n.Load()
		if v == 0 {
			return false
		}
		if v < 0 || n.CompareAndSwap(v, v-1) {
			return true
		}
	}
}
