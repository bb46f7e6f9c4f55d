package trainer_test

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/standin"
	"github.com/cicadasill/cicadasill/standin/trainer"
)

// entry is a fake instance that delivers one sample per take and injects faults.
type entry struct {
	mu            sync.Mutex
	groups        []map[string]any
	takes         int
	corrupt       func(s map[string]any)
	redeliver     bool // the next take also delivers samples that the trainer has
	claimComplete bool // every take reports the step as complete
	dropAnswer    func(take int) bool
	version       int64
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case r.Method == http.MethodPut:
		var body struct {
			Groups []map[string]any `json:"groups"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		e.groups = body.Groups
	case strings.HasSuffix(r.URL.Path, "/take"):
		e.take(w, r)
		return
	case strings.HasSuffix(r.URL.Path, "/versions"):
		http.Error(w, `{"error":{"code":"log_unavailable"}}`, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("{}"))
}

func (e *entry) take(w http.ResponseWriter, r *http.Request) {
	e.takes++
	if e.dropAnswer != nil && e.dropAnswer(e.takes) {
		panic(http.ErrAbortHandler)
	}
	var body struct {
		Have string `json:"have"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	have, _ := base64.StdEncoding.DecodeString(body.Have)
	out, left := []map[string]any{}, 0
	for p, g := range e.groups { // one sample for each group
		if have[p/8]&(1<<(p%8)) != 0 && !e.redeliver {
			continue
		}
		if len(out) > 0 || e.claimComplete {
			left++
			continue
		}
		out = append(out, e.sample(p, g))
	}
	e.redeliver = false
	_ = json.NewEncoder(w).Encode(map[string]any{"samples": out, "complete": left == 0 || e.claimComplete, "remaining": left})
}

func (e *entry) sample(p int, g map[string]any) map[string]any {
	n := int(g["max_tokens"].(float64))
	tokens := make([]int64, n)
	for i := range tokens {
		tokens[i] = standin.Token(g["prompt"].(string), int64(g["seed"].(float64)), i, e.version)
	}
	s := map[string]any{
		"id":       map[string]any{"service": "s", "trainer": "t", "step": 1, "group": g["id"], "index": 0},
		"position": p, "tokens": tokens, "prompt_version": e.version,
		"ranges": []map[string]any{{"version": e.version, "from": 0, "to": n}},
	}
	if e.corrupt != nil {
		e.corrupt(s)
	}
	return s
}

// run trains one step against e and returns the ledger. With crash set, the trainer crashes after
// three samples.
func run(t *testing.T, e *entry, crash bool) trainer.Ledger {
	t.Helper()
	if e.version == 0 {
		e.version = 5
	}
	srv := httptest.NewServer(e)
	defer srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var tr *trainer.Trainer
	crashed := false
	tr = trainer.New(trainer.Options{
		Name: "t", Service: "s", Groups: 6, Samples: 1, MaxTokens: 4, TrainingTime: time.Hour, MaxVersionLag: 1, StartVersion: 5, Seed: 1,
		Pick: func(*rand.Rand, map[string]bool) string {
			if l := tr.Ledger(); l.Delivered == 6 && !crashed && !crash || l.Missing > 0 || l.Delivered > 6 {
				time.AfterFunc(50*time.Millisecond, cancel) // the step is complete: end the training
			} else if crash && !crashed && l.Delivered == 3 {
				crashed = tr.Crash(time.Millisecond)
			} else if crash && crashed && l.Delivered >= 6+1 {
				time.AfterFunc(50*time.Millisecond, cancel)
			}
			return srv.Listener.Addr().String()
		},
	})
	tr.Run(ctx)
	return tr.Ledger()
}

// Guards against a trainer that does not count duplicate, missing, outdated and misattributed samples.
func TestLedgerDetectsFaultyDeliveries(t *testing.T) {
	is := is.New(t)
	l := run(t, &entry{}, false)
	is.Equal(l.Delivered, int64(6))
	is.Equal(l.Duplicate+l.Missing+l.OverAge+l.Misattributed, int64(0))
	l = run(t, &entry{dropAnswer: func(n int) bool { return n == 3 }}, false)
	is.Equal(l.Delivered, int64(6))
	is.Equal(l.Duplicate, int64(0))
	is.Equal(l.Failures["no_answer"], int64(1))
	twice := &entry{}
	twice.dropAnswer = func(n int) bool { twice.redeliver = n == 3; return false }
	is.Equal(run(t, twice, false).Duplicate, int64(1))
	is.Equal(run(t, &entry{claimComplete: true}, false).Missing, int64(6))
	is.Equal(run(t, &entry{version: 3}, false).OverAge, int64(6))
	wrong := &entry{corrupt: func(s map[string]any) { s["ranges"].([]map[string]any)[0]["version"] = 4 }}
	is.Equal(run(t, wrong, false).Misattributed, int64(6))
}

// Guards against a trainer that, after a crash, counts samples delivered again as duplicates.
func TestCrashRestoresTheCheckpoint(t *testing.T) {
	is := is.New(t)
	l := run(t, &entry{}, true)
	is.Equal(l.Deaths, int64(1))
	is.Equal(l.Duplicate+l.Missing, int64(0))
	is.Equal(l.Delivered, int64(7)) // the third sample came after the last checkpoint and is delivered again
}

// Guards against a floor that is shorter or longer than the engines' best time.
func TestFloor(t *testing.T) {
	is := is.New(t)
	c := trainer.Capacity{Engines: 2, MaxBatch: 2, Rate: func(n int) float64 { return 100 / float64(n) }}
	is.Equal(c.Floor([]int{100, 100}), time.Second)                  // one on each
	is.Equal(c.Floor([]int{100, 100, 100, 100}), 2*time.Second)      // two on each, at half the rate
	is.Equal(c.Floor([]int{300, 100}), 3*time.Second)                // the long one decides
	is.Equal(c.Floor([]int{100, 100, 100, 100, 100}).Seconds(), 3.0) // three share one engine
	c.Share = 0.5
	is.Equal(c.Floor([]int{100, 100}), 2*time.Second)
}
