package feed

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/lease"
	"github.com/cicadasill/cicadasill/release"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/timing"
)

// Append implements Feed. It then reads the log up to the new record, so that the state reflects
// the record unless that read fails. The error is a *platform.Error or an *Error that wraps one.
func (f *Follower) Append(ctx context.Context, rec control.Record) (int64, error) {
	data, err := rec.Encode()
	if err != nil {
		return 0, &Error{Code: Encoding, Err: err}
	}
	offset, err := f.append(ctx, control.Stream, data)
	if err != nil {
		return 0, err
	}
	if err := f.readThrough(ctx, offset); err != nil {
		f.opts.Logger.Debug("appended record not read back", "offset", offset, "err", err)
	}
	return offset, nil
}

// append appends data to a stream of the log, bounded by LogTimeout.
func (f *Follower) append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.LogTimeout)
	defer cancel()
	offset, err := f.log.Append(ctx, stream, data)
	f.recordLogContact(err == nil || platform.CodeOf(err) == platform.RateLimited)
	if err != nil {
		return 0, err
	}
	f.metrics.countBytes(viaLog, directionSent, len(data))
	return offset, nil
}

// AppendLease implements lease.Feed.
func (f *Follower) AppendLease(ctx context.Context, e lease.Entry) (int64, error) {
	switch {
	case e.Acquire != nil:
		return f.Append(ctx, control.Record{Kind: control.KindLeaseAcquired, Acquire: e.Acquire})
	case e.Renewal != nil:
		return f.Append(ctx, control.Record{Kind: control.KindLeaseRenewed, Renewal: e.Renewal})
	default:
		return f.Append(ctx, control.Record{Kind: control.KindLeaseReleased, Release: e.Release})
	}
}

// PublishNote implements Feed. If the answer to an append is lost, it reads the log before it
// appends again. A note that is in the log twice takes effect once, because the state remembers
// note ids.
func (f *Follower) PublishNote(ctx context.Context, n *release.Note) (release.Verdict, error) {
	ctx, span := f.tracer.Start(ctx, "feed.publish", trace.WithAttributes(attribute.String("note", n.ID)))
	defer span.End()
	var fieldErrs *release.FieldErrors
	if err := n.Validate(); errors.As(err, &fieldErrs) {
		return release.Verdict{Code: release.Invalid, Revision: f.State().Catalog.Revision(), Message: err.Error()}, nil
	}
	var verdict release.Verdict
	err := f.publish(ctx, control.Record{Kind: control.KindNote, Note: n}, func(s *control.State) bool {
		v, ok := s.Catalog.VerdictOf(n)
		verdict = v
		return ok
	})
	return verdict, err
}

// publish appends a record and retries until hasEffect reports that the state reflects it. It
// appends nothing if the state reflects it already, and retries only after it has read the log to
// its end.
func (f *Follower) publish(ctx context.Context, rec control.Record, hasEffect func(*control.State) bool) error {
	ctx, cancel := context.WithTimeout(ctx, f.opts.PublishTimeout)
	defer cancel()
	select {
	case <-f.ready:
	case <-ctx.Done():
		return &Error{Code: NotReady, Err: ctx.Err()}
	}
	mayHaveAppended := false
	for failures := 0; !hasEffect(f.State()); failures++ {
		offset, err := f.Append(ctx, rec)
		if err == nil {
			err = f.WaitOffset(ctx, offset)
			if err != nil {
				return &Error{Code: OutcomeUnknown, Err: err}
			}
			if !hasEffect(f.State()) {
				return &Error{Code: VerdictForgotten}
			}
			return nil
		}
		code := platform.CodeOf(err)
		if platform.HadNoEffect(err) && code != platform.RateLimited && !mayHaveAppended {
			return &Error{Code: LogUnavailable, Err: err}
		}
		mayHaveAppended = mayHaveAppended || !platform.HadNoEffect(err)
		if f.readBack(ctx, failures) {
			continue
		}
		if mayHaveAppended {
			return &Error{Code: OutcomeUnknown, Err: err}
		}
		return &Error{Code: LogUnavailable, Err: err}
	}
	return nil
}

// readBack reads the log to its end, with a delay before each attempt, until a read succeeds. It
// returns false if ctx is done first.
func (f *Follower) readBack(ctx context.Context, failures int) bool {
	for timing.Sleep(ctx, jittered(f.retryDelay(failures))) {
		if f.Sync(ctx) == nil {
			return true
		}
		failures++
	}
	return false
}

// AnnounceVersion implements Feed.
func (f *Follower) AnnounceVersion(ctx context.Context, service string, version int64, trainer string) error {
	rec := control.Record{Kind: control.KindVersionAnnounced,
		Version: &control.Version{Service: service, Version: version, Trainer: trainer}}
	return f.publishVersion(ctx, rec, func(s *control.State) bool { return s.Versions.Announced(service, version) })
}

// WithdrawVersion implements Feed.
func (f *Follower) WithdrawVersion(ctx context.Context, service string, version int64) error {
	rec := control.Record{Kind: control.KindVersionWithdrawn, Version: &control.Version{Service: service, Version: version}}
	return f.publishVersion(ctx, rec, func(s *control.State) bool { return s.Versions.Withdrawn(service, version) })
}

// publishVersion publishes a version record. It returns an error if the record cannot take effect.
func (f *Follower) publishVersion(ctx context.Context, rec control.Record, hasEffect func(*control.State) bool) error {
	var versionErr error
	v := *rec.Version
	if v.Version <= 0 {
		return &Error{Code: InvalidVersion}
	}
	if _, ok := f.State().Catalog.Service(v.Service); !ok {
		if err := f.Sync(ctx); err != nil {
			return &Error{Code: LogUnavailable, Err: err}
		}
	}
	err := f.publish(ctx, rec, func(s *control.State) bool {
		versionErr = checkVersion(s, v, rec.Kind)
		return versionErr != nil || hasEffect(s)
	})
	if err != nil {
		return err
	}
	return versionErr
}

// checkVersion returns an error if a version record cannot take effect in state s.
func checkVersion(s *control.State, v control.Version, kind control.Kind) error {
	_, exists := s.Catalog.Service(v.Service)
	switch {
	case !exists:
		return &Error{Code: UnknownService}
	case kind == control.KindVersionAnnounced && s.Versions.Withdrawn(v.Service, v.Version):
		return &Error{Code: VersionWithdrawn}
	default:
		return nil
	}
}
