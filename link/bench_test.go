package link_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/cicadasill/cicadasill/link"
)

// BenchmarkCall measures the time of a unary exchange over loopback and its bytes on the connection.
func BenchmarkCall(b *testing.B) {
	caller := startPeer(b, "a", 1, anyPort(), link.Options{}, nil)
	callee := startPeer(b, "b", 1, anyPort(), link.Options{}, echo)
	for range b.N {
		if _, err := caller.Call(b.Context(), callee.self, link.CauseFeed, "echo", nil); err != nil {
			b.Fatal(err)
		}
	}
	for _, l := range caller.Bytes() {
		if l.Cause == link.CauseFeed {
			b.ReportMetric(float64(l.Sent+l.Received)/float64(b.N), "B/call")
		}
	}
}

// BenchmarkForward measures the throughput of streamed responses of 1 MiB.
func BenchmarkForward(b *testing.B) {
	const size = 1 << 20
	caller := startPeer(b, "a", 1, anyPort(), link.Options{}, nil)
	callee := startPeer(b, "b", 1, anyPort(), link.Options{}, func(n *link.Node) {
		n.HandleHTTP(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) }))
	})
	b.SetBytes(size)
	for range b.N {
		req, _ := http.NewRequest(http.MethodGet, "/", nil)
		resp, err := caller.Forward(b.Context(), callee.self, link.CauseForward, req)
		if err != nil {
			b.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != size {
			b.Fatal(n, err)
		}
		_ = resp.Body.Close()
	}
}
