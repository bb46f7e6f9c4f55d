package provision

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/routes"
	"github.com/cicadasill/cicadasill/timing"
)

// Limits of a Scheduler.
const (
	planInterval = 200 * time.Millisecond
	// callTimeout bounds an order. It is below the time for which a holder acts after a renewal, and a call without an answer within it
	// counts as one that may be executed later.
	callTimeout = time.Second
	// maxCallsInFlight bounds the orders that wait for an answer.
	maxCallsInFlight = 16
)

// Sender sends orders to the platform. After an error other than ErrRefused, the order may still be carried out.
type Sender interface {
	OrderCapacity(ctx context.Context, o Order, fence int64) error
}

// Duty is the exclusive right to send orders.
type Duty interface {
	// Fence returns the fencing token, or an error if this instance does not hold the duty.
	Fence() (int64, error)
}

// Directory provides the back ends that entries show.
type Directory interface {
	Present(service string) (present map[backends.Pool][]string, leaving []string)
	SlotsPerBackend(service string) int
}

// Options configure a Scheduler.
type Options struct {
	// Holder is the id of this instance.
	Holder    string
	Directory Directory
	Sender    Sender
	Duty      Duty
	Config    func() *routes.Config
	// Need returns, by service, the slots that the work of all instances needs now.
	Need func() map[string]int
	// IsViewCurrent reports whether the entries have been read and are read without failures.
	IsViewCurrent func() bool
	// CallsPerS bounds the orders.
	CallsPerS float64
	Logger    *log.Logger
	Metrics   *Metrics
}

// Scheduler orders back ends while this instance holds the duty.
type Scheduler struct {
	opts Options
	now  func() time.Duration // since boot

	fence       int64
	heldSince   time.Duration
	currentFrom time.Duration // since when the view has been current; 0 if it is not
	services    map[string]*serviceState
	calls       int           // in flight
	limiter     *rate.Limiter // nil if there is no limit
	completions chan func()
}

// serviceState is what the holder keeps about a service. It starts anew with each hold of the duty.
type serviceState struct {
	ledger  *ledger
	need    need
	assumed int // back ends at the first plan
}

// New returns a Scheduler that sends no orders until Run is called.
func New(opts Options) *Scheduler {
	s := &Scheduler{opts: opts, now: timing.SinceBoot, services: map[string]*serviceState{}, completions: make(chan func(), maxCallsInFlight)}
	if opts.CallsPerS > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(callsFraction*opts.CallsPerS), maxCallsInFlight)
	}
	return s
}

// Run sends orders until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case complete := <-s.completions:
			complete()
		case <-ticker.C:
			s.step(ctx)
		}
	}
}

// step plans all services once and sends the orders that are due.
func (s *Scheduler) step(ctx context.Context) {
	now := s.now()
	fence, err := s.opts.Duty.Fence()
	if err != nil || fence != s.fence {
		clear(s.services)
		s.opts.Metrics.reset()
		s.fence, s.heldSince = fence, now
	}
	config := s.opts.Config()
	if err != nil || config == nil || !s.isViewSettled(now) {
		return
	}
	needs := s.opts.Need()
	for _, name := range slices.Sorted(maps.Keys(config.Services)) {
		if scaling := config.Services[name].Scaling; scaling != nil {
			s.planService(ctx, now, name, scaling, needs[name])
		}
	}
}

// isViewSettled reports whether the view of the entries has been current for as long as entries may be missing from it.
func (s *Scheduler) isViewSettled(now time.Duration) bool {
	if !s.opts.IsViewCurrent() {
		s.currentFrom = 0
		return false
	}
	if s.currentFrom == 0 {
		s.currentFrom = now
	}
	return now-s.currentFrom >= absenceGrace
}

