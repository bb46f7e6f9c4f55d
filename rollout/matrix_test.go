package rollout_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/rollout"
	"github.com/cicadasill/cicadasill/rollout/compare"
	"github.com/cicadasill/cicadasill/rollout/enginesim"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/weights"
)

// The steps of a sample's and a version's life at which each fault is injected.
var stages = []string{
	"ask", "dispatch", "generate", "swap mid-sample", "finish", "record", "hand over", "acknowledge",
	"announce", "load", "activate",
}

// matrixFault is a row of the fault matrix. Every cell runs: a fault whose object is not busy at a
// stage (a swap, the store) takes effect at its next use, which each cell reaches.
type matrixFault struct {
	name   string
	inject func(m *matrix, e *enginesim.Engine)
	// ownerLost: the trainer may have to open the step again and may get samples that another owner made.
	ownerLost bool
	// trainerLost: samples are delivered again after the trainer lost them.
	trainerLost bool
}

var matrixFaults = []matrixFault{
	{name: "engine crash", inject: func(_ *matrix, e *enginesim.Engine) { e.Crash() }},
	{name: "swap fails", inject: func(m *matrix, _ *enginesim.Engine) { m.each(func(e *enginesim.Engine) { e.FailSwaps(1) }) }},
	{name: "store down", inject: func(m *matrix, _ *enginesim.Engine) { m.fleet.SetStore(true, 0) }},
	{name: "store slow", inject: func(m *matrix, _ *enginesim.Engine) { m.fleet.SetStore(false, 30*time.Millisecond) }},
	{name: "answer lost", inject: (*matrix).loseAnswer},
	{name: "instance killed", ownerLost: true, inject: func(m *matrix, _ *enginesim.Engine) { m.Kill(m.owner) }},
	{name: "instance paused", ownerLost: true, inject: func(m *matrix, _ *enginesim.Engine) {
		m.SetView(1-m.owner, []int{1 - m.owner})
		m.via.Store(int64(1 - m.owner))
	}},
	{name: "lease lapsed while paused", inject: func(m *matrix, _ *enginesim.Engine) {
		m.lease.Lapse()
		m.distribute(compare.NewLease(2))
	}},
	{name: "log down", inject: func(m *matrix, _ *enginesim.Engine) {
		m.SetLog(&platform.Error{Code: platform.Unavailable, Op: "append"})
	}},
	{name: "trainer dies mid-step", trainerLost: true, inject: func(m *matrix, _ *enginesim.Engine) { m.restore.Store(true) }},
	{name: "region cut", ownerLost: true, inject: func(m *matrix, _ *enginesim.Engine) {
		m.Cut(0, 1, true)
		m.Cut(1, 0, true)
		m.fleet.Engine("s2").SetSilent(true)
	}},
	{name: "duplicate announcement", inject: func(m *matrix, _ *enginesim.Engine) { m.post(); m.post() }},
}

// matrix runs one cell: two steps of a trainer with a swap in the middle of the first.
type matrix struct {
	*bed
	stage     string
	owner     int
	via       atomic.Int64
	lose      atomic.Bool
	restore   atomic.Bool
	onSamples func()
	scorer    *hookScorer
	lease     *compare.Lease
	dist      atomic.Pointer[weights.Distributor]
	wg        conc.WaitGroup // hooks and announcements
	runs      conc.WaitGroup // distributors
}

// Guards against a fault at some step after which a sample is missing, delivered twice, too old or
// wrongly attributed, or after which a sampler stays behind.
func TestFaultMatrix(t *testing.T) {
	for _, f := range matrixFaults {
		for _, stage := range stages {
			t.Run(f.name+"/"+stage, func(t *testing.T) { runCell(t, f, stage) })
		}
	}
}

func runCell(t *testing.T, f matrixFault, stage string) {
	t.Parallel()
	is := is.New(t)
	m := newMatrix(t, stage)
	defer m.wg.Wait()
	var once sync.Once
	var injected atomic.Bool
	inject := func(e *enginesim.Engine) { once.Do(func() { f.inject(m, e); injected.Store(true) }) }
	fire := func() { inject(m.fleet.Engine("s0")) }
	// An engine's goroutine must not wait for its own end, which killing an instance does.
	hook := func(e *enginesim.Engine) { m.wg.Go(func() { inject(e) }) }
	m.arrange(stage, hook, fire)

	m.trainer.Begin(1, groups(3, 2, 120))
	m.request("ask", fire, func() error { return m.trainer.Reopen(m.ctx) })
	m.finishStep(is)
	m.request("acknowledge", fire, func() error { return m.trainer.Ack(m.ctx) })
	m.until(is, injected.Load)
	if m.restore.Load() { // died after its acknowledgement
		m.finishStep(is)
	}
	ledger := m.trainer.Ledger()
	if !f.trainerLost {
		is.Equal(ledger.Delivered, 6)
	}
	if !f.ownerLost && !f.trainerLost {
		is.Equal(ledger.Reopened, 0)
		is.Equal(ledger.Attempts, 6) // resumed, never started again
	}
	m.heal()
	m.until(is, func() bool { return m.allRun(2) })
	m.trainer.Version = 2
	m.trainer.Begin(2, groups(3, 2, 40))
	m.finishStep(is)
	is.Equal(m.trainer.Ledger().Violations, nil)
}

