//go:build review

// Command case-5 checks that a client attempt runs on no more samplers than its route's attempts while one sampler is
// slow and another one fails part of its requests.
package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/review/standin"
)

const host = "desk.example"

const config = `{"version":1,"routes":[
{"name":"r-log","host":"desk.example","path_prefix":"/log/","type":"idempotent","timeout_ms":1000,"slo_ms":150,"priority":2,"service":"line-desk","attempts":2}],
"services":[{"name":"line-desk","health_path":"/healthz","max_conns":96,"proto":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	attempts = 2
	// excused is the number of requests that may run on more samplers.
	excused = 3
	// The disruptions at their named doses: a slow sampler takes slowX times as long, a grey one fails the part greyX.
	slowX = 3.5
	greyX = 0.4
	// A request takes meanWork on average, with the spread of the sheet's kind of request.
	meanWork = 25 * time.Millisecond
	spread   = 0.5
	machines = 4
	// Each of the cycles has slowFor with a slow sampler and, from its start, greyFor with a grey one.
	cycles   = 7
	cycleFor = 10 * time.Second
	slowFor  = 8 * time.Second
	greyFor  = 5 * time.Second
)

// clock tells which disruptions are in force.
type clock struct{ start time.Time }

func (c clock) inCycle() time.Duration { return time.Since(c.start) % cycleFor }

// handler answers after a random time; the slow sampler takes longer and the grey one fails some requests at once, while
// these disruptions are in force.
func handler(s *standin.Sampler, c clock, slow, grey bool, seed uint64) func(a *standin.Arrival) (bool, bool) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	return func(a *standin.Arrival) (bool, bool) {
		mu.Lock()
		work := time.Duration(float64(meanWork) * math.Exp(spread*rng.NormFloat64()-spread*spread/2))
		fails := grey && rng.Float64() < greyX && c.inCycle() < greyFor
		mu.Unlock()
		s.Begin(a)
		if fails {
			return true, s.Write(a.Conn, a.ID, 500, s.Stamp(a), []byte("error"))
		}
		if slow && c.inCycle() < slowFor {
			work = time.Duration(slowX * float64(work))
		}
		time.Sleep(work)
		return true, s.Write(a.Conn, a.ID, 200, s.Stamp(a), []byte("done "+a.ID))
	}
}

func run(_, temp string, record *standin.Record) (int, error) {
	store, err := standin.NewStore(standin.LoopbackIP(0))
	if err != nil {
		return 0, err
	}
	defer store.Close()
	store.Put("keyed.op", "config", []byte(config))
	stop := make(chan struct{})
	defer close(stop)
	c := clock{time.Now()}
	var samplers []*standin.Sampler
	for i, zone := range []string{"alm-north", "alm-south", "shym-east"} {
		s := &standin.Sampler{ID: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), Service: "line-desk", Zone: zone, Slots: 6, Record: record}
		s.Handle = handler(s, c, standin.Trouble() && i == 0, standin.Trouble() && i == 1, uint64(i))
		if err := s.Start(standin.LoopbackIP(1 + i)); err != nil {
			return 0, err
		}
		defer s.Close()
		go s.Publish(store, 1200*time.Millisecond, stop)
		samplers = append(samplers, s)
	}
	deployment := &standin.Deployment{Dir: temp, Region: "almaty", MemoryMB: 324, GraceS: 8, StoreAddr: func(string) string { return store.Addr() }}
	var fronts []string
	for i := range machines {
		p, err := deployment.NewProcess(5+i, fmt.Sprintf("edge-alm-north-%d", i+1), "alm-north")
		if err != nil {
			return 0, err
		}
		if err := p.Start(); err != nil {
			return 0, err
		}
		defer p.Kill()
		if err := p.AwaitReady(20 * time.Second); err != nil {
			return 0, err
		}
		fronts = append(fronts, p.Front)
	}
	time.Sleep(2 * time.Second)
	answers := sendAll(fronts, record)
	return judge(samplers, answers, record), nil
}

// sendAll sends about two requests a second to each machine for all cycles.
func sendAll(fronts []string, record *standin.Record) map[string]standin.Answer {
	answers := map[string]standin.Answer{}
	var (
		mu      sync.Mutex
		clients sync.WaitGroup
	)
	end := time.Now().Add(cycles * cycleFor)
	for m, front := range fronts {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("%04x%012x", m, n)
				a := standin.Send(front, "POST", host, "/log/"+id, map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "1000"}, []byte("body of "+id), 2*time.Second)
				record.Printf("client: %s is answered %s", id, a)
				mu.Lock()
				answers[id] = a
				mu.Unlock()
				time.Sleep(400 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return answers
}

// judge counts the client attempts that ran on more samplers than the route's attempts.
func judge(samplers []*standin.Sampler, answers map[string]standin.Answer, record *standin.Record) int {
	ran := map[string]map[string]bool{}
	for _, s := range samplers {
		for _, r := range s.Runs() {
			if ran[r.ID] == nil {
				ran[r.ID] = map[string]bool{}
			}
			ran[r.ID][s.ID] = true
		}
	}
	over, served := 0, 0
	for id, a := range answers {
		if a.Err == nil && a.Status == 200 {
			served++
		}
		if len(ran[id]) > attempts {
			over++
			record.Printf("BUDGET: %s ran on %d samplers; its route allows %d", id, len(ran[id]), attempts)
		}
	}
	record.Printf("%d requests, %d served, %d ran on more samplers than their route's attempts", len(answers), served, over)
	if over > excused {
		return standin.Broken
	}
	if served < len(answers)*8/10 {
		return standin.CannotRun
	}
	return standin.Held
}

func main() { standin.Main("review/5", run) }
