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

// result is what an attempt's caller was told, together with what it did with a ticket.
type result string

// askKey is the key of a call whose back end runs a key once and repeats its answer.
const askKey = 2

const (
	ran        result = "ran"     // dispatched, answered
	dispatched result = "unknown" // dispatched, no answer: ticket ended by Unknown or by death
	replayed   result = "replayed"
	notRun     result = "not_run"
	noIdea     result = "no idea"
)

type input struct{ key int }

type output struct {
	result result
	answer string
}

// onceModel is a key that runs at most once: not_run is true only while it has not run, and a
// replay gives the answer of the run.
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

// attempt is one Begin of a script.
type attempt struct {
	at      int // instance
	timeout time.Duration
	end     int
}

type script struct {
	clients [][]attempt // sequential attempts of one caller
	keys    []int       // the key of each client
	honest  []bool      // the only client of its key, so it may state attempt 1
	faults  []int
	kept    int64 // bytes of kept answers
}

func drawScript(t *rapid.T) script {
	var s script
	users := map[int]int{}
	for range rapid.IntRange(1, 6).Draw(t, "clients") {
		k := rapid.IntRange(0, 2).Draw(t, "key")
		users[k]++
		s.keys = append(s.keys, k)
		var as []attempt
		for range rapid.IntRange(1, 4).Draw(t, "attempts") {
			as = append(as, attempt{
				at:      rapid.IntRange(0, 2).Draw(t, "instance"),
				timeout: time.Duration(rapid.IntRange(1, 120).Draw(t, "timeout ms")) * time.Millisecond,
				end:     rapid.IntRange(0, 4).Draw(t, "end"),
			})
		}
		s.clients = append(s.clients, as)
	}
	for _, k := range s.keys {
		s.honest = append(s.honest, users[k] == 1)
	}
	s.faults = rapid.SliceOfN(rapid.IntRange(0, 9), 0, 8).Draw(t, "faults")
	s.kept = rapid.SampledFrom([]int64{5, 1 << 20}).Draw(t, "kept bytes")
	return s
}

type world struct {
	c     *cluster
	mu    sync.Mutex
	all   []*instance
	ops   []porcupine.Operation
	start time.Time
	store map[string]string // the answers of back ends that run a key once
}

// dispatch runs a request at the back end.
func (w *world) dispatch(k claim.Key, terms claim.Terms, name string) output {
	w.mu.Lock()
	defer w.mu.Unlock()
	if kept := w.store[k.ID]; kept != "" && terms.AskByKey {
		return output{replayed, kept}
	}
	w.store[k.ID] = name
	return output{ran, name}
}

func (w *world) instance(i int) *instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.all[i]
}

// replace kills an instance and starts a new run of it.
func (w *world) replace(i int) {
	w.instance(i).kill()
	fresh := w.c.start(fmt.Sprint("i", i))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all[i] = fresh
}

func (w *world) fault(kind int) {
	l := w.c.log
	switch kind {
	case 0, 1, 2:
		w.replace(kind)
	case 3:
		l.set(func() { l.outage = true })
	case 4:
		l.set(func() { l.lost = 0.5 })
	case 5:
		l.set(func() { l.late = 0.5 })
	case 6:
		l.set(func() { l.latency, l.limited = 3*time.Millisecond, 0.3 })
	case 7:
		w.c.net.Cut(func(a, _ string) bool { return a == "i0" })
	default:
		w.c.net.Heal()
		l.set(func() { l.outage, l.lost, l.late, l.limited = false, 0, 0, 0 })
	}
}

// client makes the attempts of one caller and records what it was told.
func (w *world) client(id int, s script) {
	for n, a := range s.clients[id] {
		terms := claim.Terms{Attempt: n + 1}
		if !s.honest[id] {
			terms.Attempt = 0
		}
		terms.AskByKey = s.keys[id] == askKey
		k := claim.Key{Service: "s", Call: "c", ID: fmt.Sprint(s.keys[id])}
		call := time.Since(w.start)
		out := w.attempt(w.instance(a.at), k, terms, a, fmt.Sprint(id, "/", n))
		w.mu.Lock()
		w.ops = append(w.ops, porcupine.Operation{ClientId: id, Input: input{s.keys[id]}, Output: out,
			Call: int64(call), Return: int64(time.Since(w.start))})
		w.mu.Unlock()
	}
}

func (w *world) attempt(i *instance, k claim.Key, terms claim.Terms, a attempt, name string) output {
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
	defer cancel()
	d, err := i.Begin(ctx, k, body, terms)
	var ce *claim.Error
	switch {
	case errors.As(err, &ce) && ce.Outcome == claim.NotRun:
		return output{result: notRun}
	case err != nil:
		return output{result: noIdea}
	case d.Kind == claim.Replay:
		return output{replayed, string(d.Answer.Body)}
	}
	if a.end == 1 || a.end == 2 {
		outcome := d.Ticket.ReleaseOutcome()
		d.Ticket.Release()
		if outcome == claim.NotRun {
			return output{result: notRun}
		}
		return output{result: noIdea}
	}
	out := w.dispatch(k, terms, name)
	switch a.end {
	case 0:
		d.Ticket.Unknown()
	case 3:
		w.replace(a.at) // dies with the request dispatched
	default:
		d.Ticket.Finish(claim.Answer{Status: 200, Body: []byte(out.answer)})
		return out
	}
	if out.result == ran {
		out.result = dispatched
	}
	return out
}

// Guards against a second run of a key and an untrue not_run under any mixture of lost, late and
// refused appends, outages, deaths, cut links, dropped answers, cancelled callers and concurrent
// attempts.
func TestAtMostOnceUnderFaults(t *testing.T) {
	if err := flag.Set("rapid.seed", fmt.Sprint(seed)); err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d", seed)
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScript(rt)
		opts := claim.Options{ClaimTimeout: 60 * time.Millisecond, OutageAfter: 20 * time.Millisecond, LogTimeout: 50 * time.Millisecond,
			MaxKeptBytes: s.kept}
		c, all := newCluster(t, seed, 3, opts)
		w := &world{c: c, all: all, start: time.Now(), store: map[string]string{}}
		var wg sync.WaitGroup
		for id := range s.clients {
			wg.Go(func() { w.client(id, s) })
		}
		wg.Go(func() {
			for _, f := range s.faults {
				w.fault(f)
				time.Sleep(10 * time.Millisecond)
			}
		})
		wg.Wait()
		for _, i := range w.all {
			i.kill()
		}
		c.log.latecomers.Wait()
		if !porcupine.CheckOperations(onceModel, w.ops) {
			for _, op := range w.ops {
				t.Logf("client %d %v [%d, %d]", op.ClientId, onceModel.DescribeOperation(op.Input, op.Output), op.Call, op.Return)
			}
			rt.Fatalf("seed %d: a key ran twice or a not_run was untrue", seed)
		}
	})
}
