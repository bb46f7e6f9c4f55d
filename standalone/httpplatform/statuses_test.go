package httpplatform_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/standalone/httpplatform"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// Guards against an answer without a valid status that is taken for one by calls, health checks, orders or reads of the log and
// the instance list, and against a connection that is used after it.
func TestAnswerWithoutAStatusIsNone(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999", "+20"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		t.Cleanup(func() { _ = listener.Close() })
		var conns atomic.Int32
		go answerStatus(listener, status, &conns)
		addr, ctx := listener.Addr().String(), context.Background()
		engine := httpplatform.NewEngine(testOptions)
		plainService := httpplatform.NewPlainService(testOptions)
		logClient := httpplatform.NewLog(addr, testOptions)
		instances := httpplatform.NewInstanceList(addr, testOptions)
		t.Cleanup(func() { engine.Close(); plainService.Close(); logClient.Close(); instances.Close() })
		for name, call := range map[string]func() error{
			"call": func() error {
				_, err := plainService.Do(ctx, addr, platform.PlainRequest{RequestID: "r", Call: "book"})
				return err
			},
			"key": func() error { _, err := plainService.AskByKey(ctx, addr, "k"); return err },
			"generation": func() error {
				_, err := engine.Generate(ctx, addr, platform.GenerateRequest{RequestID: "r"})
				return err
			},
			"health":       func() error { _, err := plainService.Health(ctx, addr); return err },
			"load report":  func() error { _, err := engine.Load(ctx, addr); return err },
			"cache":        func() error { _, err := engine.CacheEvents(ctx, addr, 0); return err },
			"order":        func() error { return engine.Order(ctx, addr, platform.Order{}) },
			"append":       func() error { _, err := logClient.Append(ctx, "s", []byte("x")); return err },
			"read":         func() error { _, err := logClient.Read(ctx, "s", 0, 1, 0); return err },
			"cancellation": func() error { return engine.Cancel(ctx, addr, "r") },
			"list":         func() error { _, err := instances.List(ctx); return err },
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				is := is.New(t)
				for range 2 {
					before := conns.Load()
					is.Equal(platform.CodeOf(call()), platform.BadAnswer)
					is.True(conns.Load() > before)
				}
			})
		}
	}
}

// answerStatus answers each request with a status and keeps the connection open.
func answerStatus(listener net.Listener, status string, conns *atomic.Int32) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		conns.Add(1)
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body) // a client that leaves ends the connection
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\n%s: %s\r\nContent-Length: 2\r\n\r\n{}", status, httpplatform.HeaderRequestID, r.Header.Get(httpplatform.HeaderRequestID))
			}
		}()
	}
}
