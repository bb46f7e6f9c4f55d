package membership_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"go.uber.org/goleak"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/link/faultnet"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/membership"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/zone"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testSeed = 7

// fabric connects the members of a test and is their instance list.
type fabric struct {
	*faultnet.Network
	mu   sync.Mutex
	list []platform.Listed
	fail bool
}

func newFabric() *fabric { return &fabric{Network: faultnet.New()} }

func (f *fabric) List(context.Context) ([]platform.Listed, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail {
		return nil, &platform.Error{Code: platform.Unavailable, Op: "list"}
	}
	return append([]platform.Listed(nil), f.list...), nil
}

type instance struct {
	*membership.Members
	node *link.Node
	reg  *prometheus.Registry
	stop func()
}

func fast() membership.Options {
	return membership.Options{Period: 40 * time.Millisecond, ProbeTimeout: 150 * time.Millisecond,
		IndirectTimeout: 400 * time.Millisecond, Suspicion: 600 * time.Millisecond, ListPeriod: 40 * time.Millisecond,
		SyncInterval: 100 * time.Millisecond, Seed: testSeed}
}

// start runs a member; an empty addr takes a free port. The member is put into the list.
func (f *fabric) start(t testing.TB, id string, incarnation uint64, addr string, opts membership.Options) *instance {
	t.Helper()
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	self := machine.Instance{ID: id, Incarnation: incarnation, PeerAddr: ln.Addr().String(), Zone: zone.Zone{Region: "r", DataCentre: "d"}}
	f.Name(self.PeerAddr, id)
	f.mu.Lock()
	f.list = append(f.list, platform.Listed{ID: id, Kind: "entry", PeerAddr: self.PeerAddr, Zone: self.Zone, State: platform.Live})
	f.mu.Unlock()
	node := link.NewNode(self, link.Options{DialContext: f.Dialer(id), DrainTimeout: time.Millisecond})
	opts.Registerer = prometheus.NewRegistry()
	i := &instance{node: node, reg: opts.Registerer.(*prometheus.Registry), Members: membership.New(self, node, f, opts)}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = node.Serve(ctx, ln) })
	wg.Go(func() { _ = i.Run(ctx) })
	i.stop = func() { cancel(); wg.Wait() }
	t.Cleanup(i.stop)
	return i
}

// count reads a counter from the registry as an operator would.
func (i *instance) count(name, label string) float64 {
	families, err := i.reg.Gather()
	if err != nil {
		return -1
	}
	for _, fam := range families {
		for _, m := range fam.GetMetric() {
			if fam.GetName() == "cicadasill_"+name && (label == "" || hasLabel(m, label)) {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

func hasLabel(m *dto.Metric, value string) bool {
	for _, l := range m.GetLabel() {
		if l.GetValue() == value {
			return true
		}
	}
	return false
}

func (i *instance) sees(n int) func() bool { return func() bool { return len(i.Live()) == n } }

// eventually fails the test when cond does not become true.
func eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("seed %d: not reached: %s", testSeed, what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}
