package feedsim

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/feed"
	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/zone"
)

type handler = func(ctx context.Context, payload []byte) ([]byte, error)

// Deployment is a set of instances that can call each other. Each instance has all live instances
// in its view.
type Deployment struct {
	log          *Log
	options      feed.Options
	messageBytes atomic.Int64

	mu           sync.Mutex
	nodes        map[string]*Node
	live         []machine.Instance
	handlers     map[string]handler // by instance id followed by method
	unresponsive map[string]bool
}

// Node is one instance of a deployment.
type Node struct {
	*feed.Follower
	Instance machine.Instance
	Log      *Access

	deployment *Deployment
	stop       context.CancelFunc
	wg         conc.WaitGroup
}

// New returns a deployment without instances. Each feed gets options.
func New(log *Log, options feed.Options) *Deployment {
	return &Deployment{
		log: log, options: options, nodes: map[string]*Node{}, handlers: map[string]handler{}, unresponsive: map[string]bool{},
	}
}

// Start starts an instance in a data centre. The part of its name before the first dash is the
// region.
func (d *Deployment) Start(id, dataCentre string) *Node { return d.StartOn(d.log, id, dataCentre) }

// StartOn starts an instance that follows another log than the deployment's.
func (d *Deployment) StartOn(log *Log, id, dataCentre string) *Node {
	region, _, _ := strings.Cut(dataCentre, "-")
	n := &Node{deployment: d, Log: &Access{Log: log}, Instance: machine.Instance{
		ID: id, Incarnation: uint64(time.Now().UnixNano()), Zone: zone.Zone{Region: region, DataCentre: dataCentre},
	}}
	options := d.options
	options.Peers, options.View = n, n
	n.Follower = feed.New(n.Instance, n.Log, options)
	d.mu.Lock()
	n.Register(func(method string, h func(context.Context, []byte) ([]byte, error)) { d.handlers[id+method] = h })
	d.nodes[id] = n
	d.publishLocked()
	d.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.Go(func() { _ = n.Run(ctx) })
	return n
}

// publishLocked rebuilds the view of live instances.
func (d *Deployment) publishLocked() {
	d.live = make([]machine.Instance, 0, len(d.nodes))
	for _, n := range d.nodes {
		d.live = append(d.live, n.Instance)
	}
	slices.SortFunc(d.live, func(a, b machine.Instance) int { return strings.Compare(a.ID, b.ID) })
}

// Stop stops an instance, waits for its tasks and removes it from the views.
func (d *Deployment) Stop(n *Node) {
	d.mu.Lock()
	if d.nodes[n.Instance.ID] == n {
		delete(d.nodes, n.Instance.ID)
	}
	d.publishLocked()
	d.mu.Unlock()
	n.stop()
	n.wg.Wait()
}

// Close stops all instances.
func (d *Deployment) Close() {
	d.mu.Lock()
	nodes := make([]*Node, 0, len(d.nodes))
	for _, n := range d.nodes {
		nodes = append(nodes, n)
	}
	d.mu.Unlock()
	for _, n := range nodes {
		n.stop()
	}
	for _, n := range nodes {
		d.Stop(n)
	}
}

// MakeUnresponsive makes an instance answer no further calls, as if its connections had failed
// without being closed. It remains in the views.
func (d *Deployment) MakeUnresponsive(n *Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsive[n.Instance.ID] = true
}

// MessageBytes returns the total size of all messages between instances so far.
func (d *Deployment) MessageBytes() int64 { return d.messageBytes.Load() }

// LogReads returns the number of log reads by all running instances.
func (d *Deployment) LogReads() (sum int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range d.nodes {
		sum += n.Log.Reads()
	}
	return sum
}

// WaitReady waits until every node has booted. The error names the first node that has not.
func WaitReady(ctx context.Context, nodes ...*Node) error {
	for _, n := range nodes {
		select {
		case <-n.Ready():
		case <-ctx.Done():
			return fmt.Errorf("%s is waiting for %s: %w", n.Instance.ID, n.WaitingFor(), ctx.Err())
		}
	}
	return nil
}

// WaitOffset waits until every node has applied the record at offset. The error names the first
// node that has not.
func WaitOffset(ctx context.Context, offset int64, nodes ...*Node) error {
	for _, n := range nodes {
		if err := n.WaitOffset(ctx, offset); err != nil {
			return fmt.Errorf("%s is at offset %d, record %d not applied: %w", n.Instance.ID, n.State().Offset, offset, err)
		}
	}
	return nil
}

// Halt stops an instance's feed but keeps it in the views, like a crash that is not detected yet.
func (n *Node) Halt() { n.stop() }

// Go runs a task in a goroutine that Stop waits for.
func (n *Node) Go(task func()) { n.wg.Go(task) }

// Self implements feed.View.
func (n *Node) Self() machine.Instance { return n.Instance }

// Live implements feed.View.
func (n *Node) Live() []machine.Instance {
	n.deployment.mu.Lock()
	defer n.deployment.mu.Unlock()
	return n.deployment.live
}

// Call implements feed.Peers.
func (n *Node) Call(ctx context.Context, to machine.Instance, _ link.Cause, method string, payload []byte) ([]byte, error) {
	n.deployment.mu.Lock()
	_, live := n.deployment.nodes[to.ID]
	h, unresponsive := n.deployment.handlers[to.ID+method], n.deployment.unresponsive[to.ID]
	n.deployment.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !live || h == nil {
		return nil, &link.Error{Code: link.NotSent}
	}
	answer, err := h(ctx, payload)
	n.deployment.messageBytes.Add(int64(len(payload) + len(answer)))
	return answer, err
}

// ExchangePositions exchanges the positions of two instances, as a membership probe does.
func ExchangePositions(a, b *Node) {
	b.ReceivePiggyback(a.Instance, a.Piggyback())
	a.ReceivePiggyback(b.Instance, b.Piggyback())
}
