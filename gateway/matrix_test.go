package gateway_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cicadasill/cicadasill/gateway"
)

var steps = []string{accept, claim, choose, connect, send, firstByte, stream, end, acknowledge}

// kinds of requests that each cell runs.
const (
	read      = "read"           // idempotent plain call
	book      = "book"           // non-idempotent call at the owner of its key
	forwarded = "book forwarded" // non-idempotent call at another instance than the owner
	generate  = "generate"       // streamed engine call
)

// matrixFault changes the world when a request reaches a step. The back end and connection
// are nil before they are chosen.
type matrixFault struct {
	name string
	// hits changes the world; mu is held. Instance is where the step was reached.
	hit func(d *deployment, instance string, b *backend, c *conn)
	// needsConn: the fault happens to a connection, which exists from connect to end.
	needsConn bool
	// breaks: a request at the step loses its answer when the fault strikes between send and end.
	breaks bool
	// stops: the instance does not answer its caller in time.
	stops bool
}

// victim is the back end that a fault strikes before one is chosen.
func victim(d *deployment, b *backend) *backend {
	if b != nil {
		return b
	}
	for _, id := range []string{"line-desk-0", "fry-lm-0"} {
		if !d.backends[id].dead && !d.backends[id].leaving {
			b = d.backends[id]
		}
	}
	return b
}

var matrixFaults = []matrixFault{
	{name: "engine crash", breaks: true, hit: func(d *deployment, _ string, b *backend, _ *conn) { victim(d, b).dead = true }},
	{name: "connection reset", needsConn: true, breaks: true, hit: func(_ *deployment, _ string, _ *backend, c *conn) { c.reset = true }},
	{name: "silent connection", needsConn: true, breaks: true, hit: func(_ *deployment, _ string, _ *backend, c *conn) { c.silent = true }},
	{name: "slow engine", hit: func(d *deployment, _ string, b *backend, _ *conn) { victim(d, b).slow = slowness }},
	{name: "instance killed", stops: true, hit: func(d *deployment, i string, _ *backend, _ *conn) {
		d.killed[i] = true
		go d.instances[i].server.CloseClientConnections()
	}},
	{name: "instance paused", stops: true, hit: func(d *deployment, i string, _ *backend, _ *conn) {
		resume := make(chan struct{})
		d.paused[i] = resume
		time.AfterFunc(pauseTime, func() {
			d.mu.Lock()
			delete(d.paused, i)
			d.mu.Unlock()
			close(resume)
		})
	}},
	{name: "log down", hit: func(d *deployment, _ string, _ *backend, _ *conn) { d.logDown = true }},
	{name: "append slow", hit: func(d *deployment, _ string, _ *backend, _ *conn) { d.logSlow = slowness }},
	{name: "region cut", breaks: true, hit: func(d *deployment, _ string, b *backend, _ *conn) {
		d.cut = other.Region
		if b != nil {
			d.cut = b.Zone.Region
		}
	}},
	{name: "leaving back end", hit: func(d *deployment, _ string, b *backend, _ *conn) { victim(d, b).leaving = true }},
	{name: "caller gone and back", stops: true, hit: func(d *deployment, _ string, _ *backend, _ *conn) { d.callerLeaves() }},
}

// impossible explains why a cell cannot happen; empty means that it is run.
func impossible(kind, step string, f matrixFault) string {
	idempotent := kind == read || kind == generate
	switch {
	case idempotent && (step == claim || step == acknowledge):
		return "idempotent calls take no claim and acknowledge nothing"
	case f.needsConn && !slices.Contains([]string{connect, send, firstByte, stream, end}, step):
		return "there is no back-end connection at this step"
	case f.name == "region cut" && step == acknowledge:
		return "the back end has answered; the log is not in this test's cut region"
	}
	return ""
}

