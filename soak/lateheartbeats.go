package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// Times of a run with late heartbeats. Those of the back ends are the platform's.
const (
	// lateTime is how long back ends come and go.
	lateTime = 24 * time.Second
	// backendHeartbeat is the time between two entries of a back end, expiry how long after the last one the store removes it.
	backendHeartbeat = 1200 * time.Millisecond
	expiry           = 3 * backendHeartbeat
	// lateMin and lateMax bound how late the store executes a write without an answer.
	lateMin = time.Second
	lateMax = 6 * time.Second
	// contactTime is how long store and instances must have been without disruption for a rule with a bound to hold.
	contactTime = 3 * time.Second
	// drainTime is how long after its leaving is accepted a back end may still get requests, serveOn how long it serves them.
	drainTime = 2500 * time.Millisecond
	serveOn   = 6 * time.Second
	// discoveryTime is how long after its first entry a back end must have got a request.
	discoveryTime = 2 * time.Second
)

const (
	// leavers is the number of back ends that come and go.
	leavers = 4
	// leaverWork is how long each request takes, so that the two back ends that stay can't serve all.
	leaverWork = 150 * time.Millisecond
)

// sender is the instance to which a request was sent.
type sender struct {
	process int
	// inTouch states that the instance had been running for contactTime.
	inTouch bool
}

// lateRun is a run in which the store executes heartbeats of back ends late.
type lateRun struct {
	f    *fleet
	obs  *observations
	seed uint64
	stop chan struct{}
	late sync.WaitGroup // writes that are still to be executed

	mu        sync.Mutex // guards the fields below
	started   []time.Time
	senders   map[string]sender // by request id
	stoppedAt time.Time         // when the last request was sent; zero before
}

// RunLateHeartbeats runs a fleet whose back ends come and go while the store executes their heartbeats late and instances are stopped and
// killed in series. It checks that no back end gets requests after it has left, and that each gets some before.
func RunLateHeartbeats(opts Options) (*Report, error) {
	f, err := newFleet(opts.Dir, opts.Binary, opts.Instances, opts.Engines, memoryMB)
	defer f.close()
	if err != nil {
		return nil, err
	}
	for _, e := range f.deskEngines {
		e.Delay = leaverWork
	}
	r := &lateRun{f: f, obs: newObservations(), seed: opts.Seed, stop: make(chan struct{}), senders: map[string]sender{}}
	r.started = make([]time.Time, len(f.processes))
	var work sync.WaitGroup
	work.Go(func() { every(r.stop, entryInterval, f.publishEntries) })
	ready := waitReady(f)
	if ready {
		for n := range leavers {
			work.Go(func() { r.runLeaver(n) })
		}
		for n := range f.processes {
			work.Go(func() { r.runRequests(n) })
		}
		work.Go(r.runRestarts)
		time.Sleep(lateTime)
	}
	r.mu.Lock()
	r.stoppedAt = time.Now()
	r.mu.Unlock()
	close(r.stop)
	work.Wait()
	r.late.Wait()
	if !ready {
		return nil, &StartError{Dir: opts.Dir}
	}
	return &Report{Violations: r.obs.violations, Counts: r.obs.counts}, nil
}

// stopped reports whether no new back end is to be started.
func (r *lateRun) stopped() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}

// runLeaver runs one process of a back end after the other under the same id.
func (r *lateRun) runLeaver(n int) {
	rng := rand.New(rand.NewPCG(r.seed, uint64(100+n)))
	for !r.stopped() {
		r.runLife(fmt.Sprintf("leaver-%d", n), rng)
		time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
	}
}

// life is one process of a back end that comes and goes.
type life struct {
	*hostedtest.Engine
	run  *lateRun
	born int64 // Unix milliseconds
	seq  int64
}

// write writes the next entry, late if that is not 0.
func (l *life) write(state string, late time.Duration) {
	l.seq++
	entry := l.EntryWith(state, map[string]any{"born": l.born, "seq": l.seq})
	if late == 0 {
		l.run.f.store.PutEntry(l.ID, entry)
		return
	}
	l.run.obs.count("late heartbeats")
	l.run.late.Add(1)
	time.AfterFunc(late, func() {
		defer l.run.late.Done()
		l.run.f.store.PutEntry(l.ID, entry)
	})
}

