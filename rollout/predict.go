package rollout

import (
	"sync"
	"time"
)

// Parameters of the predictions.
const (
	// lengthSmoothing and speedSmoothing are the weights of the newest observation in the moving
	// averages.
	lengthSmoothing = 0.3
	speedSmoothing  = 0.2
	// maxLengthKeys bounds the table of mean lengths; when it is full, an arbitrary key is evicted.
	maxLengthKeys = 1 << 16
)

// lengthPredictor predicts sequence lengths from finished samples of the same group, prefix or service.
type lengthPredictor struct {
	mu    sync.Mutex
	means map[string]float64
}

func newLengthPredictor() *lengthPredictor { return &lengthPredictor{means: make(map[string]float64)} }

// lengthKeys returns the keys of the mean lengths that apply to g, the most specific first.
func lengthKeys(service string, g *Group) []string {
	keys := []string{service + "\x00g" + g.ID}
	if g.PrefixID != "" {
		keys = append(keys, service+"\x00p"+g.PrefixID)
	}
	return append(keys, service)
}

// tailKey returns the key of the mean length of samples that were far longer than predicted.
func tailKey(service string) string { return service + "\x00tail" }

// observe records the length of a finished sample of g.
func (l *lengthPredictor) observe(service string, g *Group, n int) {
	predicted := l.predict(service, g, 0)
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := lengthKeys(service, g)
	if float64(n) > longTailFactor*predicted {
		keys = append(keys, tailKey(service))
	}
	for _, k := range keys {
		old, ok := l.means[k]
		if !ok {
			l.evictIfFull()
			l.means[k] = float64(n)
			continue
		}
		l.means[k] = old + lengthSmoothing*(float64(n)-old)
	}
}

func (l *lengthPredictor) evictIfFull() {
	if len(l.means) < maxLengthKeys {
		return
	}
	for k := range l.means {
		delete(l.means, k)
		return
	}
}

// predict returns the expected total length of a sample of g that has done tokens so far. It uses the
// most specific mean known: the group's, else the prefix's, else the service's.
func (l *lengthPredictor) predict(service string, g *Group, done int) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	predicted := float64(g.MaxTokens) / 2
	for _, k := range lengthKeys(service, g) {
		if m, ok := l.means[k]; ok {
			predicted = m
			break
		}
	}
	// A sample far beyond its prediction belongs to the long tail, which has its own mean length.
	if tail := l.means[tailKey(service)]; float64(done) > longTailFactor*predicted && float64(done) < tail {
		predicted = tail
	} else if float64(done) >= predicted {
		predicted = float64(done) * longTailFactor
	}
	return min(predicted, float64(g.MaxTokens))
}

// serviceMean returns the mean length of the service's samples, 0 if unknown.
func (l *lengthPredictor) serviceMean(service string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.means[service]
}

// speedTracker tracks each engine's tokens per second in one stream and the weight version last seen
// there.
type speedTracker struct {
	mu      sync.Mutex
	engines map[string]*engineSpeed
}

type engineSpeed struct {
	service    string
	rate       float64
	version    int64
	observedAt time.Time
}

// speedMaxAge is how long an engine's speed is used without a new observation. After that, a slow
// engine gets work again and its speed is measured anew.
const speedMaxAge = 30 * time.Second

func newSpeedTracker() *speedTracker { return &speedTracker{engines: make(map[string]*engineSpeed)} }

// observe records that engine generated tokens with version in the time elapsed.
func (s *speedTracker) observe(service, engine string, tokens int, elapsed time.Duration, version int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.engines[engine]
	if !ok {
		e = &engineSpeed{service: service}
		s.engines[engine] = e
	}
	e.version, e.observedAt = version, now
	if tokens == 0 || elapsed <= 0 {
		return
	}
	rate := float64(tokens) / elapsed.Seconds()
	if e.rate == 0 {
		e.rate = rate
		return
	}
	e.rate += speedSmoothing * (rate - e.rate)
}

// engineRates holds the known speeds of a service's engines in tokens per second, and the highest of
// them.
type engineRates struct {
	byEngine map[string]float64
	best     float64
}

// forService returns the speeds of the service's engines.
func (s *speedTracker) forService(service string, now time.Time) engineRates {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := engineRates{byEngine: make(map[string]float64)}
	for id, e := range s.engines {
		if e.service == service && e.rate > 0 && now.Sub(e.observedAt) <= speedMaxAge {
			out.byEngine[id] = e.rate
			out.best = max(out.best, e.rate)
		}
	}
	return out
}

// slow returns the engines whose speed is below ratio times the highest.
func (r engineRates) slow(ratio float64) []string {
	var out []string
	for id, rate := range r.byEngine {
		if rate < ratio*r.best {
			out = append(out, id)
		}
	}
	return out
}

// newestVersion returns the newest version last seen at any engine of service.
func (s *speedTracker) newestVersion(service string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var newest int64
	for _, e := range s.engines {
		if e.service == service {
			newest = max(newest, e.version)
		}
	}
	return newest
}

// evictStale drops engines that have not been observed for a long time.
func (s *speedTracker) evictStale(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.engines {
		if now.Sub(e.observedAt) > 20*speedMaxAge {
			delete(s.engines, id)
		}
	}
}
