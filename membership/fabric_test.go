package membership_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"go.uber.org/goleak"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/membership"
	"github.com/cicadasill/cicadasill/platform"
	"github.com/cicadasill/cicadasill/zone"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testSeed = 7

var errCut = errors.New("cut by the test")

// fabric connects the members of a test and can cut pairs of them. A connection that carries
// anything while its pair is cut stays silent for good.
type fabric struct {
	mu   sync.Mutex
	list []platform.Listed
	fail bool
	ids  map[string]string // address to id
	cut  func(a, b string) bool
}

func newFabric() *fabric {
	return &fabric{ids: map[string]string{}, cut: func(string, string) bool { return false }}
}

func (f *fabric) List(context.Context) ([]platform.Listed, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail {
		return nil, &platform.Error{Code: platform.Unavailable, Op: "list"}
	}
	return append([]platform.Listed(nil), f.list...), nil
}

func (f *fabric) setCut(cut func(a, b string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

func (f *fabric) isCut(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut(a, b) || f.cut(b, a)
}

func (f *fabric) dialer(from string) link.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		f.mu.Lock()
		to := f.ids[addr]
		f.mu.Unlock()
		if f.isCut(from, to) {
			return nil, errCut
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return &cutConn{Conn: c, cut: func() bool { return f.isCut(from, to) }}, err
	}
}

type cutConn struct {
	net.Conn
	cut    func() bool
	mu     sync.Mutex
	silent bool
}

func (c *cutConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = c.silent || c.cut()
	return c.silent
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
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
	f.mu.Lock()
	f.ids[self.PeerAddr] = id
	f.list = append(f.list, platform.Listed{ID: id, Kind: "entry", PeerAddr: self.PeerAddr, Zone: self.Zone, State: platform.Live})
	f.mu.Unlock()
	node := link.NewNode(self, link.Options{DialContext: f.dialer(id), DrainTimeout: time.Millisecond})
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
