//go:build review

// Command case-3 checks that a request which must not be repeated runs once although a sampler sends the extra copy of
// an earlier refusal, late, on a connection that is in use again.
package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/review/standin"
)

const host = "desk.example"

const config = `{"version":1,"routes":[
{"name":"r-post","host":"desk.example","path_prefix":"/post/","type":"non_idempotent","timeout_ms":1000,"slo_ms":150,"priority":2,"service":"line-desk","attempts":1}],
"services":[{"name":"line-desk","health_path":"/healthz","max_conns":96,"proto":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	// A disturbed time of windowFor follows each calm one of the same length. In each, the faulty sampler spoils one answer,
	// the one to its spoiledAt-th request: 0.03 of its answers at most.
	windows   = 7
	windowFor = 5 * time.Second
	spoiledAt = 15
	pause     = 110 * time.Millisecond
)

// faulty makes a sampler refuse one request in each disturbed time, because it is full, and, with trouble, send a second
// copy of that refusal later: where the answer to the next request of that connection is expected.
type faulty struct {
	sampler *standin.Sampler
	record  *standin.Record
	trouble bool

	mu      sync.Mutex
	open    bool                // a disturbed time
	arrived int                 // requests in this disturbed time
	copies  map[net.Conn]string // id of the refused request by connection
	sent    int
}

// begin starts a disturbed time, end ends it.
func (f *faulty) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open, f.arrived = true, 0
}

func (f *faulty) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open = false
	clear(f.copies)
	f.record.Printf("sampler %s got %d requests in this disturbed time and sent %d late copies so far", f.sampler.ID, f.arrived, f.sent)
}

func (f *faulty) handle(a *standin.Arrival) (handled, keep bool) {
	f.mu.Lock()
	f.arrived++
	refuse := f.open && f.arrived == spoiledAt
	late, isLate := f.copies[a.Conn]
	delete(f.copies, a.Conn)
	if refuse && f.trouble {
		f.copies[a.Conn] = a.ID
	}
	if isLate {
		f.sent++
	}
	f.mu.Unlock()
	if isLate {
		f.record.Printf("sampler %s sends the copy of its refusal of %s, while %s waits for its answer", f.sampler.ID, late, a.ID)
		if !f.refuse(a.Conn, late) {
			return true, false
		}
	}
	if refuse {
		f.record.Printf("sampler %s is full and refuses %s", f.sampler.ID, a.ID)
		return true, f.refuse(a.Conn, a.ID)
	}
	return false, false
}

func (f *faulty) refuse(conn net.Conn, id string) bool {
	return f.sampler.Write(conn, id, 503, "X-Not-Executed: 1\r\n", nil)
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
	var samplers []*standin.Sampler
	for i, zone := range []string{"alm-north", "shym-east", "alm-south"} {
		s := &standin.Sampler{ID: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), Service: "line-desk", Zone: zone, Slots: 6, Work: 10 * time.Millisecond, Record: record}
		if err := s.Start(standin.LoopbackIP(1 + i)); err != nil {
			return 0, err
		}
		defer s.Close()
		go s.Publish(store, 1200*time.Millisecond, stop)
		samplers = append(samplers, s)
	}
	f := &faulty{sampler: samplers[0], record: record, trouble: standin.Trouble(), copies: map[net.Conn]string{}}
	samplers[0].Handle = f.handle

	deployment := &standin.Deployment{Dir: temp, Region: "almaty", MemoryMB: 324, GraceS: 8, StoreAddr: func(string) string { return store.Addr() }}
	p, err := deployment.NewProcess(4, "edge-alm-north-1", "alm-north")
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
	time.Sleep(2 * time.Second)

	answers := map[string]standin.Answer{}
	for w := range 2 * windows {
		if w%2 == 1 {
			f.begin()
		}
		for end := time.Now().Add(windowFor); time.Now().Before(end); {
			id := fmt.Sprintf("%016x", 0xa000+len(answers))
			a := standin.Send(p.Front, "POST", host, "/post/"+id, map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "1000"}, []byte("body of "+id), 2*time.Second)
			record.Printf("client: %s is answered %s", id, a)
			answers[id] = a
			time.Sleep(pause)
		}
		if w%2 == 1 {
			f.end()
		}
	}
	return judge(samplers, answers, f, record), nil
}

// judge checks TWICE and REFUSED for each request, which is one client attempt with its own id.
func judge(samplers []*standin.Sampler, answers map[string]standin.Answer, f *faulty, record *standin.Record) int {
	ran := map[string][]string{}
	for _, s := range samplers {
		for _, r := range s.Runs() {
			ran[r.ID] = append(ran[r.ID], s.ID)
		}
	}
	f.mu.Lock()
	record.Printf("sampler %s gave %d answers and %d late copies", f.sampler.ID, f.sampler.Answers(), f.sent)
	f.mu.Unlock()
	twice, refused, served := 0, 0, 0
	for id, a := range answers {
		if a.Err == nil && a.Status == 200 {
			served++
		}
		if len(ran[id]) > 1 {
			twice++
			record.Printf("TWICE: %s ran at %v and was answered %s", id, ran[id], a)
		}
		if len(ran[id]) > 0 && a.Promises() {
			refused++
			record.Printf("REFUSED: %s was answered %s and ran at %v", id, a, ran[id])
		}
	}
	record.Printf("%d requests, %d served, %d ran more than once, %d were refused and ran", len(answers), served, twice, refused)
	if twice > 0 || refused > 0 {
		return standin.Broken
	}
	if served < len(answers)*9/10 {
		record.Printf("too few requests were served to judge")
		return standin.CannotRun
	}
	return standin.Held
}

func main() { standin.Main("review/3", run) }
