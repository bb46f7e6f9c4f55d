package rollout

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/reward"
)

const tracerName = "github.com/cicadasill/cicadasill/rollout"

// Server serves the trainers' requests and runs the steps of the trainers that rendezvous hashing
// assigns to this instance.
type Server struct {
	opts       Options
	log        *log.Logger
	metrics    *metrics
	slots      *slotLimiter
	lengths    *lengthPredictor
	speeds     *speedTracker
	rewards    *reward.Gate
	ctx        context.Context
	stop       context.CancelFunc
	draining   context.Context // cancelled by Drain
	startDrain context.CancelFunc
	wg         conc.WaitGroup

	mu             sync.Mutex
	steps          map[stepKey]*step
	acked          map[stepKey]time.Time
	reservedTokens int64
	promptBytes    int64
	stopped        bool
}

// New returns a server. Run must be called for the server to expire steps and to shut down.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	logger := opts.Logger
	if logger == nil {
		logger = log.New(io.Discard)
	}
	ctx, cancel := context.WithCancel(context.Background())
	draining, startDrain := context.WithCancel(ctx)
	s := &Server{
		draining: draining, startDrain: startDrain, opts: opts, log: logger, metrics: newMetrics(opts.Registerer), slots: newSlotLimiter(opts.SlotsPerSampler),
		lengths: newLengthPredictor(), speeds: newSpeedTracker(), ctx: ctx, stop: cancel,
		steps: make(map[stepKey]*step), acked: make(map[stepKey]time.Time),
	}
	s.rewards = reward.NewGate(s.scoringLimit)
	return s
}

// Register adds the routes of the trainers' requests to r.
func (s *Server) Register(r *httprouter.Router) {
	const path = "/v1/services/:service/trainers/:trainer/steps/:step"
	r.PUT(path, s.handleOpen)
	r.POST(path+"/take", s.handleTake)
	r.POST(path+"/ack", s.handleAck)
}

// Run expires steps until ctx ends, then cancels every step and waits for its goroutines.
func (s *Server) Run(ctx context.Context) error {
	interval := max(10*time.Millisecond, min(s.opts.StepExpiry, s.opts.OwnershipGrace, s.opts.AbandonedStepExpiry)/4)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.shutdown()
			return nil
		case <-ticker.C:
			s.expire()
		}
	}
}

// Drain ends waiting takes, so that a planned stop does not wait for them. Later takes wait at most
// maxDrainingTakeWait.
func (s *Server) Drain() { s.startDrain() }

// limitTakeWait returns how long a take may wait, and a channel that is closed when draining starts; it
// is nil if the server drains already.
func (s *Server) limitTakeWait(requested time.Duration) (time.Duration, <-chan struct{}) {
	requested = min(max(0, requested), maxTakeWait)
	if s.draining.Err() != nil {
		return min(requested, maxDrainingTakeWait), nil
	}
	return requested, s.draining.Done()
}

// maxDrainingTakeWait bounds the wait of a take at a draining instance. Without any wait, a trainer
// would send takes in a tight loop until the load balancer moves it to another instance.
const maxDrainingTakeWait = 100 * time.Millisecond

func (s *Server) shutdown() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.stop()
	s.wg.Wait()
}

func (s *Server) now() time.Time { return time.Now() }

