package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/limit"
	"github.com/cicadasill/cicadasill/origin"
	"github.com/cicadasill/cicadasill/routes"
)

// Streams that clients take up.
//
// A stream goes on only at the software version that began it. Where that is not known, or no back end of it takes requests, the
// request is refused at once: it has not run, and any other back end would append a text that does not fit.

// Origins knows where the streams of clients began.
type Origins interface {
	// Record records where the stream of an attempt began, in the background.
	Record(account, attempt string, o origin.Origin)
	// Find returns where the stream of an attempt began, and false if there is no record of it.
	Find(ctx context.Context, account, attempt string) (origin.Origin, bool, error)
}

// runDoubt is the time after which the entry of a process that took the place of another one has been read, where back ends write about
// once a second. A stream that began earlier was begun by the process that its back end's entry then named.
const runDoubt = 1500 * time.Millisecond

// maxEntriesAge is the age up to which entries tell which process is in a back end's place. Instances in touch with the store read them
// several times within runDoubt.
const maxEntriesAge = runDoubt

// Outcomes of requests that take streams up, in metrics.
const (
	takeUpContinued     = "continued"
	takeUpUnknown       = "unknown"
	takeUpUnreadable    = "unreadable"
	takeUpOldEntries    = "old_entries"
	takeUpDoubtful      = "doubtful"
	takeUpOtherService  = "other_service"
	takeUpNoBackend     = "no_back_end"
	takeUpOtherSoftware = "other_software"
)

// Causes of refused take-ups.
var (
	errOriginUnknown      = errors.New("it is not known at which software version the stream began")
	errOldEntries         = errors.New("the entries of the back ends are too old to tell which software serves where")
	errOriginOtherService = errors.New("the route no longer leads to the service that began the stream")
)

// RunReplacedError reports that another process has taken the place of the back end that was to go on with a stream.
type RunReplacedError struct{ Backend string }

// Error implements error.
func (e *RunReplacedError) Error() string {
	return fmt.Sprintf("another process has taken the place of back end %s", e.Backend)
}

// DoubtfulOriginError reports a stream whose software version is not certain yet.
type DoubtfulOriginError struct {
	// CertainIn is about the time until it is.
	CertainIn time.Duration
}

// Error implements error.
func (e *DoubtfulOriginError) Error() string {
	return fmt.Sprintf("the stream began at an instance with old entries; its software version is certain in %v", e.CertainIn)
}

// newTakeUps returns the counter of requests that take streams up.
func newTakeUps() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadasill_stream_take_ups_total",
		Help: "Requests of clients that go on with a stream: continued, or refused because its software version is not known or has no back end."},
		[]string{"outcome"})
}

// countTakeUp counts the outcome of a request if it takes a stream up.
func (f *Forwarder) countTakeUp(r *Request, outcome string) {
	if r.TakesUp {
		f.takeUps.WithLabelValues(outcome).Inc()
	}
}

// originOf returns the service of a streaming request and, if it takes a stream up, the software version that must go on with it.
func (f *Forwarder) originOf(ctx context.Context, route *routes.Route, r *Request) (origin.Origin, *RefusedError) {
	if !r.TakesUp {
		return origin.Origin{Service: route.ServiceFor(r.ID)}, nil
	}
	began, outcome, err := f.findOrigin(ctx, route, r)
	if err != nil {
		f.countTakeUp(r, outcome)
		f.opts.Logger.Info("stream not taken up", "request", r.ID, "resumes", r.Resumes, "route", route.Name, "err", err)
		after := queueDrainTime
		var doubtful *DoubtfulOriginError
		if errors.As(err, &doubtful) {
			after = max(after, doubtful.CertainIn)
		}
		return origin.Origin{}, &RefusedError{RetryAfter: limit.RetryAfter(after), Err: err}
	}
	r.Permit = f.permitTakeUp(r.Permit)
	return began, nil
}

// findOrigin implements originOf for a request that takes a stream up. outcome names an error in metrics.
func (f *Forwarder) findOrigin(ctx context.Context, route *routes.Route, r *Request) (began origin.Origin, outcome string, err error) {
	if r.Resumes == "" || f.opts.Origins == nil {
		return began, takeUpUnknown, errOriginUnknown
	}
	if f.hasOldEntries() {
		return began, takeUpOldEntries, errOldEntries
	}
	began, found, err := f.opts.Origins.Find(ctx, r.Account, r.Resumes)
	switch {
	case err != nil:
		return began, takeUpUnreadable, err
	case !found || began.Software == "":
		return began, takeUpUnknown, errOriginUnknown
	case !slices.ContainsFunc(route.Shares, func(s routes.Share) bool { return s.Service == began.Service }):
		return began, takeUpOtherService, errOriginOtherService
	}
	if err := f.checkDoubtful(began); err != nil {
		return began, takeUpDoubtful, err
	}
	return began, "", nil
}

