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

// testbed consists of simulated samplers in two regions and a control state.
type testbed struct {
	*compare.Control
	backends      []machine.Backend
	fleet         *enginesim.Fleet
	ctx           context.Context
	checksFencing bool
	wg            conc.WaitGroup
	mu            sync.Mutex
	unfit         map[string]bool
}

// newTestbed returns a testbed of nine samplers.
func newTestbed(t testing.TB, checksFencing bool) *testbed {
	return newSizedTestbed(t, checksFencing, 9, 10*time.Millisecond, 5*time.Millisecond)
}

func newSizedTestbed(t testing.TB, checksFencing bool, samplers int, load, swap time.Duration) *testbed {
	b := &testbed{fleet: enginesim.NewFleet(), unfit: make(map[string]bool)}
	for i := range samplers {
		z := zone.Zone{Region: "north", DataCentre: fmt.Sprintf("north-%d", i%2)}
		if 3*i >= 2*samplers {
			z = zone.Zone{Region: "south", DataCentre: "south-0"}
		}
		b.fleet.Add(enginesim.Options{ID: fmt.Sprintf("s%d", i), Zone: z, Version: 1,
			LoadTime: load, SwapTime: swap, ChecksFencing: checksFencing})
	}
	b.backends, b.checksFencing = b.fleet.Backends("fry-lm"), checksFencing
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

// start runs a distributor that acquires lease. It may be called again for a successor instance.
func (b *testbed) start(lease *compare.Lease) *weights.Distributor {
	wait := time.Duration(0)
	if lease.Fence() > 1 && !b.checksFencing {
		wait = testOrderLife // the successor's wait of package lease
	}
	d := weights.New(weights.Options{
		Directory: b, Announcer: b, Engine: b.fleet,
		Campaign: compare.Campaign(lease, wait),
		SetUnfit: func(id string, unfit bool) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.unfit[id] = unfit
		},
		OrderLife: testOrderLife, ReportInterval: 5 * time.Millisecond, SweepInterval: 20 * time.Millisecond,
		MinRetryBackoff: 5 * time.Millisecond, MaxRetryBackoff: 40 * time.Millisecond,
	})
	b.wg.Go(func() { _ = d.Run(b.ctx) })
	return d
}

// request sends a request below /v1/services/ and returns the status and body of the response.
func request(d *weights.Distributor, method, path, body string) (int, string) {
	r := httprouter.New()
	d.Register(r)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(method, "/v1/services/"+path, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

func (b *testbed) isUnfit(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unfit[id]
}

// waitUntil polls cond until it is true, and fails the test after testTimeout.
func (b *testbed) waitUntil(is *is.I, cond func() bool) {
	is.Helper()
	for !cond() {
		is.NoErr(b.ctx.Err())
		time.Sleep(time.Millisecond)
	}
}

// allAtVersion reports whether every sampler, except for those named, runs version.
func (b *testbed) allAtVersion(version int64, except ...string) bool {
	for _, s := range b.backends {
		if !slices.Contains(except, s.ID) && b.fleet.Engine(s.ID).Version() != version {
			return false
		}
	}
	return true
}

// countOrders returns the number of started orders to load version.
func (b *testbed) countOrders(version int64) int {
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
