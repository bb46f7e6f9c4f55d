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

// View is the membership as other packages read it.
type View interface {
	Self() machine.Instance
	// Live returns all live instances sorted by ID. It includes Self and suspected members.
	Live() []machine.Instance
	// Lookup returns the instance of ref. It returns false if that run is unknown, dead, has left
	// or was replaced.
	Lookup(ref machine.Ref) (machine.Instance, bool)
}

// RPC method names on link.
const (
	probeMethod = "m.probe"
	syncMethod  = "m.sync"
)

// Members implements View. It runs the membership protocol of one instance.
type Members struct {
	self         machine.Instance
	node         *link.Node
	instanceList platform.InstanceList
	opts         Options
	log          *log.Logger
	metrics      metrics
	wg           conc.WaitGroup
	probeSlots   chan struct{} // limits the probes in flight
	live         atomic.Pointer[[]machine.Instance]

	mu               sync.Mutex
	rng              *rand.Rand
	refutation       uint64
	hasLeft          bool
	superseded       chan struct{}
	table            map[string]*member
	listed           map[string]machine.Instance // peers in the instance list; their incarnation is 0
	gossipQueue      map[gossipKey]*queuedUpdate
	urgent           chan struct{}        // wakes pushUrgentUpdates
	leavingBackends  map[string]time.Time // back end id to the time of the last report
	probeOrder       []string             // member ids still to probe in this pass
	candidateOrder   []string             // listed ids still to consider in this pass
	lastSync         time.Time
	changed          chan struct{}
	pauseSubscribers []chan time.Duration
	sendPiggyback    func() []byte
	receivePiggyback func(from machine.Instance, data []byte)
}

// New returns the membership of self. It registers handlers on node and must be called before
// node.Serve.
func New(self machine.Instance, node *link.Node, list platform.InstanceList, opts Options) *Members {
	opts = opts.withDefaults(self.Incarnation)
	m := &Members{
		self: self, node: node, instanceList: list, opts: opts, log: opts.Logger, metrics: newMetrics(opts.Registerer),
		probeSlots: make(chan struct{}, maxProbesInFlight), rng: rand.New(rand.NewPCG(opts.Seed, xxhash.Sum64String(self.ID))),
		superseded: make(chan struct{}), table: map[string]*member{}, listed: map[string]machine.Instance{},
		gossipQueue: map[gossipKey]*queuedUpdate{}, urgent: make(chan struct{}, 1), leavingBackends: map[string]time.Time{}, changed: make(chan struct{}),
	}
	m.live.Store(&[]machine.Instance{self})
	node.Handle(probeMethod, m.handleProbe)
	node.Handle(syncMethod, m.handleSync)
	return m
}

// Self implements View.
func (m *Members) Self() machine.Instance { return m.self }

// Live implements View. The slice is shared, so callers must not modify it.
func (m *Members) Live() []machine.Instance { return *m.live.Load() }

// Lookup implements View.
func (m *Members) Lookup(ref machine.Ref) (machine.Instance, bool) {
	if ref == m.self.Ref() {
		return m.self, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.table[ref.ID]
	if e == nil || !e.isLive() || e.inst.Incarnation != ref.Incarnation {
		return machine.Instance{}, false
	}
	return e.inst, true
}

// LastKnown returns the instance of ref even if it has left or is considered dead, unless a newer
// run of its id is known. Such an instance may still answer: one that has left finishes its
// requests, and an instance considered dead may be unreachable from other members only.
func (m *Members) LastKnown(ref machine.Ref) (machine.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.table[ref.ID]
	if e == nil || e.inst.Incarnation != ref.Incarnation {
		return machine.Instance{}, false
	}
	return e.inst, true
}

// Changed returns a channel that is closed at the next change of the live members or of the
// leaving back ends.
func (m *Members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Superseded returns a channel that is closed when a higher incarnation of this instance's id is
// observed. The process should then stop, because a newer run has replaced it.
func (m *Members) Superseded() <-chan struct{} { return m.superseded }

// SetPiggyback sets the callbacks that supply and receive the application data carried by probes
// and their answers.
func (m *Members) SetPiggyback(send func() []byte, receive func(from machine.Instance, data []byte)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sendPiggyback, m.receivePiggyback = send, receive
}
