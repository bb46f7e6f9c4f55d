package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two entries of a sampler (heartbeat_ms).
const heartbeat = 1200 * time.Millisecond

// sampler is a stand-in of a model sampler or, without a model, of a plain server.
type sampler struct {
	id, service, zone, model string
	slots, queue             int
	// gap is the time between two events of a text, work that of a plain request.
	gap, work time.Duration

	fleet    *fleet
	listener net.Listener
	server   *http.Server
	born     int64
	places   chan struct{} // holds a value for each running request

	mu       sync.Mutex
	conns    map[net.Conn]bool
	waiting  int
	state    string
	version  int64
	accepted int64
	fence    int64
	seq      int64
	gone     bool
	stop     chan struct{}
}

func (f *fleet) addSampler(s *sampler) *sampler {
	s.fleet, s.state, s.version, s.born = f, "ready", 1, time.Now().UnixMilli()
	s.conns, s.stop, s.places = map[net.Conn]bool{}, make(chan struct{}), make(chan struct{}, s.slots)
	s.listener = mustListen()
	s.server = &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.conns[c] = true; state == http.StateClosed || state == http.StateHijacked {
			delete(s.conns, c)
		}
	}}
	go s.server.Serve(s.listener)
	s.beat()
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				s.beat()
			case <-s.stop:
				return
			}
		}
	}()
	f.samplers = append(f.samplers, s)
	return s
}

// beat writes the sampler's entry.
func (s *sampler) beat() {
	s.mu.Lock()
	if s.gone {
		s.mu.Unlock()
		return
	}
	s.seq++
	entry := s.entry()
	s.mu.Unlock()
	s.fleet.store.put("keyed.servers", s.id, entry)
}

// entry returns the sampler's entry. The caller holds mu.
func (s *sampler) entry() map[string]any {
	entry := map[string]any{
		"service": s.service, "addr": s.listener.Addr().String(), "zone": s.zone, "version": "1.0.0", "slots": s.slots, "state": s.state,
		"cold_left_ms": 0, "seq": s.seq, "born": s.born,
	}
	if s.model != "" {
		entry["stage"], entry["models"] = "hybrid", s.models()
	}
	return entry
}

// models returns the sampler's models as reports and entries state them. The caller holds mu.
func (s *sampler) models() []map[string]any {
	return []map[string]any{{"name": s.model, "version": s.version, "adapters": []string{}}}
}

// drain reports that the sampler leaves. It ends after the given time: its entry is removed, then its process ends.
func (s *sampler) drain(after time.Duration) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.beat()
	s.fleet.log("sampler %s: its report that it is draining is acknowledged", s.id)
	time.AfterFunc(after, func() {
		s.mu.Lock()
		s.gone = true
		s.mu.Unlock()
		close(s.stop)
		s.fleet.store.put("keyed.servers", s.id, nil)
		s.server.Close()
		s.fleet.log("sampler %s has left", s.id)
	})
}

// crash ends the sampler without a word; its entry is removed after three intervals of silence.
func (s *sampler) crash() {
	s.mu.Lock()
	s.gone = true
	s.mu.Unlock()
	close(s.stop)
	s.server.Close()
	s.fleet.log("sampler %s has crashed", s.id)
	time.AfterFunc(3*heartbeat, func() { s.fleet.store.put("keyed.servers", s.id, nil) })
}

func (s *sampler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		s.report(w)
		return
	case "/api/order":
		s.order(w, body)
		return
	case "/healthz":
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.fleet.arrived(s, id, r)
	if !s.enter(r) {
		s.fleet.log("sampler %s refuses %s: full", s.id, id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.places }()
	s.fleet.began(s, id, r)
	w.Header().Set("X-Server-Stamp", "stamp."+s.id+"."+id)
	if s.model == "" {
		s.answer(w, r, id)
		return
	}
	s.generate(w, r, id)
}

// enter waits for a slot. It returns false if the queue is full or the caller leaves.
func (s *sampler) enter(r *http.Request) bool {
	select {
	case s.places <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.waiting >= s.queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.places <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *sampler) answer(w http.ResponseWriter, r *http.Request, id string) {
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.fleet.broken(s, id)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "answer to %s", id)
	s.fleet.finished(s, id)
}

// eventsOf returns the number of events of a text: its maximum of output tokens.
func eventsOf(r *http.Request) int {
	_, output, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	n, err := strconv.Atoi(output)
	if err != nil {
		return 1
	}
	return n
}

func (s *sampler) generate(w http.ResponseWriter, r *http.Request, id string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	controller := http.NewResponseController(w)
	total := eventsOf(r)
	for n := after + 1; n <= total; n++ {
		select {
		case <-time.After(s.gap):
		case <-r.Context().Done():
			s.fleet.broken(s, id)
			return
		}
		s.mu.Lock()
		changed := s.version != version
		version = s.version
		s.mu.Unlock()
		if changed {
			fmt.Fprintf(w, "x-weight-versions: %d\n", version)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(id, n))
		if controller.Flush() != nil {
			s.fleet.broken(s, id)
			return
		}
	}
	s.fleet.finished(s, id)
}

// eventText is the data of an event, the same at each sampler.
func eventText(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }

func (s *sampler) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{
		"stage": "hybrid", "models": s.models(), "busy": false, "seq": s.accepted, "waiting": s.waiting, "running": len(s.places),
		"kv_used": 0, "kv_total": 51838, "handles": 0,
	})
}

// order carries out an order to load a version at once.
func (s *sampler) order(w http.ResponseWriter, body []byte) {
	var o struct {
		Op, Model, Holder string
		Version, Fence    int64
		Expect            *int64
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch err := json.Unmarshal(body, &o); {
	case err != nil, o.Op != "version", o.Model != s.model, o.Holder == "", o.Fence == 0, !s.fleet.isNamed(o.Version):
		w.WriteHeader(http.StatusBadRequest)
	case o.Fence < s.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case o.Version == s.version:
		w.WriteHeader(http.StatusOK)
	case o.Expect != nil && *o.Expect != s.accepted:
		w.WriteHeader(http.StatusConflict)
	default:
		s.fence, s.version = o.Fence, o.Version
		s.accepted++
		s.fleet.log("order to sampler %s: version %d, holder %s, fence %d", s.id, o.Version, o.Holder, o.Fence)
		w.WriteHeader(http.StatusAccepted)
	}
}
