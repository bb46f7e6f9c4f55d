package demo

import (
	"fmt"

	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin/engine"
	"github.com/cicadasill/cicadasill/standin/list"
	"github.com/cicadasill/cicadasill/standin/logserver"
	"github.com/cicadasill/cicadasill/standin/plain"
	"github.com/cicadasill/cicadasill/standin/store"
	"github.com/cicadasill/cicadasill/zone"
)

// Numbers of back ends of a service.
const (
	trainedSamplers = 9
	staffSamplers   = 3
	plainServers    = 3
)

// stands holds all stand-ins of a deployment.
type stands struct {
	d        deployment
	net      *network
	log      *logserver.Server
	list     *list.Server
	store    *store.Server
	engines  map[string][]*engine.Server // by service
	plains   map[string][]*plain.Server
	backends map[string][]machine.Backend
}

func startStands(d deployment, n *network) (*stands, error) {
	s := &stands{
		d: d, net: n, engines: map[string][]*engine.Server{}, plains: map[string][]*plain.Server{},
		backends: map[string][]machine.Backend{},
	}
	if err := s.startPlatform(); err != nil {
		return s, err
	}
	for _, group := range []struct {
		service string
		n       int
	}{{d.trained, trainedSamplers}, {d.staff, staffSamplers}} {
		for i := range group.n {
			if err := s.startEngine(group.service, i); err != nil {
				return s, err
			}
		}
	}
	keys := plain.NewKeys() // the ask_by_key service has one database
	for _, service := range []string{d.desk, d.books, d.scores} {
		for i := range plainServers {
			if err := s.startPlain(service, i, keys); err != nil {
				return s, err
			}
		}
	}
	return s, nil
}

func (s *stands) startPlatform() error {
	var err error
	if s.log, err = logserver.Start(logserver.Options{}); err != nil {
		return err
	}
	if s.list, err = list.Start(list.Options{}); err != nil {
		return err
	}
	if s.store, err = store.Start(store.Options{WeightBytes: weightBytes, Rate: storeRate}); err != nil {
		return err
	}
	for kind, addr := range map[nodeKind]string{logNode: s.log.Addr(), listNode: s.list.Addr(), storeNode: s.store.Addr()} {
		s.net.register(addr, &node{name: string(kind), kind: kind, zone: s.d.zones[0]})
	}
	return nil
}

func (s *stands) startEngine(service string, i int) error {
	id, z := fmt.Sprintf("%s-%d", service, i+1), s.d.zones[i%len(s.d.zones)]
	who := &node{name: id, kind: backendNode, zone: z}
	e, err := engine.Start(engine.Options{
		ID: id, Zone: z, TokenRate: tokenRate, ChecksFencing: s.d.checksFencing, Version: startVersion, Model: service,
		StoreAddr: s.store.Addr(), WeightBytes: weightBytes, SwapTime: swapTime, DialContext: s.net.dialer(who),
	})
	if err != nil {
		return err
	}
	s.engines[service] = append(s.engines[service], e)
	s.enlist(who, machine.Backend{ID: id, Kind: machine.Sampler, Service: service, Addr: e.Addr(), Zone: z})
	return nil
}

func (s *stands) startPlain(service string, i int, keys *plain.Keys) error {
	id, z := fmt.Sprintf("%s-%d", service, i+1), s.d.zones[i%len(s.d.zones)]
	opts := plain.Options{ID: id, ServiceTime: plainThink, AskByKey: service == s.d.books}
	if opts.AskByKey {
		opts.Keys = keys
	}
	if service == s.d.scores {
		opts.ServiceTime = scoreThink
	}
	p, err := plain.Start(opts)
	if err != nil {
		return err
	}
	s.plains[service] = append(s.plains[service], p)
	s.enlist(&node{name: id, kind: backendNode, zone: z}, machine.Backend{ID: id, Kind: machine.Plain, Service: service, Addr: p.Addr(), Zone: z})
	return nil
}

func (s *stands) enlist(who *node, b machine.Backend) {
	s.net.register(b.Addr, who)
	s.backends[b.Service] = append(s.backends[b.Service], b)
	s.list.SetNow(listed(b, platform.Live))
}

func listed(b machine.Backend, state platform.ListState) platform.Listed {
	return platform.Listed{ID: b.ID, Kind: string(b.Kind), HTTPAddr: b.Addr, Zone: b.Zone, State: state}
}

func (s *stands) allEngines() []*engine.Server {
	return append(append([]*engine.Server(nil), s.engines[s.d.trained]...), s.engines[s.d.staff]...)
}

// runsOfBody returns a function that counts the runs of a body at the servers of a service.
func (s *stands) runsOfBody(service string) func(hash string) int {
	return func(hash string) int {
		n := 0
		for _, p := range s.plains[service] {
			n += p.Ledger().RunsOfBody(hash)
		}
		return n
	}
}

func (s *stands) runsOfPrompt(service string) func(hash string) int {
	return func(hash string) int {
		n := 0
		for _, e := range s.engines[service] {
			n += e.Ledger().RunsOfPrompt(hash)
		}
		return n
	}
}

// usedKV reports whether a sampler of the trained service used KV of version for a prompt.
func (s *stands) usedKV(promptHash string, version int64) bool {
	for _, e := range s.engines[s.d.trained] {
		if e.Ledger().UsedKV(promptHash, version) {
			return true
		}
	}
	return false
}

func (s *stands) close() {
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, e := range s.allEngines() {
		wg.Go(e.Close)
	}
	for _, group := range s.plains {
		for _, p := range group {
			wg.Go(p.Close)
		}
	}
	if s.log != nil {
		wg.Go(s.log.Close)
	}
	if s.list != nil {
		wg.Go(s.list.Close)
	}
	if s.store != nil {
		wg.Go(s.store.Close)
	}
}

// regionOf returns the region of a zone's string form.
func regionOf(z string) string {
	for i := range z {
		if z[i] == '/' {
			return z[:i]
		}
	}
	return z
}

func zoneOf(d deployment, i int) zone.Zone { return d.zones[i/instancesPerDataCentre] }
