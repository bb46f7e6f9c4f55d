package health_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/health"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/zone"
)

// countingPlainService counts the health polls of each address and sends the address of each poll.
type countingPlainService struct {
	mu     sync.Mutex
	polls  map[string]int
	polled chan string
}

func (p *countingPlainService) Health(_ context.Context, addr string) (bool, error) {
	p.mu.Lock()
	p.polls[addr]++
	p.mu.Unlock()
	p.polled <- addr
	return false, nil
}

func manyBackends(n int) []machine.Backend {
	out := make([]machine.Backend, 0, n)
	for i := range n {
		region := []string{"almaty", "shymkent"}[i%2]
		out = append(out, machine.Backend{
			ID: fmt.Sprintf("b%d", i), Kind: machine.Plain, Service: "orders", Addr: fmt.Sprintf("b%d", i),
			Zone: zone.Zone{Region: region, DataCentre: region + "-1"},
		})
	}
	return out
}

// Guards against an instance that polls and routes to each of hundreds of back ends, and against a
// subset without back ends of another region as a fallback.
func TestSubsetBoundsRoutedBackends(t *testing.T) {
	is := is.New(t)
	plain := &countingPlainService{polls: map[string]int{}, polled: make(chan string, 1000)}
	used := map[string]int{}
	for n := range 40 {
		tracker := health.New(health.Options{
			Plain: plain, Subset: 8, Self: fmt.Sprintf("entry-%d", n), Zone: zone.Zone{Region: "almaty", DataCentre: "almaty-1"},
			Observes: func(machine.Backend) bool { return false },
		})
		tracker.Update(manyBackends(60))
		far := 0
		for _, b := range tracker.ServiceBackends("orders") {
			used[b.ID]++
			if b.Zone.Region == "shymkent" {
				far++
			}
		}
		is.Equal(len(tracker.ServiceBackends("orders")), 8)
		is.Equal(far, 2)
	}
	is.True(len(used) > 30) // subsets differ between instances and together cover most back ends
}

// Guards against a request that waits for the next infrequent poll of an idle service.
func TestRequestWakesPollsOfIdleService(t *testing.T) {
	is := is.New(t)
	plain := &countingPlainService{polls: map[string]int{}, polled: make(chan string, 1000)}
	tracker := health.New(health.Options{
		Plain: plain, IdlePollInterval: time.Hour, PollInterval: time.Hour, Observes: func(machine.Backend) bool { return false },
	})
	tracker.Update(manyBackends(1))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- tracker.Run(ctx) }()
	is.Equal(<-plain.polled, "b0") // the initial poll
	tracker.RecordDemand("orders")
	is.Equal(<-plain.polled, "b0") // the poll caused by the request, an hour before the next one was due
	cancel()
	is.NoErr(<-done)
}
