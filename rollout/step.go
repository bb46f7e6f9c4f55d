package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/sourcegraph/conc"
)

// stepKey identifies a step.
type stepKey struct {
	service, trainer string
	step             int64
}

// ownershipKey returns the key that determines the owner. All steps of a trainer have the same owner.
func (k stepKey) ownershipKey() string { return k.service + "/" + k.trainer }

// step is the state of a step that is open at this instance.
type step struct {
	srv            *Server
	key            stepKey
	bodyHash       uint64
	reservedTokens int64
	promptBytes    int64

	cancel    context.CancelFunc
	done      chan struct{}
	wake      chan struct{}
	firstTake chan struct{} // closed by the first take
	openedAt  time.Time
	wg        conc.WaitGroup

	mu             sync.Mutex
	samples        []*sample
	pending        pendingHeap
	groupPending   map[*Group]int // samples without a result
	trainerVersion int64          // the trainer's version in its last request
	// versionChangedAt is when trainerVersion last changed.
	versionChangedAt time.Time
	// awaitingNewVersion is set while finished samples are held back until engines load a newer version.
	awaitingNewVersion bool
	lastRequest        time.Time
	started            bool
	// lazy is set for a step that was acknowledged before; its samples start only at a take.
	lazy   bool
	closed bool
	hedges int
	// changed is closed and replaced to wake the waiting take.
	changed chan struct{}
	// currentTake is closed when a newer take replaces the current one. It is nil before the first
	// take.
	currentTake chan struct{}
}

func newStep(srv *Server, key stepKey, req *OpenRequest, hash uint64, reserved int64) *step {
	st := &step{
		srv: srv, key: key, bodyHash: hash, reservedTokens: reserved, promptBytes: req.promptBytes(),
		done: make(chan struct{}), wake: make(chan struct{}, 1), firstTake: make(chan struct{}),
		trainerVersion: req.Version, versionChangedAt: srv.now(), lastRequest: srv.now(), changed: make(chan struct{}),
		openedAt: srv.now(), groupPending: map[*Group]int{},
	}
	for gi := range req.Groups {
		g := &req.Groups[gi]
		st.groupPending[g] = g.Samples
		for i := range g.Samples {
			st.samples = append(st.samples, &sample{
				id:       SampleID{Service: key.service, Trainer: key.trainer, Step: key.step, Group: g.ID, Index: i},
				position: len(st.samples), group: g, seed: g.Seed + int64(i), startCount: 1,
			})
		}
	}
	return st
}

func (st *step) service() (*contract.Service, bool) {
	return st.srv.opts.Directory.Service(st.key.service)
}

// expectedVersion returns the version that the trainer is expected to have at its next take. The only
// trainer of a service is expected to have the newest version announced. Called with mu held.
func (st *step) expectedVersion(svc *contract.Service) int64 {
	if len(svc.Trainers) == 1 {
		return max(st.trainerVersion, st.srv.opts.Directory.NewestVersion(st.key.service))
	}
	return st.trainerVersion
}

// wakeUp makes run dispatch pending samples.
func (st *step) wakeUp() {
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

// notifyTake wakes the waiting take. Called with mu held.
func (st *step) notifyTake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// run dispatches and monitors samples until the step is closed.
func (st *step) run(ctx context.Context) {
	defer close(st.done)
	defer st.discardUndelivered()
	if !st.awaitStart(ctx) {
		return
	}
	defer st.srv.slots.setPending(st.key, false)
	st.enqueueAll()
	ticker := time.NewTicker(st.srv.opts.MonitorInterval)
	defer ticker.Stop()
	for {
		st.dispatch(ctx)
		select {
		case <-ctx.Done():
			st.wg.Wait()
			return
		case <-st.wake:
		case <-ticker.C:
			st.monitor(ctx)
		}
	}
}

// awaitStart waits for the first take, or for OpenGrace unless the step is lazy.
func (st *step) awaitStart(ctx context.Context) bool {
	var grace <-chan time.Time
	if !st.lazy {
		timer := time.NewTimer(st.srv.opts.OpenGrace)
		defer timer.Stop()
		grace = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-st.firstTake:
	case <-grace:
	}
	return true
}

// enqueueAll marks the step as started and enqueues its samples.
func (st *step) enqueueAll() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.started = true
	for _, s := range st.samples {
		st.enqueue(s)
	}
}

// enqueue adds s to the pending heap if it needs an attempt. Called with mu held.
func (st *step) enqueue(s *sample) {
	if !st.started || st.closed || s.heldByTrainer || s.queued || len(s.running) > 0 || s.unscored != nil || s.result != nil {
		return
	}
	s.queued = true
	st.pushPending(s)
	st.wakeUp()
}

// restart discards everything generated for s and starts it again from the first token. Called with mu
// held.
func (st *step) restart(s *sample, cause WasteCause) {
	st.discard(s, cause)
	s.startCount++
	st.enqueue(s)
}

// discard drops everything generated for s, aborts its attempts and counts the tokens as wasted by
// cause. Called with mu held.
func (st *step) discard(s *sample, cause WasteCause) {
	st.srv.metrics.countWaste(st.key.service, cause, s.generatedTokens)
	s.generatedTokens = 0
	for _, a := range s.running {
		a.abort(cause)
	}
	if s.result != nil {
		st.groupPending[s.group]++
	}
	s.running, s.resumeFrom, s.unscored, s.result = nil, nil, nil, nil
	s.delivered, s.hedged, s.parked = false, false, false
	if s.cancelScoring != nil {
		s.cancelScoring()
		s.cancelScoring = nil
	}
}

// discardUndelivered waits for the attempts of a closed step and counts its undelivered tokens as
// wasted.
func (st *step) discardUndelivered() {
	st.wg.Wait()
	st.mu.Lock()
	defer st.mu.Unlock()
	st.closed = true
	st.notifyTake()
	for _, s := range st.samples {
		switch {
		case s.delivered:
		case s.heldByTrainer:
			st.discard(s, WasteDuplicate)
		default:
			st.discard(s, WasteUntaken)
		}
	}
}

// lastRequestTime returns the time of the trainer's last request.
func (st *step) lastRequestTime() time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.lastRequest
}

// ownedBy reports whether self owns the step in the given view.
func (st *step) ownedBy(self machine.Instance, live []machine.Instance, owner OwnerFunc) bool {
	return owner == nil || owner(st.key.ownershipKey(), live).Ref() == self.Ref()
}

// hasPending reports whether samples wait for an engine, or will do so once the step has started.
func (st *step) hasPending() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.pending) > 0 || (!st.started && !st.lazy && !st.closed)
}

// isActive reports whether the trainer takes from the step: its last take may still be waiting, or the
// next one is about to arrive.
func (st *step) isActive() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.currentTake != nil && st.srv.now().Sub(st.lastRequest) < maxTakeWait+maxTakeGap
}

// maxTakeGap is the longest time expected between two takes of a step from which the trainer takes.
const maxTakeGap = 5 * time.Second

// touch records the time of a request from the trainer.
func (st *step) touch() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastRequest = st.srv.now()
}

// close refuses further takes, prevents new attempts and cancels scoring.
func (st *step) close() {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.closed {
		return
	}
	st.closed = true
	for _, s := range st.samples {
		if s.cancelScoring != nil {
			s.cancelScoring()
		}
	}
	st.notifyTake()
}
