package provision

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/routes"
	"github.com/cicadasill/cicadasill/telemetry"
)

var (
	errNotHeld  = errors.New("not held")
	errNoAnswer = errors.New("no answer")
)

// scene is a platform and its entries, on a clock that the test moves. It implements Directory, Sender and Duty.
type scene struct {
	t         *testing.T
	now       time.Duration
	scheduler *Scheduler

	mu        sync.Mutex // orders are sent in goroutines
	ready     map[backends.Pool][]string
	leaving   []string
	booting   []bootingBackends
	late      []lateOrder
	dry       map[backends.Pool]bool
	unanswer  func(Order) bool // whether a call is executed lateBy later and not answered
	lateBy    time.Duration
	calls     []Order
	created   int
	fence     int64
	notHeld   bool
	notActual bool
	need      int
}

type bootingBackends struct {
	pool backends.Pool
	n    int
	at   time.Duration
}

type lateOrder struct {
	Order
	at time.Duration
}

func newScene(t *testing.T, perDataCentre int) *scene {
	s := &scene{t: t, now: time.Hour, ready: map[backends.Pool][]string{}, dry: map[backends.Pool]bool{}, fence: 1}
	for pool, n := range plainCounts(perDataCentre) {
		s.start(pool, n)
	}
	s.newHolder()
	return s
}

// newHolder replaces the holder by one that knows nothing.
func (s *scene) newHolder() {
	scaling := testScaling
	s.scheduler = New(Options{
		Holder: "h", Directory: s, Sender: s, Duty: s, IsViewCurrent: func() bool { return !s.notActual }, CallsPerS: 50,
		Config: func() *routes.Config {
			return &routes.Config{Services: map[string]routes.Service{"llm": {Name: "llm", Scaling: &scaling}, "fixed": {Name: "fixed"}}}
		},
		Need: func() map[string]int { return map[string]int{"llm": s.need} }, Logger: telemetry.Discard(), Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	s.scheduler.now = func() time.Duration { return s.now }
}

func (s *scene) start(pool backends.Pool, n int) {
	for range n {
		s.created++
		s.ready[pool] = append(s.ready[pool], fmt.Sprintf("e%d", s.created))
	}
}

func (s *scene) Fence() (int64, error) {
	if s.notHeld {
		return 0, errNotHeld
	}
	return s.fence, nil
}

func (s *scene) SlotsPerBackend(string) int { return testSlots }

func (s *scene) Present(string) (map[backends.Pool][]string, []string) { return s.ready, s.leaving }

func (s *scene) OrderCapacity(_ context.Context, o Order, _ int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, o)
	if s.unanswer != nil && s.unanswer(o) {
		s.late = append(s.late, lateOrder{o, s.now + s.lateBy})
		return errNoAnswer
	}
	return s.execute(o)
}

// execute carries an order out as the platform does. The caller holds mu.
func (s *scene) execute(o Order) error {
	pool := backends.Pool{DataCentre: o.DataCentre, Reclaimable: o.Reclaimable}
	have := len(s.ready[pool])
	for _, b := range s.booting {
		if b.pool == pool {
			have += b.n
		}
	}
	switch {
	case o.Count > have && s.dry[pool]:
		return ErrRefused
	case o.Count > have:
		s.booting = append(s.booting, bootingBackends{pool, o.Count - have, s.now + testScaling.BootTime})
	case o.Count < have:
		s.booting = slices.DeleteFunc(s.booting, func(b bootingBackends) bool { return b.pool == pool })
		n := min(o.Count, len(s.ready[pool]))
		s.leaving = append(s.leaving, s.ready[pool][n:]...)
		s.ready[pool] = s.ready[pool][:n]
	}
	return nil
}

// run moves the clock by d in steps of the scheduler.
func (s *scene) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += planInterval {
		s.mu.Lock()
		for _, b := range s.booting {
			if s.now >= b.at {
				s.start(b.pool, b.n)
			}
		}
		s.booting = slices.DeleteFunc(s.booting, func(b bootingBackends) bool { return s.now >= b.at })
		for _, o := range s.late {
			if s.now >= o.at {
				_ = s.execute(o.Order) // nobody waits for the answer
			}
		}
		s.late = slices.DeleteFunc(s.late, func(o lateOrder) bool { return s.now >= o.at })
		s.mu.Unlock()
		s.scheduler.step(context.Background())
		for s.scheduler.calls > 0 {
			(<-s.scheduler.completions)()
		}
	}
}

