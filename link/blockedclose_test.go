package link_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/link/faultnet"
)

// Guards against callers that wait beyond their contexts for the close of a stream, on a connection that takes no bytes,
// although they have their response.
func TestCallerLeavesTheCloseOfItsStreamWithItsContext(t *testing.T) {
	for name, answer := range map[string]error{"response": nil, "refusal": errors.New("refused")} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var blocked atomic.Bool
			a := startPeer(t, "a", 1, anyPort(), patientOptions(faultnet.BlockingDialer("", &blocked)), nil)
			b := startPeer(t, "b", 1, anyPort(), link.Options{}, func(n *link.Node) {
				n.Handle("block", func(context.Context, []byte) ([]byte, error) {
					blocked.Store(true) // the caller's connection, after the request
					return nil, answer
				})
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			done := make(chan error, 1)
			go func() {
				_, err := a.Call(ctx, b.self, link.CauseForward, "block", nil)
				done <- err
			}()
			select {
			case err := <-done:
				is.Equal(err == nil, answer == nil)
			case <-time.After(40 * time.Second):
				t.Fatal("the caller waits beyond its context")
			}
		})
	}
}
