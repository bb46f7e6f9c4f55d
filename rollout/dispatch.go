package rollout

import (
	"container/heap"
	"context"
	"math"
	"time"

	"github.com/google/uuid"

	"github.com/cicadasill/cicadasill/contract"
)

// longFactor is the ratio of the predicted length to the service's mean above which a sample counts as
// long.
const longFactor = 2.0

// dispatch starts pending samples until no slot or no engine is available.
func (st *step) dispatch(ctx context.Context) {
	st.srv.slots.setPending(st.key, st.canStart())
	defer func() {
		st.srv.slots.setPending(st.key, st.canStart())
		st.srv.wakeLaterSteps(st)
	}()
	for ctx.Err() == nil && st.canStart() {
		svc, ok := st.service()
		if !ok || svc.Rollout == nil {
			return
		}
		s := st.popPending()
		if s == nil {
			return
		}
		if !st.srv.slots.tryAcquire(svc, st.key.trainer) {
			st.requeue(s)
			return
		}
		pick, err := st.pickEngine(ctx, svc, s)
		if err != nil {
			st.srv.slots.release(st.key.service, st.key.trainer)
			st.requeue(s)
			return
		}
		st.startAttempt(ctx, s, pick, nil, false)
	}
}

// canStart reports whether st has pending samples that may start now. A step that the trainer takes
// from may always start samples. A later step waits until no earlier step has samples to start, and
// until its samples will still be within the soft lag when the trainer reaches the step.
func (st *step) canStart() bool {
	svc, ok := st.service()
	if !ok || svc.Rollout == nil || !st.hasPending() {
		return false
	}
	ahead, blocked := st.versionsAhead()
	return !blocked && ahead <= softLag(svc.Rollout)
}

// versionsAhead returns by how many versions the trainer will have advanced when it reaches st, one for
// each step that it trains on first, and whether an earlier step has samples to start.
func (st *step) versionsAhead() (versions int64, blocked bool) {
	if st.isActive() {
		return 0, false
	}
	others := st.srv.otherSteps(st)
	current, active := int64(-1), false
	for _, o := range others {
		if o.isActive() {
			current, active = max(current, o.key.step), true
		}
	}
	for _, o := range others {
		// Steps before the one that the trainer takes from were abandoned without an acknowledgement.
		if o.key.step < st.key.step && o.key.step >= current {
			versions++
			blocked = blocked || o.hasPending()
		}
	}
	if !active {
		versions++ // the trainer is training on a step that it has acknowledged
	}
	return versions, blocked
}

// popPending removes and returns the first pending sample whose backoff has ended, nil if there is
// none.
func (st *step) popPending() *sample {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := st.srv.now()
	var notYetDue []pendingItem
	defer func() {
		for _, item := range notYetDue {
			heap.Push(&st.pending, item)
		}
	}()
	for len(st.pending) > 0 {
		item := heap.Pop(&st.pending).(pendingItem)
		s := item.sample
		if s.heldByTrainer || s.result != nil || s.unscored != nil || len(s.running) > 0 {
			s.queued = false
			continue
		}
		if now.Before(s.retryAt) {
			notYetDue = append(notYetDue, item)
			continue
		}
		s.queued = false
		return s
	}
	return nil
}

// requeue returns a sample that could not be started to the pending heap.
func (st *step) requeue(s *sample) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if s.queued || s.heldByTrainer || len(s.running) > 0 || s.result != nil || s.unscored != nil {
		return
	}
	s.queued = true
	st.pushPending(s)
}