// planService plans one service.
func (s *Scheduler) planService(ctx context.Context, now time.Duration, name string, scaling *routes.Scaling, slots int) {
	state := s.services[name]
	if state == nil {
		state = &serviceState{ledger: newLedger(scaling.BootTime)}
		s.services[name] = state
	}
	l := state.ledger
	l.boot = scaling.BootTime
	present, leaving := s.opts.Directory.Present(name)
	l.observe(now, present, leaving)
	state.need.observe(now, slots)
	if now-s.heldSince < scaling.BootTime+lateMargin {
		return // the orders of a predecessor are not visible yet
	}
	counts := l.expected(now)
	if state.assumed == 0 {
		for _, n := range counts {
			state.assumed += n
		}
	}
	in := State{
		Scaling: *scaling, SlotsPerBackend: s.opts.Directory.SlotsPerBackend(name),
		NeededSlots: state.need.peak(), NeedKnown: state.need.isKnown(now), Assumed: state.assumed,
		IsChanging: l.isChanging(), Counts: counts, Refused: l.refused(now),
	}
	wanted, reason := Plan(in)
	s.opts.Metrics.observe(name, l.present(now), wanted, state.need.current)
	for _, pool := range slices.SortedFunc(maps.Keys(wanted), comparePools) {
		count, due := l.due(now, pool, wanted[pool])
		if !due || !s.mayCall(now) {
			continue
		}
		l.begin(now, pool, wanted[pool])
		s.calls++
		s.send(ctx, name, state, pool, order{
			Order:  Order{Service: name, DataCentre: pool.DataCentre, Count: count, Reclaimable: pool.Reclaimable},
			reason: reason, in: in, fence: s.fence,
		})
	}
}

func comparePools(a, b backends.Pool) int {
	switch {
	case a.DataCentre != b.DataCentre:
		return cmp.Compare(a.DataCentre, b.DataCentre)
	case a.Reclaimable == b.Reclaimable:
		return 0
	case a.Reclaimable:
		return -1
	default:
		return 1
	}
}

// mayCall reports whether the calls in flight and the platform's limit allow another order.
func (s *Scheduler) mayCall(now time.Duration) bool {
	return s.calls < maxCallsInFlight && (s.limiter == nil || s.limiter.AllowN(time.Time{}.Add(now), 1))
}

// callsFraction is the fraction of the platform's limit of calls that orders use. Usage reports share it.
const callsFraction = 0.5

// order is an order with what it was decided from.
type order struct {
	Order
	reason Reason
	in     State
	fence  int64
}

// send sends an order. The hold of the duty is checked again right before the call.
func (s *Scheduler) send(ctx context.Context, name string, state *serviceState, pool backends.Pool, o order) {
	go func() {
		start := s.now()
		fence, err := s.opts.Duty.Fence()
		sent := err == nil && fence == o.fence
		if sent {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			err = s.opts.Sender.OrderCapacity(callCtx, o.Order, fence)
			cancel()
		}
		complete := func() {
			s.calls--
			if !sent {
				state.ledger.cancel(pool)
				return
			}
			s.record(name, state, pool, o, err, s.now()-start)
		}
		select {
		case s.completions <- complete:
		case <-ctx.Done():
		}
	}()
}

// record records the outcome of an order.
func (s *Scheduler) record(name string, state *serviceState, pool backends.Pool, o order, err error, took time.Duration) {
	now := s.now()
	s.opts.Metrics.count(outcome(err))
	s.opts.Logger.Info("back ends ordered", "service", name, "data_centre", pool.DataCentre, "reclaimable", pool.Reclaimable,
		"count", o.Count, "there", state.ledger.present(now)[pool], "reason", string(o.reason), "needed_slots", o.in.NeededSlots,
		"need_known", o.in.NeedKnown, "holder", s.opts.Holder, "fence", o.fence, "took", took, "outcome", outcome(err), "err", err)
	state.ledger.finish(now, pool, err)
}

// outcome returns the outcome of an order in logs and metrics.
func outcome(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, ErrRefused):
		return "refused"
	default:
		return "unknown"
	}
}
