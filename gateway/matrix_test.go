package gateway_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cicadasill/cicadasill/gateway"
)

var steps = []string{stepAccept, stepClaim, stepChoose, stepConnect, stepSend, stepFirstByte, stepStream, stepEnd, stepAcknowledge}

// Kinds of requests. Each fault at each step is tested with every kind.
const (
	kindRead      = "read"           // idempotent plain call
	kindBook      = "book"           // non-idempotent call at the owner of its key
	kindForwarded = "book forwarded" // non-idempotent call at an instance other than the owner
	kindGenerate  = "generate"       // streamed engine call
)

// matrixFault is a fault that is injected when a request reaches a step.
type matrixFault struct {
	name string
	// inject applies the fault; mu is held. instance is where the step was reached. b and c are
	// nil before a back end is chosen.
	inject func(d *deployment, instance string, b *backend, c *attemptConn)
	// needsConn means that the fault affects a connection, which exists from connect to end.
	needsConn bool
	// losesAnswer means that a fault between send and end loses the answer to the request.
	losesAnswer bool
	// noTimelyAnswer means that the caller gets no answer in time.
	noTimelyAnswer bool
}

// targetBackend returns the back end that a fault affects: b or, before one is chosen, a back
// end that is neither dead nor leaving.
func targetBackend(d *deployment, b *backend) *backend {
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
	{name: "engine crash", losesAnswer: true, inject: func(d *deployment, _ string, b *backend, _ *attemptConn) { targetBackend(d, b).dead = true }},
	{name: "connection reset", needsConn: true, losesAnswer: true, inject: func(_ *deployment, _ string, _ *backend, c *attemptConn) { c.reset = true }},
	{name: "silent connection", needsConn: true, losesAnswer: true, inject: func(_ *deployment, _ string, _ *backend, c *attemptConn) { c.silent = true }},
	{name: "slow engine", inject: func(d *deployment, _ string, b *backend, _ *attemptConn) { targetBackend(d, b).slow = slowDelay }},
	{name: "instance killed", noTimelyAnswer: true, inject: func(d *deployment, i string, _ *backend, _ *attemptConn) {
		d.killed[i] = true
		go d.instances[i].server.CloseClientConnections()
	}},
	{name: "instance paused", noTimelyAnswer: true, inject: func(d *deployment, i string, _ *backend, _ *attemptConn) {
		resume := make(chan struct{})
		d.paused[i] = resume
		time.AfterFunc(pauseDuration, func() {
			d.mu.Lock()
			delete(d.paused, i)
			d.mu.Unlock()
			close(resume)
		})
	}},
	{name: "log down", inject: func(d *deployment, _ string, _ *backend, _ *attemptConn) { d.logDown = true }},
	{name: "append slow", inject: func(d *deployment, _ string, _ *backend, _ *attemptConn) { d.logSlow = slowDelay }},
	{name: "region cut", losesAnswer: true, inject: func(d *deployment, _ string, b *backend, _ *attemptConn) {
		d.unreachableRegion = remoteZone.Region
		if b != nil {
			d.unreachableRegion = b.Zone.Region
		}
	}},
	{name: "leaving back end", inject: func(d *deployment, _ string, b *backend, _ *attemptConn) { targetBackend(d, b).leaving = true }},
	{name: "caller gone and back", noTimelyAnswer: true, inject: func(d *deployment, _ string, _ *backend, _ *attemptConn) { d.callerLeaves() }},
}

// impossibleReason returns why a combination cannot occur, or "" if it can and must be tested.
func impossibleReason(kind, step string, f matrixFault) string {
	idempotent := kind == kindRead || kind == kindGenerate
	switch {
	case idempotent && (step == stepClaim || step == stepAcknowledge):
		return "idempotent calls take no claim and acknowledge nothing"
	case f.needsConn && !slices.Contains([]string{stepConnect, stepSend, stepFirstByte, stepStream, stepEnd}, step):
		return "there is no back-end connection at this step"
	case f.name == "region cut" && step == stepAcknowledge:
		return "the back end has answered; the log is not in this test's cut region"
	}
	return ""
}

// expectedOutcome returns the outcome that the caller's first attempt must get, or "" if the
// instance or the caller is gone and no answer is required.
func expectedOutcome(kind, step string, f matrixFault) gateway.Outcome {
	dispatched := slices.Contains([]string{stepSend, stepFirstByte, stepStream, stepEnd}, step)
	switch {
	case f.noTimelyAnswer && kind == kindForwarded && f.name == "instance killed":
		return "" // depends on whether the owner was reached; the count of runs is still checked
	case f.noTimelyAnswer:
		return ""
	case kind == kindRead || kind == kindGenerate:
		return gateway.Answered
	case f.name == "log down" && (step == stepAccept || step == stepClaim):
		return gateway.NotRun
	case f.losesAnswer && dispatched:
		return gateway.Unknown
	default:
		return gateway.Answered
	}
}

