package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echoServer returns the address of a server that sends back what it receives.
func echoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// Guards against a silence that ends, spares a connection that it should not, or reaches new connections.
func TestSilenceIsForGood(t *testing.T) {
	is := is.New(t)
	p, err := newProxy(echoServer(t))
	is.NoErr(err)
	defer p.close()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", p.addr())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	answers := func(conn net.Conn) bool {
		_, err := conn.Write([]byte("x"))
		is.NoErr(err)
		_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, err = conn.Read(make([]byte, 1))
		return err == nil
	}
	first := dial()
	is.True(answers(first))
	second := dial()
	is.True(answers(second))
	p.silence(silence{everySecond: true, fromServer: true})
	is.True(!answers(first))
	is.True(answers(second))
	is.True(answers(dial()))
	p.silence(silence{toServer: true, newAfter: 100 * time.Millisecond})
	late := dial()
	is.True(!answers(second))
	is.True(!answers(late))
	is.True(answers(dial()))
	is.True(!answers(late))
	is.True(!answers(first))
}
