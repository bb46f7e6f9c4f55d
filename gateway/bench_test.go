package gateway_test

import (
	"fmt"
	"testing"

	"github.com/cicadasill/cicadasill/gateway/measure"
)

// benchmarkChain runs a chain b.N times and reports its latency, rates and processor time.
func benchmarkChain(b *testing.B, target measure.Target, chunkTokens, tokens int, run func(*measure.Chain, int) (measure.Rates, error)) {
	c, err := measure.NewChain(target, chunkTokens)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	b.ReportAllocs()
	b.ResetTimer()
	r, err := run(c, b.N)
	b.StopTimer()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(r.P50.Microseconds()), "p50-µs")
	b.ReportMetric(float64(r.P99.Microseconds()), "p99-µs")
	b.ReportMetric(float64(r.Requests)/r.Took.Seconds(), "requests/s")
	b.ReportMetric(float64(r.CPU.Microseconds())/float64(r.Requests), "cpu-µs/request")
	if tokens > 0 {
		b.ReportMetric(float64(r.Requests*tokens)/r.Took.Seconds(), "tokens/s")
		b.ReportMetric(float64(r.CPU.Nanoseconds())/float64(r.Requests*tokens), "cpu-ns/token")
	}
}

// BenchmarkPlain compares plain calls through the gateway with calls sent directly to the back end.
func BenchmarkPlain(b *testing.B) {
	for _, callers := range []int{1, 32} {
		for _, target := range []measure.Target{measure.Direct, measure.Gateway} {
			b.Run(fmt.Sprintf("%s/callers-%d", target, callers), func(b *testing.B) {
				benchmarkChain(b, target, 1, 0, func(c *measure.Chain, n int) (measure.Rates, error) { return c.Plain(n, callers) })
			})
		}
	}
}

// BenchmarkStream compares streams of 1,024 tokens through the gateway with direct ones.
func BenchmarkStream(b *testing.B) {
	for _, chunk := range []int{8, 32} {
		for _, target := range []measure.Target{measure.Direct, measure.Gateway} {
			b.Run(fmt.Sprintf("%s/chunk-%d", target, chunk), func(b *testing.B) {
				benchmarkChain(b, target, chunk, measure.StreamTokens, func(c *measure.Chain, n int) (measure.Rates, error) { return c.Stream(n, 32) })
			})
		}
	}
}

// BenchmarkWakeup prints a load spike of 50 times the ordinary rate, second by second.
func BenchmarkWakeup(b *testing.B) {
	for range b.N {
		r, err := measure.RunLoadSpike(measure.DefaultLoadSpike())
		if err != nil {
			b.Fatal(err)
		}
		fmt.Println(r)
	}
}
