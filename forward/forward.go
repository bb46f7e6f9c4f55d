// Package forward forwards single requests, as opposed to batch jobs, to back ends. It chooses the
// back end, retries and hedges as far as the route's kind and attempt limit allow, and passes
// requests and responses on unchanged. Its errors tell whether a request may have run.
package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/limit"
	"github.com/cicadasill/cicadasill/quarantine"
	"github.com/cicadasill/cicadasill/ratelimit"
	"github.com/cicadasill/cicadasill/routes"
)

// Client sends requests to back ends.
type Client interface {
	// Do returns the complete response of b. It fails with *NotRunError if b has not run the request
	// and never will, and with *UnknownError otherwise.
	Do(ctx context.Context, b *backends.Backend, r *Request) (*Response, error)
}

// ConnChecker is a Client that knows which of its kept connections carry responses.
type ConnChecker interface {
	// HasStaleConns reports whether kept connections to b exist, and nothing has arrived on any of them since the given time.
	HasStaleConns(b *backends.Backend, since time.Time) bool
}

// Timing and limits of retries and hedges.
const (
	// minHedgeDelay is the shortest delay after which a request is hedged, that is, also sent to a
	// second back end. hedgeObjectiveFraction is the delay as a fraction of the route's objective: the
	// response of the second back end can then still meet the objective.
	minHedgeDelay          = 30 * time.Millisecond
	hedgeObjectiveFraction = 0.55
	// refusalBackoff is how long a back end is avoided after it refused a request.
	refusalBackoff = 100 * time.Millisecond
	// queueDrainTime is about the time in which the back ends' queues empty. Refused callers are told to wait once to twice as
	// long, each its own time, so that those who are refused together do not return together.
	queueDrainTime = 170 * time.Millisecond
	// roundDelay is the delay before a request that all back ends have refused is offered to all of
	// them again.
	roundDelay = 40 * time.Millisecond
	// maxSends is the number of sends, refused ones included, after which a refusal is not retried.
	maxSends = 12
)

// errNoBackend is the cause of a refusal if there was no back end to send the request to.
var errNoBackend = errors.New("no back end of the service takes requests")

// errAttemptsUsedUp is the cause of a refusal if the request may have reached as many back ends as its route allows.
var errAttemptsUsedUp = errors.New("the attempts of the route are used up")

// RateLimits permits requests to back ends that have stated a rate limit.
type RateLimits interface {
	// Acquire returns nil when a request may be sent to b. It waits for maxWait at most, and fails with
	// *ratelimit.ExceededError if that is too short.
	Acquire(ctx context.Context, b *backends.Backend, maxWait time.Duration) error
}

// Quarantine knows the requests that crash back ends.
type Quarantine interface {
	// Len returns the number of fingerprints, of requests and endpoints, under which back ends have crashed.
	Len() int
	// Check returns the verdict on a request before it is sent.
	Check(id quarantine.Identity, threshold quarantine.Threshold) quarantine.Verdict
	// RecordCrash counts a crash of a run of a back end and returns the verdict on further sends.
	RecordCrash(id quarantine.Identity, threshold quarantine.Threshold, backend string, startedUnixMs int64) quarantine.Verdict
	// RecordAnswer states that a back end has run the request and answered it.
	RecordAnswer(id quarantine.Identity)
}

// Options configure a Forwarder.
type Options struct {
	Backends   *backends.Directory
	Client     Client
	RateLimits RateLimits
	Quarantine Quarantine
	// Origins tells where streams began; nil if no stream can be taken up.
	Origins Origins
	// EntriesAge returns the time since which the back ends' entries may have changed unnoticed; nil if they are always current.
	EntriesAge func() time.Duration
	// Self is the id of this instance, by which it prefers one of equal back ends; empty if it decides by their ids.
	Self       string
	DataCentre string
	// RequestBegan is told of each request of a client account that began to run, with the moment by the clock since boot. nil
	// if nobody counts them.
	RequestBegan func(account string, at time.Duration)
	Logger       *log.Logger
	Registerer   prometheus.Registerer
}

