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
	// entryInterval is how often the back ends' entries are written.
	entryInterval = 500 * time.Millisecond
	// faultDuration is how long a fault lasts. It is longer than meanFaultInterval, so that faults
	// overlap.
	faultDuration     = 1500 * time.Millisecond
	meanFaultInterval = 400 * time.Millisecond
	// settleTimeout is how long accepted jobs may take to complete after the last fault.
	settleTimeout = 40 * time.Second
	// startTimeout is how long the instances may take to become ready.
	startTimeout = 10 * time.Second
)

// memoryMB is the memory of the instances' machines.
const memoryMB = 300

// Options configures a run.
type Options struct {
	Seed uint64
	// Dir is the directory for the settings and logs of the processes.
	Dir string
	// Binary is the path of the daemon's executable.
	Binary    string
	Instances int
	Engines   int
	// FaultPeriod is how long faults are injected.
	FaultPeriod time.Duration
	// OnlySilence limits the faults to silent connections with planned works after them. Each request must then be
	// answered.
	OnlySilence bool
	// BadClients adds clients that do not behave, on machines with little memory.
	BadClients bool
}

// Report is the outcome of a run.
type Report struct {
	// Violations lists the violated guarantees.
	Violations []string
	// Counts counts the responses by kind of request and status, and the faults by kind.
	Counts map[string]int
	Jobs   int
	// FirstReads is set by RunDayEnd.
	FirstReads FirstReads
}

// Run runs a fleet under faults and checks the guarantees. The seed determines only the sequences of
// faults and requests; how they interleave depends on the timing of the machine.
func Run(opts Options) (*Report, error) {
	memory := memoryMB
	if opts.BadClients {
		memory = badMemoryMB
	}
	f, err := newFleet(opts.Dir, opts.Binary, opts.Instances, opts.Engines, memory)
	defer f.close()
	if err != nil {
		return nil, err
	}
	for _, e := range f.engines {
		e.Events = eventsPerItem
	}
	obs := newObservations()
	obs.mustAnswer = opts.OnlySilence
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { every(stop, entryInterval, f.publishEntries) })
	if !waitReady(f) {
		close(stop)
		background.Wait()
		return nil, &StartError{Dir: opts.Dir}
	}
	var work sync.WaitGroup
	faultsOver := make(chan struct{})
	var version atomic.Int64
	version.Store(1)
	work.Go(func() { runJobs(f, obs, opts.Seed, faultsOver) })
	work.Go(func() { runRequests(f, obs, opts.Seed, faultsOver) })
	work.Go(func() {
		every(faultsOver, 3*time.Second, func() {
			f.store.PutVersion("m", version.Add(1))
		})
	})
	work.Go(func() { injectAPIFaults(f, opts.Seed, faultsOver) })
	if opts.BadClients {
		work.Go(func() { runBadClients(f, obs, opts.Seed, faultsOver) })
	}
	injectFaults(f, obs, opts)
	close(faultsOver)
	err = f.clearFaults()
	work.Wait()
	awaitResults(f, obs, opts.Seed)
	obs.checkReports(f)
	close(stop)
	background.Wait()
	obs.checkRun(f)
	if opts.BadClients {
		obs.checkMachines(f)
	}
	return &Report{Violations: obs.violations, Counts: obs.counts, Jobs: len(obs.jobs)}, err
}

// StartError reports that not all instances became ready. Their logs are in Dir.
type StartError struct{ Dir string }

// Error implements error.
func (e *StartError) Error() string { return "instances did not become ready; logs in " + e.Dir }

// every calls f immediately and then with a pause of period after each call until stop is closed.
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

