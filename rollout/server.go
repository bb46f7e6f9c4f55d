package rollout

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
)

const tracerName = "github.com/cicadasill/cicadasill/rollout"

// Server owns the steps of the trainers that rendezvous hashing assigns to this instance.
type Server struct {
	opts    Options
	log     *log.Logger
	metrics *metrics
	slots   *slots
	lengths *lengths
	speeds  *speeds
	ctx     context.Context
	stop    context.CancelFunc
	drain   context.Context // ends when Drain is called
	endWait context.CancelFunc
	wg      conc.WaitGroup

	mu       sync.Mutex
	steps    map[stepKey]*step
	acked    map[stepKey]time.Time
	reserved int64
	stopped  bool
}

// New returns a server. Run must be called for it to expire steps and to shut down.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	logger := opts.Logger
	if logger == nil {
		logger = log.New(io.Discard)
	}
	ctx, cancel := context.WithCancel(context.Background())
	drain, endWait := context.WithCancel(ctx)
	return &Server{
		drain: drain, endWait: endWait, opts: opts, log: logger, metrics: newMetrics(opts.Registerer), slots: newSlots(opts.SlotsPerSampler),
		lengths: newLengths(), speeds: newSpeeds(), ctx: ctx, stop: cancel,
		steps: make(map[stepKey]*step), acked: make(map[stepKey]time.Time),
	}
}

// Register adds the trainers' paths to r.
func (s *Server) Register(r *httprouter.Router) {
	const path = "/v1/services/:service/trainers/:trainer/steps/:step"
	r.PUT(path, s.handleOpen)
	r.POST(path+"/take", s.handleTake)
	r.POST(path+"/ack", s.handleAck)
}

// Run expires steps until ctx ends, then cancels every step and waits for its goroutines.
func (s *Server) Run(ctx context.Context) error {
	period := max(10*time.Millisecond, min(s.opts.StepExpiry, s.opts.OwnershipGrace, s.opts.GivenUpExpiry)/4)
	ticker := time.NewTicker(period)
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

// Drain ends waiting takes, so that a planned stop does not wait for them. Later takes wait briefly.
func (s *Server) Drain() { s.endWait() }

// waiting returns how long a take may wait, and a channel that ends its wait.
func (s *Server) waiting(asked time.Duration) (time.Duration, <-chan struct{}) {
	asked = min(max(0, asked), maxTakeWait)
	if s.drain.Err() != nil {
		return min(asked, drainPause), nil
	}
	return asked, s.drain.Done()
}

// drainPause is a take's longest wait at a draining instance. Without any wait a trainer would ask in
// a tight loop until the load balancer moves it.
const drainPause = 100 * time.Millisecond

func (s *Server) shutdown() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.stop()
	s.wg.Wait()
}

func (s *Server) now() time.Time { return time.Now() }

