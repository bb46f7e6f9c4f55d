package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// listCacheTTL is how long an answer of the instance list is reused. The list lags in any case;
// probes and the back ends' own answers report sooner what must be known sooner.
const listCacheTTL = 2 * time.Second

// cachedInstanceList caches the instance list for all components of an instance.
type cachedInstanceList struct {
	list platform.InstanceList

	mu      sync.Mutex
	entries []platform.Listed
	err     error
	readAt  time.Time
}

// List implements platform.InstanceList. It returns the cached answer or error until listCacheTTL
// has passed. Callers that arrive during a read wait for its result.
func (s *cachedInstanceList) List(ctx context.Context) ([]platform.Listed, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.readAt.IsZero() && time.Since(s.readAt) < listCacheTTL {
		return s.entries, s.err
	}
	s.entries, s.err = s.list.List(ctx)
	s.readAt = time.Now()
	return s.entries, s.err
}
