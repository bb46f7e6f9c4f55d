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

// fabric is the network between the members of a test. It also serves as their instance list.
type fabric struct {
	*faultnet.Network
	mu        sync.Mutex
	list      []platform.Listed
	listFails bool
}

func newFabric() *fabric { return &fabric{Network: faultnet.New()} }

func (f *fabric) List(context.Context) ([]platform.Listed, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listFails {
		return nil, &platform.Error{Code: platform.Unavailable, Op: "list"}
	}
	return append([]platform.Listed(nil), f.list...), nil
}

// instance is a running member with its link node and metrics registry.
type instance struct {
	*membership.Members
	node *link.Node
	reg  *prometheus.Registry
	stop func()
}

// fastOptions returns options with short intervals and a fixed seed.
func fastOptions() membership.Options {
	return membership.Options{ProbeInterval: 40 * time.Millisecond, ProbeTimeout: 150 * time.Millisecond,
		IndirectTimeout: 400 * time.Millisecond, SuspicionTimeout: 600 * time.Millisecond, ListPollInterval: 40 * time.Millisecond,
		SyncInterval: 100 * time.Millisecond, Seed: testSeed}
}

// start runs a member and adds it to the instance list. An empty addr selects a free port.
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
	f.SetName(self.PeerAddr, id)
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

// count returns the value of a counter in the instance's metrics registry; label selects a label
// value and may be empty.
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

// hasLive returns a condition that holds while the instance's view has n live members.
func (i *instance) hasLive(n int) func() bool { return func() bool { return len(i.Live()) == n } }

// eventually waits until cond is true and fails the test after 20 s.
func eventually(t testing.TB, description string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("seed %d: condition not reached: %s", testSeed, description)
		}
		time.Sleep(2 * time.Millisecond)
	}
}
