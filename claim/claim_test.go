package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/claim"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

const seed = 11

var (
	key    = claim.Key{Service: "line-desk", Call: "book", ID: "oil-change-1"}
	body   = []byte("body")
	first  = claim.Terms{Attempt: 1}
	again  = claim.Terms{Attempt: 2}
	answer = claim.Answer{Status: 201, ContentType: "text/plain", Body: []byte("booked")}
)

func begin(t *testing.T, i *instance, terms claim.Terms) (claim.Decision, *claim.Error) {
	t.Helper()
	d, err := i.Begin(t.Context(), key, body, terms)
	var ce *claim.Error
	if err != nil && !errors.As(err, &ce) {
		t.Fatalf("untyped error %v", err)
	}
	return d, ce
}

func mustRun(t *testing.T, i *instance, terms claim.Terms) *claim.Ticket {
	t.Helper()
	d, err := begin(t, i, terms)
	if err != nil || d.Kind != claim.Run {
		t.Fatalf("seed %d: want a ticket, got %v %v", seed, d.Kind, err)
	}
	return d.Ticket
}

func refused(t *testing.T, i *instance, terms claim.Terms, outcome claim.Outcome, reason claim.Reason) {
	t.Helper()
	d, err := begin(t, i, terms)
	if err == nil || err.Outcome != outcome || err.Reason != reason {
		t.Fatalf("seed %d: want %s %s, got %v %v", seed, outcome, reason, d.Kind, err)
	}
}

// Guards against two runs of a key that arrives at all instances at once, under lost and late
// appends, and against callers that get no answer or another one.
func TestConcurrentBeginsRunOnce(t *testing.T) {
	is := is.New(t)
	c, all := newCluster(t, seed, 4, claim.Options{})
	c.log.set(func() { c.log.lost, c.log.late, c.log.limited, c.log.latency = 0.2, 0.1, 0.1, time.Millisecond })
	for n := range 20 {
		k := claim.Key{Service: "s", Call: "c", ID: fmt.Sprint(n)}
		var runs atomic.Int64
		var wg sync.WaitGroup
		for _, i := range append(all, all...) {
			wg.Go(func() {
				d, err := i.Begin(t.Context(), k, body, claim.Terms{})
				if err != nil {
					t.Errorf("seed %d key %d: %v", seed, n, err)
					return
				}
				if d.Kind == claim.Run {
					runs.Add(1)
					d.Ticket.Finish(answer)
				} else if string(d.Answer.Body) != "booked" || d.Answer.Status != 201 {
					t.Errorf("seed %d key %d: replayed %+v", seed, n, d.Answer)
				}
			})
		}
		wg.Wait()
		is.Equal(runs.Load(), int64(1))
	}
}

// Guards against a released key that stays blocked, at the same and at another instance, and
// against a body that is answered with another request's answer.
func TestReleaseReplayAndConflict(t *testing.T) {
	is := is.New(t)
	_, all := newCluster(t, seed, 2, claim.Options{})
	ticket := mustRun(t, all[0], first)
	is.Equal(ticket.ReleaseOutcome(), claim.NotRun)
	ticket.Release()
	mustRun(t, all[1], again).Release()
	mustRun(t, all[0], again).Finish(answer)
	for _, i := range all {
		d, err := begin(t, i, again)
		is.True(err == nil)
		is.Equal(d.Kind, claim.Replay)
		is.Equal(d.Answer, answer)
		_, cerr := i.Begin(t.Context(), key, []byte("other"), again)
		var ce *claim.Error
		is.True(errors.As(cerr, &ce))
		is.Equal(ce.Reason, claim.KeyConflict)
	}
}

