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

func (k stepKey) owner() string { return k.service + "/" + k.trainer }

// step is an open step at its owner.
type step struct {
	srv      *Server
	key      stepKey
	bodyHash uint64
	reserved int64

	cancel context.CancelFunc
	done   chan struct{}
	wake   chan struct{}
	start  chan struct{} // closed by the first take
	wg     conc.WaitGroup

	mu      sync.Mutex
	samples []*sample
	pending pendingHeap
	version int64 // the trainer's version in its last request
	// versionAt is when the trainer's version last changed; holding is set while finished samples wait
	// for engines to load a newer version.
	versionAt time.Time
	holding   bool
	lastSeen  time.Time
	started   bool
	// lazy is set for a step that was acknowledged before; it begins only at a take.
	lazy   bool
	closed bool
	hedges int
	// changed is closed and replaced when a sample finishes.
	changed chan struct{}
	// taking is closed when a newer take replaces the one that waits.
	taking chan struct{}
}

func newStep(srv *Server, key stepKey, req *OpenRequest, hash uint64, reserved int64) *step {
	st := &step{
		srv: srv, key: key, bodyHash: hash, reserved: reserved,
		done: make(chan struct{}), wake: make(chan struct{}, 1), start: make(chan struct{}),
		version: req.Version, versionAt: srv.now(), lastSeen: srv.now(), changed: make(chan struct{}),
	}
	for gi := range req.Groups {
		g := &req.Groups[gi]
		for i := range g.Samples {
			st.samples = append(st.samples, &sample{
				id:       SampleID{Service: key.service, Trainer: key.trainer, Step: key.step, Group: g.ID, Index: i},
				position: len(st.samples), group: g, seed: g.Seed + int64(i), attempt: 1,
			})
		}
	}
	return st
}

func (st *step) service() (*contract.Service, bool) {
	return st.srv.opts.Directory.Service(st.key.service)
}

// expectedVersion is the version the trainer will have at its next take, as far as is known. A
// service's only trainer runs the newest version that it announced. Called with mu held.
func (st *step) expectedVersion(svc *contract.Service) int64 {
	if len(svc.Trainers) == 1 {
		return max(st.version, st.srv.opts.Directory.NewestVersion(st.key.service))
	}
	return st.version
}

func (st *step) signal() {
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

// notify wakes the waiting take. Called with mu held.
func (st *step) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// run starts samples until the step is closed.
func (st *step) run(ctx context.Context) {
	defer close(st.done)
	defer st.abandon()
	if !st.awaitStart(ctx) {
		return
	}
	defer st.srv.slots.want(st.key, false)
	st.begin()
	ticker := time.NewTicker(st.srv.opts.MonitorPeriod)
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
	case <-st.start:
	case <-grace:
	}
	return true
}

func (st *step) begin() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.started = true
	for _, s := range st.samples {
		st.enqueue(s)
	}
}

// enqueue puts s into the pending heap unless it needs no attempt. Called with mu held.
func (st *step) enqueue(s *sample) {
	if !st.started || st.closed || s.have || s.queued || len(s.live) > 0 || s.winner != nil || s.result != nil {
		return
	}
	s.queued = true
	st.push(s)
	st.signal()
}

// restart discards what was generated for s and starts it again. Called with mu held.
func (st *step) restart(s *sample, cause WasteCause) {
	st.discard(s, cause)
	s.attempt++
	st.enqueue(s)
}

// discard drops everything generated for s and counts it as wasted. Called with mu held.
func (st *step) discard(s *sample, cause WasteCause) {
	st.srv.metrics.waste(st.key.service, cause, s.spent)
	s.spent = 0
	for _, a := range s.live {
		a.kill(cause)
	}
	s.live, s.saved, s.winner, s.result = nil, nil, nil, nil
	s.delivered, s.hedged, s.parked = false, false, false
	if s.stopScoring != nil {
		s.stopScoring()
		s.stopScoring = nil
	}
}

// abandon accounts for what a closed step leaves undelivered.
func (st *step) abandon() {
	st.wg.Wait()
	st.mu.Lock()
	defer st.mu.Unlock()
	st.closed = true
	st.notify()
	for _, s := range st.samples {
		switch {
		case s.delivered:
		case s.have:
			st.discard(s, WasteDuplicate)
		default:
			st.discard(s, WasteUntaken)
		}
	}
}

// idleSince returns the time of the trainer's last request.
func (st *step) idleSince() time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.lastSeen
}

// ownedBy reports whether self owns the step in the given view.
func (st *step) ownedBy(self machine.Instance, live []machine.Instance, owner OwnerFunc) bool {
	return owner == nil || owner(st.key.owner(), live).Ref() == self.Ref()
}

// hasPending reports whether samples wait for an engine, or will as soon as the step begins.
func (st *step) hasPending() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.pending) > 0 || (!st.started && !st.lazy && !st.closed)
}

// isTaken reports whether the trainer takes from the step: its last take may still wait, or the next
// one is on its way.
func (st *step) isTaken() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.taking != nil && st.srv.now().Sub(st.lastSeen) < maxTakeWait+takePause
}

// takePause is the longest time between two takes of a step that the trainer waits for.
const takePause = 5 * time.Second

// touch notes a request of the trainer.
func (st *step) touch() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastSeen = st.srv.now()
}

// close refuses further takes and stops scoring and attempts.
func (st *step) close() {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.closed {
		return
	}
	st.closed = true
	for _, s := range st.samples {
		if s.stopScoring != nil {
			s.stopScoring()
		}
	}
	st.notify()
}