// runLife runs one process of a back end from its start to its end. Its heartbeats are executed late with a probability of one half, up
// to contactTime before it leaves.
func (r *lateRun) runLife(id string, rng *rand.Rand) {
	l := &life{Engine: hostedtest.NewEngine(id, "desk", "a", ""), run: r, born: time.Now().UnixMilli()}
	l.Delay = leaverWork
	defer func() {
		l.CloseClientConnections()
		l.Close()
	}()
	l.write("ready", 0)
	begin := time.Now()
	lossEnd := begin.Add(time.Second + time.Duration(rng.Int64N(int64(3*time.Second))))
	leaveAt := lossEnd.Add(contactTime + time.Duration(rng.Int64N(int64(time.Second))))
	for time.Until(leaveAt) > backendHeartbeat {
		time.Sleep(backendHeartbeat)
		late := time.Duration(0)
		if time.Now().Before(lossEnd) && rng.IntN(2) == 0 {
			late = lateMin + time.Duration(rng.Int64N(int64(lateMax-lateMin)))
		}
		l.write("ready", late)
	}
	time.Sleep(time.Until(leaveAt))
	drains := rng.IntN(2) == 0
	if drains {
		l.write("draining", 0)
	} else {
		r.f.store.PutEntry(id, nil)
	}
	left := time.Now()
	for end := left.Add(serveOn); time.Until(end) > 0; {
		if drains {
			time.Sleep(min(backendHeartbeat, time.Until(end)))
			l.write("draining", 0)
		} else { // the store removes an entry that a late heartbeat has brought back
			time.Sleep(min(expiry, time.Until(end)))
			r.f.store.PutEntry(id, nil)
		}
	}
	r.f.store.PutEntry(id, nil)
	r.checkLife(l, begin, left, drains)
}

// checkLife checks when requests have reached a back end that began and left at the given times.
func (r *lateRun) checkLife(l *life, begin, left time.Time, drains bool) {
	r.obs.count("back ends that left")
	early, late := 0, 0
	for _, ran := range l.Runs() {
		if ran.At.Before(left) {
			early++
		}
		r.mu.Lock()
		by := r.senders[ran.ID]
		r.mu.Unlock()
		if ran.At.Sub(left) > drainTime && by.inTouch {
			late++
		}
	}
	if late > 0 {
		r.obs.addViolation("%s, which began at %v and left at %v (drains: %t), got %d requests later than %v after that", l.ID,
			begin.UTC().Format(time.TimeOnly), left.UTC().Format(time.TimeOnly), drains, late, drainTime)
	}
	if early == 0 && r.requestsEnd(left).Sub(begin) > discoveryTime {
		r.obs.addViolation("%s, which began at %v, got no request until %v", l.ID, begin.UTC().Format(time.TimeOnly), left.UTC().Format(time.TimeOnly))
	}
}

// requestsEnd returns when the requests ended that a back end could get up to a time.
func (r *lateRun) requestsEnd(left time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stoppedAt.IsZero() && r.stoppedAt.Before(left) {
		return r.stoppedAt
	}
	return left
}

// runRequests sends requests to one instance on kept connections.
func (r *lateRun) runRequests(process int) {
	c := newClient(r.f, r.obs, rand.New(rand.NewPCG(r.seed, uint64(200+process))))
	p := r.f.processes[process]
	n := 0
	var sends sync.WaitGroup
	every(r.stop, 20*time.Millisecond, func() {
		n++
		id := fmt.Sprintf("late-%d-%d", process, n)
		r.mu.Lock()
		r.senders[id] = sender{process: process, inTouch: time.Since(r.started[process]) > contactTime}
		r.mu.Unlock()
		path := []string{"/plain/", "/once/"}[n%2]
		sends.Go(func() {
			status, _ := c.call(p.addr, http.MethodPost, path+id, id, []byte("x"))
			r.obs.count(fmt.Sprintf("%s%d", path, status))
		})
	})
	sends.Wait()
}

// runRestarts stops or kills one instance after the other and starts it again.
func (r *lateRun) runRestarts() {
	rng := rand.New(rand.NewPCG(r.seed, 300))
	every(r.stop, time.Second, func() {
		time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
		n := rng.IntN(len(r.f.processes))
		r.f.processes[n].stop(rng.IntN(2) == 0)
		if err := r.f.processes[n].start(); err != nil {
			r.obs.addViolation("%s does not start: %v", r.f.processes[n].id, err)
		}
		r.mu.Lock()
		r.started[n] = time.Now()
		r.mu.Unlock()
		r.obs.count("restarts")
	})
}
