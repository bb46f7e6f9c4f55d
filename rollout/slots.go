package rollout

import (
	"math"
	"sync"

	"github.com/cicadasill/cicadasill/contract"
)

// borrowFraction is the part of a service's slots up to which a trainer may exceed its share.
// The rest stays free so that a trainer whose step opens next gets its share at once.
const borrowFraction = 0.9

// slots bounds the samples in flight of each service and divides them by the trainers' shares.
type slots struct {
	mu         sync.Mutex
	perSampler int
	used       map[string]map[string]int // service, trainer
	active     map[string]map[string]int // steps with pending samples
}

func newSlots(perSampler int) *slots {
	return &slots{perSampler: perSampler,
		used: make(map[string]map[string]int), active: make(map[string]map[string]int)}
}

// capacity returns the samples in flight allowed for svc at this instance.
func (s *slots) capacity(svc *contract.Service) int { return max(1, len(svc.Backends)) * s.perSampler }

// tryAcquire takes a slot for trainer. Within its share a trainer always gets one; above it only
// while it is alone or the service as a whole is below borrowFraction.
func (s *slots) tryAcquire(svc *contract.Service, trainer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := s.used[svc.Name]
	if used == nil {
		used = make(map[string]int)
		s.used[svc.Name] = used
	}
	total := 0
	for _, n := range used {
		total += n
	}
	capacity := s.capacity(svc)
	if total >= capacity {
		return false
	}
	alone := len(s.active[svc.Name]) <= 1
	if used[trainer] >= s.share(svc, trainer, capacity) && !alone && float64(total) >= borrowFraction*float64(capacity) {
		return false
	}
	used[trainer]++
	return true
}

// force takes a slot above all bounds. Moves and hedges use it: they are bounded themselves, and the
// tail of a step must not wait for the samples of the next one.
func (s *slots) force(service, trainer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := s.used[service]
	if used == nil {
		used = make(map[string]int)
		s.used[service] = used
	}
	used[trainer]++
}

func (s *slots) share(svc *contract.Service, trainer string, capacity int) int {
	sum, own := 0.0, 0.0
	for _, t := range svc.Trainers {
		sum += t.Share
		if t.Name == trainer {
			own = t.Share
		}
	}
	return max(1, int(math.Floor(own/max(1, sum)*float64(capacity))))
}

func (s *slots) release(service, trainer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used[service][trainer]--; s.used[service][trainer] == 0 {
		delete(s.used[service], trainer)
	}
}

// setActive counts trainer's open steps that may start samples.
func (s *slots) setActive(service, trainer string, delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.active[service]
	if a == nil {
		a = make(map[string]int)
		s.active[service] = a
	}
	if a[trainer] += delta; a[trainer] <= 0 {
		delete(a, trainer)
	}
}
