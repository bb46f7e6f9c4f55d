package rollout

import (
	"sync"
	"time"
)

// Weights of the newest observation in the running means, and bounds of the tables.
const (
	lengthWeight = 0.3
	speedWeight  = 0.2
	// maxLengthKeys bounds the learned lengths; an arbitrary key is dropped when it is reached.
	maxLengthKeys = 1 << 16
)

// lengths predicts sequence lengths from finished samples of the same group or prefix.
type lengths struct {
	mu   sync.Mutex
	mean map[string]float64
}

func newLengths() *lengths { return &lengths{mean: make(map[string]float64)} }

func lengthKeys(service string, g *Group) []string {
	keys := []string{service + "\x00g" + g.ID}
	if g.PrefixID != "" {
		keys = append(keys, service+"\x00p"+g.PrefixID)
	}
	return append(keys, service)
}

// tailKey names the mean length of samples that were far longer than predicted.
func tailKey(service string) string { return service + "\x00tail" }

// observe records the length of a finished sample of g.
func (l *lengths) observe(service string, g *Group, n int) {
	predicted := l.predict(service, g, 0)
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := lengthKeys(service, g)
	if float64(n) > parkFactor*predicted {
		keys = append(keys, tailKey(service))
	}
	for _, k := range keys {
		old, ok := l.mean[k]
		if !ok {
			l.evict()
			l.mean[k] = float64(n)
			continue
		}
		l.mean[k] = old + lengthWeight*(float64(n)-old)
	}
}

func (l *lengths) evict() {
	if len(l.mean) < maxLengthKeys {
		return
	}
	for k := range l.mean {
		delete(l.mean, k)
		return
	}
}

// predict returns the expected length of a sample of g of which done tokens exist. It takes the
// most specific mean, the group's, then the prefix's, then the service's.
func (l *lengths) predict(service string, g *Group, done int) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	predicted := float64(g.MaxTokens) / 2
	for _, k := range lengthKeys(service, g) {
		if m, ok := l.mean[k]; ok {
			predicted = m
			break
		}
	}
	// A sample far past its prediction is in the long tail, which has a mean of its own.
	if tail := l.mean[tailKey(service)]; float64(done) > parkFactor*predicted && float64(done) < tail {
		predicted = tail
	} else if float64(done) >= predicted {
		predicted = float64(done) * parkFactor
	}
	return min(predicted, float64(g.MaxTokens))
}

// serviceMean returns the mean length over the service, 0 if unknown.
func (l *lengths) serviceMean(service string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mean[service]
}

// speeds tracks each engine's tokens per second in one stream, and the newest version seen there.
type speeds struct {
	mu     sync.Mutex
	engine map[string]*engineSpeed
}

type engineSpeed struct {
	service string
	rate    float64
	version int64
	seen    time.Time
}

// speedLife is how long an engine's speed is believed without a new observation; after it, a slow
// engine gets work again and is measured anew.
const speedLife = 30 * time.Second

func newSpeeds() *speeds { return &speeds{engine: make(map[string]*engineSpeed)} }

// observe records that engine produced tokens in elapsed with version.
func (s *speeds) observe(service, engine string, tokens int, elapsed time.Duration, version int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.engine[engine]
	if !ok {
		e = &engineSpeed{service: service}
		s.engine[engine] = e
	}
	e.version, e.seen = version, now
	if tokens == 0 || elapsed <= 0 {
		return
	}
	rate := float64(tokens) / elapsed.Seconds()
	if e.rate == 0 {
		e.rate = rate
		return
	}
	e.rate += speedWeight * (rate - e.rate)
}

// rates are the speeds of a service's engines that are known, and the best of them.
type rates struct {
	engine map[string]float64
	best   float64
}

// of returns the speeds of the service's engines.
func (s *speeds) of(service string, now time.Time) rates {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := rates{engine: make(map[string]float64)}
	for id, e := range s.engine {
		if e.service == service && e.rate > 0 && now.Sub(e.seen) <= speedLife {
			out.engine[id] = e.rate
			out.best = max(out.best, e.rate)
		}
	}
	return out
}

// slow lists the engines whose speed is below ratio times the best.
func (r rates) slow(ratio float64) []string {
	var out []string
	for id, rate := range r.engine {
		if rate < ratio*r.best {
			out = append(out, id)
		}
	}
	return out
}

// newestVersion returns the newest version seen running at any engine of service.
func (s *speeds) newestVersion(service string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var newest int64
	for _, e := range s.engine {
		if e.service == service {
			newest = max(newest, e.version)
		}
	}
	return newest
}

// forget drops engines that have not been observed for a long time.
func (s *speeds) forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.engine {
		if now.Sub(e.seen) > 20*speedLife {
			delete(s.engine, id)
		}
	}
}
