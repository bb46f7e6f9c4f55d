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

// Numbers of back ends per service.
const (
	trainedSamplerCount = 9
	staffSamplerCount   = 3
	plainServerCount    = 3
)

// standIns holds all stand-ins of a deployment: the log, the instance list, the weight store,
// engines and plain servers.
type standIns struct {
	deployment   deployment
	net          *network
	log          *logserver.Server
	list         *list.Server
	store        *store.Server
	engines      map[string][]*engine.Server // by service
	plainServers map[string][]*plain.Server
	backends     map[string][]machine.Backend
}

// startStandIns starts all stand-ins. After an error it returns those that were started, for the
// caller to close.
func startStandIns(d deployment, n *network) (*standIns, error) {
	s := &standIns{
		deployment: d, net: n, engines: map[string][]*engine.Server{}, plainServers: map[string][]*plain.Server{},
		backends: map[string][]machine.Backend{},
	}
	if err := s.startPlatform(); err != nil {
		return s, err
	}
	for _, group := range []struct {
		service string
		n       int
	}{{d.trainedService, trainedSamplerCount}, {d.staffService, staffSamplerCount}} {
		for i := range group.n {
			if err := s.startEngine(group.service, i); err != nil {
				return s, err
			}
		}
	}
	keys := plain.NewKeys() // the servers of the ask_by_key service share one database
	for _, service := range []string{d.bookingService, d.askByKeyService, d.scoringService} {
		for i := range plainServerCount {
			if err := s.startPlain(service, i, keys); err != nil {
				return s, err
			}
		}
	}
	return s, nil
}

// startPlatform starts the log, the instance list and the weight store.
func (s *standIns) startPlatform() error {
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
		s.net.register(addr, &node{name: string(kind), kind: kind, zone: s.deployment.zones[0]})
	}
	return nil
}

func (s *standIns) startEngine(service string, i int) error {
	id, z := fmt.Sprintf("%s-%d", service, i+1), s.deployment.zones[i%len(s.deployment.zones)]
	process := &node{name: id, kind: backendNode, zone: z}
	e, err := engine.Start(engine.Options{
		ID: id, Zone: z, TokenRate: tokenRate, ChecksFencing: s.deployment.checksFencing, Version: startVersion, Model: service,
		StoreAddr: s.store.Addr(), WeightBytes: weightBytes, SwapTime: swapTime, DialContext: s.net.dialer(process),
	})
	if err != nil {
		return err
	}
	s.engines[service] = append(s.engines[service], e)
	s.addBackend(process, machine.Backend{ID: id, Kind: machine.Sampler, Service: service, Addr: e.Addr(), Zone: z})
	return nil
}

func (s *standIns) startPlain(service string, i int, keys *plain.Keys) error {
	id, z := fmt.Sprintf("%s-%d", service, i+1), s.deployment.zones[i%len(s.deployment.zones)]
	opts := plain.Options{ID: id, ServiceTime: plainServiceTime, AskByKey: service == s.deployment.askByKeyService}
	if opts.AskByKey {
		opts.Keys = keys
	}
	if service == s.deployment.scoringService {
		opts.ServiceTime = scoringServiceTime
	}
	p, err := plain.Start(opts)
	if err != nil {
		return err
	}
	s.plainServers[service] = append(s.plainServers[service], p)
	s.addBackend(&node{name: id, kind: backendNode, zone: z}, machine.Backend{ID: id, Kind: machine.Plain, Service: service, Addr: p.Addr(), Zone: z})
	return nil
}

// addBackend registers a back end with the network and adds it to the instance list.
func (s *standIns) addBackend(owner *node, b machine.Backend) {
	s.net.register(b.Addr, owner)
	s.backends[b.Service] = append(s.backends[b.Service], b)
	s.list.SetNow(listEntry(b, platform.Live))
}

func listEntry(b machine.Backend, state platform.ListState) platform.Listed {
	return platform.Listed{ID: b.ID, Kind: string(b.Kind), HTTPAddr: b.Addr, Zone: b.Zone, State: state}
}

func (s *standIns) allEngines() []*engine.Server {
	return append(append([]*engine.Server(nil), s.engines[s.deployment.trainedService]...), s.engines[s.deployment.staffService]...)
}

// bodyRunCounter returns a function that counts the runs of a request body, given by its hash, at
// the servers of a plain service.
func (s *standIns) bodyRunCounter(service string) func(hash string) int {
	return func(hash string) int {
		n := 0
		for _, p := range s.plainServers[service] {
			n += p.Ledger().RunsOfBody(hash)
		}
		return n
	}
}

// promptRunCounter returns a function that counts the runs of a prompt, given by its hash, at the
// engines of a sampler service.
func (s *standIns) promptRunCounter(service string) func(hash string) int {
	return func(hash string) int {
		n := 0
		for _, e := range s.engines[service] {
			n += e.Ledger().RunsOfPrompt(hash)
		}
		return n
	}
}

// usedKV reports whether a sampler of the trained service used KV of this version for a prompt.
func (s *standIns) usedKV(promptHash string, version int64) bool {
	for _, e := range s.engines[s.deployment.trainedService] {
		if e.Ledger().UsedKV(promptHash, version) {
			return true
		}
	}
	return false
}

func (s *standIns) close() {
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, e := range s.allEngines() {
		wg.Go(e.Close)
	}
	for _, group := range s.plainServers {
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

// regionOf returns the region in a zone's string form.
func regionOf(z string) string {
	for i := range z {
		if z[i] == '/' {
			return z[:i]
		}
	}
	return z
}

// zoneOfInstance returns the zone of the entry instance with index i.
func zoneOfInstance(d deployment, i int) zone.Zone { return d.zones[i/instancesPerDataCentre] }
