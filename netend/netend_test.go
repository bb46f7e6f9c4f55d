package netend_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/netend"
)

// part is what the other side sends before it ends the connection.
const part = "part of an answer"

// upload is more than the buffers of both ends hold.
var upload = make([]byte, 32<<20)

// pair returns both ends of a connection, ours wrapped.
func pair(t *testing.T) (ours net.Conn, theirs *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close(); _ = accepted.Close() })
	_ = dialed.SetDeadline(time.Now().Add(10 * time.Second))
	return netend.Wrap(dialed), accepted.(*net.TCPConn)
}

// reset sends part and resets the connection.
func reset(t *testing.T, theirs *net.TCPConn) {
	t.Helper()
	_, _ = theirs.Write([]byte(part))
	time.Sleep(time.Millisecond) // lets the bytes arrive before the reset
	_ = theirs.SetLinger(0)
	_ = theirs.Close()
}

// Guards against an answer without a length that counts as whole although its connection was reset (MIXED): the kernel reports the reset
// once, to the write of the request's body, and the end of the connection to the read.
func TestResetSeenByAWriteIsNoEnd(t *testing.T) {
	is := is.New(t)
	ours, theirs := pair(t)
	wrote := make(chan error, 1)
	go func() {
		_, err := ours.Write(upload)
		wrote <- err
	}()
	time.Sleep(10 * time.Millisecond) // until the write waits
	reset(t, theirs)
	is.True(errors.Is(<-wrote, syscall.ECONNRESET))
	got, err := io.ReadAll(ours)
	is.Equal(string(got), part)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// Guards against the same while the write that has seen the reset has not returned yet.
func TestResetDuringWritesIsNoEnd(t *testing.T) {
	for range 500 {
		ours, theirs := pair(t)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for {
				if _, err := ours.Write(upload[:4<<10]); err != nil {
					return
				}
			}
		}()
		go reset(t, theirs)
		if _, err := io.ReadAll(ours); err == nil {
			t.Fatal("a connection that was reset has ended like one that was closed")
		}
		_ = ours.Close()
		<-done
	}
}

// Guards against sound answers that count as broken: one whose server closes its side early, while the upload waits or fails.
func TestCloseDuringWritesIsAnEnd(t *testing.T) {
	for name, after := range map[string]func(theirs *net.TCPConn){
		"reads no more": func(*net.TCPConn) {},
		"reads on":      func(theirs *net.TCPConn) { go func() { _, _ = io.Copy(io.Discard, theirs) }() },
		"is gone":       func(theirs *net.TCPConn) { time.Sleep(5 * time.Millisecond); _ = theirs.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ours, theirs := pair(t)
			wrote := make(chan error, 1)
			go func() {
				for {
					if _, err := ours.Write(upload); err != nil {
						wrote <- err
						return
					}
				}
			}()
			time.Sleep(5 * time.Millisecond)
			_, _ = theirs.Write([]byte(part))
			_ = theirs.CloseWrite()
			after(theirs)
			start := time.Now()
			got, err := io.ReadAll(ours)
			is.NoErr(err)
			is.Equal(string(got), part)
			is.True(time.Since(start) < 2*time.Second)
			is.True(<-wrote != nil) // a request whose answer has ended is not sent on
		})
	}
}

// Guards against a lost end that is reported as the caller's own deadline.
func TestDeadlineOfTheCallerIsKept(t *testing.T) {
	is := is.New(t)
	ours, _ := pair(t)
	is.NoErr(ours.SetReadDeadline(time.Now()))
	_, err := ours.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}
