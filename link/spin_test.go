package link_test

import (
	"context"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/link/faultnet"
)

// slowCloseConn is a connection whose Close returns only after released is closed.
type slowCloseConn struct {
	net.Conn
	closing, released chan struct{}
	once              sync.Once
}

// Close implements net.Conn.
func (c *slowCloseConn) Close() error {
	c.once.Do(func() { close(c.closing) })
	<-c.released
	return c.Conn.Close()
}

// processorTime returns the processor time that the process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Guards against callers that spin in a stream of a session that is being closed. On one core they keep the
// goroutine that closes it from running.
func TestCallersLeaveASessionBeforeItsConnectionIsClosed(t *testing.T) {
	const callers = 100
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	network := faultnet.New()
	opts := fastOptions(network)
	closing, released := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	defer release()
	opts.DialContext = func(ctx context.Context, netw, addr string) (net.Conn, error) {
		c, err := network.Dialer("a")(ctx, netw, addr)
		if err != nil {
			return nil, err
		}
		return &slowCloseConn{Conn: c, closing: closing, released: released}, nil
	}
	entered := make(chan struct{}, callers)
	a := startPeer(t, "a", 1, anyPort(), opts, nil)
	b := startPeer(t, "b", 1, anyPort(), link.Options{DrainTimeout: time.Millisecond}, func(n *link.Node) {
		n.Handle("hang", func(ctx context.Context, _ []byte) ([]byte, error) {
			entered <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		})
	})
	errs := make(chan error, callers)
	for range callers {
		go func() {
			_, err := a.Call(t.Context(), b.self, link.CauseForward, "hang", nil)
			errs <- err
		}()
	}
	for range callers {
		<-entered
	}
	network.Silence()
	<-closing
	start, used := time.Now(), processorTime(t)
	timeout := time.After(5 * time.Second)
	for n := range callers {
		select {
		case err := <-errs:
			is.Equal(link.CodeOf(err), link.Unknown) // the handler had started
		case <-timeout:
			t.Fatalf("%d of %d callers wait for the connection to be closed, %v of processor time in %v",
				callers-n, callers, processorTime(t)-used, time.Since(start))
		}
	}
	t.Logf("callers had their errors in %v, %v of processor time", time.Since(start), processorTime(t)-used)
}
