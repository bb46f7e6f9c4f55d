package soak

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/platform/hosted"
)

// resultText is a result of an item as an instance sends it.
func resultText(item, output string) string {
	return fmt.Sprintf(`{"id":%q,"state":"complete","output":%q,"versions":[1]}`, item, output)
}

// Guards against lost results that the run after the loss of all instances does not notice.
func TestReadsAfterALossAreChecked(t *testing.T) {
	const ok, missing, unavailable = http.StatusOK, http.StatusNotFound, http.StatusServiceUnavailable
	a, b := resultText("a", "x"), resultText("b", "y")
	type answer struct {
		status     int
		retryAfter string
		results    string
	}
	whole := answer{ok, "", a + "," + b}
	for name, test := range map[string]struct {
		answers    []answer
		violations int
	}{
		"whole":                  {[]answer{whole}, 0},
		"two pages":              {[]answer{{ok, "", a}, {ok, "", b}}, 0},
		"refused at first":       {[]answer{{unavailable, "0.010", ""}, whole}, 0},
		"refused without a time": {[]answer{{unavailable, "", ""}, whole}, 1},
		"lost results":           {[]answer{{ok, "", ""}}, 1},
		"lost result":            {[]answer{{ok, "", a}, {ok, "", ""}}, 1},
		"another result":         {[]answer{{ok, "", a + "," + resultText("b", "z")}}, 1},
		"another order":          {[]answer{{ok, "", b + "," + a}}, 2},
		"unknown at first":       {[]answer{{missing, "", ""}, whole}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				answer := test.answers[min(int(calls.Add(1)), len(test.answers))-1]
				if answer.retryAfter != "" {
					w.Header().Set(hosted.HeaderRetryAfter, answer.retryAfter)
				}
				w.WriteHeader(answer.status)
				_, _ = io.WriteString(w, `{"total":2,"results":[`+answer.results+`]}`)
			}))
			defer server.Close()
			obs := newObservations()
			job := &submittedJob{id: "job", items: 2, accepted: true, results: []result{
				{ID: "a", State: "complete", Output: "x", Versions: []int64{1}}, {ID: "b", State: "complete", Output: "y", Versions: []int64{1}},
			}}
			c := newClient(nil, obs, nil)
			is.True(c.awaitRead(job, &process{id: "instance", addr: server.Listener.Addr().String()}, time.Now()))
			t.Log(obs.violations)
			is.Equal(len(obs.violations), test.violations)
			is.Equal(len(job.results), 2)
		})
	}
}
