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

// member is one run of an instance in a world.
type member struct {
	id       string
	instance *entry.Instance
	kill     context.CancelFunc
	dead     *atomic.Bool // its connections carry nothing any more
	killed   bool
	leaving  bool
	high     int64 // the highest catalog revision seen at it
}

// world is a deployment over two regions: the log, the list and engine checked are in Almaty,
// the engine unchecked, which ignores fencing numbers, is in Shymkent.
type world struct {
	*deployment
	net     *faultnet.Network
	trigger trigger
	cuts    cuts
	engines map[string]*engine.Server // by service
	base    release.Verdict
	gone    int64 // the revision at which service "old" was withdrawn

	mu       sync.Mutex
	losses   int
	ends     map[string]string // ids by address
	members  []*member
	kept     []platform.Record // records of the control stream that retention has dropped
	verdicts map[string]release.Verdict
	errs     []string
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{
		deployment: newDeployment(t, time.Millisecond), net: faultnet.New(), engines: map[string]*engine.Server{},
		ends: map[string]string{}, cuts: cuts{paused: map[string]bool{}}, verdicts: map[string]release.Verdict{},
	}
	w.net.Cut(w.cuts.cut)
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
		w.engines[service] = e
		w.name(e.Addr(), service, home.Region)
	}
	t.Cleanup(w.explain)
	w.name(w.log.Addr(), logEnd, almaty.Region)
	w.name(w.list.Addr(), "list", almaty.Region)
	return w
}

// begin runs three instances that have two sampler services and a withdrawn one, and whose
// engines have been ordered to version 2.
func (w *world) begin() {
	w.t.Helper()
	w.join("a", almaty)
	w.join("b", almaty)
	w.join("c", shymkent)
	w.awaitView()
	w.base = w.publishNote(w.note("base", 0, func(n *release.Note) {
		n.Added = []contract.Service{w.sampler("checked"), w.sampler("unchecked"), w.plain("old"), w.plain("desk")}
	}))
	w.gone = w.publishNote(w.note("withdraw", w.base.Revision, func(n *release.Note) { n.Withdrawn = []string{"old"} })).Revision
	w.announce(2)
}

func (w *world) sampler(name string) contract.Service {
	home := w.engines[name].Options().Zone
	return contract.Service{
		Name: name, Kind: machine.Sampler, ChecksFencing: name == "checked",
		Calls:    []contract.Call{{Name: "generate", Idempotent: true, Priority: contract.Rollout}},
		Trainers: []contract.Trainer{{Name: "trainer", Share: 1}},
		Rollout:  &contract.RolloutTerms{MaxVersionLag: 1, IdleWeight: 0.5, MaxSwappingFraction: 1},
		Backends: []machine.Backend{{ID: name, Kind: machine.Sampler, Service: name, Addr: w.engines[name].Addr(), Zone: home}},
	}
}

func (w *world) plain(name string) contract.Service {
	return contract.Service{
		Name: name, Kind: machine.Plain,
		Calls: []contract.Call{{Name: "book", Priority: contract.Staff}}, Backends: []machine.Backend{},
	}
}

func (w *world) note(id string, base int64, fill func(*release.Note)) []byte {
	n := release.Note{ID: id, Author: "operator", Base: base}
	fill(&n)
	data, err := json.Marshal(n)
	if err != nil {
		w.t.Fatal(err)
	}
	return data
}

// addNote adds a plain service that is named like the note.
func (w *world) addNote(id string) []byte {
	return w.note(id, w.base.Revision, func(n *release.Note) { n.Added = []contract.Service{w.plain(id)} })
}

// join runs a new instance without waiting for it. After the start the list shows it with a lag.
func (w *world) join(id string, at zone.Zone) *member {
	dead := &atomic.Bool{}
	instance, err := entry.New(entry.Config{
		Self:      machine.Instance{ID: id, HTTPAddr: anyPort, PeerAddr: anyPort, Zone: at},
		AdminAddr: anyPort, LogAddr: w.log.Addr(), ListAddr: w.list.Addr(), DialContext: w.dialer(id, at.Region, dead),
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.name(instance.PeerAddr(), id, at.Region)
	show := w.list.Set
	if w.base.Revision == 0 {
		show = w.list.SetNow
	}
	show(platform.Listed{
		ID: id, Kind: "entry", PeerAddr: instance.PeerAddr(), HTTPAddr: instance.HTTPAddr(), Zone: at, State: platform.Live,
	})
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{id: id, instance: instance, kill: cancel, dead: dead}
	w.mu.Lock()
	w.cancels = append(w.cancels, cancel)
	w.members = append(w.members, m)
	w.mu.Unlock()
	w.tasks.Go(func() {
		defer w.forget(instance.PeerAddr())
		if err := instance.Run(ctx); err != nil {
			w.report("instance %s: %v", id, err)
		}
	})
	return m
}

// kill ends an instance abruptly.
func (w *world) kill(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.members {
		if m.id == id && !m.killed {
			m.killed = true
			m.dead.Store(true)
			delete(w.ends, m.instance.PeerAddr())
			m.kill()
		}
	}
}

// live returns the instances that were neither killed nor told to leave.
func (w *world) live() []*member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.members), func(m *member) bool { return m.killed || m.leaving })
}

