package ratelimit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/timing"
)

// Method is the name under which instances call each other's Handle.
const Method = "rate-limit"

const (
	// askTimeout bounds a call to the owner of a bucket. It covers a new connection to another region.
	askTimeout = 80 * time.Millisecond
	// ownerBackoff is the time after a failed call to an owner in which it is not called.
	ownerBackoff = 300 * time.Millisecond
	// permitLifetime is how long after its time a token may be used. An instance that was suspended meanwhile asks again.
	permitLifetime = 500 * time.Millisecond
)

// ExceededError reports a request that has not been sent, because the back end's rate limit allows none for the time
// RetryAfter.
type ExceededError struct {
	Backend    string
	RetryAfter time.Duration
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("rate limit of back end %s allows no request for %v", e.Backend, e.RetryAfter)
}

// Caller sends calls to other instances and returns their responses.
type Caller interface {
	Call(ctx context.Context, to machine.Instance, cause link.Cause, method string, payload []byte) ([]byte, error)
}

// Instances tells which instances are live.
type Instances interface {
	// Owner returns the live instance that is responsible for key, one in the given data centre if there is any. It
	// returns the same one at all instances that have read the same records.
	Owner(key, dataCentre string) machine.Instance
	// Count returns the number of instances.
	Count() int
}

// Options configure a Limiter.
type Options struct {
	Self       machine.Ref
	Caller     Caller
	Instances  Instances
	Logger     *log.Logger
	Registerer prometheus.Registerer
}

// Limiter permits the requests that this instance sends to back ends with a rate limit.
type Limiter struct {
	opts    Options
	buckets *Buckets
	// shares holds this instance's share of the rate limits, which applies while the owner does not answer.
	shares  *Buckets
	outcome *prometheus.CounterVec

	mu            sync.Mutex
	ownerFailedAt map[machine.Ref]time.Time
}

// New returns a Limiter and registers its metrics.
func New(opts Options) *Limiter {
	l := &Limiter{
		opts: opts, buckets: NewBuckets(), shares: NewShares(), ownerFailedAt: map[machine.Ref]time.Time{},
		outcome: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadasill_rate_limited_requests_total",
			Help: "Requests to back ends with a rate limit. The owner of the limit or this instance's share decides."},
			[]string{"outcome", "decided_by"}),
	}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(l.outcome)
	}
	return l
}

// Acquire returns nil when a request may be sent to b, at once if b has no rate limit. It waits for maxWait at most, and
// returns *ExceededError if that is too short.
func (l *Limiter) Acquire(ctx context.Context, b *backends.Backend, maxWait time.Duration) error {
	for {
		perSecond := b.RateLimit()
		if perSecond <= 0 {
			return nil
		}
		now, askedAt := time.Now(), timing.SinceBoot()
		if wait := b.ThrottledUntil().Sub(now); wait > maxWait {
			return &ExceededError{Backend: b.ID, RetryAfter: wait}
		}
		delay, granted, err := l.reserve(ctx, b, perSecond, maxWait)
		if err != nil {
			return err
		}
		if !granted {
			b.Throttle(now.Add(delay))
			return &ExceededError{Backend: b.ID, RetryAfter: delay}
		}
		if delay > 0 && !timing.Sleep(ctx, delay) {
			return ctx.Err()
		}
		if timing.SinceBoot()-askedAt <= delay+permitLifetime {
			return nil
		}
	}
}

// reserve takes a token from the owner of b's bucket, or from this instance's share if the owner does not answer.
func (l *Limiter) reserve(
	ctx context.Context, b *backends.Backend, perSecond float64, maxWait time.Duration,
) (delay time.Duration, granted bool, err error) {
	key := Key{Backend: b.ID, StartedUnixMs: b.StartedUnixMs}
	decidedBy := "owner"
	owner := l.opts.Instances.Owner(b.ID, b.Zone)
	switch {
	case owner.Ref() == l.opts.Self:
		delay, granted = l.buckets.Reserve(time.Now(), key, perSecond, maxWait)
	case l.backoff(owner.Ref()) > 0:
		err = errOwnerSilent
	default:
		delay, granted, err = l.ask(ctx, owner, &request{Key: key, PerSecond: perSecond, MaxWait: maxWait})
	}
	if err != nil {
		if ctx.Err() != nil {
			return 0, false, ctx.Err()
		}
		decidedBy = "share"
		share := perSecond / float64(max(1, l.opts.Instances.Count()))
		if delay, granted = l.shares.Reserve(time.Now(), key, share, maxWait); !granted {
			delay = min(delay, l.backoff(owner.Ref())) // then the owner may permit more than the share
		}
	}
	outcome := "sent"
	if !granted {
		outcome = "exceeded"
	}
	l.outcome.WithLabelValues(outcome, decidedBy).Inc()
	return delay, granted, nil
}

// errOwnerSilent reports an owner that has recently not answered.
var errOwnerSilent = errors.New("the owner of the rate limit has not answered recently")

// backoff returns the time until an owner that has not answered is asked again, or 0.
func (l *Limiter) backoff(owner machine.Ref) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, ownerBackoff-time.Since(l.ownerFailedAt[owner]))
}

// request asks the owner of a bucket for a token.
type request struct {
	Key       Key           `cbor:"1,keyasint"`
	PerSecond float64       `cbor:"2,keyasint"`
	MaxWait   time.Duration `cbor:"3,keyasint"`
}

// response is the owner's answer.
type response struct {
	Delay   time.Duration `cbor:"1,keyasint"`
	Granted bool          `cbor:"2,keyasint"`
}

// ask sends a request to the owner of a bucket.
func (l *Limiter) ask(ctx context.Context, owner machine.Instance, r *request) (time.Duration, bool, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return 0, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	data, err := l.opts.Caller.Call(ctx, owner, link.CauseRateLimit, Method, payload)
	var answer response
	if err == nil {
		err = cbor.Unmarshal(data, &answer)
	}
	if err != nil {
		l.recordFailure(owner.Ref(), err)
		return 0, false, err
	}
	return answer.Delay, answer.Granted, nil
}

// recordFailure records a failed call to an owner.
func (l *Limiter) recordFailure(owner machine.Ref, err error) {
	l.opts.Logger.Warn("owner of a rate limit did not answer", "peer", owner.String(), "err", err)
	l.mu.Lock()
	defer l.mu.Unlock()
	for ref, at := range l.ownerFailedAt {
		if time.Since(at) > ownerBackoff {
			delete(l.ownerFailedAt, ref)
		}
	}
	l.ownerFailedAt[owner] = time.Now()
}

// Handle handles Method: it reserves a token for another instance.
func (l *Limiter) Handle(_ context.Context, payload []byte) ([]byte, error) {
	var r request
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, fmt.Errorf("decode request for a token: %w", err)
	}
	var answer response
	answer.Delay, answer.Granted = l.buckets.Reserve(time.Now(), r.Key, r.PerSecond, r.MaxWait)
	return cbor.Marshal(&answer)
}
