package reward

import (
	"context"
	"sync"
)

// Gate bounds the reward calls that an instance has in flight at each service, and sends the waiting ones
// in the order of Waiting.Before.
type Gate struct {
	limit func(service string) int

	mu       sync.Mutex // guards services and their fields
	services map[string]*service
}

// service is the state of the calls to one service.
type service struct {
	inFlight int
	// window is the number of calls that may be in flight; 0 stands for the limit, before the first outcome.
	window  int
	waiting []*waiter // in the order of arrival
}

type waiter struct {
	describe func() Waiting
	admitted chan struct{} // closed when the call may be sent
}

// NewGate returns a gate without calls. limit returns the greatest number of calls that may be in flight at
// a service, which may change.
func NewGate(limit func(service string) int) *Gate {
	return &Gate{limit: limit, services: map[string]*service{}}
}

// Acquire waits until a call to a service may be sent, or until ctx ends. describe is called while the call
// waits, since the group's progress changes. After nil, the caller must call Release.
func (g *Gate) Acquire(ctx context.Context, name string, describe func() Waiting) error {
	w := &waiter{describe: describe, admitted: make(chan struct{})}
	g.mu.Lock()
	s := g.services[name]
	if s == nil {
		s = &service{}
		g.services[name] = s
	}
	s.waiting = append(s.waiting, w)
	g.admit(name, s)
	g.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range s.waiting {
		if other == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return ctx.Err()
		}
	}
	s.inFlight-- // admitted at the same moment
	g.admit(name, s)
	return ctx.Err()
}

// Release ends a call. overloaded states that the service refused it or did not answer in time.
func (g *Gate) Release(name string, overloaded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	s.inFlight--
	limit := g.limit(name)
	if s.window == 0 {
		s.window = limit
	}
	s.window = nextWindow(s.window, limit, overloaded)
	g.admit(name, s)
}

// admit admits waiting calls as far as the window allows. The caller holds g.mu.
func (g *Gate) admit(name string, s *service) {
	window := g.limit(name)
	if s.window > 0 {
		window = min(window, s.window)
	}
	for s.inFlight < window && len(s.waiting) > 0 {
		best, bestDescription := 0, s.waiting[0].describe()
		for i, w := range s.waiting[1:] {
			if d := w.describe(); d.Before(bestDescription) {
				best, bestDescription = i+1, d
			}
		}
		close(s.waiting[best].admitted)
		s.waiting = append(s.waiting[:best], s.waiting[best+1:]...)
		s.inFlight++
	}
}

// Waiting returns the number of calls that wait, at all services together.
func (g *Gate) Waiting() int {
	return g.sum(func(s *service) int { return len(s.waiting) })
}

// InFlight returns the number of calls that have been admitted and not released, at all services together.
func (g *Gate) InFlight() int {
	return g.sum(func(s *service) int { return s.inFlight })
}

func (g *Gate) sum(value func(*service) int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, s := range g.services {
		n += value(s)
	}
	return n
}