// expire closes steps without recent requests, abandoned steps, steps that another instance owns now,
// and steps of services and trainers that no longer exist.
func (s *Server) expire() {
	now := s.now()
	s.speeds.evictStale(now)
	self, live := s.opts.View.Self(), s.opts.View.Live()
	for _, st := range s.openSteps() {
		idle := now.Sub(st.lastRequestTime())
		owned := st.ownedBy(self, live, s.opts.Owner)
		if idle > s.opts.StepExpiry || (!owned && idle > s.opts.OwnershipGrace) || !s.isTrainer(st.key) ||
			(idle > s.opts.AbandonedStepExpiry && s.hasLaterActiveStep(st)) {
			s.log.Info("step expired", "service", st.key.service, "trainer", st.key.trainer, "step", st.key.step,
				"idle", idle, "owned", owned)
			s.closeStep(st)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, at := range s.acked {
		if now.Sub(at) > s.opts.StepExpiry {
			delete(s.acked, k)
		}
	}
}

// hasLaterActiveStep reports whether the trainer takes from a step later than st.
func (s *Server) hasLaterActiveStep(st *step) bool {
	for _, o := range s.otherSteps(st) {
		if o.key.step > st.key.step && o.isActive() {
			return true
		}
	}
	return false
}

// reportedVersion returns the weight version that the picked engine reported last, 0 if unknown.
func (s *Server) reportedVersion(pick Pick) int64 {
	if pick.Version != 0 || s.opts.Load == nil {
		return pick.Version
	}
	return s.opts.Load(pick.Backend.ID).Version
}

// isTrainer reports whether the service of key still has rollout terms and the trainer of key.
func (s *Server) isTrainer(key stepKey) bool {
	svc, ok := s.opts.Directory.Service(key.service)
	if !ok || svc.Rollout == nil {
		return false
	}
	_, ok = svc.Trainer(key.trainer)
	return ok
}

func (s *Server) openSteps() []*step {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*step, 0, len(s.steps))
	for _, st := range s.steps {
		out = append(out, st)
	}
	return out
}

// openStep opens a step, or returns the step that is open with the same body.
func (s *Server) openStep(key stepKey, req *OpenRequest, hash uint64) (*step, *Error) {
	needed := int64(0)
	for i := range req.Groups {
		needed += int64(req.Groups[i].Samples) * int64(req.Groups[i].MaxTokens)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil, errorf(CodeStopping, "the instance is shutting down")
	}
	if st, ok := s.steps[key]; ok {
		if st.bodyHash != hash {
			return nil, errorf(CodeStepConflict, "step %d is open with another body", key.step)
		}
		st.touch()
		return st, nil
	}
	if needed > s.opts.MaxReservedTokens {
		return nil, errorf(CodeStepTooLarge, "the step needs up to %d tokens, limit %d", needed, s.opts.MaxReservedTokens)
	}
	if bytes := req.promptBytes(); s.opts.MaxPromptBytes > 0 && s.promptBytes > 0 && s.promptBytes+bytes > s.opts.MaxPromptBytes {
		return nil, errorf(CodeBusy, "the prompts of open steps take %d of %d bytes", s.promptBytes, s.opts.MaxPromptBytes)
	}
	if s.reservedTokens+needed > s.opts.MaxReservedTokens {
		return nil, errorf(CodeBusy, "open steps reserve %d of %d tokens", s.reservedTokens, s.opts.MaxReservedTokens)
	}
	_, acked := s.acked[key]
	return s.startStep(newStep(s, key, req, hash, needed), acked), nil
}

// startStep registers st and starts its goroutine. A step that was acknowledged before is lazy: it
// waits for a take, since a late copy of the PUT is more likely than a trainer that needs the step
// again. Called with mu held.
func (s *Server) startStep(st *step, lazy bool) *step {
	ctx, cancel := context.WithCancel(s.ctx)
	st.cancel, st.lazy = cancel, lazy
	s.steps[st.key] = st
	s.reservedTokens += st.reservedTokens
	s.promptBytes += st.promptBytes
	s.metrics.openSteps.Set(float64(len(s.steps)))
	s.metrics.reservedTokens.Set(float64(s.reservedTokens))
	s.wg.Go(func() {
		st.run(ctx)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reservedTokens -= st.reservedTokens
		s.promptBytes -= st.promptBytes
		s.metrics.reservedTokens.Set(float64(s.reservedTokens))
	})
	return st
}

// otherSteps returns the other open steps of st's trainer.
func (s *Server) otherSteps(st *step) []*step {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*step
	for k, o := range s.steps {
		if o != st && k.ownershipKey() == st.key.ownershipKey() {
			out = append(out, o)
		}
	}
	return out
}

// wakeSteps lets every step of a service try to acquire a slot that became free.
func (s *Server) wakeSteps(service string) {
	for _, st := range s.openSteps() {
		if st.key.service == service {
			st.wakeUp()
		}
	}
}

// wakeLaterSteps lets the trainer's later steps start samples once st has none left to start.
func (s *Server) wakeLaterSteps(st *step) {
	if st.hasPending() {
		return
	}
	for _, o := range s.otherSteps(st) {
		if o.key.step > st.key.step {
			o.wakeUp()
		}
	}
}

// lookup returns the open step with the given key.
func (s *Server) lookup(key stepKey) (*step, *Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.steps[key]
	if !ok {
		return nil, errorf(CodeStepNotOpen, "step %d of %s is not open here", key.step, key.ownershipKey())
	}
	return st, nil
}

// closeStep removes and closes st. It does not wait for the step's goroutines, which end by themselves.
func (s *Server) closeStep(st *step) {
	s.mu.Lock()
	if s.steps[st.key] == st {
		delete(s.steps, st.key)
		s.metrics.openSteps.Set(float64(len(s.steps)))
	}
	s.mu.Unlock()
	st.cancel()
	st.close()
	s.wakeSteps(st.key.service)
}

// ack closes a step. An unknown step is acknowledged too, since the request may be a repetition.
func (s *Server) ack(key stepKey) {
	s.mu.Lock()
	st := s.steps[key]
	if len(s.acked) < maxAcked {
		s.acked[key] = s.now()
	}
	s.mu.Unlock()
	if st != nil {
		s.closeStep(st)
	}
}

// maxAcked bounds the number of acknowledged steps that are remembered. Forgetting one costs at most
// generating its samples again.
const maxAcked = 4096
