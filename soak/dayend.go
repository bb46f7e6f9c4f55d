package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/platform/hosted"
	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// Times of a run that ends with the loss of all instances.
const (
	silenceInterval = 700 * time.Millisecond
	// maxDownTime is the longest time from the loss of the instances to their restart.
	maxDownTime = 1200 * time.Millisecond
	// lossyPeriod is how long the store loses calls after the restart, partitionsDownPeriod how long a part of its partitions
	// is down.
	lossyPeriod          = 5 * time.Second
	partitionsDownPeriod = 2 * time.Second
	// lastAcceptanceTimeout bounds the wait for the acceptance at which the instances are lost.
	lastAcceptanceTimeout = 5 * time.Second
	// readPatience is how long a client waits for the response to a read, as it does on the platform.
	readPatience = 1500 * time.Millisecond
	// answerTimeout is far beyond the time of any response. A read that takes longer has none.
	answerTimeout = 20 * time.Second
	maxLateness   = 2 * time.Second
)

// newestPageKeys is the number of keys in a page of newest records, so that an instance that starts reads many pages.
const newestPageKeys = 12

// Shares of the calls of a lossy store that fail, and of the partitions that are down.
const (
	minLossShare, maxLossShare = 0.05, 0.45
	maxDownShare               = 0.4
)

// FirstReads are the times from the loss of the instances to the first read of each accepted job that gives all results that
// were read before.
type FirstReads struct {
	// Anywhere has one time for each job, Everywhere one for each job and instance. Both are sorted.
	Anywhere, Everywhere []time.Duration
}

