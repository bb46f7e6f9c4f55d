package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin/serve"
)

// Times of the entry instances' life cycle.
const (
	balancerInterval = 250 * time.Millisecond
	balancerDelay    = time.Second
	bootTimeout      = 20 * time.Second
	stopTimeout      = 20 * time.Second
	// replaceAfter is the time after which the platform replaces an instance that died.
	replaceAfter = 2 * time.Second
	placeTrials  = 5
)

// memberState is the state of an entry instance as the platform's operator knows it.
type memberState string

const (
	running  memberState = "running"
	draining memberState = "draining"
	stopped  memberState = "stopped"
)

// member is one place for an entry instance. Its addresses stay; the instance may be replaced.
type member struct {
	id                string
	self              machine.Instance
	admin             string
	mu                sync.Mutex
	state             memberState
	ready             bool // as the balancer sees it
	node              *node
	inst              Instance
	cancel            context.CancelFunc
	done              chan struct{}
	runErr            error
	drainFrom         time.Time
	incarnation       uint64
	registries        []*prometheus.Registry
	startedAt         time.Time
	interruptedByStop int64
}

// cluster is the set of entry instances and the platform's load balancer.
type cluster struct {
	opts    Options
	d       deployment
	st      *stands
	net     *network
	client  *node
	api     *api
	members []*member
	wg      conc.WaitGroup
	log     *log.Logger

	balancer     conc.WaitGroup
	stopBalancer context.CancelFunc
}

// StartError reports that the deployment did not come up.
type StartError struct {
	What string
	Err  error
}

