package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// eventsPerItem is the number of events of each item.
const eventsPerItem = 6

// Times of a run.
const (
	beatPeriod = 500 * time.Millisecond
	// faultLife is how long a fault lasts; several overlap.
	faultLife = 1500 * time.Millisecond
	faultGap  = 400 * time.Millisecond
	// settleTime is how long accepted jobs may take after the last fault.
	settleTime = 40 * time.Second
	startTime  = 10 * time.Second
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Dir takes the settings and logs of the processes.
	Dir string
	// Binary is the daemon's program.
	Binary    string
	Instances int
	Engines   int
	// Faults is the time for which faults are injected.
	Faults time.Duration
}

// Report is the outcome of a run.
type Report struct {
	// Broken lists the promises that were broken.
	Broken []string
	// Counted counts the answers by kind and status, and the faults.
	Counted map[string]int
	Jobs    int
}

// Run runs a fleet under faults and checks the promises. Only the sequence of faults and requests
// follows the seed; the machine decides how they meet.
func Run(opts Options) (*Report, error) {
	f, err := newFleet(opts.Dir, opts.Binary, opts.Instances, opts.Engines)
	defer f.close()
	if err != nil {
		return nil, err
	}
	for _, e := range f.engines {
		e.Events = eventsPerItem
	}
	seen := newObservations()
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { every(stop, beatPeriod, f.beat) })
	if !waitReady(f) {
		close(stop)
		background.Wait()
		return nil, &StartError{Dir: opts.Dir}
	}
	var work sync.WaitGroup
	faultsOver := make(chan struct{})
	var version atomic.Int64
	version.Store(1)
	work.Go(func() { runJobs(f, seen, opts.Seed, faultsOver) })
	work.Go(func() { runRequests(f, seen, opts.Seed, faultsOver) })
	work.Go(func() {
		every(faultsOver, 3*time.Second, func() {
			f.store.PutVersion("m", version.Add(1))
		})
	})
	injectFaults(f, seen, opts)
	close(faultsOver)
	err = f.heal()
	work.Wait()
	settle(f, seen, opts.Seed)
	close(stop)
	background.Wait()
	seen.checkEnd(f)
	return &Report{Broken: seen.broken, Counted: seen.counted, Jobs: len(seen.jobs)}, err
}

// StartError reports instances that did not become ready; their logs are in Dir.
type StartError struct{ Dir string }

// Error implements error.
func (e *StartError) Error() string { return "instances did not become ready; logs in " + e.Dir }

// every calls f at once and then once a period until stop is closed.
func every(stop <-chan struct{}, period time.Duration, f func()) {
	for {
		f()
		select {
		case <-stop:
			return
		case <-time.After(period):
		}
	}
}

func waitReady(f *fleet) bool {
	c := newClient(f, newObservations(), rand.New(rand.NewPCG(1, 1)))
	deadline := time.Now().Add(startTime)
	for _, p := range f.processes {
		for {
			if status, _ := c.call(p.addr, http.MethodPost, "/plain/ready", "ready", nil); status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// runJobs submits jobs and reads those that are open until the faults are over.
func runJobs(f *fleet, seen *observations, seed uint64, over <-chan struct{}) {
	c := newClient(f, seen, rand.New(rand.NewPCG(seed, 2)))
	n := 0
	every(over, 300*time.Millisecond, func() {
		n++
		s := c.submit(n, 4+c.rng.IntN(8))
		if s.accepted {
			c.read(s, c.anyInstance())
		}
	})
}

func runRequests(f *fleet, seen *observations, seed uint64, over <-chan struct{}) {
	c := newClient(f, seen, rand.New(rand.NewPCG(seed, 3)))
	n := 0
	every(over, 20*time.Millisecond, func() {
		n++
		c.plain(n)
		c.atMostOnce(n)
	})
}

// settle reads all accepted jobs at all instances until they are listed whole.
func settle(f *fleet, seen *observations, seed uint64) {
	c := newClient(f, seen, rand.New(rand.NewPCG(seed, 4)))
	deadline := time.Now().Add(settleTime)
	for _, s := range seen.jobs {
		for s.accepted && len(s.results) < s.items && time.Now().Before(deadline) {
			c.read(s, c.anyInstance())
			time.Sleep(10 * time.Millisecond)
		}
		for _, p := range f.processes {
			c.read(s, p.addr)
		}
	}
}

// injectFaults starts overlapping faults; each ends after its life.
func injectFaults(f *fleet, seen *observations, opts Options) {
	rng := rand.New(rand.NewPCG(opts.Seed, 5))
	end := time.Now().Add(opts.Faults)
	var lives sync.WaitGroup
	for time.Now().Before(end) {
		name, begin, finish := drawFault(f, rng)
		seen.count("fault " + name)
		begin()
		lives.Go(func() {
			time.Sleep(faultLife)
			finish()
		})
		time.Sleep(time.Duration(rng.Int64N(int64(2 * faultGap))))
	}
	lives.Wait()
}

// drawFault returns a fault with what begins and what ends it.
func drawFault(f *fleet, rng *rand.Rand) (name string, begin, finish func()) {
	p := f.processes[rng.IntN(len(f.processes))]
	link := f.links[rng.IntN(len(f.links))]
	mode := Mode(1 + rng.IntN(int(modes)-1))
	answer := []hostedtest.Answer{hostedtest.Cut, hostedtest.Refuse, hostedtest.Other, hostedtest.Unframed, hostedtest.Silent}[rng.IntN(5)]
	storeFault := []hostedtest.Fault{hostedtest.Busy, hostedtest.Lost, hostedtest.Late}[rng.IntN(3)]
	part := rng.Float64()
	nothing := func() {}
	restart := func() { _ = p.start() } // the end of the run starts it again
	switch rng.IntN(9) {
	case 0:
		return "kill", func() { p.stop(false) }, restart
	case 1:
		return "planned stop", func() { go p.stop(true) }, func() { p.stop(true); restart() }
	case 2:
		return "pause", func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) }
	case 3:
		return "store link", func() { p.store.mode.Store(int32(mode)) }, func() { p.store.mode.Store(int32(Pass)); p.store.resetAll() }
	case 4:
		return "back end link", func() { link.mode.Store(int32(mode)) }, func() { link.mode.Store(int32(Pass)); link.resetAll() }
	case 5:
		return "reset", func() { link.resetAll(); p.store.resetAll() }, nothing
	case 6:
		return "store fault", func() { f.store.SetFault(storeFaults(storeFault, part)) }, func() { f.store.SetFault(nil); f.store.RunLate() }
	case 7:
		return "history dropped", f.store.Expire, nothing
	default:
		e := f.backends()[rng.IntN(len(f.links))]
		return "bad answers", func() {
			e.SetAnswer(func(_ string, attempt int) hostedtest.Answer {
				if attempt == 1 {
					return answer
				}
				return hostedtest.Whole
			})
		}, func() { e.SetAnswer(nil) }
	}
}

// storeFaults makes a part of the writes fail. Reads fail only while the store is busy.
func storeFaults(fault hostedtest.Fault, part float64) func(*http.Request) hostedtest.Fault {
	var calls atomic.Int64
	return func(r *http.Request) hostedtest.Fault {
		n := calls.Add(1)
		hit := float64(n%10) < 10*part
		if !hit || (r.Method != http.MethodPost && fault != hostedtest.Busy) {
			return hostedtest.None
		}
		return fault
	}
}
