package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/entry"
	"github.com/cicadasill/cicadasill/link/faultnet"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/operator"
	"github.com/cicadasill/cicadasill/release"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin/engine"
	"github.com/cicadasill/cicadasill/standin/store"
	"github.com/cicadasill/cicadasill/zone"
)

type orderRecord = engine.OrderRecord

var shymkent = zone.Zone{Region: "shymkent", DataCentre: "shym-east"}

// member is one run of an instance in a cluster.
type member struct {
	id           string
	instance     *entry.Instance
	kill         context.CancelFunc
	disconnected *atomic.Bool // when set, its connections carry no data
	killed       bool
	leaving      bool
	maxRevision  int64 // highest catalog revision that monitorInvariants has seen
}

// cluster is a deployment in two regions. The log, the instance list and the engine "checked" are in
// Almaty; the engine "unchecked", which ignores fencing tokens, is in Shymkent.
type cluster struct {
	*deployment
	net            *faultnet.Network
	trigger        trigger
	netFaults      networkFaults
	engines        map[string]*engine.Server // by service
	baseVerdict    release.Verdict
	oldWithdrawnAt int64 // catalog revision at which service "old" was withdrawn

	mu                sync.Mutex
	lostAppendAnswers int
	endpoints         map[string]string // ids by address
	members           []*member
	expiredRecords    []platform.Record // records of the control stream that expireSnapshotted has dropped
	verdicts          map[string]release.Verdict
	errs              []string
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{
		deployment: newDeployment(t, time.Millisecond), net: faultnet.New(), engines: map[string]*engine.Server{},
		endpoints: map[string]string{}, netFaults: networkFaults{paused: map[string]bool{}}, verdicts: map[string]release.Verdict{},
	}
	c.net.Cut(c.netFaults.isCut)
	weights, err := store.Start(store.Options{WeightBytes: 1 << 10})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(weights.Close)
	for service, home := range map[string]zone.Zone{"checked": almaty, "unchecked": shymkent} {
		e, err := engine.Start(engine.Options{
			ID: service, Zone: home, StoreAddr: weights.Addr(), WeightBytes: 1 << 10, Version: 1,
			SwapTime: time.Millisecond, ChecksFencing: service == "checked",
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		c.engines[service] = e
		c.nameEndpoint(e.Addr(), service, home.Region)
	}
	t.Cleanup(c.logOnFailure)
	c.nameEndpoint(c.log.Addr(), logEndpoint, almaty.Region)
	c.nameEndpoint(c.list.Addr(), "list", almaty.Region)
	return c
}

// setUp starts three instances, publishes two sampler services and two plain ones, withdraws the plain
// service "old" and waits until the engines run version 2.
func (c *cluster) setUp() {
	c.t.Helper()
	c.startMember("a", almaty)
	c.startMember("b", almaty)
	c.startMember("c", shymkent)
	c.awaitMembership()
	c.baseVerdict = c.publishNote(c.newNote("base", 0, func(n *release.Note) {
		n.Added = []contract.Service{c.samplerService("checked"), c.samplerService("unchecked"), c.plainService("old"), c.plainService("desk")}
	}))
	c.oldWithdrawnAt = c.publishNote(c.newNote("withdraw", c.baseVerdict.Revision, func(n *release.Note) { n.Withdrawn = []string{"old"} })).Revision
	c.announce(2)
}

func (c *cluster) samplerService(name string) contract.Service {
	home := c.engines[name].Options().Zone
	return contract.Service{
		Name: name, Kind: machine.Sampler, ChecksFencing: name == "checked",
		Calls:    []contract.Call{{Name: "generate", Idempotent: true, Priority: contract.Rollout}},
		Trainers: []contract.Trainer{{Name: "trainer", Share: 1}},
		Rollout:  &contract.RolloutTerms{MaxVersionLag: 1, IdleWeight: 0.5, MaxSwappingFraction: 1},
		Backends: []machine.Backend{{ID: name, Kind: machine.Sampler, Service: name, Addr: c.engines[name].Addr(), Zone: home}},
	}
}

func (c *cluster) plainService(name string) contract.Service {
	return contract.Service{
		Name: name, Kind: machine.Plain,
		Calls: []contract.Call{{Name: "book", Priority: contract.Staff}}, Backends: []machine.Backend{},
	}
}

// newNote returns the JSON of a note whose changes fill sets.
func (c *cluster) newNote(id string, base int64, fill func(*release.Note)) []byte {
	n := release.Note{ID: id, Author: "operator", Base: base}
	fill(&n)
	data, err := json.Marshal(n)
	if err != nil {
		c.t.Fatal(err)
	}
	return data
}

// newServiceNote returns a note that adds a plain service with the id of the note as its name.
func (c *cluster) newServiceNote(id string) []byte {
	return c.newNote(id, c.baseVerdict.Revision, func(n *release.Note) { n.Added = []contract.Service{c.plainService(id)} })
}

// startMember starts a new instance and does not wait until it is ready. The instance list shows it at
// once during setUp, and with its usual lag afterwards.
func (c *cluster) startMember(id string, home zone.Zone) *member {
	disconnected := &atomic.Bool{}
	instance, err := entry.New(entry.Config{
		Self:      machine.Instance{ID: id, HTTPAddr: anyPort, PeerAddr: anyPort, Zone: home},
		AdminAddr: anyPort, LogAddr: c.log.Addr(), ListAddr: c.list.Addr(), DialContext: c.dialer(id, home.Region, disconnected),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.nameEndpoint(instance.PeerAddr(), id, home.Region)
	setListed := c.list.Set
	if c.baseVerdict.Revision == 0 {
		setListed = c.list.SetNow
	}
	setListed(platform.Listed{
		ID: id, Kind: "entry", PeerAddr: instance.PeerAddr(), HTTPAddr: instance.HTTPAddr(), Zone: home, State: platform.Live,
	})
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{id: id, instance: instance, kill: cancel, disconnected: disconnected}
	c.mu.Lock()
	c.cancels = append(c.cancels, cancel)
	c.members = append(c.members, m)
	c.mu.Unlock()
	c.running.Go(func() {
		defer c.removeEndpoint(instance.PeerAddr())
		if err := instance.Run(ctx); err != nil {
			c.report("instance %s: %v", id, err)
		}
	})
	return m
}

// kill ends an instance abruptly.
func (c *cluster) kill(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if m.id == id && !m.killed {
			m.killed = true
			m.disconnected.Store(true)
			delete(c.endpoints, m.instance.PeerAddr())
			m.kill()
		}
	}
}

// live returns the instances that were neither killed nor stopped.
func (c *cluster) live() []*member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.members), func(m *member) bool { return m.killed || m.leaving })
}

