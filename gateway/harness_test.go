package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"

	claims "github.com/cicadasill/cicadasill/claim"
	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/gateway"
	"github.com/cicadasill/cicadasill/health"
	"github.com/cicadasill/cicadasill/limit"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/routing"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin"
	"github.com/cicadasill/cicadasill/zone"
)

var (
	localZone  = zone.Zone{Region: "almaty", DataCentre: "alm-north"}
	remoteZone = zone.Zone{Region: "shymkent", DataCentre: "shym-east"}
)

// instance is one gateway behind a real listener.
type instance struct {
	*gateway.Gateway
	tracker *health.Tracker
	server  *httptest.Server
	self    machine.Instance
}

// deployment is one or two instances in front of three engines and three plain back ends.
type deployment struct {
	*environment
	t            testing.TB
	services     map[string]*contract.Service
	instances    map[string]*instance
	owner        string // instance that owns every key; empty means no forwarding
	cancelCaller context.CancelFunc
	forwards     int
}

// deploy starts the named instances and waits until their back ends are ready. configure may
// change the options of each instance.
func deploy(t testing.TB, configure func(*gateway.Options), names ...string) *deployment {
	t.Helper()
	d := &deployment{t: t, environment: &environment{
		backends: map[string]*backend{}, runs: map[string]int{}, requests: map[string]bool{}, killed: map[string]bool{},
		paused: map[string]chan struct{}{}, claimLog: map[string]*claimRecord{}, backendsByKey: map[string]map[string]bool{}, closed: make(chan struct{}),
	}, instances: map[string]*instance{}}
	d.services = map[string]*contract.Service{
		"fry-lm": {Name: "fry-lm", Kind: machine.Sampler, Calls: []contract.Call{{Name: "generate", Idempotent: true, Priority: contract.Staff}}},
		"line-desk": {Name: "line-desk", Kind: machine.Plain, Calls: []contract.Call{
			{Name: "read", Idempotent: true, Priority: contract.Staff}, {Name: "book", Priority: contract.Staff},
			{Name: "order", Priority: contract.Staff, AskByKey: true}}},
	}
	for i, z := range []zone.Zone{localZone, localZone, remoteZone} {
		for name, s := range d.services {
			m := machine.Backend{ID: fmt.Sprintf("%s-%d", name, i), Kind: s.Kind, Service: name, Zone: z, Addr: fmt.Sprintf("%s-%d", name, i)}
			s.Backends = append(s.Backends, m)
			d.backends[m.Addr] = &backend{Backend: m}
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); close(d.closed) })
	for _, name := range names {
		d.startInstance(ctx, name, configure)
	}
	for _, i := range d.instances {
		for addr := range d.backends {
			for !i.tracker.Ready(addr) {
				time.Sleep(time.Millisecond)
			}
		}
	}
	return d
}

func (d *deployment) startInstance(ctx context.Context, name string, configure func(*gateway.Options)) {
	c := &client{d.environment, name}
	i := &instance{self: machine.Instance{ID: name, Incarnation: 1, Zone: localZone}}
	i.tracker = health.New(health.Options{Engine: c, Plain: c, PollInterval: 20 * time.Millisecond})
	var all []machine.Backend
	for _, s := range d.services {
		all = append(all, s.Backends...)
	}
	i.tracker.Update(all)
	opts := gateway.Options{
		Self: i.self, Tracker: i.tracker, Engine: c, Plain: c, Claims: c, MinHedgeDelay: time.Second,
		Router: &observedRouter{routing.New(routing.Options{Tracker: i.tracker, Zone: localZone}), c},
		Service: func(s string) (*contract.Service, bool) {
			_ = d.reachStep(ctx, name, stepAccept, nil, nil)
			found, ok := d.services[s]
			return found, ok
		},
		Owner: func(claims.Key) machine.Instance {
			if d.owner == eachOther {
				return d.instances[map[string]string{"a": "b", "b": "a"}[name]].self
			}
			if o := d.instances[d.owner]; o != nil {
				return o.self
			}
			return machine.Instance{}
		},
		Forward:     d.forward,
		RetryBudget: limit.NewRetryBudget(0, 100, 0), ForwardTimeout: time.Second,
	}
	if configure != nil {
		configure(&opts)
	}
	i.Gateway = gateway.New(opts)
	router := httprouter.New()
	i.Register(router)
	i.server = httptest.NewServer(router)
	d.t.Cleanup(func() { i.server.CloseClientConnections(); i.server.Listener.Close() })
	go func() { _ = i.tracker.Run(ctx) }()
	go func() { _ = i.Run(ctx) }()
	d.instances[name] = i
}