func (s *scene) total() int {
	n := 0
	for _, ids := range s.ready {
		n += len(ids)
	}
	return n
}

// reclaim gives notice to all reclaimable back ends of a data centre and returns their number.
func (s *scene) reclaim(dataCentre string) int {
	pool := backends.Pool{DataCentre: dataCentre, Reclaimable: true}
	n := len(s.ready[pool])
	s.leaving = append(s.leaving, s.ready[pool]...)
	s.ready[pool] = nil
	return n
}

// steps is the need of four trainers with a step each 4 s.
func (s *scene) steps(d time.Duration, slots int) {
	for end := s.now + d; s.now < end; {
		s.need = slots
		s.run(time.Second)
		s.need = slots / 3
		s.run(time.Second)
	}
}

// Guards against a plan that changes with each step of the trainers, and against one that leaves their steps without slots.
func TestStepsOfTrainersAreCarried(t *testing.T) {
	is := is.New(t)
	s := newScene(t, 7)
	s.run(14 * time.Second)
	s.steps(24*time.Second, 230)
	settled := len(s.calls)
	s.steps(60*time.Second, 230)
	is.Equal(len(s.calls), settled) // nothing changes any more
	is.True(s.total()*testSlots >= 230)
	s.steps(2*time.Second, 400)
	s.steps(testScaling.BootTime, 400)
	is.True(float64(s.total()*testSlots)*targetUtilization >= 400) // one boot time after the need
	s.need = 0
	s.run(needMemory - time.Second)
	is.True(float64(s.total()*testSlots)*targetUtilization >= 400) // not between steps
	s.run(3 * time.Minute)
	is.True(s.total() < 42)
}

// Guards against work that waits for the return of back ends that the platform has taken away.
func TestReclaimedDataCentreIsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	s := newScene(t, 7)
	s.run(14 * time.Second)
	s.steps(30*time.Second, 400)
	before := s.total()
	for dc := range testScaling.Prices {
		s.dry[backends.Pool{DataCentre: dc, Reclaimable: true}] = true
	}
	lost := s.reclaim("b")
	is.True(lost > 0)
	is.True(s.total()*testSlots >= 400) // what is left carries the work
	noticed := len(s.calls)
	s.run(planInterval + orderPause)
	is.True(len(s.calls) > noticed)
	s.steps(2*testScaling.BootTime, 400)
	is.True(float64(s.total()*testSlots)*targetUtilization >= 400)
	is.True(s.total() >= before)
}

// Guards against a stream of calls while the platform has nothing anywhere.
func TestDrySpellBacksOff(t *testing.T) {
	is := is.New(t)
	s := newScene(t, 7)
	s.run(14 * time.Second)
	for dc := range testScaling.Prices {
		s.dry[backends.Pool{DataCentre: dc, Reclaimable: true}], s.dry[backends.Pool{DataCentre: dc}] = true, true
	}
	calls := len(s.calls)
	s.steps(30*time.Second, 400)
	perPool := float64(len(s.calls)-calls) / float64(2*len(testScaling.Prices))
	is.True(perPool > 0)
	is.True(perPool <= 5) // after 0, 2, 6, 14 and 30 s
	clear(s.dry)
	s.steps(maxRefusedWait+testScaling.BootTime+2*time.Second, 400)
	is.True(float64(s.total()*testSlots)*targetUtilization >= 400)
}

// Guards against orders from a view that lacks back ends: at the start, in an outage of the store and after it was rewound.
func TestYoungOrLostViewOrdersNothing(t *testing.T) {
	is := is.New(t)
	s := newScene(t, 7)
	s.run(14 * time.Second)
	s.steps(30*time.Second, 230)
	s.steps(10*time.Second, 230)
	calls, saved := len(s.calls), s.ready
	s.ready = map[backends.Pool][]string{} // rewound to before the first entry
	s.run(absenceGrace - 2*planInterval)
	s.ready = saved
	s.steps(6*time.Second, 230)
	s.notActual = true // the store does not answer, and entries expire
	s.steps(4*time.Second, 230)
	s.ready = map[backends.Pool][]string{}
	s.steps(10*time.Second, 230)
	s.notActual = false // the entries are back within two seconds
	s.run(time.Second)
	s.ready = saved
	s.steps(8*time.Second, 230)
	is.Equal(len(s.calls), calls)

	s.newHolder()
	s.ready = map[backends.Pool][]string{}
	s.run(30 * time.Second)
	is.Equal(len(s.calls), calls) // nothing is visible at all
}

