// Package relay gives an instance access to the platform's store through a peer instance while its
// direct calls fail. The store checks the condition of an append whichever instance sends it, so a
// call that is repeated through a peer cannot take effect twice.
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

// Method is the name under which instances call each other's Handle.
const Method = "store"

// Timing and limits of relayed calls.
const (
	// directBackoff is how long direct calls are suspended after one failed.
	directBackoff = 1500 * time.Millisecond
	// peerBackoff is how long a peer is not used after a call through it failed.
	peerBackoff = 500 * time.Millisecond
	// peerCallTimeout bounds a call through a peer, not counting the time that a read waits for records. A peer may have to
	// repeat a read on a new connection.
	peerCallTimeout = 1400 * time.Millisecond
	// maxPeers is the maximum number of peers tried for one call: if two peers do not reach the store,
	// it is taken to be down.
	maxPeers = 2
)

// Caller sends calls to other instances and returns their responses.
type Caller interface {
	Call(ctx context.Context, to machine.Instance, cause link.Cause, method string, payload []byte) ([]byte, error)
}

// Options configure a Log.
type Options struct {
	// Direct calls the store without a peer.
	Direct changelog.Log
	Caller Caller
	// Peers returns the live instances, the nearest first.
	Peers      func() []machine.Instance
	Logger     *log.Logger
	Registerer prometheus.Registerer
}

// Log is a changelog.Log that calls the store directly and, while direct calls fail, through peers.
type Log struct {
	opts    Options
	relayed *prometheus.CounterVec

	mu               sync.Mutex // guards the fields below
	directRetryAt    time.Time  // no direct call before this time; zero while direct calls work
	lastDirectResult time.Time  // when the store last completed a direct call
	peerFailedAt     map[string]time.Time
}

// New returns a Log and registers its metrics.
func New(opts Options) *Log {
	l := &Log{
		opts: opts, peerFailedAt: map[string]time.Time{},
		relayed: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadasill_store_calls_relayed_total",
			Help: "Store calls sent through another instance."}, []string{"outcome"}),
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

// request is a store call as it is sent to a peer.
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
	outcomeDone     = "done"
	outcomeConflict = "conflict"
	outcomeTrimmed  = "trimmed"
	outcomeNotDone  = "not_done"
	outcomeUnknown  = "unknown"
)

// response is the outcome of a store call as a peer returns it.
type response struct {
	Outcome string             `cbor:"1,keyasint"`
	Records []changelog.Record `cbor:"2,keyasint"`
	End     int64              `cbor:"3,keyasint"`
	First   int64              `cbor:"4,keyasint"`
	More    bool               `cbor:"5,keyasint"`
	Message string             `cbor:"6,keyasint"`
	// Rejected states that the store never accepts the append.
	Rejected bool `cbor:"7,keyasint,omitempty"`
}

// RemoteError is the failure of a relayed call as the peer reported it.
type RemoteError struct{ Message string }

// Error implements error.
func (e *RemoteError) Error() string { return "peer reported: " + e.Message }

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

// call calls the store directly, or through peers if the direct call fails. While direct calls are
// suspended, it tries peers first and the store directly if none of them reaches it.
func (l *Log) call(ctx context.Context, r *request) (response, error) {
	tryDirect := l.allowDirect()
	var directErr error
	if tryDirect {
		resp, err := l.callDirect(ctx, r)
		var silent *changelog.SilentConnectionError
		if isFinal(r, err) || ctx.Err() != nil || (r.Wait > 0 && errors.As(err, &silent)) {
			return resp, err
		}
		directErr = err
		if r.Wait > 0 {
			again := *r
			again.Wait = 0 // it has passed
			r = &again
		}
	}
	lastErr := error(&changelog.NotDoneError{Call: r.Op, Err: errDirectCallFailed})
	for _, peer := range l.selectPeers() {
		resp, err := l.callPeer(ctx, peer, r)
		if err == nil || isStoreResult(err) {
			l.relayed.WithLabelValues("answered").Inc()
			return resp, err
		}
		l.recordPeerFailure(peer)
		l.relayed.WithLabelValues("failed").Inc()
		if isFinal(r, err) || ctx.Err() != nil {
			return resp, err
		}
		lastErr = err
	}
	if tryDirect {
		return response{}, errors.Join(directErr, lastErr) // the peers' failures don't tell why this instance's call failed
	}
	return l.callDirect(ctx, r)
}

// callDirect executes a call on the store and records whether the store completed it. A connection that has gone silent does
// not count: the store may be reached on a new one.
func (l *Log) callDirect(ctx context.Context, r *request) (response, error) {
	start := time.Now()
	resp, err := execute(ctx, l.opts.Direct, r)
	var silent *changelog.SilentConnectionError
	if err == nil || isStoreResult(err) || (ctx.Err() == nil && !errors.As(err, &silent)) {
		l.recordDirect(err == nil || isStoreResult(err), start)
	}
	return resp, err
}

// isFinal reports whether a call must not be repeated on another path: the store has completed it, or
// it is an append of unknown outcome, which must be read back first.
func isFinal(r *request, err error) bool {
	return err == nil || isStoreResult(err) || (r.Op == opAppend && !isNotDone(err))
}

// errDirectCallFailed is the cause of a failure if a recent direct call failed and no peer was tried.
var errDirectCallFailed = errors.New("a recent direct call to the store failed")

