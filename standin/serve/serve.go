// Package serve is the HTTP server under the stand-ins. It can crash, restart at the same
// address, and let connections go silent.
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

// processingPeriod is how often a server that works on a request shows that it is alive. It
// is well under the clients' progress deadline of 1.5 s.
const processingPeriod = 300 * time.Millisecond

// Server is one stand-in's listener and connections.
type Server struct {
	handler http.Handler

	mu     sync.Mutex
	addr   string
	hs     *http.Server
	cancel context.CancelFunc
	conns  map[*conn]struct{}
	silent bool
	wg     conc.WaitGroup

	handlers sync.WaitGroup
}

// Start serves handler at addr; an empty addr means a free loopback port.
func Start(addr string, handler http.Handler) (*Server, error) {
	s := &Server{addr: addr, conns: map[*conn]struct{}{}}
	s.handler = s.echo(handler)
	return s, s.Restart()
}

// Addr returns the server's host:port.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Restart listens again at the same address after a crash.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hs != nil {
		return nil
	}
	ln, err := listen(s.addr)
	if err != nil {
		return &StartError{Addr: s.addr, Err: err}
	}
	s.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	hs := &http.Server{
		Handler:     s.handler,
		BaseContext: func(net.Listener) context.Context { return ctx },
		ErrorLog:    log.New(io.Discard, "", 0),
	}
	s.hs = hs
	s.wg.Go(func() { _ = hs.Serve(&listener{Listener: ln, s: s}) })
	return nil
}

// StartError reports that a stand-in could not listen.
type StartError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *StartError) Error() string { return "listen on " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// Crash stops listening and resets every connection; requests in progress are cancelled.
func (s *Server) Crash() {
	s.mu.Lock()
	hs, cancel := s.hs, s.cancel
	s.hs = nil
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

// Up reports whether the server listens.
func (s *Server) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hs != nil
}

// Close ends the server and waits for the requests in progress, which are cancelled. It must
// not be called from a request.
func (s *Server) Close() {
	s.Crash()
	s.handlers.Wait()
}

// SilenceOpen makes the connections that are open now silent for good: what arrives is
// discarded and what is written is lost. New connections work.
func (s *Server) SilenceOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.openConns() {
		c.silence()
	}
}

// SetSilent makes open and new connections silent. Connections opened during the silence
// stay silent after it.
func (s *Server) SetSilent(on bool) {
	s.mu.Lock()
	s.silent = on
	s.mu.Unlock()
	if on {
		s.SilenceOpen()
	}
}

func (s *Server) openConns() []*conn {
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// echo returns the request id in every answer.
func (s *Server) echo(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handlers.Add(1)
		defer s.handlers.Done()
		w.Header().Set(httpplatform.HeaderRequestID, r.Header.Get(httpplatform.HeaderRequestID))
		next.ServeHTTP(w, r)
	})
}

// JSON writes v with a length.
func JSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// Refuse writes a refusal. notRun adds the header that proves that nothing was done.
func Refuse(w http.ResponseWriter, status int, code platform.Code, message string, notRun bool) {
	if notRun {
		w.Header().Set(httpplatform.HeaderNotRun, "1")
	}
	if code == platform.LeavingBackend {
		w.Header().Set(httpplatform.HeaderLeaving, "1")
	}
	JSON(w, status, httpplatform.ErrorBody{Code: code, Message: message})
}

// Abort cuts the connection without a complete answer.
func Abort() { panic(http.ErrAbortHandler) }

// Processing calls f in another goroutine and sends 102 Processing until it returns.
func Processing(w http.ResponseWriter, f func()) {
	done := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() {
		defer close(done)
		f()
	})
	defer wg.Wait()
	t := time.NewTicker(processingPeriod)
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

// Sleep waits for d or until ctx ends, and reports whether d passed.
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

// Body reads a request's whole body.
func Body(r *http.Request) ([]byte, bool) {
	const limit = 64 << 20
	data, err := io.ReadAll(io.LimitReader(r.Body, limit))
	return data, err == nil || errors.Is(err, io.EOF)
}