// Forwarder forwards requests to the back ends of their route's service.
type Forwarder struct {
	opts    Options
	latency *prometheus.HistogramVec
	hedges  prometheus.Counter
	crashes prometheus.Counter
	takeUps *prometheus.CounterVec
}

// New returns a Forwarder and registers its metrics.
func New(opts Options) *Forwarder {
	f := &Forwarder{
		opts: opts,
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cicadasill_request_seconds",
			Help: "Time from the receipt of the complete request to its outcome.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)},
			[]string{"kind", "outcome"}),
		hedges: prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadasill_request_hedges_total",
			Help: "Requests sent to a second back end because the first one was slow."}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadasill_request_crashes_total",
			Help: "Sends after which the back end's process had ended without an answer."}),
		takeUps: newTakeUps(),
	}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(f.latency, f.hedges, f.crashes, f.takeUps)
	}
	return f
}

// Forward sends a request to a back end of its route's service, and to further ones as far as the
// route allows, and returns the response. It fails with *RefusedError if the request has not run, and
// with *UnknownError if it may have run. It brings r.Deadline forward to the end of the route's timeout.
func (f *Forwarder) Forward(ctx context.Context, route *routes.Route, r *Request) (*Response, error) {
	start := time.Now()
	if routeDeadline := start.Add(route.Timeout); route.Timeout > 0 && (r.Deadline.IsZero() || routeDeadline.Before(r.Deadline)) {
		r.Deadline = routeDeadline
	}
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	e := &exchange{
		f: f, ctx: ctx, route: route, request: r, service: route.ServiceFor(r.ID),
		results: make(chan sendResult, maxSends), tried: map[*backends.Backend]bool{},
		sentTo: map[*backends.Backend]bool{},
	}
	response, err := e.run()
	if at, began := e.begun.at(); began {
		f.reportBegun(r, at)
	}
	outcome := "answered"
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		outcome = "refused"
	case err != nil:
		outcome = "unknown"
	}
	elapsed := time.Since(start)
	f.latency.WithLabelValues(route.Kind.String(), outcome).Observe(elapsed.Seconds())
	f.opts.Logger.Info("request", "request", r.ID, "route", route.Name, "service", e.service, "outcome", outcome,
		"sends", e.sends, "backend", e.lastBackendID, "took", elapsed, "err", err)
	return response, err
}

// exchange is the state of forwarding one request.
type exchange struct {
	f       *Forwarder
	ctx     context.Context
	route   *routes.Route
	request *Request
	service string

	results       chan sendResult
	tried         map[*backends.Backend]bool
	sentTo        map[*backends.Backend]bool // unlike tried, over all rounds
	attempts      attempts
	sends         int
	begun         beginnings
	verdict       quarantine.Verdict
	failedRuns    int  // sends answered with status 500
	sawSilentConn bool // further sends use new connections
	first         *backends.Backend
	firstSentAt   time.Time
	lastBackendID string
}

// sendResult is the outcome of sending the request to one back end.
type sendResult struct {
	number   int // of the send, from 1
	backend  *backends.Backend
	response *Response
	err      error
}

