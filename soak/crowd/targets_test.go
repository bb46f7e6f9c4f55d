package crowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/operator"
	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
	"github.com/cicadasill/cicadasill/release"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin/engine"
	"github.com/cicadasill/cicadasill/standin/list"
	"github.com/cicadasill/cicadasill/standin/logserver"
	"github.com/cicadasill/cicadasill/standin/plain"
	"github.com/cicadasill/cicadasill/zone"
)

// Limits for clients in the tests' configuration, lower than those of deployments.
const (
	maxHeaderBytes  = 8192
	headerTimeoutMs = 1500
	idleTimeoutMs   = 15000
)

const hostedSettings = `{
  "instance": {"id": "instance-0", "region": "r", "data_centre": "a"},
  "listen": {"clients": %q, "ready": %q, "peers": %q, "metrics": %q},
  "store": {"addr": %q, "partitions": 4, "writes_per_s": 4000, "reads_per_s": 8000},
  "jobs": {"retention_s": 300, "slot_share": 1},
  "limits": {"memory_mb": %d, "max_fds": %d},
  "stop": {"grace_s": 6},
}`

const hostedConfig = `{"version":1,"routes":[
{"name":"plain","host":"crowd.example","path_prefix":"/plain/","type":"idempotent","timeout_ms":5000,"slo_ms":150,"service":"desk","attempts":2},
{"name":"jobs","host":"crowd.example","path_prefix":"/jobs/","type":"rollout","timeout_ms":10000,"slo_ms":500,"service":"llm","attempts":3,"keep_s":300,"run_slo_ms":7500,"resumable":true}],
"services":[{"name":"desk","max_conns":90},{"name":"llm","max_conns":90,"engine":{"slots":4,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":%d,"idle_timeout_ms":%d}}`

const ownSettings = `{
  "instance": {"id": "instance-0", "deployment": "crowd", "region": "r", "data_centre": "a"},
  "listen": {"http": %q, "peer": %q, "admin": %q},
  "platform": {"log": "http://%s", "instance_list": "http://%s"},
  "limits": {"max_body_bytes": 1048576, "header_timeout_ms": %d},
}`

// target is a running process with its ports by name. The ordinary request must be answered afterwards.
type target struct {
	*process
	ports    map[string]string
	ordinary func() error
}

// entryInterval is how often the test writes the entry of the back end.
const entryInterval = 300 * time.Millisecond

// hostedOptions are the limits of an instance on the users' platform and of its configuration.
type hostedOptions struct{ maxFDs, maxBodyBytes, idleTimeoutMs, answerBytes int }

// startHosted starts an instance for crowds of heads and of connections.
func startHosted(t *testing.T) *target {
	return startHostedWith(t, hostedOptions{maxFDs: maxFDs, maxBodyBytes: 1_000_000, idleTimeoutMs: idleTimeoutMs})
}

