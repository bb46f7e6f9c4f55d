// Package forward passes ordinary requests to back ends: byte for byte, within the client's
// deadline and the route's timeout, to at most as many back ends as the route allows.
package forward

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/routes"
)

// Request is a client's request.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as the client sent them.
	Target   string
	Host     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
}

// Response is a back end's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client sends requests to back ends. It fails with *NotRunError if the back end has not run the
// request and never will, and with *UnknownError otherwise.
type Client interface {
	Do(ctx context.Context, b *backends.Backend, r *Request) (*Response, error)
}

// NotRunError reports a request that did not run.
type NotRunError struct{ Err error }

// Error implements error.
func (e *NotRunError) Error() string { return fmt.Sprintf("not run: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// UnknownError reports a request that may have run.
type UnknownError struct{ Err error }

// Error implements error.
func (e *UnknownError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// RefusedError reports a request that has not run. The caller may come back after RetryAfter.
type RefusedError struct {
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("refused: %v", e.Err) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// Times of requests.
const (
	// hedgeFloor is the least time after which a second back end is asked; hedgePart is that
	// time as a part of the route's objective. An answer of the second one then still meets it.
	hedgeFloor = 30 * time.Millisecond
	hedgePart  = 0.55
	// busyPause is how long a back end is avoided that refused a request.
	busyPause = 100 * time.Millisecond
	// retryAfter is when a refused caller finds the back ends' queues emptied.
	retryAfter = 250 * time.Millisecond
	// roundPause spaces the rounds over all back ends while all refuse.
	roundPause = 40 * time.Millisecond
	// maxSends bounds the sends of one request, refusals included.
	maxSends = 12
)

// errNoBackend is the cause of refusals for which no back end could be asked.
var errNoBackend = errors.New("no back end of the service takes requests")

// Options configure a Forwarder.
type Options struct {
	Backends   *backends.Directory
	Client     Client
	DataCentre string
	Logger     *log.Logger
	Registerer prometheus.Registerer
}

// Forwarder forwards requests.
type Forwarder struct {
	opts    Options
	latency *prometheus.HistogramVec
	hedges  prometheus.Counter
}

// New returns a forwarder.
func New(opts Options) *Forwarder {
	f := &Forwarder{
		opts: opts,
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cicadasill_request_seconds",
			Help: "Time from the whole request to its answer.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)},
			[]string{"kind", "outcome"}),
		hedges: prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadasill_request_hedges_total",
			Help: "Requests that were sent to a second back end because the first was slow."}),
	}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(f.latency, f.hedges)
	}
	return f
}

// Forward sends a request to the back ends of its route's service. It fails with *RefusedError
// if the request has not run, and with *UnknownError if it may have.
func (f *Forwarder) Forward(ctx context.Context, route *routes.Route, r *Request) (*Response, error) {
	start := time.Now()
	if limit := start.Add(route.Timeout); route.Timeout > 0 && (r.Deadline.IsZero() || limit.Before(r.Deadline)) {
		r.Deadline = limit
	}
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	e := &exchange{
		f: f, ctx: ctx, route: route, request: r, service: route.ServiceFor(r.ID),
		answers: make(chan answer, maxSends), tried: map[*backends.Backend]bool{},
	}
	response, err := e.run()
	outcome := "answered"
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		outcome = "refused"
	case err != nil:
		outcome = "unknown"
	}
	took := time.Since(start)
	f.latency.WithLabelValues(route.Kind.String(), outcome).Observe(took.Seconds())
	f.opts.Logger.Info("request", "request", r.ID, "route", route.Name, "service", e.service, "outcome", outcome,
		"sends", e.sends, "backend", e.last, "took", took, "err", err)
	return response, err
}

// exchange is the handling of one request.
type exchange struct {
	f       *Forwarder
	ctx     context.Context
	route   *routes.Route
	request *Request
	service string

	answers  chan answer
	tried    map[*backends.Backend]bool
	inFlight int
	sends    int
	runs     int // sends that may have run
	last     string
}

