package relay

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/telemetry"
)

var partition = changelog.Partition{Topic: "t"}

// fakeStore counts calls and returns the same response or error to each.
type fakeStore struct {
	err   error
	calls int
	waits []time.Duration
}

func (f *fakeStore) Append(context.Context, changelog.Partition, []changelog.Record, int64) (int64, error) {
	f.calls++
	return 7, f.err
}

func (f *fakeStore) Read(_ context.Context, _ changelog.Partition, _ int64, wait time.Duration) (changelog.Batch, error) {
	f.calls++
	f.waits = append(f.waits, wait)
	return changelog.Batch{End: 7, Records: []changelog.Record{{Offset: 6, Key: "k", Value: []byte("v")}}}, f.err
}

func (f *fakeStore) Newest(context.Context, changelog.Partition, string) (changelog.Page, error) {
	f.calls++
	return changelog.Page{End: 7, More: true}, f.err
}

// peerCaller passes calls to the handler of one peer, or fails them with err.
type peerCaller struct {
	handler link.Handler
	err     error
}

func (p peerCaller) Call(ctx context.Context, _ machine.Instance, _ link.Cause, _ string, payload []byte) ([]byte, error) {
	if p.err != nil {
		return nil, p.err
	}
	return p.handler(ctx, payload)
}

// newLog returns a Log with one peer. Calls to the peer fail with callErr if it is set.
func newLog(direct, peer *fakeStore, callErr error) *Log {
	remote := New(Options{Direct: peer, Peers: func() []machine.Instance { return nil }, Logger: telemetry.Discard()})
	return New(Options{
		Direct: direct, Caller: peerCaller{handler: remote.Handle, err: callErr},
		Peers:  func() []machine.Instance { return []machine.Instance{{ID: "peer"}} },
		Logger: telemetry.Discard(),
	})
}

var (
	errRefused    = &changelog.NotDoneError{Call: "append", Err: errors.New("busy")}
	errNoResponse = &changelog.UnknownError{Call: "append", Err: errors.New("no answer")}
)

// Guards against an instance that cannot make progress because the store refuses its direct calls.
func TestCallsGoThroughAPeer(t *testing.T) {
	is := is.New(t)
	direct, peer := &fakeStore{err: errRefused}, &fakeStore{}
	l := newLog(direct, peer, nil)
	for range 3 {
		end, err := l.Append(context.Background(), partition, []changelog.Record{{Key: "k"}}, 6)
		is.NoErr(err)
		is.Equal(end, int64(7))
	}
	batch, err := l.Read(context.Background(), partition, 6, 0)
	is.NoErr(err)
	is.Equal(batch.Records, []changelog.Record{{Offset: 6, Key: "k", Value: []byte("v")}})
	page, err := l.Newest(context.Background(), partition, "")
	is.NoErr(err)
	is.True(page.More)
	is.Equal(direct.calls, 1) // direct calls are suspended after the first one
	is.Equal(peer.calls, 5)
}

// Guards against repeating an append of unknown outcome through a peer: it must be read back first. A
// read may be repeated.
func TestUnknownOutcomeIsNotRepeated(t *testing.T) {
	is := is.New(t)
	direct, peer := &fakeStore{err: errNoResponse}, &fakeStore{}
	l := newLog(direct, peer, nil)
	_, err := l.Append(context.Background(), partition, nil, 6)
	var unknown *changelog.UnknownError
	is.True(errors.As(err, &unknown))
	is.Equal(peer.calls, 0)
	_, err = l.Read(context.Background(), partition, 6, 0)
	is.NoErr(err)
	is.Equal(peer.calls, 1)
}

// Guards against reporting an append as not done if the connection to the peer broke after the call
// was sent.
func TestBrokenExchangeIsUnknown(t *testing.T) {
	for code, wantUnknown := range map[link.Code]bool{link.NotSent: false, link.Unknown: true} {
		t.Run(string(code), func(t *testing.T) {
			is := is.New(t)
			l := newLog(&fakeStore{err: errRefused}, &fakeStore{}, &link.Error{Code: code})
			_, err := l.Append(context.Background(), partition, nil, 6)
			var unknown *changelog.UnknownError
			is.Equal(errors.As(err, &unknown), wantUnknown)
		})
	}
}