// expire closes steps without requests, steps that another instance owns now, and steps of
// services and trainers that are gone.
func (s *Server) expire() {
	now := s.now()
	s.speeds.forget(now)
	self, live := s.opts.View.Self(), s.opts.View.Live()
	for _, st := range s.openSteps() {
		idle := now.Sub(st.idleSince())
		owned := st.ownedBy(self, live, s.opts.Owner)
		if idle > s.opts.StepExpiry || (!owned && idle > s.opts.OwnershipGrace) || !s.isTrainer(st.key) ||
			(idle > s.opts.GivenUpExpiry && s.takesLater(st)) {
			s.log.Info("step expired", "service", st.key.service, "trainer", st.key.trainer, "step", st.key.step,
				"idle", idle, "owned", owned)
			s.remove(st)
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

// takesLater reports whether the trainer takes from a step after st.
func (s *Server) takesLater(st *step) bool {
	for _, o := range s.siblings(st) {
		if o.key.step > st.key.step && o.isTaken() {
			return true
		}
	}
	return false
}

// versionOf returns the version that the picked engine reported last, 0 if unknown.
func (s *Server) versionOf(pick Pick) int64 {
	if pick.Version != 0 || s.opts.Load == nil {
		return pick.Version
	}
	return s.opts.Load(pick.Backend.ID).Version
}

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

// open opens a step or confirms that it is open with the same body.
func (s *Server) open(key stepKey, req *OpenRequest, hash uint64) (*step, *Error) {
	reserve := int64(0)
	for i := range req.Groups {
		reserve += int64(req.Groups[i].Samples) * int64(req.Groups[i].MaxTokens)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil, refuse(CodeStopping, "the instance is shutting down")
	}
	if st, ok := s.steps[key]; ok {
		if st.bodyHash != hash {
			return nil, refuse(CodeStepConflict, "step %d is open with another body", key.step)
		}
		st.touch()
		return st, nil
	}
	if reserve > s.opts.MaxHeldTokens {
		return nil, refuse(CodeStepTooLarge, "%d tokens in the worst case, limit %d", reserve, s.opts.MaxHeldTokens)
	}
	if s.reserved+reserve > s.opts.MaxHeldTokens {
		return nil, refuse(CodeBusy, "open steps hold %d of %d tokens", s.reserved, s.opts.MaxHeldTokens)
	}
	_, acked := s.acked[key]
	return s.add(newStep(s, key, req, hash, reserve), acked), nil
}

// add starts a new step. A step that was acknowledged before waits for a take, since a late copy of
// its PUT is more likely than a trainer that needs it again. Called with mu held.
func (s *Server) add(st *step, lazy bool) *step {
	ctx, cancel := context.WithCancel(s.ctx)
	st.cancel, st.lazy = cancel, lazy
	s.steps[st.key] = st
	s.reserved += st.reserved
	s.metrics.steps.Set(float64(len(s.steps)))
	s.metrics.held.Set(float64(s.reserved))
	s.wg.Go(func() {
		st.run(ctx)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reserved -= st.reserved
		s.metrics.held.Set(float64(s.reserved))
	})
	return st
}

// siblings returns the open steps of st's trainer.
func (s *Server) siblings(st *step) []*step {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*step
	for k, o := range s.steps {
		if o != st && k.owner() == st.key.owner() {
			out = append(out, o)
		}
	}
	return out
}

// wakeService lets every step of a service try for a slot that became free.
func (s *Server) wakeService(service string) {
	for _, st := range s.openSteps() {
		if st.key.service == service {
			st.signal()
		}
	}
}

// wakeNext lets later steps of the trainer start samples once st has none left to start.
func (s *Server) wakeNext(st *step) {
	if st.hasPending() {
		return
	}
	for _, o := range s.siblings(st) {
		if o.key.step > st.key.step {
			o.signal()
		}
	}
}

// lookup returns an open step.
func (s *Server) lookup(key stepKey) (*step, *Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.steps[key]
	if !ok {
		return nil, refuse(CodeStepNotOpen, "step %d of %s is not open here", key.step, key.owner())
	}
	return st, nil
}

// remove closes st; its goroutines end by themselves.
func (s *Server) remove(st *step) {
	s.mu.Lock()
	if s.steps[st.key] == st {
		delete(s.steps, st.key)
		s.metrics.steps.Set(float64(len(s.steps)))
	}
	s.mu.Unlock()
	st.cancel()
	st.close()
	s.wakeService(st.key.service)
}

// ack closes a step. An unknown step is acknowledged too, since the acknowledgement may be repeated.
func (s *Server) ack(key stepKey) {
	s.mu.Lock()
	st := s.steps[key]
	if len(s.acked) < maxAcked {
		s.acked[key] = s.now()
	}
	s.mu.Unlock()
	if st != nil {
		s.remove(st)
	}
}

// maxAcked bounds the remembered acknowledged steps. Forgetting one costs at most a regeneration.
const maxAcked = 4096