// startHostedWith starts an instance on a fake platform with a back end for plain requests and one for batch jobs.
func startHostedWith(t *testing.T, opts hostedOptions) *target {
	t.Helper()
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	store.PutConfig(fmt.Appendf(nil, hostedConfig, maxHeaderBytes, opts.maxBodyBytes, headerTimeoutMs, opts.idleTimeoutMs))
	desk := hostedtest.NewEngine("desk-0", "desk", "a", "")
	desk.AnswerBytes = opts.answerBytes
	llm := hostedtest.NewEngine("llm-0", "llm", "a", "m")
	for _, backend := range []*hostedtest.Engine{desk, llm} {
		t.Cleanup(func() {
			backend.CloseClientConnections()
			backend.Close()
		})
	}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		ticker := time.NewTicker(entryInterval)
		defer ticker.Stop()
		for {
			store.PutEntry(desk.ID, desk.Entry("ready"))
			store.PutEntry(llm.ID, llm.Entry("ready"))
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	ports := map[string]string{"clients": uniqueAddr(), "ready": uniqueAddr(), "peers": uniqueAddr(), "metrics": uniqueAddr()}
	p := startProcess(t, fmt.Sprintf(hostedSettings, ports["clients"], ports["ready"], ports["peers"], ports["metrics"], store.Addr(), memoryMB, opts.maxFDs), processOptions{}, "hosted")
	tg := &target{process: p, ports: ports, ordinary: func() error {
		if err := request(http.MethodGet, "http://"+ports["ready"]+"/api/readyz", "", nil, ""); err != nil {
			return err
		}
		if err := request(http.MethodGet, "http://"+ports["metrics"]+"/metrics", "", nil, ""); err != nil {
			return err
		}
		header := http.Header{"X-Request-Id": {uniqueID()}, "X-Deadline-Ms": {"5000"}}
		return request(http.MethodPost, "http://"+ports["clients"]+"/plain/x", "crowd.example", header, "body")
	}}
	await(t, p, "an ordinary request is answered before the crowd", func() bool { return tg.ordinary() == nil })
	return tg
}

// startOwn starts an instance for crowds of heads and of connections.
func startOwn(t *testing.T) *target { return startOwnWith(t, maxFDs) }

// startOwnWith starts an instance that serves the system's own interface, with a back end for callers and one for a trainer. Its
// settings have no limit of the descriptors, so that the one of the operating system is lowered.
func startOwnWith(t *testing.T, fds int, env ...string) *target {
	t.Helper()
	fatal := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	logServer, err := logserver.Start(logserver.Options{})
	fatal(err)
	t.Cleanup(logServer.Close)
	listServer, err := list.Start(list.Options{})
	fatal(err)
	t.Cleanup(listServer.Close)
	orders, err := plain.Start(plain.Options{ID: "orders-1", ServiceTime: time.Millisecond})
	fatal(err)
	t.Cleanup(orders.Close)
	sampler, err := engine.Start(engine.Options{ID: "lm-1"})
	fatal(err)
	t.Cleanup(sampler.Close)
	ports := map[string]string{"http": uniqueAddr(), "peer": uniqueAddr(), "admin": uniqueAddr()}
	home := zone.Zone{Region: "r", DataCentre: "a"}
	listServer.SetNow(platform.Listed{ID: "instance-0", Kind: "entry", PeerAddr: ports["peer"], HTTPAddr: ports["http"], Zone: home, State: platform.Live})
	trim := func(addr string) string { return strings.TrimPrefix(addr, "http://") }
	p := startProcess(t, fmt.Sprintf(ownSettings, ports["http"], ports["peer"], ports["admin"], trim(logServer.Addr()), trim(listServer.Addr()), headerTimeoutMs), processOptions{fds: fds, env: env})
	ready := func() error { return request(http.MethodGet, "http://"+ports["admin"]+"/readyz", "", nil, "") }
	await(t, p, "the instance is ready", func() bool { return ready() == nil })
	note, err := json.Marshal(release.Note{ID: "orders", Author: "test", Added: []contract.Service{
		{
			Name: "orders", Kind: machine.Plain, Calls: []contract.Call{
				{Name: "book", Priority: contract.Staff, DeadlineMs: 5000},
				{Name: "score", Idempotent: true, Priority: contract.Rollout},
			},
			Backends: []machine.Backend{{ID: "orders-1", Kind: machine.Plain, Service: "orders", Addr: orders.Addr(), Zone: home}},
		},
		{
			Name: "lm", Kind: machine.Sampler, Calls: []contract.Call{{Name: "generate", Idempotent: true, Priority: contract.Staff}},
			Trainers: []contract.Trainer{{Name: "t", Share: 1}},
			Rollout:  &contract.RolloutTerms{MaxVersionLag: 1, IdleWeight: 0.5, MaxSwappingFraction: 1, ScoringService: "orders", ScoringCall: "score"},
			Backends: []machine.Backend{{ID: "lm-1", Kind: machine.Sampler, Service: "lm", Addr: sampler.Addr(), Zone: home}},
		},
	}})
	fatal(err)
	_, err = operator.NewClient(ports["admin"]).PublishNote(t.Context(), note)
	fatal(err)
	tg := &target{process: p, ports: ports, ordinary: func() error {
		if err := ready(); err != nil {
			return err
		}
		header := http.Header{"Cicadasill-Key": {uniqueID()}}
		return request(http.MethodPost, "http://"+ports["http"]+"/v1/services/orders/calls/book", "", header, "{}")
	}}
	await(t, p, "an ordinary request is answered before the crowd", func() bool { return tg.ordinary() == nil })
	return tg
}

// ordinaryClient opens a connection for each request.
var ordinaryClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}

// sendBody sends a body, with its length stated or in chunks, and returns the status of the answer.
func sendBody(method, url string, body []byte, withLength bool) (int, error) {
	var reader io.Reader = bytes.NewReader(body)
	if !withLength {
		reader = io.MultiReader(reader) // has no known length
	}
	r, err := http.NewRequest(method, url, reader)
	if err != nil {
		return 0, err
	}
	r.Host = "crowd.example"
	r.Header = http.Header{"X-Request-Id": {uniqueID()}, "Cicadasill-Key": {uniqueID()}}
	response, err := ordinaryClient.Do(r)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// request makes an ordinary request. It fails if the status is not 200.
func request(method, url, host string, header http.Header, body string) error {
	r, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	if header != nil {
		r.Header = header
	}
	r.Host = host
	response, err := ordinaryClient.Do(r)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
