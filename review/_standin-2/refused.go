package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

const refusedConfig = `{"version":1,"routes":[
{"name":"tray","host":"review.example","path_prefix":"/tray/","type":"rollout","timeout_ms":10000,"slo_ms":400,"service":"tray-llm","attempts":3,"keep_s":300,"run_slo_ms":7500,"resumable":true},
{"name":"heat","host":"review.example","path_prefix":"/heat/","type":"rollout","timeout_ms":10000,"slo_ms":400,"service":"heat-llm","attempts":3,"keep_s":300,"run_slo_ms":7500,"resumable":true}],
"services":[{"name":"tray-llm","max_conns":130,"engine":{"slots":4,"models":[{"name":"tray-m"}]}},{"name":"heat-llm","max_conns":130,"engine":{"slots":4,"models":[{"name":"heat-m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	// itemBytes is the size of an item's body, below the store's limit for a record.
	itemBytes = 200_000
	// The store leaves writes unanswered for writeLossTime at most, and executes them writeLateness later.
	writeLossTime = 3 * time.Second
	writeLateness = 4500 * time.Millisecond
	// clientAttempts are an attempt and a retry, as the deployment's sheet says.
	clientAttempts = 2
	// submitDelay is how long after the begin of the loss the job is submitted. It is about the time between two heartbeats.
	submitDelay = 400 * time.Millisecond
)

// Numbers of items of the jobs that are open already, and of the job that is judged.
var openJobs = []int{115, 115, 38, 38}

const judgedItems = 11

// playRefused plays the case of a batch job that is refused after an append to the store whose outcome is unknown.
func playRefused(r *run) error {
	r.store.PutConfig([]byte(refusedConfig))
	r.store.SetLateness(writeLateness)
	for n := range 2 {
		slow := hostedtest.NewEngine(fmt.Sprintf("i-tray-%d", n), "tray-llm", "brisbane-a", "tray-m")
		slow.Events, slow.EventInterval = 400, 300*time.Millisecond // the open jobs stay open
		r.startSampler(slow)
		r.startSampler(hostedtest.NewEngine(fmt.Sprintf("i-heat-%d", n), "heat-llm", "brisbane-a", "heat-m"))
	}
	for n := range 3 {
		if _, err := r.startInstance(fmt.Sprintf("edge-%d", n)); err != nil {
			return err
		}
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // until the instances know one another
	// An instance drives its own submissions last, so that these jobs go to edge-0 and edge-1 as far as they have room.
	roomy := r.instances[2]
	for n, items := range openJobs {
		id := fmt.Sprintf("open-%d", n)
		a := roomy.send(http.MethodPost, "/tray/x", id, 12*time.Second, jobBody(id, "/tray/x", "tray-m", n, items, itemBytes))
		r.notef("batch job %s of %d items of %d bytes to %s: %d", id, items, itemBytes, roomy.name, a.status)
		if a.status != http.StatusAccepted {
			return fmt.Errorf("job %s got status %d", id, a.status)
		}
		time.Sleep(time.Second)
	}
	loss := r.loseWrites(roomy)
	if !waitFor(5*time.Second, func() bool { return !r.trouble || loss.begun.Load() }) {
		return fmt.Errorf("%s writes no heartbeat", roomy.name)
	}
	time.Sleep(submitDelay)
	const id = "judged"
	body := jobBody(id, "/heat/x", "heat-m", 0, judgedItems, itemBytes)
	refusals, accepted := 0, false
	for n := range clientAttempts {
		to := r.instances[n]
		a := to.send(http.MethodPost, "/heat/x", id, 12*time.Second, body)
		r.notef("batch job %s to %s, attempt %d: status %d, Retry-After %v", id, to.name, n+1, a.status, a.retryAfter)
		accepted = accepted || a.status == http.StatusAccepted
		if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
			refusals++
		}
		if accepted {
			break
		}
		time.Sleep(a.retryAfter)
	}
	time.Sleep(12 * time.Second)
	r.notef("writes left unanswered: %d of %d in that time", loss.lost.Load(), loss.writes.Load())
	ran := 0
	for _, e := range r.engines {
		for _, item := range e.Runs() {
			if strings.HasPrefix(item.ID, id) {
				ran++
				r.notef("item %s began at %s at %.3f", item.ID, e.ID, item.At.Sub(r.start).Seconds())
			}
		}
	}
	r.notef("attempts refused: %d of %d, accepted: %t, items that ran: %d", refusals, clientAttempts, accepted, ran)
	if accepted && ran == 0 {
		return fmt.Errorf("job %s was accepted and did not run", id)
	}
	if refusals == clientAttempts && ran > 0 {
		r.breakRule("REFUSED: batch job %s was answered 503 at each of %d attempts, and %d of its items ran", id, clientAttempts, ran)
	}
	return nil
}

// jobBody returns a batch job as a trainer submits it, with items of a size in bytes.
func jobBody(id, path, model string, step, items, size int) []byte {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int               `json:"tokens"`
		Group   string            `json:"group"`
	}
	list := make([]item, items)
	for n := range list {
		list[n] = item{
			ID: fmt.Sprintf("%s-%d", id, n), Path: path, Headers: map[string]string{"X-Model": model, "X-Token-Usage": "540,400"},
			Body: make([]byte, size), Tokens: 940, Group: fmt.Sprintf("%s-g%d", id, n/4),
		}
	}
	data, err := json.Marshal(map[string]any{"step": step, "model": model, "min_version": 1, "group_count": items / 4, "items": list})
	if err != nil {
		panic(err) // the types above can be encoded
	}
	return data
}

// writeLoss counts the writes to the store while it loses answers.
type writeLoss struct {
	begun        atomic.Bool
	writes, lost atomic.Int64
}

// loseWrites makes the store leave the heartbeats of an instance and the first write to the index of batch jobs unanswered, for
// writeLossTime from the next heartbeat on.
func (r *run) loseWrites(of *instance) *writeLoss {
	l := &writeLoss{}
	if !r.trouble {
		return l
	}
	var end atomic.Int64
	var indexLost atomic.Bool
	r.store.SetFault(func(call *http.Request) hostedtest.Fault {
		if call.Method != http.MethodPost {
			return hostedtest.None
		}
		topic, from := call.URL.Query().Get("topic"), call.Header.Get(fromHeader)
		isHeartbeat := topic == "keyed.instances" && from == of.name
		if isHeartbeat && l.begun.CompareAndSwap(false, true) {
			end.Store(time.Now().Add(writeLossTime).UnixNano())
			r.notef("the store begins to leave writes unanswered; it executes them %v later", writeLateness)
		}
		if !l.begun.Load() || time.Now().UnixNano() > end.Load() {
			return hostedtest.None
		}
		l.writes.Add(1)
		if isHeartbeat || (topic == "keyed.jobs" && indexLost.CompareAndSwap(false, true)) {
			l.lost.Add(1)
			r.notef("a write of %s to %s is left unanswered", from, topic)
			return hostedtest.Late
		}
		return hostedtest.None
	})
	return l
}
