package feed_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cicadasill/cicadasill/feed"
	"github.com/cicadasill/cicadasill/feed/feedsim"
)

// startBenchmark starts n instances in eight data centres of two regions with default options.
func startBenchmark(b *testing.B, n int) (*feedsim.Deployment, []*feedsim.Node) {
	d := feedsim.New(feedsim.NewLog(), feed.Options{})
	b.Cleanup(d.Close)
	nodes := make([]*feedsim.Node, n)
	for i := range nodes {
		nodes[i] = d.Start(fmt.Sprintf("i%03d", i), fmt.Sprintf("r%d-%d", i%2, i%8))
	}
	waitReady(b, nodes...)
	time.Sleep(3 * time.Second) // long polls of instances that were readers while others joined must end first
	return d, nodes
}

// BenchmarkPublishToAll measures the time from a publication until every instance has applied the
// note. Instances call each other in process.
func BenchmarkPublishToAll(b *testing.B) {
	for _, n := range []int{9, 330} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			_, nodes := startBenchmark(b, n)
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

// BenchmarkIdleBytes measures the message bytes per second and instance, and the reads of the log
// per second, while no records are appended.
func BenchmarkIdleBytes(b *testing.B) {
	for _, n := range []int{9, 330} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d, _ := startBenchmark(b, n)
			for b.Loop() {
				sent, read := d.MessageBytes(), d.LogReads()
				time.Sleep(10 * time.Second)
				b.ReportMetric(float64(d.MessageBytes()-sent)/10/float64(n), "B/s/node")
				b.ReportMetric(float64(d.LogReads()-read)/10, "logreads/s")
			}
		})
	}
}
