// Package relay reaches the store through another instance when the store does not answer this
// one. Conditions on appends hold wherever an append comes from, so a call that was repeated
// through a peer cannot take effect twice.
package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
)

// Method is the name of the exchange between instances.
const Method = "store"

// Times of the relay.
const (
	// directPause is how long the store is not asked directly after it has failed to answer.
	directPause = 1500 * time.Millisecond
	// peerPause is how long a peer is not asked after it has failed.
	peerPause = 500 * time.Millisecond
	// callTimeout bounds a call through a peer besides its wait for records.
	callTimeout = 1200 * time.Millisecond
	// maxPeers bounds the peers that are asked for one call: if two do not reach the store, it is down.
	maxPeers = 2
)

// Caller exchanges messages with other instances.
type Caller interface {
	Call(ctx context.Context, to machine.Instance, cause link.Cause, method string, payload []byte) ([]byte, error)
}

// Options configure a Log.
type Options struct {
	Direct changelog.Log
	Caller Caller
	// Peers returns the living instances, the nearest first.
	Peers      func() []machine.Instance
	Logger     *log.Logger
	Registerer prometheus.Registerer
}

// Log is a changelog.Log that asks the store directly and, while that fails, through peers.
type Log struct {
	opts    Options
	relayed *prometheus.CounterVec

	mu     sync.Mutex // guards the fields below
	until  time.Time  // no direct calls before
	okAt   time.Time  // last answer to a direct call
	failed map[string]time.Time
}

// New returns a log.
func New(opts Options) *Log {
	l := &Log{
		opts: opts, failed: map[string]time.Time{},
		relayed: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadasill_store_calls_relayed_total",
			Help: "Calls of the store that went through another instance."}, []string{"outcome"}),
	}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(l.relayed)
	}
	return l
}

// Operations of a relayed call.
const (
	opAppend = "append"
	opRead   = "read"
	opNewest = "newest"
)

// request is a call of the store.
type request struct {
	Op        string              `cbor:"1,keyasint"`
	Partition changelog.Partition `cbor:"2,keyasint"`
	Records   []changelog.Record  `cbor:"3,keyasint"`
	ExpectEnd int64               `cbor:"4,keyasint"`
	From      int64               `cbor:"5,keyasint"`
	Wait      time.Duration       `cbor:"6,keyasint"`
	After     string              `cbor:"7,keyasint"`
}

// Outcomes of a relayed call.
const (
	done     = "done"
	conflict = "conflict"
	trimmed  = "trimmed"
	notDone  = "not_done"
	unknown  = "unknown"
)

// response is the outcome of a call of the store.
type response struct {
	Outcome string             `cbor:"1,keyasint"`
	Records []changelog.Record `cbor:"2,keyasint"`
	End     int64              `cbor:"3,keyasint"`
	First   int64              `cbor:"4,keyasint"`
	More    bool               `cbor:"5,keyasint"`
	Message string             `cbor:"6,keyasint"`
}

// RemoteError is what a peer says of a call that failed.
type RemoteError struct{ Message string }

// Error implements error.
func (e *RemoteError) Error() string { return "through a peer: " + e.Message }

// Append implements changelog.Log.
func (l *Log) Append(ctx context.Context, p changelog.Partition, records []changelog.Record, expectEnd int64) (int64, error) {
	r, err := l.call(ctx, &request{Op: opAppend, Partition: p, Records: records, ExpectEnd: expectEnd})
	return r.End, err
}

// Read implements changelog.Log.
func (l *Log) Read(ctx context.Context, p changelog.Partition, from int64, wait time.Duration) (changelog.Batch, error) {
	r, err := l.call(ctx, &request{Op: opRead, Partition: p, From: from, Wait: wait})
	return changelog.Batch{Records: r.Records, End: r.End, First: r.First}, err
}

// Newest implements changelog.Log.
func (l *Log) Newest(ctx context.Context, p changelog.Partition, after string) (changelog.Page, error) {
	r, err := l.call(ctx, &request{Op: opNewest, Partition: p, After: after})
	return changelog.Page{Records: r.Records, End: r.End, More: r.More}, err
}

// call asks the store directly. While that fails it asks through peers first, and directly again
// if none of them reaches the store.
func (l *Log) call(ctx context.Context, r *request) (response, error) {
	direct := l.mayAskDirectly()
	if direct {
		answer, err := l.askDirectly(ctx, r)
		if final(r, err) || ctx.Err() != nil {
			return answer, err
		}
	}
	lastErr := error(&changelog.NotDoneError{Call: r.Op, Err: errPaused})
	for _, peer := range l.peersToAsk() {
		answer, err := l.ask(ctx, peer, r)
		if err == nil || answered(err) {
			l.relayed.WithLabelValues("answered").Inc()
			return answer, err
		}
		l.notePeer(peer)
		l.relayed.WithLabelValues("failed").Inc()
		if final(r, err) || ctx.Err() != nil {
			return answer, err
		}
		lastErr = err
	}
	if direct {
		return response{}, lastErr
	}
	return l.askDirectly(ctx, r)
}

// askDirectly performs a call and notes whether the store has answered.
func (l *Log) askDirectly(ctx context.Context, r *request) (response, error) {
	start := time.Now()
	answer, err := perform(ctx, l.opts.Direct, r)
	if err == nil || answered(err) || ctx.Err() == nil {
		l.noteDirect(err == nil || answered(err), start)
	}
	return answer, err
}

