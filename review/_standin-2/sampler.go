package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"net/http"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// lateHeader marks a call to the store that gets no answer in time and is executed late.
const lateHeader = "X-Review-Late"

// storeCallTimeout is how long a sampler waits for the answer to a heartbeat.
const storeCallTimeout = 900 * time.Millisecond

// sampler is a back end that registers itself in the store, as the users' pages say.
type sampler struct {
	*hostedtest.Engine
	run  *run
	addr string
	born int64

	mu    sync.Mutex // guards the fields below
	state string
	seq   int64
	gone  bool
}

// startSampler starts a sampler and its heartbeats. The first one is written before startSampler returns.
func (r *run) startSampler(e *hostedtest.Engine) *sampler {
	return r.startSamplerAt(e, e.Listener.Addr().String())
}

// startSamplerAt is startSampler for a sampler that registers another address, such as that of a link to it.
func (r *run) startSamplerAt(e *hostedtest.Engine, addr string) *sampler {
	s := &sampler{Engine: e, run: r, addr: addr, born: time.Now().UnixMilli(), state: "ready"}
	r.engines = append(r.engines, e)
	s.beat(false)
	go func() {
		for range time.Tick(heartbeat) {
			if s.hasLeft() {
				return
			}
			s.beat(false)
		}
	}()
	return s
}

func (s *sampler) hasLeft() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone
}

// beat writes the sampler's entry with the next sequence number. It returns when the store has accepted it, or has not answered
// in time.
func (s *sampler) beat(late bool) {
	s.mu.Lock()
	s.seq++
	state, seq := s.state, s.seq
	value := s.EntryWith(state, map[string]any{"seq": seq, "born": s.born, "slots": 6, "addr": s.addr})
	s.mu.Unlock()
	accepted := s.write(value, late)
	if state != "ready" || late {
		s.run.notef("%s writes its entry: state %s, seq %d, accepted at once: %t", s.ID, state, seq, accepted)
	}
}

// report changes the sampler's state and writes it. It returns the time at which the store had accepted it.
func (s *sampler) report(state string) time.Time {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.beat(false)
	return time.Now()
}

// remove removes the sampler's entry without a report before. It returns the time at which the store had accepted that.
func (s *sampler) remove() time.Time {
	s.mu.Lock()
	s.gone = true
	s.mu.Unlock()
	s.run.notef("the entry of %s is removed, accepted at once: %t", s.ID, s.write(nil, false))
	return time.Now()
}

// exit removes the sampler's entry and ends it: all its connections break.
func (s *sampler) exit() {
	s.mu.Lock()
	s.gone = true
	s.mu.Unlock()
	s.write(nil, false)
	s.Crash()
	s.run.notef("%s has exited", s.ID)
}

// write appends the sampler's entry to the store. No value removes it.
func (s *sampler) write(value []byte, late bool) (accepted bool) {
	body := binary.BigEndian.AppendUint32(nil, uint32(1+len(s.ID)+len(value)))
	body = append(append(append(body, byte(len(s.ID))), s.ID...), value...)
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.run.store.Addr()+"/api/log-append?topic=keyed.servers&part=0", bytes.NewReader(body))
	if err != nil {
		return false
	}
	if late {
		request.Header.Set(lateHeader, "1")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