// explain logs the state of a world whose cell has failed.
func (w *world) explain() {
	if !w.t.Failed() {
		return
	}
	for _, m := range w.live() {
		w.t.Logf("%s at %s: offset and readiness %+v, lists %v", m.id, m.instance.PeerAddr(), w.status(m), m.instance.LiveInstances())
	}
	w.t.Logf("log: %v, list: %+v", w.log.Streams(), w.list.Visible())
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.errs {
		w.t.Log("reported:", e)
	}
}

// status returns what an operator is told, empty when the instance does not answer.
func (w *world) status(m *member) operator.Status {
	status, err := operator.NewClient(m.instance.AdminAddr()).Status(context.Background())
	if err != nil {
		w.report("status of %s: %v", m.id, err)
	}
	return status
}

func (w *world) report(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.errs = append(w.errs, fmt.Sprintf(format, args...))
}

// awaitView waits until all live instances have a state and list exactly each other.
func (w *world) awaitView() {
	w.t.Helper()
	w.until("all live instances see each other", func() bool {
		live := w.live()
		for _, m := range live {
			status, err := operator.NewClient(m.instance.AdminAddr()).Status(w.t.Context())
			if err != nil || !status.Ready || len(status.LivePeers) != len(live) {
				return false
			}
		}
		return true
	})
}

// seen reports whether any of the other live instances lists the instance id.
func (w *world) seen(id string) bool {
	for _, m := range w.live() {
		if m.id != id && slices.ContainsFunc(m.instance.LiveInstances(), func(i machine.Instance) bool { return i.ID == id }) {
			return true
		}
	}
	return false
}

// publishNote repeats a note with its id, at one live instance after another, until a verdict
// comes, as an operator does. The verdict must be what all instances show in the end.
func (w *world) publishNote(note []byte) release.Verdict {
	var id struct{ ID string }
	if err := json.Unmarshal(note, &id); err != nil {
		w.report("note: %v", err)
	}
	ctx, cancel := context.WithTimeout(w.t.Context(), 2*testLimit)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		live := w.live()
		if len(live) == 0 {
			continue
		}
		verdict, ok := w.publishAt(ctx, live[n%len(live)], note)
		if !ok {
			continue
		}
		w.mu.Lock()
		w.verdicts[id.ID] = verdict
		w.mu.Unlock()
		return verdict
	}
	w.report("no verdict on note %s", id.ID)
	return release.Verdict{}
}

func (w *world) publishAt(ctx context.Context, m *member, note []byte) (release.Verdict, bool) {
	verdict, err := operator.NewClient(m.instance.AdminAddr()).PublishNote(ctx, note)
	var refused *operator.ResponseError
	if errors.As(err, &refused) && refused.Detail.Verdict != nil {
		return *refused.Detail.Verdict, true
	}
	return verdict, err == nil
}

// announce tells the instances of a version of both services until one of them has taken it.
func (w *world) announce(version int64) {
	w.t.Helper()
	for service := range w.engines {
		w.until(fmt.Sprintf("version %d of %s is announced", version, service), func() bool {
			return slices.ContainsFunc(w.live(), func(m *member) bool { return w.announceAt(m, service, version) })
		})
	}
	w.until(fmt.Sprintf("engines run version %d", version), func() bool {
		return w.engines["checked"].Version() == version && w.engines["unchecked"].Version() == version
	})
}

func (w *world) announceAt(m *member, service string, version int64) bool {
	url := fmt.Sprintf("http://%s/v1/services/%s/versions", m.instance.HTTPAddr(), service)
	body := fmt.Sprintf(`{"version":%d,"trainer":"trainer"}`, version)
	req, err := http.NewRequestWithContext(w.t.Context(), http.MethodPost, url, bytes.NewReader([]byte(body)))
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

// records returns every record that the control stream ever had.
func (w *world) records() []platform.Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := slices.Clone(w.kept)
	for _, r := range w.log.Records(control.Stream) {
		if r.Offset == int64(len(all)) {
			all = append(all, r)
		}
	}
	return all
}

// truth is the fold of the whole control stream.
func (w *world) truth() *control.State {
	state := control.Empty()
	for _, r := range w.records() {
		state = state.Apply(r)
	}
	return state
}
