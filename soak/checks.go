package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/platform/hosted"
)

// result is a listed result as a client sees it.
type result struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Output   string  `json:"output"`
	Versions []int64 `json:"versions"`
}

// submitted is a batch job of the soak's client.
type submitted struct {
	id       string
	items    int
	accepted bool
	// refused states that every attempt was answered "not run".
	refused bool
	results []result
}

// observations collect what the clients have seen, and the promises that were broken.
type observations struct {
	mu      sync.Mutex // guards the fields below
	jobs    []*submitted
	once    map[string]int // status by request id
	broken  []string
	counted map[string]int
}

func newObservations() *observations {
	return &observations{once: map[string]int{}, counted: map[string]int{}}
}

func (o *observations) breakPromise(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.broken = append(o.broken, fmt.Sprintf(format, args...))
}

func (o *observations) count(what string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counted[what]++
}

// client keeps its connections open until the other process has gone.
type client struct {
	http  *http.Client
	fleet *fleet
	seen  *observations
	rng   *rand.Rand
}

// requestTimeout is how long a client waits for an answer.
const requestTimeout = 3 * time.Second

func newClient(f *fleet, seen *observations, rng *rand.Rand) *client {
	return &client{fleet: f, seen: seen, rng: rng, http: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{}}}
}

// call sends a request; status 0 stands for no answer.
func (c *client) call(addr, method, path, id string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.GetBody = nil // the transport must not repeat a request on its own
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "2000")
	request.Header.Set("X-Wait-Ms", "200")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

func (c *client) anyInstance() string {
	return c.fleet.processes[c.rng.IntN(len(c.fleet.processes))].addr
}

// plain sends an ordinary request and checks that its answer is its own.
func (c *client) plain(n int) {
	path := fmt.Sprintf("/plain/%d", n)
	status, body := c.call(c.anyInstance(), http.MethodPost, path, fmt.Sprintf("p-%d", n), []byte("x"))
	c.seen.count(fmt.Sprintf("plain %d", status))
	if want := "answer to POST at " + path; status == http.StatusOK && string(body) != want {
		c.seen.breakPromise("request %s got the answer %.60q", path, body)
	}
}

// atMostOnce sends a request that may run once; the run count is checked at the end.
func (c *client) atMostOnce(n int) {
	id := fmt.Sprintf("o-%d", n)
	status, _ := c.call(c.anyInstance(), http.MethodPost, fmt.Sprintf("/once/%d", n), id, []byte("x"))
	c.seen.count(fmt.Sprintf("once %d", status))
	c.seen.mu.Lock()
	c.seen.once[id] = status
	c.seen.mu.Unlock()
}

// submit submits a job until an instance accepts it, a few times.
func (c *client) submit(n, items int) *submitted {
	s := &submitted{id: fmt.Sprintf("job-%d", n), items: items, refused: true}
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int               `json:"tokens"`
		Group   string            `json:"group"`
	}
	var list []item
	for i := range items {
		list = append(list, item{
			ID: fmt.Sprintf("%s-%d", s.id, i), Path: fmt.Sprintf("/jobs/x/%d", i),
			Headers: map[string]string{"X-Model": "m"}, Body: []byte("body"), Tokens: 10, Group: fmt.Sprint(i / 2),
		})
	}
	body, err := json.Marshal(map[string]any{"step": n, "model": "m", "min_version": 1, "group_count": items / 2, "items": list})
	if err != nil {
		c.seen.breakPromise("job not encoded: %v", err)
		return s
	}
	for range 4 {
		status, _ := c.call(c.anyInstance(), http.MethodPost, "/jobs/x", s.id, body)
		c.seen.count(fmt.Sprintf("submit %d", status))
		s.accepted = s.accepted || status == http.StatusAccepted
		s.refused = s.refused && status == http.StatusServiceUnavailable
		if s.accepted {
			break
		}
	}
	c.seen.mu.Lock()
	c.seen.jobs = append(c.seen.jobs, s)
	c.seen.mu.Unlock()
	return s
}

// read reads a job's results from the start and checks them against what was read before.
func (c *client) read(s *submitted, addr string) {
	status, body := c.call(addr, http.MethodGet, hosted.ResultsPath+s.id+"?after=0", "read", nil)
	if status != http.StatusOK {
		return
	}
	var page struct {
		Total   int      `json:"total"`
		Results []result `json:"results"`
	}
	if err := json.Unmarshal(body, &page); err != nil {
		c.seen.breakPromise("%s: results not readable: %v", s.id, err)
		return
	}
	c.seen.mu.Lock()
	old := s.results
	if len(page.Results) > len(s.results) {
		s.results = page.Results
	}
	c.seen.mu.Unlock()
	if page.Total != s.items {
		c.seen.breakPromise("%s: total %d, want %d", s.id, page.Total, s.items)
	}
	for i := range min(len(old), len(page.Results)) {
		if fmt.Sprint(old[i]) != fmt.Sprint(page.Results[i]) {
			c.seen.breakPromise("%s: position %d was %v and is %v", s.id, i, old[i], page.Results[i])
		}
	}
}

// checkEnd checks the whole run after the faults have ended and every accepted job is listed.
func (o *observations) checkEnd(f *fleet) {
	runs := map[string]int{}
	for _, e := range f.backends() {
		for _, r := range e.Runs() {
			runs[r.ID]++
		}
	}
	for id, status := range o.once {
		if runs[id] > 1 {
			o.breakPromise("request %s ran %d times", id, runs[id])
		}
		if status == http.StatusServiceUnavailable && runs[id] > 0 {
			o.breakPromise("request %s was refused as not run and ran", id)
		}
	}
	for _, s := range o.jobs {
		o.checkJob(s, runs)
	}
	o.checkOrders(f)
}

func (o *observations) checkJob(s *submitted, runs map[string]int) {
	seen := map[string]bool{}
	for _, r := range s.results {
		if seen[r.ID] {
			o.breakPromise("%s: item %s stands at two positions", s.id, r.ID)
		}
		seen[r.ID] = true
		var lines []string
		for n := 1; n <= eventsPerItem; n++ {
			lines = append(lines, fmt.Sprintf("%s/%d", r.ID, n))
		}
		if r.State != "complete" || r.Output != strings.Join(lines, "\n") {
			o.breakPromise("%s: item %s is %s with %q", s.id, r.ID, r.State, r.Output)
		}
		if len(r.Versions) == 0 {
			o.breakPromise("%s: item %s names no version", s.id, r.ID)
		}
	}
	if s.accepted && len(s.results) != s.items {
		o.breakPromise("%s: %d of %d results listed at the end", s.id, len(s.results), s.items)
	}
	for i := range s.items {
		if id := fmt.Sprintf("%s-%d", s.id, i); s.refused && runs[id] > 0 {
			o.breakPromise("%s was refused at every attempt and its item %s ran", s.id, id)
		}
	}
}

// checkOrders checks that the orders of each fencing token came from one instance.
func (o *observations) checkOrders(f *fleet) {
	holders := map[string]string{}
	for _, e := range f.engines {
		for _, order := range e.Orders() {
			parts := strings.Split(order, "/")
			if old, ok := holders[parts[1]]; ok && old != parts[0] {
				o.breakPromise("fencing token %s was used by %s and %s", parts[1], old, parts[0])
			}
			holders[parts[1]] = parts[0]
		}
	}
}
