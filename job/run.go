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

// Timeouts and delays of an item's attempts.
const (
	// firstEventTimeout is long enough for the wait in an engine's queue and one load of weights.
	firstEventTimeout = 2500 * time.Millisecond
	// eventTimeout is long enough for one load of weights between two events.
	eventTimeout = 1800 * time.Millisecond
	// refusalBackoff is how long an engine is avoided for a model after it refused an item of that model, unless its entry
	// tells of a new version before. Nearly all refusals come from engines that are loading weights; it is the time of one
	// load.
	refusalBackoff = 900 * time.Millisecond
	// configPollInterval is the time between the first two checks for the configuration of a job. It doubles up to
	// maxConfigPollInterval, because all items of the job may wait.
	configPollInterval    = 50 * time.Millisecond
	maxConfigPollInterval = 400 * time.Millisecond
)

// partialOutput is the output that an item has generated so far, over all its attempts.
type partialOutput struct {
	data      [][]byte
	lastEvent int64
	// writer is the service and software that has generated the output.
	writer         writer
	begunAt        *backends.Backend // where the output began; nil if another driver has stored it
	versions       []int64
	size           int       // bytes of data
	checkpointedAt time.Time // time of the last checkpoint, or of the item's start here
}

func (o *partialOutput) checkpoint() Checkpoint {
	return Checkpoint{
		LastEvent: o.lastEvent, Data: slices.Clip(o.data), Versions: slices.Clone(o.versions), Service: o.writer.service, Software: o.writer.software,
	}
}

// itemAttempt is the state of one attempt to run an item at an engine. It implements Receiver.
type itemAttempt struct {
	output        *partialOutput
	backend       *backends.Backend
	model         string
	minVersion    int64
	singleVersion bool
	maxOutput     int // bytes of data that can be listed
	silenceTimer  *time.Timer
	lastEventAt   time.Time
	lastSeen      int64 // id of the attempt's last event
	eventCount    int
	// mover looks for a faster engine; nil if the item may not move.
	mover *mover
	// repeated states that the engine has failed this item before, or that the attempt before met a silent connection.
	repeated bool
	// nextEngine is the engine at which the item resumes after *MovedError.
	nextEngine *backends.Backend
	// saveCheckpoint queues a checkpoint for an instance that takes the job over; nil if the item cannot
	// be resumed.
	saveCheckpoint func()
}

// errMixedVersions ends an attempt whose output would mix two weight versions although its route
// requires a single one.
var errMixedVersions = errors.New("the engine changed its weight version within the output")

// errTextTooLarge ends an attempt whose output exceeds a record of the store, so that it could not be listed.
var errTextTooLarge = errors.New("the output exceeds a record of the store")

// errRepeatedEvent ends an attempt whose event ids do not increase.
var errRepeatedEvent = errors.New("the event repeats an earlier one of the same stream")

// Started implements Receiver.
func (a *itemAttempt) Started(version int64) error {
	if version == 0 {
		return nil
	}
	a.backend.RecordVersion(a.model, version)
	if version < a.minVersion {
		return &OldVersionError{Version: version, MinVersion: a.minVersion}
	}
	return nil
}