// run sends the request until a back end responds with a status below 500, no further send is allowed,
// or the deadline passes. Refused sends do not count as attempts.
func (e *exchange) run() (*Response, error) {
	if e.verdict = e.f.check(e.request); e.verdict.BlockedFor > 0 {
		return nil, refusalByQuarantine(e.request, e.verdict)
	}
	e.attempts.limit = 1
	hedgeDue := make(<-chan time.Time)
	if e.route.Kind == routes.Idempotent && !e.verdict.IsConvicted {
		e.attempts.limit = max(1, e.route.Attempts)
	}
	if e.attempts.limit > 1 && !e.verdict.IsSuspect() {
		hedgeDue = time.After(max(minHedgeDelay, time.Duration(hedgeObjectiveFraction*float64(e.route.Objective))))
	}
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	if !e.send(ctx) {
		if refused := e.sendWhenPermitted(ctx); refused != nil {
			return nil, refused
		}
	}
	var lastFailure sendResult
	for {
		select {
		case result := <-e.results:
			notRun := e.settle(result)
			if result.err == nil && result.response.Status < http.StatusInternalServerError {
				e.lastBackendID = result.backend.ID
				e.f.recordAnswer(e.request)
				return result.response, nil
			}
			if notRun != nil {
				if e.attempts.inFlight > 0 || (!notRun.Withheld && e.sendAfterRefusal(ctx, notRun)) {
					continue
				}
				if e.attempts.possibleRuns == 0 {
					refused := &RefusedError{RetryAfter: limit.RetryAfter(queueDrainTime), Err: notRun.Err}
					if _, wait := e.f.firstPermitted(e.service); wait > 0 {
						refused.RetryAfter = wait
					}
					return nil, refused
				}
			} else {
				if result.response != nil && result.response.Status == http.StatusInternalServerError {
					e.failedRuns++
				}
				lastFailure = result
				if isSilentConn(result.err) {
					e.sawSilentConn = true
					delete(e.tried, result.backend) // a new connection may reach it
				}
				if e.f.recordCrash(e.request, result.backend, result.err, &e.verdict) {
					hedgeDue = nil
				}
				if e.verdict.IsSuspect() && e.attempts.inFlight > 0 {
					continue // the outcome of the other send tells whether the request is the cause
				}
				if !e.verdict.IsConvicted && e.sendAgain(ctx) {
					continue
				}
			}
			if e.attempts.inFlight > 0 {
				continue
			}
			return e.failureResponse(lastFailure)
		case <-hedgeDue:
			hedgeDue = nil
			if e.send(ctx) {
				e.f.hedges.Inc()
			}
		case <-e.ctx.Done():
			return nil, &UnknownError{Err: e.ctx.Err()}
		}
	}
}

// failureResponse returns the failed back end's own response, or *UnknownError if it sent none.
func (e *exchange) failureResponse(failed sendResult) (*Response, error) {
	if failed.backend != nil {
		e.lastBackendID = failed.backend.ID
	}
	if failed.response != nil {
		failed.response.FailedRuns = e.failedRuns
		return failed.response, nil
	}
	return nil, &UnknownError{Err: failed.err, RetryAfter: e.verdict.BlockedFor}
}

// sendAfterRefusal sends the request to another back end after a refusal. If all have been tried, it
// starts a new round over all of them after roundDelay. It returns false if nothing was sent, because
// maxSends is reached, ctx has ended or there is no back end. The rounds are meant for responses that
// can still meet the objective, but only maxSends and ctx limit them.
func (e *exchange) sendAfterRefusal(ctx context.Context, refusal *NotRunError) bool {
	if e.sends >= maxSends {
		return false
	}
	if e.send(ctx) {
		return true
	}
	select {
	case <-time.After(roundDelay):
	case <-ctx.Done():
		return false
	}
	clear(e.tried)
	return e.send(ctx)
}

// sendAgain sends the request to another back end after a failure. It waits for a rate limit only if no other send is in
// flight.
func (e *exchange) sendAgain(ctx context.Context) bool {
	return e.send(ctx) || (e.attempts.inFlight == 0 && e.sendWhenPermitted(ctx) == nil)
}

// send sends the request to the best back end that has not been tried and whose rate limit allows a request now. It
// returns false if there is none or the attempts are used up. The outcome arrives on e.results.
func (e *exchange) send(ctx context.Context) bool {
	if !e.attempts.allowOneMore() || !e.f.mayRisk(e.service, e.verdict) {
		return false
	}
	for {
		b := e.f.choose(e.service, e.tried, sparesRateLimited(e.request.ID))
		if b == nil {
			return false
		}
		e.tried[b] = true
		if err := e.f.opts.RateLimits.Acquire(ctx, b, 0); err == nil {
			e.start(ctx, b)
			return true
		}
	}
}

