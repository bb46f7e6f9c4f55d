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
	key          = claim.Key{Service: "line-desk", Call: "book", ID: "oil-change-1"}
	body         = []byte("body")
	firstAttempt = claim.Terms{Attempt: 1}
	retry        = claim.Terms{Attempt: 2}
	answer       = claim.Answer{Status: 201, ContentType: "text/plain", Body: []byte("booked")}
)

// begin calls Begin for key at an instance and requires an error to be an *Error.
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

func mustRefuse(t *testing.T, i *instance, terms claim.Terms, outcome claim.Outcome, reason claim.Reason) {
	t.Helper()
	d, err := begin(t, i, terms)
	if err == nil || err.Outcome != outcome || err.Reason != reason {
		t.Fatalf("seed %d: want %s %s, got %v %v", seed, outcome, reason, d.Kind, err)
	}
}

// Guards against two runs of a key that reaches all instances at the same time while appends
// are lost or delayed, and against callers that get no answer or the answer of another
// request.
func TestConcurrentBeginsRunOnce(t *testing.T) {
	is := is.New(t)
	c, all := newCluster(t, seed, 4, claim.Options{})
	c.log.withLock(func() {
		c.log.lossProb, c.log.delayProb, c.log.rateLimitProb, c.log.latency = 0.2, 0.1, 0.1, time.Millisecond
	})
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

// Guards against a released key that stays blocked, at the same or at another instance, and
// against a request with a different body that gets another request's answer.
func TestReleaseReplayAndConflict(t *testing.T) {
	is := is.New(t)
	_, all := newCluster(t, seed, 2, claim.Options{})
	ticket := mustRun(t, all[0], firstAttempt)
	is.Equal(ticket.ReleaseOutcome(), claim.NotRun)
	ticket.Release()
	mustRun(t, all[1], retry).Release()
	mustRun(t, all[0], retry).Finish(answer)
	for _, i := range all {
		d, err := begin(t, i, retry)
		is.True(err == nil)
		is.Equal(d.Kind, claim.Replay)
		is.Equal(d.Answer, answer)
		_, cerr := i.Begin(t.Context(), key, []byte("other"), retry)
		var ce *claim.Error
		is.True(errors.As(cerr, &ce))
		is.Equal(ce.Reason, claim.KeyConflict)
	}
}

// Guards against a second run after the claimer died, and against a false not_run.
func TestClaimerDeath(t *testing.T) {
	c, all := newCluster(t, seed, 3, claim.Options{})
	mustRun(t, all[0], firstAttempt) // the claimer dies before the ticket ends
	all[0].kill()
	mustRefuse(t, all[1], retry, claim.Unknown, claim.ClaimerLost)
	restarted := c.start("i0") // reads the stream before it decides
	mustRefuse(t, restarted, firstAttempt, claim.Unknown, claim.ClaimerLost)
	d, err := begin(t, all[2], claim.Terms{AskByKey: true})
	if err != nil || !d.Ticket.AskFirst() || d.Ticket.Claimed() {
		t.Fatalf("a back end that enforces keys is asked, got %v %v", d, err)
	}
	d.Ticket.Release()
}

// Guards against the loss of the difference between a run that is known to have ended and one
// that is not.
func TestClaimerDeathAfterEndRecord(t *testing.T) {
	c, all := newCluster(t, seed, 2, claim.Options{})
	mustRun(t, all[0], firstAttempt).Finish(answer)
	c.log.awaitRecords(2) // the claim and the end
	all[0].kill()
	mustRefuse(t, all[1], retry, claim.Unknown, claim.RanAnswerLost)
}

// awaitRecords returns once the log holds n records.
func (l *fakeLog) awaitRecords(n int) {
	for records := 0; records < n; time.Sleep(time.Millisecond) {
		records = 0
		l.withLock(func() {
			for _, s := range l.streams {
				records += len(s)
			}
		})
	}
}

// Guards against requests that are not served or run twice in a log outage, a false not_run
// for a retry, and a claim that blocks its key after the outage.
func TestLogOutage(t *testing.T) {
	is := is.New(t)
	c, all := newCluster(t, seed, 2, claim.Options{ClaimTimeout: 150 * time.Millisecond, OutageAfter: 50 * time.Millisecond})
	mustRun(t, all[0], firstAttempt).Release()
	c.log.withLock(func() { c.log.lossProb = 1 })
	c.log.withLock(func() { c.log.outage = true })
	mustRefuse(t, all[0], firstAttempt, claim.NotRun, claim.LogUnavailable)
	mustRefuse(t, all[0], retry, claim.Unknown, claim.LogUnavailable)
	mustRefuse(t, all[0], claim.Terms{}, claim.Unknown, claim.LogUnavailable)
	d, err := begin(t, all[0], claim.Terms{AskByKey: true})
	is.True(err == nil)
	is.True(!d.Ticket.Claimed())
	is.Equal(d.Ticket.ReleaseOutcome(), claim.Unknown)
	d.Ticket.Release()
	c.log.withLock(func() { c.log.outage, c.log.lossProb = false, 0 })
	for {
		d, err := begin(t, all[1], retry)
		if err == nil {
			is.Equal(d.Kind, claim.Run)
			return
		}
		is.Equal(err.Reason, claim.LogUnavailable)
	}
}

// Guards against an outcome that is reported as unknown although the claimer, in a planned
// stop, still finishes its run.
func TestLeavingClaimerIsAsked(t *testing.T) {
	is := is.New(t)
	c, all := newCluster(t, seed, 2, claim.Options{})
	ticket := mustRun(t, all[0], firstAttempt)
	c.mu.Lock()
	delete(c.live, "i0")
	c.mu.Unlock()
	got := make(chan claim.Decision)
	go func() {
		d, _ := all[1].Begin(t.Context(), key, body, retry)
		got <- d
	}()
	ticket.Finish(answer)
	is.Equal((<-got).Answer, answer)
}

// Guards against an append that arrives after its claim was abandoned and released, and that
// then holds the key although its claimer is gone.
func TestLateAppendOfAbandonedClaimDoesNotBlockTheKey(t *testing.T) {
	c, all := newCluster(t, seed, 2, claim.Options{ClaimTimeout: 20 * time.Millisecond})
	gate := make(chan struct{})
	c.log.withLock(func() { c.log.delayProb, c.log.delayGate = 1, gate })
	_, err := begin(t, all[0], firstAttempt)
	if err == nil || err.Outcome != claim.NotRun {
		t.Fatalf("seed %d: got %v", seed, err)
	}
	c.log.withLock(func() { c.log.delayProb = 0 })
	c.log.awaitRecords(1) // the release
	all[0].kill()
	close(gate)
	c.log.delayedAppends.Wait()
	mustRun(t, all[1], retry)
}

// Guards against an unbounded size of kept answers, and against a dropped answer that is taken
// for a request that did not run.
func TestKeptAnswersAreBounded(t *testing.T) {
	_, all := newCluster(t, seed, 2, claim.Options{MaxKeptBytes: 10})
	mustRun(t, all[0], firstAttempt).Finish(answer)
	d, err := all[0].Begin(t.Context(), claim.Key{ID: "other"}, body, firstAttempt)
	if err != nil {
		t.Fatal(err)
	}
	d.Ticket.Finish(claim.Answer{Body: []byte("123456789")})
	mustRefuse(t, all[0], retry, claim.Unknown, claim.RanAnswerLost)
	mustRefuse(t, all[1], retry, claim.Unknown, claim.RanAnswerLost)
}

// Guards against a key that can be used again within its retry window, or never again after
// it.
func TestRetryWindowUsesLogTime(t *testing.T) {
	is := is.New(t)
	c, all := newCluster(t, seed, 3, claim.Options{})
	mustRun(t, all[0], firstAttempt).Finish(answer)
	c.log.awaitRecords(2)
	all[0].kill()
	c.log.withLock(func() { c.log.timeShift = 2 * time.Minute }) // the default window has just passed
	mustRefuse(t, all[1], retry, claim.Unknown, claim.RanAnswerLost)
	c.log.withLock(func() { c.log.timeShift = 4 * time.Minute })
	c.log.appendRecord(claim.StreamOf(key), []byte(`{}`)) // any record moves the stream's clock
	mustRun(t, all[1], retry).Finish(answer)
	d, err := begin(t, all[2], retry)
	is.True(err == nil)
	is.Equal(d.Kind, claim.Replay)
}

// Guards against an instance that cannot start because the first records of a stream are no
// longer retained.
func TestStartAfterRecordsExpired(t *testing.T) {
	c, all := newCluster(t, seed, 1, claim.Options{})
	c.log.withLock(func() { c.log.firstOffset = 1000 })
	mustRun(t, all[0], firstAttempt).Finish(answer)
}

// Guards against a start that reads the whole retained history, and against a start that skips
// a claim which still holds its key.
func TestStartSkipsOnlyExpiredClaims(t *testing.T) {
	is := is.New(t)
	c, all := newCluster(t, seed, 2, claim.Options{})
	c.log.withLock(func() { c.log.timeShift = -time.Hour })
	mustRun(t, all[0], firstAttempt).Finish(answer)
	c.log.awaitRecords(2)
	for range 5000 {
		c.log.appendRecord(claim.StreamOf(key), []byte(`{}`))
	}
	c.log.withLock(func() { c.log.timeShift, c.log.recordsRead = 0, 0 })
	mustRun(t, all[1], retry).Finish(answer) // an hour later; this instance reads the whole stream
	c.log.awaitRecords(5004)
	c.log.withLock(func() { c.log.recordsRead = 0 })
	all[1].kill()
	mustRefuse(t, c.start("i2"), retry, claim.Unknown, claim.RanAnswerLost)
	c.log.withLock(func() { is.True(c.log.recordsRead < 200) })
}

// Guards against a caller that waits for a claimer that cannot be reached, and against a false
// refusal.
func TestUnreachableClaimerIsUnknown(t *testing.T) {
	c, all := newCluster(t, seed, 2, claim.Options{})
	mustRun(t, all[0], firstAttempt)
	c.mu.Lock()
	self := c.live["i0"]
	c.mu.Unlock()
	all[0].kill()
	c.mu.Lock()
	c.live["i0"] = self // membership has not noticed the death
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := all[1].Begin(ctx, key, body, retry)
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