// checkDoubtful returns nil unless the software version of a stream is in doubt: it began at an instance with old entries, and this instance
// does not know by entries of its own which process was in the back end's place.
func (f *Forwarder) checkDoubtful(began origin.Origin) error {
	if !began.Doubtful {
		return nil
	}
	age := f.entriesAge() // before the entries are asked, which may be read meanwhile
	if current, known := f.opts.Backends.Backend(began.Backend); known && current.Software != began.Software {
		return errOriginUnknown
	}
	if wait := runDoubt - began.KnownFor + age; wait > 0 {
		return &DoubtfulOriginError{CertainIn: wait}
	}
	return nil
}

// entriesAge returns the time since which entries may have changed unnoticed, at most an hour.
func (f *Forwarder) entriesAge() time.Duration {
	if f.opts.EntriesAge == nil {
		return 0
	}
	return min(f.opts.EntriesAge(), time.Hour)
}

// hasOldEntries reports whether this instance is out of step: its entries do not tell which process is in a back end's place.
func (f *Forwarder) hasOldEntries() bool { return f.entriesAge() > maxEntriesAge }

// permitTakeUp returns a permission that also withholds a request that takes a stream up if the entries have grown old since the back end
// was chosen, as they have after a freeze.
func (f *Forwarder) permitTakeUp(permit func() error) func() error {
	return func() error {
		if f.hasOldEntries() {
			return errOldEntries
		}
		if permit != nil {
			return permit()
		}
		return nil
	}
}

// recordOrigin records that a stream has begun at b, before its first event reaches the client. If another process with other software
// is known in the place of b by then, or once entries have been read after runDoubt, the version is unknown. A request that takes a stream
// up fails then, if it is known in time, and if the entries are too old to know.
func (f *Forwarder) recordOrigin(route *routes.Route, r *Request, b *backends.Backend, status int) error {
	if f.opts.Origins == nil || status/100 != http.StatusOK/100 {
		return nil
	}
	doubtful := f.hasOldEntries() // before the entries are asked, which may be read meanwhile
	if f.isReplaced(b) {
		f.countTakeUp(r, takeUpOtherSoftware)
		if r.TakesUp {
			return &RunReplacedError{Backend: b.ID}
		}
		return nil // it stays unknown
	}
	if r.TakesUp && doubtful {
		f.countTakeUp(r, takeUpOldEntries)
		return errOldEntries
	}
	f.countTakeUp(r, takeUpContinued)
	if b.Software == "" || !route.Resumable {
		return nil
	}
	o := origin.Origin{Service: b.Service, Software: b.Software, Keep: origin.DefaultKeep, Backend: b.ID, Doubtful: doubtful}
	if !r.Deadline.IsZero() {
		o.Keep = time.Until(r.Deadline) + origin.KeepMargin
	}
	f.opts.Origins.Record(r.Account, r.ID, o)
	begunAt := time.Now()
	time.AfterFunc(runDoubt, func() { f.confirmOrigin(r, b, o, begunAt) })
	return nil
}

// confirmInterval is the time between two checks whether entries have been read.
const confirmInterval = 250 * time.Millisecond

// confirmOrigin corrects the record of a stream that began at a moment, once entries have been read that show which process was in the place
// of b then. It gives up when the record is no longer kept.
func (f *Forwarder) confirmOrigin(r *Request, b *backends.Backend, o origin.Origin, begunAt time.Time) {
	elapsed, age := time.Since(begunAt), f.entriesAge() // before the entries are asked, which may be read meanwhile
	switch {
	case f.isReplaced(b):
		o.Software = ""
	case elapsed-age >= runDoubt:
		if !o.Doubtful {
			return
		}
		o.Doubtful = false
	case elapsed < o.Keep:
		time.AfterFunc(confirmInterval, func() { f.confirmOrigin(r, b, o, begunAt) })
		return
	default:
		return
	}
	f.opts.Origins.Record(r.Account, r.ID, o)
}

// isReplaced reports whether another process with other software has taken the place of b.
func (f *Forwarder) isReplaced(b *backends.Backend) bool {
	current, known := f.opts.Backends.Backend(b.ID)
	return known && current.Software != b.Software
}