// waitReady waits until each instance has served a request. It returns false after startTimeout.
func waitReady(f *fleet) bool {
	c := newClient(f, newObservations(), rand.New(rand.NewPCG(1, 1)))
	deadline := time.Now().Add(startTimeout)
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

// runJobs submits jobs until stop is closed and reads the results of each accepted one once.
func runJobs(f *fleet, obs *observations, seed uint64, stop <-chan struct{}) {
	c := newClient(f, obs, rand.New(rand.NewPCG(seed, 2)))
	n := 0
	every(stop, 300*time.Millisecond, func() {
		n++
		s := c.submit(n, 4+c.rng.IntN(8))
		if s.accepted {
			c.readResults(s, c.randomInstance())
		}
	})
}

// runRequests sends plain and at-most-once requests until stop is closed.
func runRequests(f *fleet, obs *observations, seed uint64, stop <-chan struct{}) {
	c := newClient(f, obs, rand.New(rand.NewPCG(seed, 3)))
	n := 0
	every(stop, 20*time.Millisecond, func() {
		n++
		c.sendPlain(n)
		c.sendOnce(n)
	})
}

// awaitResults reads the results of each accepted job until they are complete or settleTimeout has
// passed, and then reads those of each job at every instance.
func awaitResults(f *fleet, obs *observations, seed uint64) {
	c := newClient(f, obs, rand.New(rand.NewPCG(seed, 4)))
	deadline := time.Now().Add(settleTimeout)
	for _, s := range obs.jobs {
		for s.accepted && len(s.results) < s.items && time.Now().Before(deadline) {
			c.readResults(s, c.randomInstance())
			time.Sleep(10 * time.Millisecond)
		}
		for _, p := range f.processes {
			c.readResults(s, p.addr)
		}
	}
}

// injectFaults starts random faults for opts.FaultPeriod. It returns when all have ended.
func injectFaults(f *fleet, obs *observations, opts Options) {
	rng := rand.New(rand.NewPCG(opts.Seed, 5))
	end := time.Now().Add(opts.FaultPeriod)
	var active sync.WaitGroup
	for time.Now().Before(end) {
		name, begin, finish := randomFault(f, rng, opts.OnlySilence)
		obs.count("fault " + name)
		begin()
		active.Go(func() {
			time.Sleep(faultDuration)
			finish()
		})
		time.Sleep(time.Duration(rng.Int64N(int64(2 * meanFaultInterval))))
	}
	active.Wait()
}

// randomFault returns the name of a fault and the functions that begin and end it.
func randomFault(f *fleet, rng *rand.Rand, onlySilence bool) (name string, begin, finish func()) {
	if onlySilence {
		return silenceThenWorks(f, rng)
	}
	proc := f.processes[rng.IntN(len(f.processes))]
	backendProxy := f.backendProxies[rng.IntN(len(f.backendProxies))]
	mode := Mode(1 + rng.IntN(int(modeCount)-1))
	answer := []hostedtest.Answer{hostedtest.Truncate, hostedtest.Refuse, hostedtest.WrongRequestID, hostedtest.Unframed, hostedtest.Silent}[rng.IntN(5)]
	storeFault := []hostedtest.Fault{hostedtest.Busy, hostedtest.LoseResponse, hostedtest.DelayAppend}[rng.IntN(3)]
	fraction := rng.Float64()
	noop := func() {}
	restart := func() { _ = proc.start() } // clearFaults tries again after an error
	switch rng.IntN(10) {
	case 0:
		return "kill", func() { proc.stop(false) }, restart
	case 1:
		return "planned stop", func() { go proc.stop(true) }, func() { proc.stop(true); restart() }
	case 2:
		return "pause", func() { proc.signal(syscall.SIGSTOP) }, func() { proc.signal(syscall.SIGCONT) }
	case 3:
		return "store link", func() { proc.storeProxy.mode.Store(int32(mode)) }, func() { proc.storeProxy.mode.Store(int32(Pass)); proc.storeProxy.resetAll() }
	case 4:
		return "back end link", func() { backendProxy.mode.Store(int32(mode)) }, func() { backendProxy.mode.Store(int32(Pass)); backendProxy.resetAll() }
	case 5:
		return "reset", func() { backendProxy.resetAll(); proc.storeProxy.resetAll() }, noop
	case 6:
		return "store fault", func() { f.store.SetFault(storeFaults(storeFault, fraction)) }, func() { f.store.SetFault(nil); f.store.RunDelayed() }
	case 7:
		return "history dropped", f.store.Expire, noop
	case 8:
		return silenceThenWorks(f, rng)
	default:
		e := f.backends()[rng.IntN(len(f.backendProxies))]
		return "bad answers", func() {
			e.SetAnswer(func(_ string, attempt int) hostedtest.Answer {
				if attempt == 1 {
					return answer
				}
				return hostedtest.Complete
			})
		}, func() { e.SetAnswer(nil) }
	}
}

// silenceThenWorks returns a fault that silences connections for good, and planned stops, restarts and changes of the
// configuration in series that begin when it ends.
func silenceThenWorks(f *fleet, rng *rand.Rand) (name string, begin, finish func()) {
	const maxWorks, maxPause, maxSilentNew = 3, time.Second, 3 * time.Second
	direction := rng.IntN(3)
	s := silence{everySecond: rng.IntN(2) == 0, toServer: direction != 1, fromServer: direction != 2}
	if rng.IntN(2) == 0 {
		s.newAfter = time.Duration(rng.Int64N(int64(maxSilentNew)))
	}
	var proxies []*proxy
	scope := rng.IntN(4)
	if scope == 0 || scope == 3 {
		proxies = append(proxies, f.backendProxies...)
	}
	for _, p := range f.processes {
		if scope == 1 || scope == 3 {
			proxies = append(proxies, p.storeProxy)
		}
		if scope == 2 || scope == 3 {
			proxies = append(proxies, p.peerProxy)
		}
	}
	var works []func()
	for range 1 + rng.IntN(maxWorks) {
		proc, stops, pause := f.processes[rng.IntN(len(f.processes))], rng.IntN(3) > 0, time.Duration(rng.Int64N(int64(maxPause)))
		works = append(works, func() {
			time.Sleep(pause)
			if !stops {
				f.changeConfig()
				return
			}
			proc.stop(true)
			_ = proc.start() // clearFaults tries again after an error
		})
	}
	return "silence of " + []string{"back ends", "store", "peers", "all"}[scope], func() {
			for _, p := range proxies {
				p.silence(s)
			}
		}, func() {
			for _, work := range works {
				work()
			}
		}
}

// storeFaults returns a fault function that gives fault to a fraction of the calls. Reads are affected
// only if the fault is Busy.
func storeFaults(fault hostedtest.Fault, fraction float64) func(*http.Request) hostedtest.Fault {
	var calls atomic.Int64
	return func(r *http.Request) hostedtest.Fault {
		n := calls.Add(1)
		affected := float64(n%10) < 10*fraction
		if !affected || (r.Method != http.MethodPost && fault != hostedtest.Busy) {
			return hostedtest.None
		}
		return fault
	}
}