// isStoreResult reports whether err is the store's result for a completed call, as opposed to a refusal
// or a failure to reach the store.
func isStoreResult(err error) bool {
	var (
		c *changelog.ConflictError
		t *changelog.TrimmedError
	)
	return errors.As(err, &c) || errors.As(err, &t) || isRejected(err)
}

// isRejected reports whether the store never accepts an append.
func isRejected(err error) bool {
	var rejected *changelog.RejectedError
	return errors.As(err, &rejected)
}

func isNotDone(err error) bool {
	var n *changelog.NotDoneError
	return errors.As(err, &n)
}

// allowDirect reports whether a call may go to the store directly. While direct calls are suspended, it
// allows one call per directBackoff as a probe.
func (l *Log) allowDirect() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Before(l.directRetryAt) {
		return false
	}
	if !l.directRetryAt.IsZero() {
		l.directRetryAt = now.Add(directBackoff) // the other calls keep using peers meanwhile
	}
	return true
}

// recordDirect records whether the store completed a direct call that began at start. A failure counts
// only if the store has completed no other call since start: a single lost response does not mean that
// the store is unreachable.
func (l *Log) recordDirect(completed bool, start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !completed && l.lastDirectResult.After(start) {
		return
	}
	if completed != l.directRetryAt.IsZero() {
		l.opts.Logger.Info("direct access to the store changed", "answers", completed)
	}
	if completed {
		l.directRetryAt, l.lastDirectResult = time.Time{}, time.Now()
		return
	}
	l.directRetryAt = time.Now().Add(directBackoff)
}

// recordPeerFailure suspends the use of a peer for peerBackoff.
func (l *Log) recordPeerFailure(peer machine.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peerFailedAt[peer.ID] = time.Now()
}

// selectPeers returns the nearest peers that have not failed within peerBackoff, at most maxPeers.
func (l *Log) selectPeers() []machine.Instance {
	peers := l.opts.Peers()
	l.mu.Lock()
	defer l.mu.Unlock()
	var selected []machine.Instance
	for _, p := range peers {
		if len(selected) < maxPeers && time.Since(l.peerFailedAt[p.ID]) > peerBackoff {
			selected = append(selected, p)
		}
	}
	return selected
}

// callPeer executes a call through a peer. It fails with *changelog.NotDoneError only if the call
// certainly had no effect.
func (l *Log) callPeer(ctx context.Context, peer machine.Instance, r *request) (response, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return response{}, &changelog.NotDoneError{Call: r.Op, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout+r.Wait)
	defer cancel()
	data, err := l.opts.Caller.Call(ctx, peer, link.CauseStore, Method, payload)
	if err != nil {
		var e *link.Error
		if errors.As(err, &e) && e.NotRun() {
			return response{}, &changelog.NotDoneError{Call: r.Op, Err: err}
		}
		return response{}, &changelog.UnknownError{Call: r.Op, Err: err}
	}
	var resp response
	if err := cbor.Unmarshal(data, &resp); err != nil {
		return response{}, &changelog.UnknownError{Call: r.Op, Err: err}
	}
	return resp, resp.toError(r)
}

// toError returns the error that corresponds to the outcome, or nil.
func (resp *response) toError(r *request) error {
	switch resp.Outcome {
	case outcomeDone:
		return nil
	case outcomeConflict:
		return &changelog.ConflictError{Partition: r.Partition, End: resp.End}
	case outcomeTrimmed:
		return &changelog.TrimmedError{Partition: r.Partition, First: resp.First}
	case outcomeNotDone:
		err := error(&RemoteError{Message: resp.Message})
		if resp.Rejected {
			err = &changelog.RejectedError{Partition: r.Partition, Err: err}
		}
		return &changelog.NotDoneError{Call: r.Op, Err: err}
	default:
		return &changelog.UnknownError{Call: r.Op, Err: &RemoteError{Message: resp.Message}}
	}
}

// Handle handles Method: it executes a peer's call on the store. It refuses the call at once while this
// instance's direct calls fail as well.
func (l *Log) Handle(ctx context.Context, payload []byte) ([]byte, error) {
	var r request
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, fmt.Errorf("decode relayed store call: %w", err)
	}
	if !l.directAvailable() {
		var refusal response
		refusal.setOutcome(&changelog.NotDoneError{Call: r.Op, Err: errDirectCallFailed})
		return cbor.Marshal(refusal)
	}
	resp, err := l.callDirect(ctx, &r)
	resp.setOutcome(err)
	return cbor.Marshal(resp)
}

// directAvailable reports whether direct calls are not suspended.
func (l *Log) directAvailable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.directRetryAt.IsZero()
}

// setOutcome sets the outcome that corresponds to err, with its details.
func (resp *response) setOutcome(err error) {
	var (
		c *changelog.ConflictError
		t *changelog.TrimmedError
	)
	switch {
	case err == nil:
		resp.Outcome = outcomeDone
	case errors.As(err, &c):
		resp.Outcome, resp.End = outcomeConflict, c.End
	case errors.As(err, &t):
		resp.Outcome, resp.First = outcomeTrimmed, t.First
	case isNotDone(err):
		resp.Outcome, resp.Message, resp.Rejected = outcomeNotDone, err.Error(), isRejected(err)
	default:
		resp.Outcome, resp.Message = outcomeUnknown, err.Error()
	}
}

// execute executes a call on a store.
func execute(ctx context.Context, store changelog.Log, r *request) (response, error) {
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
