package membership

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// View is what other packages see of the membership.
type View interface {
	Self() machine.Instance
	// Live returns all live instances sorted by ID. It includes Self and suspected members.
	Live() []machine.Instance
	// Lookup returns the instance of ref; false when it is dead, has left or was replaced.
	Lookup(ref machine.Ref) (machine.Instance, bool)
}

// Methods of the exchanges over link.
const (
	probeMethod = "m.probe"
	syncMethod  = "m.sync"
)

// Members is the membership view of one instance.
type Members struct {
	self    machine.Instance
	node    *link.Node
	list    platform.InstanceList
	opts    Options
	log     *log.Logger
	metrics metrics
	wg      conc.WaitGroup
	sem     chan struct{} // probes in flight
	live    atomic.Pointer[[]machine.Instance]

	mu         sync.Mutex
	rng        *rand.Rand
	refutation uint64
	left       bool
	superseded chan struct{}
	table      map[string]*member
	listed     map[string]machine.Instance // candidates; their incarnation is 0
	gossip     map[gossipKey]*rumour
	news       chan struct{}
	leaving    map[string]time.Time // back end id to the time of the report
	order      []string             // ids still to probe in this pass
	candidates []string             // candidate ids still to probe in this pass
	lastSync   time.Time
	changed    chan struct{}
	paused     []chan time.Duration
	send       func() []byte
	receive    func(from machine.Instance, data []byte)
}

// New returns the membership of self. It registers its handlers on node, so it is called before
// node.Serve.
func New(self machine.Instance, node *link.Node, list platform.InstanceList, opts Options) *Members {
	opts = opts.withDefaults(self.Incarnation)
	m := &Members{
		self: self, node: node, list: list, opts: opts, log: opts.Logger, metrics: newMetrics(opts.Registerer),
		sem: make(chan struct{}, maxInFlight), rng: rand.New(rand.NewPCG(opts.Seed, xxhash.Sum64String(self.ID))),
		superseded: make(chan struct{}), table: map[string]*member{}, listed: map[string]machine.Instance{},
		gossip: map[gossipKey]*rumour{}, news: make(chan struct{}, 1), leaving: map[string]time.Time{}, changed: make(chan struct{}),
	}
	m.live.Store(&[]machine.Instance{self})
	node.Handle(probeMethod, m.handleProbe)
	node.Handle(syncMethod, m.handleSync)
	return m
}

// Self implements View.
func (m *Members) Self() machine.Instance { return m.self }

// Live implements View. The slice is shared and not modified by either side.
func (m *Members) Live() []machine.Instance { return *m.live.Load() }

// Lookup implements View.
func (m *Members) Lookup(ref machine.Ref) (machine.Instance, bool) {
	if ref == m.self.Ref() {
		return m.self, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.table[ref.ID]
	if e == nil || !e.alive() || e.inst.Incarnation != ref.Incarnation {
		return machine.Instance{}, false
	}
	return e.inst, true
}

// LastKnown returns the instance of ref even if it has left or counts as dead, as long as no newer
// run of its id is known. It may still answer: a leaving instance finishes its requests, and a
// dead one may only be cut off from others.
func (m *Members) LastKnown(ref machine.Ref) (machine.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.table[ref.ID]
	if e == nil || e.inst.Incarnation != ref.Incarnation {
		return machine.Instance{}, false
	}
	return e.inst, true
}

// Changed returns a channel that is closed at the next change of the view.
func (m *Members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Superseded returns a channel that is closed when a higher incarnation of this instance's id
// exists. The process should stop: the cluster has replaced it.
func (m *Members) Superseded() <-chan struct{} { return m.superseded }

// SetPiggyback sets the hooks for data that travels on probes and their answers.
func (m *Members) SetPiggyback(send func() []byte, receive func(from machine.Instance, data []byte)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.send, m.receive = send, receive
}