// expected is the outcome that the caller's first attempt must see; empty means that the
// instance or the caller is gone and no answer is required.
func expected(kind, step string, f matrixFault) gateway.Outcome {
	dispatched := slices.Contains([]string{send, firstByte, stream, end}, step)
	switch {
	case f.stops && kind == forwarded && f.name == "instance killed":
		return "" // depends on whether the owner was reached: checked by the ledger alone
	case f.stops:
		return ""
	case kind == read || kind == generate:
		return gateway.Answered
	case f.name == "log down" && (step == accept || step == claim):
		return gateway.NotRun
	case f.breaks && dispatched:
		return gateway.Unknown
	default:
		return gateway.Answered
	}
}

// TestFaultMatrix strikes each kind of request with each fault at each step. It guards P4
// (whole answers), P5 (not_run is true), P6 (at most one run of a key) and P8 (nothing is
// left in flight). The log's lost append answers are the claim package's: it reads back
// before it decides, so the gateway sees a slow append.
func TestFaultMatrix(t *testing.T) {
	for _, f := range matrixFaults {
		for _, step := range steps {
			for _, kind := range []string{read, book, forwarded, generate} {
				t.Run(fmt.Sprintf("%s/%s/%s", f.name, step, kind), func(t *testing.T) {
					if why := impossible(kind, step, f); why != "" {
						t.Log("cannot happen: " + why)
						return
					}
					t.Parallel()
					runCell(t, kind, step, f)
				})
			}
		}
	}
}

func runCell(t *testing.T, kind, step string, f matrixFault) {
	d := deploy(t, nil, "a", "b")
	if kind == forwarded {
		d.owner = "b"
	}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	d.mu.Lock()
	d.leave = leave
	struck := false
	d.hook = func(inst, at string, b *backend, c *conn) {
		if at == step && !struck {
			struck = true
			f.hit(d, inst, b, c)
		}
	}
	d.mu.Unlock()
	if f.name == "instance paused" {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, pauseTime/2)
		defer cancel()
	}
	first := d.send(ctx, "a", kind, "1")
	d.mu.Lock()
	hit := struck
	d.mu.Unlock()
	if !hit {
		t.Fatal("the request did not reach the step")
	}
	if want := expected(kind, step, f); want != "" && first.outcome != want {
		t.Errorf("outcome %q (%s %s), want %q", first.outcome, first.reason, first.body, want)
	}
	check(t, d, kind, first, "first attempt")
	if first.outcome == "" || first.outcome == gateway.Unknown {
		other := "b"
		if d.instanceDead("b") {
			other = "a"
		}
		again := d.send(context.Background(), other, kind, "2")
		if kind == read || kind == generate {
			if again.outcome != gateway.Answered {
				t.Errorf("repeated idempotent request: %q %s %s", again.outcome, again.reason, again.body)
			}
		}
		check(t, d, kind, again, "second attempt")
	}
	d.quiesce()
	runs := d.ran("key", "body")
	if kind != read && kind != generate {
		if runs > 1 {
			t.Errorf("the key ran %d times", runs)
		}
		if first.outcome == gateway.NotRun && runs != 0 {
			t.Error("the refusal said not_run but the key ran")
		}
	}
}

// check compares an answered reply with the truth.
func check(t *testing.T, d *deployment, kind string, r reply, which string) {
	t.Helper()
	if r.outcome != gateway.Answered {
		return
	}
	if kind == generate {
		if err := checkTokens(r.body); err != nil {
			t.Errorf("%s: %v", which, err)
		}
		return
	}
	key := "key"
	if kind == read {
		key = ""
	}
	if r.body != answer(key, []byte("body")) || d.ran(key, "body") == 0 {
		t.Errorf("%s: answer %q after %d runs", which, r.body, d.ran(key, "body"))
	}
}

// send posts a request of a kind.
func (d *deployment) send(ctx context.Context, inst, kind, attempt string) reply {
	switch kind {
	case read:
		return d.post(ctx, inst, "line-desk/calls/read", "body")
	case generate:
		return d.post(ctx, inst, "fry-lm/calls/generate", fmt.Sprintf(generateBody, true))
	default:
		return d.post(ctx, inst, "line-desk/calls/book", "body", gateway.HeaderKey, "key", gateway.HeaderAttempt, attempt)
	}
}

func (d *deployment) callerLeaves() { d.leave() }

func (d *deployment) instanceDead(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.killed[name]
}
