package job

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/routes"
	"github.com/cicadasill/cicadasill/timing"
)

// Times of an item's run.
const (
	// firstEventTimeout covers the wait in an engine's queue and a load of weights.
	firstEventTimeout = 2500 * time.Millisecond
	// eventTimeout covers a load of weights between two events.
	eventTimeout = 1800 * time.Millisecond
	// refusalPause is how long an engine is avoided for a model whose item it refused. Most
	// refusals come from engines that load weights, which takes about a second.
	refusalPause = 350 * time.Millisecond
	// brokenPause spaces the attempts of an item that fails everywhere.
	brokenPause = 20 * time.Millisecond
	// routePause spaces the looks for a configuration that is not there yet.
	routePause = 50 * time.Millisecond
)

// text is what an item has generated so far.
type text struct {
	data     [][]byte
	last     int64
	versions []int64
	keptAt   time.Time // when the text began or was last kept
}

func (t *text) part() Part {
	return Part{Last: t.last, Data: slices.Clip(t.data), Versions: slices.Clone(t.versions)}
}

// run is one attempt; it implements Receiver.
type run struct {
	text    *text
	backend *backends.Backend
	model   string
	least   int64
	single  bool
	timer   *time.Timer
	eventAt time.Time
	events  int
	// place looks for a faster engine; nil for texts that stay where they are.
	place *place
	// next is the engine at which the text goes on after *MovedError.
	next *backends.Backend
	// keep stores the text for another driver; nil for texts that cannot be resumed.
	keep func()
}

// errMixedVersions ends an attempt whose text must not have two versions.
var errMixedVersions = errors.New("the engine changed its version within the text")

// Started implements Receiver.
func (r *run) Started(version int64) error {
	if version == 0 {
		return nil
	}
	r.backend.Loaded(r.model, version)
	if version < r.least {
		return &OldVersionError{Version: version, Least: r.least}
	}
	return nil
}

// Event implements Receiver.
func (r *run) Event(e Event) error {
	now := time.Now()
	if !r.eventAt.IsZero() {
		r.backend.Paced(now.Sub(r.eventAt))
	}
	r.eventAt = now
	r.events++
	r.timer.Reset(eventTimeout)
	t := r.text
	if e.ID <= t.last {
		return nil // an engine may repeat what it was asked to go on after
	}
	if e.ID != t.last+1 {
		return &gapError{want: t.last + 1, got: e.ID}
	}
	if e.Version < r.least {
		return &OldVersionError{Version: e.Version, Least: r.least}
	}
	if !slices.Contains(t.versions, e.Version) {
		if r.single && len(t.versions) > 0 {
			return errMixedVersions
		}
		t.versions = append(t.versions, e.Version)
	}
	t.data = append(t.data, e.Data)
	t.last = e.ID
	if r.keep != nil && now.Sub(t.keptAt) >= partPeriod {
		t.keptAt = now
		r.keep()
	}
	if r.place != nil {
		var moved *MovedError
		if r.next, moved = r.place.next(r.events, t); moved != nil {
			return moved
		}
	}
	return nil
}

// gapError reports a missing event.
type gapError struct{ want, got int64 }

// Error implements error.
func (e *gapError) Error() string { return "events missing from the stream" }

func (t *text) reset() {
	t.data, t.last, t.versions = nil, 0, nil
}

