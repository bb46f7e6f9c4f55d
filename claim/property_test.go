package claim_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/cicadasill/cicadasill/claim"
)

// result is what the caller of an attempt was told, combined with how it ended its ticket.
type result string

// enforcedKey is the key of a call whose back end runs a key once and repeats its answer.
const enforcedKey = 2

const (
	ran          result = "ran"     // dispatched and answered
	dispatched   result = "unknown" // dispatched without an answer: the ticket ended by MarkUnknown or by a crash
	replayed     result = "replayed"
	notRun       result = "not_run"
	inconclusive result = "inconclusive" // the caller learned nothing about the key
)

type input struct{ key int }

type output struct {
	result result
	answer string
}

// onceModel models a key that runs at most once: not_run is correct only while the key has not
// run, and a replay returns the answer of the run.
var onceModel = porcupine.Model{
	Init: func() any { return output{result: notRun} },
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, op := range h {
			byKey[op.Input.(input).key] = append(byKey[op.Input.(input).key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Step: func(state, _, out any) (bool, any) {
		s, o := state.(output), out.(output)
		switch o.result {
		case ran, dispatched:
			return s.result == notRun, o
		case replayed:
			return s.result != notRun && s.answer == o.answer, s
		case notRun:
			return s.result == notRun, s
		}
		return true, s
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprint(in, out) },
}

// attempt is one Begin of a scenario.
type attempt struct {
	instance int
	timeout  time.Duration
	ending   int // 0: MarkUnknown, 1 and 2: Release, 3: crash after dispatch, 4: Finish
}

// scenario is the randomly drawn input of one check.
type scenario struct {
	clients      [][]attempt // the sequential attempts of each caller
	keys         []int       // the key of each client
	soleClient   []bool      // whether the client is the only one of its key, so that it may state attempt 1
	faults       []int
	maxKeptBytes int64
}

func drawScenario(t *rapid.T) scenario {
	var s scenario
	clientsOfKey := map[int]int{}
	for range rapid.IntRange(1, 6).Draw(t, "clients") {
		k := rapid.IntRange(0, 2).Draw(t, "key")
		clientsOfKey[k]++
		s.keys = append(s.keys, k)
		var as []attempt
		for range rapid.IntRange(1, 4).Draw(t, "attempts") {
			as = append(as, attempt{
				instance: rapid.IntRange(0, 2).Draw(t, "instance"),
				timeout:  time.Duration(rapid.IntRange(1, 120).Draw(t, "timeout ms")) * time.Millisecond,
				ending:   rapid.IntRange(0, 4).Draw(t, "end"),
			})
		}
		s.clients = append(s.clients, as)
	}
	for _, k := range s.keys {
		s.soleClient = append(s.soleClient, clientsOfKey[k] == 1)
	}
	s.faults = rapid.SliceOfN(rapid.IntRange(0, 9), 0, 8).Draw(t, "faults")
	s.maxKeptBytes = rapid.SampledFrom([]int64{5, 1 << 20}).Draw(t, "kept bytes")
	return s
}

// harness runs the clients of a scenario and records their operations.
type harness struct {
	c         *cluster
	mu        sync.Mutex
	instances []*instance
	ops       []porcupine.Operation
	start     time.Time
	answers   map[string]string // the newest answer of the back end, by key ID
}

// dispatch runs a request at the back end.
func (h *harness) dispatch(k claim.Key, terms claim.Terms, name string) output {
	h.mu.Lock()
	defer h.mu.Unlock()
	if previous := h.answers[k.ID]; previous != "" && terms.AskByKey {
		return output{replayed, previous}
	}
	h.answers[k.ID] = name
	return output{ran, name}
}

func (h *harness) instance(i int) *instance {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.instances[i]
}

// restart kills an instance and starts a new incarnation of it.
func (h *harness) restart(i int) {
	h.instance(i).kill()
	restarted := h.c.start(fmt.Sprint("i", i))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.instances[i] = restarted
}

func (h *harness) injectFault(kind int) {
	l := h.c.log
	switch kind {
	case 0, 1, 2:
		h.restart(kind)
	case 3:
		l.withLock(func() { l.outage = true })
	case 4:
		l.withLock(func() { l.lossProb = 0.5 })
	case 5:
		l.withLock(func() { l.delayProb = 0.5 })
	case 6:
		l.withLock(func() { l.latency, l.rateLimitProb = 3*time.Millisecond, 0.3 })
	case 7:
		h.c.net.Cut(func(a, _ string) bool { return a == "i0" })
	default:
		h.c.net.Heal()
		l.withLock(func() { l.outage, l.lossProb, l.delayProb, l.rateLimitProb = false, 0, 0, 0 })
	}
}

// runClient makes the attempts of one caller and records what it was told.
func (h *harness) runClient(id int, s scenario) {
	for n, a := range s.clients[id] {
		terms := claim.Terms{Attempt: n + 1}
		if !s.soleClient[id] {
			terms.Attempt = 0
		}
		terms.AskByKey = s.keys[id] == enforcedKey
		k := claim.Key{Service: "s", Call: "c", ID: fmt.Sprint(s.keys[id])}
		call := time.Since(h.start)
		out := h.makeAttempt(h.instance(a.instance), k, terms, a, fmt.Sprint(id, "/", n))
		h.mu.Lock()
		h.ops = append(h.ops, porcupine.Operation{ClientId: id, Input: input{s.keys[id]}, Output: out,
			Call: int64(call), Return: int64(time.Since(h.start))})
		h.mu.Unlock()
	}
}

func (h *harness) makeAttempt(i *instance, k claim.Key, terms claim.Terms, a attempt, name string) output {
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
	defer cancel()
	d, err := i.Begin(ctx, k, body, terms)
	var ce *claim.Error
	switch {
	case errors.As(err, &ce) && ce.Outcome == claim.NotRun:
		return output{result: notRun}
	case err != nil:
		return output{result: inconclusive}
	case d.Kind == claim.Replay:
		return output{replayed, string(d.Answer.Body)}
	}
	if a.ending == 1 || a.ending == 2 {
		outcome := d.Ticket.ReleaseOutcome()
		d.Ticket.Release()
		if outcome == claim.NotRun {
			return output{result: notRun}
		}
		return output{result: inconclusive}
	}
	out := h.dispatch(k, terms, name)
	switch a.ending {
	case 0:
		d.Ticket.MarkUnknown()
	case 3:
		h.restart(a.instance) // crashes after the request was dispatched
	default:
		d.Ticket.Finish(claim.Answer{Status: 200, Body: []byte(out.answer)})
		return out
	}
	if out.result == ran {
		out.result = dispatched
	}
	return out
}

// Guards against a second run of a key and against a false not_run, under any mixture of lost,
// delayed and refused appends, outages, crashes, cut links, dropped answers, cancelled callers
// and concurrent attempts.
func TestAtMostOnceUnderFaults(t *testing.T) {
	if err := flag.Set("rapid.seed", fmt.Sprint(seed)); err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d", seed)
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		opts := claim.Options{ClaimTimeout: 60 * time.Millisecond, OutageAfter: 20 * time.Millisecond, LogTimeout: 50 * time.Millisecond,
			MaxKeptBytes: s.maxKeptBytes}
		c, all := newCluster(t, seed, 3, opts)
		h := &harness{c: c, instances: all, start: time.Now(), answers: map[string]string{}}
		var wg sync.WaitGroup
		for id := range s.clients {
			wg.Go(func() { h.runClient(id, s) })
		}
		wg.Go(func() {
			for _, f := range s.faults {
				h.injectFault(f)
				time.Sleep(10 * time.Millisecond)
			}
		})
		wg.Wait()
		for _, i := range h.instances {
			i.kill()
		}
		c.log.delayedAppends.Wait()
		if !porcupine.CheckOperations(onceModel, h.ops) {
			for _, op := range h.ops {
				t.Logf("client %d %v [%d, %d]", op.ClientId, onceModel.DescribeOperation(op.Input, op.Output), op.Call, op.Return)
			}
			rt.Fatalf("seed %d: a key ran twice or a not_run was false", seed)
		}
	})
}