// Error implements error.
func (e *StartError) Error() string { return fmt.Sprintf("start of %s: %v", e.What, e.Err) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

func newCluster(opts Options, d deployment, st *stands, n *network) *cluster {
	c := &cluster{opts: opts, d: d, st: st, net: n, client: &node{name: "clients", kind: clientNode, zone: d.zones[0]}, log: opts.Logger}
	c.api = newAPI(n.dialer(c.client))
	for i := range len(d.zones) * instancesPerDataCentre {
		z := zoneOf(d, i)
		id := fmt.Sprintf("%s-entry-%d", z.DataCentre, i%instancesPerDataCentre+1)
		c.members = append(c.members, &member{id: id, self: machine.Instance{ID: id, Zone: z}, state: stopped})
	}
	return c
}

// place gives the member free addresses and starts its first instance there. It tries again
// with others when another process took one of them.
func (c *cluster) place(ctx context.Context, m *member) error {
	var last error
	for range placeTrials {
		addrs, err := serve.FreeAddrs(3)
		if err != nil {
			return &StartError{What: m.id, Err: err}
		}
		m.mu.Lock()
		m.self.HTTPAddr, m.self.PeerAddr, m.admin = addrs[0], addrs[1], addrs[2]
		m.mu.Unlock()
		if last = c.start(ctx, m); last == nil {
			c.st.list.SetNow(platform.Listed{
				ID: m.id, Kind: "entry", PeerAddr: m.self.PeerAddr, HTTPAddr: m.self.HTTPAddr, Zone: m.self.Zone, State: platform.Live,
			})
			return nil
		}
	}
	return last
}

// start starts a new instance at the member's addresses.
func (c *cluster) start(ctx context.Context, m *member) error {
	who := &node{name: m.id, kind: entryNode, zone: m.self.Zone}
	self := m.self
	self.Incarnation = uint64(time.Now().UnixNano())
	for _, addr := range []string{self.HTTPAddr, self.PeerAddr, m.admin} {
		c.net.register(addr, who)
	}
	reg := prometheus.NewRegistry()
	inst, err := c.opts.NewInstance(InstanceConfig{
		Self: self, Deployment: c.d.name, AdminAddr: m.admin, LogAddr: c.st.log.Addr(), ListAddr: c.st.list.Addr(),
		DialContext: c.net.dialer(who), Logger: c.log.With("instance", m.id), Registry: reg, BalancerDelay: balancerDelay,
	})
	if err != nil {
		return &StartError{What: m.id, Err: err}
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	m.mu.Lock()
	m.inst, m.node, m.cancel, m.done, m.state = inst, who, cancel, done, running
	m.incarnation, m.startedAt = self.Incarnation, time.Now()
	m.registries = append(m.registries, reg)
	m.mu.Unlock()
	c.wg.Go(func() {
		err := inst.Run(runCtx)
		m.mu.Lock()
		m.runErr = err
		m.mu.Unlock()
		close(done)
	})
	return nil
}

// kill ends the member's instance without any warning and waits for its goroutines.
func (c *cluster) kill(m *member) {
	m.mu.Lock()
	who, cancel, done := m.node, m.cancel, m.done
	m.state, m.ready = stopped, false
	m.mu.Unlock()
	c.net.kill(who)
	cancel()
	<-done
}

// drain makes the planned stop of the member's instance.
func (c *cluster) drain(ctx context.Context, m *member) error {
	m.mu.Lock()
	inst, cancel, done := m.inst, m.cancel, m.done
	m.state, m.drainFrom = draining, time.Now()
	m.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, stopTimeout)
	defer stop()
	err := inst.Stop(ctx)
	cancel()
	<-done
	m.mu.Lock()
	m.state, m.ready = stopped, false
	m.mu.Unlock()
	return err
}

// boot starts all instances and waits until the balancer finds them ready.
func (c *cluster) boot(ctx context.Context) error {
	for _, m := range c.members {
		if err := c.place(ctx, m); err != nil {
			return err
		}
	}
	balancing, stop := context.WithCancel(context.WithoutCancel(ctx))
	c.stopBalancer = stop
	c.balancer.Go(func() { c.balance(balancing) })
	ctx, cancel := context.WithTimeout(ctx, bootTimeout)
	defer cancel()
	ready := func() bool {
		for _, m := range c.members {
			if !m.isReady() {
				return false
			}
		}
		return true
	}
	if !waitUntil(ctx, balancerInterval, ready) {
		return &StartError{What: "instances", Err: fmt.Errorf("not ready within %s: %s", bootTimeout, c.notReady())}
	}
	return nil
}

func (c *cluster) notReady() string {
	out := ""
	for _, m := range c.members {
		m.mu.Lock()
		if !m.ready {
			out += fmt.Sprintf("%s (run: %v) ", m.id, m.runErr)
		}
		m.mu.Unlock()
	}
	return out
}

// balance probes the readiness of the instances until ctx ends.
func (c *cluster) balance(ctx context.Context) {
	t := time.NewTicker(balancerInterval)
	defer t.Stop()
	for {
		var wg conc.WaitGroup
		for _, m := range c.members {
			wg.Go(func() {
				ok := c.api.ready(ctx, m.admin)
				m.mu.Lock()
				m.ready = ok && m.state != stopped
				m.mu.Unlock()
			})
		}
		wg.Wait()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (m *member) isReady() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ready
}

func (m *member) is(s memberState) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state == s
}

// pick returns the HTTP address of a ready instance, preferably none of exclude.
func (c *cluster) pick(r *rand.Rand, exclude map[string]bool) string {
	if m := c.pickMember(r, exclude); m != nil {
		return m.self.HTTPAddr
	}
	return ""
}

func (c *cluster) pickMember(r *rand.Rand, exclude map[string]bool) *member {
	var fresh, ready []*member
	for _, m := range c.members {
		if !m.isReady() {
			continue
		}
		ready = append(ready, m)
		if !exclude[m.self.HTTPAddr] {
			fresh = append(fresh, m)
		}
	}
	if len(fresh) > 0 {
		return fresh[r.IntN(len(fresh))]
	}
	if len(ready) > 0 {
		return ready[r.IntN(len(ready))]
	}
	return nil
}

// interrupted notes an attempt that failed at an instance in its planned stop.
func (c *cluster) interrupted(addr string, began time.Time, err error) {
	for _, m := range c.members {
		if m.self.HTTPAddr != addr {
			continue
		}
		m.mu.Lock()
		if m.state == draining {
			m.interruptedByStop++
			c.log.Warn("request interrupted by a planned stop", "instance", m.id, "sent_ago", time.Since(began), "err", err)
		}
		m.mu.Unlock()
	}
}

// stop stops the balancer and all instances.
func (c *cluster) stop(ctx context.Context) {
	if c.stopBalancer != nil {
		c.stopBalancer()
		c.balancer.Wait()
	}
	var wg conc.WaitGroup
	for _, m := range c.members {
		if m.is(running) {
			wg.Go(func() {
				if err := c.drain(ctx, m); err != nil {
					c.log.Warn("stop", "instance", m.id, "err", err)
				}
			})
		}
	}
	wg.Wait()
	c.wg.Wait()
	c.api.close()
}
