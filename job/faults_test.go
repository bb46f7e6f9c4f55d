package job

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/changelog/logtest"
	"github.com/cicadasill/cicadasill/machine"
)

// faultRun is a run of registries over a log that fails. Each registry is one instance, which may be replaced at any time.
type faultRun struct {
	t    *testing.T
	seed uint64
	log  *logtest.Log
	// errorLines receives the errors that the instances log, such as a gap in results.
	errorLines lockedBuffer

	mu       sync.Mutex // guards the fields below
	rng      *rand.Rand
	members  []*faultMember
	accepted map[ID]int      // items of the jobs that were accepted
	ended    map[ID]bool     // jobs whose end was asked
	read     map[ID][]Result // the longest list that was read of each job
}

// lockedBuffer is a buffer to which several loggers write.
type lockedBuffer struct {
	mu sync.Mutex // guards Buffer
	bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// String returns what has been written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

// faultMember is an instance of a faultRun.
type faultMember struct {
	*Registry
	cancel context.CancelFunc
	done   chan struct{}
}

// start starts an instance in the place i.
func (r *faultRun) start(i int) *faultMember {
	self := machine.Ref{ID: fmt.Sprint("i", i), Incarnation: uint64(r.rng.Int64())}
	ctx, cancel := context.WithCancel(context.Background())
	m := &faultMember{cancel: cancel, done: make(chan struct{}), Registry: NewRegistry(RegistryOptions{
		Self: self, Log: r.log, Partitions: 1, Logger: log.NewWithOptions(&r.errorLines, log.Options{Level: log.ErrorLevel}), Retention: time.Hour,
		AvailableInDataCentre: func(machine.Ref) bool { return false }, Drivers: func(string) []machine.Ref { return []machine.Ref{self} },
		Peers: fixedPeers{dead: true}, IndexPause: func() time.Duration { return 20 * time.Millisecond }, IndexRead: func(error) {},
	})}
	go func() {
		defer close(m.done)
		m.Run(ctx)
	}()
	return m
}

// replace ends the instance in a place without a planned stop, and starts another one there.
func (r *faultRun) replace(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.members[i]
	old.cancelWrites()
	old.cancel()
	r.members[i] = r.start(i)
	go func() { <-old.done }()
}

// pick returns a random instance.
func (r *faultRun) pick() *faultMember {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members[r.rng.IntN(len(r.members))]
}

// intN returns a random number below n.
func (r *faultRun) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

const faultItems = 5

// client submits a job until it is accepted, lists results at random instances as its drivers would, reads at others, and at
// times ends the job.
func (r *faultRun) client(n int) {
	id := ID(fmt.Sprint("job", n))
	spec := &Spec{ID: id, Host: "h", Step: int64(n), Model: "m"}
	for i := range faultItems {
		spec.Items = append(spec.Items, Item{ID: fmt.Sprint(id, "-", i), Body: []byte{byte(i)}})
	}
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err := r.pick().Submit(ctx, spec)
		cancel()
		if err == nil {
			break
		}
	}
	r.mu.Lock()
	r.accepted[id] = faultItems
	r.mu.Unlock()
	ends := r.intN(3) == 0
	for step := range 10 {
		m := r.pick()
		if s, ok := m.Summary(id); ok && !s.Ended {
			item := fmt.Sprint(id, "-", r.intN(faultItems))
			m.queueResult(&s, Result{Item: item, State: Complete, Output: []byte(fmt.Sprint(item, " at ", step))})
		}
		if r.intN(4) == 0 {
			r.replace(r.intN(len(r.members)))
		}
		time.Sleep(time.Duration(r.intN(100)) * time.Millisecond)
		r.checkRead(r.pick(), id, false)
	}
	if ends {
		r.mu.Lock()
		r.ended[id] = true
		r.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = r.pick().End(ctx, id)
	}
}

// checkRead reads a job from the start, and the bodies of the items without a result. Unless must is set, an instance may be
// unable to read, but it must not deny what is there.
func (r *faultRun) checkRead(m *faultMember, id ID, must bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	page, err := m.Results(ctx, id, 0, 0)
	var notFound *NotFoundError
	if errors.As(err, &notFound) || (must && err != nil) {
		r.t.Errorf("seed %d: job %s: %v", r.seed, id, err)
	}
	if err != nil {
		return
	}
	r.mu.Lock()
	known, ended := r.read[id], r.ended[id]
	for i, result := range page.Results {
		if i < len(known) && string(known[i].Output) != string(result.Output) {
			r.t.Errorf("seed %d: job %s has %q at position %d, %q before", r.seed, id, result.Output, i, known[i].Output)
		}
	}
	if must && len(page.Results) < len(known) {
		r.t.Errorf("seed %d: job %s has %d results, %d before", r.seed, id, len(page.Results), len(known))
	}
	if len(page.Results) > len(known) {
		r.read[id] = page.Results
	}
	listed := map[string]bool{}
	for _, result := range r.read[id] {
		listed[result.Item] = true
	}
	r.mu.Unlock()
	if ended || !must {
		return
	}
	for i := range faultItems {
		item := fmt.Sprint(id, "-", i)
		if body, err := m.Body(ctx, id, item); !listed[item] && (err != nil || len(body) != 1 || body[0] != byte(i)) {
			r.t.Errorf("seed %d: item %s has the body %v, %v", r.seed, item, body, err)
		}
	}
}

// Guards against an accepted job that can't be read, a result that is gone or has changed its position, and an item whose body is
// gone, whatever the log does to calls while instances are replaced and several of them list results of the same job.
func TestAcceptedJobsStayReadable(t *testing.T) {
	const instances, jobs = 3, 6
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			r := &faultRun{
				t: t, seed: seed, log: logtest.New(seed), rng: rand.New(rand.NewPCG(seed, 1)),
				accepted: map[ID]int{}, ended: map[ID]bool{}, read: map[ID][]Result{},
			}
			for i := range instances {
				r.members = append(r.members, r.start(i))
			}
			var clients conc.WaitGroup
			for n := range jobs {
				clients.Go(func() { r.client(n) })
			}
			clients.Wait()
			r.log.EndFaults()
			time.Sleep(2 * time.Second) // late appends
			for i := range instances {
				r.replace(i)
			}
			for id := range r.accepted {
				for _, m := range r.members {
					r.checkRead(m, id, true)
				}
			}
			for _, m := range r.members {
				m.cancel()
				<-m.done
			}
			if lines := r.errorLines.String(); lines != "" {
				t.Errorf("seed %d: %s", seed, lines)
			}
		})
	}
}
