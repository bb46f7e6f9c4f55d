package compare

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/rollout"
	"github.com/cicadasill/cicadasill/rollout/enginesim"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

var (
	errInstanceDown = errors.New("instance is down")
	errLinkCut      = errors.New("link to the instance is cut")
)

// Config describes a deployment.
type Config struct {
	Fleet     *enginesim.Fleet
	Service   contract.Service
	Instances int
	// MaxPerEngine is the most samples that one instance runs at one engine.
	MaxPerEngine int
	// Adjust changes the options of each instance before it starts; nil changes none.
	Adjust func(*rollout.Options)
}

// Deployment is a set of rollout servers that forward requests to each other in memory.
type Deployment struct {
	*Control
	cfg Config

	mu        sync.Mutex
	instances []*instance
	cutLinks  map[[2]int]bool
}

type instance struct {
	d      *Deployment
	index  int
	self   machine.Instance
	view   []int // indexes of the instances that it believes live; nil means all that are up
	up     bool
	router *httprouter.Router
	server *rollout.Server
	stop   context.CancelFunc
	wg     *conc.WaitGroup
}

// New starts a deployment with all its instances.
func New(cfg Config) *Deployment {
	cfg.Service.Backends = cfg.Fleet.Backends(cfg.Service.Name)
	d := &Deployment{Control: NewControl(cfg.Service), cfg: cfg, cutLinks: make(map[[2]int]bool)}
	for i := range cfg.Instances {
		d.instances = append(d.instances, &instance{d: d, index: i})
		d.Start(i)
	}
	return d
}

// Start starts instance i with a new incarnation. If the instance is running, it is killed first.
func (d *Deployment) Start(i int) {
	d.Kill(i)
	in := d.instances[i]
	opts := rollout.Options{
		Directory: d, Engine: d.cfg.Fleet, View: in, Owner: Owner,
		Load: func(id string) platform.LoadReport {
			// On an error the report is zero, which names no version.
			report, _ := d.cfg.Fleet.Load(context.Background(), enginesim.Addr(id))
			return report
		},
		Picker: &LeastLoaded{Fleet: d.cfg.Fleet, MaxPerEngine: d.cfg.MaxPerEngine},
		Forward: func(ctx context.Context, to machine.Instance, req *http.Request) (*http.Response, error) {
			return d.forward(ctx, i, to, req)
		},
	}
	if d.cfg.Adjust != nil {
		d.cfg.Adjust(&opts)
	}
	srv := rollout.New(opts)
	router := httprouter.New()
	srv.Register(router)
	ctx, cancel := context.WithCancel(context.Background())
	d.mu.Lock()
	in.self = machine.Instance{ID: fmt.Sprintf("entry-%d", i), Incarnation: in.self.Incarnation + 1}
	in.up, in.router, in.server, in.stop, in.wg = true, router, srv, cancel, &conc.WaitGroup{}
	wg := in.wg
	d.mu.Unlock()
	wg.Go(func() { _ = srv.Run(ctx) })
}

// Kill stops instance i, which loses its state.
func (d *Deployment) Kill(i int) {
	d.mu.Lock()
	in := d.instances[i]
	up, stop, wg := in.up, in.stop, in.wg
	in.up = false
	d.mu.Unlock()
	if up {
		stop()
		wg.Wait()
	}
}

// Drain prepares all instances for a planned stop.
func (d *Deployment) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, in := range d.instances {
		in.server.Drain()
	}
}

// Close kills all instances.
func (d *Deployment) Close() {
	for i := range d.instances {
		d.Kill(i)
	}
}

// SetView makes instance i consider exactly the given instances live; nil restores the actual view.
func (d *Deployment) SetView(i int, live []int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances[i].view = live
}

// SetLinkCut cuts the link from instance a to b if on is true, and restores it otherwise.
func (d *Deployment) SetLinkCut(a, b int, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cutLinks[[2]int{a, b}] = on
}

// OwnerOf returns the index of the instance that owns trainer's steps in the view of instance 0.
func (d *Deployment) OwnerOf(trainer string) int {
	owner := Owner(d.cfg.Service.Name+"/"+trainer, d.instances[0].Live())
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.IndexFunc(d.instances, func(in *instance) bool { return in.self.ID == owner.ID })
}

// Self implements rollout.View.
func (in *instance) Self() machine.Instance {
	in.d.mu.Lock()
	defer in.d.mu.Unlock()
	return in.self
}

// Live implements rollout.View.
func (in *instance) Live() []machine.Instance {
	in.d.mu.Lock()
	defer in.d.mu.Unlock()
	var out []machine.Instance
	for i, other := range in.d.instances {
		if in.view == nil && other.up || slices.Contains(in.view, i) {
			out = append(out, other.self)
		}
	}
	return out
}

// Owner returns the owner of key among the live instances, chosen by rendezvous hashing.
func Owner(key string, live []machine.Instance) machine.Instance {
	var owner machine.Instance
	var maxHash uint64
	for _, in := range live {
		if h := xxhash.Sum64String(key + "\x00" + in.ID); owner.ID == "" || h > maxHash {
			owner, maxHash = in, h
		}
	}
	return owner
}

// forward sends a request from one instance to another. It fails with errLinkCut if the link is cut or
// if no instance has that incarnation any more.
func (d *Deployment) forward(ctx context.Context, from int, to machine.Instance, req *http.Request) (*http.Response, error) {
	d.mu.Lock()
	i := slices.IndexFunc(d.instances, func(in *instance) bool { return in.self.Ref() == to.Ref() })
	unreachable := i < 0 || d.cutLinks[[2]int{from, i}]
	d.mu.Unlock()
	if unreachable {
		return nil, errLinkCut
	}
	return d.Do(i, req.WithContext(ctx))
}

// Do serves a request at instance i. If the instance is killed meanwhile, the response is lost.
func (d *Deployment) Do(i int, req *http.Request) (*http.Response, error) {
	d.mu.Lock()
	in := d.instances[i]
	up, router, self := in.up, in.router, in.self
	d.mu.Unlock()
	if !up {
		return nil, errInstanceDown
	}
	w := &responseRecorder{header: make(http.Header), status: http.StatusOK}
	router.ServeHTTP(w, req)
	d.mu.Lock()
	alive := in.up && in.self == self
	d.mu.Unlock()
	if !alive {
		return nil, errInstanceDown
	}
	return &http.Response{StatusCode: w.status, Header: w.header, Body: io.NopCloser(&w.body)}, nil
}

// responseRecorder is an http.ResponseWriter that keeps the response in memory.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(b []byte) (int, error) { return r.body.Write(b) }
