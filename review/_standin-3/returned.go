package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["returned-entry"] = returnedEntry }

// returnedEntry: a sampler leaves, all machines are killed and start again, and then the store executes a heartbeat that the sampler had sent
// before it left. No machine may send it requests.
func returnedEntry(f *fleet, trouble bool) bool {
	const (
		host, prefix = "desk.example", "/post/"
		drain        = 2500 * time.Millisecond // drain_ms
		contact      = 3 * time.Second         // contact_ms
		late         = 5950 * time.Millisecond
		serves       = 5500 * time.Millisecond // how long the sampler serves after its entry is removed
	)
	zones := []string{"brisbane-a", "townsville-a", "brisbane-b"}
	f.configure(1, []map[string]any{{"name": "scoreboard", "max_conns": 96, "health_path": "/healthz"}}, route{
		"name": "score-post", "host": host, "path_prefix": prefix, "type": "idempotent", "timeout_ms": 1500, "slo_ms": 150, "priority": 2,
		"service": "scoreboard", "attempts": 2,
	})
	for n := range 4 {
		f.addSampler(&sampler{id: fmt.Sprintf("i-%d", n), service: "scoreboard", zone: zones[n%3], slots: 6, queue: 24, work: 25 * time.Millisecond})
	}
	leaver := f.samplers[0]
	for n, zone := range zones {
		region := "brisbane"
		if n == 1 {
			region = "townsville"
		}
		f.addInstance("edge-"+zone, zone, region)
	}
	f.awaitReady()
	time.Sleep(inTouch)
	stop := f.post(host, prefix)
	time.Sleep(time.Second)
	if trouble {
		leaver.beatLate(late)
	}
	lost := time.Now()
	time.Sleep(time.Until(lost.Add(3200 * time.Millisecond))) // the store is stable again
	removed := leaver.leaveSilently(serves)
	started := removed
	if trouble {
		for _, p := range f.instances {
			p.signal(syscall.SIGKILL)
		}
		for _, p := range f.instances {
			<-p.exited
		}
		time.Sleep(300 * time.Millisecond)
		for _, p := range f.instances {
			p.launch()
		}
		started = time.Now()
	}
	time.Sleep(time.Until(removed.Add(serves + 500*time.Millisecond)))
	stop()
	from := removed.Add(drain)
	if inTouchAt := started.Add(contact); inTouchAt.After(from) {
		from = inTouchAt
	}
	f.mu.Lock()
	count := 0
	var first, last time.Duration
	for _, v := range f.visits {
		if v.sampler != leaver.id || v.at.Before(from) {
			continue
		}
		if last = v.at.Sub(removed); count == 0 {
			first = last
		}
		count++
	}
	f.mu.Unlock()
	f.log("%d requests reached %s %.2f to %.2f s after the acknowledgement that it is gone, from machines in touch", count, leaver.id, first.Seconds(), last.Seconds())
	return count > 0
}

// beatLate sends a heartbeat that gets no answer and that the store executes after the given time.
func (s *sampler) beatLate(after time.Duration) {
	s.mu.Lock()
	s.seq++
	entry := s.entry()
	seq := s.seq
	s.mu.Unlock()
	s.fleet.log("heartbeat %d of sampler %s gets no answer", seq, s.id)
	time.AfterFunc(after, func() {
		s.fleet.store.put("keyed.servers", s.id, entry)
		s.fleet.log("the store executes heartbeat %d of sampler %s", seq, s.id)
	})
}

// leaveSilently removes the sampler's entry, without a report that it is draining. It serves on for the given time and then ends.
func (s *sampler) leaveSilently(serves time.Duration) (removed time.Time) {
	s.mu.Lock()
	s.gone = true
	s.mu.Unlock()
	close(s.stop)
	s.fleet.store.put("keyed.servers", s.id, nil)
	s.fleet.log("the removal of the entry of sampler %s is acknowledged", s.id)
	time.AfterFunc(serves, func() {
		s.server.Close()
		s.fleet.log("sampler %s has ended", s.id)
	})
	return time.Now()
}

// post sends requests to all machines in turn until the function that it returns is called.
func (f *fleet) post(host, prefix string) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	var sent, served atomic.Int64
	running.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(15 * time.Millisecond):
			}
			p := f.instances[n%len(f.instances)]
			id := fmt.Sprintf("9c41d07be2a3%04d", n)
			running.Go(func() {
				header := map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "1500"}
				status, _ := f.call(p, "POST", host, prefix+"2f", header, []byte("a tray"), 1500*time.Millisecond)
				if sent.Add(1); status == 200 {
					served.Add(1)
				}
				f.log("request %s at %s: %d", id, p.name, status)
			})
		}
	})
	return func() {
		close(done)
		running.Wait()
		f.log("%d requests, %d answered 200", sent.Load(), served.Load())
	}
}
