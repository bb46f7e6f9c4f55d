package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// Times of a run with streams.
const (
	// streamTime is how long clients send streams.
	streamTime = 24 * time.Second
	// releaseInterval is the time between two releases of software.
	releaseInterval = 6 * time.Second
	// streamInterval is the time between two streams of a client, streamDeadline how long a client tries to get one whole.
	streamInterval = 40 * time.Millisecond
	streamDeadline = 6 * time.Second
)

const (
	// storePageSize is the number of keys in a page of the platform's store. A starting instance loads the streams of half a minute.
	storePageSize = 500
	// writers is the number of back ends that serve at the same time.
	writers = 6
	// streamEvents is the number of events of a stream, streamEventInterval the time between two of them.
	streamEvents        = 12
	streamEventInterval = 40 * time.Millisecond
	// streamTries bounds the attempts of a client for one stream.
	streamTries = 4
	// minTakeUps is the number of take-ups from which on their share counts, minTakeUpShare the least ratio of their share to that of
	// new streams.
	minTakeUps     = 12
	minTakeUpShare = 0.5
)

// writerEngine is a process of a back end that serves streams.
type writerEngine struct {
	*hostedtest.Engine
	software string
	leaving  bool
}

// streamRun is a run in which clients take streams up.
type streamRun struct {
	f    *fleet
	obs  *observations
	seed uint64
	stop chan struct{}

	mu          sync.Mutex // guards the fields below
	engines     []*writerEngine
	started     int
	disturbedAt time.Time // the last disruption of an instance or the store
	begun, new  int       // undisturbed streams that began, of all new ones
	gone, again int       // undisturbed take-ups that went on, of all
	streams     []sentStream
}

// sentStream lists the attempts of a client that brought events of one stream.
type sentStream struct{ attempts []string }

// RunStreams runs a fleet whose back ends are replaced by those of other software versions while clients take streams up, and instances
// are stopped and killed, one or all at once. It checks that no stream holds events of two versions.
func RunStreams(opts Options) (*Report, error) {
	f, err := newFleet(opts.Dir, opts.Binary, opts.Instances, opts.Engines, memoryMB)
	defer f.close()
	if err != nil {
		return nil, err
	}
	f.store.SetPageSize(storePageSize)
	r := &streamRun{f: f, obs: newObservations(), seed: opts.Seed, stop: make(chan struct{})}
	defer r.closeEngines()
	for range writers {
		r.startEngine("v1")
	}
	var work sync.WaitGroup
	work.Go(func() { every(r.stop, entryInterval, func() { f.publishEntries(); r.publishEntries() }) })
	ready := waitReady(f)
	if ready {
		for n := range f.processes {
			work.Go(func() { r.runClient(n) })
		}
		work.Go(r.runReleases)
		work.Go(r.runFaults)
		time.Sleep(streamTime)
	}
	close(r.stop)
	work.Wait()
	if !ready {
		return nil, &StartError{Dir: opts.Dir}
	}
	r.check()
	return &Report{Violations: r.obs.violations, Counts: r.obs.counts}, nil
}

// startEngine starts a back end with a version of the software.
func (r *streamRun) startEngine(software string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := hostedtest.NewEngine(fmt.Sprint("writer-", r.started), "writer", "a", "w")
	e.Events, e.EventInterval = streamEvents, streamEventInterval
	r.started++
	r.engines = append(r.engines, &writerEngine{Engine: e, software: software})
}

// closeEngines ends all back ends.
func (r *streamRun) closeEngines() {
	for _, e := range r.engines {
		e.CloseClientConnections()
		e.Close()
	}
}

// publishEntries writes the entries of the back ends that serve.
func (r *streamRun) publishEntries() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.engines {
		if !e.leaving {
			r.f.store.PutEntry(e.ID, e.EntryWith("ready", map[string]any{"version": e.software}))
		}
	}
}

