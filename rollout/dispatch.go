package rollout

import (
	"container/heap"
	"context"
	"math"
	"time"

	"github.com/google/uuid"

	"github.com/cicadasill/cicadasill/contract"
)

// longFactor marks a sample as long when its prediction is this many times the service's mean.
const longFactor = 2.0

// dispatch starts pending samples until slots or engines are exhausted.
func (st *step) dispatch(ctx context.Context) {
	st.srv.slots.want(st.key, st.startable())
	defer func() {
		st.srv.slots.want(st.key, st.startable())
		st.srv.wakeNext(st)
	}()
	for ctx.Err() == nil && st.startable() {
		svc, ok := st.service()
		if !ok || svc.Rollout == nil {
			return
		}
		s := st.next()
		if s == nil {
			return
		}
		if !st.srv.slots.tryAcquire(svc, st.key.trainer) {
			st.putBack(s)
			return
		}
		pick, err := st.pick(ctx, svc, s)
		if err != nil {
			st.srv.slots.release(st.key.service, st.key.trainer)
			st.putBack(s)
			return
		}
		st.launch(ctx, s, pick, nil, false)
	}
}

// startable reports whether samples wait and may start now. They may in a step that the trainer takes
// from. A later step waits until no step before it has a sample to start, and until its samples would
// not be beyond the tolerated lag when the trainer comes to them.
func (st *step) startable() bool {
	svc, ok := st.service()
	if !ok || svc.Rollout == nil || !st.hasPending() {
		return false
	}
	ahead, waits := st.ahead()
	return !waits && ahead <= softLag(svc.Rollout)
}

// ahead returns how many versions the trainer will have moved on until it comes to st, one for each
// step that it trains on before, and whether a step before st has samples to start.
func (st *step) ahead() (versions int64, waits bool) {
	if st.isTaken() {
		return 0, false
	}
	siblings := st.srv.siblings(st)
	current, taking := int64(-1), false
	for _, o := range siblings {
		if o.isTaken() {
			current, taking = max(current, o.key.step), true
		}
	}
	for _, o := range siblings {
		// A step before the one that the trainer takes from was given up without an acknowledgement.
		if o.key.step < st.key.step && o.key.step >= current {
			versions++
			waits = waits || o.hasPending()
		}
	}
	if !taking {
		versions++ // the trainer trains on a step that it has acknowledged
	}
	return versions, waits
}

// next pops the first pending sample that may start now.
func (st *step) next() *sample {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := st.srv.now()
	var early []pendingItem
	defer func() {
		for _, item := range early {
			heap.Push(&st.pending, item)
		}
	}()
	for len(st.pending) > 0 {
		item := heap.Pop(&st.pending).(pendingItem)
		s := item.s
		if s.have || s.result != nil || s.winner != nil || len(s.live) > 0 {
			s.queued = false
			continue
		}
		if now.Before(s.notBefore) {
			early = append(early, item)
			continue
		}
		s.queued = false
		return s
	}
	return nil
}

func (st *step) putBack(s *sample) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if s.queued || s.have || len(s.live) > 0 || s.result != nil || s.winner != nil {
		return
	}
	s.queued = true
	st.push(s)
}

