//go:build review

// Package standin holds the stand-ins of the review: the platform's store, samplers, clients and the processes of
// the system. They do what the users' pages say and nothing else, unless a case tells them to be disturbed.
package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the settings of a small deployment state them.
const (
	appendTime  = 4 * time.Millisecond
	recordBytes = 262144
	callBytes   = 2097152
	pageItems   = 500
	pageBytes   = 1 << 20
	maxWait     = 30 * time.Second
)

type storeRecord struct {
	key   string
	value []byte // nil deletes the key
	raw   []byte
}

type storePartition struct {
	appending sync.Mutex // one append at a time
	records   []storeRecord
	bytes     int
}

// Store is a stand-in of the platform's store: topics, conditional appends, reads and the newest record of each key.
type Store struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex // guards the fields below
	parts   map[string]*storePartition
	changed chan struct{}
}

// NewStore starts an empty store at a free port of ip.
func NewStore(ip string) (*Store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: listener, parts: map[string]*storePartition{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.serveAppend)
	mux.HandleFunc("GET /api/log-read", s.serveRead)
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Addr returns the store's address.
func (s *Store) Addr() string { return s.listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a record of the operator, a trainer or a sampler. The return is its acknowledgement.
func (s *Store) Put(topic, key string, value []byte) {
	var b []byte
	b = binary.BigEndian.AppendUint32(b, uint32(1+len(key)+len(value)))
	b = append(b, byte(len(key)))
	b = append(b, key...)
	b = append(b, value...)
	s.append(topic, "0", "", b)
}

func (s *Store) part(topic, part string) *storePartition {
	name := topic + "/" + part
	p := s.parts[name]
	if p == nil {
		p = &storePartition{}
		s.parts[name] = p
	}
	return p
}

// append appends encoded records under the condition asOf, unless that is empty.
func (s *Store) append(topic, part, asOf string, body []byte) (status int, offset, end int) {
	s.mu.Lock()
	p := s.part(topic, part)
	s.mu.Unlock()
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(appendTime + time.Duration(len(body))*time.Second/(20<<20))
	s.mu.Lock()
	defer s.mu.Unlock()
	end = len(p.records)
	if asOf != "" && asOf != strconv.Itoa(end) {
		return http.StatusPreconditionFailed, 0, end
	}
	var added []storeRecord
	for len(body) > 0 {
		if len(body) < 4 {
			return http.StatusBadRequest, 0, end
		}
		size := int(binary.BigEndian.Uint32(body))
		if size > recordBytes || len(body) < 4+size {
			return http.StatusBadRequest, 0, end
		}
		data := body[4 : 4+size]
		body = body[4+size:]
		r := storeRecord{raw: append([]byte{}, data...)}
		if strings.HasPrefix(topic, "keyed.") {
			if size < 1 || size < 1+int(data[0]) {
				return http.StatusBadRequest, 0, end
			}
			r.key = string(r.raw[1 : 1+int(data[0])])
			if size > 1+int(data[0]) {
				r.value = r.raw[1+int(data[0]):]
			}
		}
		added = append(added, r)
	}
	p.records = append(p.records, added...)
	for _, r := range added {
		p.bytes += len(r.raw)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, end, len(p.records)
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, callBytes+(1<<16)+1))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	topic := q.Get("topic")
	switch {
	case topic == "keyed.op" || topic == "keyed.servers":
		w.WriteHeader(http.StatusForbidden)
		return
	case len(body) > callBytes+(1<<16):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	status, offset, end := s.append(topic, q.Get("part"), q.Get("as_of"), body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, end)
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	maxBytes := 1 << 20
	if kb, err := strconv.Atoi(q.Get("max_kb")); err == nil {
		maxBytes = min(kb<<10, maxBytes)
	}
	wait := time.Duration(0)
	if ms, err := strconv.Atoi(q.Get("wait_ms")); err == nil {
		wait = min(time.Duration(ms)*time.Millisecond, maxWait)
	}
	timeout := time.After(wait)
	for waiting := true; waiting; {
		s.mu.Lock()
		end, changed := len(s.part(q.Get("topic"), q.Get("part")).records), s.changed
		s.mu.Unlock()
		if from < end || wait == 0 {
			break
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	body := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for i := from; i >= 0 && i < len(p.records); i++ {
		raw := p.records[i].raw
		if i > from && len(body)+len(raw) > maxBytes {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(raw)))
		body = append(body, raw...)
	}
	s.mu.Unlock()
	_, _ = w.Write(body)
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	q := r.URL.Query()
	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	newest := map[string]int{}
	for i, rec := range p.records {
		newest[rec.key] = i
	}
	keys := []string{}
	for key, i := range newest {
		if p.records[i].value != nil && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size := []item{}, 0
	more := false
	for _, key := range keys {
		value := p.records[newest[key]].value
		if len(items) == pageItems || (len(items) > 0 && size+len(value) > pageBytes) {
			more = true
			break
		}
		size += len(value)
		items = append(items, item{key, base64.StdEncoding.EncodeToString(value), newest[key]})
	}
	end := len(p.records)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": more, "end": end})
}