// runReleases replaces half of the back ends by those of the next version, again and again, so that two or three versions serve.
func (r *streamRun) runReleases() {
	rng := rand.New(rand.NewPCG(r.seed, 400))
	for n := 2; r.sleep(time.Duration(rng.Int64N(int64(releaseInterval)))); n++ {
		r.obs.count("releases")
		r.mu.Lock()
		var old []*writerEngine
		for _, e := range r.engines {
			if !e.leaving && len(old) < writers/2 {
				old = append(old, e)
			}
		}
		r.mu.Unlock()
		for _, e := range old {
			r.startEngine(fmt.Sprint("v", n))
			r.publishEntries()
			time.Sleep(200 * time.Millisecond)
			r.mu.Lock()
			e.leaving = true
			r.mu.Unlock()
			r.f.store.PutEntry(e.ID, e.EntryWith("draining", map[string]any{"version": e.software}))
			time.AfterFunc(drainTime, func() {
				r.f.store.PutEntry(e.ID, nil)
				e.Crash()
			})
		}
	}
}

// sleep waits and reports whether the run goes on.
func (r *streamRun) sleep(d time.Duration) bool {
	select {
	case <-r.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// runFaults breaks streams off in several ways, in series that overlap with releases.
func (r *streamRun) runFaults() {
	rng := rand.New(rand.NewPCG(r.seed, 401))
	for r.sleep(time.Duration(rng.Int64N(int64(2 * time.Second)))) {
		switch kind := rng.IntN(6); kind {
		case 0, 1, 2: // connections to some back ends break
			r.obs.count("resets")
			r.mu.Lock()
			for _, e := range r.engines {
				if rng.IntN(2) == 0 {
					go e.CloseClientConnections()
				}
			}
			r.mu.Unlock()
		case 3:
			r.obs.count("restarts")
			r.restart(rng.IntN(len(r.f.processes)), 1, rng.IntN(2) == 0)
		case 4:
			r.obs.count("restarts of all")
			r.restart(0, len(r.f.processes), false)
		case 5:
			r.obs.count("store faults")
			r.disturb()
			r.f.store.SetFault(storeFaults([]hostedtest.Fault{hostedtest.Busy, hostedtest.LoseResponse, hostedtest.DelayAppend}[rng.IntN(3)], rng.Float64()))
			r.sleep(faultDuration)
			r.f.store.SetFault(nil)
			r.f.store.RunDelayed()
			r.disturb()
		}
	}
}

// restart ends count instances from first on at the same time and starts them again.
func (r *streamRun) restart(first, count int, planned bool) {
	r.disturb()
	var ends sync.WaitGroup
	for _, p := range r.f.processes[first : first+count] {
		ends.Go(func() { p.stop(planned) })
	}
	ends.Wait()
	for _, p := range r.f.processes[first : first+count] {
		if err := p.start(); err != nil {
			r.obs.addViolation("%s does not start: %v", p.id, err)
		}
	}
	r.disturb()
}

// disturb records that an instance or the store is disrupted.
func (r *streamRun) disturb() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbedAt = time.Now()
}

// runClient sends streams, beside one another, until the run ends.
func (r *streamRun) runClient(n int) {
	rng := rand.New(rand.NewPCG(r.seed, uint64(500+n)))
	transport := &http.Transport{}
	var sends sync.WaitGroup
	count := 0
	every(r.stop, streamInterval, func() {
		count++
		id, own := fmt.Sprintf("s-%d-%d", n, count), rand.New(rand.NewPCG(rng.Uint64(), 1))
		sends.Go(func() { r.sendStream(transport, id, own) })
	})
	sends.Wait()
}

// sendStream sends a stream and takes it up when it breaks off, at any instance.
func (r *streamRun) sendStream(transport *http.Transport, id string, rng *rand.Rand) {
	deadline := time.Now().Add(streamDeadline)
	var sent sentStream
	last := 0
	for try := range streamTries {
		if time.Now().After(deadline) {
			break
		}
		attempt := fmt.Sprint(id, "-", try)
		first := ""
		if len(sent.attempts) > 0 {
			first = sent.attempts[0]
		}
		calm := r.isCalm(first)
		status, seen := r.attempt(transport, rng, attempt, first, last, deadline)
		r.obs.count(fmt.Sprintf("stream %d", status))
		r.countAttempt(first, calm && r.isCalm(first), status != 0, seen > last)
		if seen > last {
			sent.attempts = append(sent.attempts, attempt)
			last = seen
		}
		if last == streamEvents {
			r.obs.count("whole streams")
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams = append(r.streams, sent)
}

// isCalm reports whether neither instances nor the store have been disrupted for contactTime, and two back ends of the version of the
// attempt that began a stream serve, if that is not empty.
func (r *streamRun) isCalm(first string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.disturbedAt) < contactTime {
		return false
	}
	if first == "" {
		return true
	}
	serving, software := 0, r.softwareOf(first)
	for _, e := range r.engines {
		if !e.leaving && e.software == software {
			serving++
		}
	}
	return serving >= 2
}

// countAttempt counts an attempt that was answered in calm: a new one or, if first is not empty, one that takes a stream up.
func (r *streamRun) countAttempt(first string, calm, answered, wentOn bool) {
	if !calm || !answered {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	total, good := &r.new, &r.begun
	if first != "" {
		total, good = &r.again, &r.gone
	}
	*total++
	if wentOn {
		*good++
	}
}

// attempt sends one attempt and returns the status, 0 without an answer, and the id of the last whole event.
func (r *streamRun) attempt(transport *http.Transport, rng *rand.Rand, id, first string, last int, deadline time.Time) (status, seen int) {
	p := r.f.processes[rng.IntN(len(r.f.processes))]
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.addr+"/streams/1", strings.NewReader("body"))
	if err != nil {
		return 0, last
	}
	request.Host, request.GetBody = host, nil
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Model", "w")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	if first != "" {
		request.Header.Set("Last-Event-Id", strconv.Itoa(last))
		request.Header.Set("Resumes", first)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, last
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, last
	}
	lines := bufio.NewScanner(response.Body)
	event := 0
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			event, _ = strconv.Atoi(text)
		} else if lines.Text() == "" && event > 0 {
			if event != last+1 {
				r.obs.addViolation("attempt %s brought event %d after %d", id, event, last)
			}
			last = event
		}
	}
	return response.StatusCode, last
}