// Guards against a second run after the claimer died, and against an untrue not_run.
func TestClaimerDeath(t *testing.T) {
	c, all := newCluster(t, seed, 3, claim.Options{})
	mustRun(t, all[0], first) // dies before it ends the ticket
	all[0].kill()
	refused(t, all[1], again, claim.Unknown, claim.ClaimerLost)
	restarted := c.start("i0") // reads the stream before it decides
	refused(t, restarted, first, claim.Unknown, claim.ClaimerLost)
	d, err := begin(t, all[2], claim.Terms{AskByKey: true})
	if err != nil || !d.Ticket.AskFirst() || d.Ticket.Claimed() {
		t.Fatalf("a back end that enforces keys is asked, got %v %v", d, err)
	}
	d.Ticket.Release()
}

// Guards against a lost difference between a run that is known to have ended and one that is not.
func TestClaimerDiesAfterTheEndRecord(t *testing.T) {
	c, all := newCluster(t, seed, 2, claim.Options{})
	mustRun(t, all[0], first).Finish(answer)
	c.log.await(2) // the claim and the end
	all[0].kill()
	refused(t, all[1], again, claim.Unknown, claim.RanAnswerLost)
}

// await returns once the log holds n records.
func (l *fakeLog) await(n int) {
	for held := 0; held < n; time.Sleep(time.Millisecond) {
		held = 0
		l.set(func() {
			for _, s := range l.streams {
				held += len(s)
			}
		})
	}
}

// Guards against work that stops or runs twice in a log outage, an untrue not_run to a retry,
// and a claim that blocks its key after the outage.
func TestOutage(t *testing.T) {
	is := is.New(t)
	c, all := newCluster(t, seed, 2, claim.Options{ClaimTimeout: 150 * time.Millisecond, OutageAfter: 50 * time.Millisecond})
	mustRun(t, all[0], first).Release()
	c.log.set(func() { c.log.lost = 1 })
	c.log.set(func() { c.log.outage = true })
	refused(t, all[0], first, claim.NotRun, claim.LogUnavailable)
	refused(t, all[0], again, claim.Unknown, claim.LogUnavailable)
	refused(t, all[0], claim.Terms{}, claim.Unknown, claim.LogUnavailable)
	d, err := begin(t, all[0], claim.Terms{AskByKey: true})
	is.True(err == nil)
	is.True(!d.Ticket.Claimed())
	is.Equal(d.Ticket.ReleaseOutcome(), claim.Unknown)
	d.Ticket.Release()
	c.log.set(func() { c.log.outage, c.log.lost = false, 0 })
	for {
		d, err := begin(t, all[1], again)
		if err == nil {
			is.Equal(d.Kind, claim.Run)
			return
		}
		is.Equal(err.Reason, claim.LogUnavailable)
	}
}

// Guards against an outcome called unknown although the claimer, in a planned stop, still finishes.
func TestLeavingClaimerIsAsked(t *testing.T) {
	is := is.New(t)
	c, all := newCluster(t, seed, 2, claim.Options{})
	ticket := mustRun(t, all[0], first)
	c.mu.Lock()
	delete(c.live, "i0")
	c.mu.Unlock()
	got := make(chan claim.Decision)
	go func() {
		d, _ := all[1].Begin(t.Context(), key, body, again)
		got <- d
	}()
	ticket.Finish(answer)
	is.Equal((<-got).Answer, answer)
}

// Guards against an append that arrives after its claim was given up and released, and then
// holds the key although its claimer is gone.
func TestLateAppendOfAbandonedClaimDoesNotBlockTheKey(t *testing.T) {
	c, all := newCluster(t, seed, 2, claim.Options{ClaimTimeout: 20 * time.Millisecond})
	gate := make(chan struct{})
	c.log.set(func() { c.log.late, c.log.gate = 1, gate })
	_, err := begin(t, all[0], first)
	if err == nil || err.Outcome != claim.NotRun {
		t.Fatalf("seed %d: got %v", seed, err)
	}
	c.log.set(func() { c.log.late = 0 })
	c.log.await(1) // the release
	all[0].kill()
	close(gate)
	c.log.latecomers.Wait()
	mustRun(t, all[1], again)
}

