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
	"github.com/cicadasill/cicadasill/platform"
	"github.com/cicadasill/cicadasill/rollout/enginesim"
	"github.com/cicadasill/cicadasill/weights"
	"github.com/cicadasill/cicadasill/zone"
)

const (
	testTimeout   = 20 * time.Second
	testOrderLife = 100 * time.Millisecond
)

// TestMain guards against goroutines that outlive Run.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// versions is a control state in memory: directory and announcer.
type versions struct {
	mu        sync.Mutex
	svc       contract.Service
	announced []weights.Announced
	changed   chan struct{}
	logErr    error
}

func (v *versions) Services() []*contract.Service {
	svc, _ := v.Service(v.svc.Name)
	return []*contract.Service{svc}
}

func (v *versions) Service(name string) (*contract.Service, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	svc := v.svc
	return &svc, name == svc.Name
}

func (v *versions) Newest(string) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	var newest int64
	for _, a := range v.announced {
		if !a.Withdrawn {
			newest = max(newest, a.Version)
		}
	}
	return newest
}

func (v *versions) Withdrawn(_ string, version int64) bool {
	return slices.Contains(v.Announced(""), weights.Announced{Version: version, Trainer: "main", Withdrawn: true})
}

func (v *versions) Announced(string) []weights.Announced {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.announced)
}

func (v *versions) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *versions) AnnounceVersion(_ context.Context, _ string, version int64, trainer string) error {
	return v.change(func() {
		if !slices.ContainsFunc(v.announced, func(a weights.Announced) bool { return a.Version == version }) {
			v.announced = append(v.announced, weights.Announced{Version: version, Trainer: trainer})
		}
	})
}

func (v *versions) WithdrawVersion(_ context.Context, _ string, version int64) error {
	return v.change(func() {
		for i := range v.announced {
			if v.announced[i].Version == version {
				v.announced[i].Withdrawn = true
			}
		}
	})
}

func (v *versions) change(f func()) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.logErr != nil {
		return v.logErr
	}
	f()
	close(v.changed)
	v.changed = make(chan struct{})
	return nil
}

// held is a lease that the test controls.
type held struct {
	fence  int64
	mu     sync.Mutex
	lapsed bool
	lost   chan struct{}
}

func (h *held) Fence() int64                  { return h.fence }
func (h *held) Lost() <-chan struct{}         { return h.lost }
func (h *held) Release(context.Context) error { return nil }
func (h *held) Valid(time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.lapsed
}

// lapse ends the lease without a notice to its holder.
func (h *held) lapse() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lapsed = true
}

// bed is nine samplers in two regions and a control state.
type bed struct {
	*versions
	fleet *enginesim.Fleet
	ctx   context.Context
	wg    conc.WaitGroup
	mu    sync.Mutex
	unfit map[string]bool
}

func newBed(t *testing.T, checksFencing bool) *bed {
	b := &bed{fleet: enginesim.NewFleet(), unfit: make(map[string]bool)}
	for i := range 9 {
		z := zone.Zone{Region: "north", DataCentre: fmt.Sprintf("north-%d", i%2)}
		if i >= 6 {
			z = zone.Zone{Region: "south", DataCentre: "south-0"}
		}
		b.fleet.Add(enginesim.Options{ID: fmt.Sprintf("s%d", i), Zone: z, Version: 1,
			LoadTime: 10 * time.Millisecond, SwapTime: 5 * time.Millisecond, ChecksFencing: checksFencing})
	}
	b.versions = &versions{changed: make(chan struct{}), svc: contract.Service{
		Name: "fry-lm", Kind: machine.Sampler, Trainers: []contract.Trainer{{Name: "main", Share: 1}},
		Backends: b.fleet.Backends("fry-lm"), ChecksFencing: checksFencing,
		Rollout: &contract.RolloutTerms{MaxSwappingFraction: 0.34},
	}}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	b.ctx = ctx
	t.Cleanup(func() { cancel(); b.wg.Wait() })
	return b
}

// start runs a distributor that holds lease, as one instance after another may.
func (b *bed) start(lease *held) *weights.Distributor {
	leases := make(chan *held, 1)
	leases <- lease
	d := weights.New(weights.Options{
		Directory: b, Announcer: b, Engine: b.fleet,
		Campaign: func(ctx context.Context, _ string) (weights.Held, error) {
			select {
			case h := <-leases:
				if h.fence > 1 && !b.svc.ChecksFencing {
					time.Sleep(testOrderLife) // the successor's wait, as package lease does it
				}
				return h, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
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

func lease(fence int64) *held { return &held{fence: fence, lost: make(chan struct{})} }

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
	for _, s := range b.svc.Backends {
		if !slices.Contains(except, s.ID) && b.fleet.Engine(s.ID).Version() != version {
			return false
		}
	}
	return true
}

// orders counts the started orders for version.
func (b *bed) orders(version int64) int {
	n := 0
	for _, s := range b.svc.Backends {
		for _, o := range b.fleet.Engine(s.ID).Orders() {
			if o.Version == version && o.Kind == platform.LoadVersion {
				n++
			}
		}
	}
	return n
}
