package link_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/cicadasill/cicadasill/link"
)

// BenchmarkCall measures the time of a unary exchange over loopback and its bytes on the connection.
func BenchmarkCall(b *testing.B) {
	x := startPeer(b, "a", 1, anyPort(), link.Options{}, nil)
	y := startPeer(b, "b", 1, anyPort(), link.Options{}, echo)
	for range b.N {
		if _, err := x.Call(b.Context(), y.self, link.CauseFeed, "echo", nil); err != nil {
			b.Fatal(err)
		}
	}
	for _, l := range x.Bytes() {
		if l.Cause == link.CauseFeed {
			b.ReportMetric(float64(l.Sent+l.Received)/float64(b.N), "B/call")
		}
	}
}

// BenchmarkForward measures the throughput of streamed responses of 1 MiB.
func BenchmarkForward(b *testing.B) {
	const size = 1 << 20
	x := startPeer(b, "a", 1, anyPort(), link.Options{}, nil)
	y := startPeer(b, "b", 1, anyPort(), link.Options{}, func(n *link.Node) {
		n.HandleHTTP(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) }))
	})
	b.SetBytes(size)
	for range b.N {
		req, _ := http.NewRequest(http.MethodGet, "/", nil)
		resp, err := x.Forward(b.Context(), y.self, link.CauseForward, req)
		if err != nil {
			b.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != size {
			b.Fatal(n, err)
		}
		_ = resp.Body.Close()
	}
}
