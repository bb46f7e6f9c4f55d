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

// stages lists the points in the life of a sample and of a weight version at which each fault is
// injected.
var stages = []string{
	"ask", "dispatch", "generate", "swap mid-sample", "finish", "record", "hand over", "acknowledge",
	"announce", "load", "activate",
}

// matrixFault is a row of the fault matrix. Every cell runs: if the target of a fault (a swap, the
// store) is not in use at a stage, the fault takes effect at the next use, which each cell reaches.
type matrixFault struct {
	name   string
	inject func(m *matrix, e *enginesim.Engine)
	// ownerLost is set if the trainer may have to open the step again and may receive samples generated
	// by another owner.
	ownerLost bool
	// trainerLost is set if the trainer loses samples, which are delivered again.
	trainerLost bool
}

var matrixFaults = []matrixFault{
	{name: "engine crash", inject: func(_ *matrix, e *enginesim.Engine) { e.Crash() }},
	{name: "swap fails", inject: func(m *matrix, _ *enginesim.Engine) { m.eachEngine(func(e *enginesim.Engine) { e.FailSwaps(1) }) }},
	{name: "store down", inject: func(m *matrix, _ *enginesim.Engine) { m.fleet.SetStore(true, 0) }},
	{name: "store slow", inject: func(m *matrix, _ *enginesim.Engine) { m.fleet.SetStore(false, 30*time.Millisecond) }},
	{name: "answer lost", inject: (*matrix).loseResponse},
	{name: "instance killed", ownerLost: true, inject: func(m *matrix, _ *enginesim.Engine) { m.Kill(m.owner) }},
	{name: "instance paused", ownerLost: true, inject: func(m *matrix, _ *enginesim.Engine) {
		m.SetView(1-m.owner, []int{1 - m.owner})
		m.target.Store(int64(1 - m.owner))
	}},
	{name: "lease lapsed while paused", inject: func(m *matrix, _ *enginesim.Engine) {
		m.lease.Lapse()
		m.startDistributor(compare.NewLease(2))
	}},
	{name: "log down", inject: func(m *matrix, _ *enginesim.Engine) {
		m.SetLog(&platform.Error{Code: platform.Unavailable, Op: "append"})
	}},
	{name: "trainer dies mid-step", trainerLost: true, inject: func(m *matrix, _ *enginesim.Engine) { m.restoreTrainer.Store(true) }},
	{name: "region cut", ownerLost: true, inject: func(m *matrix, _ *enginesim.Engine) {
		m.SetLinkCut(0, 1, true)
		m.SetLinkCut(1, 0, true)
		m.fleet.Engine("s2").SetSilent(true)
	}},
	{name: "duplicate announcement", inject: func(m *matrix, _ *enginesim.Engine) { m.announceVersion(); m.announceVersion() }},
}

// matrix runs one cell: two steps of a trainer with a swap in the middle of the first.
type matrix struct {
	*testbed
	stage            string
	owner            int
	target           atomic.Int64
	loseNextResponse atomic.Bool
	restoreTrainer   atomic.Bool
	onSampleResponse func()
	scorer           *hookScorer
	lease            *compare.Lease
	distributor      atomic.Pointer[weights.Distributor]
	wg               conc.WaitGroup // injected faults and announcements
	distributorRuns  conc.WaitGroup // running distributors
}

// Guards against a fault at any stage after which a sample is missing, delivered twice, too old or
// wrongly attributed, or after which a sampler does not reach the announced version.
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
	injectNow := func() { inject(m.fleet.Engine("s0")) }
	// Hooks run on a stream's goroutine. Killing an instance waits for that goroutine, so the fault is
	// injected on another one.
	injectAsync := func(e *enginesim.Engine) { m.wg.Go(func() { inject(e) }) }
	m.setHooks(stage, injectAsync, injectNow)

	m.trainer.SetStep(1, openRequest(3, 2, 120))
	m.retryRequest("ask", injectNow, func() error { return m.trainer.Reopen(m.ctx) })
	m.finishStep(is)
	m.retryRequest("acknowledge", injectNow, func() error { return m.trainer.Ack(m.ctx) })
	m.waitFor(is, injected.Load)
	if m.restoreTrainer.Load() { // the trainer died after its acknowledgement
		m.finishStep(is)
	}
	ledger := m.trainer.Ledger()
	if !f.trainerLost {
		is.Equal(ledger.Delivered, 6)
	}
	if !f.ownerLost && !f.trainerLost {
		is.Equal(ledger.Reopened, 0)
		is.Equal(ledger.Attempts, 6) // resumed, never restarted
	}
	m.clearFaults()
	m.waitFor(is, func() bool { return m.allEnginesRun(2) })
	m.trainer.Version = 2
	m.trainer.SetStep(2, openRequest(3, 2, 40))
	m.finishStep(is)
	is.Equal(m.trainer.Ledger().Violations, nil)
}

func newMatrix(t *testing.T, stage string) *matrix {
	svc := testService()
	svc.Rollout.ScoringService, svc.ChecksFencing = "judge", true
	m := &matrix{stage: stage, scorer: &hookScorer{}}
	m.testbed = newTestbed(t, svc, func(o *rollout.Options) { o.Scorer = m.scorer })
	m.owner = m.OwnerOf("main")
	m.target.Store(int64(m.owner))
	m.trainer.Do = m.do
	m.lease = compare.NewLease(1)
	m.startDistributor(m.lease)
	t.Cleanup(m.distributorRuns.Wait)
	t.Cleanup(m.cancel)
	return m
}