// eachOther as the owner means that a and b each consider the other the owner of every key.
const eachOther = "each other"

// observedRouter reports the step choose before it picks a back end.
type observedRouter struct {
	*routing.BackendRouter
	c *client
}

func (r *observedRouter) Pick(q routing.Request) (routing.Pick, error) {
	if err := r.c.reachStep(context.Background(), r.c.inst, stepChoose, nil, nil); err != nil {
		return routing.Pick{}, err
	}
	return r.BackendRouter.Pick(q)
}

// notSent is a forwarding error which proves that the peer did not handle the request.
type notSent struct{}

func (notSent) Error() string { return "not sent" }
func (notSent) NotRun() bool  { return true }

func (d *deployment) forward(ctx context.Context, to machine.Instance, req *http.Request) (*http.Response, error) {
	d.mu.Lock()
	dead := d.killed[to.ID]
	d.mu.Unlock()
	if dead {
		return nil, notSent{}
	}
	d.mu.Lock()
	d.forwards++
	d.mu.Unlock()
	req = req.WithContext(ctx)
	req.URL.Host = strings.TrimPrefix(d.instances[to.ID].server.URL, "http://")
	resp, err := http.DefaultClient.Do(req)
	if err == nil && d.truncateForwarded {
		resp.Body = io.NopCloser(io.LimitReader(resp.Body, 3))
	}
	if err == nil && d.endlessForwarded != nil {
		resp.Body, resp.ContentLength = d.endlessForwarded, -1
	}
	if err == nil && d.forwardedStatus != 0 {
		resp.StatusCode = d.forwardedStatus
	}
	return resp, err
}

// reply is what a caller received. The outcome is empty if the connection broke.
type reply struct {
	status  int
	outcome gateway.Outcome
	reason  string
	body    string
	header  http.Header
}

// post sends one HTTP request as a caller does. header holds names and values in turn.
func (d *deployment) post(ctx context.Context, inst, path, body string, header ...string) reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.instances[inst].server.URL+"/v1/services/"+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}
	}
	return reply{resp.StatusCode, gateway.Outcome(resp.Header.Get(gateway.HeaderOutcome)), resp.Header.Get(gateway.HeaderReason), string(data), resp.Header}
}

// quiesce drains all instances that have not been killed.
func (d *deployment) quiesce() {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for name, i := range d.instances {
		d.mu.Lock()
		dead := d.killed[name]
		d.mu.Unlock()
		if !dead && i.Drain(ctx) != nil {
			d.t.Errorf("instance %s still has requests after 20 s", name)
		}
	}
}

// runsOf returns how often the plain back ends ran a request.
func (d *deployment) runsOf(key, body string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[key+body]
}

const generateBody = `{"prompt":"golden and crisp","max_tokens":20,"stream":%t,"seed":5}`

// checkTokens returns an error unless the stream holds each of the 20 tokens once, in order.
func checkTokens(body string) error {
	next, dec := 0, json.NewDecoder(bytes.NewReader([]byte(body)))
	for {
		var line struct {
			platform.GenerateEvent
			Error *struct{ Code string }
		}
		if err := dec.Decode(&line); err != nil {
			return fmt.Errorf("after %d tokens: %w in %q", next, err, body)
		}
		if line.Error != nil {
			return fmt.Errorf("error line %s", line.Error.Code)
		}
		for i, token := range line.Tokens {
			if line.Index+i != next || token != standin.Token("golden and crisp", 5, next, line.Version) {
				return fmt.Errorf("token %d is %d at index %d", next, token, line.Index+i)
			}
			next++
		}
		if line.Done {
			if next != 20 || line.Total != 20 {
				return fmt.Errorf("done after %d tokens, total %s", next, strconv.Itoa(line.Total))
			}
			return nil
		}
	}
}