// TestFaultMatrix injects each fault at each step of each kind of request. It guards P4
// (complete answers), P5 (not_run is true), P6 (at most one run of a key) and P8 (nothing is
// left in flight). Lost answers to log appends are tested in the claim package, which reads
// the log back before it decides: to the gateway they look like a slow append.
func TestFaultMatrix(t *testing.T) {
	for _, f := range matrixFaults {
		for _, step := range steps {
			for _, kind := range []string{kindRead, kindBook, kindForwarded, kindGenerate} {
				t.Run(fmt.Sprintf("%s/%s/%s", f.name, step, kind), func(t *testing.T) {
					if why := impossibleReason(kind, step, f); why != "" {
						t.Log("cannot happen: " + why)
						return
					}
					t.Parallel()
					runMatrixCell(t, kind, step, f)
				})
			}
		}
	}
}

// runMatrixCell tests one kind of request with one fault at one step.
func runMatrixCell(t *testing.T, kind, step string, f matrixFault) {
	d := deploy(t, nil, "a", "b")
	if kind == kindForwarded {
		d.owner = "b"
	}
	ctx, cancelCaller := context.WithCancel(context.Background())
	defer cancelCaller()
	d.mu.Lock()
	d.cancelCaller = cancelCaller
	injected := false
	d.onStep = func(inst, at string, b *backend, c *attemptConn) {
		if at == step && !injected {
			injected = true
			f.inject(d, inst, b, c)
			if f.name == "instance paused" { // the caller gives up during the pause
				time.AfterFunc(pauseDuration/2, cancelCaller)
			}
		}
	}
	d.mu.Unlock()
	first := d.send(ctx, "a", kind, "1")
	d.mu.Lock()
	reached := injected
	d.mu.Unlock()
	if !reached {
		t.Fatal("the request did not reach the step")
	}
	if want := expectedOutcome(kind, step, f); want != "" && first.outcome != want {
		t.Errorf("outcome %q (%s %s), want %q", first.outcome, first.reason, first.body, want)
	}
	checkAnswer(t, d, kind, first, "first attempt")
	if first.outcome == "" || first.outcome == gateway.Unknown {
		otherInstance := "b"
		if d.instanceDead("b") {
			otherInstance = "a"
		}
		repeated := d.send(context.Background(), otherInstance, kind, "2")
		if kind == kindRead || kind == kindGenerate {
			if repeated.outcome != gateway.Answered {
				t.Errorf("repeated idempotent request: %q %s %s", repeated.outcome, repeated.reason, repeated.body)
			}
		}
		checkAnswer(t, d, kind, repeated, "second attempt")
	}
	d.quiesce()
	runs := d.runsOf("key", "body")
	if kind != kindRead && kind != kindGenerate {
		if runs > 1 {
			t.Errorf("the key ran %d times", runs)
		}
		if first.outcome == gateway.NotRun && runs != 0 {
			t.Error("the refusal said not_run but the key ran")
		}
	}
}

// checkAnswer checks that an answered request has the right answer and did run.
func checkAnswer(t *testing.T, d *deployment, kind string, r reply, label string) {
	t.Helper()
	if r.outcome != gateway.Answered {
		return
	}
	if kind == kindGenerate {
		if err := checkTokens(r.body); err != nil {
			t.Errorf("%s: %v", label, err)
		}
		return
	}
	key := "key"
	if kind == kindRead {
		key = ""
	}
	if r.body != expectedBody(key, []byte("body")) || d.runsOf(key, "body") == 0 {
		t.Errorf("%s: answer %q after %d runs", label, r.body, d.runsOf(key, "body"))
	}
}

// send posts a request of the given kind.
func (d *deployment) send(ctx context.Context, inst, kind, attempt string) reply {
	switch kind {
	case kindRead:
		return d.post(ctx, inst, "line-desk/calls/read", "body")
	case kindGenerate:
		return d.post(ctx, inst, "fry-lm/calls/generate", fmt.Sprintf(generateBody, true))
	default:
		return d.post(ctx, inst, "line-desk/calls/book", "body", gateway.HeaderKey, "key", gateway.HeaderAttempt, attempt)
	}
}

func (d *deployment) callerLeaves() { d.cancelCaller() }

func (d *deployment) instanceDead(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.killed[name]
}
