package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

const drainConfig = `{"version":1,"routes":[
{"name":"post","host":"review.example","path_prefix":"/post/","type":"non_idempotent","timeout_ms":2000,"slo_ms":150,"service":"scoreboard","attempts":1}],
"services":[{"name":"scoreboard","max_conns":96}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// Times of the case, from the begin of the traffic.
const (
	// The store loses answers for lossTime, which ends at lossEnd.
	lossEnd  = 6500 * time.Millisecond
	lossTime = 4500 * time.Millisecond
	// staleBeatAt is when the heartbeat is written whose answer is lost, lateness how much later it is executed: 6 s at most.
	staleBeatAt = lossEnd - 100*time.Millisecond
	lateness    = 5950 * time.Millisecond
	// drainAt is when the sampler reports that it drains. The store has been without disruption for longer than contact by then.
	drainAt = lossEnd + contact + 200*time.Millisecond
	// serveOn is how long the sampler goes on after the store has accepted that: the drain time and a little longer.
	serveOn = drainTime + 900*time.Millisecond
	// serveOnRemoved is the same for a sampler whose entry was removed: the drain time and some seconds.
	serveOnRemoved = drainTime + 3*time.Second
	// requestInterval is the time between two requests, workTime how long each takes.
	requestInterval = 25 * time.Millisecond
	workTime        = 150 * time.Millisecond
)

// playDrain plays the case of a heartbeat that the store executes late, after the sampler's later ones.
func playDrain(r *run) error { return r.playLateBeat(false) }

// playGone plays the case of a heartbeat that the store executes late, after the sampler's entry was removed.
func playGone(r *run) error { return r.playLateBeat(true) }

// playLateBeat plays the cases of a heartbeat that is executed late. removes states that the sampler does not report that it drains:
// its entry is removed.
func (r *run) playLateBeat(removes bool) error {
	r.store.PutConfig([]byte(drainConfig))
	r.store.SetLateness(lateness)
	r.store.SetFault(func(call *http.Request) hostedtest.Fault {
		if call.Header.Get(lateHeader) == "" {
			return hostedtest.None
		}
		r.notef("the store leaves a heartbeat unanswered and executes it %v later", lateness)
		return hostedtest.Late
	})
	var samplers []*sampler
	for n := range 3 {
		e := hostedtest.NewEngine(fmt.Sprintf("i-score-%d", n), "scoreboard", "brisbane-a", "")
		e.Delay = workTime
		samplers = append(samplers, r.startSampler(e))
	}
	for n := range 3 {
		if _, err := r.startInstance(fmt.Sprintf("edge-%d", n)); err != nil {
			return err
		}
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	begin := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	traffic := startPosts(r)
	at(staleBeatAt)
	leaving := samplers[0]
	leaving.beat(r.trouble)
	at(drainAt)
	what, serves := "drains", serveOn
	var acked time.Time
	if removes {
		what, serves = "is gone", serveOnRemoved
		acked = leaving.remove()
		// The store removes an entry after three heartbeat intervals of silence.
		time.AfterFunc(lateness-(drainAt-staleBeatAt)+3*heartbeat, func() { leaving.write(nil, false) })
	} else {
		acked = leaving.report("draining")
	}
	r.notef("the store has accepted that %s %s; no request may reach it later than %v after that", leaving.ID, what, drainTime)
	time.Sleep(time.Until(acked.Add(serves)))
	leaving.exit()
	time.Sleep(2 * time.Second)
	statuses := traffic.stop()
	r.notef("clients' answers by status (0: none): %v", statuses.counts)
	late := 0
	for _, ran := range leaving.Runs() {
		if after := ran.At.Sub(acked); after > drainTime {
			late++
			r.notef("request %s reached %s %v after the acknowledgement; its client got status %d", ran.ID, leaving.ID, after.Round(time.Millisecond), statuses.byID[ran.ID])
		}
	}
	if late > 0 {
		r.breakRule("DRAIN: %d requests reached %s later than %v after the store had accepted that it %s", late, leaving.ID, drainTime, what)
	}
	if len(leaving.Runs()) == 0 {
		return fmt.Errorf("no request reached %s before it drained", leaving.ID)
	}
	return nil
}

// posts sends requests that may run once at a steady rate, to all instances in turn.
type posts struct {
	end  chan struct{}
	done sync.WaitGroup

	mu       sync.Mutex // guards statuses
	statuses map[string]int
}

type postStatuses struct {
	counts map[int]int
	byID   map[string]int
}

func startPosts(r *run) *posts {
	p := &posts{end: make(chan struct{}), statuses: map[string]int{}}
	p.done.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-p.end:
				return
			case <-time.After(requestInterval):
			}
			p.done.Go(func() {
				id := fmt.Sprintf("post-%d", n)
				a := r.instances[n%len(r.instances)].send(http.MethodPost, fmt.Sprintf("/post/%d", n), id, 2*time.Second, []byte("x"))
				p.mu.Lock()
				defer p.mu.Unlock()
				p.statuses[id] = a.status
			})
		}
	})
	return p
}

// stop ends the traffic and returns the clients' answers.
func (p *posts) stop() postStatuses {
	close(p.end)
	p.done.Wait()
	s := postStatuses{counts: map[int]int{}, byID: p.statuses}
	for _, status := range s.byID {
		s.counts[status]++
	}
	return s
}
