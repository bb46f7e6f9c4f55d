package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// appendTime is how long a partition takes for an append (append_ms on the sheets).
	appendTime = 4 * time.Millisecond
	// recordBytes and callBytes are the largest record, and the largest total of a call's records (record_bytes, call_bytes).
	recordBytes = 262144
	callBytes   = 2097152
)

// storeMode is what a door of the store does with calls.
type storeMode int

const (
	storeServes storeMode = iota
	storeBusy             // 503
	storeSilent           // no answer, and none to what is under way
)

type storeRecord struct {
	key   string
	value []byte // nil deletes the key
}

type storePartition struct {
	writing sync.Mutex // one append at a time
	records []storeRecord
	newest  map[string]int // offset by key, of keys with a value
}

// store is a stand-in of the platform's metadata store with the calls that the system makes. It keeps its whole history.
type store struct {
	mu         sync.Mutex
	partitions map[string]*storePartition
	changed    chan struct{}
}

func newStore() *store {
	return &store{partitions: map[string]*storePartition{}, changed: make(chan struct{})}
}

func (s *store) partition(topic, part string) *storePartition {
	name := topic + "/" + part
	p := s.partitions[name]
	if p == nil {
		p = &storePartition{newest: map[string]int{}}
		s.partitions[name] = p
	}
	return p
}

// add appends records under the condition that the partition ends at asOf, unless that is negative.
func (s *store) add(topic, part string, records []storeRecord, asOf int) (offset, end int, ok bool) {
	s.mu.Lock()
	p := s.partition(topic, part)
	s.mu.Unlock()
	p.writing.Lock()
	defer p.writing.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = len(p.records)
	if asOf >= 0 && asOf != offset {
		return 0, offset, false
	}
	for _, r := range records {
		if r.value == nil {
			delete(p.newest, r.key)
		} else {
			p.newest[r.key] = len(p.records)
		}
		p.records = append(p.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, len(p.records), true
}

// put writes a record in the place of the operator or a sampler. The return is the acknowledgement.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.add(topic, "0", []storeRecord{{key, data}}, -1)
}

// storeDoor is an address of the store for one caller.
type storeDoor struct {
	store    *store
	addr     string
	listener net.Listener
	server   *http.Server
	tooLarge atomic.Int64 // calls with a record, or records, over the limits

	mu     sync.Mutex
	mode   storeMode
	silent context.Context // ends when the silence does
	wake   context.CancelFunc
}

func (s *store) open() *storeDoor {
	listener := mustListen()
	d := &storeDoor{store: s, addr: listener.Addr().String(), listener: listener}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(listener)
	return d
}

func (d *storeDoor) set(mode storeMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wake != nil {
		d.wake()
		d.wake = nil
	}
	if d.mode = mode; mode == storeSilent {
		d.silent, d.wake = context.WithCancel(context.Background())
	}
}

// admit waits while the door is silent. It returns false if the call gets no answer or has got one.
func (d *storeDoor) admit(w http.ResponseWriter, r *http.Request) bool {
	d.mu.Lock()
	mode, silent := d.mode, d.silent
	d.mu.Unlock()
	switch mode {
	case storeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	case storeSilent:
		select {
		case <-silent.Done():
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	return true
}

func (d *storeDoor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !d.admit(w, r) {
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/log-append":
		d.append(w, q.Get("topic"), q.Get("part"), q.Get("as_of"), body)
	case "/api/log-read":
		d.read(w, r, q.Get("topic"), q.Get("part"))
	case "/api/log-newest":
		d.newest(w, q.Get("topic"), q.Get("part"), q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (d *storeDoor) append(w http.ResponseWriter, topic, part, asOf string, body []byte) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records []storeRecord
	tooLarge := len(body) > callBytes
	for len(body) > 0 {
		size := int(binary.BigEndian.Uint32(body))
		tooLarge = tooLarge || size > recordBytes
		data := body[4 : 4+size]
		body = body[4+size:]
		keyEnd := 1 + int(data[0])
		r := storeRecord{key: string(data[1:keyEnd])}
		if len(data) > keyEnd {
			r.value = data[keyEnd:]
		}
		records = append(records, r)
	}
	if tooLarge {
		d.tooLarge.Add(1)
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	expected := -1
	if asOf != "" {
		expected, _ = strconv.Atoi(asOf)
	}
	offset, end, ok := d.store.add(topic, part, records, expected)
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		json.NewEncoder(w).Encode(map[string]any{"end": end})
		return
	}
	json.NewEncoder(w).Encode(map[string]any{"offset": offset, "end": end})
}

func (d *storeDoor) read(w http.ResponseWriter, r *http.Request, topic, part string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for waiting := true; waiting; {
		d.store.mu.Lock()
		end, changed := len(d.store.partition(topic, part).records), d.store.changed
		d.store.mu.Unlock()
		if from < end || waitMs == 0 {
			break
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	if !d.admit(w, r) { // the silence may have begun meanwhile
		return
	}
	d.store.mu.Lock()
	p := d.store.partition(topic, part)
	out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for n, record := range p.records[min(from, len(p.records)):] {
		if n > 0 && len(out)+len(record.value) > maxKB<<10 {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(record.key)+len(record.value)))
		out = append(out, byte(len(record.key)))
		out = append(out, record.key...)
		out = append(out, record.value...)
	}
	d.store.mu.Unlock()
	w.Write(out)
}

func (d *storeDoor) newest(w http.ResponseWriter, topic, part, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	const most, mostBytes = 500, 1 << 20
	d.store.mu.Lock()
	p := d.store.partition(topic, part)
	items := []item{}
	for key, offset := range p.newest {
		if strings.Compare(key, after) > 0 {
			items = append(items, item{key, p.records[offset].value, offset})
		}
	}
	end := len(p.records)
	d.store.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	n, size := 0, 0
	for n < len(items) && n < most && (n == 0 || size+len(items[n].Value) <= mostBytes) {
		size += len(items[n].Value)
		n++
	}
	json.NewEncoder(w).Encode(map[string]any{"items": items[:n], "has_more": n < len(items), "end": end})
}

func mustListen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return listener
}