func newMatrix(t *testing.T, stage string) *matrix {
	svc := service()
	svc.Rollout.ScoringService, svc.ChecksFencing = "judge", true
	m := &matrix{stage: stage, scorer: &hookScorer{}}
	m.bed = newBed(t, svc, func(o *rollout.Options) { o.Scorer = m.scorer })
	m.owner = m.OwnerOf("main")
	m.via.Store(int64(m.owner))
	m.trainer.Do = m.do
	m.lease = compare.NewLease(1)
	m.distribute(m.lease)
	t.Cleanup(m.runs.Wait)
	t.Cleanup(m.cancel)
	return m
}

func (m *matrix) distribute(lease *compare.Lease) {
	wait := time.Duration(0)
	if lease.Fence() > 1 {
		wait = 50 * time.Millisecond
	}
	d := weights.New(weights.Options{
		Directory: m.Deployment, Announcer: m.Deployment, Engine: m.fleet, Campaign: compare.Campaign(lease, wait),
		OrderLife: 50 * time.Millisecond, OrderTimeout: 200 * time.Millisecond, ReportPeriod: 5 * time.Millisecond,
		SweepPeriod: 20 * time.Millisecond, RetryPause: 5 * time.Millisecond, MaxRetryPause: 20 * time.Millisecond,
	})
	m.dist.Store(d)
	m.runs.Go(func() { _ = d.Run(m.ctx) })
}

// do sends a trainer's request to the instance that it uses; the next answer may be lost.
func (m *matrix) do(r *http.Request) (*http.Response, error) {
	resp, err := m.Do(int(m.via.Load()), r)
	if err != nil {
		m.via.Store(1 - m.via.Load()) // as the load balancer does with a dead instance
		return nil, err
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if m.onSamples != nil && bytes.Contains(data, []byte(`"position"`)) {
		m.onSamples()
	}
	if m.lose.CompareAndSwap(true, false) {
		return nil, io.ErrUnexpectedEOF
	}
	resp.Body = io.NopCloser(bytes.NewReader(data))
	return resp, nil
}

// post announces version 2 and reports whether the answer says so.
func (m *matrix) post() bool {
	r := httprouter.New()
	m.dist.Load().Register(r)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest("POST", "/v1/services/fry-lm/versions", strings.NewReader(`{"version":2,"trainer":"main"}`)))
	return w.Code == http.StatusOK && !(m.stage == "announce" && m.lose.CompareAndSwap(true, false))
}

// loseAnswer loses the answer of what runs at the cell's stage, after it took effect.
func (m *matrix) loseAnswer(e *enginesim.Engine) {
	switch m.stage {
	case "ask", "hand over", "acknowledge", "announce":
		m.lose.Store(true)
	case "record":
		m.scorer.lose.Store(true)
	case "load", "activate":
		m.each(func(e *enginesim.Engine) { e.LoseAnswers(1) })
	default:
		e.Reset()
	}
}

// request repeats a trainer's request until it is answered; the fault of stage comes before it.
func (m *matrix) request(stage string, fire func(), call func() error) {
	if m.stage == stage {
		fire()
	}
	for call() != nil && m.ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

// finishStep takes until the step is whole; a trainer that died begins again without any sample.
func (m *matrix) finishStep(is *is.I) {
	is.Helper()
	none := rollout.NewBitmap(6)
	for {
		if m.restore.CompareAndSwap(true, false) {
			m.trainer.Restore(none)
		}
		ctx, cancel := context.WithTimeout(m.ctx, 20*time.Millisecond)
		err := m.trainer.Complete(ctx, 5*time.Millisecond)
		cancel()
		if err == nil && !m.restore.Load() {
			break
		}
		is.NoErr(m.ctx.Err())
	}
	is.Equal(m.trainer.Count(), 6)
}

// heal ends every fault.
func (m *matrix) heal() {
	m.SetLog(nil)
	m.fleet.SetStore(false, 0)
	for i := range 2 {
		m.SetView(i, nil)
		m.Cut(i, 1-i, false)
	}
	m.each(func(e *enginesim.Engine) {
		e.SetSilent(false)
		if e.Down() {
			e.Restart(1)
		}
	})
}

func (m *matrix) each(f func(e *enginesim.Engine)) {
	for _, id := range []string{"s0", "s1", "s2"} {
		f(m.fleet.Engine(id))
	}
}

func (m *matrix) allRun(version int64) bool {
	all := true
	m.each(func(e *enginesim.Engine) { all = all && e.Version() == version && !e.Down() })
	return all
}

// arrange sets the hooks of a cell: the announcement in mid-sample and the fault at its stage.
func (m *matrix) arrange(stage string, hook func(*enginesim.Engine), fire func()) {
	announce := sync.OnceFunc(func() {
		m.wg.Go(func() {
			for m.ctx.Err() == nil {
				if stage == "announce" {
					fire()
				}
				if m.post() {
					return
				}
				time.Sleep(time.Millisecond)
			}
		})
	})
	m.each(func(e *enginesim.Engine) {
		at := map[string]int{"generate": 10, "swap mid-sample": 30, "finish": 120}
		e.At(20, announce)
		if n, ok := at[stage]; ok {
			e.At(n, func() { hook(e) })
		}
	})
	switch stage {
	case "dispatch", "load", "activate":
		m.fleet.On(enginesim.Stage(stage), hook)
	case "record":
		m.scorer.set(func() { hook(m.fleet.Engine("s0")) })
	case "hand over":
		m.onSamples = fire
	}
}
