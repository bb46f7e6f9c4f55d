package claim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"

	"github.com/cicadasill/cicadasill/claim"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/membership"
)

// BenchmarkClaims measures nine instances over a log that takes 5 ms per append. Every claim is
// made at the stream's owner, as the gateway does. Run it with -benchtime 1x.
func BenchmarkClaims(b *testing.B) {
	for perSecond, seconds := range map[int]int{1: 20, 10: 10, 100: 10, 1000: 10} {
		b.Run(fmt.Sprintf("%d_per_s", perSecond), func(b *testing.B) {
			c, all := newCluster(b, seed, 9, claim.Options{AppendsPerSecond: claim.DefaultAppendsPerSecond, EndDelay: claim.DefaultEndDelay})
			c.log.latency = 5 * time.Millisecond
			byID := map[string]*instance{}
			var live []machine.Instance
			for n, i := range all {
				id := fmt.Sprint("i", n)
				byID[id] = i
				live = append(live, machine.Instance{ID: id})
			}
			hist := hdrhistogram.New(1, 10_000_000, 3)
			var mu sync.Mutex
			var wg sync.WaitGroup
			limiter := rate.NewLimiter(rate.Limit(perSecond), 1)
			total := perSecond * seconds * b.N
			for n := range total {
				_ = limiter.Wait(context.Background())
				k := claim.Key{ID: fmt.Sprint(n)}
				owner := byID[membership.Owner(claim.Owner(k), live).ID]
				wg.Go(func() {
					start := time.Now()
					d, err := owner.Begin(context.Background(), k, body, first)
					took := time.Since(start)
					if err != nil {
						b.Error(err)
						return
					}
					d.Ticket.Finish(answer)
					mu.Lock()
					_ = hist.RecordValue(took.Microseconds())
					mu.Unlock()
				})
			}
			wg.Wait()
			time.Sleep(2 * claim.DefaultEndDelay) // the last ends
			b.ReportMetric(float64(hist.ValueAtQuantile(50))/1000, "p50_ms")
			b.ReportMetric(float64(hist.ValueAtQuantile(99))/1000, "p99_ms")
			c.log.set(func() { b.ReportMetric(float64(c.log.appends)/float64(total), "appends/claim") })
			b.ReportMetric(0, "ns/op")
		})
	}
}
