package link_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/link/faultnet"
)

// patientOptions returns options with which a session that has gone silent is given up after a minute.
func patientOptions(dial link.DialFunc) link.Options {
	return link.Options{DialContext: dial, KeepaliveInterval: time.Minute, KeepaliveTimeout: time.Minute, PingAfter: time.Minute}
}

// callUntil makes calls, each with a context that ends after patience, and returns the codes of their errors. It
// fails the test if they are not all back within 20 s.
func callUntil(t *testing.T, a, b *peer, calls int, patience time.Duration) []link.Code {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	codes := make(chan link.Code, calls)
	for range calls {
		go func() {
			_, err := a.Call(ctx, b.self, link.CauseForward, "echo", nil)
			codes <- link.CodeOf(err)
		}()
	}
	var got []link.Code
	timeout := time.After(20 * time.Second)
	for range calls {
		select {
		case code := <-codes:
			got = append(got, code)
		case <-timeout:
			t.Fatalf("%d of %d callers wait beyond their contexts", calls-len(got), calls)
		}
	}
	return got
}

// Guards against callers that wait for the ping of a silent session beyond their contexts.
func TestCallerLeavesAPingWithItsContext(t *testing.T) {
	is := is.New(t)
	network := faultnet.New()
	opts := patientOptions(network.Dialer("a"))
	opts.PingAfter = time.Millisecond
	a := startPeer(t, "a", 1, anyPort(), opts, nil)
	b := startPeer(t, "b", 1, anyPort(), link.Options{}, echo)
	_, err := a.Call(t.Context(), b.self, link.CauseForward, "echo", nil)
	is.NoErr(err)
	network.Silence()
	time.Sleep(2 * opts.PingAfter)
	for _, code := range callUntil(t, a, b, 10, 50*time.Millisecond) {
		is.Equal(code, link.NotSent)
	}
}

// Guards against callers that wait beyond their contexts for a stream, of which a session opens only so many
// before its peer accepts them.
func TestCallerLeavesAFullSessionWithItsContext(t *testing.T) {
	is := is.New(t)
	network := faultnet.New()
	a := startPeer(t, "a", 1, anyPort(), patientOptions(network.Dialer("a")), nil)
	b := startPeer(t, "b", 1, anyPort(), link.Options{}, echo)
	_, err := a.Call(t.Context(), b.self, link.CauseForward, "echo", nil)
	is.NoErr(err)
	network.Silence()
	for _, code := range callUntil(t, a, b, 300, 500*time.Millisecond) {
		is.True(code == link.NotSent || code == link.Unknown)
	}
}

// Guards against callers that wait beyond their contexts for a connection that takes no bytes.
func TestCallerLeavesABlockedWriteWithItsContext(t *testing.T) {
	is := is.New(t)
	var blocked atomic.Bool
	a := startPeer(t, "a", 1, anyPort(), patientOptions(faultnet.BlockingDialer("", &blocked)), nil)
	b := startPeer(t, "b", 1, anyPort(), link.Options{}, echo)
	_, err := a.Call(t.Context(), b.self, link.CauseForward, "echo", nil)
	is.NoErr(err)
	blocked.Store(true)
	for _, code := range callUntil(t, a, b, 10, 50*time.Millisecond) {
		is.True(code == link.NotSent || code == link.Unknown)
	}
}
