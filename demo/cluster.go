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

// Times and limits of the entry instances' life cycle.
const (
	balancerInterval = 250 * time.Millisecond
	balancerDelay    = time.Second
	bootTimeout      = 20 * time.Second
	stopTimeout      = 20 * time.Second
	// replaceAfter is the time after which the platform replaces an instance that died.
	replaceAfter     = 2 * time.Second
	maxStartAttempts = 5
)

// memberState is the state of an entry instance as the platform's operator knows it.
type memberState string

const (
	running  memberState = "running"
	draining memberState = "draining"
	stopped  memberState = "stopped"
)

// member is a place for an entry instance in the cluster. Its addresses stay the same when the
// instance is replaced.
type member struct {
	id                string
	self              machine.Instance
	adminAddr         string
	mu                sync.Mutex
	state             memberState
	ready             bool // result of the load balancer's last probe
	node              *node
	instance          Instance
	cancel            context.CancelFunc
	done              chan struct{}
	runErr            error
	drainStart        time.Time
	drainEnd          time.Time // end of the last planned stop
	incarnation       uint64
	registries        []*prometheus.Registry
	startedAt         time.Time
	interruptedByStop int64
}

// cluster runs the entry instances and the platform's load balancer.
type cluster struct {
	opts       Options
	deployment deployment
	standIns   *standIns
	net        *network
	client     *node
	api        *api
	members    []*member
	wg         conc.WaitGroup
	log        *log.Logger

	balancer     conc.WaitGroup
	stopBalancer context.CancelFunc
}

// StartError reports that the deployment did not start.
type StartError struct {
	Component string
	Err       error
}