// logOnFailure logs the state of the cluster if its cell has failed.
func (c *cluster) logOnFailure() {
	if !c.t.Failed() {
		return
	}
	for _, m := range c.live() {
		c.t.Logf("%s at %s: offset and readiness %+v, lists %v", m.id, m.instance.PeerAddr(), c.status(m), m.instance.LiveInstances())
	}
	c.t.Logf("log: %v, list: %+v", c.log.Streams(), c.list.Visible())
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.errs {
		c.t.Log("reported:", e)
	}
}

// status returns the status that an instance shows to operators, or an empty one if it does not answer.
func (c *cluster) status(m *member) operator.Status {
	status, err := operator.NewClient(m.instance.AdminAddr()).Status(context.Background())
	if err != nil {
		c.report("status of %s: %v", m.id, err)
	}
	return status
}

// report records a failure; runCell passes it to the test at the end of the cell.
func (c *cluster) report(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.errs = append(c.errs, fmt.Sprintf(format, args...))
}

// awaitMembership waits until every live instance is ready and lists as many live peers as there are
// live instances.
func (c *cluster) awaitMembership() {
	c.t.Helper()
	c.waitUntil("all live instances list each other", func() bool {
		live := c.live()
		for _, m := range live {
			status, err := operator.NewClient(m.instance.AdminAddr()).Status(c.t.Context())
			if err != nil || !status.Ready || len(status.LivePeers) != len(live) {
				return false
			}
		}
		return true
	})
}

// isListed reports whether any of the other live instances lists the instance id.
func (c *cluster) isListed(id string) bool {
	for _, m := range c.live() {
		if m.id != id && slices.ContainsFunc(m.instance.LiveInstances(), func(i machine.Instance) bool { return i.ID == id }) {
			return true
		}
	}
	return false
}

// publishNote publishes a note at one live instance after another until it gets a verdict, as an operator
// does, who repeats a note with the same id. checkVerdicts compares the verdict with the log.
func (c *cluster) publishNote(note []byte) release.Verdict {
	var id struct{ ID string }
	if err := json.Unmarshal(note, &id); err != nil {
		c.report("note: %v", err)
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), 2*testTimeout)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		live := c.live()
		if len(live) == 0 {
			continue
		}
		verdict, ok := c.publishAt(ctx, live[n%len(live)], note)
		if !ok {
			continue
		}
		c.mu.Lock()
		c.verdicts[id.ID] = verdict
		c.mu.Unlock()
		return verdict
	}
	c.report("no verdict on note %s", id.ID)
	return release.Verdict{}
}

// publishAt publishes a note at one instance and reports whether it got a verdict.
func (c *cluster) publishAt(ctx context.Context, m *member, note []byte) (release.Verdict, bool) {
	verdict, err := operator.NewClient(m.instance.AdminAddr()).PublishNote(ctx, note)
	var refused *operator.ResponseError
	if errors.As(err, &refused) && refused.Detail.Verdict != nil {
		return *refused.Detail.Verdict, true
	}
	return verdict, err == nil
}

// announce announces a version of both services until an instance has accepted it, and waits until the
// engines run it.
func (c *cluster) announce(version int64) {
	c.t.Helper()
	for service := range c.engines {
		c.waitUntil(fmt.Sprintf("version %d of %s is announced", version, service), func() bool {
			return slices.ContainsFunc(c.live(), func(m *member) bool { return c.announceAt(m, service, version) })
		})
	}
	c.waitUntil(fmt.Sprintf("engines run version %d", version), func() bool {
		return c.engines["checked"].Version() == version && c.engines["unchecked"].Version() == version
	})
}

func (c *cluster) announceAt(m *member, service string, version int64) bool {
	url := fmt.Sprintf("http://%s/v1/services/%s/versions", m.instance.HTTPAddr(), service)
	body := fmt.Sprintf(`{"version":%d,"trainer":"trainer"}`, version)
	req, err := http.NewRequestWithContext(c.t.Context(), http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// controlRecords returns all records of the control stream, including expired ones.
func (c *cluster) controlRecords() []platform.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := slices.Clone(c.expiredRecords)
	for _, r := range c.log.Records(control.Stream) {
		if r.Offset == int64(len(all)) {
			all = append(all, r)
		}
	}
	return all
}

// logState returns the state that results from applying all records of the control stream.
func (c *cluster) logState() *control.State {
	state := control.Empty()
	for _, r := range c.controlRecords() {
		state = state.Apply(r)
	}
	return state
}
