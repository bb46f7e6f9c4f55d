package serve

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against a handler that starts after Close has begun to wait for the handlers: a connection's goroutine may
// have read a request just before, and the handler would run on after Close.
func TestNoHandlerStartsAfterClose(t *testing.T) {
	is := is.New(t)
	runs := 0
	s, err := Start("", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs++ }))
	is.NoErr(err)
	s.Close()
	func() {
		defer func() { is.True(recover() != nil) }() // closes the connection without an answer
		s.handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	}()
	is.Equal(runs, 0)
}
