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

// Append implements Feed. It reads the log up to the new record, so that the effect shows in
// the state unless the log fails in between. The error is a *platform.Error or an *Error that
// wraps one.
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
		f.opts.Logger.Debug("own record not read back", "offset", offset, "err", err)
	}
	return offset, nil
}

// append is one bounded append.
func (f *Follower) append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.LogTimeout)
	defer cancel()
	offset, err := f.log.Append(ctx, stream, data)
	f.noteContact(err == nil || platform.CodeOf(err) == platform.RateLimited)
	if err != nil {
		return 0, err
	}
	f.metrics.count(viaLog, directionUp, len(data))
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

// PublishNote implements Feed. After a lost answer it reads the log before it appends again;
// a note that reaches the log twice has one effect, since the fold knows its id.
func (f *Follower) PublishNote(ctx context.Context, n *release.Note) (release.Verdict, error) {
	ctx, span := f.tracer.Start(ctx, "feed.publish", trace.WithAttributes(attribute.String("note", n.ID)))
	defer span.End()
	var mistakes *release.FieldErrors
	if err := n.Validate(); errors.As(err, &mistakes) {
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

// publish appends a record until done says that the state shows its effect.
func (f *Follower) publish(ctx context.Context, rec control.Record, done func(*control.State) bool) error {
	ctx, cancel := context.WithTimeout(ctx, f.opts.PublishTimeout)
	defer cancel()
	select {
	case <-f.ready:
	case <-ctx.Done():
		return &Error{Code: NotReady, Err: ctx.Err()}
	}
	uncertain := false
	for failures := 0; !done(f.State()); failures++ {
		offset, err := f.Append(ctx, rec)
		if err == nil {
			err = f.WaitOffset(ctx, offset)
			if err != nil {
				return &Error{Code: OutcomeUnknown, Err: err}
			}
			if !done(f.State()) {
				return &Error{Code: VerdictForgotten}
			}
			return nil
		}
		code := platform.CodeOf(err)
		if platform.HadNoEffect(err) && code != platform.RateLimited && !uncertain {
			return &Error{Code: LogUnavailable, Err: err}
		}
		uncertain = uncertain || !platform.HadNoEffect(err)
		if f.readBack(ctx, failures) {
			continue
		}
		if uncertain {
			return &Error{Code: OutcomeUnknown, Err: err}
		}
		return &Error{Code: LogUnavailable, Err: err}
	}
	return nil
}

// readBack reads the log to its end, after a delay, until it succeeds. It reports false when
// ctx ends before.
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

// publishVersion publishes a version record unless the state shows that it cannot take effect.
func (f *Follower) publishVersion(ctx context.Context, rec control.Record, shown func(*control.State) bool) error {
	var refusal error
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
		refusal = versionRefusal(s, v, rec.Kind)
		return refusal != nil || shown(s)
	})
	if err != nil {
		return err
	}
	return refusal
}

// versionRefusal says why a version record cannot take effect.
func versionRefusal(s *control.State, v control.Version, kind control.Kind) error {
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