// final reports whether a call must not be repeated elsewhere: it was answered, or it is an append
// whose outcome must be read back first.
func final(r *request, err error) bool {
	return err == nil || answered(err) || (r.Op == opAppend && !isNotDone(err))
}

// errPaused is the cause while the store is not asked directly and no peer reaches it.
var errPaused = errors.New("the store has just failed to answer")

// answered reports whether an error is an answer of the store to the call.
func answered(err error) bool {
	var (
		c *changelog.ConflictError
		t *changelog.TrimmedError
	)
	return errors.As(err, &c) || errors.As(err, &t)
}

func isNotDone(err error) bool {
	var n *changelog.NotDoneError
	return errors.As(err, &n)
}

func (l *Log) mayAskDirectly() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Before(l.until) {
		return false
	}
	if !l.until.IsZero() {
		l.until = now.Add(directPause) // one call tries; the others go on through peers
	}
	return true
}

// noteDirect takes the outcome of a direct call that began at start. A failure counts only if no
// other call has been answered since: a single lost answer is no loss of access.
func (l *Log) noteDirect(ok bool, start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok && l.okAt.After(start) {
		return
	}
	if ok != l.until.IsZero() {
		l.opts.Logger.Info("direct access to the store changed", "answers", ok)
	}
	if ok {
		l.until, l.okAt = time.Time{}, time.Now()
		return
	}
	l.until = time.Now().Add(directPause)
}

func (l *Log) notePeer(peer machine.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed[peer.ID] = time.Now()
}

func (l *Log) peersToAsk() []machine.Instance {
	peers := l.opts.Peers()
	l.mu.Lock()
	defer l.mu.Unlock()
	var ask []machine.Instance
	for _, p := range peers {
		if len(ask) < maxPeers && time.Since(l.failed[p.ID]) > peerPause {
			ask = append(ask, p)
		}
	}
	return ask
}

// ask performs a call through a peer.
func (l *Log) ask(ctx context.Context, peer machine.Instance, r *request) (response, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return response{}, &changelog.NotDoneError{Call: r.Op, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+r.Wait)
	defer cancel()
	data, err := l.opts.Caller.Call(ctx, peer, link.CauseStore, Method, payload)
	if err != nil {
		var e *link.Error
		if errors.As(err, &e) && e.NotRun() {
			return response{}, &changelog.NotDoneError{Call: r.Op, Err: err}
		}
		return response{}, &changelog.UnknownError{Call: r.Op, Err: err}
	}
	var answer response
	if err := cbor.Unmarshal(data, &answer); err != nil {
		return response{}, &changelog.UnknownError{Call: r.Op, Err: err}
	}
	return answer, answer.err(r)
}

// err returns the error that an outcome stands for.
func (a *response) err(r *request) error {
	switch a.Outcome {
	case done:
		return nil
	case conflict:
		return &changelog.ConflictError{Partition: r.Partition, End: a.End}
	case trimmed:
		return &changelog.TrimmedError{Partition: r.Partition, First: a.First}
	case notDone:
		return &changelog.NotDoneError{Call: r.Op, Err: &RemoteError{Message: a.Message}}
	default:
		return &changelog.UnknownError{Call: r.Op, Err: &RemoteError{Message: a.Message}}
	}
}

// Handle is the handler of Method: it performs calls of peers on the store. It refuses them at
// once while the store does not answer this instance either.
func (l *Log) Handle(ctx context.Context, payload []byte) ([]byte, error) {
	var r request
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, fmt.Errorf("relayed call: %w", err)
	}
	if !l.answers() {
		var refusal response
		refusal.describe(&changelog.NotDoneError{Call: r.Op, Err: errPaused})
		return cbor.Marshal(refusal)
	}
	answer, err := l.askDirectly(ctx, &r)
	answer.describe(err)
	return cbor.Marshal(answer)
}

// answers reports whether the store has answered the latest direct call.
func (l *Log) answers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until.IsZero()
}

// describe sets the outcome for an error.
func (a *response) describe(err error) {
	var (
		c *changelog.ConflictError
		t *changelog.TrimmedError
	)
	switch {
	case err == nil:
		a.Outcome = done
	case errors.As(err, &c):
		a.Outcome, a.End = conflict, c.End
	case errors.As(err, &t):
		a.Outcome, a.First = trimmed, t.First
	case isNotDone(err):
		a.Outcome, a.Message = notDone, err.Error()
	default:
		a.Outcome, a.Message = unknown, err.Error()
	}
}

// perform carries a call out.
func perform(ctx context.Context, store changelog.Log, r *request) (response, error) {
	switch r.Op {
	case opAppend:
		end, err := store.Append(ctx, r.Partition, r.Records, r.ExpectEnd)
		return response{End: end}, err
	case opRead:
		b, err := store.Read(ctx, r.Partition, r.From, r.Wait)
		return response{Records: b.Records, End: b.End, First: b.First}, err
	case opNewest:
		p, err := store.Newest(ctx, r.Partition, r.After)
		return response{Records: p.Records, End: p.End, More: p.More}, err
	default:
		return response{}, &changelog.NotDoneError{Call: r.Op, Err: errors.ErrUnsupported}
	}
}
