// Package serve is the HTTP server that all stand-ins use. It can simulate a crash, restart at
// the same address and silence its connections.
package serve

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/standalone/httpplatform"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// processingInterval is how often a server sends 102 Processing while it works on a request. It
// is well below the clients' progress deadline of 1.5 s.
const processingInterval = 300 * time.Millisecond

// Server is the HTTP server of one stand-in.
type Server struct {
	handler http.Handler

	mu         sync.Mutex
	addr       string
	httpServer *http.Server
	cancel     context.CancelFunc
	conns      map[*conn]struct{}
	silent     bool
	wg         conc.WaitGroup

	// handlers counts running handlers. None is added once closed is set, because Close waits for them.
	handlers sync.WaitGroup
	closed   bool
}

// Start serves handler at addr, or at a free loopback port if addr is empty.
func Start(addr string, handler http.Handler) (*Server, error) {
	s := &Server{addr: addr, conns: map[*conn]struct{}{}}
	s.handler = s.echoRequestID(handler)
	return s, s.Restart()
}

// Addr returns the server's host:port. It stays the same across restarts.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Restart listens again at the same address after a crash. It does nothing if the server listens.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpServer != nil {
		return nil
	}
	ln, err := listen(s.addr)
	if err != nil {
		return &StartError{Addr: s.addr, Err: err}
	}
	s.addr, s.closed = ln.Addr().String(), false
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	hs := &http.Server{
		Handler:     s.handler,
		BaseContext: func(net.Listener) context.Context { return ctx },
		ErrorLog:    log.New(io.Discard, "", 0),
	}
	s.httpServer = hs
	s.wg.Go(func() { _ = hs.Serve(&listener{Listener: ln, server: s}) })
	return nil
}

// StartError reports that a stand-in could not listen.
type StartError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *StartError) Error() string { return "listen on " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the error of the listen call.
func (e *StartError) Unwrap() error { return e.Err }

// Crash stops listening, resets every connection and cancels the requests in progress.
func (s *Server) Crash() {
	s.mu.Lock()
	hs, cancel := s.httpServer, s.cancel
	s.httpServer = nil
	conns := s.openConns()
	s.mu.Unlock()
	if hs == nil {
		return
	}
	cancel()
	for _, c := range conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = hs.Close()
	s.wg.Wait()
}

// Up reports whether the server is listening.
func (s *Server) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.httpServer != nil
}

// Close stops the server, cancels the requests in progress and waits for their handlers. A
// handler must not call it.
func (s *Server) Close() {
	s.Crash()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.handlers.Wait()
}

// beginHandler counts a handler as running. It returns false if the server has been closed.
func (s *Server) beginHandler() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.handlers.Add(1)
	return true
}

// SilenceOpen permanently silences the connections that are open now: they stay open, but data
// in both directions is discarded. New connections are not affected.
func (s *Server) SilenceOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.openConns() {
		c.silence()
	}
}

// SetSilent silences open and new connections while on is true. Connections that it silenced
// stay silent afterwards.
func (s *Server) SetSilent(on bool) {
	s.mu.Lock()
	s.silent = on
	s.mu.Unlock()
	if on {
		s.SilenceOpen()
	}
}

// openConns returns the open connections. The caller holds mu.
func (s *Server) openConns() []*conn {
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// echoRequestID wraps next so that every answer repeats the request id in its header.
func (s *Server) echoRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.beginHandler() {
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		defer s.handlers.Done()
		w.Header().Set(httpplatform.HeaderRequestID, r.Header.Get(httpplatform.HeaderRequestID))
		next.ServeHTTP(w, r)
	})
}

// JSON writes v as a JSON answer.
func JSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// Refuse writes a JSON error answer. notRun adds the header that states that the request was not run.
func Refuse(w http.ResponseWriter, status int, code platform.Code, message string, notRun bool) {
	if notRun {
		w.Header().Set(httpplatform.HeaderNotRun, "1")
	}
	if code == platform.LeavingBackend {
		w.Header().Set(httpplatform.HeaderLeaving, "1")
	}
	JSON(w, status, httpplatform.ErrorBody{Code: code, Message: message})
}

// Abort ends the handler by a panic that closes the connection without a complete answer.
func Abort() { panic(http.ErrAbortHandler) }

// Processing runs f in another goroutine and sends 102 Processing periodically until f returns.
func Processing(w http.ResponseWriter, f func()) {
	done := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() {
		defer close(done)
		f()
	})
	defer wg.Wait()
	t := time.NewTicker(processingInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			w.WriteHeader(http.StatusProcessing)
		}
	}
}

// Sleep waits until d has passed or ctx is done, and reports whether d has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Body reads a request's body, at most 64 MiB of it, and reports whether that succeeded.
func Body(r *http.Request) ([]byte, bool) {
	const limit = 64 << 20
	data, err := io.ReadAll(io.LimitReader(r.Body, limit))
	return data, err == nil || errors.Is(err, io.EOF)
}