// pickEngine chooses an engine for s. It avoids the engine whose attempt failed last and, for long and
// parked samples, slow engines, unless no other engine is available. Versions beyond the soft lag are
// accepted only once engines have had time to load newer ones; versions beyond MaxVersionLag never are.
func (st *step) pickEngine(ctx context.Context, svc *contract.Service, s *sample) (Pick, error) {
	ahead, _ := st.versionsAhead()
	st.mu.Lock()
	expected := st.expectedVersion(svc)
	exclude := append([]string(nil), s.excludedEngines...)
	group, skipPrefixCache, parked := s.group, s.skipPrefixCache, s.parked
	minVersions := []int64{st.softMinVersion(svc, ahead)}
	if hardMinVersion := max(0, expected-svc.Rollout.MaxVersionLag); hardMinVersion < minVersions[0] && !st.mayAwaitNewVersion() {
		minVersions = append(minVersions, hardMinVersion)
	}
	st.mu.Unlock()
	if (parked || st.isLong(group)) && !st.srv.opts.NoMoves {
		exclude = append(exclude, st.srv.speeds.forService(st.key.service, st.srv.now()).slow(moveRatio)...)
	}
	req := PickRequest{Service: svc, PrefixID: group.PrefixID, Prompt: group.Prompt, MaxTokens: group.MaxTokens}
	if skipPrefixCache {
		req.PrefixID = ""
	}
	var err error
	for _, minVersion := range minVersions {
		for _, excluded := range [][]string{exclude, nil} {
			req.MinVersion, req.Exclude = minVersion, excluded
			var pick Pick
			if pick, err = st.srv.opts.Picker.Pick(ctx, req); err == nil {
				return pick, nil
			}
		}
	}
	return Pick{}, err
}

// softMinVersion returns the oldest version with which a sample is still within the soft lag when the
// trainer, which will have advanced by ahead versions, takes it. Called with mu held.
func (st *step) softMinVersion(svc *contract.Service, ahead int64) int64 {
	lag := softLag(svc.Rollout)
	return max(0, st.expectedVersion(svc)+min(ahead, lag)-lag)
}

// isLong reports whether the samples of g are predicted to be far longer than the service's mean.
func (st *step) isLong(g *Group) bool {
	mean := st.srv.lengths.serviceMean(st.key.service)
	return mean > 0 && st.srv.lengths.predict(st.key.service, g, 0) > longFactor*mean
}

// softLag returns the lag that a service tolerates before it prefers to restart a sample: 0 with an
// idle weight of 0, MaxVersionLag with an idle weight of 1.
func softLag(t *contract.RolloutTerms) int64 {
	return int64(math.Round(t.IdleWeight * float64(t.MaxVersionLag)))
}

// startAttempt starts an attempt for s on pick. If original is set, the new attempt is a second one
// that continues from original's progress: a move, which ends original at its own first event, or a
// hedge. If s needs no attempt any more, the pick and the slot are released.
func (st *step) startAttempt(ctx context.Context, s *sample, pick Pick, original *attempt, move bool) {
	st.mu.Lock()
	unneeded := st.closed || s.heldByTrainer || s.result != nil || s.unscored != nil
	if original == nil {
		unneeded = unneeded || len(s.running) > 0
	} else {
		unneeded = unneeded || original.aborted || len(s.running) != 1 || s.running[0] != original
	}
	if unneeded {
		st.mu.Unlock()
		pick.Done(0, 0, context.Canceled)
		st.srv.slots.release(st.key.service, st.key.trainer)
		return
	}
	actx, cancel := context.WithCancel(ctx)
	a := &attempt{
		id: uuid.NewString(), sample: s, startCount: s.startCount, pick: pick, cancel: cancel,
		startedAt: st.srv.now(), progress: &progress{}, skipPrefixCache: s.skipPrefixCache,
	}
	switch {
	case original != nil:
		a.progress = original.progress.clone()
		if move {
			a.replaces = original
		}
		if v := st.srv.reportedVersion(pick); v != 0 && v == original.version {
			a.kvFrom, a.kvRequest = original.pick.Backend.Addr, original.id
		}
	case s.resumeFrom != nil:
		a.progress = s.resumeFrom.clone()
	}
	s.predictedLength = st.srv.lengths.predict(st.key.service, s.group, 0)
	s.running = append(s.running, a)
	st.mu.Unlock()
	st.wg.Go(func() { st.runAttempt(actx, a) })
}

// runAttempt generates on one engine, reports the outcome to the picker and the step, and scores a
// complete sequence.
func (st *step) runAttempt(ctx context.Context, a *attempt) {
	defer a.cancel()
	gauge := st.srv.metrics.inFlight.WithLabelValues(st.key.service)
	gauge.Inc()
	began := time.Now()
	err := st.streamWithTimeouts(ctx, a)
	gauge.Dec()
	a.pick.Done(time.Since(began), a.newTokens, pickerError(ctx, a, err))
	st.srv.slots.release(st.key.service, st.key.trainer)
	st.srv.wakeSteps(st.key.service)
	if p := st.finishAttempt(a, err); p != nil {
		st.scoreSample(a.sample, p)
	}
}