// Event implements Receiver.
func (a *itemAttempt) Event(e Event) error {
	if e.ID <= a.lastSeen {
		return &BrokenError{Err: errRepeatedEvent}
	}
	a.lastSeen = e.ID
	now := time.Now()
	if !a.lastEventAt.IsZero() {
		a.backend.RecordEventInterval(now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
	a.eventCount++
	a.silenceTimer.Reset(eventTimeout)
	out := a.output
	if e.ID <= out.lastEvent {
		return nil // an engine may repeat events up to the one after which it resumes
	}
	if e.ID != out.lastEvent+1 {
		return &missingEventsError{want: out.lastEvent + 1, got: e.ID}
	}
	if e.Version < a.minVersion {
		return &OldVersionError{Version: e.Version, MinVersion: a.minVersion}
	}
	if out.lastEvent == 0 {
		out.writer, out.begunAt = writerOf(a.backend), a.backend
	}
	if !slices.Contains(out.versions, e.Version) {
		if a.singleVersion && len(out.versions) > 0 {
			return errMixedVersions
		}
		out.versions = append(out.versions, e.Version)
	}
	if out.size += len(e.Data) + 1; out.size > a.maxOutput {
		return errTextTooLarge
	}
	out.data = append(out.data, e.Data)
	out.lastEvent = e.ID
	if a.saveCheckpoint != nil && now.Sub(out.checkpointedAt) >= checkpointInterval {
		out.checkpointedAt = now
		a.saveCheckpoint()
	}
	if a.mover != nil {
		var moved *MovedError
		if a.nextEngine, moved = a.mover.poll(a.eventCount, out); moved != nil {
			return moved
		}
	}
	return nil
}

// missingEventsError reports that a stream skipped the event want.
type missingEventsError struct{ want, got int64 }

// Error implements error.
func (e *missingEventsError) Error() string { return "events missing from the stream" }

// reset discards the output, so that the next attempt starts from the beginning.
func (o *partialOutput) reset() {
	o.data, o.lastEvent, o.versions, o.size, o.writer, o.begunAt = nil, 0, nil, 0, writer{}, nil
}

// runItem generates the text of an item and obtains its score, until the item has a result or ctx ends. It
// reports whether the item has a result.
func (d *Driver) runItem(ctx context.Context, job *activeJob, itemIndex int) (Result, bool) {
	item := &job.items[itemIndex]
	stored := job.checkpoints[item.ID]
	out := &partialOutput{
		data: slices.Clip(stored.Data), lastEvent: stored.LastEvent, versions: slices.Clip(stored.Versions), size: stored.size(),
		writer: writer{stored.Service, stored.Software},
	}
	result := Result{Item: item.ID, State: Complete}
	if !stored.Complete {
		var done bool
		if result.State, done = d.generate(ctx, job, itemIndex, out); !done || result.State != Complete {
			return result, done
		}
	}
	if item.Reward != nil {
		var done bool
		if result.Score, done = d.score(ctx, job, item, out); !done {
			return Result{}, false
		}
		if result.Score == "" {
			return Result{Item: item.ID, State: Errored}, true
		}
	}
	result.Output, result.Versions = bytes.Join(out.data, []byte("\n")), out.versions
	return result, true
}

// generate generates the text of an item in as many attempts as it needs, until the text is whole, the item
// is given up or ctx ends. done is false if ctx has ended.
func (d *Driver) generate(ctx context.Context, job *activeJob, itemIndex int, out *partialOutput) (state State, done bool) {
	item := &job.items[itemIndex]
	resumed := out.lastEvent > 0
	failures, moves := 0, 0
	expected := d.durations.expectedRun(item.LengthEstimate)
	var excluded, nextEngine *backends.Backend
	failedAt := map[*backends.Backend]bool{}
	afterSilence := false // the last attempt may have met a silent connection
	var backoff retryBackoff
	defer func() {
		if nextEngine != nil {
			nextEngine.End()
		}
	}()
	for attemptNumber := 1; ; attemptNumber++ {
		place, ok := d.waitForRoute(ctx, job, item)
		if !ok {
			return Errored, ctx.Err() == nil
		}
		route, service := place.route, place.service
		if route.GiveUpAfter > 0 && job.isOlderThan(route.GiveUpAfter, time.Now()) {
			d.log.Info("item given up", "job", job.ID, "item", item.ID, "reason", "too old", "age", time.Since(job.AcceptedAt()),
				"known_for", time.Since(job.read.at), "attempts", attemptNumber-1)
			return Errored, true
		}
		if !route.Resumable {
			out.reset()
		}
		if d.isWriterDoubtful(out) {
			d.metrics.restarts.Inc()
			d.log.Info("text starts over", "job", job.ID, "item", item.ID, "software", out.writer.software, "events", out.lastEvent, "reason", "its software is doubtful")
			out.reset()
		}
		req := &engineRequest{
			order: queueOrder(queueTime(job.AcceptedAt()), expected, itemIndex), service: service, model: item.Model,
			group: string(job.ID) + item.Group, minVersion: job.MinVersion, expected: expected, excluded: excluded,
			idleConnUntil: job.AcceptedAt().Add(connWait(expected, job.longest)),
		}
		waitStart := time.Now()
		b := nextEngine
		nextEngine = nil
		if b != nil && b.Service != service { // the route now selects another service
			b.End()
			b = nil
		}
		b, err := d.awaitEngine(ctx, job, place, req, b, out)
		if ctx.Err() != nil {
			if err == nil {
				b.End()
			}
			return 0, false
		}
		if err != nil { // the configuration or the item's age has ended the wait
			continue
		}
		if b.Unavailable() { // since it was chosen
			b.End()
			continue
		}
		start := time.Now()
		d.metrics.wait.Observe(start.Sub(waitStart).Seconds())
		job.progress.start(itemIndex, start)
		a := &itemAttempt{output: out, backend: b, model: item.Model, minVersion: job.MinVersion, singleVersion: route.SingleVersion, repeated: failedAt[b] || afterSilence,
			maxOutput: maxOutputBytes(d.opts.Registry.opts.Limits, job.ID, item.ID)}
		if route.Resumable {
			a.mover = &mover{
				placer: d.placer, backend: b, request: *req, submitted: job.AcceptedAt(), itemIndex: itemIndex,
				singleVersion: route.SingleVersion, longest: d.durations.longest, leavesOnly: moves >= maxMoves,
			}
		}
		err = d.runAttempt(ctx, job, item, route, a)
		if closesConnection(err) {
			b.EndClosed()
		} else {
			b.End()
		}
		nextEngine = a.nextEngine
		if err == nil {
			ran := time.Since(start)
			d.metrics.run.Observe(ran.Seconds())
			if attemptNumber == 1 && !resumed {
				d.durations.observe(item.LengthEstimate, ran)
			}
			return Complete, true
		}
		if ctx.Err() != nil {
			return 0, false
		}
		var stale *StaleIndexError
		if errors.As(err, &stale) { // the item was not sent, which says nothing about the engine
			d.log.Info("item withheld", "job", job.ID, "item", item.ID, "backend", b.ID, "index_age", stale.Age)
			continue
		}
		var moved *MovedError
		if errors.As(err, &moved) {
			d.metrics.moves.Inc()
		} else {
			d.metrics.retries.Inc()
		}
		d.log.Info("item attempt ended", "job", job.ID, "item", item.ID, "attempt", attemptNumber, "backend", b.ID,
			"events", out.lastEvent, "waited", start.Sub(waitStart), "ran", time.Since(start), "err", err)
		excluded = b
		var broken *BrokenError
		afterSilence = errors.Is(err, errSilent) || (errors.As(err, &broken) && broken.SilentConn)
		var failed *FailedError
		if errors.As(err, &failed) {
			failures++
			failedAt[b] = true
			if failed.Impossible || failures >= max(1, route.Attempts) {
				return Errored, true
			}
		}
		switch {
		case errors.Is(err, errMixedVersions), errors.Is(err, errTextTooLarge), errors.Is(err, ErrNoMemory):
			out.reset()
		case moved != nil:
			moves++
			continue
		}
		timing.Sleep(ctx, backoff.next(err))
	}
}

// awaitEngine is acquireWriter for an item that may be sent at once: the index is fresh. It also fails once the configuration places the
// item otherwise, or the item may be given up.
func (d *Driver) awaitEngine(ctx context.Context, job *activeJob, place placement, req *engineRequest, first *backends.Backend, out *partialOutput) (*backends.Backend, error) {
	ctx, done := d.waits.begin(ctx, job.giveUpAt(place.route), place)
	defer done()
	b, err := d.acquireWriter(ctx, req, first, out)
	if err != nil {
		return nil, err
	}
	if !d.awaitFreshIndex(ctx) {
		b.End()
		return nil, ctx.Err()
	}
	return b, nil
}

// acquireEngine returns an engine that has a free slot for the request and whose rate limit allows a request: first, unless
// that is nil, or else the one that the placer chooses. It fails only if ctx ends. The caller must call End on the engine.
func (d *Driver) acquireEngine(ctx context.Context, req *engineRequest, first *backends.Backend) (*backends.Backend, error) {
	for b := first; ; b = nil {
		if b == nil {
			var err error
			if b, err = d.placer.acquire(ctx, req); err != nil {
				return nil, err
			}
		}
		if err := d.opts.RateLimits.Acquire(ctx, b, 0); err == nil {
			return b, nil
		}
		b.End()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// closesConnection reports whether an attempt with this outcome has closed its connection: all that end
// within the engine's answer do.
func closesConnection(err error) bool {
	var (
		notRun *NotRunError
		failed *FailedError
	)
	return err != nil && !errors.As(err, &notRun) && !errors.As(err, &failed)
}

// waitForRoute returns where an item runs by the newest configuration. It waits while
// this instance has no configuration, or has no route for the item in one that is older than the job's. It returns
// false if a newer one has no route for the item or ctx ends.
func (d *Driver) waitForRoute(ctx context.Context, job *activeJob, item *Item) (placement, bool) {
	for interval := configPollInterval; ; interval = min(2*interval, maxConfigPollInterval) {
		if config := d.opts.Config(); config != nil {
			if route, ok := config.Match(job.Host, item.Path); ok {
				return placement{config: config, host: job.Host, path: item.Path, id: item.ID, route: route, service: route.ServiceFor(item.ID)}, true
			}
			if config.Version >= job.ConfigVersion {
				d.log.Info("item given up", "job", job.ID, "item", item.ID, "reason", "no route", "config", config.Version)
				return placement{}, false
			}
		}
		if !timing.Sleep(ctx, interval) {
			return placement{}, false
		}
	}
}

// runAttempt runs an item at one engine and updates the engine's health by the outcome.
func (d *Driver) runAttempt(jobCtx context.Context, job *activeJob, item *Item, route *routes.Route, a *itemAttempt) error {
	b, out := a.backend, a.output
	whole, err := item.whole()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(jobCtx)
	defer cancel(nil)
	timer := time.AfterFunc(firstEventTimeout, func() { cancel(errSilent) })
	defer timer.Stop()
	if out.checkpointedAt.IsZero() {
		out.checkpointedAt = time.Now()
	}
	a.silenceTimer = timer
	if route.GiveUpAfter > 0 {
		limit := time.AfterFunc(time.Until(job.giveUpAt(route)), func() { cancel(errTooOld) })
		defer limit.Stop()
	}
	if a.mover != nil {
		defer a.mover.cancel()
	}
	if route.Resumable {
		a.saveCheckpoint = func() {
			if !d.isWriterDoubtful(out) {
				d.opts.Registry.queueCheckpoint(&job.Summary, item.ID, out.checkpoint())
			}
		}
	}
	err = d.opts.Engine.Generate(ctx, b, Call{
		Host: job.Host, Item: whole, Account: job.Account, After: out.lastEvent, Repeated: a.repeated, Permit: d.permit(jobCtx),
	}, a)
	var (
		notRun     *NotRunError
		broken     *BrokenError
		oldVersion *OldVersionError
	)
	switch {
	case err == nil:
		b.RecordSuccess()
	case errors.Is(err, errTextTooLarge):
		b.RecordFailure()
	case errors.As(err, &notRun), errors.As(err, &oldVersion):
		b.RecordLoading(item.Model, refusalBackoff)
	case errors.As(err, &broken):
		if cause := context.Cause(ctx); cause != nil {
			err = &BrokenError{Err: cause, SilentConn: broken.SilentConn}
		}
		if jobCtx.Err() == nil && !broken.SilentConn && !errors.Is(err, ErrNoMemory) && !b.Unavailable() {
			b.RecordFailure()
		}
	}
	return err
}

// errTooOld ends an attempt of an item that may be given up.
var errTooOld = errors.New("the item may be given up")

// errSilent ends an attempt at an engine that has sent no event within its timeout.
var errSilent = errors.New("the engine sent nothing for too long")