// RunDayEnd runs a fleet whose connections go silent and whose store loses calls, kills all instances as the last job is
// accepted, and reads every accepted job at every restarted instance while the store loses calls for a while longer.
func RunDayEnd(opts Options) (*Report, error) {
	f, err := newFleet(opts.Dir, opts.Binary, opts.Instances, opts.Engines, memoryMB)
	defer f.close()
	if err != nil {
		return nil, err
	}
	for _, e := range f.engines {
		e.Events = eventsPerItem
	}
	f.store.SetPageSize(newestPageKeys)
	obs := newObservations()
	stop := make(chan struct{})
	var background sync.WaitGroup
	defer background.Wait()
	defer close(stop)
	background.Go(func() { every(stop, entryInterval, f.publishEntries) })
	if !waitReady(f) {
		return nil, &StartError{Dir: opts.Dir}
	}
	rng := rand.New(rand.NewPCG(opts.Seed, 6))
	f.store.SetLateness(time.Duration(rng.Int64N(int64(maxLateness))))
	lossy := &lossyStore{rng: rand.New(rand.NewPCG(opts.Seed, 7)), share: minLossShare + rng.Float64()*(maxLossShare-minLossShare)}
	f.store.SetFault(lossy.fault)
	runDay(f, obs, opts, rng)
	for _, p := range f.processes {
		p.stop(false) // has been killed
	}
	time.Sleep(time.Duration(rng.Int64N(int64(maxDownTime))))
	lossy.setDown(rng.Float64()*maxDownShare, rng.Uint64())
	for _, p := range f.processes {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	restarted := time.Now()
	background.Go(func() {
		time.Sleep(partitionsDownPeriod)
		lossy.setDown(0, 0)
		time.Sleep(lossyPeriod - partitionsDownPeriod)
		f.store.SetFault(nil)
		f.store.RunDelayed()
	})
	first := readEverywhere(f, obs, restarted)
	f.store.SetFault(nil)
	f.store.RunDelayed()
	awaitResults(f, obs, opts.Seed)
	obs.checkRun(f)
	return &Report{Violations: obs.violations, Counts: obs.counts, Jobs: len(obs.jobs), FirstReads: first}, nil
}

// runDay submits and reads jobs under faults for opts.FaultPeriod, and kills all instances at the next acceptance.
func runDay(f *fleet, obs *observations, opts Options, rng *rand.Rand) {
	const submitters = 3
	over, lost := make(chan struct{}), make(chan struct{})
	accepted := make(chan struct{}, submitters)
	var work sync.WaitGroup
	for worker := range submitters {
		work.Go(func() {
			c := newClient(f, obs, rand.New(rand.NewPCG(opts.Seed, uint64(10+worker))))
			n := worker
			every(lost, 100*time.Millisecond, func() {
				n += submitters
				s := c.submit(n, 4+c.rng.IntN(8))
				select {
				case <-over:
					if s.accepted {
						accepted <- struct{}{}
						<-lost
					}
				default:
				}
			})
		})
	}
	work.Go(func() {
		c := newClient(f, obs, rand.New(rand.NewPCG(opts.Seed, 9)))
		every(lost, 50*time.Millisecond, c.readAccepted)
	})
	every(after(opts.FaultPeriod), silenceInterval, func() {
		name, begin, _ := silenceThenWorks(f, rng)
		obs.count("fault " + name)
		begin()
	})
	close(over)
	select {
	case <-accepted:
	case <-time.After(lastAcceptanceTimeout):
		obs.count("killed without an acceptance")
	}
	var kills sync.WaitGroup
	for _, p := range f.processes {
		if !p.running() {
			obs.addViolation("%s has ended during the day; log in %s", p.id, p.log.Name())
		}
		kills.Go(func() { p.stop(false) })
	}
	close(lost)
	kills.Wait()
	work.Wait()
}

// after returns a channel that is closed after d.
func after(d time.Duration) <-chan struct{} {
	c := make(chan struct{})
	time.AfterFunc(d, func() { close(c) })
	return c
}

// readAccepted reads an accepted job at an instance.
func (c *client) readAccepted() {
	c.obs.mu.Lock()
	var accepted []*submittedJob
	for _, s := range c.obs.jobs {
		if s.accepted {
			accepted = append(accepted, s)
		}
	}
	c.obs.mu.Unlock()
	if len(accepted) > 0 {
		c.readResults(accepted[c.rng.IntN(len(accepted))], c.randomInstance())
	}
}

// lossyStore selects faults for a share of the store's calls.
type lossyStore struct {
	mu        sync.Mutex // guards the fields below
	rng       *rand.Rand
	share     float64
	downShare float64
	downSeed  uint64
}

// setDown makes a share of the partitions answer nothing.
func (l *lossyStore) setDown(share float64, seed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downShare, l.downSeed = share, seed
}

// fault is a fault function of the store.
func (l *lossyStore) fault(r *http.Request) hostedtest.Fault {
	query := r.URL.Query()
	l.mu.Lock()
	defer l.mu.Unlock()
	hash := fnv.New64a()
	fmt.Fprint(hash, query.Get("topic"), "/", query.Get("part"), "/", l.downSeed)
	if float64(hash.Sum64()%1000)/1000 < l.downShare {
		return hostedtest.Drop
	}
	if l.rng.Float64() >= l.share {
		return hostedtest.None
	}
	faults := []hostedtest.Fault{hostedtest.Busy, hostedtest.LoseResponse, hostedtest.DelayAppend, hostedtest.Drop, hostedtest.HoldResponse, hostedtest.Late}
	return faults[l.rng.IntN(len(faults))]
}

// readEverywhere reads every accepted job at every instance at once, each until all results that were read before are listed.
func readEverywhere(f *fleet, obs *observations, restarted time.Time) FirstReads {
	const readers = 4 // at each instance
	var (
		mu       sync.Mutex // guards the maps
		anywhere = map[string]time.Duration{}
		first    FirstReads
		reads    sync.WaitGroup
	)
	calm := restarted.Add(lossyPeriod)
	for _, p := range f.processes {
		for reader := range readers {
			reads.Go(func() {
				c := newClient(f, obs, nil)
				c.http.Timeout = answerTimeout
				for n := reader; n < len(obs.jobs); n += readers {
					s := obs.jobs[n]
					if !s.accepted {
						continue
					}
					if !c.awaitRead(s, p, calm) {
						obs.addViolation("%s: cannot be read at %s until %v after the restart", s.id, p.id, time.Since(restarted))
						continue
					}
					took := time.Since(restarted)
					mu.Lock()
					first.Everywhere = append(first.Everywhere, took)
					if old, ok := anywhere[s.id]; !ok || took < old {
						anywhere[s.id] = took
					}
					mu.Unlock()
				}
			})
		}
	}
	reads.Wait()
	for _, took := range anywhere {
		first.Anywhere = append(first.Anywhere, took)
	}
	slices.Sort(first.Anywhere)
	slices.Sort(first.Everywhere)
	return first
}

// awaitRead reads a job at an instance until all results that were read before are listed. It returns false settleTimeout after
// calm, the end of the faults.
func (c *client) awaitRead(s *submittedJob, p *process, calm time.Time) bool {
	const pause = 50 * time.Millisecond
	deadline := calm.Add(settleTimeout)
	position := 0
	for time.Now().Before(deadline) {
		c.obs.mu.Lock()
		want := len(s.results)
		c.obs.mu.Unlock()
		read, retryAfter := c.readFrom(s, p, position, calm)
		position += read
		if read >= 0 && position >= want {
			return true
		}
		if read == 0 {
			c.obs.addViolation("%s: %s lists %d results, %d were read before", s.id, p.id, position, want)
			return true
		}
		position = max(position, 0)
		time.Sleep(max(retryAfter, pause))
	}
	return false
}

// readFrom reads results from a position on, checks them and returns their number. It returns a negative number and when to read
// again if the read was refused or could not be sent, and reports any other outcome. Refusals after calm are counted apart.
func (c *client) readFrom(s *submittedJob, p *process, position int, calm time.Time) (read int, retryAfter time.Duration) {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s%s%s?after=%d", p.addr, hosted.ResultsPath, s.id, position), nil)
	if err != nil {
		panic(err)
	}
	request.Host = host
	start := time.Now()
	response, err := c.http.Do(request)
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return refused, 0 // the instance does not listen yet
	case err != nil:
		c.obs.addViolation("%s: read at %s ended after %v without an answer: %v", s.id, p.id, time.Since(start), err)
		return refused, 0
	}
	defer response.Body.Close()
	if took := time.Since(start); took > readPatience {
		c.obs.count("slow read")
	}
	c.obs.count(fmt.Sprintf("read %d", response.StatusCode))
	var page resultsPage
	switch response.StatusCode {
	case http.StatusOK:
		if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
			c.obs.addViolation("%s: malformed results: %v", s.id, err)
			return refused, 0
		}
		c.checkPage(s, position, page)
		return len(page.Results), 0
	case http.StatusServiceUnavailable:
		if start.After(calm) {
			c.obs.count("read 503 in calm")
		}
		seconds, err := strconv.ParseFloat(response.Header.Get(hosted.HeaderRetryAfter), 64)
		if err != nil {
			c.obs.addViolation("%s: refused by %s without a time to return: %v", s.id, p.id, err)
		}
		return refused, time.Duration(seconds * float64(time.Second))
	default:
		c.obs.addViolation("%s: read at %s got status %d after %v", s.id, p.id, response.StatusCode, time.Since(start))
		return refused, 0
	}
}

// refused is the number of results of a read that was not served.
const refused = -1