// softwareOf returns the version of the back end that has run an attempt, and "" if none has. The caller holds mu.
func (r *streamRun) softwareOf(attempt string) string {
	for _, e := range r.engines {
		for _, run := range e.Runs() {
			if run.ID == attempt {
				return e.software
			}
		}
	}
	return ""
}

// check checks the streams of the run.
func (r *streamRun) check() {
	r.mu.Lock()
	defer r.mu.Unlock()
	software := map[string]string{}
	for _, e := range r.engines {
		for _, run := range e.Runs() {
			software[run.ID] = e.software
		}
	}
	for _, s := range r.streams {
		if len(s.attempts) > 1 {
			r.obs.count("streams taken up")
		}
		for _, attempt := range s.attempts {
			if software[attempt] != software[s.attempts[0]] {
				r.obs.addViolation("stream %s began at %s and went on at %s", s.attempts[0], software[s.attempts[0]], software[attempt])
			}
		}
	}
	r.obs.counts["take-ups in calm"], r.obs.counts["take-ups in calm that went on"] = r.again, r.gone
	if r.again >= minTakeUps && float64(r.gone)/float64(r.again) < minTakeUpShare*float64(r.begun)/float64(r.new) {
		r.obs.addViolation("%d of %d take-ups went on, %d of %d new streams began", r.gone, r.again, r.begun, r.new)
	}
}
