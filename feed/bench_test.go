package feed_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cicadasill/cicadasill/feed"
	"github.com/cicadasill/cicadasill/feed/feedsim"
)

// benchmark starts n instances in eight data centres of two regions with default periods.
func benchmark(b *testing.B, n int) (*feedsim.Deployment, []*feedsim.Node) {
	d := feedsim.New(feedsim.NewLog(), feed.Options{})
	b.Cleanup(d.Close)
	nodes := make([]*feedsim.Node, n)
	for i := range nodes {
		nodes[i] = d.Start(fmt.Sprintf("i%03d", i), fmt.Sprintf("r%d-%d", i%2, i%8))
	}
	waitReady(b, nodes...)
	time.Sleep(3 * time.Second) // the first long polls of those that were readers of a smaller view
	return d, nodes
}

// BenchmarkEverywhere measures the time from a publication until the note is in effect at
// every instance, over in-process calls.
func BenchmarkEverywhere(b *testing.B) {
	for _, n := range []int{9, 330} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			_, nodes := benchmark(b, n)
			var took []time.Duration
			for i := 0; b.Loop(); i++ {
				begin := time.Now()
				v := publish(b, nodes[i%n], addNote(fmt.Sprint("n", i), fmt.Sprint("s", i)))
				waitOffset(b, v.Revision-1, nodes...)
				took = append(took, time.Since(begin))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds())/1e3, "ms-median")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1e3, "ms-p99")
		})
	}
}

// BenchmarkIdleBytes measures the bytes of messages per second and instance without records.
func BenchmarkIdleBytes(b *testing.B) {
	for _, n := range []int{9, 330} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d, _ := benchmark(b, n)
			for b.Loop() {
				sent, read := d.Bytes(), d.Reads()
				time.Sleep(10 * time.Second)
				b.ReportMetric(float64(d.Bytes()-sent)/10/float64(n), "B/s/node")
				b.ReportMetric(float64(d.Reads()-read)/10, "logreads/s")
			}
		})
	}
}