// Error implements error.
func (e *StartError) Error() string {
	return fmt.Sprintf("failed to start the deployment: %s: %v", e.Component, e.Err)
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

func newCluster(opts Options, d deployment, st *standIns, n *network) *cluster {
	c := &cluster{opts: opts, deployment: d, standIns: st, net: n, client: &node{name: "clients", kind: clientNode, zone: d.zones[0]}, log: opts.Logger}
	c.api = newAPI(n.dialer(c.client))
	for i := range len(d.zones) * instancesPerDataCentre {
		z := zoneOfInstance(d, i)
		id := fmt.Sprintf("%s-entry-%d", z.DataCentre, i%instancesPerDataCentre+1)
		c.members = append(c.members, &member{id: id, self: machine.Instance{ID: id, Zone: z}, state: stopped})
	}
	return c
}

// startOnFreeAddrs gives the member free addresses, starts its first instance there and adds it to
// the instance list. It tries again with other addresses when the start fails, because another
// process may have taken one of them.
func (c *cluster) startOnFreeAddrs(ctx context.Context, m *member) error {
	var last error
	for range maxStartAttempts {
		addrs, err := serve.FreeAddrs(3)
		if err != nil {
			return &StartError{Component: m.id, Err: err}
		}
		m.mu.Lock()
		m.self.HTTPAddr, m.self.PeerAddr, m.adminAddr = addrs[0], addrs[1], addrs[2]
		m.mu.Unlock()
		if last = c.start(ctx, m); last == nil {
			c.standIns.list.SetNow(platform.Listed{
				ID: m.id, Kind: "entry", PeerAddr: m.self.PeerAddr, HTTPAddr: m.self.HTTPAddr, Zone: m.self.Zone, State: platform.Live,
			})
			return nil
		}
	}
	return last
}

// start starts a new instance at the member's addresses.
func (c *cluster) start(ctx context.Context, m *member) error {
	process := &node{name: m.id, kind: entryNode, zone: m.self.Zone}
	self := m.self
	self.Incarnation = uint64(time.Now().UnixNano())
	for _, addr := range []string{self.HTTPAddr, self.PeerAddr, m.adminAddr} {
		c.net.register(addr, process)
	}
	reg := prometheus.NewRegistry()
	inst, err := c.opts.NewInstance(InstanceConfig{
		Self: self, Deployment: c.deployment.name, AdminAddr: m.adminAddr, LogAddr: c.standIns.log.Addr(), ListAddr: c.standIns.list.Addr(),
		DialContext: c.net.dialer(process), Logger: c.log.With("instance", m.id), Registry: reg, BalancerDelay: balancerDelay,
	})
	if err != nil {
		return &StartError{Component: m.id, Err: err}
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	m.mu.Lock()
	m.instance, m.node, m.cancel, m.done, m.state = inst, process, cancel, done, running
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

// kill ends the member's instance without warning and waits until its Run has returned.
func (c *cluster) kill(m *member) {
	m.mu.Lock()
	process, cancel, done := m.node, m.cancel, m.done
	m.state, m.ready = stopped, false
	m.mu.Unlock()
	c.net.kill(process)
	cancel()
	<-done
}

// drain performs the planned stop of the member's instance and waits until its Run has returned.
func (c *cluster) drain(ctx context.Context, m *member) error {
	m.mu.Lock()
	inst, cancel, done := m.instance, m.cancel, m.done
	m.state, m.drainStart = draining, time.Now()
	m.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, stopTimeout)
	defer stop()
	err := inst.Stop(ctx)
	cancel()
	<-done
	m.mu.Lock()
	m.state, m.ready, m.drainEnd = stopped, false, time.Now()
	m.mu.Unlock()
	return err
}

// boot starts all instances and waits until the load balancer finds them ready.
func (c *cluster) boot(ctx context.Context) error {
	for _, m := range c.members {
		if err := c.startOnFreeAddrs(ctx, m); err != nil {
			return err
		}
	}
	balancerCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	c.stopBalancer = stop
	c.balancer.Go(func() { c.probeReadiness(balancerCtx) })
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
		return &StartError{Component: "instances", Err: fmt.Errorf("not ready within %s: %s", bootTimeout, c.describeUnready())}
	}
	return nil
}

// describeUnready lists the instances that are not ready, with the errors of their Run.
func (c *cluster) describeUnready() string {
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

// probeReadiness acts as the load balancer: it probes the readiness of the instances until ctx
// ends.
func (c *cluster) probeReadiness(ctx context.Context) {
	t := time.NewTicker(balancerInterval)
	defer t.Stop()
	for {
		var wg conc.WaitGroup
		for _, m := range c.members {
			wg.Go(func() {
				ok := c.api.ready(ctx, m.adminAddr)
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

func (m *member) hasState(s memberState) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state == s
}

// pickAddr returns the HTTP address of a random ready instance, preferably one that is not in
// exclude, or "" if no instance is ready.
func (c *cluster) pickAddr(r *rand.Rand, exclude map[string]bool) string {
	if m := c.pickMember(r, exclude); m != nil {
		return m.self.HTTPAddr
	}
	return ""
}

// pickMember returns a random member whose instance is ready, preferably one whose HTTP address is
// not in exclude, or nil if no instance is ready.
func (c *cluster) pickMember(r *rand.Rand, exclude map[string]bool) *member {
	var preferred, ready []*member
	for _, m := range c.members {
		if !m.isReady() {
			continue
		}
		ready = append(ready, m)
		if !exclude[m.self.HTTPAddr] {
			preferred = append(preferred, m)
		}
	}
	if len(preferred) > 0 {
		return preferred[r.IntN(len(preferred))]
	}
	if len(ready) > 0 {
		return ready[r.IntN(len(ready))]
	}
	return nil
}

// recordInterrupted counts an attempt that failed at an instance during its planned stop. A caller may
// notice only after the stop that its connection was cut, so it is the attempt's start that counts then.
func (c *cluster) recordInterrupted(addr string, began time.Time, err error) {
	for _, m := range c.members {
		if m.self.HTTPAddr != addr {
			continue
		}
		m.mu.Lock()
		if m.state == draining || began.Before(m.drainEnd) {
			m.interruptedByStop++
			c.log.Warn("request interrupted by a planned stop", "instance", m.id, "sent_ago", time.Since(began), "err", err)
		}
		m.mu.Unlock()
	}
}

// stop stops the load balancer and all running instances.
func (c *cluster) stop(ctx context.Context) {
	if c.stopBalancer != nil {
		c.stopBalancer()
		c.balancer.Wait()
	}
	var wg conc.WaitGroup
	for _, m := range c.members {
		if m.hasState(running) {
			wg.Go(func() {
				if err := c.drain(ctx, m); err != nil {
					c.log.Warn("planned stop failed", "instance", m.id, "err", err)
				}
			})
		}
	}
	wg.Wait()
	c.wg.Wait()
	c.api.close()
}