// runItem runs an item until it has a result or ctx ends.
func (d *Driver) runItem(ctx context.Context, job *driven, at int) (Result, bool) {
	item := &job.items[at]
	begun := job.parts[item.ID]
	t := &text{data: slices.Clip(begun.Data), last: begun.Last, versions: slices.Clip(begun.Versions)}
	failures, moves := 0, 0
	expected := d.lengths.expect(item.LengthEstimate)
	var except, next *backends.Backend
	defer func() {
		if next != nil {
			next.End()
		}
	}()
	for attempt := 1; ; attempt++ {
		route, service, ok := d.routeOf(ctx, job, item)
		if !ok {
			return Result{Item: item.ID, State: Errored}, ctx.Err() == nil
		}
		if age := time.Since(job.SubmittedAt()); route.Keep > 0 && age > route.Keep {
			d.log.Info("item given up", "job", job.ID, "item", item.ID, "reason", "too old", "age", age, "attempts", attempt-1)
			return Result{Item: item.ID, State: Errored}, true
		}
		if !route.Resumable {
			t.reset()
		}
		w := &want{
			order: orderOf(job.SubmittedMs, expected, at), service: service, model: item.Model,
			group: string(job.ID) + item.Group, minVersion: job.MinVersion, expected: expected, except: except,
		}
		waitFrom := time.Now()
		b := next
		next = nil
		if b != nil && b.Service != service { // the route has moved
			b.End()
			b = nil
		}
		if b == nil {
			var err error
			if b, err = d.placer.acquire(ctx, w); err != nil {
				return Result{}, false
			}
		}
		start := time.Now()
		d.metrics.wait.Observe(start.Sub(waitFrom).Seconds())
		r := &run{text: t, backend: b, model: item.Model, least: job.MinVersion, single: route.SingleVersion}
		if route.Resumable && moves < maxMoves {
			r.place = &place{
				placer: d.placer, backend: b, template: *w, submitted: job.SubmittedAt(), at: at,
				single: route.SingleVersion, longest: d.lengths.longest,
			}
		}
		err := d.attempt(ctx, job, item, route, r)
		b.End()
		next = r.next
		if err == nil {
			ran := time.Since(start)
			d.metrics.run.Observe(ran.Seconds())
			if attempt == 1 && begun.Last == 0 {
				d.lengths.observe(item.LengthEstimate, ran)
			}
			return Result{Item: item.ID, State: Complete, Output: bytes.Join(t.data, []byte("\n")), Versions: t.versions}, true
		}
		if ctx.Err() != nil {
			return Result{}, false
		}
		var moved *MovedError
		if errors.As(err, &moved) {
			d.metrics.moves.Inc()
		} else {
			d.metrics.retries.Inc()
		}
		d.log.Info("item attempt ended", "job", job.ID, "item", item.ID, "attempt", attempt, "backend", b.ID,
			"events", t.last, "waited", start.Sub(waitFrom), "ran", time.Since(start), "err", err)
		except = b
		var failed *FailedError
		if errors.As(err, &failed) {
			failures++
			if failed.Impossible || failures >= max(1, route.Attempts) {
				return Result{Item: item.ID, State: Errored}, true
			}
		}
		switch {
		case errors.Is(err, errMixedVersions):
			t.reset()
		case moved != nil:
			moves++
			continue
		}
		timing.Sleep(ctx, brokenPause)
	}
}

// routeOf returns the route and service of an item in the newest configuration. It waits while
// this instance has none; it returns false when the route has been removed.
func (d *Driver) routeOf(ctx context.Context, job *driven, item *Item) (*routes.Route, string, bool) {
	for {
		config := d.opts.Config()
		if config == nil {
			if !timing.Sleep(ctx, routePause) {
				return nil, "", false
			}
			continue
		}
		route, ok := config.Match(job.Host, item.Path)
		if !ok {
			d.log.Info("item given up", "job", job.ID, "item", item.ID, "reason", "no route", "config", config.Version)
			return nil, "", false
		}
		return route, route.ServiceFor(item.ID), true
	}
}

// attempt runs an item at one engine and judges the engine by the outcome.
func (d *Driver) attempt(ctx context.Context, job *driven, item *Item, route *routes.Route, r *run) error {
	b, t := r.backend, r.text
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(firstEventTimeout, func() { cancel(errSilent) })
	defer timer.Stop()
	if t.keptAt.IsZero() {
		t.keptAt = time.Now()
	}
	r.timer = timer
	if r.place != nil {
		defer r.place.leave()
	}
	if route.Resumable {
		r.keep = func() { d.opts.Registry.keep(&job.Summary, item.ID, t.part()) }
	}
	err := d.opts.Engine.Generate(ctx, b, Call{Host: job.Host, Item: item, After: t.last}, r)
	var (
		notRun *NotRunError
		broken *BrokenError
		old    *OldVersionError
	)
	switch {
	case err == nil:
		b.Succeeded()
	case errors.As(err, &notRun), errors.As(err, &old):
		b.Loading(item.Model, refusalPause)
	case errors.As(err, &broken):
		if cause := context.Cause(ctx); cause != nil {
			err = &BrokenError{Err: cause}
		}
		if !b.Gone() {
			b.Failed()
		}
	}
	return err
}

// errSilent ends an attempt at an engine that sends nothing.
var errSilent = errors.New("the engine sent nothing for too long")
