package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/standalone/httpplatform"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// server is an HTTP server on a loopback port.
type server struct {
	addr string
	http *http.Server
	wg   conc.WaitGroup
}

// startServer serves h on a free loopback port.
func startServer(h http.Handler) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, &Error{"listen", err}
	}
	s := &server{addr: ln.Addr().String(), http: &http.Server{Handler: h}}
	s.wg.Go(func() { _ = s.http.Serve(ln) })
	return s, nil
}

// stop waits for the requests in flight and ends the server.
func (s *server) stop() {
	_ = s.http.Shutdown(context.Background())
	s.wg.Wait()
}

// minimalBackend returns a back end that answers plain calls and generations at the least
// possible cost, so that the measured time is that of the gateway and its clients.
func minimalBackend(chunkTokens int) http.Handler {
	r := httprouter.New()
	echoRequestID := func(w http.ResponseWriter, in *http.Request) {
		w.Header().Set(httpplatform.HeaderRequestID, in.Header.Get(httpplatform.HeaderRequestID))
	}
	constant := func(body string) httprouter.Handle {
		return func(w http.ResponseWriter, in *http.Request, _ httprouter.Params) {
			echoRequestID(w, in)
			_, _ = io.WriteString(w, body)
		}
	}
	r.GET("/v1/health", constant(`{"leaving":false}`))
	r.GET("/v1/load", constant(`{"tokens_per_s":1000,"version":1}`))
	r.POST("/v1/calls/:call", func(w http.ResponseWriter, in *http.Request, _ httprouter.Params) {
		body, _ := io.ReadAll(in.Body)
		echoRequestID(w, in)
		_, _ = w.Write(body)
	})
	tokens := strings.TrimSuffix(strings.Repeat("1234567,", chunkTokens), ",")
	r.POST("/v1/generate", func(w http.ResponseWriter, in *http.Request, _ httprouter.Params) {
		var req platform.GenerateRequest
		_ = json.NewDecoder(in.Body).Decode(&req)
		echoRequestID(w, in)
		control := http.NewResponseController(w)
		for i := 0; i < req.MaxTokens; i += chunkTokens {
			done := ""
			if i+chunkTokens >= req.MaxTokens {
				done = fmt.Sprintf(`,"done":true,"total":%d`, req.MaxTokens)
			}
			_, _ = fmt.Fprintf(w, `{"request_id":"%s","index":%d,"tokens":[%s],"version":1%s}`+"\n", req.RequestID, i, tokens, done)
			_ = control.Flush()
		}
	})
	return r
}