// Guards against losing the type and the values of the store's errors on the way through a peer.
func TestStoreErrorsKeepTheirTypes(t *testing.T) {
	is := is.New(t)
	conflictErr := &changelog.ConflictError{Partition: partition, End: 9}
	l := newLog(&fakeStore{err: errRefused}, &fakeStore{err: conflictErr}, nil)
	_, err := l.Append(context.Background(), partition, nil, 6)
	var c *changelog.ConflictError
	is.True(errors.As(err, &c))
	is.Equal(c.End, int64(9))
	trimmedErr := &changelog.TrimmedError{Partition: partition, First: 5}
	l = newLog(&fakeStore{err: errRefused}, &fakeStore{err: trimmedErr}, nil)
	_, err = l.Read(context.Background(), partition, 6, 0)
	var tr *changelog.TrimmedError
	is.True(errors.As(err, &tr))
	is.Equal(tr.First, int64(5))
}

// Guards against calls that wait for peers, or for the end of the backoff, when the store recovers
// from an outage that all instances have noticed.
func TestDirectCallWhenNoPeerReachesStore(t *testing.T) {
	is := is.New(t)
	direct, peer := &fakeStore{err: errRefused}, &fakeStore{err: errRefused}
	l := newLog(direct, peer, nil)
	_, err := l.Read(context.Background(), partition, 6, 0)
	is.True(err != nil)
	direct.err = nil
	_, err = l.Read(context.Background(), partition, 6, 0)
	is.NoErr(err)
	is.Equal(peer.calls, 1) // a peer that has noticed the outage refuses without a store call
}

// Guards against suspending direct calls because one response was slow or lost while the store
// responds to other calls.
func TestSingleLostResponseKeepsDirectAccess(t *testing.T) {
	is := is.New(t)
	l := newLog(&fakeStore{}, &fakeStore{}, nil)
	before := time.Now()
	l.recordDirect(true, before)
	l.recordDirect(false, before)
	is.True(l.directAvailable())
	l.recordDirect(false, time.Now())
	is.True(!l.directAvailable())
}

// Guards against an instance that sends its store calls through peers, because one of its own connections has gone silent.
func TestSilentConnectionSuspendsNoDirectCalls(t *testing.T) {
	is := is.New(t)
	silent := &changelog.UnknownError{Call: "append", Err: &changelog.SilentConnectionError{Err: context.DeadlineExceeded}}
	direct, peer := &fakeStore{err: silent}, &fakeStore{}
	l := newLog(direct, peer, nil)
	_, err := l.Append(context.Background(), partition, []changelog.Record{{Key: "k"}}, 6)
	is.True(errors.As(err, new(*changelog.UnknownError)))
	direct.err = nil
	_, err = l.Append(context.Background(), partition, []changelog.Record{{Key: "k"}}, 6)
	is.NoErr(err)
	is.Equal(direct.calls, 2)
	is.Equal(peer.calls, 0)
}

// Guards against a read that waits for records twice, first directly and then through a peer, so that a silence lasts longer.
func TestReadWaitsOnce(t *testing.T) {
	is := is.New(t)
	direct, peer := &fakeStore{err: context.DeadlineExceeded}, &fakeStore{}
	l := newLog(direct, peer, nil)
	_, err := l.Read(context.Background(), partition, 6, time.Second)
	is.NoErr(err)
	is.Equal(direct.waits, []time.Duration{time.Second})
	is.Equal(peer.waits, []time.Duration{0})

	direct, peer = &fakeStore{err: &changelog.SilentConnectionError{Err: context.DeadlineExceeded}}, &fakeStore{}
	l = newLog(direct, peer, nil)
	_, err = l.Read(context.Background(), partition, 6, time.Second)
	is.True(errors.As(err, new(*changelog.SilentConnectionError))) // the caller repeats it directly
	is.Equal(peer.calls, 0)
}

// Guards against an append that the store never accepts and that is offered to it again through other instances, or repeated without end.
func TestRejectedAppendIsFinalOnEachWay(t *testing.T) {
	is := is.New(t)
	rejection := &changelog.NotDoneError{Call: "append", Err: &changelog.RejectedError{Partition: partition, Err: errors.New("too large")}}
	direct, peer := &fakeStore{err: rejection}, &fakeStore{err: rejection}
	_, err := newLog(direct, peer, nil).Append(context.Background(), partition, nil, changelog.Unconditional)
	var rejected *changelog.RejectedError
	is.True(errors.As(err, &rejected))
	is.Equal([]int{direct.calls, peer.calls}, []int{1, 0})

	direct.err = errors.New("not reached")
	_, err = newLog(direct, peer, nil).Append(context.Background(), partition, nil, changelog.Unconditional)
	is.True(err != nil) // unknown: the direct call may have taken effect

	direct.err = &changelog.NotDoneError{Call: "append", Err: errors.New("not reached")}
	_, err = newLog(direct, peer, nil).Append(context.Background(), partition, nil, changelog.Unconditional)
	is.True(errors.As(err, &rejected))
	is.Equal(peer.calls, 1)
}
