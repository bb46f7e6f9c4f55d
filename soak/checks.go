package soak

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/platform/hosted"
)

// result is an item's result as a client receives it.
type result struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Output   string  `json:"output"`
	Versions []int64 `json:"versions"`
	Score    string  `json:"score"`
}

// submittedJob is a batch job that the test's client has submitted.
type submittedJob struct {
	id       string
	items    int
	accepted bool
	// refused states that every submission was refused with status 503, which means "not run".
	refused bool
	results []result
}

// observations collects the responses that clients received and the violated guarantees.
type observations struct {
	mu         sync.Mutex // guards the fields below
	jobs       []*submittedJob
	onceStatus map[string]int // status by request id
	violations []string
	counts     map[string]int
	// mustAnswer states that no fault excuses a request without an answer.
	mustAnswer bool
	cut        []cutRequest
}

func newObservations() *observations {
	return &observations{onceStatus: map[string]int{}, counts: map[string]int{}}
}

func (o *observations) addViolation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

func (o *observations) count(event string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[event]++
}

// client sends requests to the instances. It keeps its connections open until the other process ends, unless each request
// must be answered: a kept connection may close as a request is sent.
type client struct {
	http  *http.Client
	fleet *fleet
	obs   *observations
	rng   *rand.Rand
}

// requestTimeout is how long a client waits for a response.
const requestTimeout = 3 * time.Second

func newClient(f *fleet, obs *observations, rng *rand.Rand) *client {
	return &client{fleet: f, obs: obs, rng: rng, http: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: obs.mustAnswer}}}
}

// call sends a request and returns the status and body of the response. The status is 0 if there was
// no complete response.
func (c *client) call(addr, method, path, id string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.GetBody = nil // keeps the transport from repeating a request
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "2000")
	request.Header.Set("X-Wait-Ms", "200")
	response, err := c.http.Do(request)
	if err != nil {
		c.checkAnswered(addr, id, err)
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		c.checkAnswered(addr, id, err)
		return 0, nil
	}
	return response.StatusCode, data
}

// checkAnswered checks that a request got an answer in time. Whether one whose connection was closed without an answer had been
// read is checked at the end.
func (c *client) checkAnswered(addr, id string, err error) {
	var (
		op      *net.OpError
		timeout net.Error
	)
	isTimeout := errors.As(err, &timeout) && timeout.Timeout()
	if isTimeout {
		c.obs.count("no answer in time")
	}
	switch at := time.Now().UTC().Format(time.RFC3339Nano); {
	case !c.obs.mustAnswer || (errors.As(err, &op) && op.Op == "dial"):
	case isTimeout:
		c.obs.addViolation("request %s got no answer from %s until %s: %v", id, addr, at, err)
	default:
		c.obs.mu.Lock()
		defer c.obs.mu.Unlock()
		c.obs.cut = append(c.obs.cut, cutRequest{id: id, addr: addr, at: at, err: err})
	}
}

// cutRequest is a request whose connection was closed without an answer.
type cutRequest struct {
	id, addr, at string
	err          error
}

// checkCuts checks that the requests whose connections were closed without an answer had not been read: an instance logs
// those that it has read.
func (o *observations) checkCuts(f *fleet) {
	for _, cut := range o.cut {
		for _, p := range f.processes {
			if p.addr != cut.addr {
				continue
			}
			lines, err := os.ReadFile(p.log.Name())
			if err != nil {
				o.addViolation("log of %s: %v", p.id, err)
			}
			if bytes.Contains(lines, []byte("request="+cut.id+" ")) {
				o.addViolation("request %s was read by %s and cut at %s: %v", cut.id, p.id, cut.at, cut.err)
			}
		}
	}
}

func (c *client) randomInstance() string {
	return c.fleet.processes[c.rng.IntN(len(c.fleet.processes))].addr
}

// sendPlain sends an idempotent request and checks that the response belongs to it.
func (c *client) sendPlain(n int) {
	path := fmt.Sprintf("/plain/%d", n)
	status, body := c.call(c.randomInstance(), http.MethodPost, path, fmt.Sprintf("p-%d", n), []byte("x"))
	c.obs.count(fmt.Sprintf("plain %d", status))
	if want := "answer to POST at " + path; status == http.StatusOK && string(body) != want {
		c.obs.addViolation("request %s got the response %.60q", path, body)
	}
}

// sendOnce sends a request that must run at most once. checkRun checks how often it ran.
func (c *client) sendOnce(n int) {
	id := fmt.Sprintf("o-%d", n)
	status, _ := c.call(c.randomInstance(), http.MethodPost, fmt.Sprintf("/once/%d", n), id, []byte("x"))
	c.obs.count(fmt.Sprintf("once %d", status))
	c.obs.mu.Lock()
	c.obs.onceStatus[id] = status
	c.obs.mu.Unlock()
}

// hasReward reports whether the item at a position has a reward call. Every other item has one.
func hasReward(position int) bool { return position%2 == 1 }

// rewardID returns the id of the reward call of an item.
func rewardID(item string) string { return "reward-" + item }

