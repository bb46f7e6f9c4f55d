package rollout

import (
	"math"
	"sync"

	"github.com/cicadasill/cicadasill/contract"
)

// slotLimiter limits the samples in flight of each service and divides them among its trainers by
// share.
type slotLimiter struct {
	mu           sync.Mutex
	perSampler   int
	used         map[string]map[string]int // slots in use by service and trainer
	pendingSteps map[stepKey]bool          // steps that have samples to start
}

func newSlotLimiter(perSampler int) *slotLimiter {
	return &slotLimiter{perSampler: perSampler,
		used: make(map[string]map[string]int), pendingSteps: make(map[stepKey]bool)}
}

// capacity returns the number of samples of svc that may be in flight at this instance.
func (s *slotLimiter) capacity(svc *contract.Service) int {
	return max(1, len(svc.Backends)) * s.perSampler
}

// tryAcquire takes a slot for trainer if one is free. A trainer that has used up its share gets one
// only while no other trainer with samples to start is below its own share.
func (s *slotLimiter) tryAcquire(svc *contract.Service, trainer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := s.usedBy(svc.Name)
	total := 0
	for _, n := range used {
		total += n
	}
	capacity := s.capacity(svc)
	if total >= capacity || (used[trainer] >= slotShare(svc, trainer, capacity) && s.anotherBelowShare(svc, trainer, capacity)) {
		return false
	}
	used[trainer]++
	return true
}

// anotherBelowShare reports whether another trainer with samples to start is below its share.
func (s *slotLimiter) anotherBelowShare(svc *contract.Service, trainer string, capacity int) bool {
	for key := range s.pendingSteps {
		if key.service == svc.Name && key.trainer != trainer &&
			s.usedBy(svc.Name)[key.trainer] < slotShare(svc, key.trainer, capacity) {
			return true
		}
	}
	return false
}

func (s *slotLimiter) usedBy(service string) map[string]int {
	if s.used[service] == nil {
		s.used[service] = make(map[string]int)
	}
	return s.used[service]
}

// setPending records whether a step has samples to start.
func (s *slotLimiter) setPending(key stepKey, hasPending bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if hasPending {
		s.pendingSteps[key] = true
	} else {
		delete(s.pendingSteps, key)
	}
}

// forceAcquire takes a slot regardless of all limits. It serves moves and hedges: their number is
// bounded separately, and the tail of a step must not wait for the samples of the next step.
func (s *slotLimiter) forceAcquire(service, trainer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedBy(service)[trainer]++
}

// slotShare returns the number of slots in trainer's share of capacity, at least 1.
func slotShare(svc *contract.Service, trainer string, capacity int) int {
	sum, own := 0.0, 0.0
	for _, t := range svc.Trainers {
		sum += t.Share
		if t.Name == trainer {
			own = t.Share
		}
	}
	return max(1, int(math.Floor(own/max(1, sum)*float64(capacity))))
}

func (s *slotLimiter) release(service, trainer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used[service][trainer]--; s.used[service][trainer] == 0 {
		delete(s.used[service], trainer)
	}
}