// Guards against a successor that orders again what its predecessor has ordered, or orders away what it does not know.
func TestSuccessorNeitherDoublesNorEmpties(t *testing.T) {
	is := is.New(t)
	s := newScene(t, 7)
	s.run(14 * time.Second)
	s.steps(30*time.Second, 230)
	s.need = 400
	s.run(time.Second) // ordered, not there yet
	ordered := s.total()
	for _, b := range s.booting {
		ordered += b.n
	}
	is.True(len(s.booting) > 0)
	s.fence++
	s.newHolder()
	s.steps(time.Minute, 400)
	is.Equal(s.total(), ordered)
}

// Guards against an order that is sent after the hold of the duty has ended.
func TestNothingIsSentWithoutTheDuty(t *testing.T) {
	is := is.New(t)
	s := newScene(t, 7)
	s.run(14 * time.Second)
	s.steps(30*time.Second, 230)
	calls := len(s.calls)
	s.need = 400
	s.scheduler.opts.Need = func() map[string]int {
		s.notHeld = true // lost between the decision and the call
		return map[string]int{"llm": s.need}
	}
	s.run(10 * time.Second)
	is.Equal(len(s.calls), calls)
}

// Guards against a number of back ends that stays wrong after a call that was not answered and is executed late, after newer ones.
func TestLateOrdersAreCorrected(t *testing.T) {
	for _, lateBy := range []time.Duration{time.Second, 5 * time.Second, time.Hour} {
		is := is.New(t)
		s := newScene(t, 7)
		s.run(14 * time.Second)
		s.steps(30*time.Second, 230)
		s.lateBy = lateBy
		unanswered := 0
		s.unanswer = func(Order) bool { unanswered++; return unanswered%2 == 1 }
		s.steps(10*time.Second, 400)
		s.unanswer = nil
		s.steps(time.Minute, 400)
		is.True(unanswered > 0)
		is.True(float64(s.total()*testSlots)*targetUtilization >= 400)
		is.True(s.total()*testSlots <= int(math.Ceil(shrinkMargin*400/targetUtilization))+testSlots)
	}
}

// Guards against an order that takes a back end away because the platform counts one more that has just crashed.
func TestOrderIncludesCrashedBackends(t *testing.T) {
	is := is.New(t)
	s := newScene(t, 7)
	s.run(14 * time.Second)
	s.steps(30*time.Second, 230)
	crashed := map[backends.Pool]int{}
	for pool, ids := range s.ready {
		if len(ids) > 1 {
			s.ready[pool] = ids[1:]
			crashed[pool] = 1
		}
	}
	there := map[backends.Pool]int{}
	for pool, ids := range s.ready {
		there[pool] = len(ids) + crashed[pool]
	}
	calls := len(s.calls)
	s.steps(20*time.Second, 300)
	for _, o := range s.calls[calls:] {
		is.True(o.Count >= there[backends.Pool{DataCentre: o.DataCentre, Reclaimable: o.Reclaimable}])
	}
	is.True(len(s.calls) > calls)
}

// Guards against orders for services whose number is fixed, and against a second order on a subject while the first one may still be
// executed.
func TestUnansweredOrderIsNotRepeatedBlindly(t *testing.T) {
	is := is.New(t)
	s := newScene(t, 7)
	s.run(14 * time.Second)
	s.lateBy = time.Hour
	s.unanswer = func(Order) bool { return true }
	calls := len(s.calls)
	s.steps(testScaling.BootTime+lateMargin-time.Second, 400)
	seen := map[Order]bool{}
	for _, o := range s.calls[calls:] {
		is.Equal(o.Service, "llm")
		o.Count = 0
		is.True(!seen[o])
		seen[o] = true
	}
	is.True(len(seen) > 0)
}