func (m *matrix) startDistributor(lease *compare.Lease) {
	wait := time.Duration(0)
	if lease.Fence() > 1 {
		wait = 50 * time.Millisecond
	}
	d := weights.New(weights.Options{
		Directory: m.Deployment, Announcer: m.Deployment, Engine: m.fleet, Campaign: compare.Campaign(lease, wait),
		OrderLife: 50 * time.Millisecond, OrderTimeout: 200 * time.Millisecond, ReportInterval: 5 * time.Millisecond,
		SweepInterval: 20 * time.Millisecond, MinRetryBackoff: 5 * time.Millisecond, MaxRetryBackoff: 20 * time.Millisecond,
	})
	m.distributor.Store(d)
	m.distributorRuns.Go(func() { _ = d.Run(m.ctx) })
}

// do sends a trainer's request to the target instance. It drops the response once if loseNextResponse
// is set.
func (m *matrix) do(r *http.Request) (*http.Response, error) {
	resp, err := m.Do(int(m.target.Load()), r)
	if err != nil {
		m.target.Store(1 - m.target.Load()) // as the load balancer does with a dead instance
		return nil, err
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if m.onSampleResponse != nil && bytes.Contains(data, []byte(`"position"`)) {
		m.onSampleResponse()
	}
	if m.loseNextResponse.CompareAndSwap(true, false) {
		return nil, io.ErrUnexpectedEOF
	}
	resp.Body = io.NopCloser(bytes.NewReader(data))
	return resp, nil
}

// announceVersion announces version 2 and reports whether the response confirms it.
func (m *matrix) announceVersion() bool {
	r := httprouter.New()
	m.distributor.Load().Register(r)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest("POST", "/v1/services/fry-lm/versions", strings.NewReader(`{"version":2,"trainer":"main"}`)))
	return w.Code == http.StatusOK && !(m.stage == "announce" && m.loseNextResponse.CompareAndSwap(true, false))
}

// loseResponse loses the response of the operation at the cell's stage after the operation took effect.
func (m *matrix) loseResponse(e *enginesim.Engine) {
	switch m.stage {
	case "ask", "hand over", "acknowledge", "announce":
		m.loseNextResponse.Store(true)
	case "record":
		m.scorer.loseResponse.Store(true)
	case "load", "activate":
		m.eachEngine(func(e *enginesim.Engine) { e.LoseAnswers(1) })
	default:
		e.Reset()
	}
}

// retryRequest repeats a trainer's request until it succeeds. If the cell's stage is stage, it injects
// the fault first.
func (m *matrix) retryRequest(stage string, injectNow func(), call func() error) {
	if m.stage == stage {
		injectNow()
	}
	for call() != nil && m.ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

// finishStep takes until the step is complete. A trainer that died starts again without any samples.
func (m *matrix) finishStep(is *is.I) {
	is.Helper()
	emptyBitmap := rollout.NewBitmap(6)
	for {
		if m.restoreTrainer.CompareAndSwap(true, false) {
			m.trainer.Restore(emptyBitmap)
		}
		ctx, cancel := context.WithTimeout(m.ctx, 20*time.Millisecond)
		err := m.trainer.Complete(ctx, 5*time.Millisecond)
		cancel()
		if err == nil && !m.restoreTrainer.Load() {
			break
		}
		is.NoErr(m.ctx.Err())
	}
	is.Equal(m.trainer.Received(), 6)
}

// clearFaults ends every fault.
func (m *matrix) clearFaults() {
	m.SetLog(nil)
	m.fleet.SetStore(false, 0)
	for i := range 2 {
		m.SetView(i, nil)
		m.SetLinkCut(i, 1-i, false)
	}
	m.eachEngine(func(e *enginesim.Engine) {
		e.SetSilent(false)
		if e.Down() {
			e.Restart(1)
		}
	})
}

func (m *matrix) eachEngine(f func(e *enginesim.Engine)) {
	for _, id := range []string{"s0", "s1", "s2"} {
		f(m.fleet.Engine(id))
	}
}

func (m *matrix) allEnginesRun(version int64) bool {
	all := true
	m.eachEngine(func(e *enginesim.Engine) { all = all && e.Version() == version && !e.Down() })
	return all
}

// setHooks sets the hooks of a cell: the announcement in mid-sample and the fault at the cell's stage.
func (m *matrix) setHooks(stage string, injectAsync func(*enginesim.Engine), injectNow func()) {
	announce := sync.OnceFunc(func() {
		m.wg.Go(func() {
			for m.ctx.Err() == nil {
				if stage == "announce" {
					injectNow()
				}
				if m.announceVersion() {
					return
				}
				time.Sleep(time.Millisecond)
			}
		})
	})
	m.eachEngine(func(e *enginesim.Engine) {
		tokensAt := map[string]int{"generate": 10, "swap mid-sample": 30, "finish": 120}
		e.OnToken(20, announce)
		if n, ok := tokensAt[stage]; ok {
			e.OnToken(n, func() { injectAsync(e) })
		}
	})
	switch stage {
	case "dispatch", "load", "activate":
		m.fleet.OnNext(enginesim.Stage(stage), injectAsync)
	case "record":
		m.scorer.setHook(func() { injectAsync(m.fleet.Engine("s0")) })
	case "hand over":
		m.onSampleResponse = injectNow
	}
}