// submit submits a job up to four times, until an instance accepts it.
func (c *client) submit(n, items int) *submittedJob {
	s := &submittedJob{id: fmt.Sprintf("job-%d", n), items: items, refused: true}
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int               `json:"tokens"`
		Group   string            `json:"group"`
		Scorer  any               `json:"scorer,omitempty"`
	}
	var list []item
	for i := range items {
		list = append(list, item{
			ID: fmt.Sprintf("%s-%d", s.id, i), Path: fmt.Sprintf("/jobs/x/%d", i),
			Headers: map[string]string{"X-Model": "m"}, Body: []byte("body"), Tokens: 10, Group: fmt.Sprint(i / 2),
		})
		if hasReward(i) {
			list[i].Scorer = map[string]any{"id": rewardID(list[i].ID), "host": host, "path": "/plain/reward", "body": []byte("record")}
		}
	}
	body, err := json.Marshal(map[string]any{"step": n, "model": "m", "min_version": 1, "group_count": items / 2, "items": list})
	if err != nil {
		c.obs.addViolation("encode job: %v", err)
		return s
	}
	for range 4 {
		status, _ := c.call(c.randomInstance(), http.MethodPost, "/jobs/x", s.id, body)
		c.obs.count(fmt.Sprintf("submit %d", status))
		s.accepted = s.accepted || status == http.StatusAccepted
		s.refused = s.refused && status == http.StatusServiceUnavailable
		if s.accepted {
			break
		}
	}
	c.obs.mu.Lock()
	c.obs.jobs = append(c.obs.jobs, s)
	c.obs.mu.Unlock()
	return s
}

// readResults reads a job's results from the first on and checks that those read before have not
// changed.
func (c *client) readResults(s *submittedJob, addr string) {
	status, body := c.call(addr, http.MethodGet, hosted.ResultsPath+s.id+"?after=0", "read", nil)
	if status != http.StatusOK {
		return
	}
	var page resultsPage
	if err := json.Unmarshal(body, &page); err != nil {
		c.obs.addViolation("%s: malformed results: %v", s.id, err)
		return
	}
	c.checkPage(s, 0, page)
}

// resultsPage is a part of a job's results as a client receives it.
type resultsPage struct {
	Total   int      `json:"total"`
	Results []result `json:"results"`
}

// checkPage checks that a page of results from a position on agrees with what was read before, and keeps those that are new.
func (c *client) checkPage(s *submittedJob, position int, page resultsPage) {
	c.obs.mu.Lock()
	old := s.results[min(position, len(s.results)):]
	if len(page.Results) > len(old) && position <= len(s.results) {
		s.results = append(s.results[:position:position], page.Results...)
	}
	c.obs.mu.Unlock()
	if page.Total != s.items {
		c.obs.addViolation("%s: total %d, want %d", s.id, page.Total, s.items)
	}
	for i := range min(len(old), len(page.Results)) {
		if fmt.Sprint(old[i]) != fmt.Sprint(page.Results[i]) {
			c.obs.addViolation("%s: position %d was %v and is %v", s.id, position+i, old[i], page.Results[i])
		}
	}
}

// checkRun checks the guarantees that concern the whole run. The faults must have ended, and the
// results of all accepted jobs must have been read.
func (o *observations) checkRun(f *fleet) {
	runs := map[string]int{}
	for _, e := range f.backends() {
		for _, r := range e.Runs() {
			runs[r.ID]++
		}
	}
	for id, status := range o.onceStatus {
		if runs[id] > 1 {
			o.addViolation("request %s ran %d times", id, runs[id])
		}
		if status == http.StatusServiceUnavailable && runs[id] > 0 {
			o.addViolation("request %s was refused as not run, but it ran", id)
		}
	}
	for _, s := range o.jobs {
		o.checkJob(s, runs)
	}
	o.checkOrders(f)
	o.checkCuts(f)
}

// checkJob checks the results of a job. runs counts the runs of each item and request at the back ends.
func (o *observations) checkJob(s *submittedJob, runs map[string]int) {
	seen := map[string]bool{}
	for _, r := range s.results {
		if seen[r.ID] {
			o.addViolation("%s: item %s is listed at two positions", s.id, r.ID)
		}
		seen[r.ID] = true
		var lines []string
		for n := 1; n <= eventsPerItem; n++ {
			lines = append(lines, fmt.Sprintf("%s/%d", r.ID, n))
		}
		if r.State != "complete" || r.Output != strings.Join(lines, "\n") {
			o.addViolation("%s: item %s is %s with %q", s.id, r.ID, r.State, r.Output)
		}
		o.checkScore(s, r, runs)
		if len(r.Versions) == 0 {
			o.addViolation("%s: the result of item %s has no version", s.id, r.ID)
		}
	}
	if s.accepted && len(s.results) != s.items {
		o.addViolation("%s: %d of %d results listed at the end", s.id, len(s.results), s.items)
	}
	for i := range s.items {
		if id := fmt.Sprintf("%s-%d", s.id, i); s.refused && runs[id]+runs[rewardID(id)] > 0 {
			o.addViolation("%s was refused as not run at every attempt, but its item %s ran", s.id, id)
		}
	}
}

// checkScore checks that a result has the signature of its reward call's answer as score if its item has such a
// call, and none otherwise.
func (o *observations) checkScore(s *submittedJob, r result, runs map[string]int) {
	var position int
	if _, err := fmt.Sscanf(r.ID, s.id+"-%d", &position); err != nil {
		o.addViolation("%s: result of an unknown item %s", s.id, r.ID)
		return
	}
	want := ""
	if hasReward(position) {
		want = "stamp"
	}
	if r.Score != want {
		o.addViolation("%s: item %s has the score %q, want %q", s.id, r.ID, r.Score, want)
	}
	if ran := runs[rewardID(r.ID)] > 0; ran != hasReward(position) {
		o.addViolation("%s: the reward call of item %s ran: %v, want %v", s.id, r.ID, ran, hasReward(position))
	}
}

// checkOrders checks that all orders with the same fencing token came from one instance.
func (o *observations) checkOrders(f *fleet) {
	holders := map[string]string{}
	for _, e := range f.engines {
		for _, order := range e.Orders() {
			parts := strings.Split(order, "/")
			if old, ok := holders[parts[1]]; ok && old != parts[0] {
				o.addViolation("fencing token %s was used by %s and %s", parts[1], old, parts[0])
			}
			holders[parts[1]] = parts[0]
		}
	}
}