// pick chooses an engine for s. It prefers engines that are neither slow nor the one that just failed,
// and versions within the soft bound, for which it waits as long as engines may be loading them. The
// age bound itself is kept.
func (st *step) pick(ctx context.Context, svc *contract.Service, s *sample) (Pick, error) {
	ahead, _ := st.ahead()
	st.mu.Lock()
	expected := st.expectedVersion(svc)
	exclude := append([]string(nil), s.exclude...)
	group, noPrefix, parked := s.group, s.noPrefix, s.parked
	floors := []int64{st.softFloor(svc, ahead)}
	if hard := max(0, expected-svc.Rollout.MaxVersionLag); hard < floors[0] && !st.mayHold() {
		floors = append(floors, hard)
	}
	st.mu.Unlock()
	if (parked || st.isLong(group)) && !st.srv.opts.NoMoves {
		exclude = append(exclude, st.srv.speeds.of(st.key.service, st.srv.now()).slow(moveRatio)...)
	}
	req := PickRequest{Service: svc, PrefixID: group.PrefixID, Prompt: group.Prompt, MaxTokens: group.MaxTokens}
	if noPrefix {
		req.PrefixID = ""
	}
	var err error
	for _, floor := range floors {
		for _, ex := range [][]string{exclude, nil} {
			req.MinVersion, req.Exclude = floor, ex
			var pick Pick
			if pick, err = st.srv.opts.Picker.Pick(ctx, req); err == nil {
				return pick, nil
			}
		}
	}
	return Pick{}, err
}

// softFloor is the oldest version with which a sample stays within the tolerated lag until the trainer,
// which will have moved on by ahead versions, takes it. Called with mu held.
func (st *step) softFloor(svc *contract.Service, ahead int64) int64 {
	lag := softLag(svc.Rollout)
	return max(0, st.expectedVersion(svc)+min(ahead, lag)-lag)
}

func (st *step) isLong(g *Group) bool {
	mean := st.srv.lengths.serviceMean(st.key.service)
	return mean > 0 && st.srv.lengths.predict(st.key.service, g, 0) > longFactor*mean
}

// softLag is the age that a service tolerates before it prefers a new start: none with an idle
// weight of 0, the whole bound with 1.
func softLag(t *contract.RolloutTerms) int64 {
	return int64(math.Round(t.IdleWeight * float64(t.MaxVersionLag)))
}

// launch starts an attempt for s on pick. With replaces it is a second attempt that continues from
// the progress of the first; when move is set it takes the first one's place at its first event.
func (st *step) launch(ctx context.Context, s *sample, pick Pick, replaces *attempt, move bool) {
	st.mu.Lock()
	blocked := st.closed || s.have || s.result != nil || s.winner != nil
	if replaces == nil {
		blocked = blocked || len(s.live) > 0
	} else {
		blocked = blocked || replaces.dead || len(s.live) != 1 || s.live[0] != replaces
	}
	if blocked {
		st.mu.Unlock()
		pick.Done(0, 0, context.Canceled)
		st.srv.slots.release(st.key.service, st.key.trainer)
		return
	}
	actx, cancel := context.WithCancel(ctx)
	a := &attempt{
		id: uuid.NewString(), s: s, start: s.attempt, pick: pick, cancel: cancel,
		startedAt: st.srv.now(), progress: &progress{}, noPrefix: s.noPrefix,
	}
	switch {
	case replaces != nil:
		a.progress = replaces.progress.clone()
		if move {
			a.replaces = replaces
		}
		if v := st.srv.versionOf(pick); v != 0 && v == replaces.version {
			a.kvFrom, a.kvRequest = replaces.pick.Backend.Addr, replaces.id
		}
	case s.saved != nil:
		a.progress = s.saved.clone()
	}
	s.predicted = st.srv.lengths.predict(st.key.service, s.group, 0)
	s.live = append(s.live, a)
	st.mu.Unlock()
	st.wg.Go(func() { st.runAttempt(actx, a) })
}

// runAttempt generates on one engine and hands the outcome to the step.
func (st *step) runAttempt(ctx context.Context, a *attempt) {
	defer a.cancel()
	gauge := st.srv.metrics.inFlight.WithLabelValues(st.key.service)
	gauge.Inc()
	began := time.Now()
	err := st.stream(ctx, a)
	gauge.Dec()
	a.pick.Done(time.Since(began), a.generated, reportable(ctx, a, err))
	st.srv.slots.release(st.key.service, st.key.trainer)
	st.srv.wakeService(st.key.service)
	if p := st.finish(a, err); p != nil {
		st.score(a.s, p)
	}
}
