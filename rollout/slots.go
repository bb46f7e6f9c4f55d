package rollout

import (
	"math"
	"sync"

	"github.com/cicadasill/cicadasill/contract"
)

// slots bounds the samples in flight of each service and divides them by the trainers' shares.
type slots struct {
	mu         sync.Mutex
	perSampler int
	used       map[string]map[string]int // service, trainer
	wanting    map[stepKey]bool          // steps with pending samples
}

func newSlots(perSampler int) *slots {
	return &slots{perSampler: perSampler,
		used: make(map[string]map[string]int), wanting: make(map[stepKey]bool)}
}

// capacity returns the samples in flight allowed for svc at this instance.
func (s *slots) capacity(svc *contract.Service) int { return max(1, len(svc.Backends)) * s.perSampler }

// tryAcquire takes a slot for trainer. Within its share a trainer always gets one; above it only
// while no other trainer that has samples to start is below its own share.
func (s *slots) tryAcquire(svc *contract.Service, trainer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := s.usedBy(svc.Name)
	total := 0
	for _, n := range used {
		total += n
	}
	capacity := s.capacity(svc)
	if total >= capacity || (used[trainer] >= share(svc, trainer, capacity) && s.owed(svc, trainer, capacity)) {
		return false
	}
	used[trainer]++
	return true
}

// owed reports whether another trainer with samples to start is below its share.
func (s *slots) owed(svc *contract.Service, trainer string, capacity int) bool {
	for key := range s.wanting {
		if key.service == svc.Name && key.trainer != trainer &&
			s.usedBy(svc.Name)[key.trainer] < share(svc, key.trainer, capacity) {
			return true
		}
	}
	return false
}

func (s *slots) usedBy(service string) map[string]int {
	if s.used[service] == nil {
		s.used[service] = make(map[string]int)
	}
	return s.used[service]
}

// want records whether a step has samples to start.
func (s *slots) want(key stepKey, wanting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if wanting {
		s.wanting[key] = true
	} else {
		delete(s.wanting, key)
	}
}

// force takes a slot above all bounds. Moves and hedges use it: they are bounded themselves, and the
// tail of a step must not wait for the samples of the next one.
func (s *slots) force(service, trainer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedBy(service)[trainer]++
}

func share(svc *contract.Service, trainer string, capacity int) int {
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