// Guards against an answer kept without bound, and a dropped answer taken for a request that did not run.
func TestKeptAnswersAreBounded(t *testing.T) {
	_, all := newCluster(t, seed, 2, claim.Options{MaxKeptBytes: 10})
	mustRun(t, all[0], first).Finish(answer)
	d, err := all[0].Begin(t.Context(), claim.Key{ID: "other"}, body, first)
	if err != nil {
		t.Fatal(err)
	}
	d.Ticket.Finish(claim.Answer{Body: []byte("123456789")})
	refused(t, all[0], again, claim.Unknown, claim.RanAnswerLost)
	refused(t, all[1], again, claim.Unknown, claim.RanAnswerLost)
}

// Guards against a key that can be used again inside its window, or never again after it.
func TestWindowFollowsTheLogsTime(t *testing.T) {
	is := is.New(t)
	c, all := newCluster(t, seed, 3, claim.Options{})
	mustRun(t, all[0], first).Finish(answer)
	c.log.await(2)
	all[0].kill()
	c.log.set(func() { c.log.shift = 2 * time.Minute }) // the default window has just passed
	refused(t, all[1], again, claim.Unknown, claim.RanAnswerLost)
	c.log.set(func() { c.log.shift = 4 * time.Minute })
	c.log.add(claim.Owner(key), []byte(`{}`)) // any record moves the stream's clock
	mustRun(t, all[1], again).Finish(answer)
	d, err := begin(t, all[2], again)
	is.True(err == nil)
	is.Equal(d.Kind, claim.Replay)
}

// Guards against an instance that cannot start below the log's retention.
func TestBootAboveRetention(t *testing.T) {
	c, all := newCluster(t, seed, 1, claim.Options{})
	c.log.set(func() { c.log.first = 1000 })
	mustRun(t, all[0], first).Finish(answer)
}

// Guards against a start that reads the whole retained history, and against a skip that misses a
// claim which still holds its key.
func TestBootSkipsOnlyWhatCannotMatter(t *testing.T) {
	is := is.New(t)
	c, all := newCluster(t, seed, 2, claim.Options{})
	c.log.set(func() { c.log.shift = -time.Hour })
	mustRun(t, all[0], first).Finish(answer)
	c.log.await(2)
	for range 5000 {
		c.log.add(claim.Owner(key), []byte(`{}`))
	}
	c.log.set(func() { c.log.shift, c.log.read = 0, 0 })
	mustRun(t, all[1], again).Finish(answer) // an hour later; this instance reads the whole stream
	c.log.await(5004)
	c.log.set(func() { c.log.read = 0 })
	all[1].kill()
	refused(t, c.start("i2"), again, claim.Unknown, claim.RanAnswerLost)
	c.log.set(func() { is.True(c.log.read < 200) })
}

// Guards against a caller that waits for a claimer it cannot reach, and an untrue refusal to it.
func TestUnreachableClaimerIsUnknown(t *testing.T) {
	c, all := newCluster(t, seed, 2, claim.Options{})
	mustRun(t, all[0], first)
	c.mu.Lock()
	self := c.live["i0"]
	c.mu.Unlock()
	all[0].kill()
	c.mu.Lock()
	c.live["i0"] = self // membership has not noticed
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := all[1].Begin(ctx, key, body, again)
	var ce *claim.Error
	if !errors.As(err, &ce) || ce.Outcome != claim.Unknown || ce.Reason != claim.ClaimerUnreachable {
		t.Fatal(err)
	}
	d, cerr := begin(t, all[1], claim.Terms{AskByKey: true})
	if cerr != nil || !d.Ticket.AskFirst() || d.Ticket.ReleaseOutcome() != claim.Unknown {
		t.Fatalf("a back end that enforces keys is asked instead, got %v %v", d, cerr)
	}
	d.Ticket.Release()
}

var _ platform.Log = (*fakeLog)(nil)