// sendWhenPermitted waits for the back end whose rate limit is the first to allow a request, and sends the request to it.
// It refuses the request at once if that would be too late.
func (e *exchange) sendWhenPermitted(ctx context.Context) *RefusedError {
	if !e.attempts.allowOneMore() {
		return &RefusedError{RetryAfter: limit.RetryAfter(queueDrainTime), Err: errAttemptsUsedUp}
	}
	if !e.f.mayRisk(e.service, e.verdict) {
		return &RefusedError{RetryAfter: limit.RetryAfter(queueDrainTime), Err: errLastBackend}
	}
	b, wait := e.f.firstPermitted(e.service)
	if b == nil {
		return &RefusedError{RetryAfter: limit.RetryAfter(queueDrainTime), Err: errNoBackend}
	}
	remaining := time.Duration(0)
	if !e.request.Deadline.IsZero() {
		remaining = time.Until(e.request.Deadline)
	}
	maxWait := ratelimit.MaxWait(e.route.Objective, remaining)
	if wait > maxWait {
		return &RefusedError{RetryAfter: wait, Err: &ratelimit.ExceededError{Backend: b.ID, RetryAfter: wait}}
	}
	if err := e.f.opts.RateLimits.Acquire(ctx, b, maxWait); err != nil {
		return refusalByRateLimit(err)
	}
	if b.Unavailable() { // since it was chosen
		return &RefusedError{RetryAfter: limit.RetryAfter(queueDrainTime), Err: errNoBackend}
	}
	e.tried[b] = true
	e.start(ctx, b)
	return nil
}

// refusalByRateLimit returns the refusal of a request that got no permission within its time.
func refusalByRateLimit(err error) *RefusedError {
	after := limit.RetryAfter(queueDrainTime)
	var exceeded *ratelimit.ExceededError
	if errors.As(err, &exceeded) {
		after = exceeded.RetryAfter
	}
	return &RefusedError{RetryAfter: after, Err: err}
}

// start sends the request to b. The outcome arrives on e.results.
func (e *exchange) start(ctx context.Context, b *backends.Backend) {
	if e.sends++; e.sends == 1 {
		e.first, e.firstSentAt = b, time.Now()
	}
	e.attempts.begin()
	number := e.sends
	e.begun.send(number)
	request := e.request
	if e.sentTo[b] || e.sawSilentConn || e.mayHaveLostConns(b) {
		repeated := *request
		repeated.Repeated = true
		request = &repeated
	}
	e.sentTo[b] = true
	b.Begin()
	go func() {
		response, err := e.f.opts.Client.Do(ctx, b, request)
		b.End()
		var notRun *NotRunError
		switch {
		case err == nil:
			b.RecordSuccess()
		case errors.As(err, &notRun):
			recordRefusal(b, notRun)
		case ctx.Err() == nil && !isSilentConn(err):
			b.RecordFailure()
		}
		e.results <- sendResult{number: number, backend: b, response: response, err: err}
	}()
}

// mayHaveLostConns reports whether neither the first back end nor b has been heard from since the first send: whatever made the
// kept connections to the one go silent may have affected those to the other.
func (e *exchange) mayHaveLostConns(b *backends.Backend) bool {
	checker, ok := e.f.opts.Client.(ConnChecker)
	return ok && b != e.first && checker.HasStaleConns(e.first, e.firstSentAt) && checker.HasStaleConns(b, e.firstSentAt)
}

// isSilentConn reports whether a send failed because of a kept connection rather than the back end.
func isSilentConn(err error) bool {
	var (
		unknown   *UnknownError
		truncated *TruncatedError
	)
	return (errors.As(err, &unknown) && unknown.SilentConn) || (errors.As(err, &truncated) && truncated.SilentConn)
}

// recordRefusal records that b has not run a request.
func recordRefusal(b *backends.Backend, refusal *NotRunError) {
	switch {
	case refusal.Withheld: // says nothing about b
	case refusal.Down:
		b.RecordDown()
	default:
		b.RecordRefusal(refusalBackoff)
	}
}
