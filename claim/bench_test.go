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

// BenchmarkClaims measures the latency and the appends per claim with a log that takes 5 ms
// per append. Every claim is made at the owner of its stream, as the gateway does. Run it with
// -benchtime 1x.
func BenchmarkClaims(b *testing.B) {
	for _, share := range []claim.Share{claim.EvenShare, claim.OwnerShare} {
		for _, load := range []struct{ instances, perSecond int }{{9, 1}, {9, 10}, {9, 100}, {9, 1000}, {330, 400}} {
			b.Run(fmt.Sprintf("%s/%d_instances/%d_per_s", share, load.instances, load.perSecond), func(b *testing.B) {
				benchClaims(b, share, load.instances, load.perSecond)
			})
		}
	}
}

func benchClaims(b *testing.B, share claim.Share, instances, perSecond int) {
	const seconds = 10
	c, all := newCluster(b, seed, instances, claim.Options{AppendsPerSecond: claim.DefaultAppendsPerSecond,
		EndDelay: claim.DefaultEndDelay, Share: share})
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
	total, refusals := perSecond*seconds*b.N, 0
	for n := range total {
		_ = limiter.Wait(context.Background())
		k := claim.Key{ID: fmt.Sprint(n)}
		owner := byID[membership.Owner(claim.StreamOf(k), live).ID]
		wg.Go(func() {
			start := time.Now()
			d, err := owner.Begin(context.Background(), k, body, firstAttempt)
			took := time.Since(start)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				refusals++
				return
			}
			d.Ticket.Finish(answer)
			_ = hist.RecordValue(took.Microseconds())
		})
	}
	wg.Wait()
	time.Sleep(2 * claim.DefaultEndDelay) // for the last end records
	b.ReportMetric(float64(hist.ValueAtQuantile(50))/1000, "p50_ms")
	b.ReportMetric(float64(hist.ValueAtQuantile(99))/1000, "p99_ms")
	b.ReportMetric(100*float64(refusals)/float64(total), "%_refused")
	c.log.withLock(func() { b.ReportMetric(float64(c.log.appends)/float64(total), "appends/claim") })
	b.ReportMetric(0, "ns/op")
}
