package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

const (
	// cutTime is how long the link of the holder to one sampler is cut, resendTime how long after that TCP sends the held bytes once
	// more: longer than the time in which arrivals after a cut do not count, and less than the pauses that TCP makes after such a cut.
	cutTime    = 9 * time.Second
	resendTime = time.Second
	thaw       = 300 * time.Millisecond
	orderPath  = "/api/order"
)

// arrival is an order that has reached a sampler.
type arrival struct {
	at      time.Time
	Holder  string `json:"holder"`
	Fence   int64  `json:"fence"`
	Version int64  `json:"version"`
	status  int
}

// orderedSampler is a sampler that records the orders that reach it. Each instance has a link of its own to it.
type orderedSampler struct {
	*sampler
	front *httptest.Server
	links []*cutLink // by instance

	mu     sync.Mutex // guards orders
	orders []arrival
}

// statusRecorder notes the status of an answer.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (s *statusRecorder) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

// Unwrap is called by http.ResponseController.
func (s *statusRecorder) Unwrap() http.ResponseWriter { return s.ResponseWriter }

func (s *orderedSampler) serve(w http.ResponseWriter, call *http.Request) {
	handler := s.Engine.Config.Handler
	if call.URL.Path != orderPath {
		handler.ServeHTTP(w, call)
		return
	}
	a := arrival{at: time.Now()}
	body, err := io.ReadAll(call.Body)
	if err != nil || json.Unmarshal(body, &a) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call.Body = io.NopCloser(bytes.NewReader(body))
	recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
	handler.ServeHTTP(recorder, call)
	a.status = recorder.status
	s.mu.Lock()
	s.orders = append(s.orders, a)
	s.mu.Unlock()
	s.run.notef("order of %s with fencing token %d for version %d reached %s: %d", a.Holder, a.Fence, a.Version, s.ID, a.status)
}

// arrivals returns the orders that have reached the sampler.
func (s *orderedSampler) arrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.orders...)
}

// playHolder plays the case of an order that a cut link has held up, after a planned stop of its sender.
func playHolder(r *run) error {
	r.unfenced = true
	r.store.PutConfig([]byte(refusedConfig))
	const instances = 4
	samplers, err := r.startLinkedSamplers(5, instances)
	if err != nil {
		return err
	}
	for _, s := range samplers {
		s.FencingEnforced = false
	}
	for n := range instances {
		if _, err := r.startInstance(fmt.Sprintf("edge-%d", n)); err != nil {
			return err
		}
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	name := func(version int64) {
		r.store.PutVersion("tray-m", version)
		r.notef("version %d is named", version)
	}
	name(2)
	time.Sleep(3 * time.Second)
	name(3)
	time.Sleep(3 * time.Second)
	// A sampler that has version 2 is behind version 4, and the holder has a kept connection to it.
	var chosen *orderedSampler
	for _, s := range samplers {
		if orders := s.arrivals(); len(orders) == 1 && orders[0].Version == 2 {
			chosen = s
		}
	}
	if chosen == nil {
		return errors.New("no sampler has got only the order for version 2")
	}
	holder := chosen.arrivals()[0].Holder
	n, err := strconv.Atoi(strings.TrimPrefix(holder, "edge-"))
	if err != nil {
		return err
	}
	r.notef("%s gives the orders", holder)
	var held atomic.Bool
	if r.trouble {
		chosen.links[n].cut(func(data []byte) {
			if bytes.Contains(data, []byte(orderPath)) || bytes.Contains(data, []byte(`"holder"`)) {
				if !held.Swap(true) {
					r.notef("an order of %s is held up on the cut link to %s", holder, chosen.ID)
				}
			}
		})
		r.notef("the link of %s to %s is cut", holder, chosen.ID)
	}
	cutAt := time.Now()
	name(4)
	if r.trouble && !waitFor(4*time.Second, held.Load) {
		return errors.New("no order was sent on the cut link")
	}
	time.Sleep(100 * time.Millisecond)
	r.instances[n].terminate()
	healedAt := cutAt.Add(cutTime)
	time.Sleep(time.Until(healedAt))
	if r.trouble {
		r.notef("the link of %s to %s has healed", holder, chosen.ID)
		chosen.links[n].heal(resendTime)
	}
	time.Sleep(3 * time.Second)
	for _, s := range samplers {
		r.judgeOrders(s, healedAt)
	}
	return nil
}

// judgeOrders checks that no lower fencing token reaches a sampler after a higher one, but within thaw of the end of a cut.
func (r *run) judgeOrders(s *orderedSampler, healedAt time.Time) {
	var highest arrival
	for _, a := range s.arrivals() {
		sinceHeal := a.at.Sub(healedAt)
		if sinceHeal >= 0 && sinceHeal <= thaw {
			continue
		}
		if a.Fence < highest.Fence {
			r.breakRule("ONE: an order of %s with fencing token %d reached %s %v after one of %s with token %d, %v after the link healed",
				a.Holder, a.Fence, s.ID, a.at.Sub(highest.at).Round(time.Millisecond), highest.Holder, highest.Fence, sinceHeal.Round(time.Millisecond))
		}
		if a.Fence > highest.Fence {
			highest = a
		}
	}
}

// startOrderedSampler starts a sampler with a link for each instance. It registers the address of the first one.
func (r *run) startOrderedSampler(e *hostedtest.Engine, instances int) (*orderedSampler, error) {
	s := &orderedSampler{}
	s.front = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, call *http.Request) { s.serve(w, call) }))
	r.fronts = append(r.fronts, s.front)
	for range instances {
		link, err := newCutLink(s.front.Listener.Addr().String())
		if err != nil {
			return nil, err
		}
		r.links = append(r.links, link)
		s.links = append(s.links, link)
	}
	s.sampler = r.startSamplerAt(e, s.links[0].addr())
	return s, nil
}

// rewriteAddrs makes the store tell each instance the addresses of its own links.
func (r *run) rewriteAddrs(samplers []*orderedSampler) {
	r.rewrite = func(name string, data []byte) []byte {
		n, err := strconv.Atoi(strings.TrimPrefix(name, "edge-"))
		if err != nil {
			return data
		}
		for _, s := range samplers {
			data = bytes.ReplaceAll(data, []byte(s.links[0].addr()), []byte(s.links[n].addr()))
		}
		return data
	}
}