type answer struct {
	backend  *backends.Backend
	response *Response
	err      error
}

// run asks back ends until one has answered.
func (e *exchange) run() (*Response, error) {
	attempts := 1
	hedge := make(<-chan time.Time)
	if e.route.Kind == routes.Idempotent {
		attempts = max(1, e.route.Attempts)
		hedge = time.After(max(hedgeFloor, time.Duration(hedgePart*float64(e.route.Objective))))
	}
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	if !e.send(ctx) {
		return nil, &RefusedError{RetryAfter: retryAfter, Err: errNoBackend}
	}
	var failed answer
	for {
		select {
		case a := <-e.answers:
			e.inFlight--
			if a.err == nil && a.response.Status < http.StatusInternalServerError {
				e.last = a.backend.ID
				return a.response, nil
			}
			var notRun *NotRunError
			if errors.As(a.err, &notRun) {
				if e.inFlight > 0 || e.again(ctx, notRun) {
					continue
				}
				if e.runs == 0 {
					return nil, &RefusedError{RetryAfter: retryAfter, Err: notRun.Err}
				}
			} else {
				e.runs++
				failed = a
				if e.runs < attempts && e.send(ctx) {
					continue
				}
			}
			if e.inFlight > 0 {
				continue
			}
			return e.failure(failed)
		case <-hedge:
			hedge = nil
			if e.inFlight+e.runs < attempts && e.send(ctx) {
				e.f.hedges.Inc()
			}
		case <-e.ctx.Done():
			return nil, &UnknownError{Err: e.ctx.Err()}
		}
	}
}

// failure returns the back end's own failure, if it sent one.
func (e *exchange) failure(a answer) (*Response, error) {
	if a.backend != nil {
		e.last = a.backend.ID
	}
	if a.response != nil {
		return a.response, nil
	}
	return nil, &UnknownError{Err: a.err}
}

// again asks another back end after a refusal, or all of them once more after a pause while
// an answer would still meet the objective.
func (e *exchange) again(ctx context.Context, refusal *NotRunError) bool {
	if e.sends >= maxSends {
		return false
	}
	if e.send(ctx) {
		return true
	}
	select {
	case <-time.After(roundPause):
	case <-ctx.Done():
		return false
	}
	clear(e.tried)
	return e.send(ctx)
}

// send asks the best back end that has not been asked yet.
func (e *exchange) send(ctx context.Context) bool {
	b := e.f.choose(e.service, e.tried)
	if b == nil {
		return false
	}
	e.tried[b] = true
	e.sends++
	e.inFlight++
	b.Begin()
	go func() {
		response, err := e.f.opts.Client.Do(ctx, b, e.request)
		b.End()
		var notRun *NotRunError
		switch {
		case err == nil:
			b.Succeeded()
		case errors.As(err, &notRun):
			b.RecordRefusal(busyPause)
		case ctx.Err() == nil:
			b.Failed()
		}
		e.answers <- answer{backend: b, response: response, err: err}
	}()
	return true
}

// choose returns the back end with the fewest requests of this instance; a near one first, and
// one that failed recently only if there is no other.
func (f *Forwarder) choose(service string, tried map[*backends.Backend]bool) *backends.Backend {
	var best *backends.Candidate
	list := f.opts.Backends.Candidates(service, "")
	for i := range list {
		c := &list[i]
		if !tried[c.Backend] && (best == nil || f.compare(c, best) < 0) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.Backend
}

func (f *Forwarder) compare(a, b *backends.Candidate) int {
	return cmp.Or(
		compareBool(a.Avoid, b.Avoid),
		cmp.Compare(a.InFlight/nearLead, b.InFlight/nearLead),
		compareBool(a.Zone != f.opts.DataCentre, b.Zone != f.opts.DataCentre),
		cmp.Compare(a.InFlight, b.InFlight),
		cmp.Compare(a.ID, b.ID),
	)
}

// nearLead is how many requests the near back end takes before a far one is as good.
const nearLead = 4

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
