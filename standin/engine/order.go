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
	weightTransferTimeout = 60 * time.Second
	// weightProgressTimeout is how long a transfer may receive no byte before it fails.
	weightProgressTimeout = 2 * time.Second
	weightBufferBytes     = 256 << 10
)

// orderError reports that an order was refused or failed.
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
	runCtx := s.runCtx
	s.mu.Unlock()
	record := s.ledger.recordOrder(order)
	var orderErr *orderError
	serve.Processing(w, func() { orderErr = s.executeOrder(runCtx, order, record) })
	s.ledger.recordOrderEnd(record, orderErr)
	if runCtx.Err() != nil || (orderErr == nil && takeFault(&s.loseAnswers)) {
		serve.Abort()
	}
	if orderErr != nil {
		serve.Refuse(w, orderErr.status, orderErr.code, orderErr.message, orderErr.status == http.StatusServiceUnavailable)
		return
	}
	serve.JSON(w, http.StatusOK, map[string]int64{"version": s.Version()})
}

// executeOrder waits until earlier orders have ended, then checks the order and executes it. It
// continues if the client disconnects, because an engine does not undo an order whose answer
// was lost.
func (s *Server) executeOrder(runCtx context.Context, order platform.Order, record *OrderRecord) *orderError {
	select {
	case s.orderSlot <- struct{}{}:
	case <-runCtx.Done():
		return &orderError{http.StatusServiceUnavailable, platform.Unavailable, "engine stopped"}
	case <-time.After(time.Until(order.Deadline)):
		return &orderError{http.StatusConflict, platform.Refused, "deadline passed"}
	}
	defer func() { <-s.orderSlot }()
	if err := s.checkOrder(order); err != nil {
		return err
	}
	s.ledger.recordOrderStart(record)
	switch order.Kind {
	case platform.LoadVersion:
		return s.loadVersion(runCtx, order)
	case platform.SetRole:
		s.mu.Lock()
		s.role = order.Role
		s.mu.Unlock()
		return nil
	case platform.LoadAdapter:
		return nil
	default:
		return &orderError{http.StatusBadRequest, platform.Refused, "unknown order kind"}
	}
}

// checkOrder refuses an order whose deadline has passed or whose fencing token is outdated.
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
		return &orderError{http.StatusConflict, platform.Refused, fmt.Sprintf("fencing token %d is lower than %d", order.Fence, s.maxFence)}
	}
	s.maxFence = order.Fence
	return nil
}

// loadVersion fetches the weights of the order's version unless they are held, and activates them.
func (s *Server) loadVersion(runCtx context.Context, order platform.Order) *orderError {
	s.mu.Lock()
	active, held := s.version == order.Version, slices.Contains(s.held, order.Version)
	s.mu.Unlock()
	if active {
		return nil
	}
	if !held {
		if err := s.fetchWeights(runCtx, order); err != nil {
			return &orderError{http.StatusServiceUnavailable, platform.Unavailable, "load weights: " + err.Error()}
		}
	}
	if takeFault(&s.failSwaps) {
		return &orderError{http.StatusServiceUnavailable, platform.Unavailable, "swap failed"}
	}
	s.setSwapping(true)
	defer s.setSwapping(false)
	if !serve.Sleep(runCtx, s.opts.SwapTime) {
		return &orderError{http.StatusServiceUnavailable, platform.Unavailable, "engine stopped"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runCtx != runCtx {
		return &orderError{http.StatusServiceUnavailable, platform.Unavailable, "engine stopped"}
	}
	s.version = order.Version
	s.held = append(slices.DeleteFunc(s.held, func(v int64) bool { return v == order.Version }), order.Version)
	s.held = s.held[max(0, len(s.held)-maxHeldVersions):]
	return nil
}

func (s *Server) setSwapping(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swapping = on
}

// fetchWeights reads the weights of the order's version from the order's source.
func (s *Server) fetchWeights(runCtx context.Context, order platform.Order) error {
	ctx, cancel := context.WithTimeout(runCtx, weightTransferTimeout)
	defer cancel()
	stallTimer := time.AfterFunc(weightProgressTimeout, cancel)
	defer stallTimer.Stop()
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
	buf := make([]byte, weightBufferBytes)
	var received int64
	for {
		n, err := resp.Body.Read(buf)
		received += int64(n)
		stallTimer.Reset(weightProgressTimeout)
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	if received != resp.ContentLength {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// handleWeights sends the weights of a held version to another engine.
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

// takeFault reports whether a fault is pending and decrements n. A negative n stays as it is.
func takeFault(n *atomic.Int64) bool {
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
