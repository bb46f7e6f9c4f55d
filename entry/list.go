package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// listPeriod is how often the instance list is read. The list lags by itself; what must be
// known sooner comes from probes and from the back ends' own answers.
const listPeriod = 2 * time.Second

// sharedList reads the instance list once for all of the instance's parts.
type sharedList struct {
	list platform.InstanceList

	mu      sync.Mutex
	entries []platform.Listed
	err     error
	readAt  time.Time
}

// List implements platform.InstanceList. Callers that come while the list is read wait for
// the same answer.
func (s *sharedList) List(ctx context.Context) ([]platform.Listed, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.readAt.IsZero() && time.Since(s.readAt) < listPeriod {
		return s.entries, s.err
	}
	s.entries, s.err = s.list.List(ctx)
	s.readAt = time.Now()
	return s.entries, s.err
}
