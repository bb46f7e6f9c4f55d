package weights_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/rollout/compare"
	"github.com/cicadasill/cicadasill/rollout/enginesim"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/weights"
	"github.com/cicadasill/cicadasill/zone"
)

const (
	testTimeout   = 20 * time.Second
	testOrderLife = 100 * time.Millisecond
)

// TestMain guards against goroutines that outlive Run.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// bed is nine samplers in two regions and a control state.
type bed struct {
	*compare.Control
	backends []machine.Backend
	fleet    *enginesim.Fleet
	ctx      context.Context
	checks   bool
	wg       conc.WaitGroup
	mu       sync.Mutex
	unfit    map[string]bool
}

func newBed(t testing.TB, checksFencing bool) *bed {
	return newSizedBed(t, checksFencing, 9, 10*time.Millisecond, 5*time.Millisecond)
}

func newSizedBed(t testing.TB, checksFencing bool, samplers int, load, swap time.Duration) *bed {
	b := &bed{fleet: enginesim.NewFleet(), unfit: make(map[string]bool)}
	for i := range samplers {
		z := zone.Zone{Region: "north", DataCentre: fmt.Sprintf("north-%d", i%2)}
		if 3*i >= 2*samplers {
			z = zone.Zone{Region: "south", DataCentre: "south-0"}
		}
		b.fleet.Add(enginesim.Options{ID: fmt.Sprintf("s%d", i), Zone: z, Version: 1,
			LoadTime: load, SwapTime: swap, ChecksFencing: checksFencing})
	}
	b.backends, b.checks = b.fleet.Backends("fry-lm"), checksFencing
	b.Control = compare.NewControl(contract.Service{
		Name: "fry-lm", Kind: machine.Sampler, Trainers: []contract.Trainer{{Name: "main", Share: 1}},
		Backends: b.backends, ChecksFencing: checksFencing,
		Rollout: &contract.RolloutTerms{MaxSwappingFraction: 0.34},
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	b.ctx = ctx
	t.Cleanup(func() { cancel(); b.wg.Wait() })
	return b
}

// start runs a distributor that holds lease, as one instance after another may.
func (b *bed) start(lease *compare.Lease) *weights.Distributor {
	wait := time.Duration(0)
	if lease.Fence() > 1 && !b.checks {
		wait = testOrderLife // the successor's wait, as package lease does it
	}
	d := weights.New(weights.Options{
		Directory: b, Announcer: b, Engine: b.fleet,
		Campaign: compare.Campaign(lease, wait),
		Unfit: func(id string, unfit bool) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.unfit[id] = unfit
		},
		OrderLife: testOrderLife, ReportPeriod: 5 * time.Millisecond, SweepPeriod: 20 * time.Millisecond,
		RetryPause: 5 * time.Millisecond, MaxRetryPause: 40 * time.Millisecond,
	})
	b.wg.Go(func() { _ = d.Run(b.ctx) })
	return d
}

// request calls the version paths and returns status and body.
func request(d *weights.Distributor, method, path, body string) (int, string) {
	r := httprouter.New()
	d.Register(r)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(method, "/v1/services/"+path, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

func (b *bed) isUnfit(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unfit[id]
}

// until polls cond, which the distributor's orders make true.
func (b *bed) until(is *is.I, cond func() bool) {
	is.Helper()
	for !cond() {
		is.NoErr(b.ctx.Err())
		time.Sleep(time.Millisecond)
	}
}

// all reports whether every sampler but those named runs version.
func (b *bed) all(version int64, except ...string) bool {
	for _, s := range b.backends {
		if !slices.Contains(except, s.ID) && b.fleet.Engine(s.ID).Version() != version {
			return false
		}
	}
	return true
}

// orders counts the started orders for version.
func (b *bed) orders(version int64) int {
	n := 0
	for _, s := range b.backends {
		for _, o := range b.fleet.Engine(s.ID).Orders() {
			if o.Version == version && o.Kind == platform.LoadVersion {
				n++
			}
		}
	}
	return n
}
